//! The outside world, as the gateway needs it.

use {
    base::SharedClock,
    engine::{EngineReports, ModelBackend, ServiceBackend},
    infra::TableStore,
    std::{
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Wall-clock time, for what other hosts and people read; no decision on a dispatch rests on it.
pub trait WallClock: Send + Sync {
    /// Milliseconds since 1970.
    fn unix_ms(&self) -> u64;
}

/// The machine's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemWallClock;

impl WallClock for SystemWallClock {
    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Everything outside the process that requests need.
#[derive(Clone)]
pub struct GatewayPorts {
    /// This process's clock.
    pub clock: SharedClock,
    /// Wall-clock time.
    pub wall: Arc<dyn WallClock>,
    /// Model engines.
    pub models: Arc<dyn ModelBackend>,
    /// Plain services.
    pub services: Arc<dyn ServiceBackend>,
    /// Load and cache events of backend servers.
    pub reports: Arc<dyn EngineReports>,
    /// The table service.
    pub table: Arc<dyn TableStore>,
}
