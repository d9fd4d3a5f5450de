//! Where a process takes its configuration from when its usual source is silent or out of date.

#[path = "support/mod.rs"]
mod support;

use {
    base::{
        BootClock, FailureDomainId, HostId, Incarnation, ModelName, RatePerSecond, ServiceName,
        SharedClock, StoreEra, TokenCount,
    },
    cost::{EngineSpeed, UsualSize},
    node::{
        ConfigUpdate, OperatorChange, PlatformWatch, RowChange, ServerChange, WatchError,
        WatchPage, WatchPosition,
        follow::follow_all,
        members::MemberTable,
        rows::MemberRow,
        share::{SharedWatch, StoreCaches, serve_caches},
        view::NodeView,
    },
    parking_lot::Mutex,
    relay::{CallerLimits, EngineSpeeds, RelayConfig},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    support::{relay_shared, tell_version},
    tokio::{
        net::TcpListener,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// The bound on the time from the acknowledgement of a change to its effect, where it is shortest.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

fn config(version: u64) -> ConfigUpdate {
    let relay = RelayConfig::new(version, Vec::new(), Vec::new(), CallerLimits::default());
    ConfigUpdate { era: StoreEra(0), relay, engines: Vec::new(), cold: Vec::new() }
}

/// A store that has a configuration, or refuses all reads.
struct ConfigStore {
    config: Mutex<Option<ConfigUpdate>>,
}

impl PlatformWatch for ConfigStore {
    async fn watch_config(
        &self,
        _after: Option<WatchPosition>,
        _short_poll: bool,
    ) -> Result<WatchPage<OperatorChange>, WatchError> {
        match self.config.lock().clone() {
            Some(update) => Ok(page(vec![update.into()])),
            None => unavailable(),
        }
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

fn unavailable<T>() -> Result<T, WatchError> {
    Err(WatchError::Unavailable { detail: "store is down".to_owned() })
}

fn page<T>(changes: Vec<T>) -> WatchPage<T> {
    let position = WatchPosition { era: StoreEra(0), version: 10 };
    WatchPage { changes, position, is_snapshot: true, age: Some(Duration::ZERO) }
}

/// The view of one of `processes` processes, all at one address.
fn view(own: u32, processes: u32, address: SocketAddr, clock: &SharedClock) -> Arc<NodeView> {
    let shared = Arc::new(relay_shared(clock.clone()));
    let name = |node: u32| HostId::new(format!("n{node}")).unwrap();
    let mut members = MemberTable::new(name(own));
    for node in 0..processes {
        let row = MemberRow {
            incarnation: Incarnation(node.into()),
            peers: address,
            callers: address,
            failure_domain: FailureDomainId::new("z").unwrap(),
        };
        members.insert_row(name(node), row, clock.now());
    }
    Arc::new(NodeView::new(members, shared))
}

/// A process that listens for the queries of others and follows nothing.
struct ServingPeer {
    address: SocketAddr,
    view: Arc<NodeView>,
}

impl ServingPeer {
    async fn start(clock: &SharedClock, stop: &CancellationToken) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let view = view(0, 1, address, clock);
        let caches = Arc::new(StoreCaches::default());
        tokio::spawn(serve_caches(listener, view.clone(), caches, clock.clone(), stop.clone()));
        Self { address, view }
    }
}

/// Number of processes in the tests; more than watch the store themselves.
const PROCESSES: u32 = 30;

/// A process that is not a watcher and whose sources are all at one address.
struct FollowerRig {
    clock: SharedClock,
    stop: CancellationToken,
    store: Arc<ConfigStore>,
    source: ServingPeer,
    view: Arc<NodeView>,
}

impl FollowerRig {
    async fn start() -> Self {
        let clock: SharedClock = Arc::new(BootClock);
        let stop = CancellationToken::new();
        let source = ServingPeer::start(&clock, &stop).await;
        source.view.apply_config(config(3));
        let views = (0..PROCESSES).map(|own| view(own, PROCESSES, source.address, &clock));
        let is_reader = |view: &Arc<NodeView>| view.source_watcher(&|_| false).is_some();
        let view = views.into_iter().find(is_reader).unwrap();
        view.apply_config(config(3));
        let store = Arc::new(ConfigStore { config: Mutex::new(Some(config(3))) });
        let caches = Arc::new(StoreCaches::default());
        let watch = SharedWatch::new(store.clone(), view.clone(), caches, clock.clone());
        tokio::spawn(follow_all(Arc::new(watch), view.clone(), stop.clone()));
        let ticking = view.clone();
        tokio::spawn(async move {
            loop {
                ticking.expire();
                sleep(Duration::from_millis(100)).await;
            }
        });
        // The first read is one of the store; later ones go to the source.
        sleep(Duration::from_millis(300)).await;
        Self { clock, stop, store, source, view }
    }

    /// Waits until the process has a version.
    async fn reaches(&self, version: u64) {
        while self.view.config_version() < version {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against a peer that told a newer version and then fell silent: it was asked again and
/// again, although others had told the same version since.
#[tokio::test]
async fn a_silent_peer_does_not_hide_others_that_are_ahead() {
    let rig = FollowerRig::start().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let ahead = ServingPeer::start(&rig.clock, &rig.stop).await;
    ahead.view.apply_config(config(36));
    let gossip = async {
        loop {
            tell_version(&rig.view, 36, silent.local_addr().unwrap());
            tell_version(&rig.view, 36, ahead.address);
            sleep(Duration::from_millis(300)).await;
        }
    };
    tokio::select! {
        () = gossip => {}
        reached = timeout(CONFIG_BOUND, rig.reaches(36)) => reached.expect("still on an old version"),
    }
}

/// Guards against a subtree that is cut off at its root: its sources answer that they have nothing
/// newer, and no peer tells a newer version.
#[tokio::test]
async fn a_process_whose_sources_are_behind_reads_the_store() {
    let rig = FollowerRig::start().await;
    *rig.store.config.lock() = Some(config(36));
    timeout(Duration::from_secs(20), rig.reaches(36)).await.expect("still on an old version");
    drop(rig.source);
}

/// Guards against a version that was given out again after the store came back from an older copy:
/// its number says nothing, so peers also tell the era.
#[tokio::test]
async fn a_version_of_a_later_era_is_taken_from_a_peer() {
    let rig = FollowerRig::start().await;
    let ahead = ServingPeer::start(&rig.clock, &rig.stop).await;
    ahead.view.apply_config(ConfigUpdate { era: StoreEra(1), ..config(3) });
    let gossip = async {
        loop {
            rig.view.note_peer_config(ahead.address, ahead.view.config_claim());
            sleep(Duration::from_millis(300)).await;
        }
    };
    let taken = async {
        while rig.view.config_stamp().era < StoreEra(1) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = gossip => {}
        taken = timeout(CONFIG_BOUND, taken) => taken.expect("still on the earlier era's version"),
    }
}

/// A peer tells the speeds of engines too, behind what earlier versions of the program know.
#[tokio::test]
async fn speeds_of_engines_are_taken_from_a_peer() {
    let rig = FollowerRig::start().await;
    let ahead = ServingPeer::start(&rig.clock, &rig.stop).await;
    let service = ServiceName::new("s").unwrap();
    let speed = EngineSpeed {
        step: Duration::from_millis(6),
        step_per_stream: Duration::from_micros(241),
        step_per_context: Duration::from_micros(5),
        read_rate: RatePerSecond(46_000.0),
        read_pairs: Duration::ZERO,
        stride: 5,
        slots: 34,
        usual: UsualSize { prompt: TokenCount(915), answer: TokenCount(108) },
        paces: BTreeMap::from([(ModelName::new("m").unwrap(), 0.6)]),
    };
    let speeds = EngineSpeeds::from([(service.clone(), Arc::new(speed))]);
    let mut update = config(36);
    update.relay = update.relay.with_engines(speeds.clone());
    ahead.view.apply_config(update);
    let gossip = async {
        loop {
            tell_version(&rig.view, 36, ahead.address);
            sleep(Duration::from_millis(300)).await;
        }
    };
    tokio::select! {
        () = gossip => {}
        reached = timeout(CONFIG_BOUND, rig.reaches(36)) => reached.expect("still on an old version"),
    }
    let known = rig.view.with(|state| state.config.clone()).unwrap();
    assert_eq!(known.relay.engines(), &speeds);
}

/// Guards against two processes that read from each other and take each other's answers for news of
/// the store: the age of their configuration grows.
#[tokio::test]
async fn sources_in_a_circle_do_not_confirm_each_other() {
    let rig = FollowerRig::start().await;
    let confirm = |view: &NodeView, age: Duration| {
        view.apply_config_page(WatchPage { age: Some(age), ..page(Vec::new()) });
    };
    confirm(&rig.source.view, Duration::ZERO);
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        // The source takes what its reader says.
        confirm(&rig.source.view, rig.view.config_age().unwrap());
        sleep(Duration::from_millis(20)).await;
    }
    let least = began.elapsed() - Duration::from_millis(50);
    assert!(rig.view.config_age().unwrap() >= least, "{:?}", rig.view.config_age());
}
