//! Metrics in the Prometheus text format.

use {
    crate::{logs::dropped_lines, view::NodeView},
    caller::CutCause,
    limit::KnownLimit,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    relay::{RelayShared, RequestKind},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Labels of what is refused because it crashes servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SuspectLabels {
    kind: String,
    suspect: String,
}

/// Labels of a server with a limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    server: String,
}

/// Labels of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DomainLabels {
    domain: String,
}

/// Labels of connections to servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PathLabels {
    /// "direct", or "peer" where another process passes the connection on.
    path: &'static str,
}

/// Labels of callers' connections that were closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabels {
    /// [`CutCause::label`].
    why: &'static str,
}

/// Labels of requests that run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// The metrics registry, and gauges that are set from the local view at each scrape.
pub struct NodeMetrics {
    registry: Registry,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    servers: Gauge,
    processes: Gauge,
    open_requests: Family<KindLabels, Gauge>,
    stop_left: Gauge<f64, AtomicU64>,
    dropped: Gauge,
    refused_suspects: Family<SuspectLabels, Gauge<f64, AtomicU64>>,
    server_limits: Family<ServerLabels, Gauge<f64, AtomicU64>>,
    own_limits: Family<ServerLabels, Gauge<f64, AtomicU64>>,
    evacuated: Family<DomainLabels, Gauge>,
    cold_servers: Gauge,
    connections: Family<PathLabels, Counter>,
    detoured: Gauge,
    open_forwards: Gauge,
    held_bytes: Gauge,
    open_connections: Gauge,
    cut_connections: Family<CutLabels, Counter>,
    evicted_bodies: Counter,
    view: Arc<NodeView>,
    shared: Arc<RelayShared>,
}

impl NodeMetrics {
    /// Registers all metrics of a process.
    pub fn new(view: Arc<NodeView>, shared: Arc<RelayShared>) -> Self {
        let mut registry = Registry::with_prefix("gypsumfork");
        let config_version = Gauge::default();
        registry.register("config_version", "Version in force", config_version.clone());
        let config_age = Gauge::default();
        let help = "Time since the version in force was known to be the newest, in seconds";
        registry.register("config_age_seconds", help, config_age.clone());
        let servers = Gauge::default();
        registry.register("open_servers", "Servers that take requests", servers.clone());
        let processes = Gauge::default();
        registry.register("processes", "Processes with a row", processes.clone());
        let open_requests = Family::default();
        let help = "Requests that have begun and not ended, by kind";
        registry.register("open_requests", help, open_requests.clone());
        let stop_left = Gauge::default();
        let help =
            "Time until a stopping process gives its last answers, in seconds; NaN before SIGTERM";
        registry.register("stop_left_seconds", help, stop_left.clone());
        let dropped = Gauge::default();
        registry.register("log_lines_dropped", "Lines over the budget", dropped.clone());
        let refused_suspects = Family::default();
        let help = "What is refused because it crashes servers, with the time left, in seconds";
        registry.register("refused_suspect_seconds", help, refused_suspects.clone());
        let server_limits = Family::default();
        let help = "Requests per second that a server accepts from all processes together";
        registry.register("server_limit", help, server_limits.clone());
        let own_limits = Family::default();
        let help = "Part of a server's limit that this process may use, in requests per second";
        registry.register("server_limit_own", help, own_limits.clone());
        let evacuated = Family::default();
        let help = "Listed servers of a failure domain that the operator has evacuated";
        registry.register("evacuated_servers", help, evacuated.clone());
        let cold_servers = Gauge::default();
        let help = "Servers that tolerate few requests for a while";
        registry.register("cold_servers", help, cold_servers.clone());
        let connections = Family::default();
        let help = "Connections to servers, by path";
        registry.register("connections", help, connections.clone());
        let detoured = Gauge::default();
        let help = "Servers that this process does not reach and another one does";
        registry.register("detoured_servers", help, detoured.clone());
        let open_forwards = Gauge::default();
        let help = "Connections to servers that this process passes on for others";
        registry.register("open_forwards", help, open_forwards.clone());
        let held_bytes = Gauge::default();
        let help = "Memory that is held for what callers and servers send, in bytes";
        registry.register("held_bytes", help, held_bytes.clone());
        let open_connections = Gauge::default();
        let help = "Connections of callers that are open";
        registry.register("open_connections", help, open_connections.clone());
        let cut_connections = Family::default();
        let help = "Connections of callers that were closed for the sake of others, by reason";
        registry.register("connections_cut", help, cut_connections.clone());
        let evicted_bodies = Counter::default();
        let help = "Bodies that arrived too slowly and lost their memory to others";
        registry.register("bodies_evicted", help, evicted_bodies.clone());
        view.store_reads.register(&mut registry);
        shared.metrics.register(&mut registry);
        view.config_ages.register(&mut registry);
        view.loop_lag.register(&mut registry);
        view.control_steps.register(&mut registry);
        Self {
            registry,
            open_requests,
            stop_left,
            dropped,
            refused_suspects,
            server_limits,
            own_limits,
            evacuated,
            cold_servers,
            connections,
            detoured,
            open_forwards,
            held_bytes,
            open_connections,
            cut_connections,
            evicted_bodies,
            config_version,
            config_age,
            servers,
            processes,
            view,
            shared,
        }
    }

