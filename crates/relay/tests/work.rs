//! Where requests for model engines go, by the work that is expected of them and of their servers.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::{BackendServer, RequestKind, ServerCounters},
    std::{sync::Arc, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay, log_text::metrics_text},
    tokio::time::sleep,
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const STREAM: RequestKind = RequestKind::Stream { resumable: false };
/// A stream of two events that ends.
const TWO_EVENTS: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
/// Time that a request usually stays at a server.
const STAY: Duration = Duration::from_secs(1);

async fn two_servers() -> (TestRelay, ScriptedServer, ScriptedServer) {
    let first = ScriptedServer::start(Behavior::Send(TWO_EVENTS)).await;
    let second = ScriptedServer::start(Behavior::Send(TWO_EVENTS)).await;
    let relay = TestRelay::start(STREAM, &[&first, &second]).await;
    (relay, first, second)
}

fn first_counters(relay: &TestRelay) -> Arc<ServerCounters> {
    let table = relay.shared.servers.load();
    let server: &BackendServer = table.all().next().unwrap();
    server.counters.clone()
}

fn make_slow(counters: &ServerCounters, relay: &TestRelay) {
    counters.note_reported_pace(8.0, relay.shared.clock.now());
}

/// It fails requests at once, and no back-off holds it back.
fn make_grey(counters: &ServerCounters, relay: &TestRelay) {
    let now = relay.shared.clock.now();
    (0..10).for_each(|_| counters.note_failed_request(now));
}

/// A server that a member slows down got half of the requests until answers had shown it, and one that
/// fails fast got them again after each back-off.
#[parameterized(slow = { make_slow }, grey = { make_grey })]
#[test_macro(tokio::test)]
async fn slow_and_failing_engines_get_less_at_once(impair: fn(&ServerCounters, &TestRelay)) {
    let (relay, first, second) = two_servers().await;
    relay.set_engines();
    impair(&first_counters(&relay), &relay);
    sleep(Duration::from_millis(5)).await;
    for _ in 0..40 {
        relay.ask(KEY).await;
    }
    assert_eq!(first.count() + second.count(), 40);
    assert!(first.count() <= 10, "{} of 40 at the impaired server", first.count());
}

/// The figures of engines say nothing about other servers.
#[tokio::test]
async fn other_servers_are_chosen_as_before() {
    let (relay, first, second) = two_servers().await;
    make_slow(&first_counters(&relay), &relay);
    for _ in 0..40 {
        relay.ask(KEY).await;
    }
    assert!(first.count() >= 10 && second.count() >= 10, "{} of 40", first.count());
    let text = metrics_text(&relay);
    assert!(!text.contains("request_work_seconds_count{"), "{text}");
}

/// What a request adds to a server's work is taken off again, however the request ends.
#[parameterized(
    whole = { Behavior::Send(TWO_EVENTS) },
    broken = { Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 7\ndata: a\n\n\r\n") },
    silent = { Behavior::Hang },
)]
#[test_macro(tokio::test)]
async fn work_of_requests_ends_with_them(behavior: Behavior) {
    let server = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start(STREAM, &[&server]).await;
    relay.set_engines();
    relay.ask_and_leave(Duration::from_millis(100)).await;
    sleep(Duration::from_millis(200)).await;
    let work = first_counters(&relay).work(STAY, 1.0, relay.shared.clock.now());
    assert_eq!((work.own, work.unread, work.unwritten), (0.0, 0.0, 0.0));
}
