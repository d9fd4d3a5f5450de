//! Evidence that the gateway's state head is the newest.

use {
    base::{HeadNumber, Tick},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Evidence that one state head is the newest, with an expiry time.
///
/// A newer head gets a new instance, after which this one is no longer extended. Requests that
/// still use the old snapshot thus find its evidence expired within the freshness window.
#[derive(Debug, Default)]
pub struct HeadEvidence {
    head: HeadNumber,
    until: AtomicU64,
}

impl HeadEvidence {
    /// Creates evidence for `head` that has already expired.
    pub fn new(head: HeadNumber) -> Self {
        Self { head, until: AtomicU64::new(0) }
    }

    /// Number of the state head that the evidence covers.
    pub fn head(&self) -> HeadNumber {
        self.head
    }

    /// Extends the evidence after an answered poll. `sent` is the time at which the poll was sent,
    /// and `age` the age of the controller's evidence when it answered.
    ///
    /// The time of receipt is not used, because the answer may have been delayed or waited unread.
    pub fn extend(&self, sent: Tick, age: Duration, window: Duration) {
        let until = sent + window.saturating_sub(age);
        self.until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Whether the evidence is still valid at `now`.
    pub fn is_current(&self, now: Tick) -> bool {
        now < Tick(self.until.load(Ordering::Acquire))
    }
}
