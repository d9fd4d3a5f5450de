//! Servers that crash when they begin to answer certain requests.

use {
    base::{FailureDomainId, HostId, ServiceName},
    parking_lot::Mutex,
    relay::{BackendServer, RelayShared, ServerTable},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Time from a request to its answer.
const PREFILL: Duration = Duration::from_millis(30);
/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Events of a stream.
const EVENTS: usize = 10;
/// Time after which a crashed server is back, as a new incarnation.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// Time after the last allowed crash from which on arrivals count.
pub(crate) const SPREAD_TIME: Duration = Duration::from_secs(3);

/// What crashes the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CrashTrigger {
    /// A part of a prompt. Answers are streams.
    Part(&'static str),
    /// A path. Answers are short and whole.
    Path(&'static str),
}

impl CrashTrigger {
    fn is_in(self, head: &str) -> bool {
        match self {
            Self::Part(bad) => head.lines().any(|line| {
                line.strip_prefix("x-parts: ")
                    .is_some_and(|parts| parts.split(',').any(|part| part.trim() == bad))
            }),
            Self::Path(bad) => head.split(' ').nth(1) == Some(bad),
        }
    }

    /// Crashes from which on requests with it count.
    pub(crate) fn allowed_crashes(self) -> usize {
        match self {
            Self::Part(_) => 5,
            Self::Path(_) => 3,
        }
    }
}

/// What the servers saw of bad requests.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    pub(crate) crashes: Vec<Instant>,
    pub(crate) arrivals: Vec<Instant>,
}

impl CrashRecord {
    /// Requests that arrived later than [`SPREAD_TIME`] after the last allowed crash.
    pub(crate) fn late_arrivals(&self, trigger: CrashTrigger) -> usize {
        let Some(last) = self.crashes.get(trigger.allowed_crashes() - 1) else { return 0 };
        self.arrivals.iter().filter(|at| at.duration_since(*last) > SPREAD_TIME).count()
    }
}

/// The servers of one service, which several relays may use.
pub(crate) struct CrashingServers {
    pub(crate) trigger: CrashTrigger,
    pub(crate) record: Mutex<CrashRecord>,
    servers: Mutex<BTreeMap<HostId, SocketAddr>>,
    started: AtomicUsize,
    relays: Mutex<Vec<Arc<RelayShared>>>,
}

impl CrashingServers {
    pub(crate) async fn start(count: usize, trigger: CrashTrigger) -> Arc<Self> {
        let servers = Arc::new(Self {
            trigger,
            record: Mutex::default(),
            servers: Mutex::default(),
            started: AtomicUsize::new(0),
            relays: Mutex::default(),
        });
        for _ in 0..count {
            servers.start_server().await;
        }
        servers
    }

    /// Keeps the server table of a relay up to date.
    pub(crate) fn attach(&self, shared: Arc<RelayShared>) {
        self.relays.lock().push(shared);
        self.publish();
    }

    fn publish(&self) {
        let servers = self.servers.lock().clone();
        for shared in self.relays.lock().iter() {
            let known = shared.servers.load();
            let list = servers.iter().map(|(id, address)| {
                let counters = known.all().find(|server| server.id == *id);
                BackendServer {
                    id: id.clone(),
                    address: *address,
                    failure_domain: FailureDomainId::new("z").unwrap(),
                    model: None,
                    counters: counters.map(|server| server.counters.clone()).unwrap_or_default(),
                }
            });
            let service = ServiceName::new("s").unwrap();
            let table = ServerTable::new(BTreeMap::from([(service, list.collect())]));
            shared.servers.store(Arc::new(table));
        }
    }

    async fn start_server(self: &Arc<Self>) {
        let listener = bind().await;
        let id = self.list(&listener);
        tokio::spawn(self.clone().run_server(listener, id));
    }

    /// Adds a new incarnation to the server tables.
    fn list(&self, listener: &TcpListener) -> HostId {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let id = HostId::new(format!("p{number}")).unwrap();
        self.servers.lock().insert(id.clone(), listener.local_addr().unwrap());
        self.publish();
        id
    }

    /// Runs one incarnation after the other.
    async fn run_server(self: Arc<Self>, mut listener: TcpListener, mut id: HostId) {
        loop {
            self.accept_until_crash(listener).await;
            sleep(BACK_AFTER).await;
            self.servers.lock().remove(&id);
            listener = bind().await;
            id = self.list(&listener);
        }
    }

    async fn accept_until_crash(self: &Arc<Self>, listener: TcpListener) {
        let crash = CancellationToken::new();
        loop {
            tokio::select! {
                () = crash.cancelled() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    tokio::spawn(self.clone().serve(stream, crash.clone()));
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, crash: CancellationToken) {
        tokio::select! {
            () = crash.cancelled() => {}
            () = self.answer(&mut stream, &crash) => {}
        }
    }

    async fn answer(&self, stream: &mut TcpStream, crash: &CancellationToken) {
        let head = super::read_head(stream).await;
        if head.is_empty() {
            return;
        }
        let is_bad = self.trigger.is_in(&head);
        if is_bad {
            self.record.lock().arrivals.push(Instant::now());
        }
        sleep(PREFILL).await;
        let id = head.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap().trim();
        match self.trigger {
            CrashTrigger::Part(_) => self.write_stream(stream, id, is_bad.then_some(crash)).await,
            CrashTrigger::Path(_) if is_bad => self.crash(crash),
            CrashTrigger::Path(_) => {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok");
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
    }

    fn crash(&self, crash: &CancellationToken) {
        if !crash.is_cancelled() {
            self.record.lock().crashes.push(Instant::now());
        }
        crash.cancel();
    }

    /// Writes a stream, or its beginning where the server crashes on it.
    async fn write_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        crash: Option<&CancellationToken>,
    ) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes()).await;
        if let Some(crash) = crash {
            let _ = stream.write_all(b"8\r\nid: 1\nda\r\n").await;
            self.crash(crash);
            return;
        }
        for number in 1..=EVENTS {
            sleep(EVENT_PAUSE).await;
            let event = format!("id: {number}\ndata: x\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).await.unwrap()
}
