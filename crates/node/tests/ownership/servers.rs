//! Model engines that crash and come back at their addresses under new ids.

use {
    super::{
        engine::{Reply, SimulatedEngine},
        links::Links,
        store::SimulatedStore,
    },
    base::{
        FabricDomainId, FailureDomainId, GroupId, HostId, ManualClock, ModelName, ServiceName,
        Term, Tick, TickClock,
    },
    limit::NamedLimit,
    node::{EngineAccess, EngineReport, ProbeError, ServerEntry, ServerStanding},
    parking_lot::Mutex,
    plan::staged::{OrderEnd, StagedCommand, StagedOrder},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    relay::ServerLoad,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long the entry of a server that crashed stays in the list.
const LIST_EXPIRY: Duration = Duration::from_millis(3_600);
/// Time after which a head that has lost a member is broken.
const STALL_TIME: Duration = Duration::from_secs(6);

struct Server {
    id: HostId,
    domain: FabricDomainId,
    engine: SimulatedEngine,
    /// Until when nothing runs at the address.
    down_until: Option<Tick>,
}

struct LateOrder {
    due: Tick,
    term: Term,
    order: StagedOrder,
}

struct FleetState {
    servers: BTreeMap<SocketAddr, Server>,
    /// Entries of servers that crashed, and until when they are listed.
    lapsing: Vec<(ServerEntry, Tick)>,
    late: Vec<LateOrder>,
    next_id: u64,
    /// Servers whose entries have lapsed, with the store's version of then.
    lapsed: BTreeMap<HostId, u64>,
    /// Servers that were named as members of a group.
    members: BTreeMap<GroupId, Vec<HostId>>,
    violations: Vec<String>,
    random: Pcg64Mcg,
}

/// All servers, and the check of each join.
pub(crate) struct ServerFleet {
    state: Mutex<FleetState>,
    clock: Arc<ManualClock>,
}

pub(crate) fn model() -> ModelName {
    ModelName::new("m").unwrap()
}

impl ServerFleet {
    pub(crate) fn new(clock: Arc<ManualClock>, seed: u64) -> Self {
        let state = FleetState {
            servers: BTreeMap::new(),
            lapsing: Vec::new(),
            late: Vec::new(),
            next_id: 0,
            lapsed: BTreeMap::new(),
            members: BTreeMap::new(),
            violations: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        Self { state: Mutex::new(state), clock }
    }

    pub(crate) fn add(&self, domain: &FabricDomainId) {
        let mut state = self.state.lock();
        let port = 9_000 + u16::try_from(state.servers.len()).unwrap();
        let id = state.new_id();
        let server =
            Server { id, domain: domain.clone(), engine: fresh_engine(1), down_until: None };
        state.servers.insert(SocketAddr::from(([127, 0, 0, 1], port)), server);
    }

    /// Crashes the servers of a domain. They come back after `down` under new ids.
    pub(crate) fn crash(&self, domain: &FabricDomainId, down: Duration) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let mut crashed = Vec::new();
        for (address, server) in &mut state.servers {
            if server.domain != *domain || server.down_until.is_some() {
                continue;
            }
            crashed.push((entry(server, *address), now + LIST_EXPIRY));
            server.engine.terminate();
            server.down_until = Some(now + down);
        }
        state.lapsing.extend(crashed);
    }

    /// The server list.
    pub(crate) fn entries(&self) -> Vec<ServerEntry> {
        let now = self.clock.now();
        let state = self.state.lock();
        let running = state.servers.iter().filter(|(_, server)| server.down_until.is_none());
        let lapsing = state.lapsing.iter().filter(|(_, until)| now < *until);
        let running = running.map(|(address, server)| entry(server, *address));
        running.chain(lapsing.map(|(entry, _)| entry.clone())).collect()
    }

    pub(crate) fn advance(&self, store_version: u64) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let lapsed = state.lapsing.extract_if(.., |(_, until)| *until <= now);
        let lapsed: Vec<HostId> = lapsed.map(|(entry, _)| entry.id).collect();
        state.lapsed.extend(lapsed.into_iter().map(|id| (id, store_version)));
        let back: Vec<SocketAddr> = state
            .servers
            .iter()
            .filter(|(_, server)| server.down_until.is_some_and(|until| until <= now))
            .map(|(address, _)| *address)
            .collect();
        for address in back {
            let id = state.new_id();
            let boot_id = now.0;
            let server = state.servers.get_mut(&address).unwrap();
            *server = Server {
                id,
                domain: server.domain.clone(),
                engine: fresh_engine(boot_id),
                down_until: None,
            };
        }
        let groups: BTreeMap<HostId, _> = state
            .servers
            .values()
            .filter(|server| server.down_until.is_none())
            .map(|server| (server.id.clone(), server.engine.group()))
            .collect();
        for server in state.servers.values_mut() {
            server.engine.advance(now);
            if server.engine.serves() {
                let group = server.engine.group();
                let is_whole =
                    server.engine.members().iter().all(|member| groups.get(member) == Some(&group));
                server.engine.note_members(is_whole, now, STALL_TIME);
            }
        }
        let (due, late) = std::mem::take(&mut state.late).into_iter().partition(|o| o.due <= now);
        state.late = late;
        let due: Vec<LateOrder> = due;
        for LateOrder { term, order, .. } in due {
            state.deliver(&order, term, now);
        }
    }

    /// Checks what an owner knows when it sends an order.
    fn check(&self, order: &StagedOrder, term: Term, store: &SimulatedStore) {
        let mut state = self.state.lock();
        let host = &order.host;
        let owned = state.servers.get(&order.address).and_then(|server| store.row(&server.domain));
        if let (Some(lapsed), Some((version, row))) = (state.lapsed.get(host), owned)
            && row.term == term
            && *lapsed < version.0
            && matches!(order.command, StagedCommand::Join { .. })
        {
            let text = format!("{host} was off the list when {:?} claimed its domain", row.owner);
            state.violations.push(text);
        }
        match &order.command {
            StagedCommand::Join { group, members, .. } => {
                state.members.insert(group.clone(), members.clone());
            }
            StagedCommand::Open { group, .. }
            | StagedCommand::Close { group, .. }
            | StagedCommand::Leave { group, .. } => {
                let is_member =
                    state.members.get(group).is_some_and(|members| members.contains(host));
                if !is_member {
                    state.violations.push(format!("{host} was never in {group}: {order:?}"));
                }
            }
            StagedCommand::Stage { .. } => {}
        }
    }

    /// Keeps one order of twenty for later.
    fn delays(&self, order: &StagedOrder, term: Term, now: Tick) -> bool {
        let mut state = self.state.lock();
        let is_late = state.random.random_bool(0.05);
        if is_late {
            let delay = Duration::from_millis(state.random.random_range(500..6_000));
            state.late.push(LateOrder { due: now + delay, term, order: order.clone() });
        }
        is_late
    }

    /// The number of groups of a domain that serve.
    pub(crate) fn serving(&self, domain: &FabricDomainId) -> usize {
        let state = self.state.lock();
        let in_domain = state.servers.values().filter(|server| server.domain == *domain);
        in_domain.filter(|server| server.engine.serves()).count()
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}

impl FleetState {
    fn new_id(&mut self) -> HostId {
        self.next_id += 1;
        HostId::new(format!("i-{}", self.next_id)).unwrap()
    }

    fn deliver(&mut self, order: &StagedOrder, term: Term, now: Tick) -> OrderEnd {
        let Some(server) = self.servers.get(&order.address) else { return OrderEnd::NotSent };
        if server.down_until.is_some() {
            return OrderEnd::NotSent;
        }
        if server.id != order.host {
            return OrderEnd::Refused;
        }
        if let StagedCommand::Join { group, .. } = &order.command
            && server.engine.would_accept_join(order, term)
            && let Some(left) = self.open_group(server)
        {
            self.violations.push(format!(
                "{now:?}: {} of {left} is joined to {group} under term {term}",
                order.host
            ));
        }
        let server = self.servers.get_mut(&order.address).expect("found above");
        match server.engine.handle_order(order, term, now) {
            Reply::Accepted => OrderEnd::Accepted,
            Reply::Refused => OrderEnd::Refused,
            Reply::Outdated => OrderEnd::Outdated,
        }
    }

    /// The group of a server if the group's head is open or closing.
    fn open_group(&self, server: &Server) -> Option<String> {
        let group = server.engine.group()?;
        let head_id = server.engine.members().first()?;
        let head = self.servers.values().find(|other| other.id == *head_id)?;
        let is_open = head.down_until.is_none()
            && head.engine.serves()
            && head.engine.group() == Some(group.clone());
        is_open.then(|| group.0.to_string())
    }
}

fn fresh_engine(boot_id: u64) -> SimulatedEngine {
    let mut engine = SimulatedEngine::new(boot_id);
    engine.staged = Some(model());
    engine
}

fn entry(server: &Server, address: SocketAddr) -> ServerEntry {
    let facts = server.engine.reported_state();
    ServerEntry {
        id: server.id.clone(),
        address,
        service: ServiceName::new("pool").unwrap(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        standing: ServerStanding::Live,
        boot_id: facts.boot_id,
        cold_left: Duration::ZERO,
        fabric_domain: Some(server.domain.clone()),
        facts: Some(facts),
    }
}

/// The servers as one process reaches them.
pub(crate) struct ProcessEngines {
    pub(crate) fleet: Arc<ServerFleet>,
    pub(crate) links: Arc<Links>,
    pub(crate) store: Arc<SimulatedStore>,
    pub(crate) process: usize,
}

impl EngineAccess for ProcessEngines {
    async fn probe(
        &self,
        _host: &HostId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<EngineReport, ProbeError> {
        if !self.links.reaches_servers(self.process) {
            sleep(limit).await;
            return Err(ProbeError::Inconclusive);
        }
        sleep(Duration::from_millis(1)).await;
        let state = self.fleet.state.lock();
        let server = state.servers.get(&address).filter(|server| server.down_until.is_none());
        // A report does not say whose it is.
        let server = server.ok_or(ProbeError::Refused)?;
        Ok(EngineReport {
            facts: server.engine.reported_state(),
            load: ServerLoad::default(),
            slowdown: 1.0,
            limit: NamedLimit::Absent,
        })
    }

    async fn order(&self, order: &StagedOrder, term: Term, limit: Duration) -> OrderEnd {
        let now = self.fleet.clock.now();
        self.fleet.check(order, term, &self.store);
        if !self.links.reaches_servers(self.process) {
            sleep(limit).await;
            return OrderEnd::NotSent;
        }
        sleep(Duration::from_millis(1)).await;
        if self.fleet.delays(order, term, now) {
            sleep(limit).await;
            return OrderEnd::Unknown;
        }
        self.fleet.state.lock().deliver(order, term, now)
    }
}
