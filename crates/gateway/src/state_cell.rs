//! Holds the latest snapshot, which requests read without a lock.

use {
    crate::{snapshot::RoutingSnapshot, snapshot_build::SnapshotBuilder},
    arc_swap::ArcSwap,
    base::Tick,
    peer::GatewayUpdate,
    std::{sync::Arc, time::Duration},
};

/// The latest snapshot. Only the polling task replaces it; concurrent calls of [`Self::apply`] could
/// lose an update.
pub struct StateCell {
    latest: ArcSwap<RoutingSnapshot>,
    builder: SnapshotBuilder,
    window: Duration,
}

impl StateCell {
    /// Creates an empty snapshot, which is not current. `window` is the freshness window: the maximum
    /// age of evidence.
    pub fn new(builder: SnapshotBuilder, window: Duration) -> Self {
        Self { latest: ArcSwap::default(), builder, window }
    }

    /// Returns the latest snapshot, which a request keeps until it needs a newer one.
    pub fn load(&self) -> Arc<RoutingSnapshot> {
        self.latest.load_full()
    }

    /// Applies the answer to a poll that was sent at `sent`.
    ///
    /// The evidence is extended only if the update is about the state head of the latest snapshot.
    pub fn apply(&self, sent: Tick, update: &GatewayUpdate) {
        if has_changes(&self.latest.load(), update) {
            let next = self.builder.build(&self.latest.load(), update);
            self.latest.store(Arc::new(next));
            self.wake_queued();
        }
        let latest = self.latest.load();
        if let Some(age) = update.age_ms
            && update.head.number == latest.head()
        {
            latest.evidence.extend(sent, Duration::from_millis(u64::from(age)), self.window);
        }
    }
}

impl StateCell {
    /// Admits all queued requests, so that they choose again among the new backend servers; those
    /// that find no free slot queue again.
    fn wake_queued(&self) {
        for queue in self.latest.load().queues.values() {
            queue.wake(queue.waiting());
        }
    }
}

/// Whether a new snapshot is needed: the update contains state, records, hosts or a different list
/// of gateways.
fn has_changes(latest: &RoutingSnapshot, update: &GatewayUpdate) -> bool {
    update.state.is_some()
        || !update.records.is_empty()
        || update.hosts.is_some()
        || (!update.gateways.is_empty() && *latest.gateways != update.gateways)
}
