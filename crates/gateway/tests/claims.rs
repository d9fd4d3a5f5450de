//! Requests with an idempotency key run at most once, even if the table service, an engine or a
//! gateway fails.

mod support;

use {
    engine::NotRunReason,
    http::StatusCode,
    infra::{ClaimRow, ClaimState},
    std::{sync::Arc, time::Duration},
    support::{
        client::{CallerAnswer, CallerRequest},
        controller::FakeController,
        models::{Script, ScriptedModels, Step, whole_from},
        platform_fake::{CommitFault, MemoryTable},
        settings,
        test_gateway::TestGateway,
    },
    yare::parameterized,
};

fn keyed_chat(stream: bool) -> CallerRequest {
    CallerRequest::chat(stream).header("idempotency-key", "k-1")
}

/// Starts gateways that share one table, one set of engines and one controller.
async fn gateways(count: usize) -> Vec<TestGateway> {
    let models = Arc::new(ScriptedModels::default());
    let table = Arc::new(MemoryTable::default());
    let controller = FakeController::new();
    let mut all = Vec::new();
    for _ in 0..count {
        let (models, table) = (models.clone(), table.clone());
        all.push(TestGateway::with(settings(), models, table, controller.clone()).await);
    }
    all
}

fn claim(table: &MemoryTable) -> ClaimRow {
    let rows = table.rows();
    assert_eq!(rows.len(), 1);
    assert!(rows[0].0.starts_with("claim/alpha/"));
    serde_json::from_str(&rows[0].1).unwrap()
}

fn dispatch_count(gateway: &TestGateway) -> usize {
    gateway.models.dispatches().len()
}

async fn wait_until_settled(table: &MemoryTable) -> ClaimState {
    for _ in 0..1_000 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if !table.rows().is_empty() && claim(table).state != ClaimState::Claimed {
            return claim(table).state;
        }
    }
    panic!("the claim was not settled");
}

