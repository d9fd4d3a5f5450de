//! Framing of messages on a TCP connection: a 4-byte big-endian length, then the encoded message.

use {
    snafu::Snafu,
    std::io,
    tokio::net::TcpStream,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// The largest message that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Size of the length prefix of a message, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

/// A connection that sends and receives whole messages.
pub(crate) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Error of a request that got no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed before the complete reply was received.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer closed the connection in good order but sent no reply.
    #[snafu(display("the peer closed the connection without a reply"))]
    Closed,
    /// The client's timeout passed; the peer may have received the request.
    #[snafu(display("no reply within {timeout_ms} ms"))]
    TimedOut {
        /// The client's timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The request could not be encoded or the reply could not be decoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// The codec's error.
        source: crate::codec::CodecError,
    },
}

/// Adds framing to a connection. A message longer than [`MAX_FRAME_BYTES`] is an error, both when it
/// is sent and when it is received.
pub(crate) fn framed(stream: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}
