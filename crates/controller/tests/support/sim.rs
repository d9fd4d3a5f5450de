//! Controllers' own loops on a paused clock, with links in memory that tests cut and processes
//! that they freeze, end and start again.

use {
    crate::support::{FakeHosts, FakeTable, TableLine, settings},
    async_trait::async_trait,
    base::{FailureDomainId, HeadNumber, HostId, Incarnation, MemberId, RegionId, Tick, TickClock},
    controller::{
        groups::port::DomainAuthority,
        member::liveness::HearingLog,
        net::{gossip::GossipDesk, loads::LoadBook},
        operator::tickets::TicketDesk,
        state::{
            node::{NodeCore, NodeTiming},
            reader::StateReader,
            sync::TableSync,
            writer::ChangeWriter,
        },
        stop::stop_member,
        tasks::{MemberKeeper, StateFetcher, able_members, run_hosts, run_sync},
    },
    freshness::FreshTiming,
    parking_lot::Mutex,
    peer::{MemberRow, MessageCodec, PeerQuestion, codec::OLDEST_PROTOCOL_VERSION},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two checks of every node.
const STEP: Duration = Duration::from_millis(50);
const ASK_PERIOD: Duration = Duration::from_millis(250);
const FIRST_PORT: u16 = 10_000;
/// Longest wait for anything that must happen, on the paused clock.
const PATIENCE: Duration = Duration::from_secs(120);

/// The runtime's paused clock.
struct PausedClock(Instant);

impl TickClock for PausedClock {
    fn now(&self) -> Tick {
        Tick(1_000_000_000_000) + self.0.elapsed()
    }
}

/// One life of a controller.
pub struct SimNode {
    /// What it knows.
    pub node: Arc<NodeCore>,
    /// Its line to the table service.
    pub line: Arc<TableLine>,
    /// Its tickets.
    pub tickets: Arc<TicketDesk>,
    writer: ChangeWriter,
    hearing: Arc<Mutex<HearingLog>>,
    gossip: GossipDesk,
    /// Questions that arrived while it stood still, with the asker.
    kept: Mutex<Vec<(usize, PeerQuestion)>>,
    token: CancellationToken,
    changes: CancellationToken,
}

impl SimNode {
    fn is_frozen(&self) -> bool {
        *self.line.frozen.borrow()
    }
}

#[derive(Default)]
struct Links {
    /// Nodes reach each other when they are on the same side.
    sides: Mutex<Vec<u8>>,
    nodes: Mutex<Vec<Option<Arc<SimNode>>>>,
}

impl Links {
    fn node(&self, index: usize) -> Option<Arc<SimNode>> {
        self.nodes.lock()[index].clone()
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let sides = self.sides.lock();
        sides[one] == sides[other]
    }

    /// Other running nodes that a node reaches.
    fn reached(&self, from: usize) -> Vec<Arc<SimNode>> {
        let count = self.nodes.lock().len();
        let others = (0..count).filter(|other| *other != from && self.reaches(from, *other));
        others.filter_map(|other| self.node(other)).filter(|node| !node.is_frozen()).collect()
    }
}

struct LinkFetcher {
    index: usize,
    links: Arc<Links>,
    node: Arc<NodeCore>,
}

#[async_trait]
impl StateFetcher for LinkFetcher {
    async fn fetch_state(&self, at_least: HeadNumber) -> bool {
        let states = self.links.reached(self.index).into_iter().map(|peer| peer.node.state());
        let newest = states.max_by_key(|state| state.head.number);
        let newest = newest.filter(|state| state.head.number >= at_least);
        newest.is_some_and(|state| self.node.hold(state))
    }
}

/// Controllers on one platform in memory.
pub struct Sim {
    /// The table service.
    pub table: Arc<FakeTable>,
    /// The host list.
    pub hosts: Arc<FakeHosts>,
    links: Arc<Links>,
    start: Instant,
    /// The newest head that any node found in force.
    pub in_force: HeadNumber,
}

impl Sim {
    /// Starts so many controllers and waits until all are members in force and own the domains.
    pub async fn start(count: usize, domains: &[&str]) -> Self {
        let hosts = Arc::new(FakeHosts::with_domains(domains));
        let mut sim = Self {
            table: Arc::default(),
            hosts,
            links: Arc::default(),
            start: Instant::now(),
            in_force: HeadNumber(0),
        };
        *sim.links.sides.lock() = vec![0; count];
        *sim.links.nodes.lock() = (0..count).map(|_| None).collect();
        for index in 0..count {
            sim.boot(index);
        }
        let domains = domains.len();
        sim.until("all count and every domain is settled", |sim| {
            let nodes = sim.running();
            nodes.iter().all(|node| node.node.with_tracker(|tracker| tracker.counts()))
                && sim.settled_domains() == domains
        })
        .await;
        sim
    }

    /// Starts a process on a host; it knows nothing.
    pub fn boot(&self, index: usize) {
        let mut settings = settings(&format!("entry-{index}"));
        settings.freshness = Default::default();
        let timing =
            NodeTiming { fresh: FreshTiming::default(), order_flight: Duration::from_secs(1) };
        let clock = Arc::new(PausedClock(self.start));
        let node = Arc::new(NodeCore::new(settings.host.clone(), clock.clone(), timing));
        let line = Arc::new(TableLine::new(self.table.clone()));
        let reader = StateReader::new(line.clone(), clock);
        let writer = ChangeWriter::new(TableSync::new(reader, node.clone()));
        let hearing = Arc::new(Mutex::new(HearingLog::default()));
        let codec = MessageCodec::default();
        let loads = Arc::new(LoadBook::default());
        let gossip = GossipDesk::new(node.clone(), loads, hearing.clone(), codec, 0);
        let token = CancellationToken::new();
        let sim_node = Arc::new(SimNode {
            node: node.clone(),
            line,
            tickets: Arc::new(TicketDesk::new(writer.clone())),
            writer: writer.clone(),
            hearing: hearing.clone(),
            gossip,
            kept: Mutex::default(),
            changes: token.child_token(),
            token: token.clone(),
        });
        let fetcher = LinkFetcher { index, links: self.links.clone(), node: node.clone() };
        tokio::spawn(run_sync(writer.clone(), Arc::new(fetcher), STEP * 10, token.clone()));
        tokio::spawn(run_hosts(node, self.hosts.clone(), STEP * 10, token.clone()));
        let keeper = MemberKeeper { writer, row: row(settings.host, index), hearing };
        tokio::spawn(keeper.run(sim_node.changes.clone()));
        tokio::spawn(run_asks(index, sim_node.clone(), self.links.clone()));
        tokio::spawn(run_announcements(index, sim_node.clone(), self.links.clone()));
        self.links.nodes.lock()[index] = Some(sim_node);
    }

    /// A running controller.
    pub fn node(&self, index: usize) -> Arc<SimNode> {
        self.links.node(index).expect("it runs")
    }

    /// All running controllers.
    pub fn running(&self) -> Vec<Arc<SimNode>> {
        self.links.nodes.lock().iter().flatten().cloned().collect()
    }

    /// Ends a process without a word.
    pub fn kill(&self, index: usize) {
        let node = self.links.nodes.lock()[index].take().expect("it runs");
        node.token.cancel();
    }

    /// Stops a process as planned.
    pub async fn stop(&mut self, index: usize) {
        let node = self.node(index);
        node.changes.cancel();
        let able = able_members(&node.node, &node.hearing);
        let limit = Duration::from_secs(20);
        let answers = CancellationToken::new();
        stop_member(&node.writer, able, limit, &answers).await;
        self.kill(index);
        self.check();
    }

    /// Lets a process stand still.
    pub fn freeze(&self, index: usize) {
        self.node(index).line.frozen.send_replace(true);
    }

    /// Lets a process go on; `resumed` looks at it before it does anything else.
    pub fn thaw(&self, index: usize, resumed: impl FnOnce(&SimNode)) {
        let node = self.node(index);
        resumed(&node);
        node.line.frozen.send_replace(false);
        for (asker, question) in std::mem::take(&mut *node.kept.lock()) {
            answer(&node, index, &question, asker, &self.links);
        }
    }

    /// Cuts or mends a node's line to the table service.
    pub fn cut_table(&self, index: usize, cut: bool) {
        self.node(index).line.cut.store(cut, SeqCst);
    }

    /// Puts a node on a side; only nodes of one side reach each other.
    pub fn set_side(&self, index: usize, side: u8) {
        self.links.sides.lock()[index] = side;
    }

    /// Whether two nodes are on one side.
    pub fn reaches(&self, one: usize, other: usize) -> bool {
        self.links.reaches(one, other)
    }

    /// Lets time pass and checks every node all the while.
    pub async fn run(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            sleep(STEP).await;
            self.check();
        }
    }

    /// Runs until something holds; gives how long that took.
    pub async fn until(&mut self, what: &str, holds: impl Fn(&Sim) -> bool) -> Duration {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < PATIENCE, "never happened: {what}");
            self.run(STEP).await;
        }
        start.elapsed()
    }

    /// Fabric domains with a running, settled owner.
    pub fn settled_domains(&self) -> usize {
        let owned = self.running().into_iter().flat_map(|node| node.node.owned());
        owned.filter(|owned| owned.settled).count()
    }

    /// No node that runs may act on an older head than one found in force anywhere, and no domain
    /// may have two nodes that order at once.
    pub fn check(&mut self) {
        let nodes: Vec<_> = self.running().into_iter().filter(|node| !node.is_frozen()).collect();
        for node in &nodes {
            self.in_force = self.in_force.max(node.node.in_force());
        }
        let mut ordering = Vec::new();
        for node in &nodes {
            let held = node.node.state().head.number;
            let current = node.node.current();
            assert!(
                current.is_none() || held >= self.in_force,
                "{} acts on head {held} by {current:?} while {} is in force",
                node.node.me(),
                self.in_force,
            );
            let owned = node.node.owned().into_iter();
            let may = owned.filter(|owned| node.node.may_order(&owned.domain, owned.term));
            ordering.extend(may.map(|owned| owned.domain));
        }
        let count = ordering.len();
        ordering.sort();
        ordering.dedup();
        assert_eq!(count, ordering.len(), "two nodes order in one fabric domain");
    }
}

