//! How often requests may be sent a second time, over all processes of the system.

use {
    base::{ServiceName, Tick},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The bound that all processes keep together for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond, in each window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

impl Default for RepeatTerms {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) }
    }
}

/// Part of the bound that is used. The rest covers requests that are counted here and not there,
/// because their caller sent them in another window.
const USED_PART: f64 = 0.8;

/// Times of the requests and of the repeats for one service.
#[derive(Debug, Default)]
struct WindowLog {
    requests: VecDeque<Tick>,
    repeats: VecDeque<Tick>,
}

/// This process's part of the bound: its own requests times the ratio, and an even part of the
/// slack. If each process keeps its part, all together keep the whole.
#[derive(Debug)]
pub struct RepeatBudget {
    terms: Mutex<RepeatTerms>,
    /// When this process began. What an earlier life of it used is not known, so the slack is left
    /// alone for one window.
    began: Tick,
    logs: Mutex<BTreeMap<ServiceName, WindowLog>>,
}

impl RepeatBudget {
    /// A budget without any request yet.
    pub fn new(terms: RepeatTerms, began: Tick) -> Self {
        Self { terms: Mutex::new(terms), began, logs: Mutex::new(BTreeMap::new()) }
    }

    /// Keeps another bound from now on.
    pub fn change_terms(&self, terms: RepeatTerms) {
        *self.terms.lock() = terms;
    }

    /// Counts a caller's request.
    pub fn note_request(&self, service: &ServiceName, now: Tick) {
        let terms = *self.terms.lock();
        let mut logs = self.logs.lock();
        if !logs.contains_key(service) {
            logs.insert(service.clone(), WindowLog::default());
        }
        let Some(log) = logs.get_mut(service) else { return };
        log.requests.push_back(now);
        trim(&mut log.requests, now, terms.window);
    }

    /// Takes one repeat out; false when none is left in this window. `processes` is how many share
    /// the slack.
    pub fn take(&self, service: &ServiceName, processes: usize, now: Tick) -> bool {
        let terms = *self.terms.lock();
        let mut logs = self.logs.lock();
        let log = logs.entry(service.clone()).or_default();
        trim(&mut log.requests, now, terms.window);
        trim(&mut log.repeats, now, terms.window);
        let young = now.since(self.began) < terms.window;
        let slack = if young { 0.0 } else { terms.slack / processes.max(1) as f64 };
        let bound = USED_PART * (terms.ratio * log.requests.len() as f64 + slack);
        if (log.repeats.len() + 1) as f64 > bound {
            return false;
        }
        log.repeats.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<Tick>, now: Tick, window: Duration) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
