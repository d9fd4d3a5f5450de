//! The pace at which one process may send requests to one server.

use {base::Tick, std::time::Duration};

/// Allows one request per interval. Time without requests is no credit beyond one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestPace {
    interval: Duration,
    next_at: Tick,
}

impl RequestPace {
    /// Allows the first request at `next_at`.
    pub(crate) fn new(interval: Duration, next_at: Tick) -> Self {
        Self { interval, next_at }
    }

    /// Whether a request is allowed now.
    pub(crate) fn is_due(&self, now: Tick) -> bool {
        self.next_at <= now
    }

    /// Time until the next request is allowed.
    pub(crate) fn wait(&self, now: Tick) -> Duration {
        self.next_at.since(now)
    }

    /// Counts a request if one is allowed. A request that comes at most `catch_up` late does not delay
    /// the next one; after a longer pause, the pace starts anew.
    pub(crate) fn try_take(&mut self, now: Tick, catch_up: Duration) -> bool {
        if self.next_at > now {
            return false;
        }
        let late = now.since(self.next_at);
        let is_pause = late > catch_up.min(self.interval / 2);
        self.next_at = if is_pause { now } else { self.next_at } + self.interval;
        true
    }

    /// Changes the interval. A shorter one does not apply to a request that was already taken.
    pub(crate) fn set_interval(&mut self, interval: Duration, now: Tick) {
        if interval > self.interval {
            self.next_at = self.next_at.max(now + (interval - self.interval));
        }
        self.interval = interval;
    }
}
