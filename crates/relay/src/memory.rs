//! One bound on the memory for all that callers and servers send: bodies from their first byte until
//! they are sent on for the last time, answers, pieces of streams that wait, and the buffers of
//! connections.
//!
//! [`MemoryBudget`] counts them together. The classes run out of room one after the other: large bodies
//! first, then small ones. Answers have a part that bodies can't take, because a server has already run
//! their requests. Connections are counted and never refused here. Bodies that arrive too slowly give up
//! their room when another one needs it.

use {
    crate::unfinished::{BodyEntry, BodyTable, RoomQuery},
    base::{ByteCount, Tick},
    std::{
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Largest body that may use the part that is kept free of large bodies, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of one answer that is buffered, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// What a caller's connection counts for: the read and write buffers of the HTTP library on both ways,
/// in bytes.
pub(crate) const CONNECTION_BYTES: usize = 32 * 1024;

/// Shares of the memory limit, in percent. The rest is for the program itself, the allocator and what
/// the operating system holds of connections.
const LARGE_BODY_PERCENT: usize = 55;
const ALL_BODIES_PERCENT: usize = 61;
const ANSWERS_PERCENT: usize = 15;
/// The most that connections may come to, so that a large body has room beside all of them.
const CONNECTIONS_PERCENT: usize = 45;
/// What connections may come to, whatever bodies hold.
const LEAST_CONNECTIONS_PERCENT: usize = 12;

/// Weight of the latest body in the mean time for which bodies are held.
const HOLD_WEIGHT: f64 = 0.2;
/// Bounds of the time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The memory that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySettings {
    /// Resident memory beyond which the platform kills the process.
    pub limit: ByteCount,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self { limit: ByteCount(160_000_000) }
    }
}

impl MemorySettings {
    /// Bytes that large bodies may hold together; a body beyond it is always refused.
    pub fn large_bodies(&self) -> ByteCount {
        ByteCount(self.part(LARGE_BODY_PERCENT) as u64)
    }

    fn part(&self, percent: usize) -> usize {
        usize::try_from(self.limit.0).unwrap_or(usize::MAX) / 100 * percent
    }
}

/// There is no room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// Bytes that are held in all.
    pub held: ByteCount,
    /// When the missing room is expected, by how long bodies are held; `None` if no body has ended yet.
    pub frees_after: Option<Duration>,
}

/// The memory of a process for what others send.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Bytes held in all with which a large body may still be taken.
    large_bodies: usize,
    /// The same for a small one.
    all_bodies: usize,
    /// Bytes that answers may hold.
    all_answers: usize,
    used: AtomicUsize,
    answers: AtomicUsize,
    bodies: AtomicUsize,
    table: BodyTable,
    /// Bodies that lost their room to others.
    evictions: AtomicU64,
    /// Bytes that connections may come to, and beside any bodies.
    all_connections: usize,
    least_connections: usize,
    /// Mean time for which bodies are held, in microseconds; 0 if none has ended.
    mean_hold_us: AtomicU64,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(MemorySettings::default())
    }
}

impl MemoryBudget {
    /// A budget that holds nothing yet.
    pub fn new(settings: MemorySettings) -> Self {
        let part = |percent| settings.part(percent);
        Self {
            large_bodies: part(LARGE_BODY_PERCENT),
            all_bodies: part(ALL_BODIES_PERCENT),
            all_answers: part(ANSWERS_PERCENT),
            used: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            table: BodyTable::default(),
            evictions: AtomicU64::new(0),
            all_connections: part(CONNECTIONS_PERCENT),
            least_connections: part(LEAST_CONNECTIONS_PERCENT),
            mean_hold_us: AtomicU64::new(0),
        }
    }

    /// Bytes that are held in all.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.used.load(Ordering::Relaxed) as u64)
    }

    /// A share for a buffered answer that holds nothing yet.
    pub fn open(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: self.clone(), bytes: 0 }
    }

    /// Whether answers and pieces of streams hold all that they may.
    pub fn are_answers_full(&self) -> bool {
        self.answers.load(Ordering::Relaxed) >= self.all_answers
    }

    /// Most connections of callers that there is room for beside the bodies that are held. A part of the
    /// memory is always theirs.
    pub fn most_connections(&self) -> usize {
        let bodies = self.bodies.load(Ordering::Relaxed);
        let beside = self.all_bodies.saturating_sub(bodies);
        beside.clamp(self.least_connections, self.all_connections) / CONNECTION_BYTES
    }

    /// How many bodies have lost their room to others.
    pub fn evictions(&self) -> u64 {
        self.evictions.load(Ordering::Relaxed)
    }

    /// A share for a body of `bytes` that begins to arrive at `now` from the address `owner`. Where there
    /// is no room for it, bodies that arrive too slowly lose theirs, or some of another address that
    /// has more.
    pub fn admit_body(
        self: &Arc<Self>,
        bytes: usize,
        owner: Option<IpAddr>,
        now: Tick,
    ) -> Result<BodyShare, MemoryShortage> {
        let entry = self.table.add(owner, now);
        let mut share = BodyShare { budget: self.clone(), entry, began: now };
        share.grow(bytes, now)?;
        Ok(share)
    }

    /// Counts a caller's connection.
    pub fn open_connection(self: &Arc<Self>) -> ConnectionShare {
        self.used.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        ConnectionShare { budget: self.clone() }
    }

    fn shortage(&self, missing: usize) -> MemoryShortage {
        let bodies = self.bodies.load(Ordering::Relaxed);
        let hold_us = self.mean_hold_us.load(Ordering::Relaxed);
        let frees_after = (hold_us > 0 && bodies > 0).then(|| {
            // Bodies that end one after the other free all that they hold in the mean time of one.
            let share = missing as f64 / bodies as f64;
            let wait = Duration::from_micros(hold_us).mul_f64(share.min(1.0));
            wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        });
        MemoryShortage { held: self.held(), frees_after }
    }

    fn note_hold(&self, held_for: Duration) {
        let hold_us = held_for.as_micros() as f64;
        let mean_us = match self.mean_hold_us.load(Ordering::Relaxed) {
            0 => hold_us,
            mean_us => mean_us as f64 * (1.0 - HOLD_WEIGHT) + hold_us * HOLD_WEIGHT,
        };
        self.mean_hold_us.store((mean_us as u64).max(1), Ordering::Relaxed);
    }
}

