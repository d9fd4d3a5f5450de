//! Streams that callers resume after their last event.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::Duration,
    support::{Behavior, LostLinks, ScriptedServer, TestRelay},
    yare::parameterized,
};

const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const RESUMED: &str = "x-key: k\r\nx-last: 12\r\n";
const FIRST: &str = "x-key: k\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n\r\n";
const COMMENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n\
                       transfer-encoding: chunked\r\n\r\n3\r\n:\n\n\r\n0\r\n\r\n";
const BEGUN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const HALF_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n\
                          transfer-encoding: chunked\r\n\r\n6\r\nid: 13\r\n0\r\n\r\n";

/// Asserts that an answer is the empty rest of a stream, with the server's seal.
fn assert_empty_rest(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("x-seal: s"), "{answer:?}");
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
    let is_empty = body.is_some_and(|body| !body.contains("id:") && body.ends_with("0\r\n\r\n"));
    assert!(is_empty, "{answer:?}");
}

fn assert_not_whole(answer: &str) {
    let is_whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
    assert!(!is_whole, "{answer:?}");
}

/// A caller that had all events but not the end resumed the stream in vain: the empty rest was sent to a
/// second server, and the connection was closed.
#[parameterized(
    chunked = { CHUNKED, false },
    with_length = { WITH_LENGTH, false },
    without_length = { WITHOUT_LENGTH, true },
    only_a_comment = { COMMENT, false },
)]
#[test_macro(tokio::test)]
async fn the_empty_rest_of_a_resumed_stream_is_passed_on_once(rest: &'static str, closes: bool) {
    let behavior = if closes { Behavior::SendAndClose(rest) } else { Behavior::Send(rest) };
    let server = ScriptedServer::start(behavior).await;
    let other = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start(RESUMABLE, &[&server, &other]).await;
    assert_empty_rest(&relay.ask(RESUMED).await);
    assert_eq!(server.count() + other.count(), 1);
}

/// The same over a connection that a peer passes on.
#[parameterized(
    chunked = { CHUNKED, false },
    without_length = { WITHOUT_LENGTH, true },
)]
#[test_macro(tokio::test)]
async fn an_empty_rest_is_whole_over_a_peer(rest: &'static str, closes: bool) {
    let behavior = if closes { Behavior::SendAndClose(rest) } else { Behavior::Send(rest) };
    let server = ScriptedServer::start(behavior).await;
    let sound = TestRelay::start(RESUMABLE, &[&server]).await;
    let cut = TestRelay::start_with_links(RESUMABLE, &[&server], LostLinks::Refused).await;
    cut.join_peers(&[&sound]).await;
    assert_empty_rest(&cut.ask(RESUMED).await);
}

/// An answer that breaks before any event is none, whoever resumed the stream; the next server has the rest.
#[parameterized(
    reset = { Behavior::SendAndReset(BEGUN_CHUNKS) },
    closed = { Behavior::SendAndClose(BEGUN_CHUNKS) },
    half_an_event = { Behavior::Send(HALF_EVENT) },
)]
#[test_macro(tokio::test)]
async fn the_rest_comes_from_the_next_server_where_the_first_is_lost(broken: Behavior) {
    let server = ScriptedServer::start(broken).await;
    let other = ScriptedServer::start(Behavior::Send(CHUNKED)).await;
    let relay = TestRelay::start(RESUMABLE, &[&server, &other]).await;
    for _ in 0..6 {
        assert_empty_rest(&relay.ask(RESUMED).await);
    }
    let alone = TestRelay::start(RESUMABLE, &[&server]).await;
    assert_not_whole(&alone.ask(RESUMED).await);
}

/// A silent server is left for one that ends the stream.
#[tokio::test]
async fn a_silent_server_is_left_for_an_empty_rest() {
    let silent =
        ScriptedServer::start(Behavior::Paced(&[BEGUN_CHUNKS, ":\n\n"], Duration::from_millis(1)));
    let silent = silent.await;
    let other = ScriptedServer::start(Behavior::Send(CHUNKED)).await;
    let relay = TestRelay::start(RESUMABLE, &[&silent, &other]).await;
    for _ in 0..4 {
        assert_empty_rest(&relay.ask(RESUMED).await);
    }
}

/// During a planned stop too.
#[tokio::test]
async fn an_empty_rest_is_whole_while_the_process_stops() {
    let server = ScriptedServer::start(Behavior::Send(CHUNKED)).await;
    let relay = TestRelay::start(RESUMABLE, &[&server]).await;
    let _stop = relay.stop(Duration::from_secs(4));
    assert_empty_rest(&relay.ask(RESUMED).await);
}

/// A stream that begins, or may run once, still needs an event to be whole.
#[parameterized(
    begins = { RESUMABLE, FIRST },
    once = { RequestKind::Stream { resumable: false }, RESUMED },
)]
#[test_macro(tokio::test)]
async fn other_streams_need_an_event(kind: RequestKind, head: &str) {
    let server = ScriptedServer::start(Behavior::Send(CHUNKED)).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    assert_not_whole(&relay.ask(head).await);
}
