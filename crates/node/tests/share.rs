//! Reading the server list and the rows from a watcher instead of the store.

#[path = "support/mod.rs"]
mod support;

use {
    base::{FailureDomainId, HostId, Incarnation, ManualClock, ServiceName, StoreEra, Tick},
    node::{
        ConfigUpdate, OperatorChange, PlatformWatch, RowChange, ServerChange, WatchError,
        WatchPage, WatchPosition,
        follow::follow_all,
        members::MemberTable,
        page_cache::{CacheLookup, PageCache},
        rows::MemberRow,
        share::{SharedWatch, StoreCaches, serve_caches},
        store_reads::ReadReason,
        view::NodeView,
    },
    relay::{
        CallerLimits, RelayConfig, RequestKind, RouteRule, RouteTerms, ServiceSplit, ServingTerms,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{relay_shared, tell_version},
    tokio::{net::TcpListener, time::timeout},
    tokio_util::sync::CancellationToken,
};

/// A position in the store's first era.
fn at(version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(0), version }
}

const START: Tick = Tick(1_000_000_000_000);

fn dropped(id: &str) -> ServerChange {
    ServerChange::Dropped(HostId::new(id).unwrap())
}

fn page(changes: &[&str], position: u64, is_snapshot: bool) -> WatchPage<ServerChange> {
    let changes = changes.iter().map(|id| dropped(id)).collect();
    WatchPage { changes, position: at(position), is_snapshot, age: None }
}

fn up_to_date(position: u64) -> CacheLookup<ServerChange> {
    CacheLookup::UpToDate { position: at(position), age: Duration::ZERO }
}

#[test]
fn a_cache_returns_the_changes_since_a_position() {
    let cache = PageCache::default();
    assert_eq!(cache.lookup(at(5), START), CacheLookup::Miss);
    cache.insert(None, &page(&["a"], 10, true), START);
    cache.insert(Some(at(10)), &page(&["b"], 12, false), START);
    cache.insert(Some(at(12)), &page(&[], 15, false), START);
    cache.insert(Some(at(15)), &page(&["c"], 17, false), START);
    assert_eq!(cache.lookup(at(9), START), CacheLookup::Miss, "before the first page");
    let changes = |ids: &[&str]| {
        let age = Some(Duration::ZERO);
        CacheLookup::Changes(WatchPage { age, ..page(ids, 17, false) })
    };
    let both = changes(&["b", "c"]);
    assert_eq!(cache.lookup(at(10), START), both);
    assert_eq!(cache.lookup(at(11), START), both, "a page may start before the position");
    assert_eq!(cache.lookup(at(15), START), changes(&["c"]));
    assert_eq!(cache.lookup(at(20), START), up_to_date(20));
}

/// A snapshot follows a loss of the store's history, so changes before it may have been missed:
/// readers with an older position have to read everything from the store.
#[test]
fn a_snapshot_replaces_older_pages() {
    let cache = PageCache::default();
    cache.insert(None, &page(&["a"], 10, true), START);
    cache.insert(Some(at(10)), &page(&["b"], 12, false), START);
    cache.insert(None, &page(&["a"], 30, true), START);
    assert_eq!(cache.lookup(at(12), START), CacheLookup::Miss);
    assert_eq!(cache.lookup(at(30), START), up_to_date(30));
}

/// A page that does not continue the last one leaves out what lies between.
#[test]
fn a_cache_covers_no_gap() {
    let cache = PageCache::default();
    cache.insert(None, &page(&["a"], 10, true), START);
    cache.insert(Some(at(20)), &page(&["b"], 25, false), START);
    assert_eq!(cache.lookup(at(10), START), CacheLookup::Miss);
    let age = Some(Duration::ZERO);
    let since = WatchPage { age, ..page(&["b"], 25, false) };
    assert_eq!(cache.lookup(at(20), START), CacheLookup::Changes(since));
    cache.insert(Some(at(30)), &page(&[], 30, false), START);
    assert_eq!(cache.lookup(at(25), START), CacheLookup::Miss);
    assert_eq!(cache.lookup(at(30), START), up_to_date(30));
}

