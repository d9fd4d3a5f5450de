//! Builds every stand-in of the process and applies faults to them.

use {
    crate::{
        StandinError,
        engine::{
            EngineShared, StandinEngine,
            api::engine_api,
            site::{EngineSite, WeightStore},
        },
        fault::{Fault, FaultRequest, FaultTarget, HostListFaults, NetworkState, TableFaults},
        history::{HistoryBook, HistoryView},
        hosts::HostLedger,
        link::{LinkState, NetworkLink},
        objects::ObjectShelf,
        platform_api::{PlatformServices, platform_api},
        serve::{private_address, start, start_linked},
        service::{ServiceServer, service_api},
        settings::{DomainSettings, ServiceSettings, StandinSettings},
        table::{TableCounters, TableRows},
        time::HistoryClock,
    },
    base::{FabricDomainId, FailureDomainId, HostId},
    dropshot::{ApiDescriptionRegisterError, HandlerTaskMode, HttpServer},
    infra::{HostEntry, HostRole, HostStanding},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, UNIX_EPOCH},
    },
    tokio_util::sync::CancellationToken,
};

base::value_type!(
    /// Where everything listens; printed as one JSON line when the process is ready.
    pub struct BoundAddresses {
        /// The table service.
        pub table: SocketAddr,
        /// The object store.
        pub objects: SocketAddr,
        /// The host list.
        pub hosts: SocketAddr,
        /// Faults and histories.
        pub control: SocketAddr,
        /// Engines and servers of plain services.
        pub backend_servers: Vec<HostEntry>,
    }
);

enum NodeKind {
    Engine { engine: Arc<StandinEngine>, fabric_domain: FabricDomainId },
    Service(Arc<ServiceServer>),
}

/// One engine or server with the network in front of it.
struct Node {
    kind: NodeKind,
    failure_domain: FailureDomainId,
    link: NetworkLink,
}

impl Node {
    fn host(&self) -> &HostId {
        match &self.kind {
            NodeKind::Engine { engine, .. } => engine.host(),
            NodeKind::Service(server) => server.host(),
        }
    }

    fn engine(&self) -> Option<&Arc<StandinEngine>> {
        match &self.kind {
            NodeKind::Engine { engine, .. } => Some(engine),
            NodeKind::Service(_) => None,
        }
    }

    fn is_in(&self, target: &FaultTarget) -> bool {
        match target {
            FaultTarget::Hosts(hosts) => hosts.contains(self.host()),
            FaultTarget::FailureDomain(domain) => *domain == self.failure_domain,
            FaultTarget::FabricDomain(domain) => match &self.kind {
                NodeKind::Engine { fabric_domain, .. } => fabric_domain == domain,
                NodeKind::Service(_) => false,
            },
            FaultTarget::Table | FaultTarget::Objects | FaultTarget::HostList => false,
        }
    }
}

/// Every stand-in of the process.
pub struct World {
    addresses: BoundAddresses,
    platform: Arc<PlatformServices>,
    table_link: NetworkLink,
    objects_link: NetworkLink,
    hosts_link: NetworkLink,
    nodes: Vec<Node>,
    weights: Arc<WeightStore>,
    history: Arc<HistoryBook>,
    clock: HistoryClock,
    base: BaseFaults,
    servers: RunningServers,
}

/// How the platform behaves when no fault is switched.
struct BaseFaults {
    table: TableFaults,
    hosts: HostListFaults,
    weight_loads_per_second: u32,
}

/// The servers, kept so that they run.
struct RunningServers {
    _platform: HttpServer<Arc<PlatformServices>>,
    _engines: Vec<HttpServer<Arc<StandinEngine>>>,
    _services: Vec<HttpServer<Arc<ServiceServer>>>,
}

struct WorldBuilder {
    settings: StandinSettings,
    shared: EngineShared,
    cancel: CancellationToken,
    nodes: Vec<Node>,
    entries: Vec<HostEntry>,
    engines: Vec<HttpServer<Arc<StandinEngine>>>,
    services: Vec<HttpServer<Arc<ServiceServer>>>,
}

