//! Questions and answers between nodes: how a node's word travels, and how much fits.

use {
    crate::{net::loads::LoadBook, state::node::NodeCore},
    base::Tick,
    freshness::{MemberReport, PeerReport},
    peer::{
        ClusterState, Head, MessageCodec, PeerAnswer, PeerDatagram, PeerQuestion,
        datagram::MAX_DATAGRAM_BYTES,
        message::{AGE_STEP_MS, AGE_UNKNOWN},
    },
    std::time::Duration,
};

/// Members above which loads travel with some of the answers only.
pub const SPARSE_LOADS_MEMBERS: usize = 60;
/// Answers of a large view that carry loads: one in so many.
const SPARSE_LOADS: u64 = 4;
/// Digests named in one question.
const QUESTION_DIGESTS: usize = 6;

/// The question this node asks.
pub fn question(node: &NodeCore, head: Head, nonce: u64) -> PeerQuestion {
    let digests = node.records().next_digests(QUESTION_DIGESTS);
    PeerQuestion { from: node.me(), nonce, head, digests }
}

/// The answer to a question, as large as a datagram may be.
pub fn answer(
    node: &NodeCore,
    state: &ClusterState,
    loads: &LoadBook,
    asked: &PeerQuestion,
    codec: &MessageCodec,
    version: u8,
) -> PeerAnswer {
    let word = node.own_report();
    let loads = match sends_loads(state.view.members.len(), asked.nonce) {
        true => loads.loads(&state.view, node.now()),
        false => Vec::new(),
    };
    let mut answer = PeerAnswer {
        from: word.from.clone(),
        nonce: asked.nonce,
        head: state.head,
        age_ms: word.age.map(age_ms),
        counts: word.counts,
        ages: word.members.iter().map(|member| age_steps(member.age)).collect(),
        acked: pack_bits(word.members.iter().map(|member| member.acknowledged)),
        loads,
        records: Vec::new(),
    };
    // A state that arrives in between would make word and head differ.
    if word.head != state.head.number {
        answer.age_ms = None;
        answer.counts = false;
        answer.ages.clear();
        answer.acked.clear();
        answer.loads.clear();
    }
    for record in node.records().newer_of(&asked.digests) {
        answer.records.push(record);
        if encoded_len(&answer, codec, version) > MAX_DATAGRAM_BYTES {
            answer.records.pop();
        }
    }
    answer
}

/// What an answer says for the head rule.
pub fn peer_word(answer: &PeerAnswer) -> PeerReport {
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
                acknowledged: bit(&answer.acked, position),
            })
            .collect(),
    }
}

/// Takes in the loads of an answer to a question sent at `sent`.
pub fn take_loads(answer: &PeerAnswer, state: &ClusterState, loads: &LoadBook, sent: Tick) {
    if answer.head.view != state.head.view {
        return;
    }
    for (position, (row, load)) in state.view.members.iter().zip(&answer.loads).enumerate() {
        let age = match row.member == answer.from {
            true => Some(Duration::ZERO),
            false => answer.ages.get(position).copied().and_then(age_from_steps),
        };
        if let Some(age) = age {
            loads.heard(&row.member.host, *load, sent.back(age));
        }
    }
}

/// An age in whole milliseconds, rounded up.
pub fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn sends_loads(members: usize, nonce: u64) -> bool {
    members <= SPARSE_LOADS_MEMBERS || nonce.is_multiple_of(SPARSE_LOADS)
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
