//! Starts the tasks of a process and stops them in order.

use {
    crate::{
        addresses::answer_addresses,
        control::ControlLoop,
        follow::follow_all,
        http::serve_requests,
        members::MemberTable,
        membership::MemberRegistration,
        metrics::NodeMetrics,
        peers::PeerSocket,
        ports::{AddressCodec, EngineAccess, PlatformWatch},
        reload::{CHECK_INTERVAL, ReloadOutcome, SettingsFile},
        rows::{MemberRow, RowOwner},
        settings::NodeSettings,
        share::{SharedWatch, StoreCaches, serve_caches},
        stopping::StoppedTasks,
        view::{NodeView, ViewDirectory},
    },
    base::{BootClock, Incarnation, SharedClock},
    bytes::Bytes,
    http::{Response, StatusCode},
    http_body_util::Full,
    infra::TableStore,
    reach::ServerPaths,
    relay::{
        CONFIG_TRUST, MemoryBudget, RelayService, RelayShared, RequestCodec, RetryBudget,
        ServerSign, serve_callers,
    },
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    stop::{PauseWatch, PlannedStop, StopSettings},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::mpsc,
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Queue length for the control loop's updates about group heads. Updates are dropped while the
/// queue is full, because newer ones follow.
const HEAD_UPDATE_QUEUE: usize = 16;
/// Queue length for stalled servers; one entry per server is enough.
const STALL_QUEUE: usize = 64;
/// Queue length for what requests show about servers.
const SIGN_QUEUE: usize = 64;

/// Why a process can't run.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A port can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// A signal handler can't be installed.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
}

/// The platform adapters of a process.
pub struct NodePorts<W, T, E, C, A> {
    /// Watches the platform's store.
    pub watch: Arc<W>,
    /// Reads and commits rows in the platform's store.
    pub table: Arc<T>,
    /// Access to model engines.
    pub engines: Arc<E>,
    /// The protocol of callers' requests.
    pub requests: C,
    /// The protocol of address queries.
    pub addresses: Arc<A>,
    /// Opens connections to servers.
    pub paths: Arc<ServerPaths>,
}

/// State shared by the tasks of a process.
pub(crate) struct NodeRuntime {
    pub(crate) settings: NodeSettings,
    pub(crate) own: RowOwner,
    pub(crate) shared: Arc<RelayShared>,
    pub(crate) view: Arc<NodeView>,
    pub(crate) peers: PeerSocket,
    pub(crate) pauses: Arc<PauseWatch>,
    /// Number of gossip rounds so far, which is this process's heartbeat counter.
    pub(crate) round: AtomicU64,
}

/// Runs a process until SIGTERM and then until its work is finished or the grace time is over. The
/// settings file is reloaded when it changes or on SIGHUP.
pub async fn run_node<W, T, E, C, A>(
    file: SettingsFile,
    ports: NodePorts<W, T, E, C, A>,
) -> Result<(), NodeError>
where
    W: PlatformWatch,
    T: TableStore + 'static,
    E: EngineAccess,
    C: RequestCodec,
    A: AddressCodec,
{
    let settings = file.settings().clone();
    let clock: SharedClock = Arc::new(BootClock);
    let own = RowOwner {
        node: settings.node.clone(),
        incarnation: Incarnation(rand::random::<u32>().into()),
    };
    info!(decision = "started", node = %own.node, incarnation = own.incarnation.0, "process");
    let (signs, received_signs) = mpsc::channel(SIGN_QUEUE);
    let budget = RetryBudget::new(settings.retry_limits(), clock.now());
    let mut shared = RelayShared::new(clock, budget, signs);
    shared.paths = ports.paths.clone();
    shared.buffers = Arc::new(MemoryBudget::new(settings.memory()));
    shared.descriptors = settings.descriptors();
    let pauses = Arc::new(PauseWatch::new(shared.clock.now()));
    shared.pauses = Some(pauses.clone());
    let shared = Arc::new(shared);
    shared.in_traffic.store(!settings.first_start, Ordering::Relaxed);
    shared.poison.set_admitted(settings.admitted());
    // Until it knows the others, this process must not take the rate of a server for its own.
    shared.limits.set_processes(&own.node, Vec::new());
    let view = Arc::new(NodeView::new(MemberTable::new(own.node.clone()), shared.clone()));
    shared.paths.set_directory(Arc::new(ViewDirectory::new(&view)));
    let peer_address = settings.peer_address();
    let peers =
        PeerSocket::bind(peer_address).await.context(ListenSnafu { address: peer_address })?;
    let round = AtomicU64::new(0);
    let runtime = Arc::new(NodeRuntime { settings, own, shared, view, peers, pauses, round });
    runtime.run(file, ports, received_signs).await
}

