//! The socket of a caller's connection, which can be asked whether a request has arrived and whether
//! the caller has left, and is closed so that the last answer arrives.

use {
    crate::presence::CallerPresence,
    bytes::{Buf, BytesMut},
    futures::FutureExt,
    parking_lot::Mutex,
    socket2::SockRef,
    std::{
        future::poll_fn,
        io::{self, IoSlice},
        mem::MaybeUninit,
        pin::Pin,
        sync::{
            Arc, Weak,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, AsyncWriteExt, Interest, ReadBuf},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::Notify,
        time::{Instant, sleep, sleep_until, timeout},
    },
    tracing::debug,
};

/// How long the first request on a new connection may take to arrive.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(150);
/// Time after which bytes that have arrived are read, if the reader waits for them.
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// Most bytes behind a request that are read before it is answered, to see whether its caller closes
/// the connection. Holds most further requests that a caller sends along.
const MAX_AHEAD_BYTES: usize = 4 * 1024;
/// How often a connection with more unread bytes is asked whether the caller has closed it. The
/// runtime does not wake a task for that while bytes are unread.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a connection is read on after its last answer, and longest pause between
/// bytes in it.
const LINGER_TIME: Duration = Duration::from_secs(2);
const LINGER_PAUSE: Duration = Duration::from_millis(300);
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 * 1024;

/// A caller's socket; the connection that is served on it owns it.
pub struct CallerSocket {
    state: Arc<SocketState>,
}

/// Tells whether a caller's socket is idle and whether the caller has left, and closes it.
pub struct SocketWatch {
    state: Arc<SocketState>,
}

/// A view of a caller's socket.
#[derive(Debug)]
pub(crate) struct WeakSocket {
    state: Weak<SocketState>,
}

impl WeakSocket {
    /// Whether bytes of the caller wait to be read.
    pub(crate) fn has_unread(&self) -> bool {
        self.state.upgrade().is_some_and(|state| state.has_unread())
    }
}

#[derive(Debug)]
struct SocketState {
    read: Mutex<ReadSide>,
    write: Mutex<OwnedWriteHalf>,
    presence: Arc<CallerPresence>,
    opened_at: Instant,
    /// Whether anything was ever read.
    is_used: AtomicBool,
    /// Whether something was read after the last write.
    has_input: AtomicBool,
    /// Whether the caller has closed its side.
    is_closed: AtomicBool,
    written: Notify,
}

#[derive(Debug)]
struct ReadSide {
    half: OwnedReadHalf,
    /// Bytes that were read before the connection asked for them.
    ahead: BytesMut,
    /// Whether the connection waits for bytes; it then notices itself that the caller has left.
    is_awaited: bool,
}

/// Why reading ahead ended.
enum AheadEnd {
    /// The caller has closed the connection, or it broke.
    Left,
    /// As many bytes wait as may be read ahead.
    Full,
}

impl CallerSocket {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, presence: Arc<CallerPresence>) -> (Self, SocketWatch) {
        let (half, write) = stream.into_split();
        let read = ReadSide { half, ahead: BytesMut::new(), is_awaited: false };
        let state = Arc::new(SocketState {
            read: Mutex::new(read),
            write: Mutex::new(write),
            presence,
            opened_at: Instant::now(),
            is_used: AtomicBool::new(false),
            has_input: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            written: Notify::new(),
        });
        (Self { state: state.clone() }, SocketWatch { state })
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        let presence = &self.state.presence;
        match written {
            Poll::Ready(Ok(count)) => {
                presence.note_read(*count);
                if self.state.has_input.swap(false, Ordering::Relaxed) {
                    presence.note_answering();
                    self.state.written.notify_one();
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => presence.note_unread(),
        }
    }
}

impl SocketWatch {
    /// A view of the socket that does not keep it open.
    pub(crate) fn weak(&self) -> WeakSocket {
        WeakSocket { state: Arc::downgrade(&self.state) }
    }

