//! The socket of a caller's connection, which can be asked whether a request has arrived.

use {
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
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::Notify,
        time::{Instant, sleep, sleep_until},
    },
};

/// How long the first request on a new connection may take to arrive.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(150);
/// Time after which bytes that have arrived are read, if the reader waits for them.
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// A caller's socket; the connection that is served on it owns it.
pub(crate) struct CallerSocket {
    read: OwnedReadHalf,
    state: Arc<SocketState>,
}

/// Tells whether a caller's socket is idle.
#[derive(Clone)]
pub(crate) struct SocketWatch {
    state: Arc<SocketState>,
}

struct SocketState {
    write: Mutex<OwnedWriteHalf>,
    opened_at: Instant,
    /// Whether anything was ever read.
    is_used: AtomicBool,
    /// Whether something was read after the last write.
    has_input: AtomicBool,
    written: Notify,
}

impl CallerSocket {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> (Self, SocketWatch) {
        let (read, write) = stream.into_split();
        let state = Arc::new(SocketState {
            write: Mutex::new(write),
            opened_at: Instant::now(),
            is_used: AtomicBool::new(false),
            has_input: AtomicBool::new(false),
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
        ready!(Pin::new(&mut self.read).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.state.is_used.store(true, Ordering::Relaxed);
            self.state.has_input.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
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
