//! Requests over a connection to another process, with responses that are prefixed by their length.

use {
    base::HostId,
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// Largest accepted response; a list of a thousand servers is well below it.
const MAX_RESPONSE_BYTES: u32 = 4 << 20;
/// Time to connect to a process, a few network round trips away.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Longest time between two pieces of a response that is arriving. A response over a slow link takes
/// longer in all, and is not ended as long as pieces arrive.
const PIECE_LIMIT: Duration = Duration::from_millis(600);
/// Longest time for a whole response once it has begun; the largest one takes half of it on the
/// slowest links.
const TRANSFER_LIMIT: Duration = Duration::from_secs(4);

/// Why another process returned no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LinkError {
    /// The connection failed or was refused.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// The operating system's error.
        source: io::Error,
    },
    /// The response did not begin or went on too slowly.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The announced length exceeds `MAX_RESPONSE_BYTES`.
    #[snafu(display("the response of {bytes} bytes is above the limit"))]
    TooLarge {
        /// The announced length.
        bytes: u32,
    },
    /// The response can't be decoded.
    #[snafu(display("the response can't be decoded: {source}"))]
    Unreadable {
        /// The decoder's error.
        source: postcard::Error,
    },
}

/// An open connection to another process. Must be dropped after an error or a cancelled request:
/// a late response would be read as that of the next request.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) node: Option<HostId>,
    stream: TcpStream,
}

impl PeerLink {
    /// Connects to a process; `node` is its host, where known.
    pub(crate) async fn connect(
        address: SocketAddr,
        node: Option<HostId>,
    ) -> Result<Self, LinkError> {
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
        let Ok(connected) = connecting.await else { return TimedOutSnafu.fail() };
        let stream = connected.context(BrokenSnafu)?;
        stream.set_nodelay(true).context(BrokenSnafu)?;
        Ok(Self { node, stream })
    }

    /// Sends a request and reads the response, which must begin within `wait`. An empty response is
    /// valid.
    pub(crate) async fn exchange(
        &mut self,
        request: &[u8],
        wait: Duration,
    ) -> Result<Vec<u8>, LinkError> {
        let begun = timeout(wait, async {
            self.stream.write_all(request).await?;
            self.stream.read_u32().await
        });
        let Ok(begun) = begun.await else { return TimedOutSnafu.fail() };
        let bytes = begun.context(BrokenSnafu)?;
        if bytes > MAX_RESPONSE_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        let mut response = vec![0; bytes as usize];
        let end = Instant::now() + TRANSFER_LIMIT;
        let mut filled = 0;
        while filled < response.len() {
            let until = end.min(Instant::now() + PIECE_LIMIT);
            let piece = timeout_at(until, self.stream.read(&mut response[filled..]));
            let Ok(piece) = piece.await else { return TimedOutSnafu.fail() };
            match piece.context(BrokenSnafu)? {
                0 => {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(BrokenSnafu);
                }
                read => filled += read,
            }
        }
        Ok(response)
    }
}
