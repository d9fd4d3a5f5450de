//! Accepts and serves callers' connections.

use {
    crate::{codec::RequestCodec, config::CallerLimits, service::RelayService},
    caller::{CallerPresence, CallerSocket, SocketWatch},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, pin::pin, sync::Arc, time::Duration},
    stop::StopPhase,
    tokio::net::{TcpListener, TcpStream},
    tracing::{debug, warn},
};

/// Pause after a failed `accept`, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The server closes an idle connection after this factor times the longer of
/// [`CallerLimits::idle_time`](crate::CallerLimits::idle_time) and
/// [`CallerLimits::head_time`](crate::CallerLimits::head_time). Callers close idle connections
/// first, so that no request arrives at a connection that the server has just closed.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;

/// Accepts callers until the phase is [`StopPhase::Draining`], and returns once all connections
/// have ended.
pub async fn serve_callers<C: RequestCodec>(listener: TcpListener, service: Arc<RelayService<C>>) {
    let stop = service.shared.stop.clone();
    let tracker = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.reached(StopPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tracker.spawn(serve_connection(stream, service.clone()));
            }
            Err(error) => {
                warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match accept_waiting(listener) {
        Ok(waiting) => waiting.into_iter().for_each(|stream| {
            tracker.spawn(serve_connection(stream, service.clone()));
        }),
        Err(error) => warn!(%error, "failed to accept the connections that wait"),
    }
    tracker.close();
    tracker.wait().await;
}

/// Closes the port and returns the connections that were established and not accepted; callers may
/// have sent requests over them.
fn accept_waiting(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // The runtime may not know yet that connections wait.
    let listener = listener.into_std()?;
    let mut waiting = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                waiting.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(waiting),
            // The caller has left.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!(%error, "failed to accept the connections that wait");
                return Ok(waiting);
            }
        }
    }
}

/// Serves one connection until it ends. In the phase [`StopPhase::Draining`] it ends after the
/// requests that have arrived.
async fn serve_connection<C: RequestCodec>(stream: TcpStream, service: Arc<RelayService<C>>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "failed to disable Nagle's algorithm on a caller's connection");
        return;
    }
    let limits = service.shared.config.load().as_ref().map(|config| config.limits);
    let limits = limits.unwrap_or_default();
    let _share = service.shared.buffers.open_connection();
    let presence = Arc::<CallerPresence>::default();
    let (socket, watch) = CallerSocket::new(stream, presence.clone());
    if let Err(error) = serve_requests(socket, &watch, presence, limits, service).await {
        debug!(%error, "a caller's connection failed");
    }
    watch.close(2 * limits.body_bytes).await;
}

/// Serves the requests of one connection.
async fn serve_requests<C: RequestCodec>(
    socket: CallerSocket,
    watch: &SocketWatch,
    presence: Arc<CallerPresence>,
    limits: CallerLimits,
    service: Arc<RelayService<C>>,
) -> Result<(), hyper::Error> {
    let stop = service.shared.stop.clone();
    let handler = service_fn(move |request| {
        let (service, presence) = (service.clone(), presence.clone());
        async move { Ok::<_, Infallible>(service.answer(request, presence).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time).mul_f64(IDLE_TIMEOUT_FACTOR))
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(socket), handler);
    let mut connection = pin!(connection);
    let closing = async {
        stop.reached(StopPhase::Draining).await;
        // A request that has arrived would be thrown away with an idle connection.
        tokio::select! {
            () = watch.idle() => {}
            () = stop.reached(StopPhase::Ending) => {}
        }
    };
    let served = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = closing => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        biased;
        result = served => result,
        // Dropping the connection ends its request, and with it the work at the server.
        () = watch.left() => Ok(()),
    }
}
