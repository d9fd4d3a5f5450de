//! Failure domains that the operator evacuates and takes back, and the cold servers of the return.

#[path = "support/mod.rs"]
mod support;

use {
    base::{
        BootClock, FailureDomainId, HostId, Incarnation, ManualClock, RatePerSecond, ServiceName,
        SharedClock, StoreEra,
    },
    node::{
        ColdRule, ConfigUpdate, EvacuationChange, EvacuationSet, OperatorChange, PlatformWatch,
        RowChange, ServerChange, ServerEntry, ServerStanding, WatchError, WatchPage, WatchPosition,
        follow::follow_all,
        members::MemberTable,
        rows::MemberRow,
        share::{SharedWatch, StoreCaches, serve_caches},
        view::NodeView,
    },
    relay::{CallerLimits, ConfigDoubt, RelayConfig, RelayShared},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::relay_shared,
    tokio::{
        net::TcpListener,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    yare::parameterized,
};

/// Time within which a change must take effect.
const BOUND: Duration = Duration::from_secs(5);

fn domain(name: &str) -> FailureDomainId {
    FailureDomainId::new(name).unwrap()
}

fn evacuated(name: &str) -> EvacuationChange {
    EvacuationChange::Evacuated(domain(name))
}

fn restored(name: &str) -> EvacuationChange {
    EvacuationChange::Restored(domain(name))
}

fn at(era: u64, version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(era), version }
}

fn names(set: &EvacuationSet) -> Vec<&str> {
    set.domains().map(FailureDomainId::as_str).collect()
}

#[test]
fn a_domain_is_evacuated_until_it_is_taken_back() {
    let mut set = EvacuationSet::default();
    assert_eq!(set.apply_page(vec![evacuated("a")], at(0, 5), true), [evacuated("a")]);
    assert_eq!(set.apply_page(vec![evacuated("b")], at(0, 6), false), [evacuated("b")]);
    assert_eq!(set.apply_page(vec![restored("a")], at(0, 7), false), [restored("a")]);
    assert_eq!(names(&set), ["b"]);
}

/// What one read and another process say reaches a process in any order; the later account counts.
#[parameterized(
    older_snapshot = { vec![], 6, true, &["a"] },
    older_changes = { vec![restored("a")], 6, false, &["a"] },
    later_snapshot = { vec![], 8, true, &[] },
    later_changes = { vec![restored("a")], 8, false, &[] },
)]
fn the_later_account_counts(
    changes: Vec<EvacuationChange>,
    version: u64,
    is_snapshot: bool,
    left: &[&str],
) {
    let mut set = EvacuationSet::default();
    set.apply_page(vec![evacuated("a")], at(0, 7), true);
    set.apply_page(changes, at(0, version), is_snapshot);
    assert_eq!(names(&set), left);
}

#[test]
fn of_two_processes_the_one_that_read_later_is_right() {
    let (mut older, mut later) = (EvacuationSet::default(), EvacuationSet::default());
    older.apply_page(vec![evacuated("a")], at(0, 5), true);
    later.apply_page(vec![], at(0, 9), true);
    assert!(later.is_news_to(&older.claim()) && !older.is_news_to(&later.claim()));
    assert!(later.clone().adopt(older.clone()).is_empty());
    assert_eq!(older.adopt(later.clone()), [restored("a")]);
    assert!(!later.is_news_to(&older.claim()));
}

/// The copy from which the store came back may lack what the operator was told that it holds.
#[test]
fn an_older_copy_of_the_store_takes_no_domain_back() {
    let mut set = EvacuationSet::default();
    set.apply_page(vec![evacuated("a")], at(0, 50), true);
    assert!(set.apply_page(vec![], at(1, 40), true).is_empty());
    assert_eq!(set.apply_page(vec![restored("a")], at(1, 41), false), [restored("a")]);
}

fn config(version: u64) -> ConfigUpdate {
    let relay = RelayConfig::new(version, Vec::new(), Vec::new(), CallerLimits::default());
    let service = ServiceName::new("s").unwrap();
    let cold = ColdRule { service, rate: RatePerSecond(14.0), span: Duration::from_secs(3) };
    ConfigUpdate { era: StoreEra(0), relay, engines: Vec::new(), cold: vec![cold] }
}

