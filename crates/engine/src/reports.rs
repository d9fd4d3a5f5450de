//! The port through which routing reads the load and prefix caches of engines.

use {
    crate::{EngineError, EngineState},
    async_trait::async_trait,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

base::value_type!(
    /// The load that an engine or plain service reports; it lags behind the actual load.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Number of requests that hold a slot.
        pub running: u32,
        /// Number of requests that wait for a slot.
        pub queued: u32,
        /// Largest number of requests that run concurrently.
        pub slots: u32,
        /// Free share of the KV cache memory, 0 to 1000.
        pub kv_free_permille: u32,
    }
);

base::value_type!(
    /// Whether a prefix entered or left the engine's cache.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum CacheEventKind {
        /// The prefix was added to the cache.
        Stored,
        /// The prefix was removed to free memory.
        Evicted,
    }
);

base::value_type!(
    /// One change of an engine's prefix cache.
    pub struct CacheEvent {
        /// Consecutive number per engine; a gap means that events were lost.
        pub number: u64,
        /// Hash of the prefix as [`prefix_name`](crate::prompt::prefix_name) writes it.
        pub prefix: SmolStr,
        /// Whether the prefix was stored or evicted.
        pub kind: CacheEventKind,
    }
);

base::value_type!(
    /// JSON reply to a request for cache events.
    #[derive(Default)]
    pub struct CacheEventPage {
        /// In ascending order of their numbers; may be late and have gaps.
        pub events: Vec<CacheEvent>,
    }
);

/// Reads the reports of engines, and the load of plain services.
#[async_trait]
pub trait EngineReports: Send + Sync {
    /// Reads an engine's load report.
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Reads a plain service's load report; fails with [`EngineError::Unreadable`] when the service
    /// does not offer one.
    async fn service_load(&self, address: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Probes an engine for its state.
    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError>;

    /// Reads the cache events with a number above `after` that the engine still holds.
    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEventPage, EngineError>;
}
