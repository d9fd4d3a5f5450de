//! The choices of the freshness rule that its guarantee depends on, as a trait, so that tests can
//! replace them one at a time.

use {crate::timing::FreshTiming, base::Tick, std::time::Duration};

/// The three choices on which the guarantee of [`crate::HeadTracker`] depends.
///
/// [`HeadRule`] implements the freshness rule. For each choice a faster one seems possible; tests
/// with random faults show that it breaks the guarantee.
pub trait RulePolicy {
    /// The tick at which the content of an answer is taken to be true, given when its request was
    /// sent and when the answer was received.
    fn evidence_tick(&self, sent: Tick, received: Tick) -> Tick;

    /// Whether this node's own reports count towards a majority, given whether its member row is in
    /// the held view and whether the head that introduced the row is in force.
    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool;

    /// Time from when majorities are first known to hold a head until the head is in force.
    /// `all_acknowledged` tells whether all members of the held view are known to hold it.
    /// [`HeadRule`] ignores it; a broken variant in the tests skips the wait in that case.
    fn force_wait(&self, timing: &FreshTiming, all_acknowledged: bool) -> Duration;
}

/// The freshness rule: an answer's age is measured from when its request was sent, a member counts
/// once the head that introduced its row is in force, and every head waits until all evidence for
/// older heads has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadRule;

impl RulePolicy for HeadRule {
    fn evidence_tick(&self, sent: Tick, _received: Tick) -> Tick {
        sent
    }

    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool {
        row_in_view && row_in_force
    }

    fn force_wait(&self, timing: &FreshTiming, _all_acknowledged: bool) -> Duration {
        timing.window + timing.margin
    }
}
