//! The open connections of callers.

use {
    crate::{
        presence::{CallerPresence, ConnectionUse},
        socket::{SocketWatch, WeakSocket},
    },
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{task::AbortHandle, time::Instant},
    tracing::info,
};

/// Time for which a body that has begun keeps its connection, also where descriptors run out.
const BODY_GRACE: Duration = Duration::from_secs(5);
/// Time after which a caller that does not read may lose its connection to others.
const UNREAD_GRACE: Duration = Duration::from_secs(1);
/// Part of the open connections that is closed at once when there are too many, so that not each new
/// one looks at all of them.
const CUT_PART: usize = 64;

/// Why the connection of a caller is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CutCause {
    /// It was idle, and others needed its place.
    Idle,
    /// It did not send a whole head in time, or others needed its place meanwhile.
    SlowHead,
    /// It sent a body for long, and others needed its place.
    SlowBody,
    /// It did not read its answer, and others needed the memory or its place.
    Unread,
    /// It was new, and no place could be made for it.
    NoPlace,
}

impl CutCause {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Idle, Self::SlowHead, Self::SlowBody, Self::Unread, Self::NoPlace];

    /// The cause in logs and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow-head",
            Self::SlowBody => "slow-body",
            Self::Unread => "unread",
            Self::NoPlace => "no-place",
        }
    }

    /// In the order in which places are taken: what is lost with the connection, from nothing on.
    fn of_use(connection_use: ConnectionUse) -> Option<Self> {
        match connection_use {
            ConnectionUse::Idle => Some(Self::Idle),
            ConnectionUse::Head => Some(Self::SlowHead),
            ConnectionUse::Body => Some(Self::SlowBody),
            ConnectionUse::Unread => Some(Self::Unread),
            ConnectionUse::Work => None,
        }
    }

    /// How long a connection is left in peace.
    fn grace(self) -> Duration {
        match self {
            Self::SlowBody => BODY_GRACE,
            Self::Unread => UNREAD_GRACE,
            Self::Idle | Self::SlowHead | Self::NoPlace => Duration::ZERO,
        }
    }
}

/// The open connections of callers. The task that serves a connection is aborted to close it.
#[derive(Debug)]
pub struct ConnectionTable {
    open: Mutex<BTreeMap<u64, OpenConnection>>,
    count: AtomicUsize,
    next: AtomicU64,
    cuts: [CutCount; CutCause::ALL.len()],
}

#[derive(Debug)]
struct OpenConnection {
    presence: Arc<CallerPresence>,
    socket: WeakSocket,
    task: Arc<OnceLock<AbortHandle>>,
}

/// The place of one connection in the table, until it is dropped.
#[derive(Debug)]
pub struct ConnectionEntry {
    table: Arc<ConnectionTable>,
    number: u64,
    task: Arc<OnceLock<AbortHandle>>,
}

#[derive(Debug, Default)]
struct CutCount {
    total: AtomicU64,
    logged: AtomicU64,
}

/// A connection that may be closed.
struct CutCandidate {
    cause: CutCause,
    span: Duration,
    number: u64,
}

impl Default for ConnectionTable {
    fn default() -> Self {
        Self {
            open: Mutex::default(),
            count: AtomicUsize::new(0),
            next: AtomicU64::new(0),
            cuts: std::array::from_fn(|_| CutCount::default()),
        }
    }
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection. The task that serves it owns the entry.
    pub fn open(
        self: &Arc<Self>,
        presence: Arc<CallerPresence>,
        watch: &SocketWatch,
    ) -> ConnectionEntry {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let task = Arc::new(OnceLock::new());
        let connection = OpenConnection { presence, socket: watch.weak(), task: task.clone() };
        self.open.lock().insert(number, connection);
        self.count.fetch_add(1, Ordering::Relaxed);
        ConnectionEntry { table: self.clone(), number, task }
    }

