//! The control loop with an in-memory table and in-memory engines.

#[path = "support/mod.rs"]
mod support;

use {
    async_trait::async_trait,
    base::{
        Epoch, FabricDomainId, FailureDomainId, GroupId, HostId, Incarnation, ManualClock,
        ModelName, RowVersion, ServiceName, StoreEra, Term, Tick,
    },
    futures::FutureExt,
    infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    limit::NamedLimit,
    node::{
        ConfigUpdate, EngineAccess, EngineReport, EngineService, ModelRule, ProbeError, RowChange,
        ServerChange, ServerEntry, ServerStanding, WatchPage, WatchPosition,
        control::{ControlLoop, HeadUpdates, StepPace},
        members::MemberTable,
        peers::HeadPace,
        rows::{MemberRow, RowName, RowOwner},
        view::NodeView,
    },
    plan::staged::{
        EngineState, MemberPhase, Membership, OrderEnd, StagedCommand, StagedOrder, StagedSettings,
    },
    relay::{RelayConfig, ServerLoad},
    std::{
        collections::BTreeMap,
        iter,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::relay_shared,
    tokio::{sync::mpsc, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// A position in the store's first era.
fn at(version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(0), version }
}

/// In-memory rows with store versions.
#[derive(Default)]
struct MemoryTable {
    rows: parking_lot::Mutex<(u64, BTreeMap<RowKey, StoredRow>)>,
}

#[async_trait]
impl TableStore for MemoryTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        let rows = self.rows.lock();
        Ok(keys.iter().map(|key| rows.1.get(key).cloned()).collect())
    }

    async fn scan(&self, _prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        Ok(self.rows.lock().1.values().cloned().collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let mut rows = self.rows.lock();
        let version = |rows: &BTreeMap<RowKey, StoredRow>, key: &RowKey| {
            rows.get(key).map_or(RowVersion(0), |row| row.version)
        };
        let holds =
            |condition: &infra::Condition| version(&rows.1, &condition.key) == condition.version;
        if !transaction.conditions.iter().all(holds) {
            return Ok(CommitOutcome::Conflict { rows: Vec::new(), absent: Vec::new() });
        }
        rows.0 += 1;
        let version = RowVersion(rows.0);
        for write in transaction.writes {
            let value = write.value.unwrap_or_default();
            rows.1.insert(write.key.clone(), StoredRow { key: write.key, version, value });
        }
        Ok(CommitOutcome::Committed { version, era: base::StoreEra(0) })
    }
}

/// Engines that accept each order and, if `follow` is set, carry it out at once.
#[derive(Default)]
struct AcceptingEngines {
    orders: parking_lot::Mutex<Vec<(Term, StagedOrder)>>,
    follow: AtomicBool,
    states: parking_lot::Mutex<BTreeMap<HostId, EngineState>>,
    /// The outcome of each probe; `None` while engines answer.
    probe_error: parking_lot::Mutex<Option<ProbeError>>,
    /// Upper bound of the time that an engine takes to answer, a different one for each probe.
    probe_time_ms: AtomicU64,
    probes: AtomicU64,
    /// An engine that reports five times the usual time.
    slow: parking_lot::Mutex<Option<HostId>>,
}

impl EngineAccess for AcceptingEngines {
    async fn probe(
        &self,
        host: &HostId,
        _address: SocketAddr,
        limit: Duration,
    ) -> Result<EngineReport, ProbeError> {
        let error = *self.probe_error.lock();
        if let Some(error) = error {
            sleep(limit).await;
            return Err(error);
        }
        let number = self.probes.fetch_add(1, Ordering::Relaxed);
        let probe_time_ms = self.probe_time_ms.load(Ordering::Relaxed);
        if probe_time_ms > 0 {
            sleep(Duration::from_millis(number % probe_time_ms + 1)).await;
        }
        let idle = EngineState {
            boot_id: Some(1),
            membership: None,
            model: None,
            staged: Vec::new(),
            accepted_orders: None,
        };
        let facts = self.states.lock().get(host).cloned().unwrap_or(idle);
        Ok(EngineReport {
            facts,
            load: ServerLoad::default(),
            slowdown: if self.slow.lock().as_ref() == Some(host) { 5.0 } else { 1.0 },
            limit: NamedLimit::Absent,
        })
    }

    async fn order(&self, order: &StagedOrder, term: Term, _limit: Duration) -> OrderEnd {
        self.orders.lock().push((term, order.clone()));
        if self.follow.load(Ordering::Relaxed) {
            self.carry_out(order);
        }
        OrderEnd::Accepted
    }
}

impl AcceptingEngines {
    fn carry_out(&self, order: &StagedOrder) {
        let mut states = self.states.lock();
        match &order.command {
            StagedCommand::Join { group, epoch, model, members } => {
                let rank = members.iter().position(|member| *member == order.host).unwrap();
                let membership = Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank: rank as u32,
                    phase: MemberPhase::Ready,
                };
                let state = EngineState {
                    boot_id: Some(1),
                    membership: Some(membership),
                    model: Some(model.clone()),
                    staged: vec![model.clone()],
                    accepted_orders: None,
                };
                states.insert(order.host.clone(), state);
            }
            StagedCommand::Open { .. } => {
                if let Some(membership) =
                    states.get_mut(&order.host).and_then(|state| state.membership.as_mut())
                {
                    membership.phase = MemberPhase::Open;
                }
            }
            _ => {}
        }
    }

    fn compositions(&self) -> Vec<(GroupId, Epoch, Vec<HostId>)> {
        let mut found = Vec::new();
        for (_, order) in self.orders.lock().iter() {
            if let StagedCommand::Join { group, epoch, members, .. } = &order.command {
                let composition = (group.clone(), *epoch, members.clone());
                if !found.contains(&composition) {
                    found.push(composition);
                }
            }
        }
        found
    }
}