fn entry(id: &str, domain_name: &str, cold_ms: u64) -> ServerChange {
    ServerChange::Listed(Box::new(ServerEntry {
        id: HostId::new(id).unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        service: ServiceName::new("s").unwrap(),
        failure_domain: domain(domain_name),
        standing: ServerStanding::Live,
        boot_id: Some(1),
        cold_left: Duration::from_millis(cold_ms),
        fabric_domain: None,
        facts: None,
    }))
}

/// The local view of a process with two servers in each of two domains.
struct ViewRig {
    clock: Arc<ManualClock>,
    shared: Arc<RelayShared>,
    view: NodeView,
    version: u64,
}

impl ViewRig {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let shared = Arc::new(relay_shared(clock.clone()));
        let view = NodeView::new(MemberTable::new(HostId::new("n").unwrap()), shared.clone());
        let mut rig = Self { clock, shared, view, version: 1 };
        rig.operator(vec![config(1).into()]);
        rig.list(
            [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")].map(|(id, d)| entry(id, d, 0)),
        );
        rig
    }

    fn operator(&mut self, changes: Vec<OperatorChange>) {
        self.version += 1;
        let (position, age) = (at(0, self.version), Some(Duration::ZERO));
        self.view.apply_config_page(WatchPage { changes, position, is_snapshot: false, age });
    }

    fn evacuate(&mut self, change: EvacuationChange) {
        self.operator(vec![OperatorChange::Evacuation(change)]);
    }

    fn list(&self, changes: impl IntoIterator<Item = ServerChange>) {
        let changes = changes.into_iter().collect();
        let position = at(0, 1);
        self.view.apply_servers(WatchPage { changes, position, is_snapshot: false, age: None });
    }

    /// The servers that take requests.
    fn open(&self) -> Vec<String> {
        self.shared.servers.load().all().map(|server| server.id.to_string()).collect()
    }

    /// The servers that are paced.
    fn paced(&self) -> Vec<String> {
        self.shared.limits.limits().iter().map(|limit| limit.server.to_string()).collect()
    }

    fn pass(&self, millis: u64) {
        self.clock.advance(Duration::from_millis(millis));
        self.shared.limits.expire(|_| true);
    }
}

/// Requests went on to servers of domains that the operator had evacuated.
#[test]
fn no_request_goes_to_an_evacuated_domain() {
    let mut rig = ViewRig::new();
    rig.evacuate(evacuated("a"));
    assert_eq!(rig.open(), ["b1", "b2"]);
    rig.operator(vec![config(2).into()]);
    rig.list([entry("a3", "a", 0)]);
    assert_eq!(rig.open(), ["b1", "b2"], "neither a configuration nor a new server ends it");
    rig.evacuate(evacuated("b"));
    assert!(rig.open().is_empty());
    rig.evacuate(restored("a"));
    assert_eq!(rig.open(), ["a1", "a2", "a3"]);
}

/// Idle servers that may be cold got the traffic of all processes as soon as their domain was back.
#[test]
fn servers_of_a_domain_that_was_taken_back_are_paced_for_a_while() {
    let mut rig = ViewRig::new();
    rig.evacuate(evacuated("a"));
    assert!(rig.paced().is_empty());
    rig.evacuate(restored("a"));
    assert_eq!(rig.paced(), ["a1", "a2"]);
    rig.pass(2_900);
    assert_eq!(rig.paced(), ["a1", "a2"]);
    rig.pass(200);
    assert!(rig.paced().is_empty());
}

#[test]
fn a_server_that_says_that_it_is_cold_is_paced_until_that_is_over() {
    let rig = ViewRig::new();
    rig.list([entry("b1", "b", 1_500), entry("b3", "b", 3_000)]);
    assert_eq!(rig.paced(), ["b1", "b3"]);
    rig.pass(1_600);
    assert_eq!(rig.paced(), ["b3"]);
    // The entry that was read before says nothing about now, another time left does.
    rig.list([entry("b1", "b", 1_500), entry("b2", "b", 900)]);
    assert_eq!(rig.paced(), ["b2", "b3"]);
    rig.pass(1_500);
    assert!(rig.paced().is_empty());
}

/// A store that answers nobody.
struct LostStore;

fn unavailable<T>() -> Result<T, WatchError> {
    Err(WatchError::Unavailable { detail: "store is down".to_owned() })
}

