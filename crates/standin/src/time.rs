//! Milliseconds since the start of the process, as histories carry them.

use {std::time::Duration, tokio::time::Instant};

/// The clock of all histories of one process.
#[derive(Clone, Copy, Debug)]
pub struct HistoryClock {
    start: Instant,
}

impl HistoryClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Milliseconds since the start at `span` before now; 0 at least.
    pub fn back_ms(&self, span: Duration) -> u64 {
        self.now_ms().saturating_sub(span.as_millis() as u64)
    }
}
