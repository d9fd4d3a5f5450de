//! In-memory engines and authority, for tests of the group tasks under tokio's paused clock.

#![allow(dead_code, unreachable_pub)]

use {
    async_trait::async_trait,
    base::{
        FabricDomainId, FailureDomainId, GroupId, GroupSetName, HostId, ModelName, ModelVersion,
        OrderSequence, RegionId, SharedClock, Term, Tick, TickClock, Weight,
    },
    conf::{
        settings::ControllerSettings,
        ticket::{DesiredState, FencingMode, GroupSetSpec},
    },
    controller::groups::{
        GroupsContext,
        metrics::GroupMetrics,
        port::{DomainAuthority, OwnedDomain},
    },
    engine::{
        EngineControl, EngineError, EngineOrder, EnginePhase, EngineState, LoadOrder, OrderAnswer,
        OrderCommand, ReleaseOrder,
    },
    infra::{HostEntry, HostRole, HostStanding},
    parking_lot::Mutex,
    peer::{ClusterState, DomainRecord, GroupPhase},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::Instant},
    tokio_util::sync::CancellationToken,
};

pub const LOAD_TIME: Duration = Duration::from_secs(2);

/// The runtime's clock, which advances only when all tasks wait.
pub struct RuntimeClock(Instant);

impl TickClock for RuntimeClock {
    fn now(&self) -> Tick {
        Tick(1_000_000_000) + self.0.elapsed()
    }
}

#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub host: HostId,
    pub boot: u64,
    pub answers: bool,
    pub load: Option<LoadOrder>,
    pub draining: bool,
    pub in_flight: u32,
    pub joins: u32,
    /// Loads accepted while the engine was in another group.
    pub conflicting_loads: u32,
    ready_at: Instant,
    seen: (Term, OrderSequence),
}

impl FakeEngine {
    fn phase(&self) -> EnginePhase {
        match &self.load {
            None => EnginePhase::Idle,
            Some(_) if self.draining => EnginePhase::Draining,
            Some(_) if Instant::now() >= self.ready_at => EnginePhase::Ready,
            Some(_) => EnginePhase::Loading,
        }
    }

    fn state(&self) -> EngineState {
        EngineState {
            host: self.host.clone(),
            boot: self.boot,
            term: self.seen.0,
            phase: self.phase(),
            order: self.load.clone(),
            in_flight: self.in_flight,
            leaving: false,
        }
    }

    fn follow(&mut self, order: EngineOrder, checked: bool) -> OrderAnswer {
        let number = (order.term, order.sequence);
        if checked && number < self.seen {
            return OrderAnswer::Outdated { term: self.seen.0 };
        }
        self.seen = self.seen.max(number);
        match order.command {
            OrderCommand::Load(load) => self.join(load),
            OrderCommand::Drain(release) if self.is_in(&release) => {
                self.draining = true;
                OrderAnswer::Accepted
            }
            OrderCommand::Release(release) if self.load.is_none() || self.is_in(&release) => {
                self.load = None;
                self.draining = false;
                OrderAnswer::Accepted
            }
            _ => OrderAnswer::Refused { reason: "in another group".to_owned() },
        }
    }

    fn join(&mut self, load: LoadOrder) -> OrderAnswer {
        if self.load.as_ref() != Some(&load) {
            self.conflicting_loads += u32::from(self.load.is_some());
            self.joins += 1;
            self.load = Some(load);
            self.draining = false;
            self.ready_at = Instant::now() + LOAD_TIME;
        }
        OrderAnswer::Accepted
    }

    fn is_in(&self, release: &ReleaseOrder) -> bool {
        self.load
            .as_ref()
            .is_some_and(|load| load.group == release.group && load.epoch == release.epoch)
    }
}

/// The engines of one fabric domain. With `checked`, they refuse orders that are older than the
/// newest one they have seen.
pub struct FakeEngines {
    pub engines: Mutex<BTreeMap<SocketAddr, FakeEngine>>,
    pub checked: bool,
}

