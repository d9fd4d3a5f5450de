//! Settings of each daemon, written in YAML.
//!
//! Every field has a default. Fields whose names end in `_ms` are in milliseconds.

use {
    base::{FailureDomainId, HostId, RegionId},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Logs state changes of the daemons; leaves out the HTTP library's `slog` line for each request.
pub const DEFAULT_LOG_FILTER: &str = "info,slog=warn";

/// Format of log lines; text by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text, one line per event.
    #[default]
    Text,
    /// JSON Lines: one JSON object per event.
    Json,
}

/// Addresses of the platform's services, with the timeout of requests to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the transactional table service, which stores the durable state.
    pub table: SocketAddr,
    /// Address of the object store; validated, but no daemon connects to it.
    pub objects: SocketAddr,
    /// Address of the service that lists the hosts and their failure and fabric domains.
    pub hosts: SocketAddr,
    /// Timeout of one request to a platform service.
    pub timeout_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 7400));
        Self { table: local, objects: local, hosts: local, timeout_ms: 1_000 }
    }
}

/// Timing of the freshness rule (see the `freshness` crate); must be the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FreshnessSettings {
    /// Maximum age of a node's proof that the state head it holds was the newest; without such
    /// proof the node may not act on the head.
    pub window_ms: u64,
    /// Added to the window before a change is in force, to cover the drift between clocks.
    pub margin_ms: u64,
    /// Upper bound of the time that an order to an engine may be in flight.
    pub order_flight_ms: u64,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self { window_ms: 3_000, margin_ms: 500, order_flight_ms: 1_000 }
    }
}

/// Settings of `gf-controller`, the process of an entry host that joins the view and may own
/// fabric domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControllerSettings {
    /// Id of the entry host that runs this process.
    pub host: HostId,
    /// Failure domain of `host`, published in the member row of this controller.
    pub failure_domain: FailureDomainId,
    /// Region of `host`, published in the member row of this controller.
    pub region: RegionId,
    /// Listen address (UDP and TCP) for other controllers and for the gateways of all hosts.
    pub peer_listen: SocketAddr,
    /// Listen address of the operators' HTTP interface.
    pub admin_listen: SocketAddr,
    /// Address of this host's gateway, which callers receive in address answers.
    pub gateway_address: SocketAddr,
    /// Addresses and timeout of the platform's services.
    pub platform: PlatformSettings,
    /// Timing of the freshness rule; must be the same on every node.
    pub freshness: FreshnessSettings,
    /// Interval between reads of the state head; must be shorter than the window.
    pub head_poll_ms: u64,
    /// Interval between reads of the host list.
    pub host_poll_ms: u64,
    /// Interval between polls of a random peer; must be shorter than the window.
    pub peer_poll_ms: u64,
    /// Interval between probes of each engine in the fabric domains that this controller owns.
    pub engine_poll_ms: u64,
    /// Time limit of a planned stop, after which the process ends without waiting further.
    pub stop_limit_ms: u64,
    /// Format of log lines; text by default.
    pub log_format: LogFormat,
    /// `tracing` filter directives, such as `warn,gateway=debug`.
    pub log_filter: SmolStr,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            host: HostId::new("entry-1").expect("a valid literal"),
            failure_domain: FailureDomainId::new("fd-1").expect("a valid literal"),
            region: RegionId::new("local").expect("a valid literal"),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 7301)),
            admin_listen: SocketAddr::from(([127, 0, 0, 1], 7302)),
            gateway_address: SocketAddr::from(([127, 0, 0, 1], 7303)),
            platform: PlatformSettings::default(),
            freshness: FreshnessSettings::default(),
            head_poll_ms: 1_000,
            host_poll_ms: 1_000,
            peer_poll_ms: 500,
            engine_poll_ms: 500,
            stop_limit_ms: 20_000,
            log_format: LogFormat::Text,
            log_filter: SmolStr::new(DEFAULT_LOG_FILTER),
        }
    }
}

/// Settings of `gf-gateway`, the process of an entry host that serves callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySettings {
    /// Id of the entry host that runs this process.
    pub host: HostId,
    /// Failure domain of `host`; the gateway does not use it.
    pub failure_domain: FailureDomainId,
    /// Region of `host`; address answers list the gateways of this region first.
    pub region: RegionId,
    /// Listen address for callers' HTTP requests.
    pub listen: SocketAddr,
    /// Listen address for metrics and health checks; not part of address answers to callers.
    pub admin_listen: SocketAddr,
    /// The controller on this host, from which the gateway also learns the addresses of others.
    pub controller: SocketAddr,
    /// Controllers to poll in addition to the one on this host, for when that one is down.
    pub other_controllers: Vec<SocketAddr>,
    /// Addresses and timeout of the platform's services.
    pub platform: PlatformSettings,
    /// Timing of the freshness rule; must be the same on every node.
    pub freshness: FreshnessSettings,
    /// Interval between polls of the controllers; must be shorter than the window.
    pub controller_poll_ms: u64,
    /// Maximum size of a request body; larger requests are refused.
    pub max_body_bytes: u64,
    /// Deadline of a request that has no deadline of its own.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a caller may request.
    pub max_deadline_ms: u64,
    /// How long callers may cache an address answer; must be shorter than `stop_limit_ms`.
    pub address_keep_ms: u64,
    /// Time without data on a running stream after which its backend server's host is probed.
    pub silence_ms: u64,
    /// Retries allowed per hundred first attempts of a workspace.
    pub retry_percent: u32,
    /// Maximum time a request waits in the queue for capacity.
    pub queue_limit_ms: u64,
    /// Time for which claims of non-idempotent requests are collected into one write.
    pub claim_batch_ms: u64,
    /// Maximum number of claims in one write.
    pub claim_batch_max: u32,
    /// Time limit of a planned stop, after which the process ends without waiting further.
    pub stop_limit_ms: u64,
    /// Format of log lines; text by default.
    pub log_format: LogFormat,
    /// `tracing` filter directives, such as `warn,gateway=debug`.
    pub log_filter: SmolStr,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            host: HostId::new("entry-1").expect("a valid literal"),
            failure_domain: FailureDomainId::new("fd-1").expect("a valid literal"),
            region: RegionId::new("local").expect("a valid literal"),
            listen: SocketAddr::from(([127, 0, 0, 1], 7303)),
            admin_listen: SocketAddr::from(([127, 0, 0, 1], 7304)),
            controller: SocketAddr::from(([127, 0, 0, 1], 7301)),
            other_controllers: Vec::new(),
            platform: PlatformSettings::default(),
            freshness: FreshnessSettings::default(),
            controller_poll_ms: 250,
            max_body_bytes: 4 * 1024 * 1024,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            address_keep_ms: 5_000,
            silence_ms: 2_000,
            retry_percent: 8,
            queue_limit_ms: 10_000,
            claim_batch_ms: 5,
            claim_batch_max: 64,
            stop_limit_ms: 75_000,
            log_format: LogFormat::Text,
            log_filter: SmolStr::new(DEFAULT_LOG_FILTER),
        }
    }
}
