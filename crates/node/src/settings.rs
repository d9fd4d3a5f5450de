//! The settings file of a process, in YAML.

use {
    base::{ByteCount, FailureDomainId, HostId, RegionId},
    plan::staged::StagedSettings,
    poison::{SuspectId, SuspectKind},
    relay::{DescriptorSettings, MemorySettings, RetryLimits},
    serde::{Deserialize, Deserializer, Serialize},
    smol_str::SmolStr,
    snafu::{ResultExt, Snafu, ensure},
    std::{
        collections::BTreeSet,
        fs, io,
        net::{IpAddr, SocketAddr},
        path::{Path, PathBuf},
        time::Duration,
    },
};

const BYTES_PER_MB: f64 = 1e6;
const MS_PER_S: f64 = 1e3;
/// Longest time of `engines.stall_ms`: ten minutes. Much longer ones can't be represented.
const MAX_STALL_MS: f64 = 600_000.0;

/// Why the settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The text is not valid YAML, or a field is missing or has the wrong type.
    #[snafu(display("{}: {field}: {source}", path.display()))]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field, or `.` for the whole file.
        field: String,
        /// The parser's error, with its position in the text.
        source: serde_yaml_ng::Error,
    },
    /// A value is out of its range.
    #[snafu(display("{}: {field} {problem}", path.display()))]
    OutOfRange {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field, such as `repeats.ratio`.
        field: &'static str,
        /// The violated rule.
        problem: &'static str,
    },
}

base::value_type!(
    /// The addresses that the process listens on.
    pub struct ListenSettings {
        /// Address for callers' requests.
        pub callers: SocketAddr,
        /// Address for callers' address queries.
        pub addresses: SocketAddr,
        /// Address for the platform's readiness probes.
        pub ready: SocketAddr,
    }
);

base::value_type!(
    /// How to reach the platform's store.
    pub struct StoreSettings {
        /// The address that the store listens on.
        pub address: SocketAddr,
    }
);

/// The limit on the retries for each service, over all processes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Retries allowed in each window, as a fraction of the requests in the window.
    pub ratio: f64,
    /// Retries allowed in each window on top of that fraction; the processes share them equally.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 0.0, window_s: 10.0 }
    }
}

/// What the platform allows the process. Other fields than these are left out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Resident memory beyond which the platform kills the process, in millions of bytes.
    pub memory_mb: f64,
    /// Open descriptors beyond which the platform gives no more. It sets 200 of them aside for files.
    pub max_fds: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory_mb: MemorySettings::default().limit.0 as f64 / BYTES_PER_MB,
            max_fds: DescriptorSettings::default().limit as u32,
        }
    }
}

impl LimitSettings {
    /// Reads the limits; a template leaves an empty text where its platform names none.
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Written {
            Limits(LimitSettings),
            Nothing(EmptyText),
        }
        match Option::deserialize(deserializer)? {
            Some(Written::Limits(limits)) => Ok(limits),
            Some(Written::Nothing(EmptyText::Empty)) | None => Ok(Self::default()),
        }
    }
}

#[derive(Deserialize)]
enum EmptyText {
    #[serde(rename = "")]
    Empty,
}

/// What the platform's engines keep to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineSettings {
    /// Time after which a group that has lost a member is broken, in milliseconds. Members of a head
    /// that is out of reach wait for it; a value below the engines' own lets two groups use a host.
    #[serde(deserialize_with = "EngineSettings::read_stall_ms")]
    pub stall_ms: f64,
    /// Whether engines refuse orders under a lower term than one that they have seen.
    #[serde(deserialize_with = "EngineSettings::read_terms_checked")]
    pub terms_checked: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let StagedSettings { stall_time, terms_checked, .. } = StagedSettings::default();
        Self { stall_ms: stall_time.as_secs_f64() * MS_PER_S, terms_checked }
    }
}

impl EngineSettings {
    /// Reads the time; a template leaves out the value where its platform names none.
    fn read_stall_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        let written = Option::deserialize(deserializer)?;
        Ok(written.unwrap_or_else(|| Self::default().stall_ms))
    }

    /// Reads whether terms are checked, which a template leaves out as the time.
    fn read_terms_checked<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
        let written = Option::deserialize(deserializer)?;
        Ok(written.unwrap_or_else(|| Self::default().terms_checked))
    }
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// The name of the host.
    pub node: HostId,
    /// The host's IP address, which peers connect to. The ports for peers and for metrics are bound
    /// on it; `listen` has complete addresses of its own.
    pub ip: IpAddr,
    /// The host's failure domain.
    pub failure_domain: FailureDomainId,
    /// The region that the failure domain belongs to.
    pub region: RegionId,
    /// Port for gossip messages (UDP) and for connections between processes (TCP).
    pub peer_port: u16,
    /// The addresses that the process listens on.
    pub listen: ListenSettings,
    /// How to reach the platform's store.
    pub store: StoreSettings,
    /// The limit on retries. The key in the file is `repeats`, because files in use have that key.
    #[serde(default, rename = "repeats")]
    pub retries: RetrySettings,
    /// What the platform allows the process.
    #[serde(default, deserialize_with = "LimitSettings::read")]
    pub limits: LimitSettings,
    /// Times that the platform's engines keep.
    #[serde(default)]
    pub engines: EngineSettings,
    /// Whether the whole system starts for the first time, so that there can be no callers yet.
    #[serde(default)]
    pub first_start: bool,
    /// Time from SIGTERM until the process is killed, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// Port for metrics; without one, no metrics are served.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Ids of prompt parts that are never refused, as callers write them. Lifts the refusal of a part
    /// that no longer crashes servers.
    #[serde(default)]
    pub admitted_parts: Vec<SmolStr>,
    /// Ids of requests that are never refused as ones that crash servers, as in the logs.
    #[serde(default)]
    pub admitted_requests: Vec<SmolStr>,
}

