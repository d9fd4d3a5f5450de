//! Tests of servers that name the requests per second that they accept.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
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
        time::{interval, sleep},
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
