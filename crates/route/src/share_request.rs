//! The holder's side of share requests: when to send one and how to apply its answer.

use {
    crate::{
        admit::ShareGate,
        shares::{Share, ShareRequest},
    },
    base::{RatePerSecond, Tick, ViewNumber},
    std::time::Duration,
};

/// An unanswered share request is repeated for this long, then replaced by a new one.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates the share requests for one workspace and applies the grants. Owned by the task that
/// polls the grantor.
#[derive(Clone, Debug)]
pub struct ShareRequester {
    meter: DemandMeter,
    unanswered: Option<(ShareRequest, Tick)>,
    answered_view: Option<ViewNumber>,
}

impl ShareRequester {
    /// Creates the state of a holder that has not yet sent a request.
    pub fn new(now: Tick) -> Self {
        Self { meter: DemandMeter::new(now), unanswered: None, answered_view: None }
    }

    /// Returns the share request to send to the grantor of `view`, or `None` while the holder is
    /// idle and has an answer from that grantor.
    ///
    /// An unanswered request to the same grantor is returned again for one second, then replaced by
    /// a new one. `waiting` is the number of requests that are queued for admission.
    pub fn next_request(
        &mut self,
        gate: &ShareGate,
        waiting: u32,
        view: ViewNumber,
        now: Tick,
    ) -> Option<ShareRequest> {
        if let Some((request, sent_at)) = self.unanswered
            && request.view == view
            && now.since(sent_at) < REQUEST_TIMEOUT
        {
            return Some(request);
        }
        let attempts = gate.attempts();
        let idle = attempts == self.meter.attempts_seen && gate.in_flight() == 0 && waiting == 0;
        if idle && self.answered_view == Some(view) {
            return None;
        }
        let rate = self.meter.measure(gate, now);
        let request = gate.begin_request(waiting, rate, view, now);
        self.unanswered = Some((request, now));
        Some(request)
    }

    /// Sequence number of the latest request while it is unanswered.
    pub fn unanswered_order(&self) -> Option<u64> {
        self.unanswered.map(|(request, _)| request.order)
    }

    /// Applies a grant whose validity starts at the time at which its request was first sent.
    ///
    /// Returns false if the grant does not answer the current request.
    pub fn apply_grant(
        &mut self,
        gate: &ShareGate,
        order: u64,
        granted: Share,
        validity: Duration,
    ) -> bool {
        match self.unanswered {
            Some((request, sent_at)) if request.order == order => {
                self.unanswered = None;
                self.answered_view = Some(request.view);
                gate.apply_grant(order, granted, sent_at, validity)
            }
            _ => false,
        }
    }
}

/// Measures the rate of admission attempts as an exponential moving average.
#[derive(Clone, Debug)]
struct DemandMeter {
    attempts_seen: u64,
    refused_seen: u64,
    measured_at: Tick,
    rate: f64,
}

impl DemandMeter {
    /// Time constant of the moving average.
    const DECAY_TIME: Duration = Duration::from_millis(250);
    /// Shorter time constant while requests are refused.
    const REFUSED_DECAY_TIME: Duration = Duration::from_millis(100);

    fn new(now: Tick) -> Self {
        Self { attempts_seen: 0, refused_seen: 0, measured_at: now, rate: 0.0 }
    }

    /// Updates the average from the gate's counters and returns it.
    fn measure(&mut self, gate: &ShareGate, now: Tick) -> RatePerSecond {
        let (attempts, refused) = (gate.attempts(), gate.refused());
        let elapsed = now.since(self.measured_at).as_secs_f64();
        if elapsed > 0.0 {
            let decay_time = match refused == self.refused_seen {
                true => Self::DECAY_TIME,
                false => Self::REFUSED_DECAY_TIME,
            };
            let latest_rate = attempts.saturating_sub(self.attempts_seen) as f64 / elapsed;
            let latest_weight = 1.0 - (-elapsed / decay_time.as_secs_f64()).exp();
            self.rate += (latest_rate - self.rate) * latest_weight;
            (self.attempts_seen, self.refused_seen, self.measured_at) = (attempts, refused, now);
        }
        RatePerSecond(self.rate)
    }
}