#[test]
fn a_cache_says_that_the_store_is_unreachable() {
    let cache = PageCache::default();
    cache.insert(None, &page(&["a"], 10, true), START);
    let later = START + Duration::from_secs(3);
    assert_eq!(cache.lookup(at(10), later), CacheLookup::Unreachable);
    cache.mark_reachable(later);
    assert_eq!(cache.lookup(at(10), later), up_to_date(10));
    cache.mark_unreachable();
    assert_eq!(cache.lookup(at(10), later), CacheLookup::Unreachable);
}

#[test]
fn a_cache_is_bounded() {
    let cache = PageCache::default();
    cache.insert(None, &page(&[], 1, true), START);
    for position in 2..1_000 {
        cache.insert(Some(at(position - 1)), &page(&["a"], position, false), START);
    }
    assert_eq!(cache.lookup(at(1), START), CacheLookup::Miss);
    assert!(matches!(cache.lookup(at(990), START), CacheLookup::Changes(_)));
}

/// A store that counts calls and never has changes.
#[derive(Default)]
struct UnchangingStore {
    calls: AtomicUsize,
    fails: AtomicBool,
    has_config: AtomicBool,
}

impl PlatformWatch for UnchangingStore {
    async fn watch_config(
        &self,
        _after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<OperatorChange>, WatchError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.has_config.load(Ordering::SeqCst) {
            let changes = vec![config(1, 0).into()];
            return Ok(WatchPage { changes, position: at(1), is_snapshot: true, age: None });
        }
        Err(WatchError::Unavailable { detail: "store is down".to_owned() })
    }

    async fn watch_servers(
        &self,
        after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.fails.load(Ordering::SeqCst) {
            return Err(WatchError::Unavailable { detail: "store is down".to_owned() });
        }
        Ok(page(&[], after.map_or(1, |after| after.version), after.is_none()))
    }

    async fn watch_rows(
        &self,
        _after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Err(WatchError::Unavailable { detail: "store is down".to_owned() })
    }

    fn abandon_waiting(&self) {}
}

/// One of a hundred processes that is not a watcher, with a watcher that listens on loopback.
struct ReaderRig {
    store: Arc<UnchangingStore>,
    caches: Arc<StoreCaches>,
    clock: Arc<ManualClock>,
    watch: SharedWatch<UnchangingStore>,
    view: Arc<NodeView>,
    /// The view of the process that listens.
    served: Arc<NodeView>,
    /// Position of the last inserted page.
    inserted: parking_lot::Mutex<Option<WatchPosition>>,
    stop: CancellationToken,
}

impl ReaderRig {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Arc::new(ManualClock::new());
        clock.advance(Duration::from_secs(1_000));
        let view = (0..100).map(|own| view(own, address, clock.clone()));
        let view = view.into_iter().find(|view| view.source_watcher(&|_| false).is_some()).unwrap();
        let served = self::view(0, address, clock.clone());
        let caches = Arc::new(StoreCaches::default());
        let stop = CancellationToken::new();
        tokio::spawn(serve_caches(
            listener,
            served.clone(),
            caches.clone(),
            clock.clone(),
            stop.clone(),
        ));
        let store = Arc::new(UnchangingStore::default());
        let own_caches = Arc::new(StoreCaches::default());
        let watch = SharedWatch::new(store.clone(), view.clone(), own_caches, clock.clone());
        let inserted = parking_lot::Mutex::default();
        Self { store, caches, clock, watch, view, served, inserted, stop }
    }

    fn insert(&self, changes: &[&str], position: u64, is_snapshot: bool) {
        let page = page(changes, position, is_snapshot);
        let after = self.inserted.lock().replace(page.position).filter(|_| !is_snapshot);
        self.caches.servers.insert(after, &page, base::TickClock::now(&*self.clock));
    }

    async fn query(&self, after: u64) -> WatchPage<ServerChange> {
        self.watch.watch_servers(Some(at(after)), false).await.unwrap()
    }

    fn store_calls(&self) -> usize {
        self.store.calls.load(Ordering::SeqCst)
    }
}