async fn run_asks(index: usize, node: Arc<SimNode>, links: Arc<Links>) {
    while node.token.run_until_cancelled(sleep(ASK_PERIOD)).await.is_some() {
        if node.is_frozen() {
            continue;
        }
        for target in node.gossip.targets() {
            let question = node.gossip.ask();
            let to = usize::from(target.address.port() - FIRST_PORT);
            let Some(peer) = links.node(to).filter(|_| links.reaches(index, to)) else { continue };
            match peer.is_frozen() {
                true => peer.kept.lock().push((index, question)),
                false => answer(&peer, to, &question, index, &links),
            }
        }
    }
}

fn answer(peer: &SimNode, index: usize, question: &PeerQuestion, asker: usize, links: &Arc<Links>) {
    let answer = peer.gossip.reply(question, OLDEST_PROTOCOL_VERSION);
    let asking = links.node(asker).filter(|node| !node.is_frozen());
    if let Some(asking) = asking.filter(|_| links.reaches(index, asker)) {
        asking.gossip.take_answer(answer);
    }
}

async fn run_announcements(index: usize, node: Arc<SimNode>, links: Arc<Links>) {
    let mut held = node.node.watch_held();
    while let Some(Ok(())) = node.token.run_until_cancelled(held.changed()).await {
        let head = *held.borrow_and_update();
        if !node.is_frozen() {
            links.reached(index).iter().take(3).for_each(|peer| peer.node.learn(head));
        }
    }
}

/// Where peers reach a node.
pub fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

fn row(host: HostId, index: usize) -> MemberRow {
    let address = |base: u16| SocketAddr::from(([127, 0, 0, 1], base + index as u16));
    MemberRow {
        member: MemberId { host, incarnation: Incarnation(0) },
        failure_domain: FailureDomainId::new(format!("fd-{}", index % 3)).unwrap(),
        region: RegionId::new("local").unwrap(),
        peer_address: peer_address(index),
        admin_address: address(11_000),
        gateway_address: address(12_000),
        protocol: OLDEST_PROTOCOL_VERSION,
    }
}