impl FakeEngines {
    pub fn new(count: u16, checked: bool) -> Arc<Self> {
        let engine = |index: u16| FakeEngine {
            host: host(index),
            boot: 1,
            answers: true,
            load: None,
            draining: false,
            in_flight: 0,
            joins: 0,
            conflicting_loads: 0,
            ready_at: Instant::now(),
            seen: (Term(0), OrderSequence(0)),
        };
        let engines = (0..count).map(|index| (address(index), engine(index))).collect();
        Arc::new(Self { engines: Mutex::new(engines), checked })
    }

    pub fn deliver(&self, address: SocketAddr, order: EngineOrder) -> OrderAnswer {
        let mut engines = self.engines.lock();
        engines.get_mut(&address).expect("a known address").follow(order, self.checked)
    }

    pub fn change(&self, index: u16, change: impl FnOnce(&mut FakeEngine)) {
        change(self.engines.lock().get_mut(&address(index)).expect("a known host"));
    }

    pub fn joins(&self) -> u32 {
        self.engines.lock().values().map(|engine| engine.joins).sum()
    }

    pub fn conflicting_loads(&self) -> u32 {
        self.engines.lock().values().map(|engine| engine.conflicting_loads).sum()
    }

    /// The group that each engine is in; `None` for idle engines.
    pub fn groups(&self) -> BTreeMap<HostId, Option<GroupId>> {
        let group = |engine: &FakeEngine| engine.load.as_ref().map(|load| load.group.clone());
        let engines = self.engines.lock();
        engines.values().map(|engine| (engine.host.clone(), group(engine))).collect()
    }
}

/// One node's connection to the engines, with injected faults.
pub struct FakeControl {
    pub engines: Arc<FakeEngines>,
    /// While set, loads are held back, as by a process that freezes between check and send.
    pub holding: AtomicBool,
    pub held: Mutex<Vec<(SocketAddr, EngineOrder)>>,
    /// Interval, in orders, at which an answer to an order is lost; 0 loses none.
    pub lose_every: AtomicU32,
    pub orders: AtomicU32,
    pub probes: AtomicU32,
}

impl FakeControl {
    pub fn new(engines: &Arc<FakeEngines>) -> Arc<Self> {
        Arc::new(Self {
            engines: engines.clone(),
            holding: AtomicBool::new(false),
            held: Mutex::default(),
            lose_every: AtomicU32::new(0),
            orders: AtomicU32::new(0),
            probes: AtomicU32::new(0),
        })
    }

    /// Delivers the orders held back, as a resumed process does, and returns their number.
    pub fn resume(&self) -> usize {
        let held = std::mem::take(&mut *self.held.lock());
        let count = held.len();
        for (address, order) in held {
            self.engines.deliver(address, order);
        }
        count
    }

    async fn never_answer(&self) {
        std::future::pending().await
    }
}

#[async_trait]
impl EngineControl for FakeControl {
    async fn order(
        &self,
        address: SocketAddr,
        order: EngineOrder,
    ) -> Result<OrderAnswer, EngineError> {
        let load = matches!(order.command, OrderCommand::Load(_));
        if load && self.holding.load(Ordering::SeqCst) {
            self.held.lock().push((address, order));
            self.never_answer().await;
            unreachable!("the wait never ends");
        }
        if !self.engines.engines.lock()[&address].answers {
            self.never_answer().await;
        }
        let answer = self.engines.deliver(address, order);
        let number = self.orders.fetch_add(1, Ordering::SeqCst) + 1;
        let every = self.lose_every.load(Ordering::SeqCst);
        if every > 0 && number.is_multiple_of(every) {
            self.never_answer().await;
        }
        Ok(answer)
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        self.probes.fetch_add(1, Ordering::SeqCst);
        let engine = self.engines.engines.lock()[&address].clone();
        if !engine.answers {
            self.never_answer().await;
        }
        Ok(engine.state())
    }
}

/// Authority of one node as the test sets it, with the records that the node published.
pub struct FakeAuthority {
    pub term: Mutex<Option<Term>>,
    pub may_order: AtomicBool,
    pub state: Arc<ClusterState>,
    pub hosts: Arc<Vec<HostEntry>>,
    pub published: Mutex<Vec<DomainRecord>>,
}

