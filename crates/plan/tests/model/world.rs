//! Event simulation of one fabric domain: engines, owners and the network between them.

mod inject;
mod inspect;
mod network;

use {
    crate::model::{
        engine::ModelEngine,
        fault::Fault,
        history::{HistoryChecker, HistoryEvent, HistoryLine},
    },
    base::{FabricDomainId, GroupSetName, HostId, RatePerSecond, Term, Tick},
    conf::ticket::DesiredState,
    plan::{
        CostBasedRepair, DomainPlanner, EngineHost, GroupView, HostOrder, HostPhase, HostReport,
        OrderOutcome, PlanInput, PlanSettings, RepairPolicy, Safeguards,
    },
    rand::SeedableRng,
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

pub const ROUND: Duration = Duration::from_millis(500);
const ACCELERATORS: u32 = 8;
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_FLIGHT: Duration = Duration::from_millis(1_000);
/// Longest time until an owner detects a failed member: missed probes, one round and the delay of
/// the answer.
const DETECTION_LIMIT: Duration = Duration::from_millis(2_600);

/// Parameters of a simulation. The faults are scheduled separately.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    pub hosts: u32,
    pub desired: DesiredState,
    /// Whether engines check fencing numbers; must agree with the flag in `desired`.
    pub checked: bool,
    pub safeguards: Safeguards,
    pub seed: u64,
    pub policy: Arc<dyn RepairPolicy>,
    pub load_time: Duration,
    pub drain_time: Duration,
    /// Whether the history is checked; the repair comparison disables it.
    pub check_history: bool,
    /// Number of groups of each set that count as missing when they do not serve.
    pub expected_groups: BTreeMap<GroupSetName, u32>,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            hosts: 9,
            desired: DesiredState::default(),
            checked: true,
            safeguards: Safeguards::default(),
            seed: 1,
            policy: Arc::new(CostBasedRepair::default()),
            load_time: Duration::from_millis(2_000),
            drain_time: Duration::ZERO,
            check_history: true,
            expected_groups: BTreeMap::new(),
        }
    }
}

enum Delivery {
    OrderArrives { owner: usize, copy: u64, order: HostOrder, answered: bool },
    Outcome { owner: usize, copy: u64, order: HostOrder, outcome: OrderOutcome },
    ProbeArrives { owner: usize, host: HostId, probed_at: Tick },
    Report { owner: usize, host: HostId, probed_at: Tick, report: HostReport },
    Refusal { owner: usize, host: HostId, probed_at: Tick },
    Round { owner: usize },
    Settled { owner: usize },
    Resume { owner: usize },
    Fault(Fault),
    HostBack { host: HostId, restart: bool },
}

struct Owner {
    planner: DomainPlanner,
    settled: bool,
    frozen: bool,
    /// Orders that passed the ownership check before the process froze, sent when it resumes.
    held: Vec<(u64, HostOrder)>,
    /// For each host, the copy of an order whose outcome has not been recorded.
    waiting: BTreeMap<HostId, (u64, HostOrder)>,
    /// When the owner began to run rounds, or resumed after a freeze.
    steady_since: Tick,
}

/// Costs of a run, measured by the real state of the engines and not by what the owner knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorldCosts {
    /// Group downtime, in group seconds.
    pub downtime: f64,
    /// Group downtime, weighted by the value of each group.
    pub valued_downtime: f64,
    /// Accelerator seconds of running hosts outside serving groups.
    pub stranded: f64,
}

impl WorldCosts {
    /// Adds up the costs: downtime times `weight`, stranded accelerators times one minus `weight`.
    pub fn weighted(&self, weight: f64) -> f64 {
        weight * self.valued_downtime + (1.0 - weight) * self.stranded
    }
}

