//! Connects to servers on behalf of peers, and asks peers for that.

use {
    crate::{
        directory::ListedServer,
        message::{ForwardQuery, ForwardReply, MAX_FRAME_BYTES, QueryError, frame_codec},
        paths::ServerPaths,
        stream::{ForwardedStream, PeerFrames, ServerStream},
        tracker::PathChoice,
    },
    base::HostId,
    bytes::{Bytes, BytesMut},
    futures::{SinkExt, StreamExt},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::timeout,
    },
    tokio_util::codec::{FramedWrite, LengthDelimitedCodec},
    tracing::info,
};

/// Longest time in which a peer must have sent its query.
const QUERY_LIMIT: Duration = Duration::from_millis(400);
/// Longest time for which a server is dialed for a peer, which asks others meanwhile.
const DIAL_LIMIT: Duration = Duration::from_millis(200);
/// Longest time for which another server is dialed to tell a fault of the own links from one of the
/// server.
const CONTROL_LIMIT: Duration = Duration::from_millis(80);
/// Most forwards at a time; each takes two sockets and some tens of kilobytes.
const MAX_FORWARDS: usize = 400;
/// Longest time for which the rest of a request is read after the server has ended its answer.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// Why a forward ended early.
#[derive(Debug, Snafu)]
pub enum ForwardError {
    /// The query did not arrive within the time limit.
    #[snafu(display("no query in time"))]
    NoQuery,
    /// The query can't be read.
    #[snafu(display("{source}"))]
    BadQuery {
        /// Why not.
        source: QueryError,
    },
    /// The connection to the asking process failed.
    #[snafu(display("the asking process does not take the answer: {source}"))]
    PeerLost {
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection to the server failed.
    #[snafu(display("the connection to the server failed: {source}"))]
    ServerLost {
        /// The operating system's error.
        source: io::Error,
    },
}

/// What another server of the service says about the own links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ControlOutcome {
    /// It accepted a connection: they work.
    Reached,
    /// It refused one too, or there is none.
    Refused,
    /// It did not answer.
    Unknown,
}

/// Why a peer gave no forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRefusal {
    /// It answered with a reply other than `Connected`.
    Reply(ForwardReply),
    /// Its connection failed or its answer can't be decoded.
    NoReply,
}

/// Asks the peer at an address for a connection to a server. `query` comes from
/// [`ForwardQuery::encode`].
pub(crate) async fn ask_peer(
    peer: SocketAddr,
    query: Arc<Vec<u8>>,
) -> Result<ServerStream, PeerRefusal> {
    let asked = exchange(peer, &query).await;
    let (reply, frames, writer) = asked.map_err(|_| PeerRefusal::NoReply)?;
    match reply {
        ForwardReply::Connected => {
            Ok(ServerStream::forwarded(ForwardedStream::new(frames, writer)))
        }
        reply => Err(PeerRefusal::Reply(reply)),
    }
}

async fn exchange(
    peer: SocketAddr,
    query: &[u8],
) -> io::Result<(ForwardReply, PeerFrames, OwnedWriteHalf)> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    stream.write_all(query).await?;
    let (mut frames, writer) = ForwardedStream::split(stream);
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let reply = postcard::from_bytes(&frame).map_err(io::Error::other)?;
    Ok((reply, frames, writer))
}

type FrameSink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

impl ServerPaths {
    /// Serves a connection of a peer that began with [`FORWARD_QUERY`](crate::FORWARD_QUERY).
    pub async fn serve_forward(&self, mut stream: TcpStream) -> Result<(), ForwardError> {
        let Ok(query) = timeout(QUERY_LIMIT, ForwardQuery::read(&mut stream)).await else {
            return NoQuerySnafu.fail();
        };
        let ForwardQuery { server, purpose } = query.context(BadQuerySnafu)?;
        let (from_peer, to_peer) = stream.into_split();
        let mut to_peer = FramedWrite::new(to_peer, frame_codec());
        let Some(_open) = self.open_forward() else {
            return reply(&mut to_peer, ForwardReply::Busy).await;
        };
        let Some(listed) = self.find(&server) else {
            return reply(&mut to_peer, ForwardReply::Unlisted).await;
        };
        match self.dial_for_peer(&server, &listed).await {
            Ok(connection) => {
                info!(decision = "forwarding", id = %purpose, %server, "reach");
                reply(&mut to_peer, ForwardReply::Connected).await?;
                pass_on(connection, from_peer, to_peer).await
            }
            Err(outcome) => {
                info!(decision = "not-forwarded", id = %purpose, %server, why = ?outcome, "reach");
                reply(&mut to_peer, outcome).await
            }
        }
    }

