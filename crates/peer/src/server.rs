//! Server side of the requests over TCP.

use {
    crate::{
        codec::{CodecError, MessageCodec, OLDEST_PROTOCOL_VERSION},
        frame::{FramedStream, LENGTH_BYTES, framed},
        message::{PeerReply, PeerRequest},
        traffic::TrafficCounter,
    },
    async_trait::async_trait,
    bytes::Bytes,
    futures::{SinkExt, StreamExt},
    std::{io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum number of open connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;
/// Time without a request after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests of peers and gateways.
#[async_trait]
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. A client may send it twice, so handling must be idempotent.
    async fn handle(&self, request: PeerRequest) -> PeerReply;
}

/// Serves requests over TCP until it is cancelled.
pub struct PeerServer {
    codec: MessageCodec,
    handler: Arc<dyn RequestHandler>,
    traffic: Arc<TrafficCounter>,
    permits: Arc<Semaphore>,
}

impl PeerServer {
    /// Creates a server that passes requests to `handler`.
    pub fn new(handler: Arc<dyn RequestHandler>) -> Self {
        Self::with_codec(handler, MessageCodec::default(), Arc::default())
    }

    /// Like [`PeerServer::new`], with the highest version of `codec`; adds its bytes to `traffic`.
    pub fn with_codec(
        handler: Arc<dyn RequestHandler>,
        codec: MessageCodec,
        traffic: Arc<TrafficCounter>,
    ) -> Self {
        Self { codec, handler, traffic, permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)) }
    }

    /// Accepts connections until `token` is cancelled, then closes the open ones.
    pub async fn run(self, listener: TcpListener, token: CancellationToken) {
        let server = Arc::new(self);
        let tracker = TaskTracker::new();
        token.run_until_cancelled(server.accept(&listener, &tracker, &token)).await;
        tracker.close();
        tracker.wait().await;
    }

    async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        tracker: &TaskTracker,
        token: &CancellationToken,
    ) {
        while let Ok(permit) = self.permits.clone().acquire_owned().await {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let server = self.clone();
            let token = token.clone();
            tracker.spawn(async move {
                token.run_until_cancelled(server.serve(stream)).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = framed(stream);
        while let Ok(Some(frame)) = timeout(IDLE_LIMIT, stream.next()).await {
            let frame = frame?;
            self.traffic.add_received(frame.len() + LENGTH_BYTES);
            match self.codec.decode::<PeerRequest>(&frame) {
                Ok(decoded) => {
                    let reply = self.handler.handle(decoded.message).await;
                    self.send(&mut stream, decoded.version, &reply).await?;
                }
                Err(error) => return self.refuse(&mut stream, &error).await,
            }
        }
        Ok(())
    }

    /// Sends the reason in the oldest version, which every peer supports; the caller then closes the
    /// connection.
    async fn refuse(&self, stream: &mut FramedStream, error: &CodecError) -> io::Result<()> {
        let reply = PeerReply::Unavailable { reason: error.to_string() };
        self.send(stream, OLDEST_PROTOCOL_VERSION, &reply).await
    }

    async fn send(
        &self,
        stream: &mut FramedStream,
        version: u8,
        reply: &PeerReply,
    ) -> io::Result<()> {
        let message = self.codec.encode(version, reply).map_err(io::Error::other)?;
        self.traffic.add_sent(message.len() + LENGTH_BYTES);
        stream.send(Bytes::from(message)).await
    }
}
