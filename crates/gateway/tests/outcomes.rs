//! Problem documents, headers and error events for requests without a complete answer.

mod support;

use {
    base::WorkspaceId,
    engine::NotRunReason,
    http::{Method, StatusCode},
    std::{sync::Arc, time::Duration},
    support::{
        client::{CallerAnswer, CallerRequest},
        controller::{FakeController, gateway_entry},
        http_ports,
        models::{Script, Step},
        settings, start,
        test_gateway::TestGateway,
    },
    yare::parameterized,
};

const CHAT: &str = "/v1/chat/completions";

fn chat_with(body: &str) -> CallerRequest {
    CallerRequest::new(Method::POST, CHAT).body(body.to_owned())
}

fn assert_problem(answer: &CallerAnswer, status: u16, kind: &str, outcome: &str) {
    assert_eq!(answer.status.as_u16(), status, "{}", answer.text());
    assert_eq!(answer.headers["content-type"], "application/problem+json");
    assert_eq!(answer.outcome(), Some(outcome));
    let body = answer.json();
    assert_eq!(body["type"], format!("urn:gypsumfork:problem:{kind}"));
    assert_eq!(body["status"], status);
    assert_eq!(body["outcome"], outcome);
    assert!(body["title"].is_string() && body["detail"].is_string());
}

#[parameterized(
    no_json = { "{", 400, "bad-request", "line 1" },
    a_list = { "[]", 400, "bad-request", "object" },
    no_model = { r#"{"messages":[]}"#, 400, "bad-request", "`model`" },
    bad_model = { r#"{"model":"a b","messages":[]}"#, 400, "bad-request", "`model`" },
    no_messages = { r#"{"model":"tiny"}"#, 400, "bad-request", "`messages`" },
    bad_stream = { r#"{"model":"tiny","messages":[],"stream":"yes"}"#, 400, "bad-request", "`stream`" },
    unknown_model = { r#"{"model":"huge","messages":[]}"#, 404, "unknown-model", "`huge`" },
)]
fn bad_body_is_refused(body: &str, status: u16, kind: &str, place: &str) {
    run_paused(async {
        let gateway = TestGateway::new().await;
        let answer = gateway.call(chat_with(body)).await;
        assert_problem(&answer, status, kind, "not-run");
        let detail = answer.json()["detail"].as_str().unwrap().to_owned();
        assert!(detail.contains(place), "{detail}");
        assert!(gateway.models.dispatches().is_empty());
    });
}

#[parameterized(
    deadline_zero = { "x-gf-deadline-ms", "0" },
    deadline_text = { "x-gf-deadline-ms", "soon" },
    deadline_too_long = { "x-gf-deadline-ms", "600001" },
    priority_too_high = { "x-gf-priority", "10" },
    priority_text = { "x-gf-priority", "high" },
    key_with_space = { "idempotency-key", "a b" },
)]
fn bad_header_is_refused(name: &str, value: &str) {
    run_paused(async {
        let gateway = TestGateway::new().await;
        let answer = gateway.call(CallerRequest::chat(true).header(name, value)).await;
        assert_problem(&answer, 400, "bad-request", "not-run");
        assert!(answer.json()["detail"].as_str().unwrap().contains(name));
    });
}

#[parameterized(
    missing = { None },
    other_scheme = { Some("Basic abc") },
    unknown = { Some("Bearer wrong-key") },
    empty = { Some("Bearer ") },
)]
fn wrong_key_is_refused(value: Option<&str>) {
    run_paused(async {
        let gateway = TestGateway::new().await;
        let mut request = CallerRequest::chat(true);
        request.builder.headers_mut().unwrap().remove("authorization");
        if let Some(value) = value {
            request = request.header("authorization", value);
        }
        let answer = gateway.call(request).await;
        assert_problem(&answer, 401, "unknown-key", "not-run");
        assert_eq!(answer.headers["www-authenticate"], "Bearer");
    });
}

