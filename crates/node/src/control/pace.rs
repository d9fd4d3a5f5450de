//! Paces the steps of the control loop, so that a process has time for its callers.

use {
    prometheus_client::{metrics::counter::Counter, registry::Registry},
    std::time::Duration,
    tokio::time::Instant,
};

/// Shortest time between two steps. What arrives meanwhile is handled in one step; an order may be later
/// by this, far less than an engine takes for it.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a step as a factor of the time that the step took: planning takes at most a quarter of
/// the process's time, on hosts of any speed.
const PAUSE_FACTOR: u32 = 3;
/// Longest pause, also after a step during which the process was stopped.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// When the next step is due.
#[derive(Clone, Copy, Debug)]
pub struct StepPace {
    next_at: Instant,
    is_due: bool,
}

impl StepPace {
    /// The first step is due at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next_at: now, is_due: true }
    }

    /// Earliest time of the next step.
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Whether anything has changed since the last step.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    /// Records that something has changed.
    pub fn note_change(&mut self) {
        self.is_due = true;
    }

    /// Records a step.
    pub fn note_step(&mut self, began: Instant, ended: Instant) {
        self.is_due = false;
        self.next_at = ended + ((ended - began) * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE);
    }
}

/// Counts the steps of the control loop.
#[derive(Debug, Default)]
pub struct StepCounter {
    steps: Counter,
}

impl StepCounter {
    pub(super) fn note(&self) {
        self.steps.inc();
    }

    /// Number of steps since the process started.
    pub fn count(&self) -> u64 {
        self.steps.get()
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Steps of the control loop, in which the owners of fabric domains plan";
        registry.register("control_steps", help, self.steps.clone());
    }
}