impl World {
    /// Starts everything but the control address, which `control` names once it listens.
    pub fn start(
        settings: StandinSettings,
        control: SocketAddr,
        cancel: CancellationToken,
    ) -> Result<Self, StandinError> {
        let mut builder = WorldBuilder::new(settings, cancel.clone());
        builder.start_backends()?;
        let WorldBuilder { settings, shared, nodes, entries, engines, services, .. } = builder;
        let engines_by_host = nodes.iter().filter_map(Node::engine);
        shared.site.set_engines(
            engines_by_host.map(|engine| (engine.host().clone(), engine.clone())).collect(),
        );
        let base = BaseFaults {
            table: TableFaults { delay_ms: settings.table_delay_ms, ..TableFaults::default() },
            hosts: HostListFaults { lag_ms: settings.host_lag_ms, frozen: false },
            weight_loads_per_second: settings.weight_loads_per_second,
        };
        let mut listed = entries.clone();
        listed.extend(settings.entry_hosts.iter().cloned());
        let platform = Arc::new(PlatformServices {
            table: TableRows::new(settings.seed, base.table),
            objects: ObjectShelf::default(),
            hosts: HostLedger::new(listed, base.hosts),
        });
        let api = platform_api().map_err(register_error)?;
        let mode = HandlerTaskMode::CancelOnDisconnect;
        let server = start(api, platform.clone(), mode, private_address())?;
        let open = |listen: SocketAddr| {
            NetworkLink::open(listen, server.local_addr(), cancel.clone()).map_err(|error| {
                StandinError::Listen { address: listen, detail: error.to_string() }
            })
        };
        let table_link = open(settings.table_listen)?;
        let objects_link = open(settings.objects_listen)?;
        let hosts_link = open(settings.hosts_listen)?;
        let addresses = BoundAddresses {
            table: table_link.address(),
            objects: objects_link.address(),
            hosts: hosts_link.address(),
            control,
            backend_servers: entries,
        };
        Ok(Self {
            addresses,
            platform,
            table_link,
            objects_link,
            hosts_link,
            nodes,
            weights: shared.weights,
            history: shared.history,
            clock: shared.clock,
            base,
            servers: RunningServers { _platform: server, _engines: engines, _services: services },
        })
    }

    /// Where everything listens.
    pub fn addresses(&self) -> &BoundAddresses {
        &self.addresses
    }

    /// What happened so far.
    pub fn history(&self) -> HistoryView {
        self.history.view(self.clock.now_ms())
    }

    /// What the table service has met so far.
    pub fn table_counters(&self) -> TableCounters {
        self.platform.table.counters()
    }

    /// Number of engine servers.
    pub fn engine_count(&self) -> usize {
        self.servers._engines.len()
    }

