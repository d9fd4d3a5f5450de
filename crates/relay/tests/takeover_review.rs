//! Requests beside two servers whose first one goes on, breaks or fails late.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Behavior, ScriptedServer, TestRelay, unresponsive_address},
    tokio::time::sleep,
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const SECOND_EVENT: &str = "f\r\nid: 2\ndata: b\n\n\r\n";
const REST: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n";
const WHOLE_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n\
     0\r\n\r\n";
/// No chunk: the connection counts as broken.
const BREAK: &str = "no chunk\r\n";
const RESUMED: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";
const NOT_RUN: &str =
    "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: 4\r\n\r\noops";

/// A silence of 1.2 s between two events, then a break 0.6 s later.
const SILENT_THEN_BROKEN: Behavior =
    Behavior::Paced(&[FIRST_EVENT, "", SECOND_EVENT, BREAK], Duration::from_millis(600));

/// Two servers that behave alike, both of which make way for others at the given times.
async fn ask(
    kind: RequestKind,
    behavior: Behavior,
    extra: &str,
    lists: Vec<(Duration, Vec<SocketAddr>)>,
) -> (String, Duration, usize) {
    let twins = [ScriptedServer::start(behavior).await, ScriptedServer::start(behavior).await];
    let relay = TestRelay::start(kind, &[&twins[0], &twins[1]]).await;
    let began = Instant::now();
    let replaced = async {
        for (at, addresses) in lists {
            sleep(at.saturating_sub(began.elapsed())).await;
            relay.replace_servers(addresses);
        }
    };
    let asked = async {
        let answer = relay.ask(&format!("{KEY}{extra}")).await;
        (answer, began.elapsed())
    };
    let ((answer, took), ()) = tokio::join!(asked, replaced);
    (answer, took, twins.iter().map(ScriptedServer::count).sum())
}

