//! Puts the controller's parts together and runs them.

use {
    crate::{
        groups::{GroupsContext, metrics::GroupMetrics},
        member::liveness::HearingLog,
        net::{
            announce::NewsPusher,
            gossip::{GossipDesk, PeerGossip},
            loads::LoadBook,
            service::PeerService,
            shares::ShareKeeper,
        },
        operator::{
            api::{AdminContext, AdminServer, start_admin},
            metrics::ControllerMetrics,
            tickets::TicketDesk,
        },
        state::{
            node::{NodeCore, NodeTiming},
            reader::StateReader,
            sync::TableSync,
            writer::ChangeWriter,
        },
        stop::stop_member,
        tasks::{MemberKeeper, able_members, run_hosts, run_sync},
    },
    base::{Incarnation, MemberId, SharedClock},
    conf::settings::ControllerSettings,
    engine::EngineControl,
    infra::{HostDirectory, TableStore},
    parking_lot::Mutex,
    peer::{DatagramEndpoint, MemberRow, MessageCodec, PeerClient, PeerServer, TrafficCounter},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Longest wait for a peer over TCP.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the controller needs of the world outside.
#[derive(Clone)]
pub struct ControllerPorts {
    /// The table service.
    pub table: Arc<dyn TableStore>,
    /// The host list.
    pub hosts: Arc<dyn HostDirectory>,
    /// The engines.
    pub engine: Arc<dyn EngineControl>,
    /// The node's clock.
    pub clock: SharedClock,
}

/// Why the controller did not start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} ({setting}): {source}; choose a free address"))]
    Listen {
        /// The setting that names it.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The interface for operators did not start.
    #[snafu(display("cannot serve operators on {address} (admin_listen): {detail}"))]
    Admin {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
}

/// A controller that listens and is ready to run.
pub struct Controller {
    settings: Arc<ControllerSettings>,
    ports: ControllerPorts,
    codec: MessageCodec,
    traffic: Arc<TrafficCounter>,
    node: Arc<NodeCore>,
    listener: TcpListener,
    endpoint: DatagramEndpoint,
    admin: AdminServer,
    metrics: Arc<ControllerMetrics>,
    loads: Arc<LoadBook>,
    shares: Arc<ShareKeeper>,
    service: Arc<PeerService>,
    writer: ChangeWriter,
    row: MemberRow,
}

impl Controller {
    /// Takes the addresses of the settings; a port 0 becomes a free one.
    pub async fn bind(
        settings: ControllerSettings,
        ports: ControllerPorts,
    ) -> Result<Self, RunError> {
        Self::bind_as(settings, ports, MessageCodec::default()).await
    }

    /// Like [`Controller::bind`], with a given highest message version.
    pub async fn bind_as(
        settings: ControllerSettings,
        ports: ControllerPorts,
        codec: MessageCodec,
    ) -> Result<Self, RunError> {
        let traffic = Arc::new(TrafficCounter::default());
        let (listener, endpoint) = listen(settings.peer_listen, codec, &traffic).await?;
        let peer_address = listener
            .local_addr()
            .context(ListenSnafu { setting: "peer_listen", address: settings.peer_listen })?;
        let timing = NodeTiming::from(&settings.freshness);
        let node = Arc::new(NodeCore::new(settings.host.clone(), ports.clock.clone(), timing));
        let reader = StateReader::new(ports.table.clone(), ports.clock.clone());
        let writer = ChangeWriter::new(TableSync::new(reader.clone(), node.clone()));
        let loads = Arc::new(LoadBook::default());
        let metrics = Arc::new(ControllerMetrics::new(traffic.clone()));
        let context = AdminContext {
            node: node.clone(),
            loads: loads.clone(),
            desk: TicketDesk::new(writer.clone()),
            table: ports.table.clone(),
            metrics: metrics.clone(),
        };
        let address = settings.admin_listen;
        let admin = start_admin(Arc::new(context), address)
            .map_err(|detail| RunError::Admin { address, detail })?;
        let row = member_row(&settings, peer_address, admin.local_addr(), codec.highest());
        let shares = Arc::new(ShareKeeper::new(node.clone(), loads.clone()));
        let service = PeerService::new(node.clone(), loads.clone(), shares.clone(), reader);
        Ok(Self {
            settings: Arc::new(settings),
            ports,
            codec,
            traffic,
            node,
            listener,
            endpoint,
            admin,
            metrics,
            loads,
            shares,
            service: Arc::new(service),
            writer,
            row,
        })
    }

    /// The node's knowledge.
    pub fn node(&self) -> &Arc<NodeCore> {
        &self.node
    }

    /// This node's row, with the addresses it listens on.
    pub fn row(&self) -> &MemberRow {
        &self.row
    }

    /// Bytes to and from peers and gateways.
    pub fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// Runs until `stop` is cancelled, then stops as planned: hands its fabric domains over, leaves
    /// the view and ends.
    pub async fn run(self, stop: CancellationToken) {
        let tracker = TaskTracker::new();
        let tokens = StopTokens::default();
        let hearing = Arc::new(Mutex::new(HearingLog::default()));
        let client =
            Arc::new(PeerClient::with_codec(PEER_TIMEOUT, self.codec, self.traffic.clone()));
        self.spawn_reads(&tracker, &tokens, &client);
        self.spawn_service(&tracker, &tokens, &client);
        self.spawn_groups(&tracker, &tokens);
        let keeper =
            MemberKeeper { writer: self.writer.clone(), row: self.row, hearing: hearing.clone() };
        tracker.spawn(keeper.run(tokens.changes.clone()));
        let desk = GossipDesk::new(
            self.node.clone(),
            self.loads,
            hearing.clone(),
            self.codec,
            rand::random(),
        );
        let period = Duration::from_millis(self.settings.peer_poll_ms);
        spawn_gossip(&tracker, &tokens, PeerGossip::new(desk, self.endpoint), period);
        let server = PeerServer::with_codec(self.service, self.codec, self.traffic);
        tracker.spawn(server.run(self.listener, tokens.serving.clone()));

        stop.cancelled().await;
        tracing::info!("planned stop");
        tokens.changes.cancel();
        let able = able_members(&self.node, &hearing);
        let limit = Duration::from_millis(self.settings.stop_limit_ms);
        stop_member(&self.writer, able, limit, &tokens.answers).await;
        tokens.serving.cancel();
        tracker.close();
        tracker.wait().await;
        if let Err(error) = self.admin.close().await {
            tracing::debug!(%error, "the interface for operators did not close");
        }
    }

    fn spawn_reads(&self, tracker: &TaskTracker, tokens: &StopTokens, client: &Arc<PeerClient>) {
        let pusher = Arc::new(NewsPusher::new(self.node.clone(), client.clone()));
        let millis = Duration::from_millis;
        tracker.spawn(run_sync(
            self.writer.clone(),
            pusher.clone(),
            millis(self.settings.head_poll_ms),
            tokens.serving.clone(),
        ));
        tracker.spawn(run_hosts(
            self.node.clone(),
            self.ports.hosts.clone(),
            millis(self.settings.host_poll_ms),
            tokens.serving.clone(),
        ));
        let (heads, token) = (pusher.clone(), tokens.serving.clone());
        tracker.spawn(async move { heads.run_heads(token).await });
        let (records, token) = (pusher.clone(), tokens.serving.clone());
        tracker.spawn(async move { records.run_records(token).await });
        let token = tokens.serving.clone();
        tracker.spawn(async move { pusher.run_comparison(token).await });
    }

    fn spawn_service(&self, tracker: &TaskTracker, tokens: &StopTokens, client: &Arc<PeerClient>) {
        let (shares, token) = (self.shares.clone(), tokens.serving.clone());
        tracker.spawn(async move { shares.run_grantor(token).await });
        let (shares, token, client) = (self.shares.clone(), tokens.serving.clone(), client.clone());
        tracker.spawn(async move { shares.run_asks(client, token).await });
    }

    fn spawn_groups(&self, tracker: &TaskTracker, tokens: &StopTokens) {
        let metrics = self.metrics.extend(GroupMetrics::new);
        let context = GroupsContext {
            clock: self.ports.clock.clone(),
            engine: self.ports.engine.clone(),
            authority: self.node.clone(),
            settings: self.settings.clone(),
            metrics,
        };
        tracker.spawn(crate::groups::run(context, tokens.serving.clone()));
    }
}

/// What ends in which order at a planned stop.
struct StopTokens {
    /// Everything.
    serving: CancellationToken,
    /// Answers to peers' questions; a member that left must not answer.
    answers: CancellationToken,
    /// Changes of the view and of ownership, but for those of the stop itself.
    changes: CancellationToken,
}

impl Default for StopTokens {
    fn default() -> Self {
        let serving = CancellationToken::new();
        Self { answers: serving.child_token(), changes: serving.child_token(), serving }
    }
}

fn spawn_gossip(tracker: &TaskTracker, tokens: &StopTokens, gossip: PeerGossip, period: Duration) {
    let gossip = Arc::new(gossip);
    let (asking, token) = (gossip.clone(), tokens.serving.clone());
    tracker.spawn(async move { asking.run_questions(period, token).await });
    let token = tokens.answers.clone();
    tracker.spawn(async move { gossip.run_answers(token).await });
}

/// Listens on one address for TCP and UDP.
async fn listen(
    address: SocketAddr,
    codec: MessageCodec,
    traffic: &Arc<TrafficCounter>,
) -> Result<(TcpListener, DatagramEndpoint), RunError> {
    let failed = ListenSnafu { setting: "peer_listen", address };
    let listener = TcpListener::bind(address).await.context(failed)?;
    let bound = listener.local_addr().context(failed)?;
    let endpoint = DatagramEndpoint::bind(bound, codec, traffic.clone()).await.context(failed)?;
    Ok((listener, endpoint))
}

fn member_row(
    settings: &ControllerSettings,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    protocol: u8,
) -> MemberRow {
    MemberRow {
        member: MemberId { host: settings.host.clone(), incarnation: Incarnation(0) },
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        peer_address,
        admin_address,
        gateway_address: settings.gateway_address,
        protocol,
    }
}
