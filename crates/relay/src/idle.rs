//! How long a stream has had no event.

use {crate::pump::STALL_THRESHOLD, base::Tick, std::time::Duration};

/// How long a stream has had no event. A span in which this process itself was stopped counts as at
/// most [`STALL_THRESHOLD`], because events may be waiting unread.
pub(crate) struct IdleTime {
    total: Duration,
    checked_at: Tick,
}

impl IdleTime {
    /// Starts at an event.
    pub(crate) fn new(now: Tick) -> Self {
        Self { total: Duration::ZERO, checked_at: now }
    }

    /// Adds the time since the last check and returns the sum.
    pub(crate) fn extend(&mut self, now: Tick) -> Duration {
        self.total += now.since(self.checked_at).min(STALL_THRESHOLD);
        self.checked_at = now;
        self.total
    }

    /// The sum at the last check.
    pub(crate) fn total_ms(&self) -> u64 {
        self.total.as_millis() as u64
    }
}