/// A server that the request never reached, because no connection was made before the first server
/// went on, used up an attempt of the route: the stream was cut when its server broke later.
#[tokio::test]
async fn a_connection_that_was_not_made_is_no_attempt() {
    let (hanging, _fillers) = unresponsive_address().await;
    let sound = ScriptedServer::start(Behavior::Send(RESUMED)).await;
    // Silent from 0.95 s to 1.9 s; a connection is tried from 1.7 s on, for 0.4 s at most.
    let lists = vec![
        (Duration::from_millis(100), vec![hanging]),
        (Duration::from_millis(2_300), vec![hanging, sound.address]),
    ];
    let late = Behavior::Paced(&[FIRST_EVENT, SECOND_EVENT, BREAK], Duration::from_millis(950));
    let (answer, _, _) = ask(RESUMABLE, late, "", lists).await;
    assert!(answer.contains("data: b"), "{answer}");
    assert!(answer.contains("data: c") && answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
}

/// The second server had the stream and would have gone on, but the first one sent one more event and
/// then broke: the stream was cut beside a sound server that had been asked already.
#[tokio::test]
async fn a_server_that_lost_the_race_can_still_take_the_stream() {
    let slow = Behavior::Interrupted("", Duration::from_millis(800), RESUMED);
    let other = ScriptedServer::start(slow).await;
    let lists = vec![(Duration::from_millis(100), vec![other.address])];
    let (answer, _, _) = ask(RESUMABLE, SILENT_THEN_BROKEN, "", lists).await;
    assert!(answer.contains("data: c") && answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
}

/// A silent stream was held past its deadline while a connection to another server was being made.
#[tokio::test]
async fn a_search_ends_with_the_time_of_its_request() {
    let (hanging, _fillers) = unresponsive_address().await;
    let lists = vec![(Duration::from_millis(100), vec![hanging])];
    let silent = Behavior::Interrupted(FIRST_EVENT, Duration::from_secs(4), SECOND_EVENT);
    let (answer, took, _) = ask(RESUMABLE, silent, "x-deadline: 800\r\n", lists).await;
    assert!(answer.contains("data: a"), "{answer}");
    assert!(took < Duration::from_millis(1_050), "{took:?}");
}

/// A server's failure was held back until the end of the request's time, because another server took
/// the request and did not answer.
#[tokio::test]
async fn a_failure_is_passed_on_before_the_time_is_over() {
    let fails = Behavior::Interrupted("", Duration::from_millis(300), FAILED);
    let silent = ScriptedServer::start(Behavior::Hang).await;
    let lists = vec![(Duration::from_millis(100), vec![silent.address])];
    let (answer, took, _) = ask(RequestKind::Safe, fails, "", lists).await;
    assert!(answer.starts_with("HTTP/1.1 500") && answer.ends_with("oops"), "{took:?}: {answer}");
    assert!(took < Duration::from_millis(2_900), "{took:?}: {answer}");
}

/// The second server sent the head of an answer and no event: the first one was left for it, although
/// it went on a moment later, and the stream was cut.
#[parameterized(
    that_is_reset = { Behavior::SendAndReset(HEAD) },
    that_is_silent = { Behavior::Send(HEAD) },
)]
#[test_macro(tokio::test)]
async fn a_stream_is_not_left_for_a_head_without_an_event(behavior: Behavior) {
    let other = ScriptedServer::start(behavior).await;
    let lists = vec![(Duration::from_millis(100), vec![other.address])];
    let silent = Behavior::Interrupted(FIRST_EVENT, Duration::from_millis(1_200), REST);
    let (answer, _, _) = ask(RESUMABLE, silent, "", lists).await;
    assert!(answer.contains("data: b") && answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
}

/// The same before the first event: the first server would have answered.
#[parameterized(
    that_is_reset = { Behavior::SendAndReset(HEAD) },
    that_is_silent = { Behavior::Send(HEAD) },
)]
#[test_macro(tokio::test)]
async fn an_unanswered_stream_is_not_left_for_a_head_without_an_event(behavior: Behavior) {
    let other = ScriptedServer::start(behavior).await;
    let lists = vec![(Duration::from_millis(100), vec![other.address])];
    let late = Behavior::Interrupted("", Duration::from_millis(1_200), WHOLE_STREAM);
    let (answer, _, _) = ask(RESUMABLE, late, "", lists).await;
    assert!(answer.contains("data: b") && answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
}

/// One silence counted as two failures of its server when another server refused the stream: its
/// back-off was 1.6 s rather than 0.8 s.
#[tokio::test]
async fn one_silence_is_one_failure_of_a_server() {
    let silent = Behavior::Interrupted(FIRST_EVENT, Duration::from_millis(2_500), REST);
    let twins = [ScriptedServer::start(silent).await, ScriptedServer::start(silent).await];
    let relay = TestRelay::start(RESUMABLE, &[&twins[0], &twins[1]]).await;
    let other = ScriptedServer::start(Behavior::Send(NOT_RUN)).await;
    let known = relay.shared.servers.load_full();
    let checked = async {
        sleep(Duration::from_millis(100)).await;
        relay.replace_servers(vec![other.address]);
        // The silence is found after 0.75 s.
        sleep(Duration::from_millis(1_900)).await;
        let now = relay.shared.clock.now();
        known.all().filter(|server| server.counters.in_backoff(now)).count()
    };
    let (answer, held_back) = tokio::join!(relay.ask(KEY), checked);
    assert!(answer.ends_with("0\r\n\r\n") && other.count() == 1, "{answer}");
    assert_eq!(held_back, 0, "in back-off 1.2 s after one silence was found");
}

/// The control of [`a_connection_that_was_not_made_is_no_attempt`], without the hanging server.
#[tokio::test]
async fn a_stream_that_breaks_late_is_resumed() {
    let sound = ScriptedServer::start(Behavior::Send(RESUMED)).await;
    let lists = vec![
        (Duration::from_millis(100), vec![]),
        (Duration::from_millis(2_300), vec![sound.address]),
    ];
    let late = Behavior::Paced(&[FIRST_EVENT, SECOND_EVENT, BREAK], Duration::from_millis(950));
    let (answer, _, _) = ask(RESUMABLE, late, "", lists).await;
    assert!(answer.contains("data: c") && answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
}
