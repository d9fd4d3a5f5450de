//! The last check before a request is written to a connection.

use {
    crate::evidence::HeadEvidence,
    base::{SharedClock, Tick},
    engine::DispatchPermit,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Permits a dispatch while the request's deadline has not passed and the evidence for the snapshot
/// that the target was chosen from has not expired.
///
/// Records whether it ever permitted one. If it did not, no part of the request left this process.
pub struct RequestPermit {
    clock: SharedClock,
    evidence: Arc<HeadEvidence>,
    deadline: Tick,
    used: AtomicBool,
}

impl RequestPermit {
    /// Creates a permit; `evidence` is that of the snapshot that the target was chosen from.
    pub fn new(clock: SharedClock, evidence: Arc<HeadEvidence>, deadline: Tick) -> Self {
        Self { clock, evidence, deadline, used: AtomicBool::new(false) }
    }

    /// Whether a dispatch was ever permitted.
    pub fn was_used(&self) -> bool {
        self.used.load(Ordering::Acquire)
    }
}

impl DispatchPermit for RequestPermit {
    fn is_valid(&self) -> bool {
        let now = self.clock.now();
        let valid = now < self.deadline && self.evidence.is_current(now);
        if valid {
            self.used.store(true, Ordering::Release);
        }
        valid
    }
}
