//! Divides a workspace's limit among nodes so that the sum of all shares never exceeds the limit.
//!
//! In each view (a numbered set of member nodes), one node is the grantor of a workspace. The
//! holders, which are the nodes that admit the workspace's requests, periodically send share
//! requests to it. A share request contains the holder's demand and the most it may use until the
//! answer arrives. Holders ignore answers to earlier requests, and a grantor does not answer
//! requests from another view. The grantor therefore always knows how much each holder may use, and
//! can grant the rest immediately. [`crate::admit::ShareGate`] is the holder's side.

use {
    base::{RatePerSecond, Tick, ViewNumber, WorkspaceId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A part of a workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Limit of request starts per second.
    pub requests_per_second: RatePerSecond,
    /// Limit of requests in flight.
    pub in_flight: u32,
}

impl Share {
    /// Returns the part of a limit that each of `members` nodes has without a grant: `percent`
    /// hundredths of the limit, divided evenly.
    pub fn base_part(limit: Share, percent: u32, members: usize) -> Share {
        let part = f64::from(percent.min(100)) / 100.0 / members.max(1) as f64;
        Share {
            requests_per_second: RatePerSecond(limit.requests_per_second.0 * part),
            in_flight: (f64::from(limit.in_flight) * part) as u32,
        }
    }

    /// Returns the part of a limit that remains for grants, after all base parts.
    pub fn granted_part(limit: Share, percent: u32) -> Share {
        let part = f64::from(100 - percent.min(100)) / 100.0;
        Share {
            requests_per_second: RatePerSecond(limit.requests_per_second.0 * part),
            in_flight: (f64::from(limit.in_flight) * part) as u32,
        }
    }
}

/// Timing of grants; must be the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// Validity of a grant, counted from the time at which its share request was sent.
    pub validity: Duration,
    /// Time that the grantor adds to the validity, to allow for clocks that run at different rates.
    pub margin: Duration,
    /// Time after the expiry of a grant for which an unresponsive holder's requests in flight
    /// remain reserved, unless the holder is known to be down. The limit can only be exceeded by
    /// requests that run longer.
    pub in_flight_hold: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(3),
            margin: Duration::from_millis(100),
            in_flight_hold: Duration::from_secs(60),
        }
    }
}

/// A holder's request for a share of a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRequest {
    /// Sequence number, not an order to an engine. It increases with every new request of the
    /// holder; a request that arrives after one with a higher number is not answered.
    pub order: u64,
    /// The view by which the holder selected the grantor.
    pub view: ViewNumber,
    /// Demand beyond the holder's base part, including current use.
    pub demand: Share,
    /// Upper bound on the holder's use beyond its base part until the answer arrives.
    pub holding: Share,
}

/// The latest share request of a holder and its grant.
#[derive(Clone, Debug)]
struct HolderState {
    request: ShareRequest,
    granted: Option<Share>,
    expires: Tick,
    down: bool,
}

/// The grantor's state for one workspace.
#[derive(Clone, Debug)]
struct ShareLedger<H> {
    limit: Share,
    view: ViewNumber,
    /// Holders that may have grants from an earlier grantor, have sent no request to this one and
    /// were not reported down.
    pending_holders: BTreeSet<H>,
    /// Time by which all grants from earlier grantors have expired.
    earlier_grants_end: Tick,
    /// Time by which requests admitted under such grants are assumed to have ended.
    earlier_requests_end: Tick,
    holders: BTreeMap<H, HolderState>,
}

/// Grants shares of the limits of all workspaces for which this node is the grantor.
#[derive(Clone, Debug)]
pub struct ShareGrantor<H> {
    settings: ShareSettings,
    ledgers: BTreeMap<WorkspaceId, ShareLedger<H>>,
}

impl<H: Ord + Clone> ShareGrantor<H> {
    /// Creates a grantor without workspaces.
    pub fn new(settings: ShareSettings) -> Self {
        Self { settings, ledgers: BTreeMap::new() }
    }

