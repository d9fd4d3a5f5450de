//! Builds and reads the queries and answers that nodes exchange over UDP.
//!
//! An answer carries the node's peer report, the loads of the gateways and as many newer group
//! records as fit into one datagram.

use {
    crate::{net::loads::LoadTable, state::node::NodeCore},
    base::Tick,
    freshness::{MemberReport, PeerReport},
    peer::{
        ClusterState, Head, MessageCodec, PeerAnswer, PeerDatagram, PeerQuery,
        datagram::MAX_DATAGRAM_BYTES,
        message::{AGE_STEP_MS, AGE_UNKNOWN},
    },
    std::time::Duration,
};

/// A view with more members is large: only some of the answers carry loads, and nodes send more
/// queries per period.
pub const LARGE_VIEW_MEMBERS: usize = 60;
/// In a large view, one answer in this many carries loads.
const SPARSE_LOADS_INTERVAL: u64 = 4;
/// Maximum number of record digests in one query.
const QUERY_DIGESTS: usize = 6;

/// Builds a query that lists the next few record digests in rotation.
pub fn build_query(node: &NodeCore, head: Head, nonce: u64) -> PeerQuery {
    let digests = node.records().next_digests(QUERY_DIGESTS);
    PeerQuery { from: node.me(), nonce, head, digests }
}

/// Builds the answer to a query, within [`MAX_DATAGRAM_BYTES`].
pub fn build_answer(
    node: &NodeCore,
    state: &ClusterState,
    loads: &LoadTable,
    query: &PeerQuery,
    codec: &MessageCodec,
    version: u8,
) -> PeerAnswer {
    let report = node.own_report();
    let loads = match sends_loads(state.view.members.len(), query.nonce) {
        true => loads.loads(&state.view, node.now()),
        false => Vec::new(),
    };
    let mut answer = PeerAnswer {
        from: report.from.clone(),
        nonce: query.nonce,
        head: state.head,
        age_ms: report.age.map(age_ms),
        counts: report.counts,
        ages: report.members.iter().map(|member| age_steps(member.age)).collect(),
        acknowledged: pack_bits(report.members.iter().map(|member| member.acknowledged)),
        loads,
        records: Vec::new(),
    };
    // If a new state arrived after `state` was read, the report belongs to another head, so the
    // answer omits it.
    if report.head != state.head.number {
        answer.age_ms = None;
        answer.counts = false;
        answer.ages.clear();
        answer.acknowledged.clear();
        answer.loads.clear();
    }
    for record in node.records().newer_among(&query.digests) {
        answer.records.push(record);
        if encoded_len(&answer, codec, version) > MAX_DATAGRAM_BYTES {
            answer.records.pop();
        }
    }
    answer
}

/// Extracts the peer report, the evidence that the answer gives about heads.
pub fn to_peer_report(answer: &PeerAnswer) -> PeerReport {
    let ages = answer.ages.iter().enumerate();
    PeerReport {
        from: answer.from.clone(),
        head: answer.head.number,
        view: answer.head.view,
        age: answer.age_ms.map(|age| Duration::from_millis(u64::from(age))),
        counts: answer.counts,
        members: ages
            .map(|(position, steps)| MemberReport {
                age: age_from_steps(*steps),
                acknowledged: bit(&answer.acknowledged, position),
            })
            .collect(),
    }
}

/// Records the loads from an answer to a query that was sent at `sent`.
///
/// Answers for another view are ignored, because loads are matched to members by position.
pub fn apply_loads(answer: &PeerAnswer, state: &ClusterState, loads: &LoadTable, sent: Tick) {
    if answer.head.view != state.head.view {
        return;
    }
    for (position, (row, load)) in state.view.members.iter().zip(&answer.loads).enumerate() {
        let age = match row.member == answer.from {
            true => Some(Duration::ZERO),
            false => answer.ages.get(position).copied().and_then(age_from_steps),
        };
        if let Some(age) = age {
            loads.record_report(&row.member.host, *load, sent.back(age));
        }
    }
}

/// Converts an age to whole milliseconds, rounded up so that evidence never looks newer than it is.
pub fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn sends_loads(members: usize, nonce: u64) -> bool {
    members <= LARGE_VIEW_MEMBERS || nonce.is_multiple_of(SPARSE_LOADS_INTERVAL)
}

fn encoded_len(answer: &PeerAnswer, codec: &MessageCodec, version: u8) -> usize {
    let datagram = PeerDatagram::Answer(answer.clone());
    codec.encode(version, &datagram).map_or(usize::MAX, |bytes| bytes.len())
}

fn age_steps(age: Option<Duration>) -> u8 {
    let steps = age.map(|age| u64::from(age_ms(age)).div_ceil(AGE_STEP_MS));
    steps.map_or(AGE_UNKNOWN, |steps| steps.min(u64::from(AGE_UNKNOWN)) as u8)
}

fn age_from_steps(steps: u8) -> Option<Duration> {
    (steps != AGE_UNKNOWN).then(|| Duration::from_millis(u64::from(steps) * AGE_STEP_MS))
}

fn pack_bits(bits: impl Iterator<Item = bool>) -> Vec<u8> {
    let mut packed = Vec::new();
    for (position, set) in bits.enumerate() {
        if position % 8 == 0 {
            packed.push(0);
        }
        packed[position / 8] |= u8::from(set) << (position % 8);
    }
    packed
}

fn bit(packed: &[u8], position: usize) -> bool {
    packed.get(position / 8).is_some_and(|byte| byte >> (position % 8) & 1 == 1)
}
