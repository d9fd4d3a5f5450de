//! A configuration as the operators wrote it, in the order of its entries.

use {
    base::ServiceName,
    node::EngineService,
    relay::{CallerLimits, MemorySettings, RouteRule, WorkspaceRule},
    smol_str::SmolStr,
    std::time::Duration,
};

/// A route with the host name that it serves.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRoute {
    /// Host name of the requests.
    pub host: SmolStr,
    /// How the requests are handled.
    pub rule: RouteRule,
}

/// One version of the configuration before it is indexed. An index would drop entries that repeat
/// others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDraft {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<HostRoute>,
    /// The services, also those without model engines.
    pub services: Vec<ServiceName>,
    /// The services with model engines.
    pub engines: Vec<EngineService>,
    /// The workspaces with their keys.
    pub workspaces: Vec<WorkspaceRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// What the processes allow that will use the configuration, from their settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessBounds {
    /// Memory of one process.
    pub memory: MemorySettings,
    /// Time between the order to stop and the end of a process.
    pub grace: Duration,
    /// Whether any request may be sent to a second server.
    pub allows_retries: bool,
}
