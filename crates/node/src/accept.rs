//! Accepts connections until cancelled.

use {
    std::{future::Future, time::Duration},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::sync::CancellationToken,
    tracing::warn,
};

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves each connection in a task of its own. On cancellation it stops accepting and drops the
/// open connections.
pub(crate) async fn accept_until<F>(
    listener: TcpListener,
    stop: CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (serving, stop) = (serve(stream), stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serving => {}
                        () = stop.cancelled() => {}
                    }
                });
            }
            Err(error) => {
                warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
