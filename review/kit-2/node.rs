//! The processes under test, the configuration and the entries of servers.

use super::{http::Client, store::Store, *};

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-w1";
pub const SERVICE: &str = "records";
/// How often servers write to the store, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;

/// One process of the product. It is killed when dropped.
pub struct Node {
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port has an address").port()
}

impl Node {
    /// Starts a process with the command of the deploy file.
    pub fn start(program: &str, directory: &Path, name: &str, store: &Store) -> Self {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready, addresses) = (address(free_port()), address(free_port()), address(free_port()));
        let settings = format!(
            "node: {name}\nip: 127.0.0.1\nfailure_domain: zone-a\nregion: region-a\npeer_port: {}\n\
             listen:\n  callers: \"{callers}\"\n  addresses: \"{addresses}\"\n  ready: \"{ready}\"\n\
             store:\n  address: \"{}\"\nlimits:\n  memory_mb: 182\n  max_fds: 2940\n\
             engines:\n  stall_ms: 6000\nrepeats:\n  ratio: 0.2\n  slack: 260\n  window_s: 10\n\
             first_start: true\ngrace_s: 8\n",
            free_port(),
            store.address,
        );
        let path: PathBuf = directory.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings can be written");
        let log = fs::File::create(directory.join(format!("{name}.log"))).expect("a log can be written");
        let child = Command::new(program)
            .arg("node")
            .env("GYPSUMFORK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        Self { callers, ready, child }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.ready) {
                let sent = client.send("GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n");
                if sent.is_ok() && client.read(|_| {}).status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }
}

pub fn send_signal(child: &Child, signal: &str) {
    let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A route of the service.
pub fn route(name: &str, prefix: &str, kind: &str, attempts: u32, can_resume: bool, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
         \"goal_ms\":300,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":{attempts},\
         \"timeout_ms\":{timeout_ms},\"public\":false,\"can_resume\":{can_resume}}}"
    )
}

/// The operator's first configuration.
pub fn write_config(store: &Store, routes: &[String]) {
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\"}}],\
         \"tenants\":[{{\"name\":\"w1\",\"api_keys\":[\"{KEY}\"]}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    store.write("op", "config", Some(config));
}

/// A server's entry in the store.
pub fn server_entry(address: SocketAddr, born: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"1\",\
         \"slots\":32,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
    )
}

/// The head of a client's request with a body.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
