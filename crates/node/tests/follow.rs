//! Following a store whose watches fail, hang or lose their history.

#[path = "support/mod.rs"]
mod support;

use {
    base::{FailureDomainId, HostId, Incarnation, ManualClock, StoreEra, Tick},
    node::{
        ConfigUpdate, OperatorChange, PlatformWatch, RowChange, ServerChange, WatchError,
        WatchPage, WatchPosition, follow::follow_all, members::MemberTable, rows::MemberRow,
        view::NodeView,
    },
    relay::{CallerLimits, RelayConfig},
    std::{
        collections::{BTreeMap, BTreeSet},
        future::pending,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{relay_shared, tell_version},
    tokio::{sync::Notify, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// A position in the store's first era.
fn at(version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(0), version }
}

/// Port 1 of the loopback address, on which nothing listens.
const UNREACHABLE_PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A store whose watches can be made to fail or to wait forever.
#[derive(Default)]
struct FakeStore {
    config_fails: AtomicBool,
    config_hangs: AtomicBool,
    short_poll: AtomicBool,
    version: AtomicU64,
    history_gone_once: AtomicBool,
    /// Whether each watch of the server list returns a change at once, as when many servers refresh
    /// their entries.
    servers_change: AtomicBool,
    server_calls: AtomicUsize,
    full_reads: AtomicUsize,
    /// How long the body of a configuration takes to arrive once it has begun, in milliseconds.
    config_transfer_ms: AtomicU64,
    /// Notified to end the watches that wait without a response.
    abandoned: Notify,
}

impl FakeStore {
    /// Waits for a response that never begins.
    async fn wait_forever<T>(&self) -> Result<T, WatchError> {
        self.abandoned.notified().await;
        Err(WatchError::Unavailable { detail: "abandoned".to_owned() })
    }
}

impl PlatformWatch for FakeStore {
    async fn watch_config(
        &self,
        after: Option<WatchPosition>,
        short_poll: bool,
    ) -> Result<WatchPage<OperatorChange>, WatchError> {
        if self.config_hangs.load(Ordering::SeqCst) && after.is_some() {
            self.config_hangs.store(false, Ordering::SeqCst);
            return self.wait_forever().await;
        }
        self.short_poll.store(short_poll, Ordering::SeqCst);
        sleep(Duration::from_millis(200)).await;
        if self.config_fails.load(Ordering::SeqCst) {
            return Err(WatchError::Unavailable { detail: "no answer".to_owned() });
        }
        let transfer = self.config_transfer_ms.load(Ordering::SeqCst);
        sleep(Duration::from_millis(transfer)).await;
        let version = self.version.load(Ordering::SeqCst);
        let relay = RelayConfig::new(version, Vec::new(), Vec::new(), CallerLimits::default());
        let update =
            ConfigUpdate { era: StoreEra(0), relay, engines: Vec::new(), cold: Vec::new() };
        let changes = vec![update.into()];
        let age = Some(Duration::ZERO);
        Ok(WatchPage { changes, position: at(1), is_snapshot: after.is_none(), age })
    }

    async fn watch_servers(
        &self,
        after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        self.server_calls.fetch_add(1, Ordering::SeqCst);
        match after {
            None => {
                self.full_reads.fetch_add(1, Ordering::SeqCst);
                Ok(WatchPage { changes: Vec::new(), position: at(1), is_snapshot: true, age: None })
            }
            Some(position) if self.history_gone_once.swap(false, Ordering::SeqCst) => {
                Err(WatchError::HistoryGone { position })
            }
            Some(position) if self.servers_change.load(Ordering::SeqCst) => {
                sleep(Duration::from_millis(4)).await;
                let dropped = ServerChange::Dropped(HostId::new("s").unwrap());
                Ok(WatchPage { changes: vec![dropped], position, is_snapshot: false, age: None })
            }
            Some(_) => self.wait_forever().await,
        }
    }

    async fn watch_rows(
        &self,
        _after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        pending().await
    }

    fn abandon_waiting(&self) {
        self.abandoned.notify_waiters();
    }
}

fn view(clock: Arc<ManualClock>) -> Arc<NodeView> {
    let shared = Arc::new(relay_shared(clock));
    let members = MemberTable::new(HostId::new("n0").unwrap());
    Arc::new(NodeView::new(members, shared))
}

fn start(store: &Arc<FakeStore>) -> Arc<NodeView> {
    start_on(store, Arc::new(ManualClock::new()))
}

fn start_on(store: &Arc<FakeStore>, clock: Arc<ManualClock>) -> Arc<NodeView> {
    let view = view(clock);
    tokio::spawn(follow_all(store.clone(), view.clone(), CancellationToken::new()));
    view
}

fn version(view: &NodeView) -> Option<u64> {
    view.with(|state| state.config.as_ref().map(|config| config.relay.version))
}

/// Guards against missed changes when the store accepts watches and answers none of them: when the
/// short configuration watch fails, the other watches must restart.
#[tokio::test(start_paused = true)]
async fn a_failed_watch_of_the_configuration_restarts_the_others() {
    let store = Arc::new(FakeStore::default());
    start(&store);
    sleep(Duration::from_secs(2)).await;
    let before = store.server_calls.load(Ordering::SeqCst);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(store.server_calls.load(Ordering::SeqCst), before, "nothing failed yet");
    store.config_fails.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(2)).await;
    assert!(store.server_calls.load(Ordering::SeqCst) > before);
}

/// Load pattern: fifty servers refresh their entries each second. The owner of a fabric domain read
/// the list ten times a second even while it waited for no engine, a third of all store calls.
#[tokio::test(start_paused = true)]
async fn an_owner_reads_quickly_only_while_it_waits_for_engines() {
    let store = Arc::new(FakeStore::default());
    store.servers_change.store(true, Ordering::SeqCst);
    let view = start(&store);
    sleep(Duration::from_secs(2)).await;
    let calls = |store: &FakeStore| store.server_calls.swap(0, Ordering::SeqCst);
    calls(&store);
    sleep(Duration::from_secs(4)).await;
    let idle = calls(&store);
    assert!((8..=10).contains(&idle), "{idle} calls in four seconds while idle");
    view.set_busy_owner(true);
    sleep(Duration::from_secs(4)).await;
    let busy = calls(&store);
    assert!((35..=40).contains(&busy), "{busy} calls in four seconds while busy");
}

#[tokio::test(start_paused = true)]
async fn a_lower_config_version_is_ignored() {
    let store = Arc::new(FakeStore::default());
    store.version.store(9, Ordering::SeqCst);
    let view = start(&store);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&view), Some(9));
    store.version.store(8, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&view), Some(9));
    store.version.store(12, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&view), Some(12));
}

