//! The interface that a protocol of callers and backend servers implements.

use {
    crate::{
        request::{CallerHead, Refusal, RequestId},
        server::{ServerId, ServerLoad},
    },
    base::WorkspaceId,
    bytes::Bytes,
    http::{HeaderMap, Response, request, response},
    http_body_util::Full,
    limit::NamedLimit,
    snafu::Snafu,
    std::time::Duration,
};

/// Why the head of a caller's request was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum HeadError {
    /// A required header is missing.
    #[snafu(display("the header {header} is missing"))]
    Missing {
        /// Name of the header, as shown to operators.
        header: &'static str,
    },
    /// The value of a header can't be decoded.
    #[snafu(display("invalid value in header {header}"))]
    Unreadable {
        /// Name of the header, as shown to operators.
        header: &'static str,
    },
}

/// What a codec adds to the caller's headers for a server.
#[derive(Clone, Debug)]
pub struct BackendCall<'a> {
    /// The server that the request is for; any other server must refuse it.
    pub server: &'a ServerId,
    /// The workspace that the caller's key belongs to; `None` if the caller sent no known key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time remaining until the caller or the route gives up.
    pub time_left: Duration,
    /// Set to resume a stream: the server sends the events after the one with this id.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran the request; its answer goes to the caller.
    Answered,
    /// The server did not run the request and never will.
    NotRun,
    /// Another server now uses the address; it did not run the request.
    OtherServer,
    /// The answer does not belong to this request.
    Foreign,
}

/// The head of a server's answer, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What the answer means for the request.
    pub verdict: Verdict,
    /// The server's load, if the answer reports it.
    pub load: Option<ServerLoad>,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// For how long the server wants no requests from this process, if it says so.
    pub quiet: Option<Duration>,
    /// The requests per second that the server accepts from all processes together.
    pub limit: NamedLimit,
}

/// Decodes the heads of callers' requests and of servers' answers, and writes heads for both.
pub trait RequestCodec: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, HeadError>;

    /// Turns a copy of the caller's headers into those for a server: removes connection-specific
    /// headers and those that must not be forwarded, and adds the values in `call`.
    fn write_call(&self, headers: &mut HeaderMap, call: &BackendCall<'_>);

    /// Decodes the head of an answer that was received for the request `id`.
    fn read_answer(&self, id: &RequestId, head: &response::Parts) -> AnswerFacts;

    /// Removes the connection-specific headers from a server's answer.
    fn strip_answer(&self, headers: &mut HeaderMap);

    /// Builds the response to a request that this process refuses. `id` is `None` if the head of the
    /// request could not be decoded.
    fn refuse(&self, id: Option<&RequestId>, refusal: &Refusal) -> Response<Full<Bytes>>;
}
