//! One process: the control loop and the registration of the product, on a runtime of its own that can
//! stand still while the clock goes on.

use {
    super::{
        links::Links,
        servers::{ProcessEngines, ServerFleet, model},
        store::{ProcessTable, SimulatedStore},
        support::relay_shared,
    },
    base::{
        FailureDomainId, HostId, Incarnation, ManualClock, ServiceName, SharedClock, StoreEra,
        Tick, TickClock,
    },
    node::{
        ConfigUpdate, EngineService, ModelRule, ServerChange, WatchPage, WatchPosition,
        control::ControlLoop,
        members::MemberTable,
        membership::MemberRegistration,
        peers::{GOSSIP_INTERVAL, PEERS_PER_ROUND, PeerHeartbeat},
        rows::{MemberRow, RowOwner},
        view::NodeView,
    },
    plan::staged::StagedSettings,
    rand::{Rng, seq::SliceRandom},
    rand_pcg::Pcg64Mcg,
    relay::{CallerLimits, RelayConfig},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{runtime::Runtime, sync::mpsc, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two reads of the server list that nobody asks for.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the rows.
const ROW_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two checks for expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the watch of the rows takes to notice the end of a cut in which it was open.
const REOPEN_TIME: Duration = Duration::from_millis(1_300);
/// The same for the watch of the server list, which may wait longer for its next page.
const LIST_REOPEN_TIME: Duration = Duration::from_millis(7_000);

/// A gossip message.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) to: usize,
    own: PeerHeartbeat,
    forwarded: Vec<PeerHeartbeat>,
}

pub(crate) struct Process {
    pub(crate) index: usize,
    pub(crate) own: RowOwner,
    pub(crate) view: Arc<NodeView>,
    runtime: Runtime,
    clock: Arc<ManualClock>,
    store: Arc<SimulatedStore>,
    links: Arc<Links>,
    fleet: Arc<ServerFleet>,
    counter: u64,
    /// Messages that arrived while the process stood still.
    unread: Vec<Gossip>,
    pub(crate) paused_until: Tick,
    gossip_at: Tick,
    expire_at: Tick,
    list_at: Tick,
    rows_at: Tick,
    row_version: u64,
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + u16::try_from(index).unwrap()))
}