/// If the history is gone, the list is read in full.
#[tokio::test(start_paused = true)]
async fn a_lost_history_causes_a_full_read() {
    let store = Arc::new(FakeStore::default());
    store.history_gone_once.store(true, Ordering::SeqCst);
    start(&store);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.full_reads.load(Ordering::SeqCst), 2);
}

/// While the store is unreachable, the last known configuration stays in force.
#[tokio::test(start_paused = true)]
async fn the_last_known_configuration_stays_in_an_outage() {
    let store = Arc::new(FakeStore::default());
    store.version.store(5, Ordering::SeqCst);
    let view = start(&store);
    sleep(Duration::from_secs(1)).await;
    store.config_fails.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(version(&view), Some(5));
    assert!(view.with(|state| state.is_ready()));
}

/// A process without a short configuration watch learns of a new version from a peer, and then
/// reads it although its own watch never returns.
#[tokio::test(start_paused = true)]
async fn a_newer_version_of_a_peer_restarts_the_watch() {
    let store = Arc::new(FakeStore::default());
    store.version.store(5, Ordering::SeqCst);
    let clock = Arc::new(ManualClock::new());
    let view = start_on(&store, clock.clone());
    sleep(Duration::from_secs(1)).await;
    store.config_hangs.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    store.version.store(6, Ordering::SeqCst);
    sleep(Duration::from_secs(30)).await;
    assert_eq!(version(&view), Some(5));
    tell_version(&view, 6, UNREACHABLE_PEER);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&view), Some(5), "the local watch may still deliver it");
    clock.advance(Duration::from_millis(600));
    tell_version(&view, 6, UNREACHABLE_PEER);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(version(&view), Some(6));
}

/// Load pattern: after an outage of the store a large configuration arrives over a slow link for two
/// seconds, and gossip says all the while that peers have it. The read used to be ended every 500 ms
/// and never got through.
#[tokio::test(start_paused = true)]
async fn a_read_that_makes_progress_is_not_ended_by_newer_peers() {
    let store = Arc::new(FakeStore::default());
    store.version.store(5, Ordering::SeqCst);
    let clock = Arc::new(ManualClock::new());
    let view = start_on(&store, clock.clone());
    sleep(Duration::from_secs(1)).await;
    store.version.store(6, Ordering::SeqCst);
    store.config_transfer_ms.store(2_000, Ordering::SeqCst);
    for _ in 0..15 {
        tell_version(&view, 6, UNREACHABLE_PEER);
        sleep(Duration::from_millis(300)).await;
        clock.advance(Duration::from_millis(300));
    }
    assert_eq!(version(&view), Some(6));
}

