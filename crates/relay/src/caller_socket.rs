//! The socket of a caller's connection, which can be asked whether a request has arrived, and is
//! closed so that the last answer arrives.

use {
    crate::presence::CallerPresence,
    parking_lot::Mutex,
    socket2::SockRef,
    std::{
        io::{self, IoSlice},
        mem::MaybeUninit,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf},
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

/// Longest time for which a connection is read on after its last answer, and longest pause between
/// bytes in it.
const LINGER_TIME: Duration = Duration::from_secs(2);
const LINGER_PAUSE: Duration = Duration::from_millis(300);
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 * 1024;

/// A caller's socket; the connection that is served on it owns it.
pub(crate) struct CallerSocket {
    read: OwnedReadHalf,
    state: Arc<SocketState>,
}

/// Tells whether a caller's socket is idle, and closes it.
pub(crate) struct SocketWatch {
    state: Arc<SocketState>,
}

struct SocketState {
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

impl CallerSocket {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream, presence: Arc<CallerPresence>) -> (Self, SocketWatch) {
        let (read, write) = stream.into_split();
        let state = Arc::new(SocketState {
            write: Mutex::new(write),
            presence,
            opened_at: Instant::now(),
            is_used: AtomicBool::new(false),
            has_input: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            written: Notify::new(),
        });
        (Self { read, state: state.clone() }, SocketWatch { state })
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_)))
            && self.state.has_input.swap(false, Ordering::Relaxed)
        {
            self.state.written.notify_one();
        }
    }
}

impl SocketWatch {
    /// Closes the connection so that the caller gets its last answer, once nothing else uses it. The
    /// kernel discards what was not sent yet when a connection is closed with unread bytes, so up to
    /// `limit` bytes are read first.
    pub(crate) async fn close(self, limit: usize) {
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

    /// Waits until all that has arrived was answered, and a new connection has had the time for its
    /// first request.
    pub(crate) async fn idle(&self) {
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
    let mut bytes = [0; DISCARD_BYTES];
    let mut total = 0;
    while total < limit {
        match timeout(LINGER_PAUSE, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        match stream.try_read(&mut bytes) {
            Ok(0) => return,
            Ok(count) => total += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

impl SocketState {
    /// Whether the kernel holds bytes for this socket. The runtime may not know of them yet.
    fn has_unread(&self) -> bool {
        let write = self.write.lock();
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(write.as_ref()).peek(&mut byte).is_ok_and(|count| count > 0)
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.read).poll_read(context, buffer));
        if buffer.filled().len() > before {
            self.state.is_used.store(true, Ordering::Relaxed);
            self.state.has_input.store(true, Ordering::Relaxed);
        } else if read.is_err() || buffer.remaining() > 0 {
            self.state.is_closed.store(true, Ordering::Relaxed);
            self.state.presence.note_left();
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

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.state.write.lock()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.state.write.lock()).poll_shutdown(context)
    }
}
