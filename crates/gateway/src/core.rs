//! The process-wide state: settings, the latest snapshot, claims, task trackers and metrics.

use {
    crate::{
        claims::{BatchRules, ClaimLedger, RowBatcher},
        metrics::GatewayMeters,
        ports::GatewayPorts,
        refusal::{Refusal, RefusalKind},
        request_context::DeadlineBounds,
        snapshot::{CallerIdentity, KeyDigest, RoutingSnapshot},
        snapshot_build::SnapshotBuilder,
        state_cell::StateCell,
    },
    base::{AttemptId, Tick},
    conf::settings::GatewaySettings,
    route::PrefixTable,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    stop::{OpenWork, StopWatch},
    tokio::sync::Notify,
    tokio_util::task::TaskTracker,
    uuid::Uuid,
};

/// Retry delay sent with refusals for which no better estimate exists.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Capacity of the prefix table, in pairs of prefix and group of 8 bytes each.
const PREFIX_ENTRIES: usize = 65_536;
/// Timeout of a claim, as a multiple of the timeout of one call of the table service.
const CLAIM_TIMEOUT_FACTOR: u64 = 2;

/// State of the gateway process, shared through an `Arc` by requests and background tasks.
pub struct GatewayCore {
    /// Settings of the process; they do not change while it runs.
    pub settings: GatewaySettings,
    /// Clocks, backend servers and the table service.
    pub ports: GatewayPorts,
    /// The latest snapshot of the known state.
    pub state: StateCell,
    /// The prompt prefixes in each serving group's cache, as far as known from cache events.
    pub prefixes: Arc<PrefixTable>,
    /// Claims of idempotency keys by this gateway.
    pub claims: ClaimLedger,
    /// Tasks that run requests; a planned stop waits for them.
    pub runs: TaskTracker,
    /// Tasks that may continue after the caller has its answer: writes of claims, cancellations at
    /// engines, and reading responses to their end. A planned stop waits for them.
    pub background_tasks: TaskTracker,
    /// Metrics of the process.
    pub meters: GatewayMeters,
    /// Notified after each answered poll, when the grants in the answer have been applied.
    pub shares_updated: Notify,
    /// Tells whether the process is stopping, and when last answers are due.
    pub stop: StopWatch,
    /// Requests that have begun and not ended.
    pub work: Arc<OpenWork>,
    instance_id: Uuid,
    attempts: AtomicU64,
    requests: AtomicU64,
}

impl GatewayCore {
    /// Creates an isolated gateway, without any state. Must be called inside a tokio runtime.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts) -> Self {
        let window = Duration::from_millis(settings.freshness.window_ms);
        let background_tasks = TaskTracker::new();
        let stop = StopWatch::default();
        let claims = new_claim_ledger(&settings, &ports, background_tasks.clone(), stop.clone());
        let builder =
            SnapshotBuilder { clock: ports.clock.clone(), retry_percent: settings.retry_percent };
        Self {
            settings,
            ports,
            state: StateCell::new(builder, window),
            prefixes: Arc::new(PrefixTable::new(PREFIX_ENTRIES)),
            claims,
            runs: TaskTracker::new(),
            background_tasks,
            meters: GatewayMeters::default(),
            shares_updated: Notify::new(),
            stop,
            work: Arc::default(),
            instance_id: Uuid::new_v4(),
            attempts: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Monotonic time of the process's clock.
    pub fn now(&self) -> Tick {
        self.ports.clock.now()
    }

    /// The default and the maximum of request deadlines.
    pub fn bounds(&self) -> DeadlineBounds {
        DeadlineBounds {
            default_deadline: Duration::from_millis(self.settings.default_deadline_ms),
            max_deadline: Duration::from_millis(self.settings.max_deadline_ms),
        }
    }

    /// Returns an attempt id that is unique across all gateways and their restarts.
    pub fn next_attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId::new(format!("{}-{number}", self.instance_id.simple()))
            .expect("hexadecimal digits")
    }

    /// Returns a number that no other request of this process has.
    pub fn next_request_number(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the latest snapshot while the gateway is current.
    ///
    /// # Errors
    ///
    /// While it is isolated, returns a refusal that lists other gateways.
    pub fn current_state(&self) -> Result<Arc<RoutingSnapshot>, Refusal> {
        let snapshot = self.state.load();
        if snapshot.evidence.is_current(self.now()) {
            return Ok(snapshot);
        }
        Err(self.isolated_refusal(&snapshot))
    }

    /// The refusal of new work by an isolated gateway, with the addresses of other gateways.
    pub fn isolated_refusal(&self, snapshot: &RoutingSnapshot) -> Refusal {
        let others: Vec<_> = snapshot
            .gateways
            .iter()
            .filter(|entry| entry.host != self.settings.host)
            .cloned()
            .collect();
        let detail =
            "this gateway has had no word on the newest configuration; use another address";
        Refusal::not_run(RefusalKind::Isolated, detail)
            .retry_after(DEFAULT_RETRY_AFTER)
            .with_addresses(&others)
    }

    /// Identifies the caller by the digest of its bearer key.
    ///
    /// # Errors
    ///
    /// Refuses the request if no workspace in the snapshot has the key.
    pub fn identify(
        &self,
        snapshot: &RoutingSnapshot,
        digest: &KeyDigest,
    ) -> Result<CallerIdentity, Refusal> {
        snapshot.caller(digest).cloned().ok_or_else(|| {
            let detail = "no workspace knows this bearer key; ask the operator for a valid one";
            Refusal::not_run(RefusalKind::UnknownKey, detail)
        })
    }

    /// The refusal of a request whose deadline passed before it was dispatched.
    pub fn deadline_passed(&self) -> Refusal {
        let detail = "the deadline passed before the request was dispatched; name a later one";
        Refusal::not_run(RefusalKind::DeadlinePassed, detail).retry_after(DEFAULT_RETRY_AFTER)
    }
}

fn new_claim_ledger(
    settings: &GatewaySettings,
    ports: &GatewayPorts,
    background_tasks: TaskTracker,
    stop: StopWatch,
) -> ClaimLedger {
    let rules = BatchRules {
        window: Duration::from_millis(settings.claim_batch_ms),
        max_changes: settings.claim_batch_max as usize,
    };
    let batcher = RowBatcher::start(ports.table.clone(), rules);
    let claim_timeout = Duration::from_millis(settings.platform.timeout_ms * CLAIM_TIMEOUT_FACTOR);
    let host = settings.host.clone();
    let table = ports.table.clone();
    let wall = ports.wall.clone();
    ClaimLedger::new(batcher, table, background_tasks, wall, host, claim_timeout, stop)
}
