//! Spaces out the reads of a store that answers neither this process nor those that read for it.
//!
//! The store counts refused calls too. Processes that all read for themselves in an outage make
//! hundreds of calls a second, and more when the store comes back.

use {
    crate::config_tracker::READ_SPREAD, parking_lot::Mutex, std::time::Duration,
    tokio::time::Instant,
};

/// Longest time between two reads of one process. The processes that read for others notice the end of
/// an outage sooner; this bounds the delay where only they are cut off.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// When this process may read one table from a store that did not answer it.
#[derive(Debug, Default)]
pub(crate) struct OutageTurns {
    next_at: Mutex<Option<Instant>>,
}

impl OutageTurns {
    /// Whether the table may be read now.
    pub(crate) fn is_due(&self) -> bool {
        self.next_at.lock().is_none_or(|at| at <= Instant::now())
    }

    /// Records that the store did not answer, and when one of `processes` reads again. `sample`, from
    /// 0 to 1, spreads the processes that noticed the outage together.
    pub(crate) fn note_failure(&self, processes: usize, sample: f64) {
        let processes = u32::try_from(processes).unwrap_or(u32::MAX);
        let pause = READ_SPREAD.saturating_mul(processes).min(MAX_PAUSE);
        *self.next_at.lock() = Some(Instant::now() + pause.mul_f64(0.5 + sample));
    }

    /// Records that the table could be read.
    pub(crate) fn note_success(&self) {
        *self.next_at.lock() = None;
    }
}