#[tokio::test(start_paused = true)]
async fn model_of_another_workspace_is_unknown() {
    let gateway = TestGateway::new().await;
    let mut request = CallerRequest::chat(true);
    request.builder.headers_mut().unwrap().remove("authorization");
    let answer = gateway.call(request.header("authorization", "Bearer beta-key")).await;
    assert_problem(&answer, 404, "unknown-model", "not-run");
}

#[tokio::test(start_paused = true)]
async fn key_removed_while_the_request_waits_is_refused() {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::Refuse(NotRunReason::NotReady)]);
    let alpha = WorkspaceId::new("alpha").unwrap();
    gateway.controller.change(|desired| {
        desired.workspaces.get_mut(&alpha).unwrap().callers.clear();
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_problem(&answer, 401, "unknown-key", "not-run");
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let controller = FakeController::new();
    controller.set_gateways(vec![gateway_entry("entry-2", "fd-2", 2, 0)]);
    let settings = conf::settings::GatewaySettings { max_body_bytes: 1_000, ..settings() };
    let gateway = start(settings, http_ports(), &controller).await;
    let answer = chat_with(&"x".repeat(2_000)).send(gateway.callers_address()).await;
    assert_problem(&answer, 413, "body-too-large", "not-run");
    let next = CallerRequest::new(Method::GET, "/v1/addresses");
    assert_eq!(next.send(gateway.callers_address()).await.status, StatusCode::OK);
}

#[tokio::test(start_paused = true)]
async fn isolated_gateway_names_others() {
    let gateway = TestGateway::new().await;
    gateway.controller.set_gateways(vec![
        gateway_entry("entry-1", "fd-1", 1, 0),
        gateway_entry("entry-2", "fd-2", 2, 0),
    ]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.controller.set_age(None);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_problem(&answer, 503, "isolated", "not-run");
    assert_eq!(answer.json()["addresses"], serde_json::json!(["127.0.0.1:2"]));
    assert_eq!(answer.headers["retry-after"], "1");
    assert!(gateway.models.dispatches().is_empty());
}

#[tokio::test(start_paused = true)]
async fn evidence_age_counts_from_the_time_of_the_poll() {
    let gateway = TestGateway::new().await;
    gateway.stop_polling();
    gateway.controller.set_age(Some(2_000));
    let mut poller =
        gateway::poll::StatePoller::new(gateway.core.clone(), gateway.controller.clone());
    gateway.clock.freeze(Duration::from_secs(10));
    assert!(gateway.core.current_state().is_err());
    poller.poll_round().await;
    assert!(gateway.core.current_state().is_ok());
    tokio::time::sleep(Duration::from_millis(1_001)).await;
    assert!(gateway.core.current_state().is_err());
}

/// If the process freezes while a poll is in flight, its response must not count as new when it is
/// read after the freeze.
#[tokio::test(start_paused = true)]
async fn poll_response_read_after_a_freeze_counts_from_its_request() {
    let gateway = TestGateway::new().await;
    gateway.stop_polling();
    gateway.controller.set_delay(Duration::from_millis(100));
    let mut poller =
        gateway::poll::StatePoller::new(gateway.core.clone(), gateway.controller.clone());
    let clock = gateway.clock.clone();
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        clock.freeze(Duration::from_secs(10));
    };
    tokio::join!(poller.poll_round(), freeze);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_problem(&answer, 503, "isolated", "not-run");
    assert!(gateway.models.dispatches().is_empty());
}

/// Evidence for a newer head must not extend the validity of an older snapshot.
#[tokio::test(start_paused = true)]
async fn request_decided_on_an_older_head_is_not_dispatched() {
    let gateway = TestGateway::new().await;
    let before = gateway.core.state.load();
    gateway.controller.change(|_| {});
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(gateway.core.current_state().is_ok());
    let clock = gateway.clock.clone();
    let deadline = gateway.core.now() + Duration::from_secs(60);
    let permit = gateway::permit::RequestPermit::new(clock, before.evidence.clone(), deadline);
    assert!(!engine::DispatchPermit::is_valid(&permit));
    assert!(!permit.was_used());
}

/// A permit is valid only before the deadline and while the head is current.
#[parameterized(
    both = { 1_000, 1_000, true },
    deadline_passed = { 0, 1_000, false },
    evidence_expired = { 1_000, 0, false },
)]
fn permit_requires_deadline_and_evidence(deadline_ms: u64, evidence_ms: u64, valid: bool) {
    let clock = Arc::new(base::ManualClock::new());
    clock.advance(Duration::from_secs(5));
    let now = base::TickClock::now(clock.as_ref());
    let evidence = Arc::new(gateway::evidence::HeadEvidence::new(base::HeadNumber(1)));
    evidence.extend(now, Duration::ZERO, Duration::from_millis(evidence_ms));
    let deadline = now + Duration::from_millis(deadline_ms);
    let permit = gateway::permit::RequestPermit::new(clock, evidence, deadline);
    assert_eq!(engine::DispatchPermit::is_valid(&permit), valid);
    assert_eq!(permit.was_used(), valid);
}

