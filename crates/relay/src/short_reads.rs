//! A connection to a server that is read in short pieces once its answer is known to be a stream, and that
//! tells whether its end was read when it came.
//!
//! Each piece of a stream that waits for a slow caller keeps the buffer that it was read into, and the
//! HTTP library reads ahead by one more. Its buffers grow with what is read at once.

use {
    base::{SharedClock, Tick},
    parking_lot::Mutex,
    reach::ServerStream,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Most bytes that are read of a stream at once; just less than the smallest buffer of the HTTP library,
/// which grows when it is filled.
const READ_BYTES: usize = 8 * 1024 - 1;

/// Longest time between two reads of what the operating system holds. After a longer one the rest, and the
/// end behind it, may have come some time ago.
const MAX_READ_GAP: Duration = Duration::from_millis(100);

/// The connection.
pub(crate) struct ShortReads {
    stream: ServerStream,
    is_short: Arc<AtomicBool>,
    reads: Arc<ReadTimes>,
}

/// When a connection was read.
pub(crate) struct ReadTimes {
    clock: SharedClock,
    state: Mutex<ReadState>,
}

#[derive(Default)]
struct ReadState {
    /// When something was read last; `None` since there was nothing to read.
    read_at: Option<Tick>,
    /// Whether there was a gap above [`MAX_READ_GAP`] since there was nothing to read.
    has_gap: bool,
}

impl ReadTimes {
    /// Whether what was read last was read as soon as it came, as long as this process ran.
    pub(crate) fn are_prompt(&self) -> bool {
        !self.state.lock().has_gap
    }

    fn note(&self, has_read: bool) {
        let mut state = self.state.lock();
        if !has_read {
            *state = ReadState::default();
            return;
        }
        let now = self.clock.now();
        let before = state.read_at.replace(now);
        state.has_gap |= before.is_some_and(|before| now.since(before) > MAX_READ_GAP);
    }
}

/// Sets how much is read at once.
pub(crate) struct ReadSize(Arc<AtomicBool>);

impl ReadSize {
    /// Lets all later reads be short.
    pub(crate) fn shorten(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl ShortReads {
    pub(crate) fn new(stream: ServerStream, clock: SharedClock) -> (Self, ReadSize) {
        let is_short = Arc::new(AtomicBool::new(false));
        let reads = Arc::new(ReadTimes { clock, state: Mutex::default() });
        (Self { stream, is_short: is_short.clone(), reads }, ReadSize(is_short))
    }

    pub(crate) fn reads(&self) -> Arc<ReadTimes> {
        self.reads.clone()
    }

    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_short.load(Ordering::Relaxed) || buffer.remaining() <= READ_BYTES {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_BYTES));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = self.poll_piece(context, buffer);
        self.reads.note(polled.is_ready());
        polled
    }
}

impl AsyncWrite for ShortReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
