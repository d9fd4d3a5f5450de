//! Whether the caller of a connection is still there.

use {
    prometheus_client::metrics::histogram::Histogram,
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// The presence of the caller of one connection. The connection's socket finds out that the caller has
/// left; that ends the connection, and with it the requests that are at work.
#[derive(Debug, Default)]
pub struct CallerPresence {
    /// Requests that are at work.
    at_work: AtomicUsize,
    left_at: OnceLock<Instant>,
}

impl CallerPresence {
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

/// A request that is at work for a caller.
#[derive(Debug)]
pub struct PresenceGuard {
    presence: Arc<CallerPresence>,
}

impl PresenceGuard {
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
