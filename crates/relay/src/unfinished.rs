//! Which bodies that are still arriving give up their room when another one needs it.
//!
//! A body takes room as soon as its length is known, so that one that arrives whole is never stopped
//! half way for want of room. A caller that announces a body and does not send it would hold that room
//! for as long as its request may last. Where room is short, bodies that arrive too slowly lose it
//! first; then those of the address that has more of the room than the caller that needs some.

use {
    base::Tick,
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Time in which no body counts as slow.
const START_TIME: Duration = Duration::from_secs(1);
/// Bytes per second below which a body counts as slow. A host with 14 Mbit/s and as many bodies as its
/// memory has room for receives more than three times as much of each.
const SLOW_RATE: f64 = 32.0 * 1024.0;
/// Time after which a body counts as slow at any rate; one of 4 MiB arrives in it at the rate of such a
/// host.
const LONGEST_TIME: Duration = Duration::from_secs(40);
/// Time without a byte after which a body counts as slow.
const SILENT_TIME: Duration = Duration::from_secs(2);
/// Time over which a rate is measured at least; a rate is over twice that at most.
const RATE_TIME: Duration = Duration::from_secs(1);

/// The bodies that hold room.
#[derive(Debug, Default)]
pub(crate) struct BodyTable {
    bodies: Mutex<BodyMap>,
}

#[derive(Debug, Default)]
struct BodyMap {
    next: u64,
    bodies: BTreeMap<u64, Arc<BodyEntry>>,
}

/// One body that holds room.
#[derive(Debug)]
pub(crate) struct BodyEntry {
    number: u64,
    owner: Option<IpAddr>,
    /// Bytes of room.
    room: AtomicUsize,
    is_whole: AtomicBool,
    /// Wakes the reader of the body once its room is gone.
    evicted: Notify,
    is_evicted: AtomicBool,
    progress: Mutex<BodyProgress>,
}

/// How fast a body arrives.
#[derive(Debug)]
struct BodyProgress {
    began: Tick,
    arrived: usize,
    last_arrival: Tick,
    /// When a rate was last measured, and the bytes that had arrived then and the time before.
    marked: Tick,
    at_mark: usize,
    before: Tick,
    at_before: usize,
}

impl BodyProgress {
    fn new(now: Tick) -> Self {
        Self {
            began: now,
            arrived: 0,
            last_arrival: now,
            marked: now,
            at_mark: 0,
            before: now,
            at_before: 0,
        }
    }

    fn note_arrived(&mut self, bytes: usize, now: Tick) {
        self.arrived += bytes;
        self.last_arrival = now;
        if now.since(self.marked) >= RATE_TIME {
            (self.before, self.at_before) = (self.marked, self.at_mark);
            (self.marked, self.at_mark) = (now, self.arrived);
        }
    }

    /// Bytes per second lately.
    fn rate(&self, now: Tick) -> f64 {
        let bytes = self.arrived - self.at_before;
        bytes as f64 / now.since(self.before).as_secs_f64().max(RATE_TIME.as_secs_f64())
    }

    fn is_slow(&self, now: Tick) -> bool {
        let age = now.since(self.began);
        let is_silent = now.since(self.last_arrival) >= SILENT_TIME;
        age >= LONGEST_TIME || is_silent || (age >= START_TIME && self.rate(now) < SLOW_RATE)
    }
}

/// A caller that needs room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomQuery {
    /// The body that needs it.
    pub(crate) number: u64,
    pub(crate) owner: Option<IpAddr>,
    pub(crate) missing: usize,
    /// All that the body needs.
    pub(crate) bytes: usize,
    pub(crate) now: Tick,
}

impl BodyTable {
    /// Adds a body without room.
    pub(crate) fn add(&self, owner: Option<IpAddr>, now: Tick) -> Arc<BodyEntry> {
        let mut map = self.bodies.lock();
        map.next += 1;
        let number = map.next;
        let entry = Arc::new(BodyEntry {
            number,
            owner,
            room: AtomicUsize::new(0),
            is_whole: AtomicBool::new(false),
            evicted: Notify::new(),
            is_evicted: AtomicBool::new(false),
            progress: Mutex::new(BodyProgress::new(now)),
        });
        map.bodies.insert(number, entry.clone());
        entry
    }

