//! Whether another process still runs, and when its silence says so.
//!
//! Silence can't tell a process that has ended from one behind a cut, nor the other side of a cut from the
//! own one. Only the store's rows say that a process has ended; silence is a reason to ask it (see
//! `docs/design/ownership.md`).

use {base::Tick, std::time::Duration};

/// Longest time between two notes that this process runs; several times their interval. After a longer
/// one it stood still, and messages of others may be waiting unread.
const MAX_GAP: Duration = Duration::from_millis(500);

/// Whether a process still runs, as far as this one can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It was heard recently, or this process has not listened for long enough to miss it.
    Running,
    /// It was not heard for some time.
    Silent(Vantage),
    /// The store has no row of this incarnation.
    Gone,
}

/// From where a process was found silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vantage {
    /// Most of the processes have been heard all the while.
    Majority,
    /// Most of the others are silent too.
    Minority,
}

/// Since when this process listens, and since when it hears most of the others.
#[derive(Debug, Default)]
pub(crate) struct ContactLog {
    /// When this process last noted that it runs.
    ran_at: Option<Tick>,
    /// The end of the last gap in which this process stood still.
    attentive_since: Tick,
    /// Since when most of the processes have been heard without a gap.
    majority_since: Option<Tick>,
}

impl ContactLog {
    /// Notes that this process runs, and whether it hears most of the others.
    pub(crate) fn note(&mut self, hears_majority: bool, now: Tick) {
        if self.may_stand_still(now) {
            self.attentive_since = now;
        }
        self.ran_at = Some(now);
        let since = self.majority_since.unwrap_or(now);
        self.majority_since = hears_majority.then_some(since);
    }

    /// Whether this process has not noted for [`MAX_GAP`] that it runs.
    pub(crate) fn may_stand_still(&self, now: Tick) -> bool {
        self.ran_at.is_some_and(|at| now.since(at) >= MAX_GAP)
    }

    pub(crate) fn attentive_since(&self) -> Tick {
        self.attentive_since
    }

    pub(crate) fn majority_since(&self) -> Option<Tick> {
        self.majority_since
    }
}
