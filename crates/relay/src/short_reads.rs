//! A connection to a server that is read in short pieces once its answer is known to be a stream.
//!
//! Each piece of a stream that waits for a slow caller keeps the buffer that it was read into, and the
//! HTTP library reads ahead by one more. Its buffers grow with what is read at once.

use {
    reach::ServerStream,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Most bytes that are read of a stream at once; just less than the smallest buffer of the HTTP library,
/// which grows when it is filled.
const READ_BYTES: usize = 8 * 1024 - 1;

/// The connection.
pub(crate) struct ShortReads {
    stream: ServerStream,
    is_short: Arc<AtomicBool>,
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
    pub(crate) fn new(stream: ServerStream) -> (Self, ReadSize) {
        let is_short = Arc::new(AtomicBool::new(false));
        (Self { stream, is_short: is_short.clone() }, ReadSize(is_short))
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
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
