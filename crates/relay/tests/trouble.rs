//! Tests of servers that are slow, stall, announce that they leave, ask for quiet or never end.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::{Duration, Instant},
    support::{Behavior, ScriptedServer, TestRelay},
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
                           transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const STREAM_REST: Behavior = Behavior::Send(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: B\n\n\r\n0\r\n\r\n",
);
const MOMENT: Duration = Duration::from_millis(1);

/// A stream that may run only once can't be resumed elsewhere, so a pause is no reason to end it.
#[tokio::test]
async fn a_slow_stream_that_runs_once_is_not_cut() {
    let pieces = &[STREAM_HEAD, "f\r\nid: 2\ndata: b\n\n\r\n", "0\r\n\r\n"];
    let behavior = Behavior::Paced(pieces, Duration::from_millis(900));
    let first = ScriptedServer::start(behavior).await;
    let second = ScriptedServer::start(behavior).await;
    let relay =
        TestRelay::start(RequestKind::Stream { resumable: false }, &[&first, &second]).await;
    let answer = relay.ask(KEY).await;
    assert!(answer.contains("data: b") && answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(first.count() + second.count(), 1);
}

/// Bytes that complete no event are no progress: a stalled server may send one now and then.
#[parameterized(
    part_of_an_event = { "1\r\nd\r\n" },
    comments = { "4\r\n: x\n\r\n" },
    comment_events = { "5\r\n: x\n\n\r\n" },
    empty_lines = { "2\r\n\n\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_stalled_stream_moves_on_although_bytes_arrive(filler: &'static str) {
    let stalled = Behavior::Endless(STREAM_HEAD, filler, Duration::from_millis(150));
    let stalled = ScriptedServer::start(stalled).await;
    let rest = ScriptedServer::start(STREAM_REST).await;
    let relay = TestRelay::start(RESUMABLE, &[&stalled, &rest]).await;
    for _ in 0..20 {
        let before = stalled.count();
        let began = Instant::now();
        let answer = relay.ask(KEY).await;
        if stalled.count() > before {
            assert!(answer.contains("data: a") && answer.ends_with("0\r\n\r\n"), "{answer}");
            assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
            return;
        }
    }
    panic!("no request reached the stalled server");
}

const FILLER: &str =
    "x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";

/// Bytes without end are no answer: they are bounded, and another server answers.
#[parameterized(
    head = { "HTTP/1.1 200 OK\r\nx-id: r1\r\n", FILLER },
    no_head = { "", FILLER },
    announced_body = {
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 99999999999\r\n\r\n", FILLER
    },
    chunked_body = {
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"
    },
    body_until_the_end = { "HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\n", FILLER },
)]
#[test_macro(tokio::test)]
async fn bytes_without_end_are_no_answer(first: &'static str, filler: &'static str) {
    let endless = ScriptedServer::start(Behavior::Endless(first, filler, MOMENT)).await;
    let working = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&endless, &working]).await;
    for _ in 0..6 {
        let answer = relay.ask(&format!("{KEY}x-deadline: 1500\r\n")).await;
        let whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nok");
        assert!(whole || answer.starts_with("HTTP/1.1 50"), "{answer:.300}");
    }
    let alone = TestRelay::start(RequestKind::Unsafe, &[&endless]).await;
    let began = Instant::now();
    let answer = alone.ask(&format!("{KEY}x-deadline: 700\r\n")).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "it may have run: {answer:.300}");
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
}

/// An event without end is cut off, and the stream is resumed after its last whole event.
#[tokio::test]
async fn an_event_without_end_is_resumed_elsewhere() {
    let filler = "400\r\n\
        aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\
        aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    let endless = Behavior::Endless(STREAM_HEAD, filler, Duration::ZERO);
    let endless = ScriptedServer::start(endless).await;
    let rest = ScriptedServer::start(STREAM_REST).await;
    let relay = TestRelay::start(RESUMABLE, &[&endless, &rest]).await;
    for _ in 0..20 {
        let before = endless.count();
        let answer = relay.ask(KEY).await;
        if endless.count() > before {
            assert!(answer.contains("data: B") && answer.ends_with("0\r\n\r\n"), "{answer:.300}");
            return;
        }
    }
    panic!("no request reached the endless server");
}
