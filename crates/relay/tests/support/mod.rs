//! Runs a relay between a caller and scripted servers on loopback.

pub(crate) mod crashing_servers;
pub(crate) mod log_text;

use {
    base::{
        BootClock, FailureDomainId, HostId, ModelName, RatePerSecond, ServiceName, SharedClock,
        TokenCount, WorkspaceId,
    },
    bytes::Bytes,
    cost::{EngineSpeed, UsualSize},
    futures::future::{BoxFuture, FutureExt, pending, ready},
    http::{HeaderMap, HeaderValue, Response, StatusCode, request, response},
    http_body_util::Full,
    limit::NamedLimit,
    poison::{PromptParts, SuspectId},
    reach::{FORWARD_QUERY, ListedServer, PeerHost, ServerDialer, ServerDirectory, ServerPaths},
    relay::{
        AnswerFacts, BackendCall, BackendServer, CallerHead, CallerLimits, EngineSpeeds, HeadError,
        Refusal, RelayConfig, RelayService, RelayShared, RequestCodec, RequestId, RequestKind,
        RetryBudget, RetryLimits, RouteRule, ServerId, ServerSign, ServerTable, ServiceSplit,
        Verdict, WorkspaceRule, serve_callers,
    },
    socket2::{Domain, SockRef, Socket, Type},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    stop::{Leaving, PauseWatch, PlannedStop, StopSettings},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// What a scripted server does with one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behavior {
    /// Sends these bytes and keeps the connection.
    Send(&'static str),
    /// Sends these bytes and closes the connection.
    SendAndClose(&'static str),
    /// Sends these bytes and resets the connection a moment later.
    SendAndReset(&'static str),
    /// Sends nothing and keeps the connection.
    Hang,
    /// Sends the pieces with a pause before each, then keeps the connection.
    Paced(&'static [&'static str], Duration),
    /// Sends the first text, and the second one after a pause, then keeps the connection.
    Interrupted(&'static str, Duration, &'static str),
    /// Sends the first text, then the second one again and again until the connection closes, with
    /// a pause after each.
    Endless(&'static str, &'static str, Duration),
}

/// A server that handles every request in the same way.
pub(crate) struct ScriptedServer {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<parking_lot::Mutex<Vec<String>>>,
    pub(crate) closed: Arc<AtomicUsize>,
}

impl ScriptedServer {
    pub(crate) async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(parking_lot::Mutex::new(Vec::new()));
        let closed = Arc::new(AtomicUsize::new(0));
        let server = Self { address, requests: requests.clone(), closed: closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, behavior, requests.clone(), closed.clone()));
            }
        });
        server
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.lock().len()
    }
}

async fn answer(
    mut stream: TcpStream,
    behavior: Behavior,
    requests: Arc<parking_lot::Mutex<Vec<String>>>,
    closed: Arc<AtomicUsize>,
) {
    let head = read_head(&mut stream).await;
    if head.is_empty() {
        return;
    }
    requests.lock().push(head);
    match behavior {
        Behavior::Send(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
        }
        Behavior::SendAndClose(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            return;
        }
        Behavior::SendAndReset(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            sleep(Duration::from_millis(50)).await;
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        Behavior::Hang => {}
        Behavior::Paced(pieces, pause) => {
            for piece in pieces {
                sleep(pause).await;
                let _ = stream.write_all(piece.as_bytes()).await;
            }
        }
        Behavior::Interrupted(first, pause, rest) => {
            let _ = stream.write_all(first.as_bytes()).await;
            sleep(pause).await;
            let _ = stream.write_all(rest.as_bytes()).await;
        }
        Behavior::Endless(first, filler, pause) => {
            let mut next = first;
            while stream.write_all(next.as_bytes()).await.is_ok() {
                next = filler;
                sleep(pause).await;
            }
        }
    }
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
    closed.fetch_add(1, Ordering::SeqCst);
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).to_lowercase()
}

/// A codec with short header names.
#[derive(Clone, Copy)]
pub(crate) struct TestCodec;

impl RequestCodec for TestCodec {
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, HeadError> {
        let get = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = get("x-id").ok_or(HeadError::Missing { header: "x-id" })?;
        Ok(CallerHead {
            id: RequestId(id.into()),
            host: "h".into(),
            key: get("x-key").map(Into::into),
            deadline: get("x-deadline")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            model: get("x-model").and_then(|name| ModelName::new(name).ok()),
            size: None,
            parts: PromptParts::new(
                get("x-parts")
                    .into_iter()
                    .flat_map(|text| text.split(','))
                    .map(SuspectId::from_wire),
            ),
            last_event: get("x-last").and_then(|text| text.parse().ok()),
        })
    }

