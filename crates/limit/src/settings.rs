//! Settings of the tracker.

use std::time::Duration;

/// How a limit is divided among processes, and how long its end is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Number of processes that share the rate of one server. The others ask them before each
    /// request. With more, the loss of one costs less, but each may save up one request, and all of
    /// them could arrive together.
    pub sharers: usize,
    /// Below this rate, in requests per second, a single process uses it alone.
    pub single_sharer_below: f64,
    /// Rate, in requests per second, that is used at least. Without any request nobody would learn
    /// that a limit has ended.
    pub least_rate: f64,
    /// A process that becomes a sharer sends nothing for this long, in which the process that it
    /// replaces learns of the change.
    pub handover: Duration,
    /// When a sharer that can't be of use is asked again.
    pub ask_again: Duration,
    /// When a process that did not answer is asked again, for any server: about the time in which the
    /// others notice that it is down.
    pub ask_silent_again: Duration,
    /// How far a sharer may run behind its pace and still make up for it.
    pub catch_up: Duration,
    /// A peer that knows other limits is told of those that have not changed for this long: later
    /// news may still be on their way to it.
    pub settled_after: Duration,
    /// How long the end of a limit is remembered, so that a process that did not hear of it can't
    /// bring the limit back.
    pub end_memory: Duration,
    /// Two accounts of the end of a cold spell count as equal if they differ by this much at most: each
    /// is as old as the message that brought it.
    pub cold_tolerance: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            sharers: 3,
            single_sharer_below: 0.5,
            least_rate: 0.1,
            handover: Duration::from_secs(1),
            ask_again: Duration::from_millis(300),
            ask_silent_again: Duration::from_millis(1_500),
            catch_up: Duration::from_millis(100),
            settled_after: Duration::from_millis(500),
            end_memory: Duration::from_secs(60),
            cold_tolerance: Duration::from_millis(500),
        }
    }
}