    /// Applies a fault, and takes it back after its time.
    pub fn apply(self: &Arc<Self>, request: FaultRequest) {
        tracing::info!(fault = ?request.fault, for_ms = request.for_ms, "fault switched");
        self.switch(&request.fault);
        let (Some(duration), Some(inverse)) = (request.duration(), request.fault.inverse()) else {
            return;
        };
        let world = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            tracing::info!(fault = ?inverse, "fault taken back");
            world.switch(&inverse);
        });
    }

    /// Takes back every fault of networks, platform and streams; engines that died return empty.
    pub fn clear(&self) {
        for link in [&self.table_link, &self.objects_link, &self.hosts_link] {
            link.set_state(LinkState::Open);
        }
        self.platform.table.set_faults(self.base.table);
        self.platform.hosts.set_faults(self.base.hosts);
        self.weights.set_rate(self.base.weight_loads_per_second);
        let all: Vec<HostId> = self.nodes.iter().map(|node| node.host().clone()).collect();
        let target = FaultTarget::Hosts(all);
        let faults = [
            Fault::Kill { target: target.clone() },
            Fault::Freeze { target: target.clone() },
            Fault::Straggle { target: target.clone(), pace_percent: 0 },
            Fault::Leaving { target: target.clone(), leaving: true },
            Fault::Frames { target: target.clone(), faults: Default::default() },
            Fault::LoseOrderAnswers { target: target.clone(), count: 0 },
            Fault::LateOrders { target: target.clone(), count: 0, late_ms: 0 },
            Fault::LoseServiceAnswers { target, count: 0 },
        ];
        for inverse in faults.iter().filter_map(Fault::inverse) {
            self.switch(&inverse);
        }
    }

    fn switch(&self, fault: &Fault) {
        match fault {
            Fault::Network { target, state } => {
                self.each_link(target, |link| link.set_state(link_state(*state)));
            }
            Fault::SilenceConnections { target } => {
                self.each_link(target, NetworkLink::silence_connections);
            }
            Fault::CloseConnections { target } => {
                self.each_link(target, NetworkLink::close_connections);
            }
            Fault::Table(faults) if *faults == TableFaults::default() => {
                self.platform.table.set_faults(self.base.table);
            }
            Fault::Table(faults) => self.platform.table.set_faults(*faults),
            Fault::HostList(faults) if *faults == HostListFaults::default() => {
                self.platform.hosts.set_faults(self.base.hosts);
            }
            Fault::HostList(faults) => self.platform.hosts.set_faults(*faults),
            Fault::PutHost(entry) => self.platform.hosts.put(entry.clone()),
            Fault::RemoveHosts(hosts) => self.platform.hosts.remove(hosts),
            Fault::Standing { hosts, standing } => {
                self.platform.hosts.set_standing(hosts, *standing);
            }
            Fault::WeightStore { loads_per_second } => self.weights.set_rate(*loads_per_second),
            other => self.switch_nodes(other),
        }
    }

    fn switch_nodes(&self, fault: &Fault) {
        let Some(target) = fault.node_target() else { return };
        let struck = || self.nodes.iter().filter(|node| node.is_in(target));
        struck().for_each(|node| node.switch(fault));
        // Hosts come back together: no link opens while another engine of them is still gone.
        if matches!(fault, Fault::Return { .. } | Fault::Thaw { .. }) {
            struck().for_each(|node| node.link.set_state(LinkState::Open));
        }
    }

    fn each_link(&self, target: &FaultTarget, act: impl Fn(&NetworkLink)) {
        match target {
            FaultTarget::Table => act(&self.table_link),
            FaultTarget::Objects => act(&self.objects_link),
            FaultTarget::HostList => act(&self.hosts_link),
            hosts => {
                self.nodes.iter().filter(|node| node.is_in(hosts)).for_each(|node| act(&node.link));
            }
        }
    }
}

impl Node {
    fn switch(&self, fault: &Fault) {
        match fault {
            Fault::Kill { .. } => {
                self.link.set_state(LinkState::Refused);
                self.with_engine(|engine| engine.kill());
            }
            Fault::Return { state, .. } => self.with_engine(|engine| engine.revive(*state)),
            Fault::Freeze { .. } => {
                self.link.set_state(LinkState::Silent);
                self.with_engine(|engine| engine.set_frozen(true));
            }
            Fault::Thaw { .. } => self.with_engine(|engine| engine.set_frozen(false)),
            Fault::Straggle { pace_percent, .. } => {
                self.with_engine(|engine| engine.set_pace(*pace_percent));
            }
            Fault::Leaving { leaving, .. } => {
                self.with_engine(|engine| engine.set_leaving(*leaving));
            }
            Fault::Frames { faults, .. } => {
                self.with_engine(|engine| engine.set_frame_faults(*faults));
            }
            Fault::LoseOrderAnswers { count, .. } => {
                self.with_engine(|engine| engine.lose_order_answers(*count));
            }
            Fault::LateOrders { count, late_ms, .. } => {
                self.with_engine(|engine| engine.delay_orders(*count, *late_ms));
            }
            Fault::LoseServiceAnswers { count, .. } => {
                if let NodeKind::Service(server) = &self.kind {
                    server.lose_answers(*count);
                }
            }
            _ => {}
        }
    }

    fn with_engine(&self, act: impl FnOnce(&Arc<StandinEngine>)) {
        if let Some(engine) = self.engine() {
            act(engine);
        }
    }
}

fn link_state(state: NetworkState) -> LinkState {
    match state {
        NetworkState::Open => LinkState::Open,
        NetworkState::Silent => LinkState::Silent,
        NetworkState::Refused => LinkState::Refused,
    }
}

