//! Client side of the requests over TCP.

use {
    crate::{
        codec::{MessageCodec, OLDEST_PROTOCOL_VERSION},
        frame::{
            BrokenSnafu, ConnectSnafu, FramedStream, LENGTH_BYTES, TimedOutSnafu, TransportError,
            framed,
        },
        message::{PeerReply, PeerRequest},
        traffic::TrafficCounter,
    },
    bytes::Bytes,
    futures::{SinkExt, StreamExt},
    parking_lot::Mutex,
    snafu::ResultExt,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Maximum number of idle connections, over all peers.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Longest time for which an idle connection is kept; shorter than the server's `IDLE_LIMIT`.
const MAX_IDLE: Duration = Duration::from_secs(20);

struct IdleConnection {
    address: SocketAddr,
    since: Instant,
    stream: FramedStream,
}

/// Sends requests over TCP and reuses idle connections.
///
/// A connection that failed or timed out is not reused. If a request fails on a reused connection,
/// it is sent again on a new one within the same timeout; this is safe because all requests are
/// idempotent.
pub struct PeerClient {
    codec: MessageCodec,
    timeout: Duration,
    idle: Mutex<VecDeque<IdleConnection>>,
    traffic: Arc<TrafficCounter>,
}

impl PeerClient {
    /// Creates a client whose requests fail after `timeout`, which includes connecting.
    pub fn new(timeout: Duration) -> Self {
        Self::with_codec(timeout, MessageCodec::default(), Arc::default())
    }

    /// Like [`PeerClient::new`], with the highest version of `codec`; adds its bytes to `traffic`.
    pub fn with_codec(
        timeout: Duration,
        codec: MessageCodec,
        traffic: Arc<TrafficCounter>,
    ) -> Self {
        Self { codec, timeout, idle: Mutex::default(), traffic }
    }

    /// Sends a request in the oldest version, to a peer whose version is not known.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply, TransportError> {
        self.request_as(address, OLDEST_PROTOCOL_VERSION, request).await
    }

    /// Sends a request in the greatest common version; `peer_highest` is from the peer's member row.
    pub async fn request_as(
        &self,
        address: SocketAddr,
        peer_highest: u8,
        request: &PeerRequest,
    ) -> Result<PeerReply, TransportError> {
        let version = self.codec.common(peer_highest);
        let message = Bytes::from(self.codec.encode(version, request)?);
        let timeout_ms = self.timeout.as_millis() as u64;
        timeout(self.timeout, self.exchange(address, message))
            .await
            .unwrap_or_else(|_| TimedOutSnafu { timeout_ms }.fail())
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        message: Bytes,
    ) -> Result<PeerReply, TransportError> {
        if let Some(stream) = self.remove_idle(address)
            && let Ok(reply) = self.exchange_on(address, stream, message.clone()).await
        {
            return Ok(reply);
        }
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        self.exchange_on(address, framed(stream), message).await
    }

    async fn exchange_on(
        &self,
        address: SocketAddr,
        mut stream: FramedStream,
        message: Bytes,
    ) -> Result<PeerReply, TransportError> {
        let sent = message.len() + LENGTH_BYTES;
        stream.send(message).await.context(BrokenSnafu)?;
        self.traffic.add_sent(sent);
        let frame = stream.next().await.ok_or(TransportError::Closed)?.context(BrokenSnafu)?;
        self.traffic.add_received(frame.len() + LENGTH_BYTES);
        let reply = self.codec.decode(&frame)?.message;
        self.keep_idle(address, stream);
        Ok(reply)
    }

    fn remove_idle(&self, address: SocketAddr) -> Option<FramedStream> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| connection.since.elapsed() < MAX_IDLE);
        let position = idle.iter().rposition(|connection| connection.address == address)?;
        idle.remove(position).map(|connection| connection.stream)
    }

    fn keep_idle(&self, address: SocketAddr, stream: FramedStream) {
        let mut idle = self.idle.lock();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.pop_front();
        }
        idle.push_back(IdleConnection { address, since: Instant::now(), stream });
    }
}
