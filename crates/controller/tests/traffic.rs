//! Bytes that a node exchanges with its peers, and whether its queries keep it current.

#[path = "support/gossip.rs"]
mod gossip;

use {
    gossip::{GossipModel, record},
    peer::{MessageCodec, PeerReply, PeerRequest, codec::OLDEST_PROTOCOL_VERSION},
    std::time::Duration,
    yare::parameterized,
};

/// Limit on a node's control traffic, sent and received, in bytes per second.
const BUDGET_BYTES_PER_SECOND: f64 = 8_000.0;
/// Number of fabric domains in a deployment of 600 servers.
const DOMAINS: usize = 40;
const PERIOD: Duration = Duration::from_millis(500);
const SPAN_SECONDS: u64 = 10;
/// Longest time until a change is in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(9);
/// Changes of tickets, members and owners on an ordinary day.
const CHANGES_PER_DAY: f64 = 620.0 + 3.0 * 72.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of peers to which each node announces a change.
const PUSH_FANOUT: f64 = 3.0;
/// Interval between two comparisons of all records.
const COMPARE_SECONDS: f64 = 5.0;
/// Overhead of one TCP exchange on a new connection: 10 packets with 40 bytes of headers each, and
/// two length prefixes of 4 bytes.
const TCP_OVERHEAD_BYTES: usize = 10 * 40 + 8;

/// Bytes per second over TCP, sent and received, on an ordinary day.
fn tcp_bytes_per_second() -> f64 {
    let digests = (0..DOMAINS).map(record).map(|record| peer::DomainDigest {
        domain: record.domain,
        term: record.term,
        sequence: record.sequence,
    });
    let compare = exchange(&PeerRequest::FetchRecords { digests: digests.collect() });
    let announce = exchange(&PeerRequest::Announce { head: Default::default() });
    let offer = exchange(&PeerRequest::OfferRecords { records: vec![record(1)] });
    // Each exchange counts for both of its nodes.
    let pushes = CHANGES_PER_DAY / SECONDS_PER_DAY * PUSH_FANOUT * (announce + 3.0 * offer);
    2.0 * (compare / COMPARE_SECONDS + pushes)
}

fn exchange(request: &PeerRequest) -> f64 {
    let codec = MessageCodec::default();
    let request = codec.encode(OLDEST_PROTOCOL_VERSION, request).unwrap().len();
    let reply = codec.encode(OLDEST_PROTOCOL_VERSION, &PeerReply::Done).unwrap().len();
    (request + reply + TCP_OVERHEAD_BYTES) as f64
}

#[parameterized(
    members_15 = { 15 },
    members_60 = { 60 },
    members_330 = { 330 },
)]
fn the_peer_traffic_of_a_node_stays_within_the_budget(members: usize) {
    let mut model = GossipModel::new(members, DOMAINS, PERIOD, 7);
    model.read_table();
    model.run(Duration::from_secs(SPAN_SECONDS));
    let bytes = |node: &gossip::GossipNode| node.bytes as f64 / SPAN_SECONDS as f64;
    let mean = model.nodes.iter().map(bytes).sum::<f64>() / members as f64;
    let most = model.nodes.iter().map(bytes).fold(0.0, f64::max);
    let tcp = tcp_bytes_per_second();
    println!("{members} members: {mean:.0} B/s by UDP (most {most:.0}), {tcp:.0} B/s by TCP");
    assert!(most + tcp <= BUDGET_BYTES_PER_SECOND, "{most:.0} + {tcp:.0} B/s");
}

#[parameterized(
    members_15 = { 15 },
    members_60 = { 60 },
    members_330 = { 330 },
)]
fn nodes_stay_current_through_peers_while_the_table_is_unavailable(members: usize) {
    let mut model = GossipModel::new(members, DOMAINS, PERIOD, 11);
    // The table service is available until the view is in force everywhere.
    for _ in 0..14 {
        model.read_table();
        model.run(Duration::from_millis(500));
    }
    assert!((model.current_fraction() - 1.0).abs() < f64::EPSILON);
    let mut least = 1.0_f64;
    for _ in 0..12 {
        model.run(Duration::from_millis(500));
        least = least.min(model.current_fraction());
    }
    println!("{members} members: at least {:.1} % current without the table", least * 100.0);
    assert!(least >= 0.99, "only {:.1} % current", least * 100.0);
}

#[parameterized(
    members_15 = { 15 },
    members_60 = { 60 },
    members_330 = { 330 },
)]
fn a_change_is_in_force_everywhere_in_time(members: usize) {
    let mut model = GossipModel::new(members, DOMAINS, PERIOD, 13);
    for _ in 0..14 {
        model.read_table();
        model.run(Duration::from_millis(500));
    }
    let head = model.change();
    let step = Duration::from_millis(100);
    let mut took = Duration::ZERO;
    while model.not_in_force(head) > 0 {
        model.push_heads();
        model.run(step);
        took += step;
        assert!(took <= FORCE_LIMIT, "not in force on {} nodes", model.not_in_force(head));
    }
    println!("{members} members: in force everywhere after {:.1} s", took.as_secs_f64());
}
