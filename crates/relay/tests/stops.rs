//! Requests around a planned stop.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::Duration,
    support::{Behavior, ScriptedServer, TestRelay, unresponsive_address},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const WHOLE_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
/// Is reset 50 ms after its first event.
const BROKEN_STREAM: Behavior = Behavior::SendAndReset(STREAM_HEAD);
const ENDLESS_STREAM: Behavior =
    Behavior::Endless(STREAM_HEAD, "4\r\n: x\n\r\n", Duration::from_millis(20));
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const ONCE: RequestKind = RequestKind::Stream { resumable: false };
/// Later than the head timeout of a request that may be sent again.
const LATE_ANSWER: Behavior = Behavior::Paced(
    &["HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok"],
    Duration::from_millis(1_800),
);
const LATE_STREAM: Behavior = Behavior::Paced(&[WHOLE_STREAM], Duration::from_millis(1_800));
const LATE_FAILURE: Behavior = Behavior::Paced(
    &["HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: 4\r\n\r\noops"],
    Duration::from_millis(200),
);
/// Shorter than the timeout of the route, 3 s.
const SHORT_REST: Duration = Duration::from_millis(400);
/// Much sooner than any timeout.
const PROMPTLY: Duration = Duration::from_secs(1);

/// A stopping process took on work that could outlast it, and cut it at its end.
#[parameterized(
    safe = { RequestKind::Safe },
    not_idempotent = { RequestKind::Unsafe },
    stream = { RESUMABLE },
    stream_once = { ONCE },
)]
#[test_macro(tokio::test)]
async fn a_request_that_may_outlast_the_process_is_refused_unsent(kind: RequestKind) {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let _leaving = relay.stop(SHORT_REST);
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("x-retry-ms: 0"), "another process can take it at once: {answer}");
    assert!(answer.ends_with("stopping"), "{answer}");
    assert_eq!(server.count(), 0);
}

#[parameterized(
    safe = { RequestKind::Safe, COMPLETE, "ok" },
    not_idempotent = { RequestKind::Unsafe, COMPLETE, "ok" },
    stream = { RESUMABLE, Behavior::Send(WHOLE_STREAM), "0\r\n\r\n" },
    stream_once = { ONCE, Behavior::Send(WHOLE_STREAM), "0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_request_that_ends_before_the_process_is_served(
    kind: RequestKind,
    behavior: Behavior,
    end: &str,
) {
    let server = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let _leaving = relay.stop(SHORT_REST);
    let answer = relay.ask(&format!("{KEY}x-deadline: 250\r\n")).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(end), "{answer}");
}

/// The end of a process dropped the requests that still ran, and told nobody.
#[parameterized(
    safe = { RequestKind::Safe },
    not_idempotent = { RequestKind::Unsafe },
    stream = { RESUMABLE },
    stream_once = { ONCE },
)]
#[test_macro(tokio::test)]
async fn a_request_that_still_runs_at_the_end_is_told_that_it_may_have_run(kind: RequestKind) {
    let server = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let asked = async { relay.ask(KEY).await };
    let stopped = async {
        sleep(Duration::from_millis(150)).await;
        let draining = relay.stop(Duration::from_secs(5)).drain();
        sleep(Duration::from_millis(50)).await;
        draining.end();
    };
    let (answer, ()) = tokio::join!(asked, stopped);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.ends_with("cut-short"), "{answer}");
}

#[parameterized(stream = { RESUMABLE }, stream_once = { ONCE })]
#[test_macro(tokio::test)]
async fn a_stream_that_still_runs_at_the_end_does_not_look_whole(kind: RequestKind) {
    let server = ScriptedServer::start(ENDLESS_STREAM).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let asked = async { timeout(PROMPTLY, relay.ask(KEY)).await.unwrap() };
    let stopped = async {
        sleep(Duration::from_millis(150)).await;
        relay.stop(Duration::from_secs(5)).drain().end();
    };
    let (answer, ()) = tokio::join!(asked, stopped);
    assert!(answer.contains("data: a"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(relay.shared.work.ended().cut, 1);
}

/// A body that is still arriving at the end was never sent on.
#[tokio::test]
async fn a_request_without_its_whole_body_at_the_end_is_told_that_it_did_not_run() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let head = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\
                transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    relay.stop(Duration::from_secs(5)).drain().end();
    let mut answer = String::new();
    timeout(PROMPTLY, caller.read_to_string(&mut answer)).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("stopping"), "{answer}");
    assert_eq!(server.count(), 0);
}

