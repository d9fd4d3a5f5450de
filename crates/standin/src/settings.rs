//! Settings of `gf-standin`, written in YAML; every field has a default.

use {
    base::{FabricDomainId, FailureDomainId, RegionId, ServiceName},
    conf::{CheckSettings, ConfigErrorList, FieldPath, bounds::check_range, settings::LogFormat},
    infra::HostEntry,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{collections::HashSet, net::SocketAddr, ops::RangeInclusive},
};

/// Entries of a history.
const HISTORY_ENTRIES: RangeInclusive<usize> = 1..=100_000_000;
/// Time between two tokens, in milliseconds.
const TOKEN_INTERVAL_MS: RangeInclusive<u64> = 1..=60_000;
/// Shares in percent.
const PERCENT: RangeInclusive<u32> = 0..=100;

/// Settings of the whole process. An address with port 0 is chosen by the operating system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinSettings {
    /// Where the table service listens.
    pub table_listen: SocketAddr,
    /// Where the object store listens.
    pub objects_listen: SocketAddr,
    /// Where the host list listens.
    pub hosts_listen: SocketAddr,
    /// Where faults are switched and histories are read.
    pub control_listen: SocketAddr,
    /// Seed of every random choice.
    pub seed: u64,
    /// How far the host list lags, in milliseconds.
    pub host_lag_ms: u64,
    /// Time that each call of the table service takes, in milliseconds.
    pub table_delay_ms: u64,
    /// Model loads that the weight store sustains a second over all hosts; 0 for no bound.
    pub weight_loads_per_second: u32,
    /// Most entries that each history keeps; older ones are dropped and counted.
    pub history_limit: usize,
    /// How the model engines behave.
    pub engine: EngineSettings,
    /// The engine hosts.
    pub fabric_domains: Vec<DomainSettings>,
    /// The plain services.
    pub services: Vec<ServiceSettings>,
    /// Entry hosts in the host list.
    pub entry_hosts: Vec<HostEntry>,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written, as a `tracing` filter.
    pub log_filter: SmolStr,
}

impl Default for StandinSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            table_listen: any,
            objects_listen: any,
            hosts_listen: any,
            control_listen: any,
            seed: 1,
            host_lag_ms: 200,
            table_delay_ms: 0,
            weight_loads_per_second: 0,
            history_limit: 1_000_000,
            engine: EngineSettings::default(),
            fabric_domains: Vec::new(),
            services: Vec::new(),
            entry_hosts: Vec::new(),
            log_format: LogFormat::Text,
            log_filter: SmolStr::new("info"),
        }
    }
}

/// What an engine does when a member of its group is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IncompleteMode {
    /// It takes the prompt and makes no token until the member is back.
    #[default]
    Stall,
    /// It refuses the prompt as not run.
    Refuse,
}

/// How a model engine behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Time to load a model, in milliseconds, when the weight store is idle.
    pub load_ms: u64,
    /// Time between two tokens of a stream, in milliseconds.
    pub token_interval_ms: u64,
    /// Time to read one prompt block that is not cached, in microseconds.
    pub prefill_block_us: u64,
    /// Tokens of an answer whose request names no number.
    pub default_tokens: u64,
    /// Requests that may wait for a slot.
    pub queue_limit: u32,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// Whether a dropped connection cancels its request.
    pub cancel_on_disconnect: bool,
    /// What the engine does when a member of its group is missing.
    pub incomplete: IncompleteMode,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late cache events are published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Cache events that are lost, in percent.
    pub cache_event_loss_percent: u32,
    /// How far load reports lag, in milliseconds.
    pub load_report_lag_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            load_ms: 500,
            token_interval_ms: 10,
            prefill_block_us: 200,
            default_tokens: 32,
            queue_limit: 64,
            check_fencing: true,
            cancel_on_disconnect: true,
            incomplete: IncompleteMode::Stall,
            cache_blocks: 4_096,
            cache_event_lag_ms: 200,
            cache_event_loss_percent: 1,
            load_report_lag_ms: 500,
        }
    }
}

/// The engine hosts of one fabric domain, named `{name}-h1`, `{name}-h2` and so on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSettings {
    /// The fabric domain.
    pub name: FabricDomainId,
    /// The failure domain its hosts stand in.
    pub failure_domain: FailureDomainId,
    /// The region its hosts stand in.
    pub region: RegionId,
    /// Number of hosts.
    pub hosts: u32,
    /// Accelerators of a host.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// Address of the first host; the others take the ports behind it.
    #[serde(default = "any_address")]
    pub listen: SocketAddr,
}

/// The servers of one plain service, named `{name}-s1`, `{name}-s2` and so on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The service.
    pub name: ServiceName,
    /// The failure domains of its servers, used in turn.
    pub failure_domains: Vec<FailureDomainId>,
    /// The region its servers stand in.
    pub region: RegionId,
    /// Number of servers.
    pub servers: u32,
    /// Time that a call takes, in milliseconds.
    #[serde(default = "default_run_ms")]
    pub run_ms: u64,
    /// Calls that one server runs at once; more are refused as not run.
    #[serde(default = "default_service_slots")]
    pub slots: u32,
    /// Address of the first server; the others take the ports behind it.
    #[serde(default = "any_address")]
    pub listen: SocketAddr,
}

fn default_accelerators() -> u32 {
    8
}

fn default_run_ms() -> u64 {
    20
}

fn default_service_slots() -> u32 {
    64
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl CheckSettings for StandinSettings {
    fn check(&self, path: &FieldPath, faults: &mut ConfigErrorList) {
        check_range(faults, path.field("history_limit"), self.history_limit, &HISTORY_ENTRIES);
        self.engine.check(&path.field("engine"), faults);
        let mut names = HashSet::new();
        let domains = path.field("fabric_domains");
        for (at, domain) in self.fabric_domains.iter().enumerate() {
            let name = domains.index(at).field("name");
            check_new(&mut names, domain.name.as_str(), name, faults);
        }
        let services = path.field("services");
        for (at, service) in self.services.iter().enumerate() {
            let name = services.index(at).field("name");
            check_new(&mut names, service.name.as_str(), name, faults);
            if service.failure_domains.is_empty() {
                let domains = services.index(at).field("failure_domains");
                faults.push(domains, "empty", "name at least one failure domain");
            }
        }
    }
}

impl CheckSettings for EngineSettings {
    fn check(&self, path: &FieldPath, faults: &mut ConfigErrorList) {
        let interval = path.field("token_interval_ms");
        check_range(faults, interval, self.token_interval_ms, &TOKEN_INTERVAL_MS);
        let loss = path.field("cache_event_loss_percent");
        check_range(faults, loss, self.cache_event_loss_percent, &PERCENT);
    }
}

fn check_new<'a>(
    names: &mut HashSet<&'a str>,
    name: &'a str,
    path: FieldPath,
    faults: &mut ConfigErrorList,
) {
    if !names.insert(name) {
        faults.push(path, format!("`{name}` stands twice"), "give each its own name");
    }
}
