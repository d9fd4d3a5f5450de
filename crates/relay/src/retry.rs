//! Limits the retries for each service across all processes of the system.

use {
    base::{ServiceName, Tick},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Limit on the retries for each service, over all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed in the window, as a fraction of the requests in it.
    pub ratio: f64,
    /// Retries allowed in the window on top of that fraction; the processes share them equally.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) }
    }
}

/// Share of the limit that processes use. The rest covers requests that fall into different windows
/// here and at their callers.
const USED_SHARE: f64 = 0.8;

/// Times of the requests and of the retries for one service within the window.
#[derive(Debug, Default)]
struct WindowLog {
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

/// This process's share of the limit: its own requests times the ratio, plus an equal share of the
/// slack. While each process keeps to its share, all together keep to the limit.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Mutex<RetryLimits>,
    /// When this process started. The retries of its previous incarnation are not known, so the
    /// slack is not used during the first window.
    began: Tick,
    logs: Mutex<BTreeMap<ServiceName, WindowLog>>,
}

impl RetryBudget {
    /// Creates a budget without requests for a process that started at `began`.
    pub fn new(limits: RetryLimits, began: Tick) -> Self {
        Self { limits: Mutex::new(limits), began, logs: Mutex::new(BTreeMap::new()) }
    }

    /// Replaces the limits, effective at once.
    pub fn set_limits(&self, limits: RetryLimits) {
        *self.limits.lock() = limits;
    }

    /// Counts a caller's request, which raises the number of retries allowed in the window.
    pub fn note_request(&self, service: &ServiceName, now: Tick) {
        let limits = *self.limits.lock();
        let mut logs = self.logs.lock();
        if !logs.contains_key(service) {
            logs.insert(service.clone(), WindowLog::default());
        }
        let Some(log) = logs.get_mut(service) else { return };
        log.requests.push_back(now);
        trim(&mut log.requests, now, limits.window);
    }

    /// Counts one retry, which is given back if the permit is dropped unspent. `None` where
    /// [`Self::try_take`] fails.
    pub fn take_permit(
        self: &Arc<Self>,
        service: &ServiceName,
        processes: usize,
        now: Tick,
    ) -> Option<RetryPermit> {
        let permit = || RetryPermit {
            budget: self.clone(),
            service: service.clone(),
            taken_at: now,
            is_spent: false,
        };
        self.try_take(service, processes, now).then(permit)
    }

    fn give_back(&self, service: &ServiceName, taken_at: Tick) {
        let mut logs = self.logs.lock();
        let Some(log) = logs.get_mut(service) else { return };
        if let Some(index) = log.retries.iter().rposition(|at| *at == taken_at) {
            log.retries.remove(index);
        }
    }

    /// Counts one retry if the limit allows it, and returns false otherwise. `processes` is the
    /// number of processes that share the slack.
    pub fn try_take(&self, service: &ServiceName, processes: usize, now: Tick) -> bool {
        let limits = *self.limits.lock();
        let mut logs = self.logs.lock();
        let log = logs.entry(service.clone()).or_default();
        trim(&mut log.requests, now, limits.window);
        trim(&mut log.retries, now, limits.window);
        let in_first_window = now.since(self.began) < limits.window;
        let slack = if in_first_window { 0.0 } else { limits.slack / processes.max(1) as f64 };
        let bound = USED_SHARE * (limits.ratio * log.requests.len() as f64 + slack);
        if (log.retries.len() + 1) as f64 > bound {
            return false;
        }
        log.retries.push_back(now);
        true
    }
}

/// A retry that was taken from a budget. Dropped unspent, it gives the retry back.
#[derive(Debug)]
pub struct RetryPermit {
    budget: Arc<RetryBudget>,
    service: ServiceName,
    taken_at: Tick,
    is_spent: bool,
}

impl RetryPermit {
    /// Uses the retry.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.budget.give_back(&self.service, self.taken_at);
        }
    }
}

fn trim(times: &mut VecDeque<Tick>, now: Tick, window: Duration) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
