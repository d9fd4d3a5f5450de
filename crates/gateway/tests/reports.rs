//! Load reports and cache events of backend servers influence routing.

mod support;

use {
    engine::{CacheEvent, CacheEventKind, prompt::prefix_name},
    gateway::reports::ReportReader,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc},
    support::{client::CallerRequest, reports::ScriptedReports, test_gateway::TestGateway},
};

fn first() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn second() -> SocketAddr {
    ([127, 0, 0, 1], 2).into()
}

fn long_chat(text: &str) -> CallerRequest {
    // Longer than the leading blocks that may be cached on several groups, so that only one group
    // is preferred for the prompt.
    let content = text.repeat(2_000);
    let body = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": content}],
        "stream": true,
    });
    CallerRequest::chat(true).body(body.to_string())
}

fn prefixes(request: &CallerRequest) -> Vec<u64> {
    let body = serde_json::from_slice(&request.body).unwrap();
    engine::prompt::prefix_hashes(&engine::prompt::prompt_text(&body))
}

async fn groups_of(gateway: &TestGateway, text: &str, calls: usize) -> Vec<String> {
    let before = gateway.models.dispatches().len();
    for _ in 0..calls {
        gateway.call(long_chat(text)).await;
    }
    let dispatches = gateway.models.dispatches().split_off(before);
    dispatches.into_iter().map(|one| one.group.to_string()).collect()
}

#[tokio::test(start_paused = true)]
async fn load_of_other_gateways_is_avoided() {
    let gateway = TestGateway::new().await;
    let reports = Arc::new(ScriptedReports::default());
    reports.set_load(first(), 8, 20);
    reports.set_load(second(), 0, 0);
    let mut reader = ReportReader::new(gateway.core.clone(), reports);
    reader.read_round().await;
    for _ in 0..10 {
        gateway.call(CallerRequest::chat(true)).await;
    }
    assert!(gateway.models.dispatches().iter().all(|one| one.group.as_str() == "g2"));
}

#[tokio::test(start_paused = true)]
async fn prompt_goes_where_its_prefix_is_cached() {
    let gateway = TestGateway::new().await;
    let reports = Arc::new(ScriptedReports::default());
    let mut reader = ReportReader::new(gateway.core.clone(), reports.clone());
    for (number, text) in ["one ", "two ", "three ", "four "].into_iter().enumerate() {
        let target = if number % 2 == 0 { first() } else { second() };
        for hash in prefixes(&long_chat(text)) {
            let number = 1 + reports.event_count(target);
            let prefix = prefix_name(hash).into();
            reports.add_event(target, CacheEvent { number, prefix, kind: CacheEventKind::Stored });
        }
    }
    reader.read_round().await;
    for (number, text) in ["one ", "two ", "three ", "four "].into_iter().enumerate() {
        let group = if number % 2 == 0 { "g1" } else { "g2" };
        assert_eq!(groups_of(&gateway, text, 3).await, vec![group; 3], "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn gap_in_the_events_clears_the_prefixes_of_the_group() {
    let gateway = TestGateway::new().await;
    let reports = Arc::new(ScriptedReports::default());
    let mut reader = ReportReader::new(gateway.core.clone(), reports.clone());
    let hash = 0x1234_5678_9abc_def0;
    let prefix = prefix_name(hash);
    let stored = |number, prefix: &str| CacheEvent {
        number,
        prefix: prefix.into(),
        kind: CacheEventKind::Stored,
    };
    reports.add_event(first(), stored(1, &prefix));
    reader.read_round().await;
    let cached_on = |hash| gateway.core.prefixes.targets_caching(route::PrefixKey(hash)).count();
    assert_eq!(cached_on(hash), 1);
    let other = 0x0fed_cba9_8765_4321;
    reports.add_event(first(), stored(5, &prefix_name(other)));
    reader.read_round().await;
    assert_eq!((cached_on(hash), cached_on(other)), (0, 1));
}
