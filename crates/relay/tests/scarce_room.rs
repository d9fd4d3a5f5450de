//! Requests that are held back while servers have room for most but not for all.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::{FailureDomainId, HostId, ModelName, ServiceName},
    relay::{
        BackendServer, RelayConfig, RequestKind, RouteTerms, ServerLoad, ServerTable, ServingTerms,
    },
    scarce::PriorityLevel,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    yare::parameterized,
};

const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 24\r\n\r\n\
                      id: 1\ndata: a\n\ndata: b\n\n";
/// Requests of a case. The chance that all of them are admitted at this load is below one in a million.
const ASKED: usize = 60;

/// Starts a relay with one server of a model.
async fn start(server: &ScriptedServer, has_goal: bool) -> TestRelay {
    let relay = TestRelay::start(RequestKind::Stream { resumable: true }, &[server]).await;
    let engine = BackendServer {
        id: HostId::new("engine").unwrap(),
        address: server.address,
        failure_domain: FailureDomainId::new("z").unwrap(),
        model: Some(ModelName::new("m").unwrap()),
        counters: Arc::default(),
    };
    let service = ServiceName::new("s").unwrap();
    relay
        .shared
        .servers
        .store(Arc::new(ServerTable::new(BTreeMap::from([(service, vec![engine])]))));
    if has_goal {
        let terms = RouteTerms { goal: Duration::from_millis(300), level: PriorityLevel(1) };
        let terms = ServingTerms::new([("r".into(), terms)], []);
        let config = relay.shared.config.load_full().unwrap();
        let config = RelayConfig::clone(&config).with_terms(terms);
        relay.shared.config.store(Some(Arc::new(config)));
    }
    relay
}

/// Reports the load of the server; reports fade with time.
fn note_load(relay: &TestRelay, load: ServerLoad) {
    let servers = relay.shared.servers.load();
    let now = relay.shared.clock.now();
    servers.all().for_each(|server| server.counters.note_load(load, now));
}

/// All of a model's servers were nearly full, and everybody was sent to them and answered late. Some
/// requests are now refused at once, as not run and with a time to return; only where a goal is known,
/// where room is scarce, and never one that is resumed.
#[parameterized(
    nearly_full = { 52, true, "", true },
    no_goal = { 52, false, "", false },
    has_room = { 20, true, "", false },
    resumed = { 52, true, "x-last: 3\r\n", false },
)]
#[test_macro(tokio::test)]
async fn requests_beyond_the_room_are_refused_as_not_run(
    running: u32,
    has_goal: bool,
    extra: &str,
    some_refused: bool,
) {
    let server = ScriptedServer::start(Behavior::SendAndClose(STREAM)).await;
    let load = ServerLoad { running, waiting: 0, slots: 50 };
    let relay = start(&server, has_goal).await;
    let mut refused = 0;
    for _ in 0..ASKED {
        note_load(&relay, load);
        let answer = relay.ask(&format!("x-key: k\r\nx-model: m\r\n{extra}")).await;
        if answer.starts_with("HTTP/1.1 503") {
            assert!(answer.contains("room-scarce") && answer.contains("x-retry-ms"), "{answer}");
            refused += 1;
        } else {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    }
    assert_eq!(refused > 0, some_refused, "{refused}");
    assert_eq!(server.requests.lock().len(), ASKED - refused, "a refused request has not run");
}