/// The view of a process that lists a hundred processes, all with the same address.
fn view(own: u32, address: SocketAddr, clock: Arc<ManualClock>) -> Arc<NodeView> {
    let shared = Arc::new(relay_shared(clock));
    shared.in_traffic.store(true, Ordering::SeqCst);
    let name = |node: u32| HostId::new(format!("n{node}")).unwrap();
    let mut members = MemberTable::new(name(own));
    for node in 0..100 {
        let row = MemberRow {
            incarnation: Incarnation(u64::from(node)),
            peers: address,
            callers: address,
            failure_domain: FailureDomainId::new("z").unwrap(),
        };
        members.insert_row(name(node), row, Tick(0));
    }
    Arc::new(NodeView::new(members, shared))
}

/// Guards against too many reads of the store: a hundred processes follow a list that changes all
/// the time. When each process read each change from the store, these reads were 4,207 of the 7,409
/// calls that the store got in one run.
#[tokio::test]
async fn changes_come_from_a_watcher_without_a_call_to_the_store() {
    let rig = ReaderRig::start().await;
    rig.insert(&["a"], 10, true);
    for position in 11..40 {
        rig.insert(&["b"], position, false);
        let page = rig.query(position - 1).await;
        assert_eq!(page.changes, [dropped("b")]);
        assert_eq!(page.position, at(position));
    }
    assert_eq!(rig.store_calls(), 0);
}

#[tokio::test]
async fn rows_come_from_a_watcher_too() {
    let rig = ReaderRig::start().await;
    let now = base::TickClock::now(&*rig.clock);
    let rows = |keys: &[&str], position: u64, is_snapshot: bool| WatchPage {
        changes: keys.iter().map(|key| RowChange::Deleted((*key).into())).collect(),
        position: at(position),
        is_snapshot,
        age: None,
    };
    rig.caches.rows.insert(None, &rows(&[], 10, true), now);
    rig.caches.rows.insert(Some(at(10)), &rows(&["member/n1"], 11, false), now);
    let page = rig.watch.watch_rows(Some(at(10))).await.unwrap();
    assert_eq!(without_age(page), rows(&["member/n1"], 11, false));
    assert_eq!(rig.store_calls(), 0);
}

#[tokio::test]
async fn a_query_waits_for_changes() {
    let rig = ReaderRig::start().await;
    rig.insert(&["a"], 10, true);
    let query = rig.query(10);
    let update = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        rig.insert(&["b"], 11, false);
    };
    let (page, ()) = tokio::join!(query, update);
    assert_eq!(page.changes, [dropped("b")]);
    let empty = timeout(Duration::from_secs(2), rig.query(11))
        .await
        .expect("no response within the time limit");
    assert_eq!(without_age(empty), empty_page(11));
}

fn without_age<T>(page: WatchPage<T>) -> WatchPage<T> {
    WatchPage { age: None, ..page }
}

fn empty_page(position: u64) -> WatchPage<ServerChange> {
    page(&[], position, false)
}

/// If a watcher can't reach the store or has not cached the pages, its readers query the store.
#[tokio::test]
async fn the_store_is_queried_when_a_watcher_misses() {
    let rig = ReaderRig::start().await;
    rig.insert(&["a"], 10, true);
    rig.query(5).await;
    assert_eq!(rig.store_calls(), 1, "pages before the first one are not cached");
    assert_eq!(rig.view.store_reads.count("servers", ReadReason::Fallback), 1);
    rig.caches.servers.mark_unreachable();
    rig.query(10).await;
    assert_eq!(rig.store_calls(), 2);
}

