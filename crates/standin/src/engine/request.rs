//! What a completion asks for.

use {
    base::{AttemptId, Epoch, GroupId, IdempotencyKey},
    engine::{prompt, wire},
    http::{HeaderMap, StatusCode},
    serde_json::Value,
    std::{str::FromStr, time::Duration},
};

/// Most tokens of one answer.
const MAX_TOKENS: u64 = 1_000_000;
const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Why a completion is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is in another group or epoch.
    OtherEpoch,
    /// The queue is full.
    Full,
    /// The engine is not ready, drains, or a member is missing.
    NotReady,
    /// The deadline passed in the queue.
    Late,
}

impl Refusal {
    /// The status that says so.
    pub fn status(self) -> StatusCode {
        match self {
            Self::OtherEpoch => StatusCode::CONFLICT,
            Self::Full => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The reason in words.
    pub fn reason(self) -> &'static str {
        match self {
            Self::OtherEpoch => "other group or epoch",
            Self::Full => "full",
            Self::NotReady => "not ready",
            Self::Late => "the deadline passed in the queue",
        }
    }
}

/// A completion as it came.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Whether it came on the chat path.
    pub chat: bool,
    /// Whether it asks for a stream.
    pub stream: bool,
    /// The model, as the request names it.
    pub model: String,
    /// The attempt; a request that came without a gateway may have none.
    pub attempt: Option<AttemptId>,
    /// The group and epoch it is meant for; a request without a gateway takes what is there.
    pub group: Option<(GroupId, Epoch)>,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Time left.
    pub time_left: Duration,
    /// Tokens that the caller already has.
    pub offset: u64,
    /// The caller's key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Digest of the prompt.
    pub digest: u64,
    /// Hashes of the prompt's blocks.
    pub prefixes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub tokens: u64,
}

impl CompletionRequest {
    /// Reads headers and body, or says what is wrong with them.
    pub fn read(
        chat: bool,
        headers: &HeaderMap,
        body: &[u8],
        default_tokens: u64,
    ) -> Result<Self, String> {
        let body: Value = serde_json::from_slice(body).map_err(|error| format!("body: {error}"))?;
        let text = prompt::prompt_text(&body);
        let group = header::<GroupId>(headers, wire::GROUP_HEADER)?;
        let epoch = header::<Epoch>(headers, wire::EPOCH_HEADER)?;
        let time_left = header(headers, wire::DEADLINE_HEADER)?.map(Duration::from_millis);
        let priority = header(headers, wire::PRIORITY_HEADER)?.unwrap_or(DEFAULT_PRIORITY);
        let tokens = ["max_tokens", "max_completion_tokens"]
            .iter()
            .find_map(|name| body[*name].as_u64())
            .unwrap_or(default_tokens);
        Ok(Self {
            chat,
            stream: body["stream"].as_bool().unwrap_or(false),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            attempt: header(headers, wire::ATTEMPT_HEADER)?,
            group: group.zip(epoch),
            priority: priority.min(MAX_PRIORITY),
            time_left: time_left.unwrap_or(DEFAULT_DEADLINE),
            offset: header(headers, wire::OFFSET_HEADER)?.unwrap_or(0),
            idempotency_key: header(headers, wire::IDEMPOTENCY_HEADER)?,
            digest: prompt::prompt_digest(&text),
            prefixes: prompt::prefix_hashes(&text),
            prompt_tokens: (text.len() as u64).div_ceil(BYTES_PER_TOKEN),
            tokens: tokens.clamp(1, MAX_TOKENS),
        })
    }
}

/// Reads a header; fails when it is there and cannot be read.
pub fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| format!("header {name}: not plain text"))?;
    text.parse().map(Some).map_err(|_| format!("header {name}: `{text}` cannot be read"))
}
