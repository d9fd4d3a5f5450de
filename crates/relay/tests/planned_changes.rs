//! Planned changes while requests run: none of them ends a request that was admitted.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::{ServiceName, WorkspaceId},
    relay::{
        CallerLimits, RelayConfig, RequestKind, RetryLimits, RouteRule, ServerTable, ServiceSplit,
        WorkspaceRule,
    },
    std::{sync::Arc, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
    yare::parameterized,
};

/// When the change comes, after the request.
const CHANGE_AFTER: Duration = Duration::from_millis(150);
/// Time until the head of an answer and between two events of a stream: longer than any limit of the
/// changed configuration.
const SLOW: Duration = Duration::from_millis(400);

const SLOW_ANSWER: Behavior = Behavior::Paced(
    &["HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 4\r\n\r\n", "la", "st"],
    SLOW,
);
const SLOW_STREAM: Behavior = Behavior::Paced(
    &[
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
        "f\r\nid: 2\ndata: b\n\n\r\n",
        "12\r\nid: 3\ndata: last\n\n\r\n0\r\n\r\n",
    ],
    SLOW,
);
/// Is reset 50 ms after its first event.
const BROKEN_STREAM: Behavior = Behavior::SendAndReset(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
);
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const ONCE: RequestKind = RequestKind::Stream { resumable: false };

/// A planned change of what a process knows.
#[derive(Clone, Copy, Debug)]
enum PlannedChange {
    RouteGoes,
    ShorterTimeout,
    OtherService,
    KeyGoes,
    SmallerLimits,
    NoRetries,
    ServerDrains,
    ServerDisappears,
}

impl PlannedChange {
    fn apply(self, relay: &TestRelay, kind: RequestKind) {
        let shared = &relay.shared;
        match self {
            Self::NoRetries => shared.budget.set_limits(RetryLimits {
                ratio: 0.0,
                slack: 0.0,
                window: Duration::from_secs(10),
            }),
            Self::ServerDrains => {
                let servers = shared.servers.load();
                servers.all().for_each(|server| server.counters.note_leaving());
                shared.servers.store(Arc::new(ServerTable::default()));
            }
            Self::ServerDisappears => shared.servers.store(Arc::new(ServerTable::default())),
            _ => shared.config.store(Some(Arc::new(self.configuration(kind)))),
        }
    }

    /// The configuration after the change.
    fn configuration(self, kind: RequestKind) -> RelayConfig {
        let mut service = ServiceName::new("s").unwrap();
        let mut timeout = Duration::from_secs(3);
        let mut keys = vec!["k".into()];
        let mut limits = CallerLimits::default();
        match self {
            Self::ShorterTimeout => timeout = Duration::from_millis(20),
            Self::OtherService => service = ServiceName::new("other").unwrap(),
            Self::KeyGoes => keys = vec!["new".into()],
            Self::SmallerLimits => limits = tight_limits(),
            _ => {}
        }
        let rule = RouteRule {
            name: "r".into(),
            prefix: "/a/".into(),
            kind,
            timeout,
            attempts: 2,
            public: false,
            splits: vec![ServiceSplit { service, weight: 1.0 }],
        };
        let routes = match self {
            Self::RouteGoes => Vec::new(),
            _ => vec![("h".into(), rule)],
        };
        let workspace = WorkspaceRule { name: WorkspaceId::new("w").unwrap(), keys };
        RelayConfig::new(2, routes, vec![workspace], limits)
    }
}

/// Limits that the request of the tests does not keep: its head and its body are longer, and its
/// answer takes longer than a connection may be idle.
fn tight_limits() -> CallerLimits {
    CallerLimits {
        head_bytes: 16,
        body_bytes: 1,
        head_time: Duration::from_millis(50),
        idle_time: Duration::from_millis(50),
    }
}

fn behavior(kind: RequestKind) -> Behavior {
    if kind.is_stream() { SLOW_STREAM } else { SLOW_ANSWER }
}

/// Sends a request with a body and reads its answer.
async fn ask(relay: &TestRelay) -> String {
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let request = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\ncontent-length: 3\r\n\
                   connection: close\r\n\r\nabc";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_string(&mut answer)).await;
    assert!(read.is_ok_and(|read| read.is_ok()), "no end after {answer}");
    answer
}

fn assert_whole(answer: &str, kind: RequestKind) {
    let end = if kind.is_stream() { "data: last\n\n\r\n0\r\n\r\n" } else { "last" };
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with(end), "{answer}");
}

/// A change that decides about new requests must not end one that was admitted before it.
#[parameterized(
    route_goes = { PlannedChange::RouteGoes },
    shorter_timeout = { PlannedChange::ShorterTimeout },
    other_service = { PlannedChange::OtherService },
    key_goes = { PlannedChange::KeyGoes },
    smaller_limits = { PlannedChange::SmallerLimits },
    no_retries = { PlannedChange::NoRetries },
    server_drains = { PlannedChange::ServerDrains },
    server_disappears = { PlannedChange::ServerDisappears },
)]
#[test_macro(tokio::test)]
async fn a_request_ends_whole_after(change: PlannedChange) {
    let play = |kind: RequestKind| async move {
        let server = ScriptedServer::start(behavior(kind)).await;
        let relay = TestRelay::start(kind, &[&server]).await;
        let changed = async {
            sleep(CHANGE_AFTER).await;
            change.apply(&relay, kind);
        };
        let (answer, ()) = tokio::join!(ask(&relay), changed);
        assert_whole(&answer, kind);
        assert_eq!(server.count(), 1, "sent once");
        assert_eq!(relay.shared.work.ended().whole, 1);
    };
    tokio::join!(play(RequestKind::Safe), play(RequestKind::Unsafe), play(RESUMABLE), play(ONCE));
}

