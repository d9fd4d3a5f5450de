//! A connection to a server, on whichever path.

use {
    crate::message::frame_codec,
    bytes::{Bytes, BytesMut},
    futures::{Stream, StreamExt},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
    tokio_util::{
        codec::{FramedRead, LengthDelimitedCodec},
        io::StreamReader,
    },
};

/// An open connection to a server. Dropping it closes the server's connection too where it is
/// forwarded.
#[derive(Debug)]
pub struct ServerStream {
    kind: StreamKind,
}

#[derive(Debug)]
enum StreamKind {
    Direct(TcpStream),
    Forwarded(ForwardedStream),
}

impl ServerStream {
    pub(crate) fn forwarded(stream: ForwardedStream) -> Self {
        Self { kind: StreamKind::Forwarded(stream) }
    }

    /// The socket of this process: to the server, or to the peer.
    pub fn socket(&self) -> &TcpStream {
        match &self.kind {
            StreamKind::Direct(stream) => stream,
            StreamKind::Forwarded(stream) => stream.writer.as_ref(),
        }
    }

    /// Whether a peer passes it on.
    pub fn is_forwarded(&self) -> bool {
        matches!(self.kind, StreamKind::Forwarded(_))
    }
}

impl From<TcpStream> for ServerStream {
    fn from(stream: TcpStream) -> Self {
        Self { kind: StreamKind::Direct(stream) }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.get_mut().kind {
            StreamKind::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            StreamKind::Forwarded(stream) => {
                Pin::new(&mut stream.reader).poll_read(context, buffer)
            }
        }
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().kind {
            StreamKind::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            StreamKind::Forwarded(stream) => {
                Pin::new(&mut stream.writer).poll_write(context, bytes)
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().kind {
            StreamKind::Direct(stream) => Pin::new(stream).poll_write_vectored(context, slices),
            StreamKind::Forwarded(stream) => {
                Pin::new(&mut stream.writer).poll_write_vectored(context, slices)
            }
        }
    }

    /// The HTTP library copies bodies for a connection without vectored writes.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().kind {
            StreamKind::Direct(stream) => Pin::new(stream).poll_flush(context),
            StreamKind::Forwarded(stream) => Pin::new(&mut stream.writer).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().kind {
            StreamKind::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            StreamKind::Forwarded(stream) => Pin::new(&mut stream.writer).poll_shutdown(context),
        }
    }
}

pub(crate) type PeerFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A connection to a server that a peer passes on.
#[derive(Debug)]
pub(crate) struct ForwardedStream {
    reader: StreamReader<ServerBytes, Bytes>,
    writer: OwnedWriteHalf,
}

impl ForwardedStream {
    /// Splits the connection to a peer into the frames that it sends, and the way to the server.
    pub(crate) fn split(stream: TcpStream) -> (PeerFrames, OwnedWriteHalf) {
        let (reader, writer) = stream.into_split();
        (FramedRead::new(reader, frame_codec()), writer)
    }

    /// Continues after the peer's reply.
    pub(crate) fn new(frames: PeerFrames, writer: OwnedWriteHalf) -> Self {
        let bytes = ServerBytes { frames, has_ended: false };
        Self { reader: StreamReader::new(bytes), writer }
    }
}

/// The server's bytes. They end only where the peer says that the server ended its connection: a peer
/// that is killed ends its own in order too, and an answer without a length would look whole.
#[derive(Debug)]
struct ServerBytes {
    frames: PeerFrames,
    has_ended: bool,
}

impl Stream for ServerBytes {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let frame = ready!(self.frames.poll_next_unpin(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) if frame.is_empty() => {
                self.has_ended = true;
                None
            }
            Some(frame) => Some(frame.map(BytesMut::freeze)),
            None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
        })
    }
}