    pub(crate) fn remove(&self, entry: &BodyEntry) {
        self.bodies.lock().bodies.remove(&entry.number);
    }

    /// Takes the room of other bodies until what is missing is there, if they can give it; how many
    /// bytes they gave, and how many bodies.
    pub(crate) fn evict(&self, query: RoomQuery) -> Evicted {
        let map = self.bodies.lock();
        let arriving = || {
            let others = map.bodies.values().filter(|entry| entry.number != query.number);
            others.filter(|entry| !entry.is_whole.load(Ordering::Relaxed) && entry.room() > 0)
        };
        let mut slow: Vec<_> = arriving()
            .filter_map(|entry| {
                let progress = entry.progress.lock();
                progress.is_slow(query.now).then(|| (progress.rate(query.now), entry))
            })
            .collect();
        slow.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut victims = Vec::new();
        let mut found = 0;
        for (_, entry) in slow {
            if found >= query.missing {
                break;
            }
            found += entry.room();
            victims.push(entry);
        }
        if found < query.missing {
            let arriving: Vec<_> = arriving()
                .filter(|entry| !victims.iter().any(|victim| victim.number == entry.number))
                .collect();
            found += take_from_largest(&map, &arriving, query, query.missing - found, &mut victims);
        }
        if found < query.missing {
            return Evicted::default();
        }
        let bytes = victims.iter().map(|entry| entry.evict()).sum();
        Evicted { bytes, bodies: victims.len() }
    }
}

/// What was taken from other bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evicted {
    pub(crate) bytes: usize,
    pub(crate) bodies: usize,
}

/// Chooses bodies of the address with the most room, as long as it keeps at least as much as the one
/// that needs some then has. Returns their room.
fn take_from_largest<'a>(
    map: &BodyMap,
    arriving: &[&'a Arc<BodyEntry>],
    query: RoomQuery,
    missing: usize,
    victims: &mut Vec<&'a Arc<BodyEntry>>,
) -> usize {
    let Some(owner) = query.owner else { return 0 };
    let mut held: HashMap<IpAddr, usize> = HashMap::new();
    for entry in map.bodies.values() {
        let taken = victims.iter().any(|victim| victim.number == entry.number);
        if let Some(owner) = entry.owner.filter(|_| !taken) {
            *held.entry(owner).or_default() += entry.room();
        }
    }
    let own = held.get(&owner).copied().unwrap_or(0) + query.bytes;
    let Some((largest, mut room)) = held.into_iter().max_by_key(|(_, room)| *room) else {
        return 0;
    };
    if largest == owner {
        return 0;
    }
    let mut of_largest: Vec<_> =
        arriving.iter().filter(|entry| entry.owner == Some(largest)).copied().collect();
    of_largest.sort_by_key(|entry| entry.progress.lock().arrived);
    let mut found = 0;
    for entry in of_largest {
        if found >= missing || room - entry.room() < own {
            break;
        }
        room -= entry.room();
        found += entry.room();
        victims.push(entry);
    }
    found
}

impl BodyEntry {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn owner(&self) -> Option<IpAddr> {
        self.owner
    }

    /// Bytes of room that it holds.
    pub(crate) fn room(&self) -> usize {
        self.room.load(Ordering::Relaxed)
    }

    pub(crate) fn add_room(&self, bytes: usize) {
        self.room.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Gives up its room; how much it was.
    pub(crate) fn take_room(&self) -> usize {
        self.room.swap(0, Ordering::Relaxed)
    }

    pub(crate) fn note_arrived(&self, bytes: usize, now: Tick) {
        self.progress.lock().note_arrived(bytes, now);
    }

    /// Notes that it has arrived whole; it keeps its room from then on.
    pub(crate) fn note_whole(&self) {
        self.is_whole.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    /// Waits until its room is gone.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Takes its room and wakes its reader; how much it was.
    fn evict(&self) -> usize {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.evicted.notify_one();
        self.take_room()
    }
}
