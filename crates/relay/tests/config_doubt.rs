//! Requests that the configuration in force does not admit, while it may be out of date.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::{BootClock, TickClock},
    relay::{CONFIG_TRUST, CallerLimits, ConfigStanding, RelayConfig, RequestKind},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::time::sleep,
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
/// Longest time for a refusal that is not held back.
const AT_ONCE: Duration = Duration::from_millis(100);

/// A relay whose configuration has no routes, and the one that replaces it.
struct OutdatedRelay {
    relay: TestRelay,
    newer: Arc<RelayConfig>,
}

impl OutdatedRelay {
    async fn start(standing: ConfigStanding) -> Self {
        let server = ScriptedServer::start(COMPLETE).await;
        let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
        let empty = RelayConfig::new(0, Vec::new(), Vec::new(), CallerLimits::default());
        let newer = relay.shared.config.swap(Some(Arc::new(empty))).unwrap();
        relay.shared.standing.send_replace(standing);
        Self { relay, newer }
    }
}

fn behind() -> ConfigStanding {
    ConfigStanding { is_behind: true, newest_told: 1, ..ConfigStanding::default() }
}

/// Guards against a 404 for a route that peers already serve: callers do not repeat such a request.
#[tokio::test]
async fn a_route_of_a_configuration_that_peers_have_is_awaited() {
    let OutdatedRelay { relay, newer } = OutdatedRelay::start(behind()).await;
    let arrival = async {
        sleep(Duration::from_millis(150)).await;
        relay.shared.config.store(Some(newer));
        relay.shared.standing.send_replace(ConfigStanding::default());
    };
    let (answer, ()) = tokio::join!(relay.ask(KEY), arrival);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// A storm of versions must not extend the wait: each arrival is decided on anew within one limit.
#[tokio::test]
async fn versions_that_do_not_help_do_not_extend_the_wait() {
    let OutdatedRelay { relay, .. } = OutdatedRelay::start(behind()).await;
    let storm = async {
        for version in 2..40 {
            sleep(Duration::from_millis(50)).await;
            relay.shared.standing.send_replace(ConfigStanding { newest_told: version, ..behind() });
        }
    };
    let began = Instant::now();
    tokio::select! {
        () = storm => panic!("held for the whole storm"),
        answer = relay.ask(KEY) => assert!(answer.starts_with("HTTP/1.1 503"), "{answer}"),
    }
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_configuration_that_does_not_arrive_is_no_reason_for_a_final_refusal() {
    let OutdatedRelay { relay, .. } = OutdatedRelay::start(behind()).await;
    let began = Instant::now();
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-retry-ms: 300"), "{answer}");
    assert!(answer.ends_with("config-in-doubt"), "{answer}");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// Nothing is awaited unless a newer configuration is known to exist.
#[parameterized(
    confirmed = { Duration::ZERO, "HTTP/1.1 502", "no-route" },
    unconfirmed = { CONFIG_TRUST, "HTTP/1.1 503", "config-in-doubt" },
)]
#[test_macro(tokio::test)]
async fn a_request_is_refused_at_once(age: Duration, status: &str, code: &str) {
    let confirmed_at = Some(BootClock.now().back(age));
    let standing = ConfigStanding { confirmed_at, ..ConfigStanding::default() };
    let OutdatedRelay { relay, .. } = OutdatedRelay::start(standing).await;
    let began = Instant::now();
    let answer = relay.ask(KEY).await;
    assert!(answer.starts_with(status) && answer.ends_with(code), "{answer}");
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
}

/// An unknown key may have been added by a newer configuration, as a route may.
#[tokio::test]
async fn a_key_that_may_be_new_is_not_refused_for_good() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    relay.shared.standing.send_replace(behind());
    let answer = relay.ask("x-key: other\r\n").await;
    assert!(answer.ends_with("config-in-doubt"), "{answer}");
    assert_eq!(server.count(), 0);
}
