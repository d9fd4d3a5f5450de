//! The metrics that operators read after requests with different outcomes.

mod support;

use {
    gateway::health,
    http_body_util::BodyExt,
    support::{
        client::CallerRequest,
        models::{
            Script,
            Step::{Break, Foreign, Token},
        },
        test_gateway::TestGateway,
    },
};

async fn metrics(gateway: &TestGateway) -> String {
    let body = health::metrics(&gateway.core).into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

fn value(text: &str, line: &str) -> f64 {
    let found = text.lines().find_map(|known| known.strip_prefix(line));
    found.unwrap_or_else(|| panic!("no line {line} in\n{text}")).trim().parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn requests_are_counted_for_each_workspace_and_class() {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::Stream(vec![Token(0), Foreign(1), Break])]);
    gateway.call(CallerRequest::chat(true)).await;
    gateway.call(CallerRequest::chat(false).header("idempotency-key", "k-1")).await;
    gateway.call(CallerRequest::chat(true).header("x-gf-priority", "x")).await;
    let text = metrics(&gateway).await;
    let class = r#"{workspace="alpha",class="tiny"}"#;
    assert_eq!(value(&text, &format!("gateway_attempts_total{class}")), 3.0);
    assert_eq!(value(&text, &format!("gateway_resumes_total{class}")), 1.0);
    for (name, count) in [("queue", 2.0), ("first_token", 2.0), ("token_gap", 8.0), ("answer", 2.0)]
    {
        assert_eq!(value(&text, &format!("gateway_{name}_seconds_count{class}")), count, "{name}");
    }
    let whole = r#"gateway_requests_total{workspace="alpha",class="tiny",outcome="whole"}"#;
    assert_eq!(value(&text, whole), 2.0);
    assert_eq!(value(&text, r#"gateway_refusals_total{reason="bad-request"}"#), 1.0);
    assert_eq!(value(&text, "gateway_dropped_frames_total"), 1.0);
    assert_eq!(value(&text, "gateway_claims_total"), 1.0);
    assert_eq!(value(&text, "gateway_current"), 1.0);
    assert!(text.ends_with("# EOF\n"));
}
