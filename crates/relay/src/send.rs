//! Sends one request to one server over a connection of its own.
//!
//! A reused connection may carry late or extra bytes of an earlier request, may have become
//! unresponsive, or may be closed while a request is being sent. With one connection for each request
//! none of this affects another caller. A new connection costs about a millisecond.

use {
    crate::{
        codec::{AnswerFacts, RequestCodec, Verdict},
        held_body::HeldBody,
        loss::LossCause,
        place::ServerPlace,
        request::RequestId,
        server::{BackendServer, InFlight},
    },
    caller::DepartureTimer,
    http::{Request, response},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    reach::{ConnectError, ServerPaths},
    std::sync::atomic::{AtomicBool, Ordering},
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
    _driver: AbortOnDropHandle<()>,
    _in_flight: InFlight,
}

impl LiveAnswer {
    /// Whether the head or the chunks say where the body ends, rather than the connection.
    pub(crate) fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
    }
}

/// Outcome of one send.
pub(crate) enum SendOutcome {
    /// No byte of the request left this process.
    NotSent(ConnectError),
    /// The server answered that it did not run the request.
    NotRun(AnswerFacts),
    /// The request may have been sent, and no valid answer to it was received.
    Lost(LossCause),
    /// The head of the answer was received.
    Answer(Box<LiveAnswer>, AnswerFacts),
}

/// Sends a request and waits for the head of the answer until `ends_at`. Sets `is_sent` before the first
/// byte of the request leaves this process.
pub(crate) async fn send_call<C: RequestCodec>(
    codec: &C,
    paths: &ServerPaths,
    id: &RequestId,
    place: ServerPlace,
    request: Request<HeldBody>,
    ends_at: Instant,
    departure: DepartureTimer,
    is_sent: &AtomicBool,
) -> SendOutcome {
    let server = place.server().clone();
    let stream = match paths.connect(server.target(&id.0)).await {
        Ok(stream) => stream,
        Err(error) => return SendOutcome::NotSent(error),
    };
    let is_forwarded = stream.is_forwarded();
    let in_flight = place.depart();
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
    is_sent.store(true, Ordering::Relaxed);
    let answer = match timeout_at(ends_at, sender.send_request(request)).await {
        Err(_) => return SendOutcome::Lost(LossCause::NoAnswer),
        Ok(Err(_)) => return SendOutcome::Lost(LossCause::ConnectionBroke),
        Ok(Ok(answer)) => answer,
    };
    let (head, body) = answer.into_parts();
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
                _driver: driver,
                _in_flight: in_flight,
            };
            SendOutcome::Answer(Box::new(answer), facts)
        }
    }
}
