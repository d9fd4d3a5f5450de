//! Metrics of the group tasks.

use {
    peer::GroupPhase,
    plan::{HostCommand, OrderOutcome},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Labels of metrics per fabric domain and group set.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SetLabels {
    /// Id of the fabric domain to which the value belongs.
    pub fabric_domain: String,
    /// Name of the group set in the tickets.
    pub set: String,
}

/// Labels of metrics per fabric domain.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DomainLabels {
    /// Id of the fabric domain to which the value belongs.
    pub fabric_domain: String,
}

/// Labels of the count of orders to engines.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OrderLabels {
    /// `load`, `drain` or `release`.
    pub command: &'static str,
    /// `accepted`, `outdated`, `refused`, `not_sent` or `unknown`.
    pub outcome: &'static str,
}

/// Labels of the number of groups.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PhaseLabels {
    /// Id of the fabric domain to which the value belongs.
    pub fabric_domain: String,
    /// `forming`, `loading`, `serving` or `draining`.
    pub phase: &'static str,
}

/// Metrics of the group tasks, shared by the tasks of all fabric domains.
#[derive(Clone, Debug, Default)]
pub struct GroupMetrics {
    pub(super) downtime_seconds: Family<SetLabels, Counter<f64, AtomicU64>>,
    pub(super) stranded_seconds: Family<DomainLabels, Counter<f64, AtomicU64>>,
    pub(super) missing: Family<SetLabels, Gauge>,
    pub(super) stranded: Family<DomainLabels, Gauge>,
    pub(super) groups: Family<PhaseLabels, Gauge>,
    pub(super) orders: Family<OrderLabels, Counter>,
    pub(super) withheld: Counter,
    pub(super) foreign_orders: Family<DomainLabels, Counter>,
}

impl GroupMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "group_downtime_seconds",
            "Seconds times groups that the capacity allowed and that did not serve",
            metrics.downtime_seconds.clone(),
        );
        registry.register(
            "stranded_accelerator_seconds",
            "Seconds times accelerators of reachable hosts outside serving groups",
            metrics.stranded_seconds.clone(),
        );
        registry.register(
            "groups_missing",
            "Groups that the capacity allows and that do not serve",
            metrics.missing.clone(),
        );
        registry.register(
            "accelerators_stranded",
            "Accelerators of reachable hosts outside serving groups",
            metrics.stranded.clone(),
        );
        registry.register("groups", "Groups by phase", metrics.groups.clone());
        registry.register(
            "engine_orders",
            "Copies of orders to engines by outcome",
            metrics.orders.clone(),
        );
        registry.register(
            "engine_orders_withheld",
            "Orders that were due without the authority to send them",
            metrics.withheld.clone(),
        );
        registry.register(
            "foreign_orders",
            "Hosts found to have followed an order that this owner did not give",
            metrics.foreign_orders.clone(),
        );
        metrics
    }

    pub(super) fn count_order(&self, command: &HostCommand, outcome: &OrderOutcome) {
        let labels = OrderLabels {
            command: match command {
                HostCommand::Load(_) => "load",
                HostCommand::Drain { .. } => "drain",
                HostCommand::Release { .. } => "release",
            },
            outcome: match outcome {
                OrderOutcome::Accepted => "accepted",
                OrderOutcome::Outdated { .. } => "outdated",
                OrderOutcome::Refused => "refused",
                OrderOutcome::NotSent => "not_sent",
                OrderOutcome::Unknown => "unknown",
            },
        };
        self.orders.get_or_create(&labels).inc();
    }
}

/// The phases in which a group occupies hosts, each with its label.
pub(super) const PHASES: [(GroupPhase, &str); 4] = [
    (GroupPhase::Forming, "forming"),
    (GroupPhase::Loading, "loading"),
    (GroupPhase::Serving, "serving"),
    (GroupPhase::Draining, "draining"),
];
