//! Sends one request to one server over a connection of its own.
//!
//! A reused connection may carry late or extra bytes of an earlier request, may have become
//! unresponsive, or may be closed while a request is being sent. With one connection for each request
//! none of this affects another caller. A new connection costs about a millisecond.

use {
    crate::{
        backlog::RequestWork,
        codec::{AnswerFacts, RequestCodec, Verdict},
        held_body::HeldBody,
        loss::LossCause,
        place::ServerPlace,
        progress::SendRecord,
        request::RequestId,
        server::{BackendServer, InFlight},
        short_reads::{ReadTimes, ShortReads},
    },
    bytes::Bytes,
    caller::DepartureTimer,
    http::{HeaderMap, Request, header, response},
    http_body_util::BodyExt,
    hyper::{
        body::{Body, Frame, Incoming},
        client::conn::http1,
    },
    hyper_util::rt::TokioIo,
    reach::{ConnectError, ServerPaths},
    std::{collections::VecDeque, sync::Arc},
    tokio::time::{Instant, timeout_at},
    tokio_util::task::AbortOnDropHandle,
};

/// Largest head of a server's answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// An answer whose head was received and whose body is still to be read. Dropping it closes the
/// connection, which cancels the request at the server.
pub(crate) struct LiveAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) server: BackendServer,
    /// Whether a peer passes the connection on.
    pub(crate) is_forwarded: bool,
    /// What was read of the body before the answer was chosen.
    pub(crate) early: VecDeque<Bytes>,
    /// When its connection was read.
    pub(crate) reads: Arc<ReadTimes>,
    _driver: AbortOnDropHandle<()>,
    in_flight: InFlight,
}

impl LiveAnswer {
    /// The next frame of the body; `None` at its end.
    pub(crate) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        match self.early.pop_front() {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None => self.body.frame().await,
        }
    }

    /// The request's part in the work of the server, if it is known.
    pub(crate) fn work(&mut self) -> Option<&mut RequestWork> {
        self.in_flight.work()
    }

    /// Whether the head or the chunks say where the body ends, rather than the connection.
    pub(crate) fn is_framed(&self) -> bool {
        self.body.size_hint().exact().is_some() || is_chunked(&self.head.headers)
    }
}

/// Whether the last transfer coding is `chunked`; with any other one the body ends with the connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Outcome of one send.
pub(crate) enum SendOutcome {
    /// No byte of the request left this process.
    NotSent(ConnectError),
    /// The time of the request was over before there was a connection.
    OutOfTime,
    /// The server answered that it did not run the request.
    NotRun(AnswerFacts),
    /// The request may have been sent, and no valid answer to it was received.
    Lost(LossCause),
    /// The head of the answer was received.
    Answer(Box<LiveAnswer>, AnswerFacts),
    /// The answer is a stream whose first event was received after its head.
    Begun(Box<LiveAnswer>),
}

/// Sends a request and waits for the head of the answer until `ends_at`. Records the departure before the
/// first byte of the request leaves this process.
pub(crate) async fn send_call<C: RequestCodec>(
    codec: &C,
    paths: &ServerPaths,
    id: &RequestId,
    place: ServerPlace,
    request: Request<HeldBody>,
    ends_at: Instant,
    departure: DepartureTimer,
    record: &SendRecord,
) -> SendOutcome {
    let server = place.server().clone();
    let stream = match timeout_at(ends_at, paths.connect(server.target(&id.0))).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return SendOutcome::NotSent(error),
        Err(_) => return SendOutcome::OutOfTime,
    };
    let is_forwarded = stream.is_forwarded();
    let in_flight = place.depart();
    let (stream, read_size) = ShortReads::new(stream, paths.clock());
    let reads = stream.reads();
    let handshake =
        http1::Builder::new().max_buf_size(ANSWER_HEAD_BYTES).handshake(TokioIo::new(stream));
    let Ok((mut sender, connection)) = handshake.await else {
        return SendOutcome::Lost(LossCause::NoHandshake);
    };
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        let _departure = departure;
        // Its errors also reach the sender or the body, which report them.
        let _ = connection.await;
    }));
    record.note_departure(&server.id);
    let answer = match timeout_at(ends_at, sender.send_request(request)).await {
        Err(_) => return SendOutcome::Lost(LossCause::NoAnswer),
        Ok(Err(_)) => return SendOutcome::Lost(LossCause::ConnectionBroke),
        Ok(Ok(answer)) => answer,
    };
    if !answer::is_final(answer.status()) {
        return SendOutcome::Lost(LossCause::NoFinalStatus);
    }
    let (head, body) = answer.into_parts();
    if body.size_hint().exact().is_none() {
        read_size.shorten();
    }
    let facts = codec.read_answer(id, &head);
    match facts.verdict {
        Verdict::NotRun | Verdict::OtherServer => SendOutcome::NotRun(facts),
        Verdict::Foreign => SendOutcome::Lost(LossCause::Foreign),
        Verdict::Answered => {
            let answer = LiveAnswer {
                head,
                body,
                server,
                is_forwarded,
                early: VecDeque::new(),
                reads,
                _driver: driver,
                in_flight,
            };
            SendOutcome::Answer(Box::new(answer), facts)
        }
    }
}
