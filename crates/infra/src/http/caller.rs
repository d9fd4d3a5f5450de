//! HTTP calls with a timeout, and errors that tell whether anything was sent.

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Largest reply body that is read, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
/// Largest number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Idle time after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Characters of a reply body that are copied into an error message.
const MAX_DETAIL_CHARS: usize = 300;

/// Why a call has no complete reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CallFailure {
    /// No connection was established, so nothing was sent.
    #[snafu(display("cannot connect: {detail}"))]
    Unreachable {
        /// The error with its sources, for logs.
        detail: String,
    },
    /// The call may have been sent, and may have taken effect or still do so.
    #[snafu(display("no reply: {detail}"))]
    Unknown {
        /// The error with its sources, for logs.
        detail: String,
    },
}

/// A reply whose body was read completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Any status, including errors.
    pub status: StatusCode,
    /// At most 64 MiB.
    pub body: Bytes,
}

impl HttpReply {
    /// The beginning of the body as text, at most 300 characters, for messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).chars().take(MAX_DETAIL_CHARS).collect()
    }
}

/// HTTP client with buffered bodies; clones share one connection pool.
#[derive(Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpCaller {
    /// `timeout` bounds each call as a whole; connecting may take at most half of it.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout / 2));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { client, timeout }
    }

    /// Sends one request and reads the complete reply. A non-empty body is sent as JSON.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpReply, CallFailure> {
        let request = build_request(address, method, path, body)?;
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(reply) => reply,
            Err(_) => UnknownSnafu { detail: format!("none within {:?}", self.timeout) }.fail(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, CallFailure> {
        let response = self.client.request(request).await.map_err(classify)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await;
        match body {
            Ok(body) => Ok(HttpReply { status, body: body.to_bytes() }),
            Err(error) => UnknownSnafu { detail: error.to_string() }.fail(),
        }
    }
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallFailure> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if !body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    // A request that cannot be built is never sent.
    builder
        .body(Full::new(body))
        .map_err(|error| CallFailure::Unreachable { detail: error.to_string() })
}

fn classify(error: hyper_util::client::legacy::Error) -> CallFailure {
    let detail = error_chain(&error);
    match error.is_connect() {
        true => CallFailure::Unreachable { detail },
        false => CallFailure::Unknown { detail },
    }
}

/// Joins the message of an error and those of its sources with `: `.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
