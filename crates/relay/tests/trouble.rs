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

/// Once an answer said that its server leaves, nothing more is sent there.
#[parameterized(
    answered = { "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nok" },
    not_run = {
        "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n"
    },
)]
#[test_macro(tokio::test)]
async fn a_server_that_says_it_leaves_gets_nothing_more(answer: &'static str) {
    let leaving = ScriptedServer::start(Behavior::Send(answer)).await;
    let staying = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&leaving, &staying]).await;
    for _ in 0..20 {
        assert!(relay.ask(KEY).await.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(leaving.count(), 1);
    assert_eq!(relay.reported_leaving().await.as_str(), "s0");
    let alone = TestRelay::start(RequestKind::Safe, &[&leaving]).await;
    alone.ask(KEY).await;
    let refused = alone.ask(KEY).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "no other server is left: {refused}");
    assert_eq!(leaving.count(), 2);
}

/// A server that asks for quiet gets nothing for that time, also when it is the only one; callers
/// are told to return after it.
#[tokio::test]
async fn a_server_that_asks_for_quiet_gets_nothing_for_that_time() {
    let quiet = Behavior::Send(
        "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-quiet-ms: 900\r\n\
         content-length: 0\r\n\r\n",
    );
    let server = ScriptedServer::start(quiet).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let began = Instant::now();
    for _ in 0..20 {
        let answer = relay.ask(KEY).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        let retry_ms: u64 = header(&answer, "x-retry-ms").parse().unwrap();
        let left = 900_u64.saturating_sub(began.elapsed().as_millis() as u64);
        assert!((left.saturating_sub(50)..=2_000).contains(&retry_ms), "{retry_ms}, left {left}");
    }
    assert!(began.elapsed() < Duration::from_millis(800), "refusals come at once");
    assert_eq!(server.count(), 1);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    relay.ask(KEY).await;
    assert_eq!(server.count(), 2, "the time is over");
}

fn header<'a>(answer: &'a str, name: &str) -> &'a str {
    let line = answer.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no {name} in {answer}"))
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
