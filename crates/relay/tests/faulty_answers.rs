//! Servers that answer wrongly: errors after a stream has begun, heads that stop half way, copies of
//! earlier answers.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    socket2::SockRef,
    std::{net::SocketAddr, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const BEGUN: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n\
                     e\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n";
/// Longer than the window of a connection.
const LONG_BODY: usize = 8_000_000;

/// Starts a server that answers each connection with these bytes and then closes or resets it.
async fn start_server(bytes: Vec<u8>, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(&bytes).await;
                if resets {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
        }
    });
    address
}

/// A stream that had begun broke off, and the next server answered with an error: callers found its
/// text in the middle of their stream, or the stream looked complete.
#[parameterized(
    with_length = { "500 Failed", "content-length: 9\r\n\r\nthe error" },
    without_length = { "500 Failed", "\r\nthe error" },
    chunked = { "500 Failed", "transfer-encoding: chunked\r\n\r\n9\r\nthe error\r\n0\r\n\r\n" },
    as_an_event = { "500 Failed", "content-length: 17\r\n\r\ndata: the error\n\n" },
    empty = { "500 Failed", "content-length: 0\r\n\r\n" },
    not_run = { "503 Full", "x-not-run: 1\r\ncontent-length: 9\r\n\r\nthe error" },
    not_found = { "404 Gone", "content-length: 9\r\n\r\nthe error" },
    redirected = { "302 Found", "location: /x\r\ncontent-length: 9\r\n\r\nthe error" },
    success_without_events = { "200 OK", "content-length: 9\r\n\r\nthe error" },
    of_another_request = { "500 Failed", "x-id: r0\r\ncontent-length: 9\r\n\r\nthe error" },
)]
#[test_macro(tokio::test)]
async fn an_error_of_the_next_server_stays_out_of_a_stream(status: &str, rest: &str) {
    let error = format!("HTTP/1.1 {status}\r\nx-id: r1\r\n{rest}");
    let answer = answer_of_broken_stream(error.into_bytes()).await;
    assert!(answer.contains("data: a"), "{answer}");
    assert!(!answer.contains("the error") && !answer[12..].contains("HTTP/1.1"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "it looks complete: {answer}");
}

#[tokio::test]
async fn a_long_error_of_the_next_server_stays_out_of_a_stream() {
    let head = format!("HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: {LONG_BODY}\r\n\r\n");
    let answer = answer_of_broken_stream([head.as_bytes(), &vec![b'e'; LONG_BODY]].concat()).await;
    assert!(answer.contains("data: a") && !answer.contains("eee"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "it looks complete: {answer}");
}

/// The answer to a stream that breaks off after its first event, when the second server sends these
/// bytes.
async fn answer_of_broken_stream(second: Vec<u8>) -> String {
    let broken = ScriptedServer::start(Behavior::SendAndClose(BEGUN)).await;
    let next = start_server(second, false).await;
    let relay = TestRelay::start_with(RESUMABLE, 2, vec![broken.address, next]).await;
    for _ in 0..40 {
        let answer = relay.ask(KEY).await;
        if broken.count() > 0 && answer.contains("data: a") {
            return answer;
        }
    }
    panic!("no request reached the first server");
}

/// Servers stopped in the middle of their answer's head: callers got an empty body that looked whole.
#[parameterized(
    plain_closed = { RequestKind::Unsafe, "content-length: 2\r\n\r\n", false },
    plain_reset = { RequestKind::Unsafe, "content-length: 2\r\n\r\n", true },
    repeated = { RequestKind::Safe, "content-length: 2\r\n\r\n", false },
    chunked = { RequestKind::Unsafe, "transfer-encoding: chunked\r\n\r\n", false },
    stream_closed = { RESUMABLE, "transfer-encoding: chunked\r\n\r\n", false },
    stream_reset = { RESUMABLE, "transfer-encoding: chunked\r\n\r\n", true },
    stream_without_length = { RESUMABLE, "\r\n", false },
)]
#[test_macro(tokio::test)]
async fn a_head_that_stops_half_way_is_no_answer(kind: RequestKind, rest: &str, resets: bool) {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: r1\r\n{rest}");
    for length in 0..=head.len() {
        let server = start_server(head.as_bytes()[..length].to_vec(), resets).await;
        let relay = TestRelay::start_with(kind, 2, vec![server]).await;
        let answer = relay.ask(KEY).await;
        let looks_whole = answer.starts_with("HTTP/1.1 200")
            && (answer.ends_with("0\r\n\r\n") || answer.contains("content-length"));
        assert!(!looks_whole, "head of {length} bytes: {answer}");
        assert!(!answer.starts_with("HTTP/1.1 503"), "it may have run: {answer}");
    }
}

/// A server that repeats an earlier refusal has connections of one request each, so that the copy is
/// not taken for the answer to the next one.
#[parameterized(
    unsafe_request = { RequestKind::Unsafe },
    once = { RequestKind::Stream { resumable: false } },
)]
#[test_macro(tokio::test)]
async fn a_copy_of_a_refusal_is_no_answer(kind: RequestKind) {
    let copy = "HTTP/1.1 503 Full\r\nx-id: r0\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    for split in [0, 1, copy.len() / 2, copy.len() - 1, copy.len()] {
        let (early, late) = copy.split_at(split);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.write_all(early.as_bytes()).await;
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(late.as_bytes()).await;
                let _ = stream.read(&mut request).await;
            }
        });
        let relay = TestRelay::start_with(kind, 2, vec![address]).await;
        let answer = relay.ask(KEY).await;
        // Bytes before the request show that the server has not read it; a refusal is true then.
        let is_refused = answer.starts_with("HTTP/1.1 503");
        assert!(split == copy.len() || !is_refused, "split at {split}: {answer}");
    }
}
