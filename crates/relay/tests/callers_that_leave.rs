//! What servers still work on after a caller has left.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    socket2::SockRef,
    std::{io::Write, net::TcpStream as PlainStream, sync::atomic::Ordering, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
    yare::parameterized,
};

/// Time in which the server must learn that the caller has left.
const LEFT_WITHIN: Duration = Duration::from_millis(500);
/// Time in which a request reaches the server on loopback, and the server answers.
const REACH_TIME: Duration = Duration::from_millis(150);

const REQUEST: &str = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\r\n";
const SECOND_REQUEST: &str = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r2\r\nx-key: k\r\n\r\n";
/// More than a process may buffer for one caller.
const MANY_BYTES: usize = 64 * 1024;

const STREAM_BEGIN: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
                            transfer-encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n";
const WHOLE_ANSWER: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");

const STREAM: RequestKind = RequestKind::Stream { resumable: true };

/// What a caller sends behind a request that is not answered yet.
#[derive(Clone, Copy, Debug)]
enum Behind {
    Nothing,
    /// Together with the request.
    Along(&'static str),
    /// While the server works on the request.
    Later(&'static str),
    /// More than is read ahead, while the server works on the request.
    Much,
}

/// How a caller ends its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
    HalfClose,
}

/// Sends a request and waits until the server works on it.
async fn begin_request(relay: &TestRelay, server: &ScriptedServer, behind: Behind) -> TcpStream {
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let along = if let Behind::Along(text) = behind { text } else { "" };
    caller.write_all(format!("{REQUEST}{along}").as_bytes()).await.unwrap();
    sleep(REACH_TIME).await;
    match behind {
        Behind::Nothing | Behind::Along(_) => {}
        Behind::Later(text) => caller.write_all(text.as_bytes()).await.unwrap(),
        Behind::Much => caller.write_all(&[b'x'; MANY_BYTES]).await.unwrap(),
    }
    sleep(REACH_TIME).await;
    assert_eq!(server.count(), 1);
    assert_eq!(server.closed.load(Ordering::SeqCst), 0, "the caller is still there");
    caller
}

/// Bytes behind a request hid that its caller closed the connection, so that the server worked on
/// until its answer ended.
#[parameterized(
    safe_plain = { RequestKind::Safe, Behavior::Hang, Behind::Nothing, Departure::Close },
    safe_stray_line = { RequestKind::Safe, Behavior::Hang, Behind::Along("\r\n"), Departure::Close },
    safe_stray_line_reset = {
        RequestKind::Safe, Behavior::Hang, Behind::Along("\r\n"), Departure::Reset
    },
    safe_second_along = {
        RequestKind::Safe, Behavior::Hang, Behind::Along(SECOND_REQUEST), Departure::Close
    },
    safe_second_later = {
        RequestKind::Safe, Behavior::Hang, Behind::Later(SECOND_REQUEST), Departure::Close
    },
    safe_much = { RequestKind::Safe, Behavior::Hang, Behind::Much, Departure::Close },
    silent_stream_plain = { STREAM, Behavior::Hang, Behind::Nothing, Departure::Close },
    silent_stream_stray_line = { STREAM, Behavior::Hang, Behind::Along("\r\n"), Departure::Close },
    silent_stream_second_along = {
        STREAM, Behavior::Hang, Behind::Along(SECOND_REQUEST), Departure::Close
    },
    silent_stream_second_later = {
        STREAM, Behavior::Hang, Behind::Later(SECOND_REQUEST), Departure::HalfClose
    },
    stream_plain = { STREAM, Behavior::Send(STREAM_BEGIN), Behind::Nothing, Departure::Reset },
    stream_stray_line = {
        STREAM, Behavior::Send(STREAM_BEGIN), Behind::Along("\r\n"), Departure::Close
    },
    stream_second_along = {
        STREAM, Behavior::Send(STREAM_BEGIN), Behind::Along(SECOND_REQUEST), Departure::Close
    },
    stream_second_later = {
        STREAM, Behavior::Send(STREAM_BEGIN), Behind::Later(SECOND_REQUEST), Departure::Reset
    },
    stream_much = { STREAM, Behavior::Send(STREAM_BEGIN), Behind::Much, Departure::Close },
)]
#[test_macro(tokio::test)]
async fn a_server_learns_at_once_that_the_caller_left_behind_further_bytes(
    kind: RequestKind,
    behavior: Behavior,
    behind: Behind,
    departure: Departure,
) {
    let server = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start_with(kind, 1, vec![server.address]).await;
    let mut caller = begin_request(&relay, &server, behind).await;
    match departure {
        Departure::Close => {}
        Departure::Reset => SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap(),
        Departure::HalfClose => caller.shutdown().await.unwrap(),
    }
    if !matches!(departure, Departure::HalfClose) {
        drop(caller);
    }
    sleep(LEFT_WITHIN).await;
    assert_eq!(server.closed.load(Ordering::SeqCst), 1, "the server works on");
    assert_eq!(server.count(), 1, "no further request is sent for a caller that left");
}

/// A request whose caller had already left when the process read it must not reach a server.
#[parameterized(
    close = { Departure::Close, "" },
    reset = { Departure::Reset, "" },
    close_behind_a_line = { Departure::Close, "\r\n" },
    close_behind_a_request = { Departure::Close, SECOND_REQUEST },
)]
#[test_macro(tokio::test)]
async fn a_request_that_is_read_after_its_caller_left_is_not_sent(
    departure: Departure,
    behind: &str,
) {
    let server = ScriptedServer::start(WHOLE_ANSWER).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let mut caller = PlainStream::connect(relay.address).unwrap();
    // Accepts the connection.
    sleep(Duration::from_millis(50)).await;
    caller.write_all(format!("{REQUEST}{behind}").as_bytes()).unwrap();
    if let Departure::Reset = departure {
        SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(caller);
    // The process stands still for longer than the bytes take to arrive.
    std::thread::sleep(Duration::from_millis(100));
    sleep(LEFT_WITHIN).await;
    assert_eq!(server.count(), 0);
}

/// Requests that a caller sends together are all answered, in their order.
#[tokio::test]
async fn requests_that_are_sent_together_are_answered_in_turn() {
    let server = ScriptedServer::start(Behavior::Paced(
        &["HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\n", "ok"],
        Duration::from_millis(100),
    ))
    .await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let last = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\nconnection: close\r\n\r\n";
    caller.write_all(format!("{REQUEST}{REQUEST}{last}").as_bytes()).await.unwrap();
    let mut answers = String::new();
    caller.read_to_string(&mut answers).await.unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
    assert_eq!(server.count(), 3);
}