#[tokio::test(start_paused = true)]
async fn stream_in_flight_finishes_when_the_gateway_gets_isolated() {
    let gateway = TestGateway::new().await;
    let pause = Step::Pause(Duration::from_millis(250));
    let mut steps = vec![Step::Token(0)];
    for index in 1..40 {
        steps.extend([pause.clone(), Step::Token(index)]);
    }
    steps.push(Step::Last(40));
    gateway.models.plan([Script::Stream(steps)]);
    gateway.controller.set_down(true);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), ((0..=40).collect(), true));
    assert!(gateway.core.current_state().is_err());
}

#[tokio::test(start_paused = true)]
async fn no_group_is_not_run_with_retry_after() {
    let gateway = TestGateway::new().await;
    gateway.controller.set_phase("g1", peer::GroupPhase::Draining);
    gateway.controller.set_phase("g2", peer::GroupPhase::Released);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_problem(&answer, 503, "no-target", "not-run");
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test(start_paused = true)]
async fn deadline_after_the_dispatch_is_unknown() {
    let gateway = TestGateway::new().await;
    let slow = vec![Step::Pause(Duration::from_millis(250)); 40];
    gateway.models.plan([Script::Stream(slow)]);
    let request = CallerRequest::chat(true).header("x-gf-deadline-ms", "900");
    let answer = gateway.call(request).await;
    assert_problem(&answer, 504, "deadline-passed", "unknown");
    assert_eq!(gateway.models.cancelled().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn deadline_in_the_middle_of_a_stream_is_cut() {
    let gateway = TestGateway::new().await;
    let pause = Step::Pause(Duration::from_millis(250));
    let slow = |index| [Step::Token(index), pause.clone()];
    let steps = (0..9).flat_map(slow).chain([Step::Last(9)]).collect();
    gateway.models.plan([Script::Stream(steps)]);
    let request = CallerRequest::chat(true).header("x-gf-deadline-ms", "900");
    let answer = gateway.call(request).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.text().contains("event: error\ndata: {"));
    assert!(answer.text().contains(r#""outcome":"cut""#));
    assert!(!answer.text().contains("[DONE]"));
}

#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_an_idempotent_generation() {
    let gateway = TestGateway::new().await;
    let pause = Step::Pause(Duration::from_millis(250));
    let steps = vec![Step::Token(0), pause.clone(), pause.clone(), pause, Step::Last(1)];
    gateway.models.plan([Script::Stream(steps)]);
    let response = gateway.open(CallerRequest::chat(true)).await;
    drop(response);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(gateway.models.cancelled(), vec![gateway.models.dispatches()[0].attempt.clone()]);
    assert_eq!(gateway.core.runs.len(), 0);
}

fn run_paused(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap().block_on(test);
}
