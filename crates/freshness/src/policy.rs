//! The parts of the freshness rule for which a faster choice seems possible but is wrong.

use {crate::timing::FreshTiming, base::Tick, std::time::Duration};

/// The three choices on which the guarantee of [`crate::HeadTracker`] depends.
///
/// [`HeadRule`] implements the freshness rule. Tests with random failures replace one choice at a
/// time and show that each replacement breaks the guarantee.
pub trait RulePolicy {
    /// The tick from which the age of an answer counts, given when its request was sent and when the
    /// answer was received.
    fn evidence_tick(&self, sent: Tick, received: Tick) -> Tick;

    /// Whether this node's own reports count towards a majority, given whether its member row is in
    /// the current view and whether that row is in force.
    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool;

    /// Time from when a majority is first known to hold a change until the change is in force.
    fn force_wait(&self, timing: &FreshTiming, all_acknowledged: bool) -> Duration;
}

/// The freshness rule: the age of an answer counts from when its request was sent, a member counts
/// once its own row is in force, and every change waits until all older evidence has expired.
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
