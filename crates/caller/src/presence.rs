//! Whether the caller of a connection is still there, and what its connection is used for.

use {
    prometheus_client::metrics::histogram::Histogram,
    std::{
        net::IpAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Bytes that a caller has to take of its answers to count as one that reads again.
const READ_PROGRESS_BYTES: u64 = 64 * 1024;

/// The presence of the caller of one connection. The connection's socket finds out that the caller has
/// left; that ends the connection, and with it the requests that are at work.
#[derive(Debug)]
pub struct CallerPresence {
    opened_at: Instant,
    address: Option<IpAddr>,
    /// Requests that are at work.
    at_work: AtomicUsize,
    left_at: OnceLock<Instant>,
    /// When the last request ended.
    active: Moment,
    /// When the first byte of a head arrived, until it is whole.
    head: Moment,
    /// When the caller began to send the body of its request, until it is whole.
    body: Moment,
    /// When the caller stopped reading its answers, until it has read them or
    /// [`READ_PROGRESS_BYTES`] more.
    unread: Moment,
    /// Bytes that it has read since then.
    read_bytes: AtomicU64,
    answers_read: Notify,
}

impl Default for CallerPresence {
    fn default() -> Self {
        Self {
            opened_at: Instant::now(),
            address: None,
            at_work: AtomicUsize::new(0),
            left_at: OnceLock::new(),
            active: Moment::default(),
            head: Moment::default(),
            body: Moment::default(),
            unread: Moment::default(),
            read_bytes: AtomicU64::new(0),
            answers_read: Notify::new(),
        }
    }
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// For nothing: there is no request.
    Idle,
    /// The caller sends a head.
    Head,
    /// The caller sends a body.
    Body,
    /// The caller has an answer and does not read it.
    Unread,
    /// A request is at work, or its answer is read.
    Work,
}

impl CallerPresence {
    /// The presence of a caller with an address.
    pub fn at(address: IpAddr) -> Self {
        Self { address: Some(address), ..Self::default() }
    }

    /// What the connection is used for at `now`, and for how long at least.
    pub fn connection_use(&self, now: Instant) -> (ConnectionUse, Duration) {
        let now = now.saturating_duration_since(self.opened_at).as_millis() as u64;
        let since = |moment: &Moment| moment.elapsed(now);
        if let Some(span) = since(&self.unread) {
            (ConnectionUse::Unread, span)
        } else if let Some(span) = since(&self.body) {
            (ConnectionUse::Body, span)
        } else if self.is_at_work() {
            (ConnectionUse::Work, Duration::ZERO)
        } else if let Some(span) = since(&self.head) {
            (ConnectionUse::Head, span)
        } else {
            let idle = since(&self.active).unwrap_or(Duration::from_millis(now));
            (ConnectionUse::Idle, idle)
        }
    }

    /// Marks the body of the present request as arriving until the guard is dropped.
    pub fn begin_body(&self) -> BodyGuard<'_> {
        self.body.set(self.now_ms());
        BodyGuard { presence: self }
    }

    /// Waits until the caller has read the answers that it has.
    pub async fn answers_read(&self) {
        loop {
            let read = self.answers_read.notified();
            if !self.unread.is_set() {
                return;
            }
            read.await;
        }
    }

    /// Notes that bytes of a head have arrived.
    pub(crate) fn note_head(&self) {
        if !self.head.is_set() {
            self.head.set(self.now_ms());
        }
    }

    /// Notes that an answer has begun, and with it the wait for the next head.
    pub(crate) fn note_answering(&self) {
        self.head.clear();
    }

    /// Notes that the caller takes no more bytes for now.
    pub(crate) fn note_unread(&self) {
        if !self.unread.is_set() {
            self.read_bytes.store(0, Ordering::Relaxed);
            self.unread.set(self.now_ms());
        }
    }

    /// Notes that the caller has taken `count` bytes of its answers.
    pub(crate) fn note_read(&self, count: usize) {
        if self.unread.is_set() {
            let before = self.read_bytes.fetch_add(count as u64, Ordering::Relaxed);
            if before + count as u64 >= READ_PROGRESS_BYTES {
                self.unread.clear();
                self.answers_read.notify_waiters();
            }
        }
    }

    /// Notes that the caller has taken all bytes of its answers.
    pub(crate) fn note_all_read(&self) {
        if self.unread.is_set() {
            self.unread.clear();
            self.answers_read.notify_waiters();
        }
    }

    fn now_ms(&self) -> u64 {
        self.opened_at.elapsed().as_millis() as u64
    }

    /// Whether a request of the caller is at work.
    pub fn is_at_work(&self) -> bool {
        self.at_work.load(Ordering::Relaxed) > 0
    }

    /// Counts a request as at work until the guard is dropped.
    pub fn begin_work(self: Arc<Self>) -> PresenceGuard {
        self.at_work.fetch_add(1, Ordering::Relaxed);
        PresenceGuard { presence: self }
    }

    /// Records that the caller has left.
    pub fn note_left(&self) {
        self.left_at.get_or_init(Instant::now);
    }

    /// How long ago the caller was seen to leave; `None` if it is still there.
    pub fn left_for(&self) -> Option<Duration> {
        self.left_at.get().map(Instant::elapsed)
    }
}

/// A point in time that is set or not.
#[derive(Debug, Default)]
struct Moment(
    /// Milliseconds since the connection was opened, plus one; 0 if it is not set.
    AtomicU64,
);

impl Moment {
    fn set(&self, now_ms: u64) {
        self.0.store(now_ms + 1, Ordering::Relaxed);
    }

    fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    fn elapsed(&self, now_ms: u64) -> Option<Duration> {
        let at_ms = self.0.load(Ordering::Relaxed).checked_sub(1)?;
        Some(Duration::from_millis(now_ms.saturating_sub(at_ms)))
    }
}

/// A body that arrives.
#[derive(Debug)]
pub struct BodyGuard<'a> {
    presence: &'a CallerPresence,
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.presence.body.clear();
    }
}

/// A request that is at work for a caller.
#[derive(Debug)]
pub struct PresenceGuard {
    presence: Arc<CallerPresence>,
}

impl PresenceGuard {
    /// The caller's address, if it is known.
    pub fn address(&self) -> Option<IpAddr> {
        self.presence.address
    }

    /// Marks the body of the request as arriving until the guard is dropped.
    pub fn begin_body(&self) -> BodyGuard<'_> {
        self.presence.begin_body()
    }

    /// How long ago the caller was seen to leave, in whole milliseconds; `None` if it is still there.
    pub fn left_for_ms(&self) -> Option<u64> {
        self.presence.left_for().map(|span| span.as_millis() as u64)
    }

    /// Measures how long the connection to a server outlives the caller.
    pub fn time_departure(&self, histogram: Histogram) -> DepartureTimer {
        DepartureTimer { presence: self.presence.clone(), histogram }
    }
}

impl Drop for PresenceGuard {
    fn drop(&mut self) {
        self.presence.at_work.fetch_sub(1, Ordering::Relaxed);
        self.presence.active.set(self.presence.now_ms());
    }
}

/// Dropped together with a connection to a server, it records how long the caller had left by then.
#[derive(Debug)]
pub struct DepartureTimer {
    presence: Arc<CallerPresence>,
    histogram: Histogram,
}

impl Drop for DepartureTimer {
    fn drop(&mut self) {
        if let Some(left_for) = self.presence.left_for() {
            self.histogram.observe(left_for.as_secs_f64());
        }
    }
}
