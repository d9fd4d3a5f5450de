//! Limits the retries of a workspace to a fraction of its requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Default number of retries per hundred first attempts. With the default burst, attempts stay
/// below 1.1 per request even over the first minute of an overload.
pub const DEFAULT_PERCENT: u32 = 8;
/// Default number of unused retries that accumulate.
pub const DEFAULT_BURST: u32 = 4;
/// The balance is counted in hundredths of a retry.
const UNITS_PER_RETRY: i64 = 100;

/// Token bucket for retries: each first attempt adds a fraction of a retry, each retry removes one.
///
/// For n first attempts, at most `n * percent / 100 + burst` retries are allowed.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicI64,
    percent: i64,
    burst: i64,
}

impl RetryBudget {
    /// Creates a full budget. Each first attempt adds `percent` hundredths of a retry, up to
    /// `burst` retries in total.
    pub fn new(percent: u32, burst: u32) -> Self {
        let burst = i64::from(burst) * UNITS_PER_RETRY;
        Self { units: AtomicI64::new(burst), percent: i64::from(percent), burst }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn note_first_attempt(&self) {
        let add = |units: i64| Some((units + self.percent).min(self.burst));
        let _ = self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Removes one retry from the budget, or returns false when it holds less than one.
    pub fn try_retry(&self) -> bool {
        let subtract = |units: i64| (units >= UNITS_PER_RETRY).then_some(units - UNITS_PER_RETRY);
        self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }

    /// Number of whole retries that the budget holds.
    pub fn left(&self) -> u32 {
        u32::try_from(self.units.load(Ordering::Relaxed) / UNITS_PER_RETRY).unwrap_or(0)
    }
}
