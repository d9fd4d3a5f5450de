//! Sends one request to one server over a connection of its own.
//!
//! A connection that served another request may bring late or extra bytes of that one, may have
//! fallen silent, or may be closed while a request is on its way. With one connection for each
//! request none of that can reach another caller; a connection costs about a millisecond.

use {
    crate::{
        codec::{AnswerFacts, RequestCodec, Verdict},
        connect::{ConnectError, connect_server},
        request::RequestId,
        server::{BackendServer, InFlight},
    },
    bytes::Bytes,
    http::{Request, response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::time::Duration,
    tokio::time::timeout,
    tokio_util::task::AbortOnDropHandle,
};

/// Largest head of a server's answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// An answer of which the head has come. Dropping it closes the connection, which tells the server
/// to stop.
pub(crate) struct LiveAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) server: BackendServer,
    _driver: AbortOnDropHandle<()>,
    _in_flight: InFlight,
}

/// What became of one send.
pub(crate) enum SendEnd {
    /// Nothing left this process.
    NotSent(ConnectError),
    /// The server said that it did not run it.
    NotRun(AnswerFacts),
    /// It was sent, and no answer of the server to it came.
    Lost(&'static str),
    /// The server's answer begins.
    Answer(Box<LiveAnswer>, AnswerFacts),
}

/// Sends a request and waits for the head of the answer, at most `wait`.
pub(crate) async fn send_call<C: RequestCodec>(
    codec: &C,
    id: &RequestId,
    server: &BackendServer,
    request: Request<Full<Bytes>>,
    wait: Duration,
) -> SendEnd {
    let stream = match connect_server(server.address).await {
        Ok(stream) => stream,
        Err(error) => return SendEnd::NotSent(error),
    };
    let in_flight = server.counters.start();
    let handshake =
        http1::Builder::new().max_buf_size(ANSWER_HEAD_BYTES).handshake(TokioIo::new(stream));
    let Ok((mut sender, connection)) = handshake.await else {
        return SendEnd::Lost("no handshake");
    };
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // Its errors also reach the sender or the body, which report them.
        let _ = connection.await;
    }));
    let answer = match timeout(wait, sender.send_request(request)).await {
        Err(_) => return SendEnd::Lost("no answer in time"),
        Ok(Err(_)) => return SendEnd::Lost("connection broke"),
        Ok(Ok(answer)) => answer,
    };
    let (head, body) = answer.into_parts();
    let facts = codec.read_answer(id, &head);
    match facts.verdict {
        Verdict::NotRun | Verdict::OtherServer => SendEnd::NotRun(facts),
        Verdict::Foreign => SendEnd::Lost("foreign answer"),
        Verdict::Answered => {
            let server = server.clone();
            let answer = LiveAnswer { head, body, server, _driver: driver, _in_flight: in_flight };
            SendEnd::Answer(Box::new(answer), facts)
        }
    }
}
