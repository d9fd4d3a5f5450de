//! How the memory budget is divided among classes.

use {
    base::{ByteCount, Tick},
    relay::{
        MemoryBudget, MemorySettings,
        memory::{BodyShare, SMALL_BODY_BYTES},
    },
    std::{sync::Arc, time::Duration},
    yare::parameterized,
};

const MB: usize = 1_000_000;
const BODY: usize = 4 * MB;
const BEGAN: Tick = Tick(1_000_000_000);

fn budget(limit_mb: usize) -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(MemorySettings { limit: ByteCount((limit_mb * MB) as u64) }))
}

/// Bodies of a size, as many as there is room for.
fn fill(budget: &Arc<MemoryBudget>, bytes: usize) -> Vec<BodyShare> {
    std::iter::from_fn(|| budget.admit_body(bytes, None, BEGAN).ok()).collect()
}

/// Bodies were bounded one by one, and all together exceeded the memory of the process.
#[parameterized(
    small_host = { 160, 22 },
    other_host = { 400, 55 },
)]
fn large_bodies_are_bounded_together(limit_mb: usize, bodies: usize) {
    let budget = budget(limit_mb);
    let shares = fill(&budget, BODY);
    assert_eq!(shares.len(), bodies);
    assert_eq!(budget.held(), ByteCount((bodies * BODY) as u64));
    drop(shares);
    assert_eq!(budget.held(), ByteCount(0));
}

#[test]
fn small_bodies_and_answers_have_room_beside_large_ones() {
    let budget = budget(160);
    let _large = fill(&budget, BODY);
    let small = fill(&budget, SMALL_BODY_BYTES);
    assert!(small.len() > 100, "{}", small.len());
    let mut answers: Vec<_> = (0..3).map(|_| budget.open()).collect();
    assert!(answers.iter_mut().all(|answer| answer.resize(8 * 1024 * 1024 - 1024 * 400)));
    assert!(!budget.open().resize(BODY), "answers have a bound of their own");
    // All classes at their bounds leave a fifth of the memory.
    assert!(budget.held() < ByteCount(128 * MB as u64), "{}", budget.held());
}

#[test]
fn answers_and_connections_leave_less_for_bodies() {
    let budget = budget(160);
    let alone = fill(&budget, BODY).len();
    let connections: Vec<_> = (0..1_000).map(|_| budget.open_connection()).collect();
    assert!(budget.held() > ByteCount(30 * MB as u64));
    let beside = fill(&budget, BODY).len();
    assert!(beside < alone - 6, "{beside} of {alone}");
    drop(connections);
    let mut answer = budget.open();
    assert!(answer.resize(2 * BODY));
    assert_eq!(fill(&budget, BODY).len(), alone - 2);
}

/// Connections that came after the bodies were counted and took room that was not there.
#[test]
fn connections_leave_room_for_the_bodies_that_are_held() {
    let budget = budget(112);
    assert_eq!(budget.most_connections(), 1_538, "45 % of the memory");
    let _large = fill(&budget, BODY);
    let most = budget.most_connections();
    assert_eq!(most, 410, "12 % of it");
    let _connections: Vec<_> = (0..most).map(|_| budget.open_connection()).collect();
    assert!(budget.held() <= ByteCount(112 * MB as u64 * 67 / 100), "{}", budget.held());
}

#[test]
fn a_body_without_a_length_takes_room_as_it_grows() {
    let budget = budget(160);
    let mut body = budget.admit_body(0, None, BEGAN).unwrap();
    let _large = fill(&budget, BODY);
    body.grow(SMALL_BODY_BYTES, BEGAN).unwrap();
    assert!(body.grow(SMALL_BODY_BYTES + 1, BEGAN).is_err(), "it has become a large one");
    assert_eq!(body.bytes(), SMALL_BODY_BYTES);
}

/// The time after which room is expected follows from how long bodies are held.
#[parameterized(
    quick = { 1_000, 100 },
    slow = { 22_000, 1_000 },
    very_slow = { 100_000, 2_000 },
)]
fn the_wait_follows_from_how_long_bodies_are_held(held_ms: u64, wait_ms: u64) {
    let budget = budget(160);
    let shares = fill(&budget, BODY);
    let shortage = budget.admit_body(BODY, None, BEGAN).unwrap_err();
    assert_eq!(shortage.frees_after, None);
    shares[0].note_end(Tick(BEGAN.0 + held_ms * 1_000_000));
    let shortage = budget.admit_body(BODY, None, BEGAN).unwrap_err();
    let wait = shortage.frees_after.unwrap();
    assert!(wait.abs_diff(Duration::from_millis(wait_ms)) < Duration::from_millis(1), "{wait:?}");
}
