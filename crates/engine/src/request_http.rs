//! HTTP/1.1 adapter that sends requests to model engines and plain services.

use {
    crate::{
        request::{
            DispatchError, FrameStream, HostProbe, ModelAnswer, ModelBackend, ModelDispatch,
            NotRunReason, ProbedKind, ServiceBackend, ServiceDispatch, StreamError, WholeAnswer,
        },
        request_frames::FrameReader,
        request_pool::{Connection, ConnectionPool, PermitEnded, PermittedBody},
        wire,
    },
    async_trait::async_trait,
    base::{AttemptId, SharedClock},
    bytes::Bytes,
    futures::{StreamExt, stream},
    http::{HeaderValue, Method, Request, Response, StatusCode, header, request},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    std::{error::Error, net::SocketAddr, sync::Arc, time::Duration},
};

/// Largest response body that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Client of backend servers; clones share one connection pool.
#[derive(Clone)]
pub struct HttpBackend {
    pool: Arc<ConnectionPool>,
    connect_limit: Duration,
}

impl HttpBackend {
    /// `connect_limit` is the timeout for opening a connection; responses have none here.
    pub fn new(clock: SharedClock, connect_limit: Duration) -> Self {
        Self { pool: Arc::new(ConnectionPool::new(clock)), connect_limit }
    }

    /// Sends a request and waits for the head of the response. `permitted` is called once the
    /// connection is established.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<PermittedBody>,
        new_connection: bool,
        permitted: impl Fn() -> bool,
    ) -> Result<(Connection, Response<Incoming>), DispatchError> {
        let connection = match new_connection {
            true => self.pool.connect(address, self.connect_limit).await,
            false => self.pool.checkout(address, self.connect_limit).await,
        };
        let mut connection = connection.map_err(|_| not_run(address, NotRunReason::Unreachable))?;
        if !permitted() {
            self.pool.check_in(address, connection);
            return Err(not_run(address, NotRunReason::PermitEnded));
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) if answer::is_final(response.status()) => Ok((connection, response)),
            Ok(response) => {
                let detail = format!("the status {} ends no exchange", response.status());
                Err(DispatchError::Unknown { address, detail })
            }
            // The error returns the unsent request: no byte of it was written.
            Err(error) if error.message().is_some() => {
                Err(not_run(address, NotRunReason::Unreachable))
            }
            Err(error) => Err(classify_send_error(address, &error.into_error())),
        }
    }

    async fn collect(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
        reuse: ConnectionReuse,
    ) -> Result<WholeAnswer, DispatchError> {
        let status = response.status();
        let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| DispatchError::Unknown { address, detail: error.to_string() })?
            .to_bytes();
        if reuse == ConnectionReuse::Kept {
            self.pool.check_in(address, connection);
        }
        Ok(WholeAnswer { status, content_type, body })
    }
}

#[async_trait]
impl ModelBackend for HttpBackend {
    async fn open(&self, dispatch: ModelDispatch) -> Result<ModelAnswer, DispatchError> {
        let address = dispatch.address;
        let attempt = dispatch.attempt.clone();
        let permit = dispatch.permit.clone();
        let new_connection = dispatch.new_connection;
        let request = model_request(dispatch)?;
        let (connection, response) =
            self.send(address, request, new_connection, move || permit.is_valid()).await?;
        let reuse = check_echo(address, &attempt, &response)?;
        if let Some(refusal) = parse_refusal(address, &response) {
            drop(self.collect(address, connection, response, reuse).await);
            return Err(refusal);
        }
        if reuse == ConnectionReuse::Closed {
            return Err(foreign_answer(address));
        }
        if response.status() != StatusCode::OK {
            return self
                .collect(address, connection, response, reuse)
                .await
                .map(ModelAnswer::Whole);
        }
        Ok(ModelAnswer::Stream(stream_frames(self.pool.clone(), address, connection, response)))
    }