impl NodeRuntime {
    async fn run<W, T, E, C, A>(
        self: Arc<Self>,
        mut file: SettingsFile,
        ports: NodePorts<W, T, E, C, A>,
        signs: mpsc::Receiver<ServerSign>,
    ) -> Result<(), NodeError>
    where
        W: PlatformWatch,
        T: TableStore + 'static,
        E: EngineAccess,
        C: RequestCodec,
        A: AddressCodec,
    {
        let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let mut reload = signal(SignalKind::hangup()).context(SignalsSnafu)?;
        let planned = PlannedStop::new(self.shared.stop.clone());
        let stop = CancellationToken::new();
        let listen = &self.settings.listen;
        let callers = bind(listen.callers).await?;
        let service = Arc::new(RelayService::new(ports.requests, self.shared.clone()));
        let serving = tokio::spawn(serve_callers(callers, service));
        self.serve_http(listen.ready, self.readiness_responder(ports.addresses.clone()), &stop)
            .await?;
        self.serve_http(listen.addresses, self.address_responder(ports.addresses), &stop).await?;
        if let Some(port) = self.settings.metrics_port {
            let address = SocketAddr::new(self.settings.ip, port);
            // The process serves requests even if its metrics can't be served.
            if let Err(error) = self.serve_http(address, self.metrics_responder(), &stop).await {
                warn!(%error, "metrics are not served");
            }
        }
        let caches = Arc::new(StoreCaches::default());
        let clock = self.shared.clock.clone();
        let reader_listener = bind(self.settings.peer_address()).await?;
        tokio::spawn(serve_caches(
            reader_listener,
            self.view.clone(),
            caches.clone(),
            clock.clone(),
            stop.clone(),
        ));
        let watch = Arc::new(SharedWatch::new(ports.watch, self.view.clone(), caches, clock));
        tokio::spawn(follow_all(watch, self.view.clone(), stop.clone()));
        tokio::spawn(self.clone().send_gossip(stop.clone()));
        let (local_sender, local_stalls) = mpsc::channel(STALL_QUEUE);
        tokio::spawn(self.clone().receive_gossip(local_sender.clone()));
        tokio::spawn(self.clone().forward_signs(signs, local_sender));
        tokio::spawn(self.clone().broadcast_poison_updates(stop.clone()));
        tokio::spawn(self.clone().broadcast_limit_updates(stop.clone()));
        tokio::spawn(self.clone().send_limit_questions(stop.clone()));
        tokio::spawn(self.clone().send_turn_questions(stop.clone()));
        let (head_updates, update_receiver) = mpsc::channel(HEAD_UPDATE_QUEUE);
        tokio::spawn(self.clone().broadcast_head_updates(update_receiver));
        let control_stop = stop.child_token();
        let control = tokio::spawn(ControlLoop::run(
            ports.table.clone(),
            ports.engines,
            self.view.clone(),
            self.shared.clone(),
            self.own.clone(),
            self.settings.staged(),
            local_stalls,
            head_updates,
            control_stop.clone(),
        ));
        let leaving = stop.child_token();
        let registration = self.registration(ports.table.clone());
        let joining = tokio::spawn(registration.run(leaving.clone()));
        let mut file_checks = tokio::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => self.reload(&mut file),
                _ = file_checks.tick() => if file.has_changed() {
                    self.reload(&mut file);
                },
            }
        }
        let settings = StopSettings::within(file.settings().grace());
        let tasks = StoppedTasks { serving, joining, leaving, control, control_stop };
        self.stop_in_order(planned, &settings, tasks).await;
        stop.cancel();
        Ok(())
    }

    fn registration<T: TableStore>(&self, table: Arc<T>) -> MemberRegistration<T> {
        let row = MemberRow {
            incarnation: self.own.incarnation,
            peers: self.settings.peer_address(),
            callers: self.settings.listen.callers,
            failure_domain: self.settings.failure_domain.clone(),
        };
        let clock = self.shared.clock.clone();
        MemberRegistration::new(table, self.view.clone(), clock, self.own.clone(), &row)
    }

    fn reload(&self, file: &mut SettingsFile) {
        match file.reload() {
            ReloadOutcome::Unchanged => info!(decision = "reload", changed = false, "process"),
            ReloadOutcome::Applied { needs_restart } => {
                self.shared.budget.set_limits(file.settings().retry_limits());
                self.shared.poison.set_admitted(file.settings().admitted());
                info!(decision = "reload", changed = true, needs_restart = ?needs_restart,
                    "process");
            }
            ReloadOutcome::Refused { error } => {
                warn!(decision = "reload-refused", %error, "process");
            }
        }
    }

    async fn serve_http(
        &self,
        address: SocketAddr,
        answer: HttpResponder,
        stop: &CancellationToken,
    ) -> Result<(), NodeError> {
        let listener = bind(address).await?;
        let most = self.shared.descriptors.for_own_port();
        tokio::spawn(serve_requests(listener, most, answer, stop.clone()));
        Ok(())
    }

    fn readiness_responder<A: AddressCodec>(self: &Arc<Self>, codec: Arc<A>) -> HttpResponder {
        let runtime = self.clone();
        Arc::new(move |request| {
            if !codec.is_readiness_probe(request.uri()) {
                return empty(StatusCode::NOT_FOUND);
            }
            let leaving = runtime.shared.stop.is_stopping();
            let ready = !leaving && runtime.view.with(|state| state.is_ready());
            empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        })
    }

    fn address_responder<A: AddressCodec>(self: &Arc<Self>, codec: Arc<A>) -> HttpResponder {
        let runtime = self.clone();
        Arc::new(move |request| {
            if codec.parse_query(request.uri()).is_none() {
                return empty(StatusCode::NOT_FOUND);
            }
            let now = runtime.shared.clock.now();
            let has_platform = runtime.view.config_age().is_some_and(|age| age < CONFIG_TRUST);
            let answer =
                runtime.view.with(|state| answer_addresses(&state.members, now, has_platform));
            if answer.addresses.is_empty() {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            codec.write_answer(&answer)
        })
    }

    fn metrics_responder(self: &Arc<Self>) -> HttpResponder {
        let metrics = NodeMetrics::new(self.view.clone(), self.shared.clone());
        Arc::new(move |_| Response::new(Full::new(Bytes::from(metrics.render()))))
    }
}

type HttpResponder =
    Arc<dyn Fn(&http::Request<hyper::body::Incoming>) -> Response<Full<Bytes>> + Send + Sync>;

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}
