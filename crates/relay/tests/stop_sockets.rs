//! What callers see at the sockets of a process that stops.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::{
        io::{Read, Write},
        net::TcpStream as PlainStream,
        time::Duration,
    },
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
const REQUEST: &[u8] =
    b"GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\nx-deadline: 250\r\n\r\n";
/// Long enough for a request with [`REQUEST`]'s deadline.
const LONG_REST: Duration = Duration::from_secs(5);

/// Sends bytes that no task of the test's thread has seen when it returns.
fn send_unseen(stream: &mut PlainStream, bytes: &[u8]) {
    stream.write_all(bytes).unwrap();
    // Loopback delivers them within this time, while the tasks stand still.
    std::thread::sleep(Duration::from_millis(20));
}

/// The answer, up to the close of the connection.
async fn read_answer(stream: PlainStream) -> Result<String, std::io::Error> {
    let read = move || {
        let mut text = String::new();
        (&stream).read_to_string(&mut text).map(|_| text)
    };
    tokio::task::spawn_blocking(read).await.unwrap()
}

/// A request that had arrived when the process closed idle connections was reset unread.
#[tokio::test]
async fn a_request_at_a_kept_connection_that_is_about_to_close_is_answered() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = PlainStream::connect(relay.address).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    send_unseen(&mut caller, REQUEST);
    while relay.shared.work.ended().whole == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(50)).await;
    send_unseen(&mut caller, REQUEST);
    let _draining = relay.stop(LONG_REST).drain();
    let answers = read_answer(caller).await.unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(server.count(), 2);
}

/// Connections that no request had come over yet were closed when the port closed.
#[tokio::test]
async fn the_first_request_on_a_connection_that_was_just_accepted_is_answered() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    let _draining = relay.stop(LONG_REST).drain();
    sleep(Duration::from_millis(20)).await;
    caller.write_all(REQUEST).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Connections that were established and not accepted yet were reset when the port closed, with the
/// requests that they carried.
#[tokio::test]
async fn connections_that_wait_for_the_port_are_served() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    sleep(Duration::from_millis(20)).await;
    let mut callers: Vec<PlainStream> =
        (0..20).map(|_| PlainStream::connect(relay.address).unwrap()).collect();
    for caller in &mut callers {
        caller.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        send_unseen(caller, REQUEST);
    }
    let _draining = relay.stop(LONG_REST).drain();
    for caller in callers {
        let answer = read_answer(caller).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(PlainStream::connect(relay.address).is_err(), "the port is closed");
}

/// A connection that nobody uses does not hold the process up.
#[tokio::test]
async fn an_unused_connection_ends_with_the_port() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    let _draining = relay.stop(LONG_REST).drain();
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_millis(200), caller.read_to_end(&mut rest)).await;
    assert_eq!(closed.expect("closed at once").unwrap(), 0);
}

/// A caller that does not read leaves pieces of its stream in the buffers; what they hold is no whole
/// answer.
#[tokio::test]
async fn a_stream_that_its_caller_does_not_read_is_cut() {
    let head = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(60_000));
    let piece: &'static str = Box::leak(format!("{:x}\r\n{event}\r\n", event.len()).into());
    let server =
        ScriptedServer::start(Behavior::Endless(head, piece, Duration::from_millis(1))).await;
    let kind = RequestKind::Stream { resumable: false };
    let relay = TestRelay::start(kind, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    caller
        .write_all(b"GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\r\n")
        .await
        .unwrap();
    // Longer than it takes to fill the buffers of the kernel.
    sleep(Duration::from_millis(1_500)).await;
    relay.stop(LONG_REST).drain().end();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(relay.shared.work.ended().cut, 1);
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(3), caller.read_to_end(&mut answer)).await;
    read.expect("the connection ends").unwrap();
    assert!(answer.len() > 4 * event.len(), "{} bytes", answer.len());
    assert!(!answer.ends_with(b"\r\n0\r\n\r\n"));
}
