//! One bound on the memory for all that callers and servers send: bodies from their first byte until
//! they are sent on for the last time, answers, pieces of streams that wait, and the buffers of
//! connections.
//!
//! [`MemoryBudget`] counts them together. The classes run out of room one after the other: large bodies
//! first, then small ones. Answers have a part that bodies can't take, because a server has already run
//! their requests. Connections are counted and never refused here.

use {
    base::{ByteCount, Tick},
    std::{
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
        let limit = usize::try_from(settings.limit.0).unwrap_or(usize::MAX);
        let part = |percent| limit / 100 * percent;
        Self {
            large_bodies: part(LARGE_BODY_PERCENT),
            all_bodies: part(ALL_BODIES_PERCENT),
            all_answers: part(ANSWERS_PERCENT),
            used: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
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

    /// A share for a body of `bytes` that begins to arrive at `now`.
    pub fn admit_body(
        self: &Arc<Self>,
        bytes: usize,
        now: Tick,
    ) -> Result<BodyShare, MemoryShortage> {
        let mut share = BodyShare { budget: self.clone(), bytes: 0, began: now };
        share.grow(bytes)?;
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
    bytes: usize,
    began: Tick,
}

impl BodyShare {
    /// Bytes that the body may hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Lets the body hold `bytes` in all, or leaves it as it is.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryShortage> {
        let budget = &*self.budget;
        let room = if bytes <= SMALL_BODY_BYTES { budget.all_bodies } else { budget.large_bodies };
        let grown = bytes.saturating_sub(self.bytes);
        let fits = |used: usize| used.checked_add(grown).filter(|total| *total <= room);
        budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .map_err(|used| budget.shortage(used.saturating_add(grown) - room))?;
        budget.bodies.fetch_add(grown, Ordering::Relaxed);
        self.bytes += grown;
        Ok(())
    }

    /// Notes at `now` how long the body was held, for the time told to callers that are refused.
    pub fn note_end(&self, now: Tick) {
        self.budget.note_hold(now.since(self.began));
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.bodies.fetch_sub(self.bytes, Ordering::Relaxed);
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
