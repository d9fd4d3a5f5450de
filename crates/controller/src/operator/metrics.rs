//! Metrics of the controller process.

use {
    crate::{groups::port::DomainAuthority, state::node::NodeCore},
    parking_lot::Mutex,
    peer::TrafficCounter,
    prometheus_client::{
        encoding::text::encode,
        metrics::{counter::Counter, gauge::Gauge},
        registry::Registry,
    },
    std::sync::Arc,
};

/// Metrics of the node; they are set from its state at each scrape.
#[derive(Debug, Default)]
struct NodeGauges {
    head: Gauge,
    head_in_force: Gauge,
    ticket: Gauge,
    members: Gauge,
    owned_domains: Gauge,
    current: Gauge,
    evidence_age_ms: Gauge,
    peer_sent: Counter,
    peer_received: Counter,
}

/// The registry of all metrics of the process.
pub struct ControllerMetrics {
    registry: Mutex<Registry>,
    gauges: NodeGauges,
    traffic: Arc<TrafficCounter>,
}

impl ControllerMetrics {
    /// Registers the node's metrics; `traffic` counts the bytes exchanged with peers and gateways.
    pub fn new(traffic: Arc<TrafficCounter>) -> Self {
        let mut registry = Registry::with_prefix("gf_controller");
        let gauges = NodeGauges::default();
        gauges.register(&mut registry);
        Self { registry: Mutex::new(registry), gauges, traffic }
    }

    /// Registers further metrics with `register` and returns its result.
    pub fn extend<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        register(&mut self.registry.lock())
    }

    /// Returns the response body of `/metrics`.
    pub fn encode(&self, node: &NodeCore) -> String {
        self.gauges.fill(node, &self.traffic);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry.lock());
        text
    }
}

impl NodeGauges {
    fn register(&self, registry: &mut Registry) {
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("head", "Number of the head whose state is held", &self.head);
        gauge("head_in_force", "Newest head found in force", &self.head_in_force);
        gauge("ticket", "Last accepted ticket in the held state", &self.ticket);
        gauge("members", "Members of the held view", &self.members);
        gauge("owned_domains", "Fabric domains this node owns", &self.owned_domains);
        gauge("current", "1 when this node may act on the held state", &self.current);
        gauge(
            "evidence_age_ms",
            "Age of the evidence that the held head is the newest, -1 without any",
            &self.evidence_age_ms,
        );
        registry.register(
            "peer_sent_bytes",
            "Bytes of messages sent to peers and gateways",
            self.peer_sent.clone(),
        );
        registry.register(
            "peer_received_bytes",
            "Bytes of messages received from peers and gateways",
            self.peer_received.clone(),
        );
    }

    fn fill(&self, node: &NodeCore, traffic: &TrafficCounter) {
        let state = node.state();
        let now = node.now();
        let evidence = node.with_tracker(|tracker| tracker.evidence(now));
        let age = evidence.map_or(-1, |evidence| now.since(evidence.tick).as_millis() as i64);
        self.head.set(state.head.number.0 as i64);
        self.head_in_force.set(node.in_force().0 as i64);
        self.ticket.set(state.head.ticket.0 as i64);
        self.members.set(state.view.members.len() as i64);
        self.owned_domains.set(node.owned().len() as i64);
        self.current.set(i64::from(node.current().is_some()));
        self.evidence_age_ms.set(age);
        self.peer_sent.inner().store(traffic.sent(), std::sync::atomic::Ordering::Relaxed);
        self.peer_received.inner().store(traffic.received(), std::sync::atomic::Ordering::Relaxed);
    }
}
