//! Metrics of the gateway, in the OpenMetrics text format.

mod class;
mod histogram;

pub use self::{
    class::{ClassLabels, ClassMeters, CountedEnd},
    histogram::TimeHistogram,
};

use {
    self::class::ClassFamilies,
    crate::refusal::RefusalKind,
    arc_swap::ArcSwap,
    base::{ModelName, WorkspaceId},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{collections::HashMap, fmt, sync::Arc},
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

type ClassKey = (WorkspaceId, ModelName);

/// All metrics of the process, with their registry. The instruments of one workspace and class are
/// called its meters.
pub struct GatewayMeters {
    registry: Registry,
    families: ClassFamilies,
    classes: ArcSwap<HashMap<ClassKey, Arc<ClassMeters>>>,
    refusals: Family<ReasonLabels, Counter>,
    /// Probes of unresponsive backend servers' hosts that were answered.
    pub probes_alive: Counter,
    /// Probes of unresponsive backend servers' hosts that were not answered.
    pub probes_dead: Counter,
    /// Cancellations of attempts sent to engines.
    pub cancels: Counter,
    /// Stream frames dropped because they belong to another attempt or are duplicates.
    pub dropped_frames: Counter,
    /// Claims of idempotency keys, whatever their result.
    pub claims: Counter,
    /// Polls that a controller answered with an update.
    pub polls: Counter,
    /// Polls that failed or timed out.
    pub failed_polls: Counter,
    gauges: GatewayGauges,
}

/// Gauges, which are set each time the metrics are rendered.
#[derive(Clone, Debug, Default)]
pub struct GatewayGauges {
    /// Number of runs that have not ended.
    pub open_requests: Gauge,
    /// Number of tasks that have not ended in [`GatewayCore::background_tasks`].
    ///
    /// [`GatewayCore::background_tasks`]: crate::core::GatewayCore::background_tasks
    pub bookkeeping: Gauge,
    /// 1 while the gateway is current, 0 while it is isolated.
    pub current: Gauge,
    /// 1 during a planned stop, otherwise 0.
    pub draining: Gauge,
    /// Number of the state head of the latest snapshot.
    pub head: Gauge,
    /// Number of transactions with claims sent to the table service.
    pub table_commits: Gauge,
}

impl fmt::Debug for GatewayMeters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMeters").finish_non_exhaustive()
    }
}

impl Default for GatewayMeters {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gateway");
        let families = ClassFamilies::register(&mut registry);
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let probes_alive = counter("probes_alive", "Probes of silent hosts that answered");
        let probes_dead = counter("probes_dead", "Probes of silent hosts without answer");
        let cancels = counter("cancels", "Attempts cancelled at engines");
        let dropped_frames = counter("dropped_frames", "Frames that did not belong or came twice");
        let claims = counter("claims", "Claims of idempotency keys");
        let polls = counter("polls", "Polls of controllers with an answer");
        let failed_polls = counter("failed_polls", "Polls of controllers without answer");
        let refusals = Family::default();
        registry.register("refusals", "Answers that are not whole, by reason", refusals.clone());
        let gauges = GatewayGauges::default();
        gauges.clone().register_all(&mut registry);
        Self {
            registry,
            families,
            classes: ArcSwap::default(),
            refusals,
            probes_alive,
            probes_dead,
            cancels,
            dropped_frames,
            claims,
            polls,
            failed_polls,
            gauges,
        }
    }
}

impl GatewayMeters {
    /// Returns the meters of a workspace and class, which are created by the first call.
    pub fn class(&self, workspace: &WorkspaceId, class: &ModelName) -> Arc<ClassMeters> {
        let key = (workspace.clone(), class.clone());
        if let Some(meters) = self.classes.load().get(&key) {
            return meters.clone();
        }
        let labels = ClassLabels { workspace: workspace.to_string(), class: class.to_string() };
        let meters = Arc::new(self.families.meters(&labels));
        self.classes.rcu(|classes| {
            let mut classes = HashMap::clone(classes);
            classes.insert(key.clone(), meters.clone());
            classes
        });
        meters
    }

    /// Counts a refusal in the `refusals` metric.
    pub fn note_refusal(&self, kind: RefusalKind) {
        self.refusals.get_or_create(&ReasonLabels { reason: kind.as_str() }).inc();
    }

    /// Returns the gauges, to be set before [`Self::text`].
    pub fn gauges(&self) -> &GatewayGauges {
        &self.gauges
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl GatewayGauges {
    fn register_all(self, registry: &mut Registry) {
        registry.register("open_requests", "Requests that run", self.open_requests);
        registry.register("bookkeeping", "Bookkeeping not done yet", self.bookkeeping);
        registry.register("current", "1 while the state may be acted on", self.current);
        registry.register("draining", "1 during a planned stop", self.draining);
        registry.register("head", "Head whose state is held", self.head);
        registry.register("table_commits", "Transactions sent to the table", self.table_commits);
    }
}
