//! Case 7: a process stands still while a server is killed in the middle of an answer without a length and
//! starts again.

use super::{
    http::{Client, read_request},
    node::{HEARTBEAT_MS, Node, head, route, server_entry, write_config},
    store::Store,
    *,
};

/// Bytes of a whole answer, and those that are written before the server works on.
const ANSWER_BYTES: usize = 800;
const FIRST_BYTES: usize = 400;
/// Time that the server works between the two parts.
const WORK: Duration = Duration::from_millis(1_000);
const SETTLE: Duration = Duration::from_millis(3_500);
/// When the server is killed and started again, and when the process goes on, from when it was stopped.
const KILL_AFTER: Duration = Duration::from_millis(200);
const START_AFTER: Duration = Duration::from_millis(1_000);
const FREEZE: Duration = Duration::from_millis(2_500);

fn body() -> Vec<u8> {
    (0..ANSWER_BYTES).map(|at| b'a' + (at % 26) as u8).collect()
}

/// A server, as a process of its own. Its answers have no length and end with their connections.
pub fn serve(address: &str, own: &str) -> i32 {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let own = own.to_owned();
        thread::spawn(move || -> io::Result<()> {
            let mut stream = stream;
            let mut reader = BufReader::new(stream.try_clone()?);
            let Some(request) = read_request(&mut reader)? else { return Ok(()) };
            if request.header("expect-instance") != own {
                return stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            }
            let id = request.header("request-id");
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{own}-{id}\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body()[..FIRST_BYTES])?;
            thread::sleep(WORK);
            stream.write_all(&body()[FIRST_BYTES..])
        });
    }
    0
}

struct ServerProcess(Child);

impl ServerProcess {
    fn start(address: SocketAddr, own: &str) -> Self {
        let program = env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        command.args(["half-server", &address.to_string(), own]).stdin(Stdio::null());
        Self(command.spawn().expect("a server can be started"))
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Keeps a server's entry fresh while `lives`; three heartbeats after that the entry is removed.
fn list(store: &Arc<Store>, own: &'static str, address: SocketAddr, lives: &Arc<AtomicU64>) {
    let (store, lives) = (store.clone(), lives.clone());
    let born = millis_since_epoch();
    thread::spawn(move || {
        for sequence in 1.. {
            if lives.load(Ordering::SeqCst) == 0 {
                thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
                store.write("servers", own, None);
                return;
            }
            store.write("servers", own, Some(server_entry(address, born, sequence)));
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
}

pub fn play(program: &str, record: &Path, directory: &Path) -> i32 {
    let record = Record::open(record);
    let store = Store::start();
    write_config(&store, &[route("commits", "/u/", "unsafe", 1, false, 4_000)]);
    let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = free.expect("a free port");
    let mut server = Some(ServerProcess::start(address, "i-first"));
    let first_lives = Arc::new(AtomicU64::new(1));
    list(&store, "i-first", address, &first_lives);
    let node = Node::start(program, directory, "front-1", &store);
    let _other = Node::start(program, directory, "front-2", &store);
    if !node.wait_ready() {
        record.note("the process does not get ready");
        return 2;
    }
    thread::sleep(SETTLE);

    let to = node.callers;
    let (log, sent) = (record.clone(), Arc::new(AtomicU64::new(0)));
    let is_sent = sent.clone();
    let client = thread::spawn(move || {
        let mut client = Client::connect(to).ok()?;
        log.note(format!("client sends commit-1 to front-1; the server's whole answer has {ANSWER_BYTES} bytes"));
        client.send(&head("POST", "/u/commit", "commit-1", 4_000, "", "an order")).ok()?;
        is_sent.store(1, Ordering::SeqCst);
        Some(client.read(|_| {}))
    });
    while sent.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    if has_trouble() {
        // The first part of the answer is on its way.
        thread::sleep(Duration::from_millis(150));
        record.note("front-1 is stopped (SIGSTOP)");
        let stopped = Instant::now();
        node.signal("STOP");
        let wait = |span: Duration| thread::sleep(span.saturating_sub(stopped.elapsed()));
        wait(KILL_AFTER);
        record.note("server i-first is killed");
        drop(server.take());
        first_lives.store(0, Ordering::SeqCst);
        wait(START_AFTER);
        record.note("the server starts again at its address as i-second");
        server = Some(ServerProcess::start(address, "i-second"));
        list(&store, "i-second", address, &Arc::new(AtomicU64::new(1)));
        wait(FREEZE);
        record.note("front-1 goes on (SIGCONT)");
        node.signal("CONT");
    }
    let answer = client.join().ok().flatten();
    drop(server);
    let Some(answer) = answer else {
        record.note("the client could not send its request");
        return 2;
    };
    let seal = answer.headers.get("server-seal").cloned().unwrap_or_default();
    record.note(format!(
        "client: commit-1 ended: status {}, Server-Seal {seal:?}, Content-Length {:?}, {} bytes, looks complete {}",
        answer.status,
        answer.headers.get("content-length"),
        answer.body.len(),
        answer.is_whole
    ));
    let is_success = (200..300).contains(&answer.status);
    if is_success && answer.is_whole && answer.body != body() {
        record.note("a success that looks complete has not the server's whole body: the rule is broken");
        return 1;
    }
    if !has_trouble() && !(is_success && answer.body == body()) {
        return 2;
    }
    0
}
