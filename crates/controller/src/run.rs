//! Assembles the controller, runs its tasks and stops them in order.

use {
    crate::{
        groups::{GroupsContext, metrics::GroupMetrics},
        member::liveness::ContactLog,
        net::{
            announce::UpdatePublisher,
            gossip::{GossipState, PeerGossip},
            loads::LoadTable,
            service::PeerService,
            shares::ShareService,
        },
        operator::{
            api::{AdminContext, AdminServer, start_admin},
            metrics::ControllerMetrics,
            tickets::TicketService,
        },
        state::{
            node::{NodeCore, NodeTiming},
            reader::StateReader,
            sync::TableSync,
            writer::ChangeWriter,
        },
        stop::stop_member,
        tasks::{MembershipTask, eligible_members, run_hosts, run_sync},
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

/// Time limit for one request to a peer over TCP, including the connection.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interfaces to the systems outside of the process.
#[derive(Clone)]
pub struct ControllerPorts {
    /// Table service that stores the durable state.
    pub table: Arc<dyn TableStore>,
    /// Source of the host list.
    pub hosts: Arc<dyn HostDirectory>,
    /// Sends orders and state probes to engines.
    pub engine: Arc<dyn EngineControl>,
    /// Clock for all time limits and ages; tests pass one that they control.
    pub clock: SharedClock,
}

/// Reason for which the controller cannot start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} ({setting}): {source}; choose a free address"))]
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// Value of that setting, which could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operators' HTTP interface cannot start.
    #[snafu(display("cannot serve operators on {address} (admin_listen): {detail}"))]
    Admin {
        /// Value of `admin_listen` in the settings.
        address: SocketAddr,
        /// The HTTP server's error message.
        detail: String,
    },
}

/// A controller whose sockets are bound and whose tasks are not started yet.
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
    loads: Arc<LoadTable>,
    shares: Arc<ShareService>,
    service: Arc<PeerService>,
    writer: ChangeWriter,
    row: MemberRow,
}

impl Controller {
    /// Binds the addresses in the settings; port 0 selects a free port.
    pub async fn bind(
        settings: ControllerSettings,
        ports: ControllerPorts,
    ) -> Result<Self, RunError> {
        Self::bind_as(settings, ports, MessageCodec::default()).await
    }

    /// Like [`Controller::bind`], with the highest message version that `codec` allows.
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
        let loads = Arc::new(LoadTable::default());
        let metrics = Arc::new(ControllerMetrics::new(traffic.clone()));
        let context = AdminContext {
            node: node.clone(),
            loads: loads.clone(),
            tickets: TicketService::new(writer.clone()),
            table: ports.table.clone(),
            metrics: metrics.clone(),
        };
        let address = settings.admin_listen;
        let admin = start_admin(Arc::new(context), address)
            .map_err(|detail| RunError::Admin { address, detail })?;
        let row = member_row(&settings, peer_address, admin.local_addr(), codec.highest());
        let shares = Arc::new(ShareService::new(node.clone(), loads.clone()));
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

    /// The node's copy of the state and its evidence.
    pub fn node(&self) -> &Arc<NodeCore> {
        &self.node
    }

    /// This node's member row, with the addresses that are bound.
    pub fn row(&self) -> &MemberRow {
        &self.row
    }

    /// Counts of the bytes exchanged with peers and gateways.
    pub fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// Runs until `stop` is cancelled, then performs a planned stop: hands over its fabric domains,
    /// leaves the view and ends all tasks.
    pub async fn run(self, stop: CancellationToken) {
        let tracker = TaskTracker::new();
        let tokens = StopTokens::default();
        let contacts = Arc::new(Mutex::new(ContactLog::default()));
        let client =
            Arc::new(PeerClient::with_codec(PEER_TIMEOUT, self.codec, self.traffic.clone()));
        self.spawn_reads(&tracker, &tokens, &client);
        self.spawn_service(&tracker, &tokens, &client);
        self.spawn_groups(&tracker, &tokens);
        let membership = MembershipTask {
            writer: self.writer.clone(),
            row: self.row,
            contacts: contacts.clone(),
        };
        tracker.spawn(membership.run(tokens.changes.clone()));
        let gossip = GossipState::new(
            self.node.clone(),
            self.loads,
            contacts.clone(),
            self.codec,
            rand::random(),
        );
        let period = Duration::from_millis(self.settings.peer_poll_ms);
        spawn_gossip(&tracker, &tokens, PeerGossip::new(gossip, self.endpoint), period);
        let server = PeerServer::with_codec(self.service, self.codec, self.traffic);
        tracker.spawn(server.run(self.listener, tokens.serving.clone()));

        stop.cancelled().await;
        tracing::info!("planned stop");
        tokens.changes.cancel();
        let eligible = eligible_members(&self.node, &contacts);
        let limit = Duration::from_millis(self.settings.stop_limit_ms);
        stop_member(&self.writer, eligible, limit, &tokens.answers).await;
        tokens.serving.cancel();
        tracker.close();
        tracker.wait().await;
        if let Err(error) = self.admin.close().await {
            tracing::debug!(%error, "the operators' interface did not close cleanly");
        }
    }

    fn spawn_reads(&self, tracker: &TaskTracker, tokens: &StopTokens, client: &Arc<PeerClient>) {
        let publisher = Arc::new(UpdatePublisher::new(self.node.clone(), client.clone()));
        let millis = Duration::from_millis;
        tracker.spawn(run_sync(
            self.writer.clone(),
            publisher.clone(),
            millis(self.settings.head_poll_ms),
            tokens.serving.clone(),
        ));
        tracker.spawn(run_hosts(
            self.node.clone(),
            self.ports.hosts.clone(),
            millis(self.settings.host_poll_ms),
            tokens.serving.clone(),
        ));
        let (heads, token) = (publisher.clone(), tokens.serving.clone());
        tracker.spawn(async move { heads.run_heads(token).await });
        let (records, token) = (publisher.clone(), tokens.serving.clone());
        tracker.spawn(async move { records.run_records(token).await });
        let token = tokens.serving.clone();
        tracker.spawn(async move { publisher.run_comparison(token).await });
    }

    fn spawn_service(&self, tracker: &TaskTracker, tokens: &StopTokens, client: &Arc<PeerClient>) {
        let (shares, token) = (self.shares.clone(), tokens.serving.clone());
        tracker.spawn(async move { shares.run_grantor(token).await });
        let (shares, token, client) = (self.shares.clone(), tokens.serving.clone(), client.clone());
        tracker.spawn(async move { shares.run_share_requests(client, token).await });
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

/// Tokens that end the tasks in stages during a planned stop: changes, then answers, then serving.
struct StopTokens {
    /// Ends all tasks; the other two tokens are its children.
    serving: CancellationToken,
    /// Ends the answers to peers' queries; a member that has left the view must not answer.
    answers: CancellationToken,
    /// Ends changes of the view and of ownership, except those that the stop itself makes.
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
    let (queries, token) = (gossip.clone(), tokens.serving.clone());
    tracker.spawn(async move { queries.run_queries(period, token).await });
    let token = tokens.answers.clone();
    tracker.spawn(async move { gossip.run_answers(token).await });
}

/// Binds one address for both TCP and UDP.
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