    /// Makes this node the grantor of a workspace in a view. If it already is the grantor, only the
    /// view and the limit are updated.
    ///
    /// `holders` are those that may have grants from an earlier grantor. While some of them have
    /// neither sent a request nor been reported down, grants are restricted: until the earlier
    /// grants have expired, there are none; for [`ShareSettings::in_flight_hold`] after that, they
    /// contain a rate but no requests in flight.
    pub fn take_over(
        &mut self,
        workspace: &WorkspaceId,
        view: ViewNumber,
        limit: Share,
        holders: impl IntoIterator<Item = H>,
        now: Tick,
    ) {
        let grants_end = now + self.settings.validity + self.settings.margin;
        let earlier_requests_end = grants_end + self.settings.in_flight_hold;
        let ledger = self.ledgers.entry(workspace.clone()).or_insert_with(|| ShareLedger {
            limit,
            view,
            pending_holders: holders.into_iter().collect(),
            earlier_grants_end: grants_end,
            earlier_requests_end,
            holders: BTreeMap::new(),
        });
        ledger.view = ledger.view.max(view);
        ledger.limit = limit;
    }

    /// Sets the limit to divide. A lower limit takes effect with the holders' next requests, or at
    /// the latest when their grants expire.
    pub fn set_limit(&mut self, workspace: &WorkspaceId, limit: Share) {
        if let Some(ledger) = self.ledgers.get_mut(workspace) {
            ledger.limit = limit;
        }
    }

    /// Stops being the grantor of a workspace; grants already made remain valid until they expire.
    pub fn resign(&mut self, workspace: &WorkspaceId) {
        self.ledgers.remove(workspace);
    }

    /// Records that a holder is down. Its requests are no longer answered, and nothing is reserved
    /// for it after its grant expires.
    pub fn mark_holder_down(&mut self, holder: &H) {
        for ledger in self.ledgers.values_mut() {
            ledger.pending_holders.remove(holder);
            if let Some(state) = ledger.holders.get_mut(holder) {
                state.down = true;
            }
        }
    }

    /// Answers a share request; a repeated request gets the same answer.
    ///
    /// Returns `None` if this node is not the grantor in the request's view, if it may not grant
    /// yet, if the holder is down, or if a later request of the holder has already arrived.
    pub fn grant(
        &mut self,
        workspace: &WorkspaceId,
        holder: &H,
        request: ShareRequest,
        now: Tick,
    ) -> Option<Share> {
        let settings = &self.settings;
        let ledger = self.ledgers.get_mut(workspace)?;
        if request.view != ledger.view {
            return None;
        }
        ledger.remove_unresponsive(settings, now);
        ledger.grant(holder, request, now, settings.validity + settings.margin)
    }

    /// Returns the sum of what all holders of a workspace may currently use.
    pub fn reserved(&self, workspace: &WorkspaceId, now: Tick) -> Share {
        let ledger = self.ledgers.get(workspace);
        ledger.map_or_else(Share::default, |ledger| ledger.reserved(None, now))
    }
}

impl<H: Ord + Clone> ShareLedger<H> {
    fn grant(
        &mut self,
        holder: &H,
        request: ShareRequest,
        now: Tick,
        validity: Duration,
    ) -> Option<Share> {
        if let Some(state) = self.holders.get(holder) {
            if state.down || state.request.order > request.order {
                return None;
            }
            if state.request.order == request.order && state.granted.is_some() {
                return state.granted;
            }
        }
        self.pending_holders.remove(holder);
        let state = HolderState { request, granted: None, expires: now + validity, down: false };
        self.holders.insert(holder.clone(), state);
        let granted = self.divide(holder, now)?;
        self.holders.get_mut(holder)?.granted = Some(granted);
        Some(granted)
    }

