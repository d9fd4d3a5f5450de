//! What the log and the metrics say about answers that are given up and requests that nobody takes.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::RatePerSecond,
    limit::NamedLimit,
    relay::{RequestKind, RetryLimits, ServerLoad},
    std::time::Duration,
    support::{
        Behavior, ScriptedServer, TestRelay,
        log_text::{LogText, metrics_text},
    },
    tokio::time::sleep,
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 7\ndata: a\n\n\r\n";
const FIRST_SEND: Duration = Duration::from_millis(50);
/// Answers another request, after the obstacle was put up.
const FOREIGN: Behavior =
    Behavior::Paced(&["HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n"], Duration::from_millis(150));

fn fill_servers(relay: &TestRelay) {
    for server in relay.shared.servers.load().all() {
        let full = ServerLoad { running: 8, waiting: 4, slots: 8 };
        server.counters.note_load(full, relay.shared.clock.now());
    }
}

fn use_up_budget(relay: &TestRelay) {
    let limits = RetryLimits { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
    relay.shared.budget.set_limits(limits);
}

fn limit_servers(relay: &TestRelay) {
    let named = NamedLimit::Rate(RatePerSecond(0.1));
    for server in relay.shared.servers.load().all() {
        relay.shared.limits.note_answer(&server.id, named, relay.shared.clock.now(), "test");
    }
}

fn drop_servers(relay: &TestRelay) {
    relay.replace_servers(Vec::new());
}

fn wait(_: &TestRelay) {}

/// A request that failed with time left did not say why nobody else got it.
#[parameterized(
    full = { 2, fill_servers, "all-full" },
    retry_budget = { 2, use_up_budget, "retry-budget" },
    limit = { 2, limit_servers, "at-limit" },
    no_server = { 2, drop_servers, "no-server-left" },
    attempts = { 1, wait, "attempts-used" },
)]
#[test_macro(tokio::test)]
async fn a_request_that_is_not_sent_again_says_why(
    attempts: u32,
    obstruct: fn(&TestRelay),
    why: &str,
) {
    let (log, _guard) = LogText::capture();
    let (first, second) =
        (ScriptedServer::start(FOREIGN).await, ScriptedServer::start(FOREIGN).await);
    let servers = vec![first.address, second.address];
    let relay = TestRelay::start_with(RequestKind::Safe, attempts, servers).await;
    let obstructed = async {
        sleep(FIRST_SEND).await;
        obstruct(&relay);
    };
    tokio::join!(relay.ask(KEY), obstructed);
    assert_eq!(first.count() + second.count(), 1);
    let line = log.only_line("refused");
    assert_eq!((&line["why"], &line["obstacle"]), (&"failed".into(), &why.into()), "{line}");
    let text = metrics_text(&relay);
    let counted = format!("sends_prevented_total{{send=\"further\",why=\"{why}\"}} 1");
    assert!(text.contains(&counted), "{text}");
    let counted = "answers_lost_total{kind=\"safe\",why=\"foreign answer\"} 1";
    assert!(text.contains(counted), "{text}");
}

/// The line of a stream that was cut did not say whether its server had been silent, for how long, or
/// whether it worked on other requests.
#[tokio::test]
async fn a_stream_that_breaks_says_how_its_server_was() {
    let (log, _guard) = LogText::capture();
    let server = ScriptedServer::start(Behavior::SendAndReset(STREAM_HEAD)).await;
    let relay = TestRelay::start_with(RESUMABLE, 1, vec![server.address]).await;
    relay.ask(KEY).await;
    let line = log.only_line("stream-broken");
    assert_eq!(line["why"], "connection broke");
    assert_eq!(line["busy"], true, "its first event came just before: {line}");
    assert_eq!(line["forwarded"], false);
    assert!(line["idle_ms"].as_u64().unwrap() < 250, "{line}");
    assert_eq!(log.only_line("not-resumed")["obstacle"], "attempts-used");
}
