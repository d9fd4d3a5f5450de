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
    dropshot::Body,
    engine::{CompletionKind, wire},
    http::{Method, Request, Response},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{
        convert::Infallible,
        io,
        net::{SocketAddr, TcpListener as StdListener},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
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

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
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
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept_loop(core, listener, stop.clone()));
        Ok(Self { address, stop, task })
    }

    /// The bound address, with the actual port if the settings have port 0.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until all open requests are answered.
    pub async fn close(self) {
        self.stop.cancel();
        // An error means that the task panicked, in which case it has ended as well.
        let _ = self.task.await;
    }
}

async fn accept_loop(core: Arc<GatewayCore>, listener: TcpListener, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, remote)) => serve_connection(&core, &graceful, stream, remote),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(
    core: &Arc<GatewayCore>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    remote: SocketAddr,
) {
    // This fails only on a broken connection, which the server closes when it reads from it.
    let _ = stream.set_nodelay(true);
    let core = core.clone();
    let service = service_fn(move |request| {
        let core = core.clone();
        async move { Ok::<_, Infallible>(handle_request(&core, request, remote).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    // An error means that the connection broke, so it cannot be reported to the caller.
    tokio::spawn(async move { drop(connection.await) });
}

async fn handle_request(
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
