//! Tells when a paused process receives late what came during its pause.

use {
    base::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Time without a sign of life after which the process counts as paused; several times the interval
/// between two of them.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after a pause within which the signals that came during it are received.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Knows when this process last stood still, from its signs of life.
#[derive(Debug)]
pub struct PauseWatch {
    alive_at: AtomicU64,
    paused_from: AtomicU64,
    resumed_at: AtomicU64,
}

impl PauseWatch {
    /// Starts at `now`.
    pub fn new(now: Tick) -> Self {
        let start = || AtomicU64::new(now.0);
        Self { alive_at: start(), paused_from: start(), resumed_at: start() }
    }

    /// Records a sign of life; expected several times a second.
    pub fn note_alive(&self, now: Tick) {
        let before = Tick(self.alive_at.swap(now.0, Ordering::Relaxed));
        if now.since(before) >= MIN_PAUSE {
            self.paused_from.store(before.0, Ordering::Relaxed);
            self.resumed_at.store(now.0, Ordering::Relaxed);
        }
    }

    /// Whether a pause ended at `from` or later, up to `now`.
    pub fn has_paused_since(&self, from: Tick, now: Tick) -> bool {
        self.note_alive(now);
        let resumed_at = Tick(self.resumed_at.load(Ordering::Relaxed));
        let paused_from = Tick(self.paused_from.load(Ordering::Relaxed));
        paused_from < resumed_at && resumed_at >= from
    }

    /// The earliest moment at which a signal that is received at `now` can have come.
    pub fn signal_time(&self, now: Tick) -> Tick {
        self.note_alive(now);
        let resumed_at = Tick(self.resumed_at.load(Ordering::Relaxed));
        if now.since(resumed_at) > DELIVERY_TIME {
            return now;
        }
        Tick(self.paused_from.load(Ordering::Relaxed))
    }
}
