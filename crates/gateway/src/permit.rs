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

/// The permits of a request's second attempts that are not known as not run.
#[derive(Default)]
pub struct SecondPermits(Vec<Arc<RequestPermit>>);

impl SecondPermits {
    /// Adds the permit of an attempt that is started.
    pub fn add(&mut self, permit: Arc<RequestPermit>) {
        self.0.push(permit);
    }

    /// Removes the permit of an attempt that was not run.
    pub fn remove(&mut self, permit: &Arc<RequestPermit>) {
        self.0.retain(|other| !Arc::ptr_eq(other, permit));
    }

    /// Whether an attempt may have run.
    pub fn any_used(&self) -> bool {
        self.0.iter().any(|permit| permit.was_used())
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