/// Load pattern: the store drops its history, and every process reads the rarely changing rows again.
/// The server list, which changes all the time, must still come from the watcher.
#[tokio::test]
async fn a_miss_of_one_table_does_not_keep_readers_from_the_watcher() {
    let rig = ReaderRig::start().await;
    // More often than there are watchers, each of which would be passed over after a failure.
    for _ in 0..10 {
        assert!(rig.watch.watch_rows(Some(at(10))).await.is_err());
    }
    assert_eq!(rig.store_calls(), 10);
    rig.insert(&["a"], 10, true);
    for position in 11..20 {
        rig.insert(&["b"], position, false);
        assert_eq!(rig.query(position - 1).await.changes, [dropped("b")]);
    }
    assert_eq!(rig.store_calls(), 10);
}

/// A watcher that has stopped, or is stalled with its port open, delays its readers only once.
#[tokio::test]
async fn the_store_is_queried_when_a_watcher_does_not_answer() {
    let rig = ReaderRig::start().await;
    rig.stop.cancel();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let page = timeout(Duration::from_secs(2), rig.query(10))
        .await
        .expect("no response within the time limit");
    assert_eq!(without_age(page), empty_page(10));
    assert_eq!(rig.store_calls(), 1);
    let started = std::time::Instant::now();
    rig.query(10).await;
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "the failed watcher is queried again too soon"
    );
}

#[tokio::test]
async fn a_busy_owner_queries_the_store_itself() {
    let rig = ReaderRig::start().await;
    rig.insert(&["a"], 10, true);
    rig.view.set_busy_owner(true);
    rig.query(10).await;
    assert_eq!(rig.store_calls(), 1);
    assert_eq!(rig.view.store_reads.count("servers", ReadReason::BusyOwner), 1);
}

#[tokio::test]
async fn an_outage_of_watcher_and_store_is_an_error() {
    let rig = ReaderRig::start().await;
    rig.store.fails.store(true, Ordering::SeqCst);
    assert!(rig.watch.watch_servers(Some(at(10)), false).await.is_err());
}

/// Guards against an outage in which every process reads the store for itself: with 97 processes, 5,000 of
/// the 7,800 calls of one run were refused ones.
#[tokio::test]
async fn readers_ask_an_unanswering_store_in_turns() {
    let rig = ReaderRig::start().await;
    rig.insert(&["a"], 10, true);
    rig.caches.servers.mark_unreachable();
    rig.store.fails.store(true, Ordering::SeqCst);
    for _ in 0..20 {
        assert!(rig.watch.watch_servers(Some(at(10)), false).await.is_err());
    }
    assert_eq!(rig.store_calls(), 1);
    assert!(rig.watch.watch_servers(None, false).await.is_err());
    assert_eq!(rig.store_calls(), 2, "a process without a list does not wait");
    // A watcher is asked again a second after it said that the store does not answer.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    rig.insert(&["b"], 11, true);
    assert_eq!(rig.query(11).await.position, at(11));
    assert_eq!(rig.store_calls(), 2);
}

fn config(version: u64, routes: usize) -> ConfigUpdate {
    let rule = |index: usize| RouteRule {
        name: format!("route-{index}").into(),
        prefix: format!("/{index}/").into(),
        kind: RequestKind::Safe,
        timeout: Duration::from_secs(1),
        attempts: 2,
        public: false,
        splits: vec![ServiceSplit { service: ServiceName::new("s").unwrap(), weight: 1.0 }],
    };
    let routes = (0..routes).map(|index| ("h".into(), rule(index))).collect();
    let terms = RouteTerms { goal: Duration::from_millis(300), ..RouteTerms::default() };
    let terms = ServingTerms::new([("route-0".into(), terms)], []);
    let relay = RelayConfig::new(version, routes, Vec::new(), CallerLimits::default());
    let relay = relay.with_terms(terms);
    ConfigUpdate { era: StoreEra(0), relay, engines: Vec::new(), cold: Vec::new() }
}

