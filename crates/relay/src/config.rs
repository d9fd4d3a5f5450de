//! The configuration in force: routes, services, workspaces and limits for callers.

use {
    crate::{request::RequestKind, terms::ServingTerms},
    base::{ServiceName, WorkspaceId},
    cost::EngineSpeed,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSplit {
    /// Service that gets the share.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the weights of its other services. A service with a
    /// weight of 0 or less gets no requests.
    pub weight: f64,
}

/// Where requests for one path prefix go, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route in logs.
    pub name: SmolStr,
    /// Prefix of the paths that it matches.
    pub prefix: SmolStr,
    /// Whether its requests may be retried, and whether their answers are streams.
    pub kind: RequestKind,
    /// Upper bound on the time for a whole request, also for callers with a longer deadline.
    pub timeout: Duration,
    /// Maximum number of servers that one request is sent to; retries and resumed streams count.
    pub attempts: u32,
    /// Whether callers may use the route without a key.
    pub public: bool,
    /// Services that share its requests.
    pub splits: Vec<ServiceSplit>,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Workspace that callers with one of the keys belong to.
    pub name: WorkspaceId,
    /// Keys with which callers authenticate as this workspace.
    pub keys: Vec<SmolStr>,
}

/// Limits on the size of callers' requests, on the time for sending them and on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which callers send a request head. The server waits longer, see `idle_time`.
    pub head_time: Duration,
    /// Time after which callers close a connection without a request. The server closes a
    /// connection that delivers no complete request head for 1.5 times the longer of `idle_time`
    /// and `head_time`.
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
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    hosts: HashMap<SmolStr, Vec<RouteRule>>,
    keys: HashMap<SmolStr, WorkspaceId>,
    has_keys: bool,
    /// Goals and priorities. Sent to other processes behind the other fields, where an earlier version
    /// of this program ignores them.
    #[serde(skip)]
    terms: ServingTerms,
    /// Limits on callers' requests and connections. A new version's limits on heads and on idle
    /// time apply to connections that are accepted later, its limit on bodies to all later
    /// requests.
    pub limits: CallerLimits,
    /// Kept out of the encoded form, which earlier versions of this program read too; see
    /// [`Self::engines`].
    #[serde(skip)]
    engines: EngineSpeeds,
}

/// The speeds of the engines of each service that has some.
pub type EngineSpeeds = BTreeMap<ServiceName, Arc<EngineSpeed>>;

impl RelayConfig {
    /// Indexes the parts of a configuration. Each route is paired with the host name that it serves.
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
        let has_keys = !workspaces.is_empty();
        let mut keys = HashMap::new();
        for workspace in workspaces {
            for key in workspace.keys {
                keys.insert(key, workspace.name.clone());
            }
        }
        let (terms, engines) = (ServingTerms::default(), EngineSpeeds::new());
        Self { version, hosts, keys, has_keys, terms, limits, engines }
    }

    /// The same configuration with the speeds of its engines.
    pub fn with_engines(self, engines: EngineSpeeds) -> Self {
        Self { engines, ..self }
    }

    /// The speeds of all engines.
    pub fn engines(&self) -> &EngineSpeeds {
        &self.engines
    }

    /// The speed of a service's engines; `None` for a service without engines, or of unknown speed.
    pub fn engine_speed(&self, service: &ServiceName) -> Option<&Arc<EngineSpeed>> {
        self.engines.get(service)
    }

    /// The same configuration with goals and priorities.
    pub fn with_terms(self, terms: ServingTerms) -> Self {
        Self { terms, ..self }
    }

    /// Goals and priorities.
    pub fn terms(&self) -> &ServingTerms {
        &self.terms
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.hosts.get(host)?.iter().find(|rule| path.starts_with(rule.prefix.as_str()))
    }

    /// The workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        self.keys.get(key)
    }

    /// Whether routes that are not public require a key: true if any workspace is configured.
    pub fn needs_keys(&self) -> bool {
        self.has_keys
    }

    /// Number of routes, for logs.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
