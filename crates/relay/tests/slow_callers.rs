//! Callers that do not read their answers.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::Duration,
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
    yare::parameterized,
};

/// Bytes of one event, so many that a few fill the buffers of a connection.
const EVENT_BYTES: usize = 128 * 1024;

fn endless_stream() -> Behavior {
    let head = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let data = "x".repeat(EVENT_BYTES);
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    Behavior::Endless(head, Box::leak(chunk.into_boxed_str()), Duration::from_millis(1))
}

/// A stream waited for a caller that does not read, far beyond its own time limit, and held its
/// place at the server.
#[parameterized(
    resumable = { RequestKind::Stream { resumable: true } },
    once = { RequestKind::Stream { resumable: false } },
)]
#[test_macro(tokio::test)]
async fn a_stream_to_a_caller_that_does_not_read_ends_at_its_time_limit(kind: RequestKind) {
    let server = ScriptedServer::start(endless_stream()).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let request = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\nx-deadline: 400\r\n\r\n";
    caller.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(relay.shared.work.len(), 1);
    sleep(Duration::from_millis(700)).await;
    assert!(relay.shared.work.is_empty(), "{:?}", relay.shared.work.snapshot());
    assert_eq!(relay.shared.work.ended().cut, 1);
}