/// Load pattern: versions in quick succession. A process that takes each of them a little after its
/// peers is not outdated, so it does not turn away from its source.
#[tokio::test(start_paused = true)]
async fn a_process_that_keeps_up_with_a_storm_is_not_outdated() {
    let clock = Arc::new(ManualClock::new());
    let view = view(clock.clone());
    for version in 1..20 {
        tell_version(&view, version, UNREACHABLE_PEER);
        clock.advance(Duration::from_millis(300));
        let relay = RelayConfig::new(version, Vec::new(), Vec::new(), CallerLimits::default());
        let update =
            ConfigUpdate { era: StoreEra(0), relay, engines: Vec::new(), cold: Vec::new() };
        let changes = vec![update.into()];
        let age = Some(Duration::ZERO);
        view.apply_config_page(WatchPage { changes, position: at(1), is_snapshot: false, age });
    }
    let outdated = tokio::time::timeout(Duration::from_secs(1), view.outdated.notified());
    assert!(outdated.await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_lower_or_equal_version_of_a_peer_is_ignored() {
    let store = Arc::new(FakeStore::default());
    store.version.store(5, Ordering::SeqCst);
    let view = start(&store);
    sleep(Duration::from_secs(1)).await;
    store.config_hangs.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    tell_version(&view, 4, UNREACHABLE_PEER);
    tell_version(&view, 5, UNREACHABLE_PEER);
    sleep(Duration::from_secs(1)).await;
    assert!(!store.config_hangs.load(Ordering::SeqCst), "the configuration watch must be waiting");
    store.version.store(7, Ordering::SeqCst);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(version(&view), Some(5));
}

/// With many processes only a few watch the store, and all processes select the same ones.
#[test]
fn a_few_of_many_processes_are_watchers() {
    let row = || MemberRow {
        incarnation: Incarnation(1),
        peers: ([127, 0, 0, 1], 1).into(),
        callers: ([127, 0, 0, 1], 2).into(),
        failure_domain: FailureDomainId::new("z").unwrap(),
    };
    let table = |own: u32, nodes: u32| {
        let mut table = MemberTable::new(HostId::new(format!("n{own:03}")).unwrap());
        assert!(table.is_watcher(Tick(0)), "without a row it must watch the store itself");
        for node in 0..nodes {
            table.insert_row(HostId::new(format!("n{node:03}")).unwrap(), row(), Tick(0));
        }
        table
    };
    let watchers: Vec<HostId> = (0..100)
        .filter(|own| table(*own, 100).is_watcher(Tick(0)))
        .map(|own| HostId::new(format!("n{own:03}")).unwrap())
        .collect();
    assert_eq!(watchers.len(), 6);
    let queried: BTreeSet<HostId> = (0..100)
        .filter_map(|own| table(own, 100).nearest_watcher(Tick(0), &|_| false))
        .map(|(node, _)| node)
        .collect();
    assert_eq!(
        queried.into_iter().collect::<Vec<_>>(),
        watchers,
        "exactly the watchers are queried"
    );
    assert!((0..16).all(|own| table(own, 16).is_watcher(Tick(0))));
}

/// Load pattern: three hundred processes start at once. One that has no row yet reads from those that
/// have one.
#[test]
fn a_process_without_a_row_reads_from_the_listed_ones() {
    let name = |node: u32| HostId::new(format!("n{node:03}")).unwrap();
    let mut table = MemberTable::new(name(0));
    let failure_domain = FailureDomainId::new("z").unwrap();
    for node in 1..4 {
        let row = MemberRow {
            incarnation: Incarnation(node.into()),
            peers: ([127, 0, 0, 1], 1).into(),
            callers: ([127, 0, 0, 1], 2).into(),
            failure_domain: failure_domain.clone(),
        };
        table.insert_row(name(node), row, Tick(0));
    }
    assert!(!table.is_watcher(Tick(0)));
    let (first, _) = table.nearest_watcher(Tick(0), &|_| false).unwrap();
    let (second, _) = table.nearest_watcher(Tick(0), &|node| *node == first).unwrap();
    assert_ne!(first, second, "a watcher that failed is passed over");
    assert!(table.nearest_watcher(Tick(0), &|_| true).is_none());
}

/// The other processes read the configuration through a tree: each one reaches a watcher in a few
/// steps, and none is read by many.
#[test]
fn the_configuration_spreads_through_a_tree_of_bounded_fan_out() {
    const NODES: u32 = 295;
    let name = |node: u32| HostId::new(format!("n{node:03}")).unwrap();
    let table = |own: u32| {
        let mut table = MemberTable::new(name(own));
        for node in 0..NODES {
            let row = MemberRow {
                incarnation: Incarnation(node.into()),
                peers: ([127, 0, 0, 1], 1).into(),
                callers: ([127, 0, 0, 1], 2).into(),
                failure_domain: FailureDomainId::new(format!("z{}", node % 5)).unwrap(),
            };
            table.insert_row(name(node), row, Tick(0));
        }
        table
    };
    let sources: BTreeMap<HostId, HostId> = (0..NODES)
        .filter_map(|own| Some((name(own), table(own).config_source(Tick(0), &|_| false)?.0)))
        .collect();
    assert_eq!(sources.len(), NODES as usize - 6, "all but the watchers read from a process");
    let mut readers: BTreeMap<&HostId, usize> = BTreeMap::new();
    for source in sources.values() {
        *readers.entry(source).or_default() += 1;
    }
    let is_watcher = |node: &HostId| !sources.contains_key(node);
    for (node, count) in readers {
        assert!(count <= if is_watcher(node) { 20 } else { 4 }, "{count} processes read {node}");
    }
    for node in sources.keys() {
        let path = std::iter::successors(Some(node), |node| sources.get(*node));
        assert!(path.count() <= 5, "{node} is too far from a watcher");
    }
}
