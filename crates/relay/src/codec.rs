//! The port to the protocol of callers and backend servers.

use {
    crate::{
        request::{CallerHead, Refusal, RequestId},
        server::{LoadWord, ServerId},
    },
    base::WorkspaceId,
    bytes::Bytes,
    http::{HeaderMap, Response, request, response},
    http_body_util::Full,
    snafu::Snafu,
    std::time::Duration,
};

/// Why a caller's head can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum HeadError {
    /// A header that each request needs is missing.
    #[snafu(display("the header {header} is missing"))]
    Missing {
        /// The header.
        header: &'static str,
    },
    /// A header's value can't be read.
    #[snafu(display("the header {header} has a value that can't be read"))]
    Unreadable {
        /// The header.
        header: &'static str,
    },
}

/// What a server is told beside the caller's own head.
#[derive(Clone, Debug)]
pub struct BackendCall<'a> {
    /// The server that is meant; any other must refuse.
    pub server: &'a ServerId,
    /// The caller's workspace, if the caller gave a key.
    pub workspace: Option<&'a WorkspaceId>,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// The event after which to go on, if any.
    pub last_event: Option<u64>,
}

/// What a server's answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran it; its answer is the caller's.
    Answered,
    /// The server did not run it and never will.
    NotRun,
    /// Another server has the address; it did not run the request.
    OtherServer,
    /// Not an answer of the server to this request.
    Foreign,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What became of the request.
    pub verdict: Verdict,
    /// The server's load, if told.
    pub load: Option<LoadWord>,
}

/// Reads callers' heads, writes heads for servers and reads servers' heads.
pub trait RequestCodec: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, HeadError>;

    /// Changes a copy of the caller's headers into those a server gets: takes out what concerns one
    /// connection or must not be passed on, and adds what `call` says.
    fn write_call(&self, headers: &mut HeaderMap, call: &BackendCall<'_>);

    /// Reads the head of a server's answer to the request `id`.
    fn read_answer(&self, id: &RequestId, head: &response::Parts) -> AnswerFacts;

    /// Takes out of a server's headers what concerns one connection only.
    fn strip_answer(&self, headers: &mut HeaderMap);

    /// An answer of this process's own; `id` is echoed where it is known.
    fn refuse(&self, id: Option<&RequestId>, refusal: &Refusal) -> Response<Full<Bytes>>;
}