/// A fabric domain in virtual time. Owner `n` has term `n + 1`; only the newest one runs rounds.
pub struct World {
    settings: WorldSettings,
    now: Tick,
    rng: Pcg64Mcg,
    queue: BTreeMap<(Tick, u64), Delivery>,
    serial: u64,
    engines: BTreeMap<HostId, ModelEngine>,
    owners: Vec<Owner>,
    targets: BTreeMap<GroupSetName, u32>,
    lossy_until: Tick,
    duplicates_until: Tick,
    partitioned_until: BTreeMap<HostId, Tick>,
    record: Vec<GroupView>,
    pub checker: HistoryChecker,
    pub moved: u32,
    pub joins: u32,
    pub costs: WorldCosts,
    costs_added_at: Tick,
    /// Number of loads under an old term that engines executed after a takeover.
    pub foreign_joins: u32,
    /// Time from each such load until the engine left the group again.
    pub foreign_released_after: Vec<Duration>,
    foreign_since: BTreeMap<HostId, Tick>,
}

impl World {
    pub fn new(settings: WorldSettings) -> Self {
        let hosts = (0..settings.hosts).map(host_id);
        let engine = |host| {
            let mut engine = ModelEngine::new(settings.checked);
            engine.load_time = settings.load_time;
            engine.drain_time = settings.drain_time;
            (host, engine)
        };
        let engines = hosts.map(engine).collect();
        let targets = settings
            .desired
            .group_sets
            .values()
            .map(|spec| (spec.name.clone(), spec.replicas))
            .collect();
        let mut world = Self {
            now: Tick(1_000_000_000),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            queue: BTreeMap::new(),
            serial: 0,
            engines,
            owners: Vec::new(),
            targets,
            lossy_until: Tick(0),
            duplicates_until: Tick(0),
            partitioned_until: BTreeMap::new(),
            record: Vec::new(),
            checker: HistoryChecker::new(DETECTION_LIMIT),
            moved: 0,
            joins: 0,
            costs: WorldCosts::default(),
            costs_added_at: Tick(1_000_000_000),
            foreign_joins: 0,
            foreign_released_after: Vec::new(),
            foreign_since: BTreeMap::new(),
            settings,
        };
        world.add_owner();
        world
    }

