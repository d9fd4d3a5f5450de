//! The configuration in force: routes, services, workspaces and what callers may send.

use {
    crate::request::RequestKind,
    base::{ServiceName, WorkspaceId},
    smol_str::SmolStr,
    std::{collections::HashMap, time::Duration},
};

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSplit {
    /// The service.
    pub service: ServiceName,
    /// Its part, against the other parts of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: SmolStr,
    /// The beginning of the paths it takes.
    pub prefix: SmolStr,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Servers that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Where its requests go.
    pub splits: Vec<ServiceSplit>,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceRule {
    /// The workspace.
    pub name: WorkspaceId,
    /// Its keys.
    pub keys: Vec<SmolStr>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest time without a request on an open connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayConfig {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    hosts: HashMap<SmolStr, Vec<RouteRule>>,
    keys: HashMap<SmolStr, WorkspaceId>,
    with_keys: bool,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Indexes the parts of a configuration; each route comes with the host it belongs to.
    pub fn new(
        version: u64,
        routes: Vec<(SmolStr, RouteRule)>,
        workspaces: Vec<WorkspaceRule>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<RouteRule>> = HashMap::new();
        for (host, rule) in routes {
            hosts.entry(host).or_default().push(rule);
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
            rules.shrink_to_fit();
        }
        let with_keys = !workspaces.is_empty();
        let mut keys = HashMap::new();
        for workspace in workspaces {
            for key in workspace.keys {
                keys.insert(key, workspace.name.clone());
            }
        }
        Self { version, hosts, keys, with_keys, limits }
    }

    /// The route of a path at a host: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.hosts.get(host)?.iter().find(|rule| path.starts_with(rule.prefix.as_str()))
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        self.keys.get(key)
    }

    /// Whether callers need keys at all.
    pub fn needs_keys(&self) -> bool {
        self.with_keys
    }

    /// Number of routes, for logs.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
