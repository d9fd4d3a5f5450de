//! Measures how late the tasks of this process run, and which work makes them late.

use {
    prometheus_client::{
        metrics::histogram::{Histogram, exponential_buckets},
        registry::Registry,
    },
    std::time::{Duration, Instant},
    tracing::info,
};

/// Upper bound of the first bucket. Bounds double from 1 ms to 4 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKETS: u16 = 13;
/// Lag from which on there is a log line: what callers send and that they leave is noticed as late.
const LOGGED_LAG: Duration = Duration::from_millis(200);
/// Duration from which on a step of work has a log line.
const LOGGED_STEP: Duration = Duration::from_millis(30);

/// How much later than scheduled a periodic task ran.
#[derive(Debug)]
pub struct LoopLag {
    lags: Histogram,
}

impl Default for LoopLag {
    fn default() -> Self {
        Self { lags: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)) }
    }
}

impl LoopLag {
    /// Records one run of the task.
    pub fn note(&self, lag: Duration) {
        self.lags.observe(lag.as_secs_f64());
        if lag >= LOGGED_LAG {
            info!(decision = "late", lag_ms = lag.as_millis() as u64, "process");
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "How much later than scheduled the tasks of this process run, in seconds";
        registry.register("loop_lag_seconds", help, self.lags.clone());
    }
}

/// Runs a step of work during which no other task runs, and logs one that takes long. `what` names it
/// in the log.
pub fn time_step<R>(what: &'static str, step: impl FnOnce() -> R) -> R {
    let began = Instant::now();
    let result = step();
    let took = began.elapsed();
    if took >= LOGGED_STEP {
        info!(decision = "slow-step", what, took_ms = took.as_millis() as u64, "process");
    }
    result
}
