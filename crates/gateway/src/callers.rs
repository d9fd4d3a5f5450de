//! The HTTP server for callers.
//!
//! It uses hyper directly instead of dropshot, which leaves Nagle's algorithm enabled on its
//! sockets and has no setting to disable it. Nagle's algorithm delays the tokens of a stream until
//! the caller's delayed acknowledgement.

use {
    crate::{
        addresses::serve_addresses,
        core::GatewayCore,
        refusal::{Refusal, RefusalKind},
        serve::{refusal_response, serve_completion},
        service_serve::{SERVICES_PREFIX, serve_service},
    },
    caller::{CallerPresence, CallerSocket},
    dropshot::Body,
    engine::{CompletionKind, wire},
    http::{HeaderValue, Method, Request, Response, header},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        io,
        net::{SocketAddr, TcpListener as StdListener},
        pin::pin,
        sync::Arc,
        time::Duration,
    },
    stop::StopPhase,
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
    },
    tokio_util::task::TaskTracker,
};

/// Path at which callers get the addresses of gateways.
const ADDRESSES_PATH: &str = "/v1/addresses";
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a connection's read and write buffers, in bytes. It also limits the size of a
/// request's headers.
const BUFFER_BYTES: usize = 16 * 1024;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a connection stays open for a request that is on its way when the port closes.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    connections: TaskTracker,
    /// Serves callers until the phase is [`StopPhase::Draining`] and all connections have ended.
    pub serving: JoinHandle<()>,
}

impl CallerServer {
    /// Starts a server on the `listen` address of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(core: Arc<GatewayCore>) -> io::Result<Self> {
        let listener = StdListener::bind(core.settings.listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let connections = TaskTracker::new();
        let serving = tokio::spawn(serve_callers(core, listener, connections.clone()));
        Ok(Self { address, connections, serving })
    }

    /// The bound address, with the actual port if the settings have port 0.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections that have not ended.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }
}

async fn serve_callers(core: Arc<GatewayCore>, listener: TcpListener, connections: TaskTracker) {
    let serve = |stream, remote| {
        connections.spawn(serve_connection(core.clone(), stream, remote));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = core.stop.reached(StopPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, remote)) => serve(stream, remote),
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The kernel resets connections that nobody has accepted when the port closes.
    accept_waiting(listener, serve);
    connections.close();
    connections.wait().await;
}

/// Accepts the connections that wait, and closes the port.
fn accept_waiting(listener: TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(%error, "failed to accept the connections that wait");
            return;
        }
    };
    while let Ok((stream, remote)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => serve(stream, remote),
            Err(error) => tracing::warn!(%error, "failed to accept a connection"),
        }
    }
}

/// Serves one connection until it ends. In the phase [`StopPhase::Draining`] it ends after the
/// request that is running.
async fn serve_connection(core: Arc<GatewayCore>, stream: TcpStream, remote: SocketAddr) {
    // This fails only on a broken connection, which the server closes when it reads from it.
    let _ = stream.set_nodelay(true);
    let stop = core.stop.clone();
    let presence = Arc::<CallerPresence>::default();
    let (socket, watch) = CallerSocket::new(stream, presence.clone());
    let service = service_fn(move |request| {
        let (core, work) = (core.clone(), presence.clone().begin_work());
        async move {
            let response = handle_request(&core, request, remote).await;
            // The request is at work until its body has been sent.
            let guarded = response.map(|body| {
                Body::wrap(body.map_frame(move |frame| {
                    let _work = &work;
                    frame
                }))
            });
            Ok::<_, Infallible>(guarded)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    // An error means that the connection broke, so it cannot be reported to the caller.
    let serving = async {
        tokio::select! {
            result = connection.as_mut() => return drop(result),
            () = stop.reached(StopPhase::Draining) => {}
        }
        tokio::select! {
            biased;
            result = connection.as_mut() => return drop(result),
            () = stop.reached(StopPhase::Ending) => {}
            () = sleep(CLOSE_DELAY) => {}
        }
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    };
    tokio::select! {
        biased;
        () = serving => {}
        // Dropping the connection ends its request, and with it the work for it.
        () = watch.left() => {}
    }
}

async fn handle_request(
    core: &Arc<GatewayCore>,
    request: Request<Incoming>,
    remote: SocketAddr,
) -> Response<Body> {
    let mut response = route_request(core, request, remote).await;
    if core.stop.is_stopping() {
        // The caller's next request goes to another gateway.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn route_request(
    core: &Arc<GatewayCore>,
    request: Request<Incoming>,
    remote: SocketAddr,
) -> Response<Body> {
    let request = request.map(Body::wrap);
    let path = request.uri().path();
    match path {
        wire::CHAT_PATH if request.method() == Method::POST => {
            serve_completion(core, CompletionKind::Chat, request).await
        }
        wire::COMPLETIONS_PATH if request.method() == Method::POST => {
            serve_completion(core, CompletionKind::Text, request).await
        }
        ADDRESSES_PATH if request.method() == Method::GET => {
            serve_addresses(core, remote).unwrap_or_else(|refusal| refusal_response(core, &refusal))
        }
        path if path.starts_with(SERVICES_PREFIX) => serve_service(core, request).await,
        path => {
            let detail = format!("there is no {} {path}; see docs/INTERFACES.md", request.method());
            refusal_response(core, &Refusal::not_run(RefusalKind::UnknownPath, detail))
        }
    }
}
