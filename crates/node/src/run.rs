//! Starts the tasks of a process and stops them in order.

use {
    crate::{
        addresses::answer_addresses,
        control::ControlLoop,
        follow::follow_all,
        http::serve_requests,
        members::MemberTable,
        metrics::NodeMetrics,
        peers::PeerSocket,
        ports::{AddressCodec, EngineAccess, PlatformWatch},
        reload::{CHECK_INTERVAL, ReloadOutcome, SettingsFile},
        rows::{MemberRow, RowName, RowOwner},
        settings::NodeSettings,
        share::{SharedWatch, StoreCaches, serve_caches},
        view::NodeView,
    },
    base::{BootClock, Incarnation, SharedClock, Tick},
    bytes::Bytes,
    http::{Response, StatusCode},
    http_body_util::Full,
    infra::{TableStore, Transaction},
    relay::{
        RelayService, RelayShared, RequestCodec, RetryBudget, ServerSign, StopPhase, serve_callers,
    },
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Time from SIGTERM until the port for callers is closed; longer than callers cache addresses.
/// Limited to [`MAX_LEAVE_SHARE`] of the grace time, so that the last requests can still finish
/// within it.
const LEAVE_TIME: Duration = Duration::from_millis(4_000);
/// Largest share of the grace time that [`LEAVE_TIME`] may take.
const MAX_LEAVE_SHARE: f64 = 0.5;
/// How long before the end of the grace time the process exits even with unfinished requests.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Pause before this process checks again whether it is ready to register, or repeats a failed
/// write of its member row.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after a write of the member row until the row watch must have shown it; then the store has
/// lost the row.
const REWRITE_DELAY: Duration = Duration::from_millis(2_500);
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
}

/// State shared by the tasks of a process.
pub(crate) struct NodeRuntime {
    settings: NodeSettings,
    pub(crate) own: RowOwner,
    pub(crate) shared: Arc<RelayShared>,
    pub(crate) view: Arc<NodeView>,
    pub(crate) peers: PeerSocket,
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
    let shared = Arc::new(RelayShared::new(clock, budget, signs));
    shared.in_traffic.store(!settings.first_start, Ordering::Relaxed);
    shared.poison.set_admitted(settings.admitted());
    // Until it knows the others, this process must not take the rate of a server for its own.
    shared.limits.set_processes(&own.node, Vec::new());
    let view = Arc::new(NodeView::new(MemberTable::new(own.node.clone()), shared.clone()));
    let peer_address = settings.peer_address();
    let peers =
        PeerSocket::bind(peer_address).await.context(ListenSnafu { address: peer_address })?;
    let runtime =
        Arc::new(NodeRuntime { settings, own, shared, view, peers, round: AtomicU64::new(0) });
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
        let stop = CancellationToken::new();
        let (phase, phases) = watch::channel(StopPhase::Running);
        let listen = &self.settings.listen;
        let callers = bind(listen.callers).await?;
        let service = Arc::new(RelayService::new(ports.requests, self.shared.clone()));
        let serving = tokio::spawn(serve_callers(callers, service, phases));
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
            local_stalls,
            head_updates,
            control_stop.clone(),
        ));
        let joining = tokio::spawn(self.clone().register_member(ports.table.clone(), stop.clone()));
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
        let signalled_at = self.shared.clock.now();
        info!(decision = "stopping", requests = self.shared.work.len(), "process");
        self.shared.leaving.store(true, Ordering::Relaxed);
        let _ = phase.send(StopPhase::Leaving);
        let grace = file.settings().grace();
        let leave_time = LEAVE_TIME.min(grace.mul_f64(MAX_LEAVE_SHARE));
        let deadline = tokio::time::Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        joining.abort();
        control_stop.cancel();
        self.send_to_all(&self.message());
        let deregister_member = self.deregister_member(&*ports.table);
        let handover = async {
            let _ = timeout(leave_time, async { tokio::join!(deregister_member, control) }).await;
        };
        tokio::join!(handover, sleep(leave_time));
        let _ = phase.send(StopPhase::Draining);
        if tokio::time::timeout_at(deadline, serving).await.is_err() {
            self.log_open_requests(signalled_at);
            let requests = self.shared.work.len();
            warn!(decision = "stopped", unfinished = true, requests, "process");
        } else {
            info!(decision = "stopped", unfinished = false, "process");
        }
        stop.cancel();
        Ok(())
    }

    /// Logs each request that the end of the process cuts.
    fn log_open_requests(&self, signalled_at: Tick) {
        let now = self.shared.clock.now();
        for request in self.shared.work.snapshot() {
            let took_ms = now.since(request.began).as_millis() as u64;
            let after_signal_ms = request.began.since(signalled_at).as_millis() as u64;
            warn!(id = %request.id, decision = "cut-by-stop", kind = request.kind,
                stage = %request.stage, took_ms, after_signal_ms, "request");
        }
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
        tokio::spawn(serve_requests(listener, answer, stop.clone()));
        Ok(())
    }

    fn readiness_responder<A: AddressCodec>(self: &Arc<Self>, codec: Arc<A>) -> HttpResponder {
        let runtime = self.clone();
        Arc::new(move |request| {
            if !codec.is_readiness_probe(request.uri()) {
                return empty(StatusCode::NOT_FOUND);
            }
            let leaving = runtime.shared.leaving.load(Ordering::Relaxed);
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
            let answer = runtime.view.with(|state| answer_addresses(&state.members, now));
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

    /// Writes this process's member row once it can serve requests, and again whenever the store has
    /// lost it.
    async fn register_member<T: TableStore>(
        self: Arc<Self>,
        table: Arc<T>,
        stop: CancellationToken,
    ) {
        let row = MemberRow {
            incarnation: self.own.incarnation,
            peers: self.settings.peer_address(),
            callers: self.settings.listen.callers,
            failure_domain: self.settings.failure_domain.clone(),
        };
        let value = serde_json::to_string(&row).expect("a row of plain values always serializes");
        let key = RowName::Member(self.own.node.clone()).key();
        let mut written_at: Option<Tick> = None;
        while !stop.is_cancelled() {
            let now = self.shared.clock.now();
            let is_due = self
                .view
                .with(|state| state.is_ready() && !state.members.has_own_row(self.own.incarnation));
            if is_due && written_at.is_none_or(|at| now.since(at) >= REWRITE_DELAY) {
                let transaction = Transaction::default().put(key.clone(), value.clone());
                match table.commit(transaction).await {
                    Ok(_) => {
                        info!(decision = "row-written", again = written_at.is_some(), "state");
                        written_at = Some(now);
                    }
                    Err(error) => warn!(why = %error, "failed to write the member row"),
                }
            }
            sleep(REGISTER_RETRY_DELAY).await;
        }
    }

    async fn deregister_member<T: TableStore>(&self, table: &T) {
        let key = RowName::Member(self.own.node.clone()).key();
        if let Err(error) = table.commit(Transaction::default().delete(key)).await {
            warn!(why = %error, "failed to delete the member row");
        }
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
