//! Opens connections to servers on the path that works.

use {
    crate::{
        board::{PeerBoard, PeerHost},
        dial::{ServerDialer, TcpDialer},
        directory::{ListedServer, ServerDirectory},
        error::ConnectError,
        race::ConnectRace,
        stream::ServerStream,
        tracker::{PathTracker, TrackerSettings},
    },
    base::{BootClock, HostId, ServiceName, SharedClock, Tick},
    parking_lot::Mutex,
    std::{
        fmt,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
    tracing::{info, warn},
};

/// Timeout for a new connection. Servers are a few milliseconds away; TCP resends a lost first packet
/// only after a second, and by then another server is the better choice.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// A server to connect to.
#[derive(Clone, Copy, Debug)]
pub struct ServerTarget<'a> {
    /// Id of the server's incarnation.
    pub server: &'a HostId,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// What the connection is for, such as the id of a request; for logs.
    pub purpose: &'a str,
}

/// Numbers of connections since the process started, and what is open now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// Direct connections that were made.
    pub direct: u64,
    /// Connections that peers opened for this process.
    pub forwarded: u64,
    /// Servers that a peer reaches and this process does not.
    pub detoured: usize,
    /// Connections that this process passes on for peers.
    pub open_forwards: usize,
}

/// Opens connections to servers.
pub struct ServerPaths {
    pub(crate) dialer: Arc<dyn ServerDialer>,
    pub(crate) clock: SharedClock,
    directory: OnceLock<Arc<dyn ServerDirectory>>,
    pub(crate) tracker: Mutex<PathTracker>,
    pub(crate) board: Mutex<PeerBoard>,
    direct: AtomicU64,
    forwarded: AtomicU64,
    pub(crate) forwards: AtomicUsize,
    pub(crate) declines_forwards: AtomicBool,
    pub(crate) forwards_ended: Notify,
}

impl fmt::Debug for ServerPaths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerPaths").field("counts", &self.counts()).finish_non_exhaustive()
    }
}

impl Default for ServerPaths {
    fn default() -> Self {
        Self::new(Arc::new(TcpDialer))
    }
}

impl ServerPaths {
    /// Opens direct connections through `dialer`.
    pub fn new(dialer: Arc<dyn ServerDialer>) -> Self {
        Self {
            dialer,
            clock: Arc::new(BootClock),
            directory: OnceLock::new(),
            tracker: Mutex::new(PathTracker::new(TrackerSettings::default())),
            board: Mutex::default(),
            direct: AtomicU64::new(0),
            forwarded: AtomicU64::new(0),
            forwards: AtomicUsize::new(0),
            declines_forwards: AtomicBool::new(false),
            forwards_ended: Notify::new(),
        }
    }

    /// Replaces the peers that may be asked for forwards.
    pub fn set_peers(&self, peers: Vec<PeerHost>) {
        self.board.lock().set_peers(peers);
    }

    /// Sets the list of servers; the first one stays. Without it all servers count as of one service,
    /// and no forwards are given.
    pub fn set_directory(&self, directory: Arc<dyn ServerDirectory>) {
        if self.directory.set(directory).is_err() {
            warn!("the list of servers is set already");
        }
    }

    /// Connects to a server within [`CONNECT_LIMIT`].
    pub async fn connect(&self, target: ServerTarget<'_>) -> Result<ServerStream, ConnectError> {
        self.connect_within(target, CONNECT_LIMIT).await
    }

    /// Connects to a server. `limit` can only shorten [`CONNECT_LIMIT`].
    pub async fn connect_within(
        &self,
        target: ServerTarget<'_>,
        limit: Duration,
    ) -> Result<ServerStream, ConnectError> {
        let limit = limit.min(CONNECT_LIMIT);
        let mut race = ConnectRace::new(self, target, limit);
        if let Ok(end) = timeout(limit, race.run()).await {
            return end;
        }
        Err(race.give_up())
    }

    /// Records that a server answered over a connection that was kept.
    pub fn note_answer(&self, server: &HostId) {
        self.tracker.lock().note_answer(self.service_of(server).as_ref(), self.clock.now());
    }

    /// Whether the links of this process to the service of `server` have worked since `at`. If not, a
    /// failure may be theirs rather than the server's.
    pub fn works_since(&self, server: &HostId, at: Tick) -> bool {
        self.tracker.lock().works_since(self.service_of(server).as_ref(), at)
    }

    /// The clock of these paths.
    pub fn clock(&self) -> SharedClock {
        self.clock.clone()
    }

    /// The time on the clock of these paths.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    pub(crate) fn find(&self, server: &HostId) -> Option<ListedServer> {
        self.directory.get()?.find(server)
    }

    pub(crate) fn sample(&self, service: &ServiceName, except: &HostId) -> Option<ListedServer> {
        self.directory.get()?.sample(service, except)
    }

    pub(crate) fn service_of(&self, server: &HostId) -> Option<ServiceName> {
        self.find(server).map(|listed| listed.service)
    }

    /// Current counts, for metrics.
    pub fn counts(&self) -> PathCounts {
        PathCounts {
            direct: self.direct.load(Ordering::Relaxed),
            forwarded: self.forwarded.load(Ordering::Relaxed),
            detoured: self.tracker.lock().detoured(),
            open_forwards: self.forwards.load(Ordering::Relaxed),
        }
    }

    /// Connections that this process passes on for peers.
    pub fn open_forwards(&self) -> usize {
        self.forwards.load(Ordering::Relaxed)
    }

    /// Declines new forwards and waits for the end of those that peers use.
    pub async fn finish_forwards(&self) {
        self.declines_forwards.store(true, Ordering::Relaxed);
        loop {
            let ended = self.forwards_ended.notified();
            if self.forwards.load(Ordering::Relaxed) == 0 {
                return;
            }
            ended.await;
        }
    }

    pub(crate) fn note_direct(&self, server: &HostId, service: Option<&ServiceName>) {
        self.direct.fetch_add(1, Ordering::Relaxed);
        let (was_detoured, detoured) = {
            let mut tracker = self.tracker.lock();
            (tracker.note_direct(server, service, self.clock.now()), tracker.detoured())
        };
        if was_detoured {
            info!(decision = "reached-again", %server, detoured, "reach");
        }
    }

    pub(crate) fn note_forwarded(
        &self,
        server: &HostId,
        service: Option<&ServiceName>,
        peer: &HostId,
    ) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        self.board.lock().note_success(peer);
        let (is_new, detoured) = {
            let mut tracker = self.tracker.lock();
            (tracker.note_detour(server, service, self.clock.now()), tracker.detoured())
        };
        if is_new {
            info!(decision = "cut-off", %server, reached_by = %peer, detoured, "reach");
        }
    }
}
