//! Child processes of a test.

use {
    crate::wait::WAIT_LIMIT,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

const EXIT_POLL: Duration = Duration::from_millis(10);
/// Bytes of a log that are shown when a test fails.
const SHOWN_LOG_BYTES: usize = 6_000;

/// A program of the workspace, built beside the test executable.
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test executable has a path");
    let directory = test.ancestors().nth(2).expect("target/debug/deps holds the test");
    let path = directory.join(name);
    assert!(path.exists(), "{} is missing; scripts/test builds it", path.display());
    path
}

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    directory: PathBuf,
}

impl ChildProcess {
    /// Starts `program` with a settings file; its output goes to files in `directory`.
    pub fn start(program: &str, name: &str, settings: &str, directory: &Path) -> io::Result<Self> {
        let path = directory.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let mut command = Command::new(program_path(program));
        command.arg("--settings").arg(&path);
        Self::spawn(command, name, directory)
    }

    /// Starts a command without input; its output goes to files in `directory`.
    pub fn spawn(mut command: Command, name: &str, directory: &Path) -> io::Result<Self> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(directory.join(format!("{name}.log")))?;
        let output = File::create(directory.join(format!("{name}.out")))?;
        let child = command.stdin(Stdio::null()).stdout(output).stderr(log).spawn()?;
        Ok(Self { name: name.to_owned(), child, directory: directory.to_owned() })
    }

    /// What the program has written to its standard output.
    pub fn output(&self) -> String {
        fs::read_to_string(self.directory.join(format!("{}.out", self.name))).unwrap_or_default()
    }

    /// The end of the program's log.
    pub fn log_end(&self) -> String {
        let log = fs::read(self.directory.join(format!("{}.log", self.name))).unwrap_or_default();
        let start = log.len().saturating_sub(SHOWN_LOG_BYTES);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a child has a process id");
        // A process that has ended needs no signal.
        let _ = kill_process(pid, signal);
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks for a graceful shutdown and waits for it; panics when it takes too long.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        let start = Instant::now();
        loop {
            if let Some(status) = self.try_wait() {
                return status;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{} does not stop:\n{}",
                self.name,
                self.log_end()
            );
            thread::sleep(EXIT_POLL);
        }
    }

    /// The exit status, if the process has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            eprintln!("== end of the log of {}:\n{}", self.name, self.log_end());
        }
    }
}