/// Guards against one read of each version by each process: on a deployment of 295 processes these
/// reads were most of the calls that the store got.
#[tokio::test]
async fn a_configuration_comes_from_another_process_without_a_call_to_the_store() {
    let rig = ReaderRig::start().await;
    rig.view.apply_config(config(3, 1));
    rig.served.apply_config(config(4, 2_000));
    let page = rig.watch.watch_config(Some(at(10)), false).await.unwrap();
    assert_eq!(page.changes, [config(4, 2_000).into()]);
    rig.view.apply_config(config(4, 2_000));
    let later = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        rig.served.apply_config(config(6, 1));
    };
    let (page, ()) = tokio::join!(rig.watch.watch_config(Some(at(10)), false), later);
    assert_eq!(page.unwrap().changes, [config(6, 1).into()], "a query waits for the next version");
    assert_eq!(rig.store_calls(), 0);
}

/// Load pattern: the store turns some machines away while the configuration grows. They take it from
/// a peer that has it.
#[tokio::test]
async fn a_newer_configuration_is_fetched_from_a_peer_while_the_store_refuses() {
    let rig = ReaderRig::start().await;
    rig.store.fails.store(true, Ordering::SeqCst);
    rig.view.apply_config(config(3, 1));
    rig.served.apply_config(config(36, 1_490));
    let peer = rig.served.with(|state| state.members.peer_addresses()[0]);
    let watch = Arc::new(SharedWatch::new(
        rig.store.clone(),
        rig.view.clone(),
        Arc::new(StoreCaches::default()),
        rig.clock.clone(),
    ));
    tokio::spawn(follow_all(watch, rig.view.clone(), rig.stop.clone()));
    tell_version(&rig.view, 36, peer);
    rig.clock.advance(Duration::from_millis(600));
    tell_version(&rig.view, 36, peer);
    let caught_up = async {
        while rig.view.config_version() < 36 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(1), caught_up).await.expect("still on an old version");
    assert_eq!(rig.view.with(|state| state.config.clone()).as_deref(), Some(&config(36, 1_490)));
}

/// Guards against a list whose own watch is silent while the store answers other watches: its readers
/// were told that nothing had changed.
#[tokio::test]
async fn an_answer_about_the_configuration_does_not_confirm_the_server_list() {
    let rig = ReaderRig::start().await;
    let store = Arc::new(UnchangingStore::default());
    store.has_config.store(true, Ordering::SeqCst);
    let address = rig.served.with(|state| state.members.peer_addresses()[0]);
    let mut views = (0..100).map(|own| view(own, address, rig.clock.clone()));
    let watcher = views.find(|view| view.source_watcher(&|_| false).is_none()).unwrap();
    let watch = SharedWatch::new(store, watcher, rig.caches.clone(), rig.clock.clone());
    rig.insert(&["a"], 10, true);
    for _ in 0..4 {
        rig.clock.advance(Duration::from_secs(1));
        watch.watch_config(None, true).await.unwrap();
    }
    let now = base::TickClock::now(&*rig.clock);
    assert_eq!(rig.caches.servers.lookup(at(10), now), CacheLookup::Unreachable);
}

/// A process that reads from a watcher, and later from the store, has not seen what it got from the
/// watcher as pages of its own. Its readers lost these changes: 16 of 103 processes did not list the
/// head of a group for 18 s, and one of them gave the group's members away.
#[tokio::test]
async fn changes_that_came_from_a_watcher_are_not_passed_over() {
    let rig = ReaderRig::start().await;
    let caches = Arc::new(StoreCaches::default());
    let watch =
        SharedWatch::new(rig.store.clone(), rig.view.clone(), caches.clone(), rig.clock.clone());
    let first = watch.watch_servers(None, false).await.unwrap();
    rig.insert(&[], 1, true);
    rig.insert(&["a"], 20, false);
    let second = watch.watch_servers(Some(first.position), false).await.unwrap();
    assert_eq!(second.changes, [dropped("a")]);
    rig.view.set_busy_owner(true);
    let third = watch.watch_servers(Some(second.position), false).await.unwrap();
    assert!(third.changes.is_empty());
    let now = base::TickClock::now(&*rig.clock);
    assert_eq!(caches.servers.lookup(first.position, now), CacheLookup::Miss);
    assert_eq!(caches.servers.lookup(second.position, now), up_to_date(20));
}
