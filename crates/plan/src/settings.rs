//! Time limits of the planner, and safeguards that tests can disable.

use std::time::Duration;

/// Time limits of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// A member is considered unresponsive when the probe that returned its last report is older
    /// than this.
    pub unresponsive_after: Duration,
    /// Longest time between sending an order and its arrival at the engine. Without fencing, safety
    /// rests on this bound.
    pub order_flight_limit: Duration,
    /// Time after which an unanswered order is sent again.
    pub order_retry: Duration,
    /// Longest time that a group may drain; after that it is removed even with requests in flight.
    pub drain_limit: Duration,
    /// Longest time that a group may take to load; after that it is released, and the members that
    /// are not ready are avoided.
    pub load_limit: Duration,
    /// Initial estimate of the load time; the planner updates its estimate with each load that it
    /// observes.
    pub load_estimate: Duration,
    /// How long no group is formed on a host that refused an order or did not finish a load.
    pub failed_host_avoid_period: Duration,
    /// How long a new owner waits for the reports of all hosts before it adopts groups without the
    /// missing ones.
    pub adopt_limit: Duration,
    /// How long a new owner uses no host whose engine changed during the adoption. If engines
    /// ignore fencing numbers, a new owner reads their state twice before it adopts groups; a
    /// change in between may come from an order of an earlier owner.
    pub changed_host_avoid_period: Duration,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            unresponsive_after: Duration::from_millis(1_500),
            order_flight_limit: Duration::from_millis(1_000),
            order_retry: Duration::from_millis(500),
            drain_limit: Duration::from_secs(30),
            load_limit: Duration::from_secs(120),
            load_estimate: Duration::from_secs(10),
            failed_host_avoid_period: Duration::from_secs(10),
            adopt_limit: Duration::from_millis(2_500),
            changed_host_avoid_period: Duration::from_millis(3_000),
        }
    }
}

/// Mechanisms that uphold the planner's invariants. Only tests disable them, to show that the
/// history checker detects the absence of each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A host is free only when no order with an unknown outcome can still change its state.
    pub await_settled_orders: bool,
    /// A group serves only after every member has reported that it is ready.
    pub await_all_members: bool,
    /// A group stops serving when a member becomes unresponsive.
    pub suspend_on_unresponsive: bool,
    /// A member whose boot id has changed no longer belongs to the group.
    pub compare_boot_ids: bool,
    /// A new owner probes the engines and adopts their groups before it gives orders.
    pub adopt_from_engines: bool,
    /// A new owner sends its term to every engine that checks fencing numbers, before it uses the
    /// host.
    pub fence_engines: bool,
    /// A new owner probes engines that ignore fencing numbers twice, at least the flight limit of
    /// orders apart.
    pub read_twice: bool,
    /// Engines that still belong to a group unknown to the owner are released from it.
    pub release_leftovers: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            await_settled_orders: true,
            await_all_members: true,
            suspend_on_unresponsive: true,
            compare_boot_ids: true,
            adopt_from_engines: true,
            fence_engines: true,
            read_twice: true,
            release_leftovers: true,
        }
    }
}
