//! A small HTTP server for address queries, readiness and metrics.

use {
    crate::accept::accept_until,
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
    tracing::debug,
};

/// Time limit for reading a request's header, and thus also for an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Read buffer of a connection, which a whole head must fit; the library's own bound is 400 KiB.
const HEADER_BYTES: usize = 16 * 1024;

/// Responds to each request on the basis of its header alone, until cancelled. Beyond `most`
/// connections it closes the oldest ones.
pub(crate) async fn serve_requests(
    listener: TcpListener,
    most: usize,
    answer: Arc<dyn Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync>,
    stop: CancellationToken,
) {
    accept_until(listener, most, stop, |stream| {
        let answer = answer.clone();
        let handler = service_fn(move |request| {
            let response = answer(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), handler);
        async move {
            if let Err(error) = connection.await {
                debug!(%error, "connection failed");
            }
        }
    })
    .await;
}