struct Rig {
    clock: Arc<ManualClock>,
    view: Arc<NodeView>,
    engines: Arc<AcceptingEngines>,
    head_updates: parking_lot::Mutex<mpsc::Receiver<HeadUpdates>>,
}

impl Rig {
    async fn start() -> Self {
        Self::start_at(0).await
    }

    /// Starts with a store in which `version` was the last one.
    async fn start_at(version: u64) -> Self {
        let table = MemoryTable::default();
        table.rows.lock().0 = version;
        let clock = Arc::new(ManualClock::new());
        clock.advance(Duration::from_secs(1_000));
        let shared = Arc::new(relay_shared(clock.clone()));
        let own = RowOwner { node: HostId::new("n0").unwrap(), incarnation: Incarnation(7) };
        let view = Arc::new(NodeView::new(MemberTable::new(own.node.clone()), shared.clone()));
        let engines = Arc::new(AcceptingEngines::default());
        let (_, local_stalls) = mpsc::channel(8);
        let (head_updates, received_updates) = mpsc::channel(256);
        view.apply_config(config());
        view.apply_rows(member_row(&own));
        tokio::spawn(ControlLoop::run(
            Arc::new(table),
            engines.clone(),
            view.clone(),
            shared,
            own,
            StagedSettings::default(),
            local_stalls,
            head_updates,
            CancellationToken::new(),
        ));
        Self { clock, view, engines, head_updates: parking_lot::Mutex::new(received_updates) }
    }

    async fn run(&self, span: Duration) {
        let step = Duration::from_millis(20);
        for _ in 0..span.as_millis() / step.as_millis() {
            self.clock.advance(step);
            sleep(step).await;
        }
    }

    /// The paces in the updates since the last call.
    fn told_paces(&self) -> Vec<HeadPace> {
        let mut updates = self.head_updates.lock();
        iter::from_fn(|| updates.try_recv().ok()).flat_map(|update| update.paces).collect()
    }

    fn list(&self, names: &[&str]) {
        self.list_at(names, 1);
    }

    /// Lists engines as of a version of the store.
    fn list_at(&self, names: &[&str], version: u64) {
        let changes = names.iter().map(|name| ServerChange::Listed(Box::new(engine(name))));
        let changes = changes.collect();
        self.view.apply_servers(WatchPage {
            changes,
            position: at(version),
            is_snapshot: true,
            age: None,
        });
    }
}

fn config() -> ConfigUpdate {
    let rule = ModelRule {
        name: ModelName::new("m").unwrap(),
        size: 3,
        share: 1.0,
        slowdown: 1.0,
        load_time: Duration::from_secs(10),
    };
    let engine = EngineService {
        name: ServiceName::new("pool").unwrap(),
        slots: 4,
        models: vec![rule],
        loads_per_s: 4.0,
        loads_at_once: 4,
    };
    let limits = relay::CallerLimits::default();
    ConfigUpdate {
        era: StoreEra(0),
        relay: RelayConfig::new(1, Vec::new(), Vec::new(), limits),
        engines: vec![engine],
        cold: Vec::new(),
    }
}

