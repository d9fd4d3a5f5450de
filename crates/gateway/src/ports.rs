//! Interfaces to everything outside the process, which tests replace by fakes.

use {
    base::SharedClock,
    engine::{EngineReports, ModelBackend, ServiceBackend},
    infra::TableStore,
    std::{
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Wall-clock time, for times that other hosts or people read. Dispatching does not depend on it.
pub trait WallClock: Send + Sync {
    /// Milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}

/// The operating system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemWallClock;

impl WallClock for SystemWallClock {
    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The clocks, backend servers and platform services that the gateway uses.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Monotonic clock, for deadlines and the expiry of evidence.
    pub clock: SharedClock,
    /// Wall clock, for the times in stored claims.
    pub wall: Arc<dyn WallClock>,
    /// Dispatches completions to model engines and probes their hosts.
    pub models: Arc<dyn ModelBackend>,
    /// Dispatches calls to servers of plain services.
    pub services: Arc<dyn ServiceBackend>,
    /// Fetches load reports, states and cache events of backend servers.
    pub reports: Arc<dyn EngineReports>,
    /// The table service, which stores claims of idempotency keys.
    pub table: Arc<dyn TableStore>,
}