    async fn cancel(&self, address: SocketAddr, attempt: AttemptId) {
        let body = serde_json::to_vec(&CancelBody { attempt }).unwrap_or_default();
        let request = Request::builder()
            .method(Method::POST)
            .uri(wire::CANCEL_PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(PermittedBody::new(body.into(), Arc::new(AlwaysPermitted)));
        let Ok(request) = request else { return };
        if let Ok((connection, response)) = self.send(address, request, false, || true).await {
            drop(self.collect(address, connection, response, ConnectionReuse::Closed).await);
        }
    }
}

#[async_trait]
impl HostProbe for HttpBackend {
    async fn probe(&self, address: SocketAddr, kind: ProbedKind, limit: Duration) -> bool {
        self.pool.close_idle(address);
        let probe = async {
            let mut connection = self.pool.connect(address, limit).await.ok()?;
            let request = Request::builder()
                .uri(probe_path(kind))
                .header(header::HOST, address.to_string())
                .body(PermittedBody::new(Bytes::new(), Arc::new(AlwaysPermitted)))
                .ok()?;
            connection.sender.send_request(request).await.ok()
        };
        matches!(tokio::time::timeout(limit, probe).await, Ok(Some(_)))
    }
}

fn probe_path(kind: ProbedKind) -> &'static str {
    match kind {
        ProbedKind::Engine => wire::STATE_PATH,
        ProbedKind::Service => wire::SERVICE_LOAD_PATH,
    }
}

#[async_trait]
impl ServiceBackend for HttpBackend {
    async fn call(&self, dispatch: ServiceDispatch) -> Result<WholeAnswer, DispatchError> {
        let address = dispatch.address;
        let permit = dispatch.permit.clone();
        let attempt = dispatch.attempt.clone();
        let new_connection = dispatch.new_connection;
        let request = service_request(dispatch)?;
        let (connection, response) =
            self.send(address, request, new_connection, move || permit.is_valid()).await?;
        let reuse = check_echo(address, &attempt, &response)?;
        if let Some(refusal) = parse_refusal(address, &response) {
            drop(self.collect(address, connection, response, reuse).await);
            return Err(refusal);
        }
        self.collect(address, connection, response, reuse).await
    }
}

#[derive(serde::Serialize)]
struct CancelBody {
    attempt: AttemptId,
}

struct AlwaysPermitted;

impl crate::request::DispatchPermit for AlwaysPermitted {
    fn is_valid(&self) -> bool {
        true
    }
}

fn model_request(dispatch: ModelDispatch) -> Result<Request<PermittedBody>, DispatchError> {
    let address = dispatch.address;
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(dispatch.kind.path())
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(wire::GROUP_HEADER, dispatch.group.as_str())
        .header(wire::EPOCH_HEADER, dispatch.epoch.0)
        .header(wire::ATTEMPT_HEADER, dispatch.attempt.as_str())
        .header(wire::PRIORITY_HEADER, u16::from(dispatch.priority))
        .header(wire::DEADLINE_HEADER, millis(dispatch.time_left));
    if dispatch.offset > 0 {
        builder = builder.header(wire::OFFSET_HEADER, dispatch.offset);
    }
    build_request(address, builder, PermittedBody::new(dispatch.body, dispatch.permit))
}

fn service_request(dispatch: ServiceDispatch) -> Result<Request<PermittedBody>, DispatchError> {
    let address = dispatch.address;
    let mut builder = Request::builder()
        .method(dispatch.method)
        .uri(dispatch.path)
        .header(header::HOST, address.to_string())
        .header(wire::ATTEMPT_HEADER, dispatch.attempt.as_str())
        .header(wire::WORKSPACE_HEADER, dispatch.workspace.as_str())
        .header(wire::DEADLINE_HEADER, millis(dispatch.time_left));
    if let Some(value) = dispatch.content_type {
        builder = builder.header(header::CONTENT_TYPE, value);
    }
    if let Some(value) = dispatch.accept {
        builder = builder.header(header::ACCEPT, value);
    }
    if let Some(key) = &dispatch.key {
        builder = builder.header(wire::IDEMPOTENCY_HEADER, key.as_str());
    }
    build_request(address, builder, PermittedBody::new(dispatch.body, dispatch.permit))
}

