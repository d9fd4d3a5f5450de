//! Which bodies lose their room to others while they arrive.

use {
    base::{ByteCount, Tick},
    relay::{
        MemoryBudget, MemorySettings,
        memory::{BodyShare, MemoryShortage},
    },
    std::{net::IpAddr, sync::Arc},
    yare::parameterized,
};

const MB: usize = 1_000_000;
const BODY: usize = 4 * MB;
const MS: u64 = 1_000_000;
const CROWD: &str = "10.0.0.1";
const OTHER: &str = "10.0.0.2";

fn at(ms: u64) -> Tick {
    Tick((1_000_000 + ms) * MS)
}

struct Room(Arc<MemoryBudget>);

impl Room {
    fn new() -> Self {
        Self(Arc::new(MemoryBudget::new(MemorySettings { limit: ByteCount(112 * MB as u64) })))
    }

    fn admit(&self, from: &str, ms: u64) -> Result<BodyShare, MemoryShortage> {
        let owner: IpAddr = from.parse().unwrap();
        self.0.admit_body(BODY, Some(owner), at(ms))
    }

    /// As many bodies as there is room for, from 0 ms on.
    fn fill(&self, from: &str) -> Vec<BodyShare> {
        std::iter::from_fn(|| self.admit(from, 0).ok()).collect()
    }
}

fn lost(bodies: &[BodyShare]) -> usize {
    bodies.iter().filter(|body| body.bytes() == 0).count()
}

/// Bodies that stopped just short of their end held all the room, and every further one was refused.
#[parameterized(
    silent = { 0, 2_200 },
    a_byte_now_and_then = { 1, 3_000 },
    for_too_long = { 100_000, 41_000 },
)]
fn a_body_that_arrives_too_slowly_loses_its_room(bytes: usize, ms: u64) {
    let room = Room::new();
    let bodies = room.fill(CROWD);
    bodies.iter().for_each(|body| body.note_arrived(BODY - 64, at(100)));
    for now in (200..ms).step_by(200).filter(|_| bytes > 0) {
        bodies.iter().for_each(|body| body.note_arrived(bytes, at(now)));
    }
    let further = room.admit(CROWD, ms).expect("there is room");
    assert_eq!(further.bytes(), BODY);
    assert_eq!(lost(&bodies), 1);
    assert_eq!(room.0.held(), ByteCount((bodies.len() * BODY) as u64));
    assert_eq!(room.0.evictions(), 1);
    drop((bodies, further));
    assert_eq!(room.0.held(), ByteCount(0));
}

/// Bodies of a host whose link is full: 14 Mbit/s for as many as there is room for.
#[test]
fn bodies_that_share_a_slow_link_keep_their_room() {
    let room = Room::new();
    let bodies = room.fill(CROWD);
    let each = 1_750_000 / 10 / bodies.len();
    for now in (100..30_000).step_by(100) {
        bodies.iter().for_each(|body| body.note_arrived(each, at(now)));
    }
    assert!(room.admit(CROWD, 30_000).is_err());
    assert_eq!(lost(&bodies), 0);
}

#[test]
fn a_body_that_has_arrived_whole_keeps_its_room() {
    let room = Room::new();
    let bodies = room.fill(CROWD);
    bodies.iter().for_each(|body| body.note_whole().unwrap());
    assert!(room.admit(CROWD, 60_000).is_err());
    assert!(room.admit(OTHER, 60_000).is_err());
    assert_eq!(lost(&bodies), 0);
}

/// Clients that came back at once with a new body were never slow, and held all the room.
#[test]
fn one_address_leaves_others_their_share() {
    let room = Room::new();
    let bodies = room.fill(CROWD);
    let others: Vec<_> = std::iter::from_fn(|| room.admit(OTHER, 10).ok()).collect();
    assert_eq!(others.len(), bodies.len() / 2);
    assert_eq!(lost(&bodies), others.len());
    assert!(room.admit(CROWD, 10).is_err(), "nor does the first one take it back");
    assert_eq!(lost(&others), 0);
}

/// A body that has lost its room is refused, also if the rest of it arrives meanwhile.
#[test]
fn a_body_without_room_does_not_become_whole() {
    let room = Room::new();
    let mut bodies = room.fill(CROWD);
    let _further = room.admit(CROWD, 2_000).expect("there is room");
    let body = bodies.iter_mut().find(|body| body.bytes() == 0).unwrap();
    assert!(body.grow(BODY, at(2_000)).is_err());
    assert!(body.note_whole().is_err());
}