fn member(incarnation: Incarnation) -> MemberRow {
    MemberRow {
        incarnation,
        peers: ([127, 0, 0, 1], 1).into(),
        callers: ([127, 0, 0, 1], 2).into(),
        failure_domain: FailureDomainId::new("z").unwrap(),
    }
}

fn member_row(own: &RowOwner) -> WatchPage<RowChange> {
    let row = member(own.incarnation);
    let stored = StoredRow {
        key: RowName::Member(own.node.clone()).key(),
        version: RowVersion(1),
        value: serde_json::to_string(&row).unwrap(),
    };
    let changes = vec![RowChange::Written(stored)];
    WatchPage { changes, position: at(1), is_snapshot: true, age: None }
}

fn engine(name: &str) -> ServerEntry {
    ServerEntry {
        cold_left: Duration::ZERO,
        boot_id: None,
        id: HostId::new(name).unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        service: ServiceName::new("pool").unwrap(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        standing: ServerStanding::Live,
        fabric_domain: Some(FabricDomainId::new("d").unwrap()),
        facts: Some(EngineState {
            boot_id: Some(1),
            membership: None,
            model: None,
            staged: Vec::new(),
            accepted_orders: None,
        }),
    }
}

/// Guards against forming the first groups from a partial server list. More than 200 engines start
/// together and are listed over four seconds, in pages more than a second apart. Groups formed
/// after the first page of two domains took the hosts that the model with large groups needed.
#[tokio::test(start_paused = true)]
async fn first_groups_wait_for_the_full_list() {
    let rig = Rig::start().await;
    rig.view.with(|state| {
        // The other processes are listed and down, so that this one claims the domain.
        state.members.record_contact(Tick(u64::MAX));
        for node in 1..100 {
            let row = member(Incarnation(1_000 + node));
            state.members.insert_row(HostId::new(format!("n{node}")).unwrap(), row, Tick(0));
        }
    });
    rig.view.apply_rows(WatchPage {
        changes: Vec::new(),
        position: at(2),
        is_snapshot: false,
        age: None,
    });
    let names = ["a1", "a2", "a3", "a4", "a5", "a6"];
    for listed in [2, 4, 6] {
        rig.list(&names[..listed]);
        rig.run(Duration::from_millis(1_250)).await;
        assert!(rig.engines.compositions().is_empty(), "after {listed} hosts");
    }
    rig.run(Duration::from_secs(3)).await;
    assert!(!rig.engines.compositions().is_empty());
}

/// A process that had been cut off planned with the server list of before the cut: it took servers that had
/// started again, and that another owner had in groups, for those of before.
#[tokio::test(start_paused = true)]
async fn a_new_owner_orders_nothing_before_it_has_read_the_servers_afresh() {
    let rig = Rig::start_at(20).await;
    rig.list_at(&["a1", "a2", "a3"], 15);
    rig.run(Duration::from_secs(6)).await;
    assert!(rig.engines.orders.lock().is_empty());
    assert!(rig.view.list_wanted.notified().now_or_never().is_some(), "it asks for the list");
    rig.list_at(&["b1", "b2", "b3"], 21);
    rig.run(Duration::from_secs(6)).await;
    let joined = rig.engines.compositions();
    assert!(!joined.is_empty());
    for (_, _, members) in joined {
        assert!(members.iter().all(|member| member.as_str().starts_with('b')), "{members:?}");
    }
}

/// The last answer of an engine that is out of reach may be older than its membership in a group of the
/// next owner.
#[tokio::test(start_paused = true)]
async fn engines_out_of_reach_join_no_new_group() {
    let rig = Rig::start().await;
    rig.list(&["a1", "a2", "a3"]);
    rig.run(Duration::from_millis(1_200)).await;
    assert!(rig.engines.compositions().is_empty());
    *rig.engines.probe_error.lock() = Some(ProbeError::Inconclusive);
    rig.run(Duration::from_secs(5)).await;
    assert!(rig.engines.compositions().is_empty());
    *rig.engines.probe_error.lock() = None;
    rig.run(Duration::from_secs(3)).await;
    assert!(!rig.engines.compositions().is_empty());
}

/// A group works at the pace of its slowest member, which takes no requests itself.
#[tokio::test(start_paused = true)]
async fn owner_tells_the_pace_of_a_group_with_a_slow_member() {
    let rig = Rig::start().await;
    rig.engines.follow.store(true, Ordering::Relaxed);
    rig.list(&["a1", "a2", "a3"]);
    rig.run(Duration::from_secs(6)).await;
    assert!(rig.told_paces().is_empty());
    let (_, _, members) = rig.engines.compositions().remove(0);
    *rig.engines.slow.lock() = members.last().cloned();
    rig.run(Duration::from_secs(2)).await;
    let expected = HeadPace { head: members[0].clone(), percent: 500 };
    let told = rig.told_paces();
    assert!(told.len() > 1 && told.iter().all(|pace| *pace == expected), "{told:?}");
    *rig.engines.slow.lock() = None;
    rig.run(Duration::from_secs(1)).await;
    rig.told_paces();
    rig.run(Duration::from_secs(1)).await;
    assert!(rig.told_paces().is_empty());
}

/// An owner that was cut off from all engines took them for down, broke up their groups and told all
/// processes to keep away from the heads.
#[tokio::test(start_paused = true)]
async fn groups_stay_while_their_owner_reaches_no_engine() {
    let rig = Rig::start().await;
    rig.engines.follow.store(true, Ordering::Relaxed);
    rig.list(&["a1", "a2", "a3"]);
    rig.run(Duration::from_secs(6)).await;
    let opened =
        |(_, order): &(Term, StagedOrder)| matches!(order.command, StagedCommand::Open { .. });
    let before = rig.engines.orders.lock().len();
    assert!(rig.engines.orders.lock().iter().any(opened));
    *rig.engines.probe_error.lock() = Some(ProbeError::Inconclusive);
    rig.run(Duration::from_secs(5)).await;
    assert_eq!(rig.engines.orders.lock().len(), before);
    // Probes that failed beside others that did not are still failures of the engine.
    *rig.engines.probe_error.lock() = Some(ProbeError::Silent);
    rig.run(Duration::from_secs(5)).await;
    assert!(rig.engines.orders.lock().len() > before);
}

/// All engines of a fabric domain become unreachable and drop out of the list, and others replace
/// them while the owner stays alive. Group names and epochs must not start over under the same
/// term: the next owner could not tell the earlier and the later groups apart and released the head
/// of the later one.
#[tokio::test(start_paused = true)]
async fn a_domain_that_was_unreachable_gets_new_names_and_epochs() {
    let rig = Rig::start().await;
    rig.list(&["a1", "a2", "a3"]);
    rig.run(Duration::from_secs(4)).await;
    let first = rig.engines.compositions();
    assert_eq!(first.len(), 1, "{first:?}");
    rig.list(&[]);
    rig.run(Duration::from_secs(4)).await;
    rig.list(&["b1", "b2", "b3"]);
    rig.run(Duration::from_secs(6)).await;
    let all = rig.engines.compositions();
    let later: Vec<_> = all.iter().filter(|(_, _, members)| *members != first[0].2).collect();
    assert!(!later.is_empty(), "{all:?}");
    for (group, epoch, _) in later {
        assert_ne!(*group, first[0].0);
        assert_ne!(*epoch, first[0].1);
    }
}

/// An owner planned anew for each answer of an engine. With two hundred engines it used all of a small
/// host's processor time: callers' requests, and that callers had left, were noticed more than a second late.
#[tokio::test(start_paused = true)]
async fn an_owner_of_many_engines_leaves_time_for_callers() {
    let rig = Rig::start().await;
    let names: Vec<String> = (0..200).map(|number| format!("a{number}")).collect();
    rig.list(&names.iter().map(String::as_str).collect::<Vec<_>>());
    rig.engines.probe_time_ms.store(300, Ordering::Relaxed);
    rig.run(Duration::from_secs(2)).await;
    let before = rig.view.control_steps.count();
    rig.run(Duration::from_secs(2)).await;
    let steps = rig.view.control_steps.count() - before;
    assert!((20..=100).contains(&steps), "{steps} steps in two seconds");
}

/// A process that was stopped in the middle of a step must plan again soon.
#[test]
fn the_pause_after_a_step_is_bounded() {
    let began = tokio::time::Instant::now();
    let mut pace = StepPace::new(began);
    assert!(pace.is_due());
    for (took_ms, pause_ms) in [(0, 20), (2, 20), (30, 90), (4_000, 200)] {
        let ended = began + Duration::from_millis(took_ms);
        pace.note_step(began, ended);
        assert!(!pace.is_due());
        assert_eq!(pace.next_at() - ended, Duration::from_millis(pause_ms), "after {took_ms} ms");
        pace.note_change();
        assert!(pace.is_due());
    }
}