    fn write_call(&self, headers: &mut HeaderMap, call: &BackendCall<'_>) {
        headers.remove("x-key");
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::CONNECTION);
        if let Some(workspace) = call.workspace {
            headers.insert("x-workspace", HeaderValue::from_str(workspace.as_str()).unwrap());
        }
        if let Some(event) = call.last_event {
            headers.insert("x-after", HeaderValue::from(event));
        }
    }

    fn read_answer(&self, id: &RequestId, head: &response::Parts) -> AnswerFacts {
        let echoed = head.headers.get("x-id").map(|value| value.as_bytes() == id.0.as_bytes());
        let verdict = match (echoed, head.headers.contains_key("x-not-run")) {
            (Some(false), _) => Verdict::Foreign,
            (_, true) => Verdict::NotRun,
            (Some(true), false) => Verdict::Answered,
            (None, false) => Verdict::Foreign,
        };
        let number = |name: &str| head.headers.get(name)?.to_str().ok()?.parse().ok();
        let leaving = head.headers.contains_key("x-leaving");
        let quiet = number("x-quiet-ms").map(Duration::from_millis);
        let limit = match head.headers.get("x-limit").and_then(|value| value.to_str().ok()) {
            Some(text) => text.parse().map_or(NamedLimit::Unreadable, NamedLimit::Rate),
            None => NamedLimit::Absent,
        };
        AnswerFacts { verdict, load: None, leaving, quiet, limit }
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        headers.remove(http::header::CONNECTION);
        headers.remove(http::header::TRANSFER_ENCODING);
    }

    fn refuse(&self, _id: Option<&RequestId>, refusal: &Refusal) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::from(refusal.kind.code()));
        if let Some(span) = refusal.retry_after {
            let millis = u64::try_from(span.as_millis()).unwrap();
            response.headers_mut().insert("x-retry-ms", HeaderValue::from(millis));
        }
        *response.status_mut() = match refusal.kind.promises_not_run() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::BAD_GATEWAY,
        };
        response
    }
}

/// The links of a process that is cut off from all servers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LostLinks {
    /// Connections are refused.
    Refused,
    /// Connections are neither accepted nor refused.
    Silent,
}

impl ServerDialer for LostLinks {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        match self {
            Self::Refused => ready(Err(io::ErrorKind::ConnectionRefused.into())).boxed(),
            Self::Silent => pending().boxed(),
        }
    }
}

/// The servers of a relay as its peers may ask for them.
struct TableDirectory(Arc<ServerTable>);

impl ServerDirectory for TableDirectory {
    fn find(&self, server: &HostId) -> Option<ListedServer> {
        self.0.all().find(|known| known.id == *server).map(listed_server)
    }

    fn sample(&self, _: &ServiceName, except: &HostId) -> Option<ListedServer> {
        self.0.all().find(|known| known.id != *except).map(listed_server)
    }
}

fn listed_server(server: &BackendServer) -> ListedServer {
    let service = ServiceName::new("s").unwrap();
    ListedServer { id: server.id.clone(), address: server.address, service }
}

/// A relay that serves callers on loopback.
pub(crate) struct TestRelay {
    pub(crate) address: SocketAddr,
    pub(crate) shared: Arc<RelayShared>,
    signs: tokio::sync::Mutex<mpsc::Receiver<ServerSign>>,
}

impl TestRelay {
    pub(crate) async fn start(kind: RequestKind, servers: &[&ScriptedServer]) -> Self {
        Self::start_with(kind, 2, servers.iter().map(|server| server.address).collect()).await
    }

    pub(crate) async fn start_with(
        kind: RequestKind,
        attempts: u32,
        servers: Vec<SocketAddr>,
    ) -> Self {
        Self::start_over(kind, attempts, servers, Arc::default()).await
    }

    /// Starts a relay that has lost its links to all servers.
    pub(crate) async fn start_with_links(
        kind: RequestKind,
        servers: &[&ScriptedServer],
        links: LostLinks,
    ) -> Self {
        let servers = servers.iter().map(|server| server.address).collect();
        Self::start_over(kind, 2, servers, Arc::new(ServerPaths::new(Arc::new(links)))).await
    }

    /// Starts a relay that notes with `pauses` when it stood still.
    pub(crate) async fn start_with_pauses(
        kind: RequestKind,
        servers: Vec<SocketAddr>,
        pauses: Arc<PauseWatch>,
    ) -> Self {
        Self::start_noting(kind, 2, servers, Arc::default(), Some(pauses)).await
    }