    /// Closes connections until at most `limit` are open, and a few more: first idle ones, then those
    /// that send a head, then those that have sent a body for long or do not read; the oldest of a kind
    /// first. Connections whose requests are at work stay. False if more than `limit` remain.
    pub fn keep_within(&self, limit: usize) -> bool {
        let excess = self.len().saturating_sub(limit);
        if excess == 0 {
            return true;
        }
        let mut open = self.open.lock();
        let now = Instant::now();
        let mut candidates: Vec<_> =
            open.iter().filter_map(|connection| candidate(connection, now)).collect();
        candidates.retain(|candidate| candidate.span >= candidate.cause.grace());
        candidates.sort_by_key(|found| (found.cause, std::cmp::Reverse(found.span)));
        let mut left = excess + limit / CUT_PART;
        let mut closed = 0;
        for candidate in candidates {
            if left == 0 {
                break;
            }
            // Bytes that wait may be a request.
            let unread = |entry: &OpenConnection| entry.socket.has_unread();
            if candidate.cause == CutCause::Idle && open.get(&candidate.number).is_some_and(unread)
            {
                continue;
            }
            self.cut(&mut open, &candidate);
            left -= 1;
            closed += 1;
        }
        closed >= excess
    }

    /// Closes connections whose callers have sent a part of a head for longer than `limit`.
    pub fn cut_slow_heads(&self, limit: Duration) {
        self.cut_all(CutCause::SlowHead, limit, usize::MAX);
    }

    /// Closes connections whose callers have not read their answers for `limit` or longer, the oldest
    /// first and at most `most` of them. Returns how many.
    pub fn cut_unread(&self, limit: Duration, most: usize) -> usize {
        self.cut_all(CutCause::Unread, limit, most)
    }

    fn cut_all(&self, cause: CutCause, limit: Duration, most: usize) -> usize {
        let mut open = self.open.lock();
        let now = Instant::now();
        let mut candidates: Vec<_> = open
            .iter()
            .filter_map(|connection| candidate(connection, now))
            .filter(|found| found.cause == cause && found.span >= limit)
            .collect();
        candidates.sort_by_key(|found| std::cmp::Reverse(found.span));
        candidates.truncate(most);
        candidates.iter().filter(|candidate| self.cut(&mut open, candidate)).count()
    }

    /// Closes a connection, unless bytes wait that may be a request or the rest of its head.
    fn cut(&self, open: &mut BTreeMap<u64, OpenConnection>, candidate: &CutCandidate) -> bool {
        let Some(connection) = open.get(&candidate.number) else { return false };
        let awaits_head = matches!(candidate.cause, CutCause::Idle | CutCause::SlowHead);
        if awaits_head && connection.socket.has_unread() {
            return false;
        }
        let Some(connection) = open.remove(&candidate.number) else { return false };
        self.count.fetch_sub(1, Ordering::Relaxed);
        if let Some(task) = connection.task.get() {
            task.abort();
        }
        self.note_cut(candidate.cause);
        true
    }

    /// Counts a connection that was closed.
    pub fn note_cut(&self, cause: CutCause) {
        self.cuts[cause as usize].total.fetch_add(1, Ordering::Relaxed);
    }

    /// How many connections were closed for a cause.
    pub fn cut_count(&self, cause: CutCause) -> u64 {
        self.cuts[cause as usize].total.load(Ordering::Relaxed)
    }

    /// Logs what was closed since the last call, one line for each cause.
    pub fn log_cuts(&self) {
        for cause in CutCause::ALL {
            let CutCount { total, logged } = &self.cuts[cause as usize];
            let now = total.load(Ordering::Relaxed);
            let count = now - logged.swap(now, Ordering::Relaxed);
            if count > 0 {
                info!(
                    decision = "connections-cut",
                    why = cause.label(),
                    count,
                    open = self.len(),
                    "process"
                );
            }
        }
    }
}

fn candidate((number, connection): (&u64, &OpenConnection), now: Instant) -> Option<CutCandidate> {
    let (connection_use, span) = connection.presence.connection_use(now);
    let cause = CutCause::of_use(connection_use)?;
    Some(CutCandidate { cause, span, number: *number })
}

impl ConnectionEntry {
    /// Where to put the task that serves the connection, once it is spawned.
    pub fn task(&self) -> Arc<OnceLock<AbortHandle>> {
        self.task.clone()
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        if self.table.open.lock().remove(&self.number).is_some() {
            self.table.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
