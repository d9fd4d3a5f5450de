//! Tests what callers and servers receive when servers misbehave.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::{sync::atomic::Ordering, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::time::sleep,
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
const TRUNCATED: Behavior =
    Behavior::SendAndClose("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\nhalf");
const OTHER_REQUEST: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nalien");
const INVALID: Behavior = Behavior::SendAndClose("\u{1}\u{2}\u{3} no answer");
const DOUBLED: Behavior = Behavior::Send(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nx-id: r1\r\n\
     content-length: 4\r\n\r\nmore",
);
const NOT_RUN: Behavior =
    Behavior::Send("HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
const FAILED: Behavior =
    Behavior::Send("HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: 4\r\n\r\noops");
const BROKEN_STREAM: Behavior = Behavior::SendAndClose(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n1d\r\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n",
);
const STREAM_REST: Behavior = Behavior::Send(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: B\n\n\r\n0\r\n\r\n",
);
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

#[tokio::test]
async fn a_whole_answer_is_passed_on_unchanged() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    let request = server.requests.lock()[0].clone();
    assert!(request.contains("x-workspace: w"), "{request}");
    assert!(!request.contains("x-key"), "the key must not be passed on: {request}");
}

/// A request that must run at most once is sent only once, whatever the server answers.
#[parameterized(
    truncated = { TRUNCATED },
    other_request = { OTHER_REQUEST },
    invalid = { INVALID },
    unresponsive = { Behavior::Hang },
)]
#[test_macro(tokio::test)]
async fn once_only_requests_are_never_sent_twice(behavior: Behavior) {
    let first = ScriptedServer::start(behavior).await;
    let second = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&first, &second]).await;
    let answer = relay.ask(&format!("{KEY}x-deadline: 600\r\n")).await;
    assert_eq!(first.count() + second.count(), 1);
    assert!(answer.starts_with("HTTP/1.1 502"), "it may have run: {answer}");
}

#[tokio::test]
async fn a_promise_of_not_run_frees_the_request_for_another_server() {
    let refusing = ScriptedServer::start(NOT_RUN).await;
    let working = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&refusing, &working]).await;
    for _ in 0..10 {
        assert!(relay.ask(KEY).await.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(working.count(), 10);
}

#[tokio::test]
async fn a_request_refused_by_all_servers_is_reported_as_not_run() {
    let refusing = ScriptedServer::start(NOT_RUN).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&refusing]).await;
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

#[parameterized(
    truncated = { TRUNCATED },
    other_request = { OTHER_REQUEST },
    invalid = { INVALID },
    failed = { FAILED },
)]
#[test_macro(tokio::test)]
async fn idempotent_requests_are_answered_by_another_server(behavior: Behavior) {
    let broken = ScriptedServer::start(behavior).await;
    let working = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&broken, &working]).await;
    for _ in 0..6 {
        let answer = relay.ask(KEY).await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok"), "{answer}");
    }
}

/// Without another server to retry on, the caller gets the failed server's own answer.
#[tokio::test]
async fn a_servers_failure_is_passed_on_when_nobody_else_is_there() {
    let server = ScriptedServer::start(FAILED).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with("HTTP/1.1 500") && answer.ends_with("oops"), "{answer}");
}

#[tokio::test]
async fn a_second_answer_on_a_connection_is_ignored() {
    let server = ScriptedServer::start(DOUBLED).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    for _ in 0..5 {
        let answer = relay.ask(KEY).await;
        assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    }
}

/// A stream that breaks inside an event is resumed at another server after its last complete event.
#[tokio::test]
async fn a_broken_stream_is_resumed_after_its_last_whole_event() {
    let broken = ScriptedServer::start(BROKEN_STREAM).await;
    let rest = ScriptedServer::start(STREAM_REST).await;
    let relay = TestRelay::start(RESUMABLE, &[&broken, &rest]).await;
    let mut resumed = 0;
    for _ in 0..10 {
        let before = broken.count();
        let answer = relay.ask(KEY).await;
        if broken.count() > before {
            resumed += 1;
            assert!(answer.contains("data: a"), "{answer}");
            assert!(!answer.contains("data: b"), "a partial event was forwarded: {answer}");
            assert!(answer.contains("data: B") && answer.ends_with("0\r\n\r\n"), "{answer}");
            let requests = rest.requests.lock();
            assert!(requests.last().unwrap().contains("x-after: 1"), "{requests:?}");
        }
        sleep(Duration::from_millis(400)).await;
    }
    assert!(resumed > 0);
}

/// A stream that no other server can resume must not look complete to the caller.
#[tokio::test]
async fn a_truncated_stream_has_no_final_chunk() {
    let broken = ScriptedServer::start(BROKEN_STREAM).await;
    let relay = TestRelay::start(RESUMABLE, &[&broken]).await;
    let answer = relay.ask(KEY).await;
    assert!(answer.contains("data: a"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work() {
    let server = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(RESUMABLE, &[&server]).await;
    relay.ask_and_leave(Duration::from_millis(200)).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(server.closed.load(Ordering::SeqCst), 1);
}

/// Nothing listens at the server's address, so the request can't have run.
#[tokio::test]
async fn unreachable_servers_are_reported_as_not_run() {
    let closed = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let relay = TestRelay::start_with(RequestKind::Unsafe, 2, vec![address]).await;
    assert!(relay.ask(KEY).await.starts_with("HTTP/1.1 503"));
}

#[tokio::test]
async fn an_unknown_key_reaches_no_server() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let answer = relay.ask("x-key: stolen\r\n").await;
    assert!(answer.contains("unknown-key"), "{answer}");
    assert_eq!(server.count(), 0);
}

/// The caller's deadline is 60 s, the route's timeout 3 s: the shorter one ends the request.
#[tokio::test]
async fn the_route_timeout_bounds_a_longer_caller_deadline() {
    let server = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let began = std::time::Instant::now();
    let answer = relay.ask(&format!("{KEY}x-deadline: 60000\r\n")).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(began.elapsed() < Duration::from_millis(3_500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_planned_stop_finishes_what_runs_and_takes_no_more() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let leaving = relay.stop(Duration::from_secs(5));
    let answer = relay.ask(KEY).await;
    assert!(answer.contains("connection: close"), "{answer}");
    leaving.drain();
    sleep(Duration::from_millis(100)).await;
    assert!(tokio::net::TcpStream::connect(relay.address).await.is_err());
}
