//! State that all requests of a process share.

use {
    crate::{
        codec::AnswerFacts,
        config::RelayConfig,
        costs::CostBook,
        descriptors::DescriptorSettings,
        limit_watch::LimitWatch,
        memory::MemoryBudget,
        metrics::RelayMetrics,
        poison_watch::PoisonWatch,
        retry::RetryBudget,
        room::RoomWatch,
        server::{BackendServer, ServerId, ServerTable},
        standing::ConfigStanding,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    base::{SharedClock, Tick},
    caller::ConnectionTable,
    reach::ServerPaths,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize},
    },
    stop::{OpenWork, PauseWatch, StopWatch},
    tokio::sync::{mpsc, watch},
    tracing::info,
};

/// What requests show about a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerSign {
    /// Requests stall or fail there; the owner of its fabric domain should probe it.
    Stalled(ServerId),
    /// It said in an answer that it is leaving.
    Leaving(ServerId),
}

/// State shared by all requests of a process.
pub struct RelayShared {
    /// The configuration in force; empty until the first one is received.
    pub config: ArcSwapOption<RelayConfig>,
    /// How recent that configuration is known to be. Set after the configuration is replaced.
    pub standing: watch::Sender<ConfigStanding>,
    /// The servers that accept requests now, by service.
    pub servers: ArcSwap<ServerTable>,
    /// This process's share of the retry limit.
    pub budget: Arc<RetryBudget>,
    /// Number of processes that share the retry limit.
    pub processes: AtomicUsize,
    /// Whether callers already use the system. Set by the first request that has a route and, where
    /// the route requires one, a known key. The node also sets it when a peer says so, and at a
    /// start that is not the first. Never reset.
    pub in_traffic: AtomicBool,
    /// Whether and how this process is about to stop.
    pub stop: StopWatch,
    /// Requests that have begun and not ended.
    pub work: Arc<OpenWork>,
    /// Metrics of requests and sends.
    pub metrics: RelayMetrics,
    /// Parts of prompts that crash servers.
    pub poison: Arc<PoisonWatch>,
    /// Sizes of answers and errors of expected times.
    pub costs: Arc<CostBook>,
    /// Request rates that servers have named.
    pub limits: LimitWatch,
    /// Room at the servers.
    pub(crate) room: RoomWatch,
    /// Opens connections to servers.
    pub paths: Arc<ServerPaths>,
    /// Clock for deadlines, back-off and latencies.
    pub clock: SharedClock,
    /// When this process stood still; `None` if nobody notes that it runs.
    pub pauses: Option<Arc<PauseWatch>>,
    /// Memory for what callers and servers send.
    pub buffers: Arc<MemoryBudget>,
    /// The open connections of callers.
    pub connections: Arc<ConnectionTable>,
    /// The descriptors that the process may use.
    pub descriptors: DescriptorSettings,
    /// Passes what requests show about servers to a task of the node.
    pub signs: mpsc::Sender<ServerSign>,
}

impl RelayShared {
    /// Creates the state without a configuration and without servers.
    pub fn new(clock: SharedClock, budget: RetryBudget, signs: mpsc::Sender<ServerSign>) -> Self {
        let metrics = RelayMetrics::default();
        let costs = CostBook::new(metrics.first_event_errors(), clock.clone());
        Self {
            config: ArcSwapOption::empty(),
            standing: watch::Sender::default(),
            servers: ArcSwap::from_pointee(ServerTable::default()),
            budget: Arc::new(budget),
            processes: AtomicUsize::new(1),
            in_traffic: AtomicBool::new(false),
            stop: StopWatch::default(),
            work: Arc::default(),
            metrics,
            poison: PoisonWatch::new(clock.clone()),
            costs: Arc::new(costs),
            limits: LimitWatch::new(clock.clone()),
            room: RoomWatch::default(),
            paths: Arc::default(),
            clock,
            pauses: None,
            buffers: Arc::default(),
            connections: Arc::default(),
            descriptors: DescriptorSettings::default(),
            signs,
        }
    }

    /// Closes connections of callers for which there are not enough descriptors; false if too many remain,
    /// whose requests are at work.
    pub(crate) fn keep_descriptors(&self) -> bool {
        self.connections.keep_within(self.most_connections())
    }

    /// Closes connections of callers until there are enough descriptors and enough memory for a new one;
    /// false if too many remain, whose requests are at work.
    pub(crate) fn make_place(&self) -> bool {
        let most = self.most_connections().min(self.buffers.most_connections());
        self.connections.keep_within(most.saturating_sub(1))
    }

    /// Connections of callers that there are descriptors for.
    fn most_connections(&self) -> usize {
        // A request at work has a connection to a server, a forward one to a peer and one to a server.
        let others = self.work.len() + 2 * self.paths.open_forwards();
        self.descriptors.for_callers().saturating_sub(others)
    }

    /// Reports that requests stall at a server; the report is dropped when the channel is full.
    pub(crate) fn report_stall(&self, server: &BackendServer) {
        let _ = self.signs.try_send(ServerSign::Stalled(server.id.clone()));
    }

    /// Applies what the head of an answer, received at `now` to a request sent at `sent_at`, says
    /// about its server.
    pub(crate) fn note_facts(
        &self,
        server: &BackendServer,
        facts: &AnswerFacts,
        sent_at: Tick,
        now: Tick,
    ) {
        if let Some(report) = facts.load {
            server.counters.note_load(report, now);
        }
        self.poison.note_answer(&server.id, sent_at);
        self.limits.note_answer(&server.id, facts.limit, sent_at, "request");
        if let Some(span) = facts.quiet {
            server.counters.note_quiet(now, span);
            info!(decision = "server-quiet", server = %server.id,
                span_ms = span.as_millis() as u64, "request");
        }
        if facts.leaving {
            server.counters.note_leaving();
            if self.signs.try_send(ServerSign::Leaving(server.id.clone())).is_err() {
                info!(decision = "leaving-not-passed-on", server = %server.id, "request");
            }
        }
    }
}