    fn push(&mut self, after: Duration, delivery: Delivery) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), delivery);
    }

    /// Schedules a fault for `after` from the current time.
    pub fn schedule(&mut self, after: Duration, fault: Fault) {
        self.push(after, Delivery::Fault(fault));
    }

    fn add_owner(&mut self) {
        self.note(HistoryEvent::Takeover);
        let owner = self.owners.len();
        let term = Term(owner as u64 + 1);
        let limits = PlanSettings {
            order_flight_limit: ORDER_FLIGHT,
            load_limit: Duration::from_secs(20).max(self.settings.load_time * 4),
            load_estimate: self.settings.load_time,
            ..PlanSettings::default()
        };
        let domain = FabricDomainId::new("fabric-1").expect("valid");
        let planner = DomainPlanner::new(&domain, term, limits, self.now)
            .with_policy(self.settings.policy.clone())
            .with_safeguards(self.settings.safeguards.clone());
        self.owners.push(Owner {
            planner,
            settled: false,
            frozen: false,
            held: Vec::new(),
            waiting: BTreeMap::new(),
            steady_since: self.now,
        });
        let wait =
            if owner == 0 { Duration::ZERO } else { ORDER_FLIGHT + Duration::from_millis(100) };
        self.push(wait, Delivery::Settled { owner });
    }

    fn is_owner(&self, owner: usize) -> bool {
        owner + 1 == self.owners.len()
    }

    /// Runs for `span`, or until `done` holds after a round. Returns whether `done` holds at the
    /// end.
    pub fn run(&mut self, span: Duration, mut done: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + span;
        while let Some((&(at, serial), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            let delivery = self.queue.remove(&(at, serial)).expect("the first key is in the queue");
            let round = matches!(delivery, Delivery::Round { .. });
            if round || matches!(delivery, Delivery::Fault(_) | Delivery::HostBack { .. }) {
                self.add_costs();
            }
            self.deliver(delivery);
            if round && done(self) {
                return true;
            }
        }
        self.now = end;
        done(self)
    }

    fn deliver(&mut self, delivery: Delivery) {
        self.note_ready_states();
        match delivery {
            Delivery::OrderArrives { owner, copy, order, answered } => {
                self.order_arrives(owner, copy, order, answered);
            }
            Delivery::Outcome { owner, copy, order, outcome } => {
                self.outcome(owner, copy, &order, outcome);
            }
            Delivery::ProbeArrives { owner, host, probed_at } => {
                self.answer_probe(owner, host, probed_at)
            }
            Delivery::Report { owner, host, probed_at, report } => {
                if !self.owners[owner].frozen {
                    self.note_reported_ready(owner, &host, &report);
                    self.owners[owner].planner.observe(&host, probed_at, report);
                }
            }
            Delivery::Refusal { owner, host, probed_at } => {
                if !self.owners[owner].frozen {
                    self.owners[owner].planner.note_refused_connection(&host, probed_at);
                }
            }
            Delivery::Settled { owner } => {
                self.owners[owner].settled = true;
                self.owners[owner].steady_since = self.now;
                self.round(owner);
            }
            Delivery::Round { owner } => self.round(owner),
            Delivery::Resume { owner } => self.resume(owner),
            Delivery::Fault(fault) => self.inject(fault),
            Delivery::HostBack { host, restart } => {
                if let Some(engine) = self.engines.get_mut(&host)
                    && !engine.up
                {
                    engine.up = true;
                    if restart {
                        engine.restart();
                        self.foreign_since.remove(&host);
                    }
                }
            }
        }
        self.note_ready_states();
    }

    fn note(&mut self, event: HistoryEvent) {
        if self.settings.check_history {
            self.checker.read(&HistoryLine { at: self.now, event });
        }
    }

    fn note_reported_ready(&mut self, owner: usize, host: &HostId, report: &HostReport) {
        if !self.is_owner(owner) || report.phase != HostPhase::Ready {
            return;
        }
        if let Some(load) = &report.load {
            let (host, group, boot_id) = (host.clone(), load.group.clone(), report.boot);
            self.note(HistoryEvent::ReportedReady { host, group, boot_id });
        }
    }

    fn note_ready_states(&mut self) {
        if !self.settings.check_history {
            return;
        }
        let now = self.now;
        let lines: Vec<_> = self
            .engines
            .iter()
            .map(|(host, engine)| {
                let present = engine.answers(now) && engine.is_ready(now);
                let group = engine.load.as_ref().filter(|_| present);
                (host.clone(), group.map(|load| (load.group.clone(), engine.boot_id)))
            })
            .collect();
        for (host, ready) in lines {
            self.note(HistoryEvent::ReadyState { host, ready });
        }
    }

    fn hosts(&self) -> Vec<EngineHost> {
        self.engines
            .iter()
            .map(|(host, engine)| EngineHost {
                host: host.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                accelerators: ACCELERATORS,
                leaving: engine.leaving,
            })
            .collect()
    }

    /// Runs one round of an owner: a step on the received reports, sending orders, and new probes.
    fn round(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            return;
        }
        if !self.is_owner(owner) {
            return;
        }
        self.push(ROUND, Delivery::Round { owner });
        let hosts = self.hosts();
        let input = PlanInput {
            desired: &self.settings.desired,
            targets: &self.targets,
            hosts: &hosts,
            loads: RatePerSecond(20.0),
            now: self.now,
        };
        let orders = self.owners[owner].planner.step(&input);
        if self.owners[owner].planner.is_adoption_done() {
            let groups = self.owners[owner].planner.views();
            self.record = groups.clone();
            let steady = self.now.since(self.owners[owner].steady_since) > DETECTION_LIMIT * 2;
            let term = self.owners[owner].planner.term();
            self.note(HistoryEvent::Record { term, groups, steady });
        }
        for order in orders {
            let copy = self.note_sent(owner, &order);
            self.send(owner, copy, order);
        }
        self.probe_all(owner);
    }
}

pub fn host_id(index: u32) -> HostId {
    HostId::new(format!("host-{index:02}")).expect("valid")
}