    async fn dial_for_peer(
        &self,
        server: &HostId,
        listed: &ListedServer,
    ) -> Result<TcpStream, ForwardReply> {
        let began = self.clock.now();
        let service = Some(&listed.service);
        let choice = self.tracker.lock().choose(server, service, began);
        match choice {
            PathChoice::Peer => return Err(ForwardReply::Unreachable),
            PathChoice::DirectOnly => return Err(ForwardReply::Silent),
            PathChoice::Direct | PathChoice::Both => {}
        }
        let dialed = timeout(DIAL_LIMIT, self.dialer.dial(listed.address)).await;
        let outcome = match dialed {
            Ok(Ok(stream)) => {
                self.note_direct(server, service);
                return Ok(stream);
            }
            Ok(Err(_)) => ForwardReply::Refused,
            Err(_) => ForwardReply::Silent,
        };
        let is_sound = {
            let mut tracker = self.tracker.lock();
            tracker.note_failed(server, service);
            tracker.is_sound_since(service, began)
        };
        let control =
            if is_sound { ControlOutcome::Reached } else { self.dial_another(listed).await };
        let mut tracker = self.tracker.lock();
        Err(match (control, outcome) {
            (ControlOutcome::Reached, _) => {
                // The next peer that asks is answered at once.
                tracker.note_down(server, self.clock.now());
                outcome
            }
            (ControlOutcome::Refused, ForwardReply::Refused)
                if !tracker.has_detour(service, began) =>
            {
                ForwardReply::ServiceRefused
            }
            _ => ForwardReply::Unreachable,
        })
    }

    /// Dials another server of the same service.
    async fn dial_another(&self, server: &ListedServer) -> ControlOutcome {
        let Some(other) = self.sample(&server.service, &server.id) else {
            return ControlOutcome::Refused;
        };
        match timeout(CONTROL_LIMIT, self.dialer.dial(other.address)).await {
            Ok(Ok(_)) => {
                self.note_direct(&other.id, Some(&other.service));
                ControlOutcome::Reached
            }
            Ok(Err(_)) => ControlOutcome::Refused,
            Err(_) => ControlOutcome::Unknown,
        }
    }

    /// Counts a forward until the guard is dropped; `None` if there is no room for one.
    fn open_forward(&self) -> Option<OpenForward<'_>> {
        let open = OpenForward(self);
        let before = self.forwards.fetch_add(1, Ordering::Relaxed);
        let may_open = before < MAX_FORWARDS && !self.declines_forwards.load(Ordering::Relaxed);
        may_open.then_some(open)
    }
}

struct OpenForward<'a>(&'a ServerPaths);

impl Drop for OpenForward<'_> {
    fn drop(&mut self) {
        if self.0.forwards.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.forwards_ended.notify_waiters();
        }
    }
}

async fn reply(to_peer: &mut FrameSink, reply: ForwardReply) -> Result<(), ForwardError> {
    let encoded = postcard::to_stdvec(&reply).map_err(io::Error::other).context(PeerLostSnafu)?;
    to_peer.send(Bytes::from(encoded)).await.context(PeerLostSnafu)
}

/// Passes bytes on in both directions until either side ends its connection.
async fn pass_on(
    connection: TcpStream,
    mut from_peer: OwnedReadHalf,
    to_peer: FrameSink,
) -> Result<(), ForwardError> {
    let (from_server, to_server) = connection.into_split();
    tokio::select! {
        ended = download(from_server, to_peer) => ended?,
        () = upload(&mut from_peer, to_server) => return Ok(()),
    }
    // Closing with unread bytes of the request would reset the connection and lose the answer's end.
    let _ = timeout(LINGER_LIMIT, tokio::io::copy(&mut from_peer, &mut tokio::io::sink())).await;
    Ok(())
}

/// Passes the request on. Returns when the asking process closes the connection or is killed, which
/// cancels the request. Where the server takes no more bytes, its answer may still be whole.
async fn upload(from_peer: &mut OwnedReadHalf, mut to_server: OwnedWriteHalf) {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let mut is_taken = true;
    while from_peer.read_buf(&mut buffer).await.is_ok_and(|count| count > 0) {
        is_taken = is_taken && to_server.write_all(&buffer).await.is_ok();
        buffer.clear();
    }
}

async fn download(
    mut from_server: OwnedReadHalf,
    mut to_peer: FrameSink,
) -> Result<(), ForwardError> {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        buffer.reserve(READ_BYTES);
        let read = from_server.read_buf(&mut buffer).await.context(ServerLostSnafu)?;
        if read == 0 {
            return to_peer.send(Bytes::new()).await.context(PeerLostSnafu);
        }
        while !buffer.is_empty() {
            let piece = buffer.split_to(buffer.len().min(MAX_FRAME_BYTES));
            to_peer.feed(piece.freeze()).await.context(PeerLostSnafu)?;
        }
        SinkExt::<Bytes>::flush(&mut to_peer).await.context(PeerLostSnafu)?;
    }
}