    /// Makes the peers known to this relay.
    pub(crate) async fn join_peers(&self, peers: &[&TestRelay]) {
        let mut hosts = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            let node = HostId::new(format!("peer-{index}")).unwrap();
            hosts.push(PeerHost { node, address: peer.serve_forwards().await, is_near: true });
        }
        self.shared.paths.set_peers(hosts);
    }

    /// Accepts connections of peers at the returned address.
    async fn serve_forwards(&self) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = self.shared.clone();
        let servers = shared.servers.load_full();
        shared.paths.set_directory(Arc::new(TableDirectory(servers)));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let shared = shared.clone();
                tokio::spawn(async move {
                    assert_eq!(stream.read_u8().await.unwrap(), FORWARD_QUERY);
                    // Its end is seen at the asking process.
                    let _ = shared.paths.serve_forward(stream).await;
                });
            }
        });
        address
    }

    async fn start_over(
        kind: RequestKind,
        attempts: u32,
        servers: Vec<SocketAddr>,
        paths: Arc<ServerPaths>,
    ) -> Self {
        Self::start_noting(kind, attempts, servers, paths, None).await
    }

    async fn start_noting(
        kind: RequestKind,
        attempts: u32,
        servers: Vec<SocketAddr>,
        paths: Arc<ServerPaths>,
        pauses: Option<Arc<PauseWatch>>,
    ) -> Self {
        let service = ServiceName::new("s").unwrap();
        let clock: SharedClock = Arc::new(BootClock);
        let began = clock.now().back(Duration::from_secs(60));
        let retry_limits =
            RetryLimits { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
        let (signs, received_signs) = mpsc::channel(8);
        let mut shared = RelayShared::new(clock, RetryBudget::new(retry_limits, began), signs);
        shared.paths = paths;
        shared.pauses = pauses;
        shared.config.store(Some(Arc::new(config(kind, attempts, service))));
        shared.servers.store(Arc::new(server_table("s", servers)));
        let shared = Arc::new(shared);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Arc::new(RelayService::new(TestCodec, shared.clone()));
        tokio::spawn(serve_callers(listener, service));
        Self { address, shared, signs: tokio::sync::Mutex::new(received_signs) }
    }

    /// Replaces the list of servers by ones with new ids.
    pub(crate) fn replace_servers(&self, addresses: Vec<SocketAddr>) {
        self.shared.servers.store(Arc::new(server_table("t", addresses)));
    }

    /// Makes the servers model engines of a known speed.
    pub(crate) fn set_engines(&self) {
        let speed = EngineSpeed {
            step: Duration::from_millis(6),
            step_per_stream: Duration::from_micros(241),
            step_per_context: Duration::from_micros(5),
            read_rate: RatePerSecond(46_000.0),
            read_pairs: Duration::ZERO,
            stride: 5,
            slots: 34,
            usual: UsualSize { prompt: TokenCount(915), answer: TokenCount(108) },
            paces: BTreeMap::new(),
        };
        let service = ServiceName::new("s").unwrap();
        let speeds = EngineSpeeds::from([(service, Arc::new(speed))]);
        let config = RelayConfig::clone(&self.shared.config.load_full().unwrap());
        self.shared.config.store(Some(Arc::new(config.with_engines(speeds))));
    }

    /// Tells the relay to stop, with its last answers due after a time.
    pub(crate) fn stop(&self, answers_due_after: Duration) -> PlannedStop<Leaving> {
        let settings = StopSettings { answers_due_after, ..StopSettings::default() };
        let now = self.shared.clock.now();
        PlannedStop::new(self.shared.stop.clone()).leave(&settings, now)
    }

    /// Sends one request and reads until the connection is closed, or for 5 s at most.
    pub(crate) async fn ask(&self, extra: &str) -> String {
        self.ask_path("/a/b", extra).await
    }

    /// The same for a path of its own.
    pub(crate) async fn ask_path(&self, path: &str, extra: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n{extra}connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// The next server that was reported as leaving.
    pub(crate) async fn reported_leaving(&self) -> ServerId {
        let mut signs = self.signs.lock().await;
        loop {
            match signs.recv().await.unwrap() {
                ServerSign::Leaving(server) => return server,
                ServerSign::Stalled(_) => {}
            }
        }
    }

    /// Sends one request and closes the connection after `after`.
    pub(crate) async fn ask_and_leave(&self, after: Duration) {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream
            .write_all(b"GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\r\n")
            .await
            .unwrap();
        sleep(after).await;
    }
}

/// Servers of the only service; their ids begin with `prefix`.
fn server_table(prefix: &str, addresses: Vec<SocketAddr>) -> ServerTable {
    let servers = addresses.into_iter().enumerate().map(|(index, address)| BackendServer {
        id: HostId::new(format!("{prefix}{index}")).unwrap(),
        address,
        failure_domain: FailureDomainId::new("z").unwrap(),
        model: None,
        counters: Arc::default(),
    });
    let service = ServiceName::new("s").unwrap();
    ServerTable::new(BTreeMap::from([(service, servers.collect())]))
}

fn config(kind: RequestKind, attempts: u32, service: ServiceName) -> RelayConfig {
    let rule = RouteRule {
        name: "r".into(),
        prefix: "/a/".into(),
        kind,
        timeout: Duration::from_secs(3),
        attempts,
        public: false,
        splits: vec![ServiceSplit { service, weight: 1.0 }],
    };
    let workspace = WorkspaceRule { name: WorkspaceId::new("w").unwrap(), keys: vec!["k".into()] };
    RelayConfig::new(1, vec![("h".into(), rule)], vec![workspace], CallerLimits::default())
}

/// An address that accepts no connection and refuses none: the queue of its listener is full. Holds
/// as long as the returned sockets.
pub(crate) async fn unresponsive_address() -> (SocketAddr, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(1).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        // The connection is made in the background, as far as there is room.
        let _ = filler.connect(&address.into());
        sockets.push(filler);
    }
    sleep(Duration::from_millis(50)).await;
    (address, sockets)
}
