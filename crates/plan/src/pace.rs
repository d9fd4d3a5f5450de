//! Rate limit for model loads.

use base::{RatePerSecond, Tick};

/// A token bucket for loads. Its capacity is the number of loads in one second, but at least one.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    permits: f64,
    refilled_at: Tick,
}

impl LoadPacer {
    /// Creates a bucket with one permit, so that the first load need not wait.
    pub fn new(now: Tick) -> Self {
        Self { permits: 1.0, refilled_at: now }
    }

    /// Adds the permits for the time since the last call; a negative rate counts as 0.
    pub fn refill(&mut self, rate: RatePerSecond, now: Tick) {
        let added = rate.0.max(0.0) * now.since(self.refilled_at).as_secs_f64();
        self.permits = (self.permits + added).min(rate.0.max(1.0));
        self.refilled_at = now;
    }

    /// Returns the number of loads that may start now.
    pub fn available_permits(&self) -> u32 {
        self.permits.max(0.0) as u32
    }

    /// Uses one permit, for each copy of a load that is sent. The number may fall below 0.
    pub fn consume(&mut self) {
        self.permits -= 1.0;
    }

    /// Returns the permit of a load that was not sent.
    pub fn refund(&mut self) {
        self.permits += 1.0;
    }
}
