//! Callers' connections.

use {
    crate::{codec::RequestCodec, service::RelayService},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tracing::{debug, warn},
};

/// Pause after the system had no room for another connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Factor on callers' longest idle time before a connection is closed from this side, so that a
/// request that is just being sent does not meet the close.
const IDLE_SLACK: f64 = 1.5;

/// How far a process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    Running,
    /// It serves, and asks callers to go elsewhere.
    Leaving,
    /// It takes no new connection, closes idle ones and finishes what it has.
    Draining,
}

/// Accepts callers until the phase is [`StopPhase::Draining`], and returns once all connections
/// have ended.
pub async fn serve_callers<C: RequestCodec>(
    listener: TcpListener,
    service: Arc<RelayService<C>>,
    mut phase: watch::Receiver<StopPhase>,
) {
    let tracker = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reach_draining(&mut phase) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tracker.spawn(serve_connection(stream, service.clone(), phase.clone()));
            }
            Err(error) => {
                warn!(%error, "a connection can't be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<C: RequestCodec>(
    stream: TcpStream,
    service: Arc<RelayService<C>>,
    mut phase: watch::Receiver<StopPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "a connection was lost as it came");
        return;
    }
    let limits = service.shared.config.load().as_ref().map(|config| config.limits);
    let limits = limits.unwrap_or_default();
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time).mul_f64(IDLE_SLACK))
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = reach_draining(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(%error, "a caller's connection broke");
    }
}

/// Ends when the phase is draining, or when nobody can change it any more.
async fn reach_draining(phase: &mut watch::Receiver<StopPhase>) {
    let _ = phase.wait_for(|phase| *phase == StopPhase::Draining).await;
}
