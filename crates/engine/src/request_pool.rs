//! Pool of HTTP/1.1 connections to backend servers, and request bodies that check a permit.

use {
    crate::request::SharedPermit,
    arc_swap::ArcSwap,
    base::{SharedClock, Tick},
    bytes::Bytes,
    crossbeam_queue::ArrayQueue,
    http_body::{Body, Frame, SizeHint},
    hyper::client::conn::http1::{Builder, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Largest number of idle connections to one backend server.
const IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not reused.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Upper bound of the buffer of one connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// The permit became invalid before the request body was handed to the connection.
#[derive(Debug)]
pub struct PermitEnded;

impl std::fmt::Display for PermitEnded {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("permit ended before the body was sent")
    }
}

impl std::error::Error for PermitEnded {}

/// A buffered request body that is handed to the connection only while its permit is valid.
///
/// A server cannot run a request whose body is incomplete, so withholding the body guarantees that
/// the request is not run. An empty body is never withheld.
pub struct PermittedBody {
    content: Option<Bytes>,
    length: u64,
    permit: SharedPermit,
}

impl PermittedBody {
    /// The permit is checked when the connection polls the body, not here.
    pub fn new(content: Bytes, permit: SharedPermit) -> Self {
        let length = content.len() as u64;
        Self { content: Some(content).filter(|content| !content.is_empty()), length, permit }
    }
}

impl Body for PermittedBody {
    type Data = Bytes;
    type Error = PermitEnded;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PermitEnded>>> {
        if self.content.is_none() {
            return Poll::Ready(None);
        }
        if !self.permit.is_valid() {
            return Poll::Ready(Some(Err(PermitEnded)));
        }
        let content = self.content.take();
        Poll::Ready(content.map(|content| Ok(Frame::data(content))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(if self.content.is_some() { self.length } else { 0 })
    }
}

/// A connection with no request in flight when it is checked out.
pub struct Connection {
    /// Handle for sending requests; closed when the connection is.
    pub sender: SendRequest<PermittedBody>,
    /// When it was opened or last returned to the pool.
    idle_since: Tick,
}

type IdleQueue = Arc<ArrayQueue<Connection>>;

/// Idle connections by backend server. Checking one out or in takes no lock.
pub struct ConnectionPool {
    idle: ArcSwap<HashMap<SocketAddr, IdleQueue>>,
    clock: SharedClock,
}

impl ConnectionPool {
    /// Starts empty; `clock` measures the idle times.
    pub fn new(clock: SharedClock) -> Self {
        Self { idle: ArcSwap::default(), clock }
    }

    /// Returns an idle connection, or else opens one; fails when that takes longer than `limit`.
    pub async fn checkout(&self, address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        if let Some(connection) = self.pop_idle(address) {
            return Ok(connection);
        }
        self.connect(address, limit).await
    }

    /// Opens a new connection; fails when that takes longer than `limit`.
    pub async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The request in flight receives the connection's error as well, so it is dropped here.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, idle_since: self.clock.now() })
    }

    /// Returns a connection for reuse; closes it when 64 connections to the server are
    /// idle already.
    pub fn check_in(&self, address: SocketAddr, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = self.clock.now();
        // A full queue drops the connection, which closes it.
        drop(self.queue(address).push(connection));
    }

    /// Closes the idle connections to a backend server.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(queue) = self.idle.load().get(&address) {
            while queue.pop().is_some() {}
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.load();
        let queue = idle.get(&address)?;
        while let Some(connection) = queue.pop() {
            let reusable = self.clock.now().since(connection.idle_since) < IDLE_LIMIT;
            if reusable && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn queue(&self, address: SocketAddr) -> IdleQueue {
        if let Some(queue) = self.idle.load().get(&address) {
            return queue.clone();
        }
        self.idle.rcu(|idle| {
            let mut idle = HashMap::clone(idle);
            idle.entry(address).or_insert_with(|| Arc::new(ArrayQueue::new(IDLE_CONNECTIONS)));
            idle
        });
        // Queues are never removed, so this one is found; the fallback only avoids a panic.
        self.idle.load().get(&address).cloned().unwrap_or_else(|| Arc::new(ArrayQueue::new(1)))
    }
}
