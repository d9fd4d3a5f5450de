//! Accepts and serves callers' connections.

use {
    crate::{codec::RequestCodec, config::CallerLimits, service::RelayService},
    caller::{CallerPresence, CallerSocket, ConnectionEntry, CutCause, SocketWatch},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    stop::StopPhase,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, MissedTickBehavior, interval},
    },
    tokio_util::task::TaskTracker,
    tracing::{debug, warn},
};

/// Pause after a failed `accept`, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two log lines of failed `accept`s.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How often connections are looked at whose callers are too slow.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a caller that does not read is cut off while answers have no room left.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);
/// The server closes an idle connection after this factor times the longer of
/// [`CallerLimits::idle_time`](crate::CallerLimits::idle_time) and
/// [`CallerLimits::head_time`](crate::CallerLimits::head_time). Callers close idle connections
/// first, so that no request arrives at a connection that the server has just closed.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;

/// How many bodies of the largest legal size are discarded behind a refusal, so that a caller which
/// sends its body to the end before it reads gets the refusal.
const DISCARDED_BODIES: usize = 2;
/// A head is cut off this factor times [`CallerLimits::head_time`](crate::CallerLimits::head_time) after
/// its first byte.
const HEAD_TIMEOUT_FACTOR: f64 = 1.5;

/// Accepts callers until the phase is [`StopPhase::Draining`], and returns once all connections
/// have ended.
pub async fn serve_callers<C: RequestCodec>(listener: TcpListener, service: Arc<RelayService<C>>) {
    let stop = service.shared.stop.clone();
    let tracker = TaskTracker::new();
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut logged_at: Option<Instant> = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sweeps.tick() => {
                sweep(&service);
                continue;
            }
            () = stop.reached(StopPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, from)) => start_connection(&tracker, stream, from, &service),
            Err(error) => {
                if logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
                    logged_at = Some(Instant::now());
                    warn!(%error, "failed to accept a connection");
                }
                // Others may have taken the descriptors that were counted as free.
                let connections = &service.shared.connections;
                connections.keep_within(connections.len().saturating_sub(1));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match accept_waiting(listener) {
        Ok(waiting) => waiting
            .into_iter()
            .for_each(|(stream, from)| start_connection(&tracker, stream, from, &service)),
        Err(error) => warn!(%error, "failed to accept the connections that wait"),
    }
    tracker.close();
    tracker.wait().await;
}

/// Closes connections whose callers are too slow, and logs what was closed.
fn sweep<C: RequestCodec>(service: &RelayService<C>) {
    let connections = &service.shared.connections;
    if !connections.is_empty() {
        connections.cut_slow_heads(caller_limits(service).head_time.mul_f64(HEAD_TIMEOUT_FACTOR));
        if service.shared.buffers.are_answers_full() {
            connections.cut_unread(UNREAD_LIMIT, usize::MAX);
        }
    }
    connections.log_cuts();
}

fn caller_limits<C: RequestCodec>(service: &RelayService<C>) -> CallerLimits {
    service.shared.config.load().as_ref().map(|config| config.limits).unwrap_or_default()
}

/// Serves a connection in a task of its own, if there is a place for it.
fn start_connection<C: RequestCodec>(
    tracker: &TaskTracker,
    stream: TcpStream,
    from: SocketAddr,
    service: &Arc<RelayService<C>>,
) {
    let connections = &service.shared.connections;
    if !service.shared.make_place() {
        connections.note_cut(CutCause::NoPlace);
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "failed to disable Nagle's algorithm on a caller's connection");
        return;
    }
    let presence = Arc::new(CallerPresence::at(from.ip()));
    let (socket, watch) = CallerSocket::new(stream, presence.clone());
    let entry = connections.open(presence.clone(), &watch);
    let task = entry.task();
    let serving = serve_connection(socket, watch, presence, entry, service.clone());
    let handle = tracker.spawn(serving).abort_handle();
    // It is set once, here.
    let _ = task.set(handle);
}

/// Closes the port and returns the connections that were established and not accepted; callers may
/// have sent requests over them.
fn accept_waiting(listener: TcpListener) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    // The runtime may not know yet that connections wait.
    let listener = listener.into_std()?;
    let mut waiting = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                stream.set_nonblocking(true)?;
                waiting.push((TcpStream::from_std(stream)?, from));
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
async fn serve_connection<C: RequestCodec>(
    socket: CallerSocket,
    watch: SocketWatch,
    presence: Arc<CallerPresence>,
    _entry: ConnectionEntry,
    service: Arc<RelayService<C>>,
) {
    let limits = caller_limits(&service);
    let _share = service.shared.buffers.open_connection();
    if let Err(error) = serve_requests(socket, &watch, presence, limits, service).await {
        debug!(%error, "a caller's connection failed");
    }
    watch.close(DISCARDED_BODIES * limits.body_bytes).await;
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