impl Process {
    pub(crate) fn start(
        index: usize,
        clock: &Arc<ManualClock>,
        store: &Arc<SimulatedStore>,
        links: &Arc<Links>,
        fleet: &Arc<ServerFleet>,
        random: &mut Pcg64Mcg,
    ) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let node = HostId::new(format!("n{index}")).unwrap();
        let own = RowOwner { node, incarnation: Incarnation(random.random::<u32>().into()) };
        let shared_clock: SharedClock = clock.clone();
        let shared = Arc::new(relay_shared(shared_clock.clone()));
        shared.in_traffic.store(true, Ordering::Relaxed);
        let view = Arc::new(NodeView::new(MemberTable::new(own.node.clone()), shared.clone()));
        view.apply_config(config());
        let table = || {
            Arc::new(ProcessTable {
                store: store.clone(),
                links: links.clone(),
                process: index,
                clock: shared_clock.clone(),
            })
        };
        let engines = Arc::new(ProcessEngines {
            fleet: fleet.clone(),
            links: links.clone(),
            store: store.clone(),
            process: index,
        });
        let row = MemberRow {
            incarnation: own.incarnation,
            peers: peer_address(index),
            callers: peer_address(index),
            failure_domain: FailureDomainId::new("z").unwrap(),
        };
        let registration =
            MemberRegistration::new(table(), view.clone(), shared_clock.clone(), own.clone(), &row);
        let (_, stalls) = mpsc::channel(8);
        let (head_updates, _) = mpsc::channel(8);
        let control = ControlLoop::run(
            table(),
            engines,
            view.clone(),
            shared,
            own.clone(),
            StagedSettings::default(),
            stalls,
            head_updates,
            CancellationToken::new(),
        );
        runtime.spawn(control);
        runtime.spawn(async move { registration.run(CancellationToken::new()).await });
        let now = clock.now();
        Self {
            index,
            own,
            view,
            runtime,
            clock: clock.clone(),
            store: store.clone(),
            links: links.clone(),
            fleet: fleet.clone(),
            counter: 0,
            unread: Vec::new(),
            paused_until: now,
            gossip_at: now,
            expire_at: now,
            list_at: now,
            rows_at: now,
            row_version: 0,
        }
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.clock.now() < self.paused_until
    }

    pub(crate) fn receive(&mut self, message: Gossip) {
        self.unread.push(message);
    }

    /// Runs for one step of the world unless the process stands still. Returns the messages that it
    /// sends.
    pub(crate) fn step(&mut self, step: Duration, random: &mut Pcg64Mcg) -> Vec<Gossip> {
        if self.is_paused() {
            return Vec::new();
        }
        let now = self.clock.now();
        // What is read first after a pause is a matter of chance.
        if random.random_bool(0.5) {
            self.read_gossip(now);
        }
        self.read_store(now);
        if now >= self.expire_at {
            self.expire_at = now + EXPIRE_INTERVAL;
            self.view.expire();
        }
        self.runtime.block_on(async { sleep(step).await });
        self.read_gossip(now);
        if now < self.gossip_at {
            return Vec::new();
        }
        self.gossip_at = now + GOSSIP_INTERVAL;
        self.send_gossip(random)
    }

    fn read_gossip(&mut self, now: Tick) {
        for message in self.unread.drain(..) {
            self.view.with(|state| {
                state.members.record_contact(now);
                state.members.record_heartbeat(&message.own, now);
                for heartbeat in &message.forwarded {
                    state.members.record_heartbeat(heartbeat, now);
                }
            });
        }
    }

    fn send_gossip(&mut self, random: &mut Pcg64Mcg) -> Vec<Gossip> {
        self.counter += 1;
        let own = PeerHeartbeat {
            incarnation: self.own.incarnation,
            counter: self.counter,
            leaving: false,
        };
        let (mut peers, forwarded) = self
            .view
            .with(|state| (state.members.peer_addresses(), state.members.heartbeats_to_send(140)));
        peers.shuffle(random);
        let to = |address: SocketAddr| usize::from(address.port() - 100);
        let peers = peers.into_iter().take(PEERS_PER_ROUND).map(to);
        peers.map(|to| Gossip { to, own: own.clone(), forwarded: forwarded.clone() }).collect()
    }

    fn read_store(&mut self, now: Tick) {
        let wants_list = self.runtime.block_on(async {
            tokio::select! {
                biased;
                () = self.view.list_wanted.notified() => true,
                () = std::future::ready(()) => false,
            }
        });
        if wants_list {
            self.list_at = self.list_at.min(now);
        }
        if !self.links.reaches_store(self.index) {
            // A watch that hangs is given up only some time after the cut.
            self.list_at = self.list_at.max(now + LIST_REOPEN_TIME);
            self.rows_at = self.rows_at.max(now + REOPEN_TIME);
            self.view.note_outage();
            return;
        }
        if now >= self.rows_at {
            self.rows_at = now + ROW_INTERVAL;
            let changes = self.store.changes_after(self.row_version);
            if self.row_version == 0 || !changes.is_empty() {
                self.view.apply_rows(self.page(changes, self.row_version == 0));
            }
            self.row_version = self.store.version();
        }
        if now >= self.list_at {
            self.list_at = now + LIST_INTERVAL;
            let entries = self.fleet.entries().into_iter();
            let changes = entries.map(|entry| ServerChange::Listed(Box::new(entry))).collect();
            self.view.apply_servers(self.page(changes, true));
        }
    }

    fn page<C>(&self, changes: Vec<C>, is_snapshot: bool) -> WatchPage<C> {
        let position = WatchPosition { era: StoreEra(0), version: self.store.version() };
        WatchPage { changes, position, is_snapshot, age: None }
    }
}

fn config() -> ConfigUpdate {
    let rule = ModelRule {
        name: model(),
        size: 2,
        share: 1.0,
        slowdown: 1.0,
        load_time: Duration::from_secs(4),
    };
    let engine = EngineService {
        name: ServiceName::new("pool").unwrap(),
        slots: 4,
        models: vec![rule],
        loads_per_s: 4.0,
        loads_at_once: 4,
    };
    ConfigUpdate {
        era: StoreEra(0),
        relay: RelayConfig::new(1, Vec::new(), Vec::new(), CallerLimits::default()),
        engines: vec![engine],
        cold: Vec::new(),
    }
}
