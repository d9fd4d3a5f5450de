//! Settings of a load run, written in YAML.

use {
    base::{ModelName, ServiceName, WorkspaceId},
    conf::{CheckSettings, ConfigErrorList, FieldPath, bounds::check_range},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Requests a second.
const RATE: RangeInclusive<f64> = 0.01..=100_000.0;
/// Length of a run, in milliseconds.
const DURATION_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Requests of a run.
const MAX_REQUESTS: RangeInclusive<u64> = 1..=10_000_000;
/// Requests in flight at once.
const MAX_IN_FLIGHT: RangeInclusive<u32> = 1..=100_000;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Relative weights.
const WEIGHT: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Tokens of an answer.
const TOKENS: RangeInclusive<u64> = 1..=100_000;
/// Bytes of a prompt's shared start.
const PREFIX_BYTES: RangeInclusive<usize> = 0..=1_000_000;
/// Different shared starts of a class.
const PREFIXES: RangeInclusive<u32> = 1..=1_000_000;
/// Highest priority.
const PRIORITY: RangeInclusive<u8> = 0..=9;

/// What a run does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadSettings {
    /// Gateways that are asked which addresses to use.
    pub seeds: Vec<SocketAddr>,
    /// An engine that gets all completions straight, without a gateway; a baseline for ratios.
    pub direct: Option<SocketAddr>,
    /// Mean arrivals a second.
    pub requests_per_second: f64,
    /// How long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Most requests of the run.
    pub max_requests: u64,
    /// Most requests in flight; arrivals beyond it are counted as not sent.
    pub max_in_flight: u32,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Deadline that callers name, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the tokens are checked against those that stand-in engines make.
    pub standin_tokens: bool,
    /// Who calls.
    pub callers: Vec<CallerSettings>,
    /// What is called.
    pub classes: Vec<ClassSettings>,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            direct: None,
            requests_per_second: 50.0,
            duration_ms: 10_000,
            max_requests: 1_000_000,
            max_in_flight: 10_000,
            seed: 1,
            deadline_ms: 30_000,
            standin_tokens: true,
            callers: Vec::new(),
            classes: Vec::new(),
        }
    }
}

/// One caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The workspace the key belongs to; names the caller in the report.
    pub workspace: WorkspaceId,
    /// The bearer key.
    pub key: SmolStr,
    /// Its part of the arrivals against the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// What kind of request a class makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// A chat completion with server-sent events.
    StreamedChat,
    /// A chat completion in one answer.
    WholeChat,
    /// A call of a plain service.
    Service,
    /// A call of a plain service with an idempotency key of its own.
    KeyedService,
}

impl ClassKind {
    /// Whether a model engine answers.
    pub fn is_completion(self) -> bool {
        matches!(self, Self::StreamedChat | Self::WholeChat)
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Names the class in the report.
    pub name: SmolStr,
    /// What is called.
    pub kind: ClassKind,
    /// Its part of the arrivals against the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The model; needed for completions.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Tokens of an answer.
    #[serde(default = "default_tokens")]
    pub tokens: u64,
    /// Time that the engine takes between two tokens, in milliseconds; tokens that come more than
    /// 1 ms later are counted.
    #[serde(default)]
    pub token_interval_ms: Option<u64>,
    /// Bytes of the start that prompts share.
    #[serde(default = "default_prefix_bytes")]
    pub prefix_bytes: usize,
    /// How many different starts there are.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// The plain service; needed for services.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The path behind the service.
    #[serde(default = "default_path")]
    pub path: SmolStr,
    /// The priority that callers name.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_weight() -> f64 {
    1.0
}

fn default_tokens() -> u64 {
    16
}

fn default_prefix_bytes() -> usize {
    1_024
}

fn default_prefixes() -> u32 {
    16
}

fn default_path() -> SmolStr {
    SmolStr::new("calls")
}

fn default_priority() -> u8 {
    5
}

impl CheckSettings for LoadSettings {
    fn check(&self, path: &FieldPath, faults: &mut ConfigErrorList) {
        let rate = path.field("requests_per_second");
        check_range(faults, rate, self.requests_per_second, &RATE);
        check_range(faults, path.field("duration_ms"), self.duration_ms, &DURATION_MS);
        check_range(faults, path.field("max_requests"), self.max_requests, &MAX_REQUESTS);
        check_range(faults, path.field("max_in_flight"), self.max_in_flight, &MAX_IN_FLIGHT);
        check_range(faults, path.field("deadline_ms"), self.deadline_ms, &DEADLINE_MS);
        if self.seeds.is_empty() && self.direct.is_none() {
            faults.push(path.field("seeds"), "empty", "name a gateway, or an engine in direct");
        }
        check_lists(self, path, faults);
    }
}

fn check_lists(settings: &LoadSettings, path: &FieldPath, faults: &mut ConfigErrorList) {
    let callers = path.field("callers");
    let weights = settings.callers.iter().map(|caller| caller.weight);
    check_weights(weights, &callers, faults);
    let classes = path.field("classes");
    let weights = settings.classes.iter().map(|class| class.weight);
    check_weights(weights, &classes, faults);
    for (position, class) in settings.classes.iter().enumerate() {
        check_class(class, &classes.index(position), faults);
        let earlier = &settings.classes[..position];
        if earlier.iter().any(|other| other.name == class.name) {
            let problem = format!("`{}` stands twice", class.name);
            faults.push(classes.index(position).field("name"), problem, "rename one of the two");
        }
    }
}

fn check_weights(
    weights: impl Iterator<Item = f64>,
    path: &FieldPath,
    faults: &mut ConfigErrorList,
) {
    let mut sum = 0.0;
    for (position, weight) in weights.enumerate() {
        check_range(faults, path.index(position).field("weight"), weight, &WEIGHT);
        sum += weight;
    }
    if sum <= 0.0 {
        faults.push(path.clone(), "nothing with a weight above 0", "add at least one");
    }
}

fn check_class(class: &ClassSettings, path: &FieldPath, faults: &mut ConfigErrorList) {
    check_range(faults, path.field("tokens"), class.tokens, &TOKENS);
    check_range(faults, path.field("prefix_bytes"), class.prefix_bytes, &PREFIX_BYTES);
    check_range(faults, path.field("prefixes"), class.prefixes, &PREFIXES);
    check_range(faults, path.field("priority"), class.priority, &PRIORITY);
    if class.kind.is_completion() && class.model.is_none() {
        faults.push(path.field("model"), "missing", "name the model of this class");
    }
    if !class.kind.is_completion() && class.service.is_none() {
        faults.push(path.field("service"), "missing", "name the service of this class");
    }
}
