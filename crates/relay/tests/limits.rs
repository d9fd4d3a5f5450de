//! Tests of servers that name the requests per second that they accept.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::{HostId, RatePerSecond},
    limit::NamedLimit,
    relay::RequestKind,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        task::JoinSet,
        time::{Instant, interval, sleep},
    },
};

const KEY: &str = "x-key: k\r\n";
const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
/// Names a limit of 5 requests per second.
const LIMITED: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-limit: 5\r\ncontent-length: 2\r\n\r\nok");
/// Requests in 4 s that the users' pages allow to a server with a limit of 5 per second.
const ALLOWED_IN_WINDOW: usize = 35;
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which the limit must be known.
const KNOWN_AFTER: Duration = Duration::from_secs(1);

/// Sends a request every 25 ms until dropped, and counts those that were served.
fn send_steadily(relay: Arc<TestRelay>) -> (JoinSet<()>, Arc<AtomicUsize>) {
    let served = Arc::new(AtomicUsize::new(0));
    let counted = served.clone();
    let mut sending = JoinSet::new();
    sending.spawn(async move {
        let mut asked = JoinSet::new();
        let mut ticks = interval(Duration::from_millis(25));
        loop {
            ticks.tick().await;
            let (relay, counted) = (relay.clone(), counted.clone());
            asked.spawn(async move {
                if relay.ask(KEY).await.starts_with("HTTP/1.1 200") {
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (sending, served)
}

/// A server that named a limit went on getting its part of all requests.
#[tokio::test]
async fn a_server_that_names_a_limit_gets_no_more_than_it() {
    let limited = ScriptedServer::start(LIMITED).await;
    let other = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&limited, &other]).await;
    let (_sending, _) = send_steadily(Arc::new(relay));
    sleep(KNOWN_AFTER).await;
    let before = limited.count();
    sleep(WINDOW).await;
    let in_window = limited.count() - before;
    assert!(in_window <= ALLOWED_IN_WINDOW, "{in_window} requests in {WINDOW:?}");
}

/// Requests that a server has no room for below its limit go to the others.
#[tokio::test]
async fn the_rest_goes_to_servers_without_a_limit() {
    let limited = ScriptedServer::start(LIMITED).await;
    let other = ScriptedServer::start(COMPLETE).await;
    let relay = Arc::new(TestRelay::start(RequestKind::Safe, &[&limited, &other]).await);
    for _ in 0..40 {
        assert!(relay.ask(KEY).await.starts_with("HTTP/1.1 200"));
    }
    assert!(limited.count() <= 4, "{}", limited.count());
}

/// The limit is used up before callers are refused, and these are told so at once.
#[tokio::test]
async fn callers_are_refused_at_once_where_every_server_is_at_its_limit() {
    let limited = ScriptedServer::start(LIMITED).await;
    let relay = Arc::new(TestRelay::start(RequestKind::Safe, &[&limited]).await);
    let (sending, served) = send_steadily(relay.clone());
    sleep(KNOWN_AFTER).await;
    let before = served.load(Ordering::Relaxed);
    sleep(WINDOW).await;
    let in_window = served.load(Ordering::Relaxed) - before;
    assert!((16..=ALLOWED_IN_WINDOW).contains(&in_window), "{in_window} served in {WINDOW:?}");
    drop(sending);
    let mut refused = 0;
    for _ in 0..10 {
        let began = Instant::now();
        let answer = relay.ask(KEY).await;
        if answer.starts_with("HTTP/1.1 503") {
            assert!(answer.ends_with("at-limit") && answer.contains("x-retry-ms: "), "{answer}");
            assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
            refused += 1;
        }
    }
    assert!(refused > 0);
}

/// A limit that the server no longer names no longer holds.
#[tokio::test]
async fn a_server_is_used_again_once_it_names_no_limit() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Safe, &[&server]).await;
    let id = HostId::new("s0").unwrap();
    let named = NamedLimit::Rate(RatePerSecond(2.0));
    relay.shared.limits.note_answer(&id, named, relay.shared.clock.now(), "test");
    sleep(KNOWN_AFTER).await;
    for _ in 0..10 {
        assert!(relay.ask(KEY).await.starts_with("HTTP/1.1 200"));
    }
}