impl PlatformWatch for LostStore {
    async fn watch_config(
        &self,
        _after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<OperatorChange>, WatchError> {
        unavailable()
    }

    async fn watch_servers(
        &self,
        _after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        unavailable()
    }

    async fn watch_rows(
        &self,
        _after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        unavailable()
    }

    fn abandon_waiting(&self) {}
}

/// A process that has lost the store, and a peer that reads it for itself.
struct PeerRig {
    clock: SharedClock,
    peer: Arc<NodeView>,
    peer_address: SocketAddr,
    peer_stop: CancellationToken,
    shared: Arc<RelayShared>,
    view: Arc<NodeView>,
    stop: CancellationToken,
}

impl PeerRig {
    async fn start() -> Self {
        let clock: SharedClock = Arc::new(BootClock);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer_address = listener.local_addr().unwrap();
        let (peer, _) = process("peer", peer_address, &clock);
        let (view, shared) = process("own", peer_address, &clock);
        let (stop, peer_stop) = (CancellationToken::new(), CancellationToken::new());
        let caches = Arc::new(StoreCaches::default());
        let serving =
            serve_caches(listener, peer.clone(), caches, clock.clone(), peer_stop.clone());
        tokio::spawn(serving);
        let watch =
            SharedWatch::new(Arc::new(LostStore), view.clone(), Arc::default(), clock.clone());
        tokio::spawn(follow_all(Arc::new(watch), view.clone(), stop.clone()));
        Self { clock, peer, peer_address, peer_stop, shared, view, stop }
    }

    /// What the peer reads from the store; the process hears its gossip meanwhile.
    async fn until(&self, version: u64, changes: Vec<EvacuationChange>, open: &[&str]) {
        let mut changes = Some(changes);
        let followed = async {
            loop {
                let page = changes.take().unwrap_or_default();
                let changes = page.into_iter().map(OperatorChange::Evacuation).collect();
                let (position, age) = (at(0, version), Some(Duration::ZERO));
                let page = WatchPage { changes, position, is_snapshot: false, age };
                self.peer.apply_config_page(page);
                self.view.note_peer_config(self.peer_address, self.peer.config_claim());
                self.view.expire();
                let servers = self.shared.servers.load();
                let ids: Vec<&str> = servers.all().map(|server| server.id.as_str()).collect();
                if ids == open {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(BOUND, followed).await.expect("the set of the peer was not taken over");
    }
}

/// A process with a configuration and a server in each of two domains, that hears from a peer.
fn process(
    own: &str,
    peer_address: SocketAddr,
    clock: &SharedClock,
) -> (Arc<NodeView>, Arc<RelayShared>) {
    let shared = Arc::new(relay_shared(clock.clone()));
    let mut members = MemberTable::new(HostId::new(own).unwrap());
    for (name, incarnation) in [("own", 1), ("peer", 2)] {
        let row = MemberRow {
            incarnation: Incarnation(incarnation),
            peers: peer_address,
            callers: peer_address,
            failure_domain: domain("a"),
        };
        members.insert_row(HostId::new(name).unwrap(), row, clock.now());
    }
    let view = Arc::new(NodeView::new(members, shared.clone()));
    view.apply_config(config(1));
    let changes = vec![entry("a1", "a", 0), entry("b1", "b", 0)];
    view.apply_servers(WatchPage { changes, position: at(0, 1), is_snapshot: true, age: None });
    (view, shared)
}

/// A process that is cut off from the store takes evacuations, and their end, from a peer. Once it has
/// lost that one as well, what it knows stays in force and it doubts it.
#[tokio::test]
async fn a_process_without_the_store_follows_a_peer() {
    let rig = PeerRig::start().await;
    rig.until(10, vec![evacuated("a")], &["b1"]).await;
    rig.until(11, vec![restored("a"), evacuated("b")], &["a1"]).await;
    rig.until(12, vec![restored("b")], &["a1", "b1"]).await;
    rig.until(13, vec![evacuated("a")], &["b1"]).await;
    rig.peer_stop.cancel();
    let doubted = async {
        let mut standing = rig.shared.standing.subscribe();
        while standing.borrow_and_update().doubt(rig.clock.now()) != Some(ConfigDoubt::Unconfirmed)
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(BOUND, doubted).await.expect("an evacuation that nobody confirms is still trusted");
    let servers = rig.shared.servers.load();
    assert_eq!(servers.all().map(|server| server.id.as_str()).collect::<Vec<_>>(), ["b1"]);
    rig.stop.cancel();
}