impl WorldBuilder {
    fn new(settings: StandinSettings, cancel: CancellationToken) -> Self {
        let shared = EngineShared {
            settings: settings.engine.clone(),
            site: Arc::new(EngineSite::default()),
            weights: Arc::new(WeightStore::new(settings.weight_loads_per_second)),
            history: Arc::new(HistoryBook::new(settings.history_limit)),
            clock: HistoryClock::start(),
        };
        Self {
            settings,
            shared,
            cancel,
            nodes: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        }
    }

    fn start_backends(&mut self) -> Result<(), StandinError> {
        for domain in self.settings.fabric_domains.clone() {
            for index in 0..domain.hosts {
                self.start_engine(&domain, index)?;
            }
        }
        for service in self.settings.services.clone() {
            for index in 0..service.servers {
                self.start_service(&service, index)?;
            }
        }
        Ok(())
    }

    fn start_engine(&mut self, domain: &DomainSettings, index: u32) -> Result<(), StandinError> {
        let host = host_name(domain.name.as_str(), 'h', index)?;
        let seed = self.settings.seed + 1 + self.nodes.len() as u64;
        let engine = StandinEngine::new(host.clone(), self.shared.clone(), seed, first_boot());
        let engine = Arc::new(engine);
        let api = engine_api().map_err(register_error)?;
        let mode = HandlerTaskMode::CancelOnDisconnect;
        let listen = listen_address(domain.listen, index);
        let started = start_linked(api, engine.clone(), mode, listen, self.cancel.clone())?;
        self.entries.push(HostEntry {
            host,
            address: started.link.address(),
            failure_domain: domain.failure_domain.clone(),
            region: domain.region.clone(),
            role: HostRole::Engine {
                fabric_domain: domain.name.clone(),
                accelerators: domain.accelerators,
            },
            standing: HostStanding::Live,
        });
        self.nodes.push(Node {
            kind: NodeKind::Engine { engine, fabric_domain: domain.name.clone() },
            failure_domain: domain.failure_domain.clone(),
            link: started.link,
        });
        self.engines.push(started.server);
        Ok(())
    }

    fn start_service(
        &mut self,
        settings: &ServiceSettings,
        index: u32,
    ) -> Result<(), StandinError> {
        let host = host_name(settings.name.as_str(), 's', index)?;
        let server = Arc::new(ServiceServer::new(
            host.clone(),
            settings.name.clone(),
            Duration::from_millis(settings.run_ms),
            settings.slots,
            self.shared.history.clone(),
            self.shared.clock,
        ));
        let api = service_api().map_err(register_error)?;
        // A call goes on when its caller leaves.
        let mode = HandlerTaskMode::Detached;
        let listen = listen_address(settings.listen, index);
        let started = start_linked(api, server.clone(), mode, listen, self.cancel.clone())?;
        let domains = &settings.failure_domains;
        let failure_domain = domains[index as usize % domains.len()].clone();
        self.entries.push(HostEntry {
            host,
            address: started.link.address(),
            failure_domain: failure_domain.clone(),
            region: settings.region.clone(),
            role: HostRole::Service { service: settings.name.clone() },
            standing: HostStanding::Live,
        });
        self.nodes.push(Node {
            kind: NodeKind::Service(server),
            failure_domain,
            link: started.link,
        });
        self.services.push(started.server);
        Ok(())
    }
}

/// A boot number that an earlier run of this program has not used.
fn first_boot() -> u64 {
    UNIX_EPOCH.elapsed().map_or(1, |age| age.as_millis() as u64)
}

fn host_name(name: &str, kind: char, index: u32) -> Result<HostId, StandinError> {
    HostId::new(format!("{name}-{kind}{}", index + 1))
        .map_err(|error| StandinError::BadName { detail: error.to_string() })
}

fn listen_address(first: SocketAddr, index: u32) -> SocketAddr {
    match first.port() {
        0 => first,
        port => SocketAddr::new(first.ip(), port + index as u16),
    }
}

fn register_error(error: ApiDescriptionRegisterError) -> StandinError {
    StandinError::BadServer { detail: error.to_string() }
}