/// The same while the answer is on its way: two of the three events follow after the change.
#[parameterized(
    route_goes = { PlannedChange::RouteGoes },
    shorter_timeout = { PlannedChange::ShorterTimeout },
    other_service = { PlannedChange::OtherService },
    key_goes = { PlannedChange::KeyGoes },
    smaller_limits = { PlannedChange::SmallerLimits },
    no_retries = { PlannedChange::NoRetries },
    server_drains = { PlannedChange::ServerDrains },
    server_disappears = { PlannedChange::ServerDisappears },
)]
#[test_macro(tokio::test)]
async fn an_open_stream_ends_whole_after(change: PlannedChange) {
    let play = |kind: RequestKind| async move {
        let server = ScriptedServer::start(SLOW_STREAM).await;
        let relay = TestRelay::start(kind, &[&server]).await;
        let changed = async {
            sleep(SLOW + CHANGE_AFTER).await;
            change.apply(&relay, kind);
        };
        let (answer, ()) = tokio::join!(ask(&relay), changed);
        assert_whole(&answer, kind);
        assert_eq!(server.count(), 1, "sent once");
    };
    tokio::join!(play(RESUMABLE), play(ONCE));
}

/// A request whose body is still on its way was admitted by the configuration that read its head.
#[parameterized(
    route_goes = { PlannedChange::RouteGoes },
    shorter_timeout = { PlannedChange::ShorterTimeout },
    other_service = { PlannedChange::OtherService },
    key_goes = { PlannedChange::KeyGoes },
    smaller_limits = { PlannedChange::SmallerLimits },
)]
#[test_macro(tokio::test)]
async fn a_request_whose_body_is_half_read_ends_whole_after(change: PlannedChange) {
    let server = ScriptedServer::start(SLOW_ANSWER).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let head = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\nconnection: close\r\n\
                transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(CHANGE_AFTER).await;
    change.apply(&relay, RequestKind::Unsafe);
    sleep(CHANGE_AFTER).await;
    caller.write_all(b"3\r\ndef\r\n0\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert_whole(&answer, RequestKind::Unsafe);
}

/// A stream whose server fails after the change goes on at another server, as before it.
#[parameterized(
    route_goes = { PlannedChange::RouteGoes },
    shorter_timeout = { PlannedChange::ShorterTimeout },
    other_service = { PlannedChange::OtherService },
    key_goes = { PlannedChange::KeyGoes },
    smaller_limits = { PlannedChange::SmallerLimits },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_breaks_is_resumed_after(change: PlannedChange) {
    let first = ScriptedServer::start(BROKEN_STREAM).await;
    let second = ScriptedServer::start(BROKEN_STREAM).await;
    let relay = TestRelay::start(RESUMABLE, &[&first, &second]).await;
    let changed = async {
        sleep(Duration::from_millis(20)).await;
        change.apply(&relay, RESUMABLE);
    };
    let (answer, ()) = tokio::join!(ask(&relay), changed);
    assert!(answer.contains("data: a"), "{answer}");
    assert_eq!((first.count(), second.count()), (1, 1));
}

/// Times for callers' connections bound how long a caller may be idle, not how long it may wait.
#[parameterized(safe = { RequestKind::Safe }, stream = { RESUMABLE })]
#[test_macro(tokio::test)]
async fn an_answer_may_take_longer_than_a_connection_may_be_idle(kind: RequestKind) {
    let server = ScriptedServer::start(behavior(kind)).await;
    let relay = TestRelay::start(kind, &[&server]).await;
    let limits = CallerLimits { head_bytes: 8 * 1024, body_bytes: 64, ..tight_limits() };
    let mut config = PlannedChange::NoRetries.configuration(kind);
    config.limits = limits;
    relay.shared.config.store(Some(Arc::new(config)));
    assert_whole(&ask(&relay).await, kind);
}

/// An idle connection that was opened before the change keeps the times that its caller knows.
#[tokio::test]
async fn a_kept_connection_takes_a_request_after_the_limits_shrink() {
    let server = ScriptedServer::start(SLOW_ANSWER).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    sleep(CHANGE_AFTER).await;
    let mut config = PlannedChange::NoRetries.configuration(RequestKind::Unsafe);
    config.limits = CallerLimits { body_bytes: 64, ..tight_limits() };
    relay.shared.config.store(Some(Arc::new(config)));
    sleep(SLOW).await;
    let request = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\ncontent-length: 3\r\n\
                   connection: close\r\n\r\nabc";
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert_whole(&answer, RequestKind::Unsafe);
}

/// The changes of these tests take effect: a request that comes after one is not served.
#[parameterized(
    route_goes = { PlannedChange::RouteGoes },
    shorter_timeout = { PlannedChange::ShorterTimeout },
    other_service = { PlannedChange::OtherService },
    key_goes = { PlannedChange::KeyGoes },
    smaller_limits = { PlannedChange::SmallerLimits },
    server_drains = { PlannedChange::ServerDrains },
    server_disappears = { PlannedChange::ServerDisappears },
)]
#[test_macro(tokio::test)]
async fn a_later_request_is_not_served_after(change: PlannedChange) {
    let server = ScriptedServer::start(SLOW_ANSWER).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    change.apply(&relay, RequestKind::Safe);
    let answer = ask(&relay).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}