    /// Returns a holder's grant: its fair part of the limit, but at most what is not reserved for
    /// other holders.
    fn divide(&self, holder: &H, now: Tick) -> Option<Share> {
        let none_pending = self.pending_holders.is_empty();
        if !none_pending && now < self.earlier_grants_end {
            return None;
        }
        let reserved_for_others = self.reserved(Some(holder), now);
        let fair = self.fair_part(holder, now);
        let remaining_rate =
            self.limit.requests_per_second.0 - reserved_for_others.requests_per_second.0;
        let rate = fair.requests_per_second.0.min(remaining_rate).max(0.0);
        let remaining_in_flight = match none_pending || now >= self.earlier_requests_end {
            true => self.limit.in_flight.saturating_sub(reserved_for_others.in_flight),
            false => 0,
        };
        let in_flight = fair.in_flight.min(remaining_in_flight);
        Some(Share { requests_per_second: RatePerSecond(rate), in_flight })
    }

    /// Returns the holder's part when the limit is divided over the demands of all active holders
    /// by [`divide_max_min`].
    fn fair_part(&self, holder: &H, now: Tick) -> Share {
        let is_active = |state: &HolderState| !state.down && state.expires > now;
        let active_holders: Vec<_> =
            self.holders.iter().filter(|(_, state)| is_active(state)).collect();
        let position = active_holders.iter().position(|(other, _)| *other == holder).unwrap_or(0);
        let demands = || active_holders.iter().map(|(_, state)| state.request.demand);
        let rates: Vec<_> = demands().map(|demand| demand.requests_per_second.0).collect();
        let in_flight_demands: Vec<_> =
            demands().map(|demand| f64::from(demand.in_flight)).collect();
        let rate = divide_max_min(&rates, self.limit.requests_per_second.0);
        let in_flight = divide_max_min(&in_flight_demands, f64::from(self.limit.in_flight));
        Share {
            requests_per_second: RatePerSecond(rate[position]),
            in_flight: in_flight[position] as u32,
        }
    }

    fn reserved(&self, excluded: Option<&H>, now: Tick) -> Share {
        let states = self.holders.iter().filter(|(holder, _)| Some(*holder) != excluded);
        states.fold(Share::default(), |sum, (_, state)| Share {
            requests_per_second: RatePerSecond(
                sum.requests_per_second.0 + state.reserved_rate(now),
            ),
            in_flight: sum.in_flight.saturating_add(state.reserved_in_flight(now)),
        })
    }

    fn remove_unresponsive(&mut self, settings: &ShareSettings, now: Tick) {
        self.holders.retain(|_, state| {
            let kept = if state.down { Duration::ZERO } else { settings.in_flight_hold };
            state.expires + kept > now
        });
    }
}

impl HolderState {
    fn reserved_rate(&self, now: Tick) -> f64 {
        let granted = self.granted.unwrap_or_default().requests_per_second.0;
        let holding = self.request.holding.requests_per_second.0;
        if self.expires > now { granted.max(holding) } else { 0.0 }
    }

    fn reserved_in_flight(&self, now: Tick) -> u32 {
        let granted = self.granted.unwrap_or_default().in_flight;
        let ended = self.down && self.expires <= now;
        if ended { 0 } else { granted.max(self.request.holding.in_flight) }
    }
}

/// Fraction of the surplus that is divided evenly; the rest is divided in proportion to the
/// demands.
const EVEN_SURPLUS_FRACTION: f64 = 0.5;

/// Divides `limit` over the demands by max-min fairness: demands are met in full, smallest first,
/// as long as they do not exceed an even part of the rest; the larger ones get even parts. If all
/// demands are met, the surplus is divided over all parts.
fn divide_max_min(demands: &[f64], limit: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|one, other| demands[*one].total_cmp(&demands[*other]));
    let mut parts = vec![0.0; demands.len()];
    let mut remaining = limit;
    for (done, position) in order.iter().enumerate() {
        let even = remaining / (demands.len() - done) as f64;
        parts[*position] = demands[*position].max(0.0).min(even);
        remaining -= parts[*position];
    }
    let sum: f64 = parts.iter().sum();
    let even = EVEN_SURPLUS_FRACTION / demands.len().max(1) as f64;
    let with_surplus = |part: f64| {
        let demand_fraction = if sum > 0.0 { part / sum } else { 1.0 / demands.len() as f64 };
        part + remaining.max(0.0) * (even + (1.0 - EVEN_SURPLUS_FRACTION) * demand_fraction)
    };
    parts.into_iter().map(with_surplus).collect()
}
