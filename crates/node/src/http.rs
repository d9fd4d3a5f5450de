//! Small HTTP answers: addresses, readiness, metrics.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
    tracing::{debug, warn},
};

/// Longest time for a head; also the longest time that a connection may be idle.
const HEAD_TIME: Duration = Duration::from_secs(15);
/// Pause after the system had no room for another connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers each request by a function of its head, until cancelled.
pub(crate) async fn serve_heads(
    listener: TcpListener,
    answer: Arc<dyn Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "a connection can't be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            let handler = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .serve_connection(TokioIo::new(stream), handler);
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        debug!(%error, "a connection broke");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
}
