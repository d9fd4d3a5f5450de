//! A simulation of several controllers on a paused clock. They run their real background loops and
//! communicate in memory. Tests cut links, and freeze, end and restart processes.

use {
    crate::support::{FakeHosts, FakeTable, TableLink, settings},
    async_trait::async_trait,
    base::{FailureDomainId, HeadNumber, HostId, Incarnation, MemberId, RegionId, Tick, TickClock},
    controller::{
        groups::port::DomainAuthority,
        member::liveness::ContactLog,
        net::{gossip::GossipState, loads::LoadTable},
        operator::tickets::TicketService,
        state::{
            node::{NodeCore, NodeTiming},
            reader::StateReader,
            sync::TableSync,
            writer::ChangeWriter,
        },
        stop::stop_member,
        tasks::{MembershipTask, StateFetcher, eligible_members, run_hosts, run_sync},
    },
    freshness::FreshTiming,
    parking_lot::Mutex,
    peer::{MemberRow, MessageCodec, PeerQuery, codec::OLDEST_PROTOCOL_VERSION},
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
const QUERY_PERIOD: Duration = Duration::from_millis(250);
const FIRST_PORT: u16 = 10_000;
/// Time limit for a condition that must come true, on the paused clock.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// A node's clock, driven by the paused clock of the runtime.
struct PausedClock(Instant);

impl TickClock for PausedClock {
    fn now(&self) -> Tick {
        Tick(1_000_000_000_000) + self.0.elapsed()
    }
}

/// A controller process; a restart makes another one.
pub struct SimNode {
    /// The node's state and evidence.
    pub node: Arc<NodeCore>,
    /// Its connection to the table service.
    pub table_link: Arc<TableLink>,
    /// Submits tickets at this node.
    pub tickets: Arc<TicketService>,
    writer: ChangeWriter,
    contacts: Arc<Mutex<ContactLog>>,
    gossip: GossipState,
    /// Queries that arrived while it was frozen, with the index of the querying node.
    queued_queries: Mutex<Vec<(usize, PeerQuery)>>,
    token: CancellationToken,
    changes: CancellationToken,
}

impl SimNode {
    fn is_frozen(&self) -> bool {
        *self.table_link.frozen.borrow()
    }
}

#[derive(Default)]
struct Links {
    /// Partition of each node; nodes reach each other if they are in the same one.
    partitions: Mutex<Vec<u8>>,
    nodes: Mutex<Vec<Option<Arc<SimNode>>>>,
}

impl Links {
    fn node(&self, index: usize) -> Option<Arc<SimNode>> {
        self.nodes.lock()[index].clone()
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let partitions = self.partitions.lock();
        partitions[one] == partitions[other]
    }

    /// Other running nodes that a node reaches and that are not frozen.
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

/// Controllers that share a table service and a host list in memory.
pub struct Sim {
    /// Table service that all nodes use.
    pub table: Arc<FakeTable>,
    /// Host list that all nodes read.
    pub hosts: Arc<FakeHosts>,
    links: Arc<Links>,
    start: Instant,
    /// The newest head that any node found in force.
    pub in_force: HeadNumber,
}

impl Sim {
    /// Starts `count` controllers and waits until each is a member whose row is in force and every
    /// domain has an owner that may order its engines (see `OwnedDomain::settled`).
    pub async fn start(count: usize, domains: &[&str]) -> Self {
        let hosts = Arc::new(FakeHosts::with_domains(domains));
        let mut sim = Self {
            table: Arc::default(),
            hosts,
            links: Arc::default(),
            start: Instant::now(),
            in_force: HeadNumber(0),
        };
        *sim.links.partitions.lock() = vec![0; count];
        *sim.links.nodes.lock() = (0..count).map(|_| None).collect();
        for index in 0..count {
            sim.boot(index);
        }
        let domains = domains.len();
        sim.until("all rows are in force and every domain is settled", |sim| {
            let nodes = sim.running();
            nodes.iter().all(|node| node.node.with_tracker(|tracker| tracker.counts()))
                && sim.settled_domains() == domains
        })
        .await;
        sim
    }

    /// Starts a process on a host, with empty state.
    pub fn boot(&self, index: usize) {
        let mut settings = settings(&format!("entry-{index}"));
        settings.freshness = Default::default();
        let timing =
            NodeTiming { fresh: FreshTiming::default(), order_flight: Duration::from_secs(1) };
        let clock = Arc::new(PausedClock(self.start));
        let node = Arc::new(NodeCore::new(settings.host.clone(), clock.clone(), timing));
        let table_link = Arc::new(TableLink::new(self.table.clone()));
        let reader = StateReader::new(table_link.clone(), clock);
        let writer = ChangeWriter::new(TableSync::new(reader, node.clone()));
        let contacts = Arc::new(Mutex::new(ContactLog::default()));
        let codec = MessageCodec::default();
        let loads = Arc::new(LoadTable::default());
        let gossip = GossipState::new(node.clone(), loads, contacts.clone(), codec, 0);
        let token = CancellationToken::new();
        let sim_node = Arc::new(SimNode {
            node: node.clone(),
            table_link,
            tickets: Arc::new(TicketService::new(writer.clone())),
            writer: writer.clone(),
            contacts: contacts.clone(),
            gossip,
            queued_queries: Mutex::default(),
            changes: token.child_token(),
            token: token.clone(),
        });
        let fetcher = LinkFetcher { index, links: self.links.clone(), node: node.clone() };
        tokio::spawn(run_sync(writer.clone(), Arc::new(fetcher), STEP * 10, token.clone()));
        tokio::spawn(run_hosts(node, self.hosts.clone(), STEP * 10, token.clone()));
        let membership = MembershipTask { writer, row: row(settings.host, index), contacts };
        tokio::spawn(membership.run(sim_node.changes.clone()));
        tokio::spawn(run_queries(index, sim_node.clone(), self.links.clone()));
        tokio::spawn(run_announcements(index, sim_node.clone(), self.links.clone()));
        self.links.nodes.lock()[index] = Some(sim_node);
    }

    /// The controller that runs on a host.
    pub fn node(&self, index: usize) -> Arc<SimNode> {
        self.links.node(index).expect("the process runs")
    }

    /// All controllers whose process has not ended, including frozen ones.
    pub fn running(&self) -> Vec<Arc<SimNode>> {
        self.links.nodes.lock().iter().flatten().cloned().collect()
    }

    /// Ends a process without a planned stop.
    pub fn kill(&self, index: usize) {
        let node = self.links.nodes.lock()[index].take().expect("the process runs");
        node.token.cancel();
    }

    /// Performs a planned stop of a process.
    pub async fn stop(&mut self, index: usize) {
        let node = self.node(index);
        node.changes.cancel();
        let eligible = eligible_members(&node.node, &node.contacts);
        let limit = Duration::from_secs(20);
        let answers = CancellationToken::new();
        stop_member(&node.writer, eligible, limit, &answers).await;
        self.kill(index);
        self.check();
    }

    /// Suspends a process: its calls of the table service hang and it handles no queries.
    pub fn freeze(&self, index: usize) {
        self.node(index).table_link.frozen.send_replace(true);
    }

    /// Resumes a process. `resumed` inspects it before it handles anything, then it answers the queries
    /// that arrived in the meantime.
    pub fn thaw(&self, index: usize, resumed: impl FnOnce(&SimNode)) {
        let node = self.node(index);
        resumed(&node);
        node.table_link.frozen.send_replace(false);
        for (querier, query) in std::mem::take(&mut *node.queued_queries.lock()) {
            answer(&node, index, &query, querier, &self.links);
        }
    }

    /// Cuts or restores a node's connection to the table service.
    pub fn cut_table(&self, index: usize, cut: bool) {
        self.node(index).table_link.cut.store(cut, SeqCst);
    }

    /// Moves a node to a partition; only nodes of the same partition reach each other.
    pub fn set_partition(&self, index: usize, partition: u8) {
        self.links.partitions.lock()[index] = partition;
    }

    /// Whether two nodes are in the same partition.
    pub fn reaches(&self, one: usize, other: usize) -> bool {
        self.links.reaches(one, other)
    }

    /// Lets `span` pass and checks every node after each [`STEP`].
    pub async fn run(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            sleep(STEP).await;
            self.check();
        }
    }

    /// Runs until a condition holds and returns how long that took.
    pub async fn until(&mut self, what: &str, holds: impl Fn(&Sim) -> bool) -> Duration {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "never happened: {what}");
            self.run(STEP).await;
        }
        start.elapsed()
    }

    /// Number of fabric domains with a running owner that may order their engines.
    pub fn settled_domains(&self) -> usize {
        let owned = self.running().into_iter().flat_map(|node| node.node.owned());
        owned.filter(|owned| owned.settled).count()
    }

    /// Checks that no running node is current on an older head than the newest that any node found in
    /// force, and that no two nodes may order in the same domain.
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

async fn run_queries(index: usize, node: Arc<SimNode>, links: Arc<Links>) {
    while node.token.run_until_cancelled(sleep(QUERY_PERIOD)).await.is_some() {
        if node.is_frozen() {
            continue;
        }
        for target in node.gossip.targets() {
            let query = node.gossip.next_query();
            let to = usize::from(target.address.port() - FIRST_PORT);
            let Some(peer) = links.node(to).filter(|_| links.reaches(index, to)) else { continue };
            match peer.is_frozen() {
                true => peer.queued_queries.lock().push((index, query)),
                false => answer(&peer, to, &query, index, &links),
            }
        }
    }
}

fn answer(peer: &SimNode, index: usize, query: &PeerQuery, querier: usize, links: &Arc<Links>) {
    let answer = peer.gossip.reply(query, OLDEST_PROTOCOL_VERSION);
    let querying = links.node(querier).filter(|node| !node.is_frozen());
    if let Some(querying) = querying.filter(|_| links.reaches(index, querier)) {
        querying.gossip.apply_answer(answer);
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

/// Peer address of a node; its port encodes the index.
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