    /// Updates the gauges and returns the response body of a scrape.
    pub fn render(&self) -> String {
        let version =
            self.view.with(|state| state.config.as_ref().map_or(0, |config| config.relay.version));
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.config_age
            .set(self.view.config_age().as_ref().map_or(f64::NAN, Duration::as_secs_f64));
        self.servers.set(self.shared.servers.load().all().count() as i64);
        self.processes.set(self.shared.processes.load(Ordering::Relaxed) as i64);
        for kind in RequestKind::LABELS {
            let open = self.shared.work.count(kind) as i64;
            self.open_requests.get_or_create(&KindLabels { kind }).set(open);
        }
        let stop_left = self.shared.stop.time_left(self.shared.clock.now());
        self.stop_left.set(stop_left.as_ref().map_or(f64::NAN, Duration::as_secs_f64));
        self.dropped.set(i64::try_from(dropped_lines()).unwrap_or(i64::MAX));
        self.refused_suspects.clear();
        for refusal in self.shared.poison.refusals() {
            let kind = refusal.suspect.kind().to_string();
            let labels = SuspectLabels { kind, suspect: refusal.suspect.to_string() };
            self.refused_suspects.get_or_create(&labels).set(refusal.left.as_secs_f64());
        }
        self.server_limits.clear();
        self.own_limits.clear();
        for KnownLimit { server, rate, own } in self.shared.limits.limits() {
            let labels = ServerLabels { server: server.to_string() };
            self.server_limits.get_or_create(&labels).set(rate.0);
            self.own_limits.get_or_create(&labels).set(own.0);
        }
        self.cold_servers.set(self.shared.limits.cold_count() as i64);
        self.evacuated.clear();
        for (domain, servers) in self.view.evacuated_servers() {
            let labels = DomainLabels { domain: domain.to_string() };
            self.evacuated.get_or_create(&labels).set(servers as i64);
        }
        self.held_bytes.set(i64::try_from(self.shared.buffers.held().0).unwrap_or(i64::MAX));
        self.render_callers();
        self.render_paths();
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "failed to encode the metrics");
        }
        text
    }

    fn render_callers(&self) {
        let connections = &self.shared.connections;
        self.open_connections.set(connections.len() as i64);
        for cause in CutCause::ALL {
            let counter = self.cut_connections.get_or_create(&CutLabels { why: cause.label() });
            counter.inner().store(connections.cut_count(cause), Ordering::Relaxed);
        }
        self.evicted_bodies.inner().store(self.shared.buffers.evictions(), Ordering::Relaxed);
    }

    fn render_paths(&self) {
        let counts = self.shared.paths.counts();
        let set = |path, made| {
            let connections = self.connections.get_or_create(&PathLabels { path });
            connections.inner().store(made, Ordering::Relaxed);
        };
        set("direct", counts.direct);
        set("peer", counts.forwarded);
        self.detoured.set(counts.detoured as i64);
        self.open_forwards.set(counts.open_forwards as i64);
    }
}
