//! The port through which a gateway sends requests to model engines and plain services.

use {
    async_trait::async_trait,
    base::{AttemptId, Epoch, GroupId, IdempotencyKey, WorkspaceId},
    bytes::Bytes,
    futures::stream::BoxStream,
    http::{HeaderValue, Method, StatusCode},
    snafu::Snafu,
    std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// Decides whether a request may still leave this process.
///
/// An adapter checks it once the connection is established, right before it writes the request,
/// and again when it hands the body to the connection. The check must therefore be cheap.
pub trait DispatchPermit: Send + Sync {
    /// Once this is false, the adapter does not send the request and reports it as not run.
    fn is_valid(&self) -> bool;
}

/// A permit shared by the request body and the caller of the adapter.
pub type SharedPermit = Arc<dyn DispatchPermit>;

/// The two completion endpoints of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CompletionKind {
    /// The body has `messages`.
    Chat,
    /// The body has `prompt`.
    Text,
}

impl CompletionKind {
    /// The endpoint's path on a model engine.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => crate::wire::CHAT_PATH,
            Self::Text => crate::wire::COMPLETIONS_PATH,
        }
    }
}

/// One attempt to run a completion on a serving group.
#[derive(Clone)]
pub struct ModelDispatch {
    /// Address of the group's head, its first member, which takes the group's requests.
    pub address: SocketAddr,
    /// The endpoint to send it to.
    pub kind: CompletionKind,
    /// The serving group that must run it; an engine in another group refuses.
    pub group: GroupId,
    /// The epoch the group must have; an engine in another epoch refuses.
    pub epoch: Epoch,
    /// Unique per dispatch; the engine echoes it in the response and in each event.
    pub attempt: AttemptId,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Time until the request's deadline, sent in milliseconds.
    pub time_left: Duration,
    /// Number of tokens that the caller has received from earlier attempts; generation resumes
    /// after them.
    pub offset: u64,
    /// The JSON body, with streaming enabled.
    pub body: Bytes,
    /// Whether to open a new connection instead of using a pooled one. A pooled connection may be
    /// dead without having been closed, and a request that must not run twice cannot be retried.
    pub new_connection: bool,
    /// Checked once a connection is available, and again when a non-empty body is handed to the
    /// connection.
    pub permit: SharedPermit,
}

/// One attempt to run a call of a plain service.
#[derive(Clone)]
pub struct ServiceDispatch {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// The caller's method, forwarded as it is.
    pub method: Method,
    /// The caller's path and query without the leading service name; starts with `/`.
    pub path: String,
    /// The caller's `content-type`, if it sent one.
    pub content_type: Option<HeaderValue>,
    /// The caller's `accept`, if it sent one.
    pub accept: Option<HeaderValue>,
    /// The caller's idempotency key; absent when the call is idempotent.
    pub key: Option<IdempotencyKey>,
    /// Unique per dispatch; sent to the server.
    pub attempt: AttemptId,
    /// The caller's workspace, sent to the server.
    pub workspace: WorkspaceId,
    /// Time until the call's deadline, sent in milliseconds.
    pub time_left: Duration,
    /// The caller's body, buffered completely.
    pub body: Bytes,
    /// Whether to open a new connection; see [`ModelDispatch::new_connection`].
    pub new_connection: bool,
    /// Checked once a connection is available, and again when a non-empty body is handed to the
    /// connection.
    pub permit: SharedPermit,
}

/// A complete response that is not a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// As sent by the backend server; may be an error status.
    pub status: StatusCode,
    /// Absent when the response has no `content-type`.
    pub content_type: Option<HeaderValue>,
    /// At most 16 MiB.
    pub body: Bytes,
}

/// One token of a stream, as the engine sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenFrame {
    /// The attempt that the engine echoed; absent when missing or not a valid id.
    pub attempt: Option<AttemptId>,
    /// Position of the token in the completion, from 0; counted across attempts.
    pub index: u64,
    /// The event's JSON object, unchanged.
    pub payload: Bytes,
    /// Whether the frame has a finish reason, so that no token follows.
    pub last: bool,
}

/// One event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamFrame {
    /// The event carries a token.
    Token(TokenFrame),
    /// The end mark, [`DONE_EVENT`](crate::wire::DONE_EVENT); a stream that ends without it is
    /// incomplete.
    End,
}

/// The frames of a completion in order of arrival. Gaps, repeated tokens and frames of other
/// attempts are left to the consumer to detect.
pub type FrameStream = BoxStream<'static, Result<StreamFrame, StreamError>>;

/// An engine's response to a completion that it did not refuse as not run.
pub enum ModelAnswer {
    /// The completion is running.
    Stream(FrameStream),
    /// A status other than 200, such as an error about the request itself.
    Whole(WholeAnswer),
}

/// Why a stream ended before its end mark.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StreamError {
    /// The connection failed before the body was complete.
    #[snafu(display("the stream broke: {detail}"))]
    Broken {
        /// The error of the connection, for logs.
        detail: String,
    },
    /// A frame could not be decoded, or is too large.
    #[snafu(display("a frame of the stream cannot be read: {detail}"))]
    Unreadable {
        /// The decoding error, for logs.
        detail: String,
    },
}

/// Why it is certain that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No connection could be made, or nothing was written to it.
    Unreachable,
    /// The permit became invalid before the request was completely written.
    PermitEnded,
    /// The engine is not in the requested group, or is in another epoch of it (status 409).
    OtherEpoch,
    /// The backend server has no free slot (status 429).
    Full,
    /// The backend server accepts no requests at present (any other status).
    NotReady,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::PermitEnded => "permit ended",
            Self::OtherEpoch => "other group or epoch",
            Self::Full => "full",
            Self::NotReady => "not ready",
        })
    }
}

/// Why an attempt has no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum DispatchError {
    /// The request had no effect and will have none.
    #[snafu(display("not run at {address}: {reason}"))]
    NotRun {
        /// Address of the backend server.
        address: SocketAddr,
        /// As reported by the backend server, or determined by the adapter.
        reason: NotRunReason,
        /// The backend server's `retry-after`, if it sent one.
        retry_after: Option<Duration>,
    },
    /// The request may have had an effect.
    #[snafu(display("no answer from {address}: {detail}"))]
    Unknown {
        /// Address of the backend server.
        address: SocketAddr,
        /// The underlying error, for logs.
        detail: String,
    },
}

/// What a probed host runs; selects the path that is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbedKind {
    /// A model engine; its state is requested.
    Engine,
    /// A server of a plain service. Its load report is requested, since any other path could be
    /// taken for a call of the service.
    Service,
}

/// Determines whether a host still responds after a connection to it failed.
#[async_trait]
pub trait HostProbe: Send + Sync {
    /// Whether the host responds on a new connection within `limit`, with any status. Closes the
    /// idle connections to it first.
    async fn probe(&self, address: SocketAddr, kind: ProbedKind, limit: Duration) -> bool;
}

/// Sends completions to model engines.
#[async_trait]
pub trait ModelBackend: HostProbe {
    /// Sends a completion and waits for the head of the response.
    async fn open(&self, dispatch: ModelDispatch) -> Result<ModelAnswer, DispatchError>;

    /// Asks the engine to stop an attempt. Best effort: errors are ignored.
    async fn cancel(&self, address: SocketAddr, attempt: AttemptId);
}

/// Sends calls to servers of plain services.
#[async_trait]
pub trait ServiceBackend: HostProbe {
    /// Sends a call and waits for its complete response.
    async fn call(&self, dispatch: ServiceDispatch) -> Result<WholeAnswer, DispatchError>;
}
