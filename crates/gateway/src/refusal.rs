//! Refusals: the responses to requests without a complete answer.

use {
    crate::metrics::CountedEnd,
    dropshot::Body,
    engine::wire,
    http::{HeaderValue, Response, StatusCode, header},
    peer::GatewayEntry,
    serde::Serialize,
    smol_str::SmolStr,
    std::{net::SocketAddr, time::Duration},
};

/// Whether a request without a complete answer may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request had no effect and will have none.
    NotRun,
    /// The request was dispatched and may have had an effect.
    Unknown,
    /// The answer's stream was cut after its first part.
    Cut,
}

impl Outcome {
    /// The label under which metrics count the outcome.
    pub fn counted(self) -> CountedEnd {
        match self {
            Self::NotRun => CountedEnd::NotRun,
            Self::Unknown => CountedEnd::Unknown,
            Self::Cut => CountedEnd::Cut,
        }
    }

    /// The value used in headers and problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => wire::OUTCOME_NOT_RUN,
            Self::Unknown => wire::OUTCOME_UNKNOWN,
            Self::Cut => "cut",
        }
    }
}

/// Why a request has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The request cannot be parsed, or a field is out of bounds.
    BadRequest,
    /// The request has no API key or an unknown one.
    UnknownKey,
    /// The model does not exist or the workspace may not use it.
    UnknownModel,
    /// The service does not exist or the workspace may not call it.
    UnknownService,
    /// The path does not exist or does not support the method.
    UnknownPath,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The idempotency key was used before for another request.
    KeyReused,
    /// A request with this idempotency key is running.
    KeyRunning,
    /// The outcome of the request with this idempotency key is not known.
    KeyUnknown,
    /// A request with this idempotency key ran, but its answer was too large to be stored.
    KeyNotKept,
    /// The workspace is at its limit of requests in flight or requests per second.
    LimitReached,
    /// All targets are at their limit, and the request cannot be admitted from the queue in time.
    Overloaded,
    /// This gateway cannot verify that its configuration is current.
    Isolated,
    /// This gateway is stopping and can't finish the request, or knows no other gateway.
    Draining,
    /// No backend server accepts the request at present.
    NoTarget,
    /// The table service, which stores claims, did not answer in time.
    TableUnavailable,
    /// The deadline passed before the answer was complete.
    DeadlinePassed,
    /// The backend server returned no complete answer.
    NoAnswer,
}

impl RefusalKind {
    /// The HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownModel | Self::UnknownService | Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyRunning | Self::KeyUnknown | Self::KeyNotKept => StatusCode::CONFLICT,
            Self::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded
            | Self::Isolated
            | Self::Draining
            | Self::NoTarget
            | Self::TableUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
        }
    }

    /// The last part of the problem document's `type` URN.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownKey => "unknown-key",
            Self::UnknownModel => "unknown-model",
            Self::UnknownService => "unknown-service",
            Self::UnknownPath => "unknown-path",
            Self::BodyTooLarge => "body-too-large",
            Self::KeyReused => "key-reused",
            Self::KeyRunning => "key-running",
            Self::KeyUnknown => "key-unknown",
            Self::KeyNotKept => "key-not-kept",
            Self::LimitReached => "limit-reached",
            Self::Overloaded => "overloaded",
            Self::Isolated => "isolated",
            Self::Draining => "draining",
            Self::NoTarget => "no-target",
            Self::TableUnavailable => "table-unavailable",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoAnswer => "no-answer",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request cannot be used",
            Self::UnknownKey => "The bearer key is missing or unknown",
            Self::UnknownModel => "No such model for this workspace",
            Self::UnknownService => "No such service for this workspace",
            Self::UnknownPath => "There is no such call",
            Self::BodyTooLarge => "The body is too large",
            Self::KeyReused => "The idempotency key was used with another body",
            Self::KeyRunning => "A request with this idempotency key is running",
            Self::KeyUnknown => "The outcome of this idempotency key is not known",
            Self::KeyNotKept => "The request ran, and its answer was too large to be kept",
            Self::LimitReached => "The workspace is at its limit",
            Self::Overloaded => "The capacity is taken",
            Self::Isolated => "This gateway cannot know the newest configuration",
            Self::Draining => "This gateway is stopping",
            Self::NoTarget => "No backend server takes the request",
            Self::TableUnavailable => "Idempotency keys cannot be kept now",
            Self::DeadlinePassed => "The deadline passed",
            Self::NoAnswer => "The backend server gave no whole answer",
        }
    }
}

/// The response to a request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Determines the status, type and title of the problem document.
    pub kind: RefusalKind,
    /// Whether the request may have had an effect.
    pub outcome: Outcome,
    /// Description of the cause for the caller, with a remedy where there is one.
    pub detail: String,
    /// Delay before a retry; absent if there is no estimate or a retry is pointless.
    pub retry_after: Option<Duration>,
    /// Other gateways that the caller can use; usually empty.
    pub addresses: Vec<SocketAddr>,
}

impl Refusal {
    /// Creates a refusal of a request that had no effect.
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(kind, Outcome::NotRun, detail)
    }

    /// Creates a refusal of a request that may have had an effect.
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(kind, Outcome::Unknown, detail)
    }

    fn new(kind: RefusalKind, outcome: Outcome, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { kind, outcome, detail, retry_after: None, addresses: Vec::new() }
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the gateways that the caller can use instead.
    pub fn with_addresses(mut self, gateways: &[GatewayEntry]) -> Self {
        self.addresses = gateways.iter().map(|entry| entry.address).collect();
        self
    }

    /// Changes the outcome to [`Outcome::Cut`], for a stream whose first part was sent.
    pub fn as_cut(mut self) -> Self {
        self.outcome = Outcome::Cut;
        self
    }

    /// Serializes the problem document (RFC 9457).
    pub fn document(&self) -> Vec<u8> {
        let document = ProblemDocument {
            kind: SmolStr::from(format!("urn:gypsumfork:problem:{}", self.kind.as_str())),
            title: self.kind.title(),
            status: self.kind.status().as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
            addresses: &self.addresses,
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Builds the response, with the problem document as its body.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.document()));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        headers.insert(wire::OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ceil_seconds(wait)));
        }
        if self.kind == RefusalKind::UnknownKey {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Rounds up to whole seconds, the unit of `retry-after`.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

#[derive(Serialize)]
struct ProblemDocument<'a> {
    #[serde(rename = "type")]
    kind: SmolStr,
    title: &'static str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "<[SocketAddr]>::is_empty")]
    addresses: &'a [SocketAddr],
}
