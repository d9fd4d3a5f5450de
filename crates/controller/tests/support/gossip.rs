#![allow(dead_code, unreachable_pub)]
//! A model of many nodes on one manual clock. Their queries and answers are encoded and decoded, so
//! that their bytes can be counted.

use {
    base::{
        Epoch, FabricDomainId, FailureDomainId, GroupId, GroupSetName, HeadNumber, HostId,
        Incarnation, ManualClock, MemberId, ModelName, ModelVersion, RecordSequence, RegionId,
        Term, TickClock, ViewNumber,
    },
    controller::{
        groups::port::DomainAuthority,
        member::liveness::ContactLog,
        net::{gossip::GossipState, loads::LoadTable},
        state::node::{NodeCore, NodeTiming},
    },
    freshness::FreshTiming,
    parking_lot::Mutex,
    peer::{
        ClusterState, DomainRecord, GroupMember, GroupPhase, GroupRecord, Head, MemberRow,
        MemberView, MessageCodec, PeerDatagram, ViewChain, codec::OLDEST_PROTOCOL_VERSION,
    },
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_pcg::Pcg64Mcg,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Headers of IP and UDP, in bytes.
const UDP_HEADER_BYTES: usize = 28;
/// Duration of one step of the model.
const STEP: Duration = Duration::from_millis(50);

/// One node of the model.
pub struct GossipNode {
    /// The node's state and evidence.
    pub node: Arc<NodeCore>,
    /// The gateways' loads that the node knows from its peers' answers.
    pub loads: Arc<LoadTable>,
    gossip: GossipState,
    /// Bytes sent and received, headers included.
    pub bytes: usize,
    /// Step of each period at which the node sends its queries.
    query_step: usize,
}

/// Nodes that exchange queries and answers in memory.
pub struct GossipModel {
    /// The nodes, in the order of the view.
    pub nodes: Vec<GossipNode>,
    clock: Arc<ManualClock>,
    random: Pcg64Mcg,
    codec: MessageCodec,
    steps_per_period: usize,
    step: usize,
    /// For each node, whether it has announced the newest head.
    pushed: Vec<bool>,
}

impl GossipModel {
    /// Creates a view of `members` nodes, each of which holds head 1 and the records of `domains`
    /// fabric domains.
    pub fn new(members: usize, domains: usize, period: Duration, seed: u64) -> Self {
        let clock = Arc::new(ManualClock::new());
        clock.advance(Duration::from_secs(1_000));
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let state = Arc::new(state(members));
        let records: Vec<DomainRecord> = (0..domains).map(record).collect();
        let steps_per_period = (period.as_millis() / STEP.as_millis()) as usize;
        let codec = MessageCodec::default();
        let nodes = state.view.members.iter().map(|row| {
            let timing =
                NodeTiming { fresh: FreshTiming::default(), order_flight: Duration::from_secs(1) };
            let node = NodeCore::new(row.member.host.clone(), clock.clone(), timing);
            let node = Arc::new(node);
            node.hold(state.clone());
            node.become_member(row.member.clone());
            for record in &records {
                node.records().apply(record.clone());
            }
            let loads = Arc::new(LoadTable::default());
            let contacts = Arc::new(Mutex::new(ContactLog::default()));
            let gossip = GossipState::new(node.clone(), loads.clone(), contacts, codec, 0);
            let query_step = random.random_range(0..steps_per_period);
            GossipNode { node, loads, gossip, bytes: 0, query_step }
        });
        let nodes = nodes.collect();
        Self { nodes, clock, random, codec, steps_per_period, step: 0, pushed: Vec::new() }
    }

    /// Every node reads head 1 from the table service.
    pub fn read_table(&self) {
        let now = self.clock.now();
        for node in &self.nodes {
            node.node.record_read(now, HeadNumber(1));
        }
    }

    /// Advances the clock by `span`; every node sends its queries once per period.
    pub fn run(&mut self, span: Duration) {
        let steps = (span.as_millis() / STEP.as_millis()) as usize;
        for _ in 0..steps {
            self.clock.advance(STEP);
            self.step += 1;
            let now = self.clock.now();
            let mut order: Vec<usize> = (0..self.nodes.len()).collect();
            order.shuffle(&mut self.random);
            for querier in order {
                let node = &self.nodes[querier];
                let host = node.node.me().host;
                node.loads.record_poll(&host, 100, now);
                if node.query_step == self.step % self.steps_per_period {
                    self.send_queries(querier);
                }
            }
        }
    }

    /// The first node commits a change. The other nodes read it when they learn of the new head from
    /// an announcement or a query; see [`GossipModel::push_heads`].
    pub fn change(&mut self) -> HeadNumber {
        let mut next = self.nodes[0].node.state().as_ref().clone();
        next.head.number = next.head.number.next();
        self.nodes[0].node.hold(Arc::new(next.clone()));
        self.pushed = vec![false; self.nodes.len()];
        next.head.number
    }

    /// Every node that holds the newest head announces it to three random nodes, once. Then every node
    /// that knows this head reads its state.
    pub fn push_heads(&mut self) {
        let newest = self.nodes.iter().map(|node| node.node.state()).max_by_key(|s| s.head.number);
        let newest = newest.expect("there are nodes");
        for index in 0..self.nodes.len() {
            let holds = self.nodes[index].node.state().head.number == newest.head.number;
            if holds && !std::mem::replace(&mut self.pushed[index], true) {
                for _ in 0..3 {
                    let other = self.random.random_range(0..self.nodes.len());
                    self.nodes[other].node.learn(newest.head.number);
                }
            }
        }
        for node in &self.nodes {
            if node.node.known() == newest.head.number {
                node.node.hold(newest.clone());
            }
        }
    }

    /// Number of nodes on which a head is not known to be in force.
    pub fn not_in_force(&self, head: HeadNumber) -> usize {
        self.nodes.iter().filter(|node| node.node.in_force() < head).count()
    }

    /// Fraction of nodes that are current.
    pub fn current_fraction(&self) -> f64 {
        let current = self.nodes.iter().filter(|node| node.node.current().is_some()).count();
        current as f64 / self.nodes.len() as f64
    }

    fn send_queries(&mut self, querier: usize) {
        for _ in 0..self.nodes[querier].gossip.targets().len() {
            let other = self.random.random_range(1..self.nodes.len());
            let responder = (querier + other) % self.nodes.len();
            let query = PeerDatagram::Query(self.nodes[querier].gossip.next_query());
            let PeerDatagram::Query(query) = self.transmit(querier, responder, &query) else {
                panic!("a query is decoded as a query");
            };
            let answer = self.nodes[responder].gossip.reply(&query, OLDEST_PROTOCOL_VERSION);
            let answer = PeerDatagram::Answer(answer);
            let PeerDatagram::Answer(answer) = self.transmit(responder, querier, &answer) else {
                panic!("an answer is decoded as an answer");
            };
            self.nodes[querier].gossip.apply_answer(answer);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, datagram: &PeerDatagram) -> PeerDatagram {
        let bytes = self.codec.encode(OLDEST_PROTOCOL_VERSION, datagram).unwrap();
        assert!(bytes.len() <= peer::datagram::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        self.nodes[from].bytes += bytes.len() + UDP_HEADER_BYTES;
        self.nodes[to].bytes += bytes.len() + UDP_HEADER_BYTES;
        self.codec.decode(&bytes).unwrap().message
    }
}

/// A state whose view has this number of members.
pub fn state(members: usize) -> ClusterState {
    let rows = (0..members).map(|index| MemberRow {
        member: MemberId {
            host: HostId::new(format!("entry-{index:03}")).unwrap(),
            incarnation: Incarnation(3),
        },
        failure_domain: FailureDomainId::new(format!("fd-{}", index % 5)).unwrap(),
        region: RegionId::new(format!("region-{}", index % 2)).unwrap(),
        peer_address: address(index, 7301),
        admin_address: address(index, 7302),
        gateway_address: address(index, 7303),
        protocol: OLDEST_PROTOCOL_VERSION,
    });
    let head = Head { number: HeadNumber(1), view: ViewNumber(1), ..Head::default() };
    ClusterState {
        head,
        view: MemberView { number: ViewNumber(1), members: rows.collect() },
        chain: ViewChain { oldest: HeadNumber(1), changes: Vec::new() },
        ..ClusterState::default()
    }
}

/// A record of four groups of four hosts.
pub fn record(index: usize) -> DomainRecord {
    let groups = (0..4).map(|group| GroupRecord {
        group: GroupId::new(format!("chat-fabric-{index}-{group}")).unwrap(),
        set: GroupSetName::new("chat").unwrap(),
        model: ModelName::new("model-70b").unwrap(),
        version: ModelVersion::new("2026-11").unwrap(),
        adapter: None,
        epoch: Epoch(4),
        phase: GroupPhase::Serving,
        members: (0..4)
            .map(|member| GroupMember {
                host: HostId::new(format!("gpu-{index}-{group}-{member}")).unwrap(),
                address: address(index * 16 + group * 4 + member, 8000),
            })
            .collect(),
        slots: 8,
    });
    DomainRecord {
        domain: FabricDomainId::new(format!("fabric-{index}")).unwrap(),
        term: Term(7),
        sequence: RecordSequence(100),
        groups: groups.collect(),
    }
}

fn address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
}