/// The part of the budget that the buffer of an answer uses, until it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl BufferShare {
    /// Sets how many bytes the buffer holds; false if it or all answers together become too large.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let MemoryBudget { used, answers, all_answers, .. } = &*self.budget;
        if bytes <= before {
            used.fetch_sub(before - bytes, Ordering::Relaxed);
            answers.fetch_sub(before - bytes, Ordering::Relaxed);
            return true;
        }
        let grown = bytes - before;
        used.fetch_add(grown, Ordering::Relaxed);
        let total = answers.fetch_add(grown, Ordering::Relaxed) + grown;
        bytes <= MAX_ANSWER_BYTES && total <= *all_answers
    }

    /// Whether there is room now for what the buffer holds.
    pub(crate) fn fits(&self) -> bool {
        self.bytes <= MAX_ANSWER_BYTES
            && self.budget.answers.load(Ordering::Relaxed) <= self.budget.all_answers
    }

    /// Whether the buffer is larger than any may be.
    pub(crate) fn is_too_large(&self) -> bool {
        self.bytes > MAX_ANSWER_BYTES
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The part of the budget that a caller's body uses, until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<MemoryBudget>,
    entry: Arc<BodyEntry>,
    began: Tick,
}

impl BodyShare {
    /// Bytes that the body may hold; 0 once it has lost its room.
    pub fn bytes(&self) -> usize {
        self.entry.room()
    }

    /// Lets the body hold `bytes` in all at `now`, or leaves it as it is. Fails for one that has lost its
    /// room.
    pub fn grow(&mut self, bytes: usize, now: Tick) -> Result<(), MemoryShortage> {
        let grown = bytes.saturating_sub(self.bytes());
        if self.entry.is_evicted() {
            return Err(self.budget.shortage(grown));
        }
        let Err(missing) = self.take(bytes, grown) else { return Ok(()) };
        let query = RoomQuery {
            number: self.entry.number(),
            owner: self.entry.owner(),
            missing,
            bytes,
            now,
        };
        let evicted = self.budget.table.evict(query);
        if evicted.bodies == 0 {
            return Err(self.budget.shortage(missing));
        }
        self.budget.used.fetch_sub(evicted.bytes, Ordering::Relaxed);
        self.budget.bodies.fetch_sub(evicted.bytes, Ordering::Relaxed);
        self.budget.evictions.fetch_add(evicted.bodies as u64, Ordering::Relaxed);
        self.take(bytes, grown).map_err(|missing| self.budget.shortage(missing))
    }

    /// Takes `grown` bytes for a body that then has `bytes`, or returns how many are missing.
    fn take(&self, bytes: usize, grown: usize) -> Result<(), usize> {
        let budget = &*self.budget;
        let room = if bytes <= SMALL_BODY_BYTES { budget.all_bodies } else { budget.large_bodies };
        let fits = |used: usize| used.checked_add(grown).filter(|total| *total <= room);
        budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .map_err(|used| used.saturating_add(grown) - room)?;
        budget.bodies.fetch_add(grown, Ordering::Relaxed);
        self.entry.add_room(grown);
        Ok(())
    }

    /// Notes at `now` that bytes of the body have arrived.
    pub fn note_arrived(&self, bytes: usize, now: Tick) {
        self.entry.note_arrived(bytes, now);
    }

    /// Notes that the body has arrived whole. It keeps its room from then on, unless it has lost it.
    pub fn note_whole(&self) -> Result<(), MemoryShortage> {
        self.entry.note_whole();
        if self.entry.is_evicted() { Err(self.budget.shortage(0)) } else { Ok(()) }
    }

    /// Waits until the body has lost its room.
    pub(crate) fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let entry = self.entry.clone();
        async move { entry.evicted().await }
    }

    /// What a caller is told whose body has lost its room.
    pub(crate) fn lost(&self) -> MemoryShortage {
        self.budget.shortage(0)
    }

    /// Notes at `now` how long the body was held, for the time told to callers that are refused.
    pub fn note_end(&self, now: Tick) {
        self.budget.note_hold(now.since(self.began));
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.table.remove(&self.entry);
        let bytes = self.entry.take_room();
        self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.bodies.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The part of the budget that a caller's connection uses, until it is dropped.
#[derive(Debug)]
pub struct ConnectionShare {
    budget: Arc<MemoryBudget>,
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(CONNECTION_BYTES, Ordering::Relaxed);
    }
}
