//! The messages that open a forward.
//!
//! The asking process sends [`FORWARD_QUERY`], the length of a [`ForwardQuery`] as two bytes and the
//! query. The peer answers with frames, each with its length before it: first a [`ForwardReply`], then,
//! if that is `Connected`, the server's bytes. An empty frame says that the server ended its
//! connection in order; without it the forward was cut. What the asking process sends after its query
//! goes to the server as it is.

use {
    base::HostId,
    smol_str::SmolStr,
    snafu::{ResultExt, Snafu, ensure},
    std::io,
    tokio::io::{AsyncRead, AsyncReadExt},
    tokio_util::codec::LengthDelimitedCodec,
};

/// First byte of a connection between processes that is to become a forward.
pub const FORWARD_QUERY: u8 = 9;
/// Largest query, in bytes; the longest id of a server and the longest purpose fit.
const MAX_QUERY_BYTES: usize = 512;
/// Longest part of a purpose that is passed on.
const MAX_PURPOSE_CHARS: usize = 64;
/// Largest frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 16 * 1024;

base::value_type!(
    /// Asks for a connection to a server.
    pub struct ForwardQuery {
        /// Id of the server, which the peer looks up in its own list.
        pub server: HostId,
        /// What the connection is for, such as the id of a request; for logs only.
        pub purpose: SmolStr,
    }
);

base::value_type!(
    /// The answer to a [`ForwardQuery`].
    #[derive(Copy)]
    pub enum ForwardReply {
        /// The server accepted the connection; its bytes follow.
        Connected,
        /// The server refuses connections, and the peer reaches others.
        Refused,
        /// The server accepts no connection in time, and the peer reaches others.
        Silent,
        /// The peer does not reach the server, which may be the fault of its own links.
        Unreachable,
        /// The peer does not know the server.
        Unlisted,
        /// The peer has too many forwards or is about to stop.
        Busy,
        /// The server refuses connections, and so does another one of its service or there is none; the
        /// peer knows of no process that reaches any of them.
        ServiceRefused,
    }
);

/// Why a query can't be read.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// The connection failed.
    #[snafu(display("the query did not arrive: {source}"))]
    Broken {
        /// The operating system's error.
        source: io::Error,
    },
    /// The announced length exceeds the limit.
    #[snafu(display("a query of {bytes} bytes is above the limit of {MAX_QUERY_BYTES}"))]
    TooLong {
        /// The announced length.
        bytes: usize,
    },
    /// The bytes are no query.
    #[snafu(display("the query can't be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: postcard::Error,
    },
}

impl ForwardQuery {
    /// The bytes that begin a forward.
    pub(crate) fn encode(server: &HostId, purpose: &str) -> Result<Vec<u8>, postcard::Error> {
        let purpose = purpose.chars().take(MAX_PURPOSE_CHARS).collect();
        let query = Self { server: server.clone(), purpose };
        let query = postcard::to_stdvec(&query)?;
        let mut bytes = vec![FORWARD_QUERY];
        bytes.extend_from_slice(&(query.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&query);
        Ok(bytes)
    }

    /// Reads a query without its first byte.
    pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Self, QueryError> {
        let bytes = usize::from(stream.read_u16().await.context(BrokenSnafu)?);
        ensure!(bytes <= MAX_QUERY_BYTES, TooLongSnafu { bytes });
        let mut query = vec![0; bytes];
        stream.read_exact(&mut query).await.context(BrokenSnafu)?;
        postcard::from_bytes(&query).context(MalformedSnafu)
    }
}

/// The framing of all that the peer sends.
pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
