//! One HTTP call with a time limit and an honest account of its failure.

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

/// Largest body of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
/// Idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Longest text of a reply that an error message repeats, in characters.
const MAX_DETAIL_CHARS: usize = 300;

/// Why a call has no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CallFailure {
    /// No connection came about, so nothing was sent.
    #[snafu(display("cannot connect: {detail}"))]
    Unreachable {
        /// What went wrong.
        detail: String,
    },
    /// Some of the call may have been sent and may have taken effect, or may still do so.
    #[snafu(display("no reply: {detail}"))]
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl HttpReply {
    /// The beginning of the body as text, for messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).chars().take(MAX_DETAIL_CHARS).collect()
    }
}

/// Makes calls with whole bodies; clones share their connections.
#[derive(Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpCaller {
    /// A caller that waits at most `timeout` for a reply, and half of it for a connection.
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

    /// Sends one request and reads the whole reply. A non-empty body is sent as JSON.
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

/// The message of an error with those of its sources.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
