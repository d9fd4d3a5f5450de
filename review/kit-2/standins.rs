//! Stand-ins of the platform's store, servers and clients for the scripts of this review, and the scripts'
//! steps. Only the standard library is used.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

mod case_7;
mod case_8;
mod http;
mod json;
mod node;
mod store;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let code = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["case-8", program, record, temporary] => case_8::play(program, Path::new(record), Path::new(temporary)),
        ["case-7", program, record, temporary] => case_7::play(program, Path::new(record), Path::new(temporary)),
        ["half-server", address, id] => case_7::serve(address, id),
        _ => {
            eprintln!("usage: standins case-7|case-8 PROGRAM RECORD_FOLDER TEMPORARY_FOLDER");
            2
        }
    };
    std::process::exit(code);
}

/// Whether the disruption is played.
fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn millis_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// What was sent, answered and run, with the time since the start.
struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn open(directory: &Path) -> Arc<Self> {
        let file = fs::File::create(directory.join("record.txt")).expect("the record can be written");
        Arc::new(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
