//! What all parts of the gateway share.

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
    tokio::sync::Notify,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    uuid::Uuid,
};

/// When to come back to a gateway that has nothing better to say.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Pairs of prefix and group that are remembered; 8 bytes each.
const PREFIX_ENTRIES: usize = 65_536;
/// Longest wait for a claim, as a multiple of the platform's timeout.
const CLAIM_PATIENCE: u64 = 2;

/// Shared by every request of the process.
pub struct GatewayCore {
    /// The settings.
    pub settings: GatewaySettings,
    /// The outside world.
    pub ports: GatewayPorts,
    /// The present state.
    pub state: StateCell,
    /// Which groups hold which prefixes of prompts.
    pub prefixes: Arc<PrefixTable>,
    /// The claims of this gateway.
    pub claims: ClaimLedger,
    /// Runs of requests.
    pub runs: TaskTracker,
    /// What must still be done when the caller has its answer.
    pub bookkeeping: TaskTracker,
    /// What is counted.
    pub meters: GatewayMeters,
    /// Told when a controller answered with shares of the workspaces' limits.
    pub shares_taken: Notify,
    /// Set when a planned stop begins.
    pub draining: CancellationToken,
    life: Uuid,
    attempts: AtomicU64,
}

impl GatewayCore {
    /// A gateway without any state yet; must be called inside a tokio runtime.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts) -> Self {
        let window = Duration::from_millis(settings.freshness.window_ms);
        let bookkeeping = TaskTracker::new();
        let claims = ledger(&settings, &ports, bookkeeping.clone());
        let builder =
            SnapshotBuilder { clock: ports.clock.clone(), retry_percent: settings.retry_percent };
        Self {
            settings,
            ports,
            state: StateCell::new(builder, window),
            prefixes: Arc::new(PrefixTable::new(PREFIX_ENTRIES)),
            claims,
            runs: TaskTracker::new(),
            bookkeeping,
            meters: GatewayMeters::default(),
            shares_taken: Notify::new(),
            draining: CancellationToken::new(),
            life: Uuid::new_v4(),
            attempts: AtomicU64::new(0),
        }
    }

    /// The present time.
    pub fn now(&self) -> Tick {
        self.ports.clock.now()
    }

    /// Bounds of what callers may ask for.
    pub fn bounds(&self) -> DeadlineBounds {
        DeadlineBounds {
            default_deadline: Duration::from_millis(self.settings.default_deadline_ms),
            max_deadline: Duration::from_millis(self.settings.max_deadline_ms),
        }
    }

    /// An attempt id that no other life of any gateway gives.
    pub fn next_attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId::new(format!("{}-{number}", self.life.simple())).expect("hexadecimal digits")
    }

    /// The present state, if it may be acted on; else a refusal that names other gateways.
    pub fn current_state(&self) -> Result<Arc<RoutingSnapshot>, Refusal> {
        let snapshot = self.state.load();
        if snapshot.evidence.is_current(self.now()) {
            return Ok(snapshot);
        }
        Err(self.isolated(&snapshot))
    }

    /// The refusal of a gateway that cannot know the newest state.
    pub fn isolated(&self, snapshot: &RoutingSnapshot) -> Refusal {
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

    /// Who sends a request, by the present state.
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
    pub fn too_late(&self) -> Refusal {
        let detail = "the deadline passed before the request was dispatched; name a later one";
        Refusal::not_run(RefusalKind::DeadlinePassed, detail).retry_after(DEFAULT_RETRY_AFTER)
    }
}

fn ledger(
    settings: &GatewaySettings,
    ports: &GatewayPorts,
    bookkeeping: TaskTracker,
) -> ClaimLedger {
    let rules = BatchRules {
        window: Duration::from_millis(settings.claim_batch_ms),
        max_changes: settings.claim_batch_max as usize,
    };
    let batcher = RowBatcher::start(ports.table.clone(), rules);
    let patience = Duration::from_millis(settings.platform.timeout_ms * CLAIM_PATIENCE);
    let host = settings.host.clone();
    let table = ports.table.clone();
    ClaimLedger::new(batcher, table, bookkeeping, ports.wall.clone(), host, patience)
}