#[parameterized(streamed = { true }, unstreamed = { false })]
fn second_submission_gets_the_stored_answer(stream: bool) {
    run_paused(async move {
        let gateways = gateways(2).await;
        let first = gateways[0].call(keyed_chat(stream)).await;
        assert_eq!(first.status, StatusCode::OK);
        wait_until_settled(&gateways[0].table).await;
        let second = gateways[1].call(keyed_chat(stream)).await;
        assert_eq!((second.status, &second.body), (first.status, &first.body));
        assert_eq!(second.headers["content-type"], first.headers["content-type"]);
        assert_eq!(dispatch_count(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn parallel_submissions_run_once() {
    let gateways = gateways(3).await;
    let calls = (0..12).map(|number| gateways[number % 3].call(keyed_chat(false)));
    let answers = futures::future::join_all(calls).await;
    assert_eq!(dispatch_count(&gateways[0]), 1);
    let whole = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    assert!(whole >= 1);
    for answer in answers.iter().filter(|answer| answer.status != StatusCode::OK) {
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(answer.json()["type"], "urn:gypsumfork:problem:key-running");
        assert!(answer.headers.contains_key("retry-after"));
    }
}

#[tokio::test(start_paused = true)]
async fn key_with_another_body_is_refused() {
    let gateways = gateways(2).await;
    gateways[0].call(keyed_chat(false)).await;
    let other = r#"{"model":"tiny","messages":[{"role":"user","content":"other"}]}"#;
    let answer = gateways[1].call(keyed_chat(false).body(other)).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(gateways[1].call(keyed_chat(true)).await.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(dispatch_count(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_dispatch_answer_is_unknown_and_never_run_again() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::AnswerLost]);
    let first = gateways[0].call(keyed_chat(false)).await;
    assert_eq!((first.status, first.outcome()), (StatusCode::BAD_GATEWAY, Some("unknown")));
    assert_eq!(wait_until_settled(&gateways[0].table).await, ClaimState::Unknown);
    let second = gateways[1].call(keyed_chat(false)).await;
    assert_eq!((second.status, second.outcome()), (StatusCode::CONFLICT, Some("unknown")));
    assert_eq!(dispatch_count(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn cut_stream_is_not_run_again() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::Stream(vec![Step::Token(0), Step::Break])]);
    let first = gateways[0].call(keyed_chat(true)).await;
    assert!(first.text().contains(r#""outcome":"cut""#));
    assert!(!first.text().contains("[DONE]"));
    assert_eq!(wait_until_settled(&gateways[0].table).await, ClaimState::Unknown);
    assert_eq!(gateways[1].call(keyed_chat(true)).await.outcome(), Some("unknown"));
    assert_eq!(dispatch_count(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn request_refused_by_every_group_can_be_submitted_again() {
    let gateways = gateways(2).await;
    gateways[0]
        .models
        .plan([Script::Refuse(NotRunReason::NotReady), Script::Refuse(NotRunReason::OtherEpoch)]);
    let first = gateways[0].call(keyed_chat(false)).await;
    assert_eq!(first.outcome(), Some("not-run"));
    assert_eq!(wait_until_settled(&gateways[0].table).await, ClaimState::NotRun);
    let second = gateways[1].call(keyed_chat(false)).await;
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(dispatch_count(&gateways[0]), 3);
}

#[parameterized(
    answer_lost = { vec![CommitFault::AnswerLost] },
    answer_lost_twice = { vec![CommitFault::AnswerLost, CommitFault::AnswerLost] },
    request_lost = { vec![CommitFault::RequestLost] },
    late = { vec![CommitFault::Late] },
    late_then_lost = { vec![CommitFault::Late, CommitFault::AnswerLost] },
)]
fn claim_survives_lost_table_answers(faults: Vec<CommitFault>) {
    run_paused(async move {
        let gateways = gateways(2).await;
        gateways[0].table.plan(faults);
        assert_eq!(gateways[0].call(keyed_chat(false)).await.status, StatusCode::OK);
        wait_until_settled(&gateways[0].table).await;
        assert_eq!(gateways[0].table.release_late(), 0);
        assert_eq!(gateways[1].call(keyed_chat(false)).await.status, StatusCode::OK);
        assert_eq!(dispatch_count(&gateways[0]), 1);
    });
}

#[parameterized(
    never_arrived = { CommitFault::RequestLost },
    took_effect = { CommitFault::AnswerLost },
    delayed = { CommitFault::Late },
)]
fn claim_of_unknown_result_is_not_run_and_settled(fault: CommitFault) {
    run_paused(async move {
        let gateways = gateways(2).await;
        gateways[0].table.plan([fault; 3]);
        let first = gateways[0].call(keyed_chat(false)).await;
        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(first.outcome(), Some("not-run"));
        assert!(first.headers.contains_key("retry-after"));
        assert_eq!(dispatch_count(&gateways[0]), 0);
        assert_eq!(wait_until_settled(&gateways[0].table).await, ClaimState::NotRun);
        // The settled claim must not be overwritten by a late commit of the original write.
        assert_eq!(gateways[0].table.release_late(), 0);
        assert_eq!(claim(&gateways[0].table).state, ClaimState::NotRun);
        assert_eq!(gateways[1].call(keyed_chat(false)).await.status, StatusCode::OK);
        assert_eq!(dispatch_count(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn claim_committed_late_before_settling_runs_the_request_once() {
    let gateways = gateways(2).await;
    gateways[0].table.plan([CommitFault::Late; 3]);
    assert_eq!(gateways[0].call(keyed_chat(false)).await.outcome(), Some("not-run"));
    assert_eq!(gateways[0].table.release_late(), 1);
    let second = gateways[1].call(keyed_chat(false)).await;
    assert!(second.status == StatusCode::CONFLICT || second.status == StatusCode::OK);
    wait_until_settled(&gateways[0].table).await;
    assert_eq!(gateways[1].call(keyed_chat(false)).await.status, StatusCode::OK);
    assert_eq!(dispatch_count(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn table_outage_refuses_only_keyed_requests() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    gateway.table.set_down(true);
    let refused = gateway.call(keyed_chat(false)).await;
    assert_eq!(
        (refused.status, refused.outcome()),
        (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"),)
    );
    assert!(gateway.call(CallerRequest::chat(true)).await.tokens().1);
    assert_eq!(dispatch_count(gateway), 1);
    gateway.table.set_down(false);
    assert_eq!(wait_until_settled(&gateway.table).await, ClaimState::NotRun);
    assert_eq!(gateway.call(keyed_chat(false)).await.status, StatusCode::OK);
}

#[parameterized(
    answer_lost = { CommitFault::AnswerLost },
    request_lost = { CommitFault::RequestLost },
    late = { CommitFault::Late },
)]
fn outcome_write_is_retried_until_its_result_is_known(fault: CommitFault) {
    run_paused(async move {
        let gateways = gateways(2).await;
        gateways[0].models.plan([Script::Stream(delayed_answer())]);
        let table = gateways[0].table.clone();
        let plan = async {
            wait_until_claimed(&table).await;
            table.plan([fault; 7]);
        };
        let (answer, ()) = tokio::join!(gateways[0].call(keyed_chat(false)), plan);
        assert_eq!(answer.status, StatusCode::OK);
        assert!(matches!(wait_until_settled(&table).await, ClaimState::Answered(_)));
        table.release_late();
        table.clear_faults();
        assert!(matches!(claim(&table).state, ClaimState::Answered(_)));
        assert_eq!(gateways[1].call(keyed_chat(false)).await.body, answer.body);
        assert_eq!(dispatch_count(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn outcome_is_written_when_the_caller_leaves() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::Stream(delayed_answer())]);
    let abandoned_call =
        tokio::time::timeout(Duration::from_millis(40), gateways[0].call(keyed_chat(false)));
    assert!(abandoned_call.await.is_err());
    assert!(matches!(wait_until_settled(&gateways[0].table).await, ClaimState::Answered(_)));
    assert_eq!(gateways[1].call(keyed_chat(false)).await.status, StatusCode::OK);
    assert_eq!((dispatch_count(&gateways[0]), gateways[0].models.cancelled().len()), (1, 0));
}

/// A gateway that dies after claiming leaves its row as claimed. Other gateways must report the
/// request as running until its deadline passes and as unknown afterwards, and never run it.
#[parameterized(before_dispatch = { false }, after_dispatch = { true })]
fn claim_of_a_dead_gateway_is_running_then_unknown(dispatched: bool) {
    let models = Arc::new(ScriptedModels::default());
    let table = Arc::new(MemoryTable::default());
    let controller = FakeController::new();
    // Each gateway has its own runtime, so that one can be dropped with all its tasks.
    let dying = paused_runtime();
    dying.block_on(async {
        if dispatched {
            models.plan([Script::Silence]);
        } else {
            controller.set_age(Some(10));
        }
        let (models, table) = (models.clone(), table.clone());
        let gateway = TestGateway::with(settings(), models, table, controller.clone()).await;
        let call = gateway.call(keyed_chat(false).header("x-gf-deadline-ms", "2000"));
        let end = tokio::time::timeout(Duration::from_millis(100), call);
        if dispatched {
            assert!(end.await.is_err());
        } else {
            drop(
                tokio::time::timeout(Duration::from_millis(50), gateway.claim_without_dispatch())
                    .await,
            );
        }
    });
    drop(dying);
    assert_eq!(claim(&table).state, ClaimState::Claimed);
    paused_runtime().block_on(async {
        let before = models.dispatches().len();
        let second = TestGateway::with(settings(), models.clone(), table.clone(), controller).await;
        assert_eq!(second.call(keyed_chat(false)).await.json()["title"], RUNNING);
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(second.call(keyed_chat(false)).await.outcome(), Some("unknown"));
        assert_eq!(wait_until_settled(&table).await, ClaimState::Unknown);
        assert_eq!(models.dispatches().len(), before);
    });
}

const RUNNING: &str = "A request with this idempotency key is running";

impl TestGateway {
    /// Claims the key of [`keyed_chat`] as the gateway does, then waits forever.
    async fn claim_without_dispatch(&self) {
        let body = keyed_chat(false).body;
        let digest = gateway::serve::request_digest("/v1/chat/completions", &body);
        let claim = gateway::claims::ClaimRequest {
            workspace: base::WorkspaceId::new("alpha").unwrap(),
            key: base::IdempotencyKey::new("k-1").unwrap(),
            digest,
            time_left: Duration::from_secs(2),
        };
        let end = self.core.claims.claim(claim).await;
        assert!(matches!(end, gateway::claims::ClaimEnd::Own(_)));
        std::future::pending::<()>().await;
    }
}

/// The gateway is killed after it sent the answer and before it wrote the outcome.
#[test]
fn death_of_a_gateway_before_the_outcome_write_does_not_rerun_the_request() {
    let models = Arc::new(ScriptedModels::default());
    let table = Arc::new(MemoryTable::default());
    let controller = FakeController::new();
    let dying = paused_runtime();
    dying.block_on(async {
        models.plan([Script::Stream(delayed_answer())]);
        let (models, table) = (models.clone(), table.clone());
        let gateway = TestGateway::with(settings(), models, table, controller.clone()).await;
        let outage = async {
            wait_until_claimed(&gateway.table).await;
            gateway.table.set_down(true);
        };
        let request = keyed_chat(false).header("x-gf-deadline-ms", "2000");
        let (answer, ()) = tokio::join!(gateway.call(request), outage);
        assert_eq!(answer.status, StatusCode::OK);
    });
    drop(dying);
    table.set_down(false);
    paused_runtime().block_on(async {
        let second = TestGateway::with(settings(), models.clone(), table.clone(), controller).await;
        let calls = (0..4).map(|_| second.call(keyed_chat(false)));
        for answer in futures::future::join_all(calls).await {
            assert_eq!(answer.json()["title"], RUNNING);
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(second.call(keyed_chat(false)).await.outcome(), Some("unknown"));
        assert_eq!(models.dispatches().len(), 1);
    });
}

/// Another gateway marks the claim as unknown because its clock is past the deadline. The claiming
/// gateway is alive and must be able to write the real outcome over it.
#[tokio::test(start_paused = true)]
async fn late_outcome_replaces_unknown() {
    let gateways = gateways(2).await;
    let table = gateways[0].table.clone();
    gateways[0].models.plan([Script::Stream(delayed_answer())]);
    let outage = async {
        wait_until_claimed(&table).await;
        table.set_down(true);
    };
    let request = keyed_chat(false).header("x-gf-deadline-ms", "1000");
    let (answer, ()) = tokio::join!(gateways[0].call(request), outage);
    assert_eq!(answer.status, StatusCode::OK);
    let others_clock = gateways[1].clock.clone();
    others_clock.freeze(Duration::from_secs(10));
    tokio::time::sleep(Duration::from_millis(100)).await;
    table.set_down(false);
    assert_eq!(gateways[1].call(keyed_chat(false)).await.outcome(), Some("unknown"));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(gateways[1].call(keyed_chat(false)).await.body, answer.body);
    assert_eq!(dispatch_count(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn frozen_past_the_deadline_dispatches_nothing() {
    let gateways = gateways(2).await;
    let gateway = &gateways[0];
    let clock = gateway.clock.clone();
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(2)).await;
        clock.freeze(Duration::from_secs(30));
    };
    let request = keyed_chat(false).header("x-gf-deadline-ms", "20000");
    let (answer, ()) = tokio::join!(gateway.call(request), freeze);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(dispatch_count(gateway), 0);
    assert_eq!(wait_until_settled(&gateway.table).await, ClaimState::NotRun);
}

/// The claim's result arrives after the deadline, when the gateway's state is current again. Only
/// the deadline can stop the dispatch.
#[tokio::test(start_paused = true)]
async fn claimed_past_the_deadline_dispatches_nothing() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    gateway.table.set_delay(Duration::from_millis(100));
    let clock = gateway.clock.clone();
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        clock.freeze(Duration::from_secs(30));
    };
    let request = keyed_chat(false).header("x-gf-deadline-ms", "20000");
    let (answer, ()) = tokio::join!(gateway.call(request), freeze);
    assert!(gateway.core.current_state().is_ok());
    assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, Some("not-run")));
    assert_eq!(dispatch_count(gateway), 0);
    assert_eq!(wait_until_settled(&gateway.table).await, ClaimState::NotRun);
}

/// The process freezes while it sets up the connection, after all checks but the permit.
#[tokio::test(start_paused = true)]
async fn freeze_during_connection_setup_dispatches_nothing() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    let clock = gateway.clock.clone();
    gateway.models.before_permit(move || clock.freeze(Duration::from_secs(30)));
    let request = keyed_chat(false).header("x-gf-deadline-ms", "20000");
    let answer = gateway.call(request).await;
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(dispatch_count(gateway), 0);
    assert_eq!(wait_until_settled(&gateway.table).await, ClaimState::NotRun);
}

#[tokio::test(start_paused = true)]
async fn frozen_past_its_evidence_dispatches_nothing() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    gateway.stop_polling();
    let clock = gateway.clock.clone();
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(2)).await;
        clock.freeze(Duration::from_secs(4));
    };
    let (answer, ()) = tokio::join!(gateway.call(keyed_chat(false)), freeze);
    assert_eq!(answer.json()["type"], "urn:gypsumfork:problem:isolated");
    assert_eq!(dispatch_count(gateway), 0);
}

#[tokio::test(start_paused = true)]
async fn one_conflict_in_a_batch_fails_no_other_claim() {
    let gateways = gateways(2).await;
    gateways[0].call(keyed("k-7")).await;
    wait_until_settled(&gateways[0].table).await;
    let before = gateways[1].table.commits();
    let calls = (0..20).map(|number| gateways[1].call(keyed(&format!("k-{number}"))));
    let answers: Vec<CallerAnswer> = futures::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(dispatch_count(&gateways[1]), 20);
    // One batch of claims, one retry of it without the conflict, and one or two of outcomes.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(gateways[1].table.commits() - before <= 4);
}

fn keyed(key: &str) -> CallerRequest {
    CallerRequest::chat(false).header("idempotency-key", key)
}

#[tokio::test(start_paused = true)]
async fn lone_request_takes_two_table_writes() {
    let gateways = gateways(1).await;
    gateways[0].call(keyed_chat(false)).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!((gateways[0].table.commits(), gateways[0].table.reads()), (2, 0));
}

#[tokio::test(start_paused = true)]
async fn thousand_requests_a_second_take_under_a_fifth_of_a_write_each() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    let calls = (0..2_000_u64).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(number)).await;
        gateway.call(keyed(&format!("k-{number}"))).await.status
    });
    let statuses = futures::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let commits = gateway.table.commits();
    assert!(commits * 5 < 2_000, "{commits} table writes for 2000 requests");
}

fn delayed_answer() -> Vec<Step> {
    [Step::Pause(Duration::from_millis(100))].into_iter().chain(whole_from(0)).collect()
}

async fn wait_until_claimed(table: &MemoryTable) {
    while table.rows().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap()
}

fn run_paused(test: impl Future<Output = ()>) {
    paused_runtime().block_on(test);
}

#[test]
fn claim_row_format_is_stable() {
    let text = r#"{"workspace":"alpha","key":"k","nonce":"n","digest":"d","gateway":"entry-1",
        "claimed_ms":1,"deadline_ms":2,"state":"claimed"}"#;
    let row: ClaimRow = serde_json::from_str(text).unwrap();
    assert_eq!(row.state, ClaimState::Claimed);
}
