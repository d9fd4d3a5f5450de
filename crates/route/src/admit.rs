//! Admits requests of a workspace within this gateway's share of the workspace's limit.

use {
    crate::shares::{Share, ShareRequest},
    base::{RatePerSecond, Tick, ViewNumber},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
};

/// Time for which unused starts accumulate at the share's rate. With a shorter time, a small share
/// refuses requests merely because they arrive unevenly.
const BURST: Duration = Duration::from_secs(1);
/// Requests in flight that a share request asks for beyond those running and waiting, in addition
/// to a quarter of those running.
const SPARE_IN_FLIGHT: u32 = 2;
/// Upper bound on the granted rate that the gate keeps while a share request is unanswered, as a
/// multiple of the requested rate.
const KEPT_RATE_FACTOR: f64 = 1.25;
/// Retry delay sent to callers that exceed the limit of requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Upper bound on the retry delay sent to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Why the gate refused a request; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// The limit of requests in flight is reached.
    InFlight {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The rate limit of request starts is reached.
    Rate {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Lock-free rate and concurrency limiter for the requests of one workspace.
///
/// The limit is the sum of a base part, which is valid while the node knows the current view, and a
/// grant, which is valid until it expires. In any interval of length t, at most
/// `rate * (t + 1 s) + 1` requests start.
#[derive(Debug, Default)]
pub struct ShareGate {
    in_flight: AtomicU32,
    base_in_flight: AtomicU32,
    base_rate: AtomicU64,
    granted_in_flight: AtomicU32,
    granted_rate: AtomicU64,
    expires: AtomicU64,
    last_order: AtomicU64,
    next_start: AtomicU64,
    attempts: AtomicU64,
    refused: AtomicU64,
}

impl ShareGate {
    /// Creates a gate with a base part and no grant.
    ///
    /// The sequence numbers of share requests start at `now`, which must be later than any time in
    /// an earlier incarnation of the same gateway.
    pub fn new(base: Share, now: Tick) -> Self {
        let gate = Self { last_order: AtomicU64::new(now.0), ..Self::default() };
        gate.set_base(base);
        gate
    }

    /// Sets the base part, which changes when a ticket changes the workspace's limit and when the
    /// number of member nodes changes.
    pub fn set_base(&self, base: Share) {
        self.base_in_flight.store(base.in_flight, SeqCst);
        self.base_rate.store(base.requests_per_second.0.to_bits(), SeqCst);
    }

    /// Admits one request, or returns the reason for the refusal with a retry delay.
    pub fn try_start(self: &Arc<Self>, now: Tick) -> Result<StartGuard, AdmitRefusal> {
        self.attempts.fetch_add(1, SeqCst);
        // Counted before the limit is read, so that a concurrent share request includes it.
        let before = self.in_flight.fetch_add(1, SeqCst);
        let guard = StartGuard { gate: Arc::clone(self) };
        let held = self.held(now);
        let started = match before >= held.in_flight {
            true => Err(AdmitRefusal::InFlight { retry_after: IN_FLIGHT_RETRY_AFTER }),
            false => self.try_reserve_start(held.requests_per_second.0, now),
        };
        if started.is_err() {
            self.refused.fetch_add(1, SeqCst);
        }
        started.map(|()| guard)
    }

    /// Returns the limits in force: the base part plus a grant that has not expired.
    pub fn held(&self, now: Tick) -> Share {
        let base_rate = f64::from_bits(self.base_rate.load(SeqCst));
        let base_in_flight = self.base_in_flight.load(SeqCst);
        if self.expires.load(SeqCst) <= now.0 {
            return Share {
                requests_per_second: RatePerSecond(base_rate),
                in_flight: base_in_flight,
            };
        }
        let granted_rate = f64::from_bits(self.granted_rate.load(SeqCst));
        let granted_in_flight = self.granted_in_flight.load(SeqCst);
        Share {
            requests_per_second: RatePerSecond(base_rate + granted_rate),
            in_flight: base_in_flight.saturating_add(granted_in_flight),
        }
    }

    /// Number of admitted requests whose guard was not dropped yet.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(SeqCst)
    }

    /// Number of admitted and refused requests since the gate was created.
    pub fn attempts(&self) -> u64 {
        self.attempts.load(SeqCst)
    }

    /// Number of refused requests since the gate was created. When it grows, a share request before
    /// the next regular one lets the share follow the demand sooner.
    pub fn refused(&self) -> u64 {
        self.refused.load(SeqCst)
    }

    /// Creates a share request; see [`crate::share_request`].
    ///
    /// `waiting` is the number of requests that are queued for admission, `attempt_rate` the
    /// measured rate of admitted and refused requests, and `view` the view by which the grantor was
    /// selected.
    ///
    /// Lowers a grant that exceeds the demand; the rate is kept up to `KEPT_RATE_FACTOR` times the
    /// demand. Until the answer is applied, the gate uses at most the base part plus the request's
    /// `holding`.
    pub(crate) fn begin_request(
        &self,
        waiting: u32,
        attempt_rate: RatePerSecond,
        view: ViewNumber,
        now: Tick,
    ) -> ShareRequest {
        let rate_demand = attempt_rate.0 - f64::from_bits(self.base_rate.load(SeqCst));
        let rate_demand = rate_demand.max(0.0);
        let max_granted_rate = rate_demand * KEPT_RATE_FACTOR;
        let held_rate = f64::from_bits(self.granted_rate.load(SeqCst)).min(max_granted_rate);
        self.granted_rate.store(held_rate.to_bits(), SeqCst);
        let base = self.base_in_flight.load(SeqCst);
        let running = self.in_flight.load(SeqCst);
        let in_flight_demand =
            running.saturating_add(waiting).saturating_add(running / 4 + SPARE_IN_FLIGHT);
        let in_flight_demand = in_flight_demand.saturating_sub(base);
        let held = self.granted_in_flight.fetch_min(in_flight_demand, SeqCst).min(in_flight_demand);
        let grant_valid = self.expires.load(SeqCst) > now.0;
        let (held_rate, held) = if grant_valid { (held_rate, held) } else { (0.0, 0) };
        // Includes requests that were admitted concurrently, before the lower limit was stored.
        let in_use = self.in_flight.load(SeqCst).saturating_sub(base);
        let order = self.last_order.fetch_add(1, SeqCst) + 1;
        let share = |rate, in_flight| Share { requests_per_second: RatePerSecond(rate), in_flight };
        let demand = share(rate_demand, in_flight_demand.max(in_use));
        let holding = share(held_rate, held.max(in_use));
        ShareRequest { order, view, demand, holding }
    }

    /// Applies a grant whose validity starts at `sent_at`, the time its request was sent.
    ///
    /// Returns false and changes nothing unless it answers the latest request.
    pub(crate) fn apply_grant(
        &self,
        order: u64,
        granted: Share,
        sent_at: Tick,
        validity: Duration,
    ) -> bool {
        if self.last_order.load(SeqCst) != order {
            return false;
        }
        self.granted_in_flight.store(granted.in_flight, SeqCst);
        self.granted_rate.store(granted.requests_per_second.0.to_bits(), SeqCst);
        self.expires.store((sent_at + validity).0, SeqCst);
        true
    }

    fn try_reserve_start(&self, rate: f64, now: Tick) -> Result<(), AdmitRefusal> {
        if rate <= 0.0 {
            return Err(AdmitRefusal::Rate { retry_after: MAX_RETRY_AFTER });
        }
        let interval = Duration::from_secs_f64((1.0 / rate).min(MAX_RETRY_AFTER.as_secs_f64()));
        let latest = now + BURST;
        let reserve = |next: u64| {
            let start = next.max(now.0);
            (start <= latest.0).then(|| (Tick(start) + interval).0)
        };
        let reserved = self.next_start.fetch_update(SeqCst, SeqCst, reserve);
        reserved.map(drop).map_err(|next| AdmitRefusal::Rate {
            retry_after: Tick(next).since(latest).min(MAX_RETRY_AFTER),
        })
    }
}

/// Counts one admitted request as in flight until it is dropped.
#[derive(Debug)]
pub struct StartGuard {
    gate: Arc<ShareGate>,
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        self.gate.in_flight.fetch_sub(1, SeqCst);
    }
}