impl FakeAuthority {
    pub fn new(hosts: u16, spec: GroupSetSpec, checked: bool, term: Option<Term>) -> Arc<Self> {
        let mut desired = DesiredState::default();
        desired.flags.fencing = if checked { FencingMode::Checked } else { FencingMode::Ignored };
        desired.group_sets.insert(spec.name.clone(), spec);
        Arc::new(Self {
            term: Mutex::new(term),
            may_order: AtomicBool::new(true),
            state: Arc::new(ClusterState { desired, ..ClusterState::default() }),
            hosts: Arc::new((0..hosts).map(entry).collect()),
            published: Mutex::default(),
        })
    }

    pub fn own(&self, term: Option<Term>) {
        *self.term.lock() = term;
    }

    /// The serving groups of the newest record, each with its hosts.
    pub fn serving(&self) -> Vec<(GroupId, Vec<HostId>)> {
        let published = self.published.lock();
        let groups = published.last().map(|record| record.groups.clone()).unwrap_or_default();
        groups
            .into_iter()
            .filter(|group| group.phase == GroupPhase::Serving)
            .map(|group| {
                (group.group, group.members.into_iter().map(|member| member.host).collect())
            })
            .collect()
    }
}

impl DomainAuthority for FakeAuthority {
    fn owned(&self) -> Vec<OwnedDomain> {
        let owned = |term| OwnedDomain { domain: domain(), term, settled: true };
        self.term.lock().map(owned).into_iter().collect()
    }

    fn may_order(&self, _domain: &FabricDomainId, term: Term) -> bool {
        self.may_order.load(Ordering::SeqCst) && *self.term.lock() == Some(term)
    }

    fn state(&self) -> Arc<ClusterState> {
        self.state.clone()
    }

    fn hosts(&self) -> Arc<Vec<HostEntry>> {
        self.hosts.clone()
    }

    fn record(&self, _domain: &FabricDomainId) -> Option<DomainRecord> {
        self.published.lock().last().cloned()
    }

    fn publish(&self, record: DomainRecord) {
        self.published.lock().push(record);
    }
}

/// A node that runs the group tasks.
pub struct GroupsNode {
    pub control: Arc<FakeControl>,
    pub authority: Arc<FakeAuthority>,
    pub cancel: CancellationToken,
    pub task: JoinHandle<()>,
}

/// Starts a node that owns the engines' fabric domain under `term`, or owns nothing if `None`.
pub fn start(engines: &Arc<FakeEngines>, replicas: u32, term: Option<Term>) -> GroupsNode {
    let count = engines.engines.lock().len() as u16;
    let control = FakeControl::new(engines);
    let authority = FakeAuthority::new(count, spec(replicas), engines.checked, term);
    let cancel = CancellationToken::new();
    let clock: SharedClock = Arc::new(RuntimeClock(Instant::now()));
    let context = GroupsContext {
        clock,
        engine: control.clone(),
        authority: authority.clone(),
        settings: Arc::new(ControllerSettings::default()),
        metrics: GroupMetrics::default(),
    };
    let task = tokio::spawn(controller::groups::run(context, cancel.clone()));
    GroupsNode { control, authority, cancel, task }
}

/// Waits on the paused clock until the condition holds, and returns the time it took.
pub async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < limit, "the condition did not hold within {limit:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    begin.elapsed()
}

pub fn host(index: u16) -> HostId {
    HostId::new(format!("host-{index:02}")).expect("valid")
}

fn domain() -> FabricDomainId {
    FabricDomainId::new("fabric-1").expect("valid")
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}

fn entry(index: u16) -> HostEntry {
    HostEntry {
        host: host(index),
        address: address(index),
        failure_domain: FailureDomainId::new("fd-1").expect("valid"),
        region: RegionId::new("local").expect("valid"),
        role: HostRole::Engine { fabric_domain: domain(), accelerators: 8 },
        standing: HostStanding::Live,
    }
}

fn spec(replicas: u32) -> GroupSetSpec {
    GroupSetSpec {
        name: GroupSetName::new("set").expect("valid"),
        model: ModelName::new("model").expect("valid"),
        version: ModelVersion::new("v1").expect("valid"),
        adapter: None,
        fabric_domains: Vec::new(),
        replicas,
        hosts_per_group: 4,
        value: Weight(1.0),
        spares: 0,
        slots_per_group: 8,
        workspaces: Vec::new(),
    }
}