/// Default of `grace_s`, for platforms that kill a process 8 s after SIGTERM.
fn default_grace_s() -> f64 {
    8.0
}

impl NodeSettings {
    /// Time from SIGTERM until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Names of the fields that differ from those of `other`. `first_start` is left out because it
    /// only matters when the process starts.
    pub fn differing_fields(&self, other: &Self) -> Vec<&'static str> {
        let differences = [
            ("node", self.node != other.node),
            ("ip", self.ip != other.ip),
            ("failure_domain", self.failure_domain != other.failure_domain),
            ("region", self.region != other.region),
            ("peer_port", self.peer_port != other.peer_port),
            ("listen", self.listen != other.listen),
            ("store", self.store != other.store),
            ("repeats", self.retries != other.retries),
            ("limits", self.limits != other.limits),
            ("engines", self.engines != other.engines),
            ("grace_s", self.grace_s != other.grace_s),
            ("metrics_port", self.metrics_port != other.metrics_port),
            ("admitted_parts", self.admitted_parts != other.admitted_parts),
            ("admitted_requests", self.admitted_requests != other.admitted_requests),
        ];
        differences.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }

    /// The limit on retries, in the type that the relay uses.
    pub fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window: Duration::from_secs_f64(self.retries.window_s),
        }
    }

    /// The time limits of groups, in the type that the planner uses.
    pub fn staged(&self) -> StagedSettings {
        let stall_time = Duration::from_secs_f64(self.engines.stall_ms / MS_PER_S);
        let terms_checked = self.engines.terms_checked;
        StagedSettings { stall_time, terms_checked, ..StagedSettings::default() }
    }

    /// The memory that the process may use, in the type that the relay uses.
    pub fn memory(&self) -> MemorySettings {
        MemorySettings { limit: ByteCount((self.limits.memory_mb * BYTES_PER_MB) as u64) }
    }

    /// The descriptors that the process may use, in the type that the relay uses.
    pub fn descriptors(&self) -> DescriptorSettings {
        DescriptorSettings { limit: self.limits.max_fds as usize }
    }

    /// The prompt parts and requests that are never refused as ones that crash servers.
    pub fn admitted(&self) -> BTreeSet<SuspectId> {
        let parts = self.admitted_parts.iter().map(|id| SuspectId::from_wire(id));
        parts.chain(self.admitted_requests.iter().filter_map(|id| read_request_id(id))).collect()
    }

    /// The address for gossip messages and connections from other processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// Reads and validates a settings file.
pub fn load_settings(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let deserializer = serde_yaml_ng::Deserializer::from_str(&text);
    let settings: NodeSettings =
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            let field = error.path().to_string();
            SettingsError::Malformed { path: path.to_owned(), field, source: error.into_inner() }
        })?;
    let finite = |value: f64| value.is_finite() && value >= 0.0;
    let range = |ok: bool, field: &'static str, problem: &'static str| {
        ensure!(ok, OutOfRangeSnafu { path, field, problem });
        Ok::<(), SettingsError>(())
    };
    range(settings.peer_port != 0, "peer_port", "must not be 0")?;
    range(finite(settings.retries.ratio), "repeats.ratio", "must be 0 or more")?;
    range(finite(settings.retries.slack), "repeats.slack", "must be 0 or more")?;
    range(settings.retries.window_s > 0.0, "repeats.window_s", "must be above 0")?;
    let memory_mb = settings.limits.memory_mb;
    range(finite(memory_mb) && memory_mb > 0.0, "limits.memory_mb", "must be above 0")?;
    let stall_ms = settings.engines.stall_ms;
    let is_time = finite(stall_ms) && stall_ms > 0.0 && stall_ms <= MAX_STALL_MS;
    range(is_time, "engines.stall_ms", "must be above 0 and at most 600000")?;
    range(settings.limits.max_fds > 0, "limits.max_fds", "must be above 0")?;
    range(settings.grace_s > 0.0, "grace_s", "must be above 0")?;
    let are_requests = settings.admitted_requests.iter().all(|id| read_request_id(id).is_some());
    range(are_requests, "admitted_requests", "must be ids of requests: 32 hexadecimal digits")?;
    Ok(settings)
}

/// The id of a request, if the text is one.
fn read_request_id(text: &str) -> Option<SuspectId> {
    text.parse().ok().filter(|id: &SuspectId| id.kind() == SuspectKind::Request)
}