    /// Closes the connection so that the caller gets its last answer, once nothing else uses it. The
    /// kernel discards what was not sent yet when a connection is closed with unread bytes, so up to
    /// `limit` bytes are read first.
    pub async fn close(self, limit: usize) {
        let Some(state) = Arc::into_inner(self.state) else { return };
        let mut write = state.write.into_inner();
        if state.is_closed.into_inner() {
            return;
        }
        if let Err(error) = write.shutdown().await {
            debug!(%error, "a caller's connection broke before its close");
            return;
        }
        // A caller that goes on for longer is cut off.
        let _ = timeout(LINGER_TIME, discard(write.as_ref(), limit)).await;
    }

    /// Waits until the caller has left while a request of it is at work, also behind bytes that the
    /// connection does not read before it has answered. Must be polled by the task that serves the
    /// connection, after it.
    pub async fn left(&self) {
        loop {
            match poll_fn(|context| self.state.poll_ahead(context)).await {
                AheadEnd::Left => break,
                AheadEnd::Full if self.state.is_read_closed() => break,
                AheadEnd::Full => sleep(CLOSE_CHECK_INTERVAL).await,
            }
        }
        self.state.note_closed();
    }

    /// Waits until all that has arrived was answered, and a new connection has had the time for its
    /// first request.
    pub async fn idle(&self) {
        let state = &self.state;
        if !state.is_used.load(Ordering::Relaxed) {
            sleep_until(state.opened_at + FIRST_REQUEST_TIME).await;
        }
        loop {
            if state.has_input.load(Ordering::Relaxed) {
                state.written.notified().await;
            } else if state.has_unread() {
                sleep(READ_INTERVAL).await;
            } else {
                return;
            }
        }
    }
}

/// Reads until the caller closes its side, sends nothing for a while or has sent `limit` bytes.
async fn discard(stream: &TcpStream, limit: usize) {
    let mut total = 0;
    while total < limit {
        match timeout(LINGER_PAUSE, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        match discard_ready(stream) {
            Ok(0) => return,
            Ok(count) => total += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Discards bytes that have arrived. The buffer is not held across a wait: it would be a part of the
/// task of each connection.
fn discard_ready(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_BYTES])
}

impl SocketState {
    /// Whether bytes wait to be read by the connection. The runtime may not know of them yet.
    fn has_unread(&self) -> bool {
        if !self.read.lock().ahead.is_empty() {
            return true;
        }
        let write = self.write.lock();
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(write.as_ref()).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Reads ahead while a request is at work and the connection does not read itself.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<AheadEnd> {
        let mut side = self.read.lock();
        if !self.presence.is_at_work() || side.is_awaited {
            return Poll::Pending;
        }
        let ReadSide { half, ahead, .. } = &mut *side;
        loop {
            let room = MAX_AHEAD_BYTES.saturating_sub(ahead.len());
            if room == 0 {
                return Poll::Ready(AheadEnd::Full);
            }
            let mut bytes = [0; MAX_AHEAD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes[..room]);
            match ready!(Pin::new(&mut *half).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => ahead.extend_from_slice(buffer.filled()),
                Ok(()) | Err(_) => return Poll::Ready(AheadEnd::Left),
            }
        }
    }

    /// Whether the runtime has heard that the caller closed its side, although bytes are unread.
    fn is_read_closed(&self) -> bool {
        let side = self.read.lock();
        match side.half.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    fn note_closed(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.presence.note_left();
    }
}

impl ReadSide {
    /// Reads for the connection: first what was read ahead.
    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            let read = Pin::new(&mut self.half).poll_read(context, buffer);
            self.is_awaited = read.is_pending();
            return read;
        }
        let count = self.ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.ahead[..count]);
        self.ahead.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &self.state;
        let before = buffer.filled().len();
        let read = ready!(state.read.lock().poll_read(context, buffer));
        if buffer.filled().len() > before {
            state.is_used.store(true, Ordering::Relaxed);
            if !state.has_input.swap(true, Ordering::Relaxed) {
                state.presence.note_head();
            }
        } else if read.is_err() || buffer.remaining() > 0 {
            state.note_closed();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.state.write.lock()).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.state.write.lock()).poll_write_vectored(context, slices);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called once there is nothing left to write.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.presence.note_all_read();
        Pin::new(&mut *self.state.write.lock()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.state.write.lock()).poll_shutdown(context)
    }
}
