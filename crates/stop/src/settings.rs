//! Times of a planned stop.

use std::time::Duration;

/// Most time before the kill at which the last answers are given; enough to write those of a
/// thousand requests on a sixth of a core, beside load.
const ANSWER_MARGIN: Duration = Duration::from_millis(850);
/// Most time before the kill at which the process ends, whatever is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(150);
/// Largest shares of the grace time that the two margins may take.
const MAX_ANSWER_SHARE: f64 = 0.15;
const MAX_EXIT_SHARE: f64 = 0.05;
/// Most time for which a stopping process accepts connections: callers use addresses for twice the
/// time to live of an address answer, some of them longer.
const LEAVE_TIME: Duration = Duration::from_millis(4_000);
/// Largest share of the grace time that the port stays open.
const MAX_LEAVE_SHARE: f64 = 0.5;

/// Times of a planned stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// When the process is killed.
    pub grace: Duration,
    /// When it stops accepting connections.
    pub port_closes_after: Duration,
    /// When it gives its last answers.
    pub answers_due_after: Duration,
    /// When it ends by itself at the latest.
    pub exits_after: Duration,
}

impl StopSettings {
    /// The times that fit a grace time.
    pub fn within(grace: Duration) -> Self {
        let margin = |most: Duration, share: f64| grace - most.min(grace.mul_f64(share));
        Self {
            grace,
            port_closes_after: LEAVE_TIME.min(grace.mul_f64(MAX_LEAVE_SHARE)),
            answers_due_after: margin(ANSWER_MARGIN, MAX_ANSWER_SHARE),
            exits_after: margin(EXIT_MARGIN, MAX_EXIT_SHARE),
        }
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self::within(Duration::from_secs(8))
    }
}