/// A request that runs on past the end of the grace time is not sent to a second server.
#[parameterized(safe = { RequestKind::Safe }, stream = { RESUMABLE })]
#[test_macro(tokio::test)]
async fn a_retry_that_may_outlast_the_process_is_not_made(kind: RequestKind) {
    let broken = Behavior::Paced(&["HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n"], SHORT_REST);
    let first = ScriptedServer::start(broken).await;
    let second = ScriptedServer::start(broken).await;
    let relay = TestRelay::start(kind, &[&first, &second]).await;
    let asked = async { relay.ask(KEY).await };
    let stopped = async {
        sleep(Duration::from_millis(100)).await;
        relay.stop(Duration::from_secs(1))
    };
    let (answer, _leaving) = tokio::join!(asked, stopped);
    assert_eq!(first.count() + second.count(), 1);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

/// Its caller goes on at another process, which has the time for the rest.
#[tokio::test]
async fn a_broken_stream_that_may_outlast_the_process_is_not_resumed() {
    let first = ScriptedServer::start(BROKEN_STREAM).await;
    let second = ScriptedServer::start(BROKEN_STREAM).await;
    let relay = TestRelay::start(RESUMABLE, &[&first, &second]).await;
    let asked = async { relay.ask(KEY).await };
    let stopped = async {
        sleep(Duration::from_millis(20)).await;
        relay.stop(SHORT_REST)
    };
    let (answer, _leaving) = tokio::join!(asked, stopped);
    assert!(answer.contains("data: a") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(first.count() + second.count(), 1);
}

/// A stop ended requests whose server was slow: they were given up for a retry that was not allowed.
#[parameterized(
    safe = { RequestKind::Safe, LATE_ANSWER },
    stream = { RESUMABLE, LATE_STREAM },
)]
#[test_macro(tokio::test)]
async fn a_slow_server_is_waited_for_when_no_retry_is_possible(kind: RequestKind, late: Behavior) {
    let first = ScriptedServer::start(late).await;
    let second = ScriptedServer::start(late).await;
    let relay = TestRelay::start(kind, &[&first, &second]).await;
    let asked = async { relay.ask(KEY).await };
    let stopped = async {
        sleep(Duration::from_millis(100)).await;
        relay.stop(Duration::from_millis(2_500))
    };
    let (answer, _leaving) = tokio::join!(asked, stopped);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(first.count() + second.count(), 1);
}

/// A request that had no connection yet when the process ended was told that it may have run.
#[tokio::test]
async fn a_request_without_a_connection_at_the_end_is_told_that_it_did_not_run() {
    let (address, _filled) = unresponsive_address().await;
    let relay = TestRelay::start_with(RequestKind::Unsafe, 1, vec![address]).await;
    let asked = async { timeout(PROMPTLY, relay.ask(KEY)).await.unwrap() };
    let stopped = async {
        sleep(Duration::from_millis(100)).await;
        relay.stop(Duration::from_secs(5)).drain().end();
    };
    let (answer, ()) = tokio::join!(asked, stopped);
    assert!(answer.starts_with("HTTP/1.1 503") && answer.ends_with("stopping"), "{answer}");
}

/// The answer of a failing server is passed on where a retry may outlast the process.
#[tokio::test]
async fn a_failed_answer_is_passed_on_when_no_retry_is_possible() {
    let first = ScriptedServer::start(LATE_FAILURE).await;
    let second = ScriptedServer::start(LATE_FAILURE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&first, &second]).await;
    let asked = async { relay.ask(KEY).await };
    let stopped = async {
        sleep(Duration::from_millis(50)).await;
        relay.stop(Duration::from_secs(1))
    };
    let (answer, _leaving) = tokio::join!(asked, stopped);
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert_eq!(first.count() + second.count(), 1);
}

/// A stream whose next server does not answer is cut when the process ends.
#[tokio::test]
async fn a_stream_that_is_being_resumed_at_the_end_is_cut() {
    let first = ScriptedServer::start(BROKEN_STREAM).await;
    let second = ScriptedServer::start(BROKEN_STREAM).await;
    let relay = TestRelay::start(RESUMABLE, &[&first, &second]).await;
    let (address, _filled) = unresponsive_address().await;
    let asked = async { timeout(PROMPTLY, relay.ask(KEY)).await.unwrap() };
    let stopped = async {
        sleep(Duration::from_millis(20)).await;
        relay.replace_servers(vec![address]);
        sleep(Duration::from_millis(150)).await;
        relay.stop(Duration::from_secs(5)).drain().end();
    };
    let (answer, ()) = tokio::join!(asked, stopped);
    assert!(answer.contains("data: a") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(relay.shared.work.ended().cut, 1);
}

/// A caller that does not read kept its stream open past the end.
#[tokio::test]
async fn a_stream_whose_caller_does_not_read_is_cut_at_the_end() {
    let event = format!("id: 2\ndata: {}\n\n", "b".repeat(60_000));
    let filler: &'static str = format!("{:x}\r\n{event}\r\n", event.len()).leak();
    let server =
        ScriptedServer::start(Behavior::Endless(STREAM_HEAD, filler, Duration::ZERO)).await;
    let relay = TestRelay::start(RESUMABLE, &[&server]).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(relay.address).await.unwrap();
    let head = format!("GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n{KEY}\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(relay.shared.work.len(), 1, "the stream is still open");
    relay.stop(Duration::from_secs(5)).drain().end();
    sleep(Duration::from_millis(500)).await;
    assert!(relay.shared.work.is_empty(), "{:?}", relay.shared.work.snapshot());
    assert_eq!(relay.shared.work.ended().cut, 1);
}