fn build_request(
    address: SocketAddr,
    builder: request::Builder,
    body: PermittedBody,
) -> Result<Request<PermittedBody>, DispatchError> {
    // A request that cannot be written as HTTP was not run.
    builder.body(body).map_err(|_| not_run(address, NotRunReason::Unreachable))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn not_run(address: SocketAddr, reason: NotRunReason) -> DispatchError {
    DispatchError::NotRun { address, reason, retry_after: None }
}

/// A body withheld by its permit never arrives completely, so such a request was not run.
fn classify_send_error(address: SocketAddr, error: &hyper::Error) -> DispatchError {
    let mut source = error.source();
    while let Some(cause) = source {
        if cause.is::<PermitEnded>() {
            return not_run(address, NotRunReason::PermitEnded);
        }
        source = cause.source();
    }
    DispatchError::Unknown { address, detail: error.to_string() }
}

/// The refusal in a response, if it is one. An error status alone does not prove that the request
/// was not run; only the outcome header does.
fn parse_refusal(address: SocketAddr, response: &Response<Incoming>) -> Option<DispatchError> {
    let outcome = response.headers().get(wire::OUTCOME_HEADER)?;
    if outcome.as_bytes() != wire::OUTCOME_NOT_RUN.as_bytes() {
        return None;
    }
    let reason = match response.status() {
        StatusCode::CONFLICT => NotRunReason::OtherEpoch,
        StatusCode::TOO_MANY_REQUESTS => NotRunReason::Full,
        _ => NotRunReason::NotReady,
    };
    let retry_after = response.headers().get(header::RETRY_AFTER).and_then(parse_seconds);
    Some(DispatchError::NotRun { address, reason, retry_after })
}

fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    value.to_str().ok()?.parse().ok().map(Duration::from_secs)
}

/// Whether a connection is used again after its answer.
///
/// A server may send a second copy of an answer late, when the connection carries the next request.
/// Only a copy that names its attempt can be told from that request's answer, so only connections
/// whose answers all did so are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionReuse {
    Kept,
    Closed,
}

/// Fails if a response names another attempt. One that names none is taken, and its connection is
/// closed.
fn check_echo(
    address: SocketAddr,
    attempt: &AttemptId,
    response: &Response<Incoming>,
) -> Result<ConnectionReuse, DispatchError> {
    match response.headers().get(wire::ATTEMPT_HEADER) {
        None => Ok(ConnectionReuse::Closed),
        Some(echo) if echo.as_bytes() == attempt.as_str().as_bytes() => Ok(ConnectionReuse::Kept),
        Some(_) => Err(foreign_answer(address)),
    }
}

fn foreign_answer(address: SocketAddr) -> DispatchError {
    let detail = "response belongs to another attempt".to_owned();
    DispatchError::Unknown { address, detail }
}

struct FrameSource {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    connection: Option<Connection>,
    body: Incoming,
    reader: FrameReader,
}

/// Streams the frames of a response. The connection returns to the pool once the body has ended;
/// dropping the stream earlier closes it.
fn stream_frames(
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    connection: Connection,
    response: Response<Incoming>,
) -> FrameStream {
    let source = FrameSource {
        pool,
        address,
        connection: Some(connection),
        body: response.into_body(),
        reader: FrameReader::default(),
    };
    stream::unfold(source, |mut source| async move {
        let frame = source.next().await?;
        Some((frame, source))
    })
    .boxed()
}

impl FrameSource {
    async fn next(&mut self) -> Option<Result<crate::request::StreamFrame, StreamError>> {
        loop {
            if let Some(frame) = self.reader.next_frame() {
                return Some(frame);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.reader.push(bytes);
                    }
                }
                Some(Err(error)) => {
                    return Some(Err(StreamError::Broken { detail: error.to_string() }));
                }
                None => {
                    let connection = self.connection.take()?;
                    self.pool.check_in(self.address, connection);
                    return None;
                }
            }
        }
    }
}
