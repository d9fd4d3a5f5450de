//! Non-idempotent requests run at most once.

mod support;

use {
    engine::NotRunReason,
    http::StatusCode,
    infra::{ClaimRow, ClaimState},
    std::{sync::Arc, time::Duration},
    support::{
        client::{CallerAnswer, CallerRequest},
        controller::FakeController,
        house::TestGateway,
        models::{Script, ScriptedModels, Step, whole_from},
        platform_fake::{CommitFault, MemoryTable},
        settings,
    },
    yare::parameterized,
};

fn marked(stream: bool) -> CallerRequest {
    CallerRequest::chat(stream).header("idempotency-key", "k-1")
}

/// Gateways of one deployment, with the same table and engines.
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

fn runs(gateway: &TestGateway) -> usize {
    gateway.models.dispatches().len()
}

async fn settled(table: &MemoryTable) -> ClaimState {
    for _ in 0..1_000 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if !table.rows().is_empty() && claim(table).state != ClaimState::Claimed {
            return claim(table).state;
        }
    }
    panic!("the claim was not settled");
}

#[parameterized(streamed = { true }, unstreamed = { false })]
fn second_submission_gets_the_kept_answer(stream: bool) {
    run_paused(async move {
        let gateways = gateways(2).await;
        let first = gateways[0].call(marked(stream)).await;
        assert_eq!(first.status, StatusCode::OK);
        settled(&gateways[0].table).await;
        let second = gateways[1].call(marked(stream)).await;
        assert_eq!((second.status, &second.body), (first.status, &first.body));
        assert_eq!(second.headers["content-type"], first.headers["content-type"]);
        assert_eq!(runs(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn parallel_submissions_run_once() {
    let gateways = gateways(3).await;
    let calls = (0..12).map(|number| gateways[number % 3].call(marked(false)));
    let answers = futures::future::join_all(calls).await;
    assert_eq!(runs(&gateways[0]), 1);
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
    gateways[0].call(marked(false)).await;
    let other = r#"{"model":"tiny","messages":[{"role":"user","content":"other"}]}"#;
    let answer = gateways[1].call(marked(false).body(other)).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(gateways[1].call(marked(true)).await.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(runs(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_dispatch_answer_is_unknown_and_never_run_again() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::AnswerLost]);
    let first = gateways[0].call(marked(false)).await;
    assert_eq!((first.status, first.outcome()), (StatusCode::BAD_GATEWAY, Some("unknown")));
    assert_eq!(settled(&gateways[0].table).await, ClaimState::Unknown);
    let second = gateways[1].call(marked(false)).await;
    assert_eq!((second.status, second.outcome()), (StatusCode::CONFLICT, Some("unknown")));
    assert_eq!(runs(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn cut_stream_is_not_run_again() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::Stream(vec![Step::Token(0), Step::Break])]);
    let first = gateways[0].call(marked(true)).await;
    assert!(first.text().contains(r#""outcome":"cut""#));
    assert!(!first.text().contains("[DONE]"));
    assert_eq!(settled(&gateways[0].table).await, ClaimState::Unknown);
    assert_eq!(gateways[1].call(marked(true)).await.outcome(), Some("unknown"));
    assert_eq!(runs(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn refused_by_every_group_is_not_run_and_may_come_again() {
    let gateways = gateways(2).await;
    gateways[0]
        .models
        .plan([Script::Refuse(NotRunReason::NotReady), Script::Refuse(NotRunReason::OtherEpoch)]);
    let first = gateways[0].call(marked(false)).await;
    assert_eq!(first.outcome(), Some("not-run"));
    assert_eq!(settled(&gateways[0].table).await, ClaimState::NotRun);
    let second = gateways[1].call(marked(false)).await;
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(runs(&gateways[0]), 3);
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
        assert_eq!(gateways[0].call(marked(false)).await.status, StatusCode::OK);
        settled(&gateways[0].table).await;
        assert_eq!(gateways[0].table.release_late(), 0);
        assert_eq!(gateways[1].call(marked(false)).await.status, StatusCode::OK);
        assert_eq!(runs(&gateways[0]), 1);
    });
}

#[parameterized(
    never_arrived = { CommitFault::RequestLost },
    took_effect = { CommitFault::AnswerLost },
    kept_back = { CommitFault::Late },
)]
fn claim_without_fate_is_not_run_and_settled(fault: CommitFault) {
    run_paused(async move {
        let gateways = gateways(2).await;
        gateways[0].table.plan([fault; 3]);
        let first = gateways[0].call(marked(false)).await;
        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(first.outcome(), Some("not-run"));
        assert!(first.headers.contains_key("retry-after"));
        assert_eq!(runs(&gateways[0]), 0);
        assert_eq!(settled(&gateways[0].table).await, ClaimState::NotRun);
        // A late effect of the timed-out claim must not make the request look running.
        assert_eq!(gateways[0].table.release_late(), 0);
        assert_eq!(claim(&gateways[0].table).state, ClaimState::NotRun);
        assert_eq!(gateways[1].call(marked(false)).await.status, StatusCode::OK);
        assert_eq!(runs(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn late_effect_before_the_settlement_runs_nothing() {
    let gateways = gateways(2).await;
    gateways[0].table.plan([CommitFault::Late; 3]);
    assert_eq!(gateways[0].call(marked(false)).await.outcome(), Some("not-run"));
    assert_eq!(gateways[0].table.release_late(), 1);
    let second = gateways[1].call(marked(false)).await;
    assert!(second.status == StatusCode::CONFLICT || second.status == StatusCode::OK);
    settled(&gateways[0].table).await;
    assert_eq!(gateways[1].call(marked(false)).await.status, StatusCode::OK);
    assert_eq!(runs(&gateways[0]), 1);
}

#[tokio::test(start_paused = true)]
async fn table_outage_refuses_marked_requests_alone() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    gateway.table.set_down(true);
    let refused = gateway.call(marked(false)).await;
    assert_eq!(
        (refused.status, refused.outcome()),
        (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"),)
    );
    assert!(gateway.call(CallerRequest::chat(true)).await.tokens().1);
    assert_eq!(runs(gateway), 1);
    gateway.table.set_down(false);
    assert_eq!(settled(&gateway.table).await, ClaimState::NotRun);
    assert_eq!(gateway.call(marked(false)).await.status, StatusCode::OK);
}

#[parameterized(
    answer_lost = { CommitFault::AnswerLost },
    request_lost = { CommitFault::RequestLost },
    late = { CommitFault::Late },
)]
fn outcome_is_written_until_it_is_known(fault: CommitFault) {
    run_paused(async move {
        let gateways = gateways(2).await;
        gateways[0].models.plan([Script::Stream(with_pause())]);
        let table = gateways[0].table.clone();
        let plan = async {
            until_claimed(&table).await;
            table.plan([fault; 7]);
        };
        let (answer, ()) = tokio::join!(gateways[0].call(marked(false)), plan);
        assert_eq!(answer.status, StatusCode::OK);
        assert!(matches!(settled(&table).await, ClaimState::Answered(_)));
        table.release_late();
        table.clear_faults();
        assert!(matches!(claim(&table).state, ClaimState::Answered(_)));
        assert_eq!(gateways[1].call(marked(false)).await.body, answer.body);
        assert_eq!(runs(&gateways[0]), 1);
    });
}

#[tokio::test(start_paused = true)]
async fn outcome_is_written_when_the_caller_leaves() {
    let gateways = gateways(2).await;
    gateways[0].models.plan([Script::Stream(with_pause())]);
    let left = tokio::time::timeout(Duration::from_millis(40), gateways[0].call(marked(false)));
    assert!(left.await.is_err());
    assert!(matches!(settled(&gateways[0].table).await, ClaimState::Answered(_)));
    assert_eq!(gateways[1].call(marked(false)).await.status, StatusCode::OK);
    assert_eq!((runs(&gateways[0]), gateways[0].models.cancelled().len()), (1, 0));
}

/// A gateway that dies behind its claim leaves it; nobody runs the request a second time.
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
        let call = gateway.call(marked(false).header("x-gf-deadline-ms", "2000"));
        let end = tokio::time::timeout(Duration::from_millis(100), call);
        if dispatched {
            assert!(end.await.is_err());
        } else {
            drop(tokio::time::timeout(Duration::from_millis(50), gateway.table_claim()).await);
        }
    });
    drop(dying);
    assert_eq!(claim(&table).state, ClaimState::Claimed);
    paused_runtime().block_on(async {
        let before = models.dispatches().len();
        let second = TestGateway::with(settings(), models.clone(), table.clone(), controller).await;
        assert_eq!(second.call(marked(false)).await.json()["title"], RUNNING);
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(second.call(marked(false)).await.outcome(), Some("unknown"));
        assert_eq!(settled(&table).await, ClaimState::Unknown);
        assert_eq!(models.dispatches().len(), before);
    });
}

const RUNNING: &str = "A request with this idempotency key is running";

impl TestGateway {
    /// Claims the key of [`marked`] as the gateway does, and goes no further.
    async fn table_claim(&self) {
        let body = marked(false).body;
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

/// Killed behind the answer and before the outcome is written.
#[test]
fn answer_of_a_gateway_that_died_before_its_outcome_is_never_made_again() {
    let models = Arc::new(ScriptedModels::default());
    let table = Arc::new(MemoryTable::default());
    let controller = FakeController::new();
    let dying = paused_runtime();
    dying.block_on(async {
        models.plan([Script::Stream(with_pause())]);
        let (models, table) = (models.clone(), table.clone());
        let gateway = TestGateway::with(settings(), models, table, controller.clone()).await;
        let out = async {
            until_claimed(&gateway.table).await;
            gateway.table.set_down(true);
        };
        let request = marked(false).header("x-gf-deadline-ms", "2000");
        let (answer, ()) = tokio::join!(gateway.call(request), out);
        assert_eq!(answer.status, StatusCode::OK);
    });
    drop(dying);
    table.set_down(false);
    paused_runtime().block_on(async {
        let second = TestGateway::with(settings(), models.clone(), table.clone(), controller).await;
        let calls = (0..4).map(|_| second.call(marked(false)));
        for answer in futures::future::join_all(calls).await {
            assert_eq!(answer.json()["title"], RUNNING);
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(second.call(marked(false)).await.outcome(), Some("unknown"));
        assert_eq!(models.dispatches().len(), 1);
    });
}

/// A gateway taken for dead that lives on says what really happened.
#[tokio::test(start_paused = true)]
async fn late_outcome_replaces_unknown() {
    let gateways = gateways(2).await;
    let table = gateways[0].table.clone();
    gateways[0].models.plan([Script::Stream(with_pause())]);
    let out = async {
        until_claimed(&table).await;
        table.set_down(true);
    };
    let request = marked(false).header("x-gf-deadline-ms", "1000");
    let (answer, ()) = tokio::join!(gateways[0].call(request), out);
    assert_eq!(answer.status, StatusCode::OK);
    let others_clock = gateways[1].clock.clone();
    others_clock.freeze(Duration::from_secs(10));
    tokio::time::sleep(Duration::from_millis(100)).await;
    table.set_down(false);
    assert_eq!(gateways[1].call(marked(false)).await.outcome(), Some("unknown"));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(gateways[1].call(marked(false)).await.body, answer.body);
    assert_eq!(runs(&gateways[0]), 1);
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
    let request = marked(false).header("x-gf-deadline-ms", "20000");
    let (answer, ()) = tokio::join!(gateway.call(request), freeze);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(runs(gateway), 0);
    assert_eq!(settled(&gateway.table).await, ClaimState::NotRun);
}

/// The claim's answer comes after the deadline, and the state is current again by then.
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
    let request = marked(false).header("x-gf-deadline-ms", "20000");
    let (answer, ()) = tokio::join!(gateway.call(request), freeze);
    assert!(gateway.core.current_state().is_ok());
    assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, Some("not-run")));
    assert_eq!(runs(gateway), 0);
    assert_eq!(settled(&gateway.table).await, ClaimState::NotRun);
}

/// Frozen while the connection is made, behind every other check.
#[tokio::test(start_paused = true)]
async fn frozen_with_the_connection_in_hand_dispatches_nothing() {
    let gateways = gateways(1).await;
    let gateway = &gateways[0];
    let clock = gateway.clock.clone();
    gateway.models.before_permit(move || clock.freeze(Duration::from_secs(30)));
    let request = marked(false).header("x-gf-deadline-ms", "20000");
    let answer = gateway.call(request).await;
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(runs(gateway), 0);
    assert_eq!(settled(&gateway.table).await, ClaimState::NotRun);
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
    let (answer, ()) = tokio::join!(gateway.call(marked(false)), freeze);
    assert_eq!(answer.json()["type"], "urn:gypsumfork:problem:isolated");
    assert_eq!(runs(gateway), 0);
}

#[tokio::test(start_paused = true)]
async fn one_conflict_in_a_batch_fails_no_other_claim() {
    let gateways = gateways(2).await;
    gateways[0].call(keyed("k-7")).await;
    settled(&gateways[0].table).await;
    let before = gateways[1].table.commits();
    let calls = (0..20).map(|number| gateways[1].call(keyed(&format!("k-{number}"))));
    let answers: Vec<CallerAnswer> = futures::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(runs(&gateways[1]), 20);
    // One batch of claims, once more without the conflict, and one batch of outcomes or two.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(gateways[1].table.commits() - before <= 4);
}

fn keyed(key: &str) -> CallerRequest {
    CallerRequest::chat(false).header("idempotency-key", key)
}

#[tokio::test(start_paused = true)]
async fn lone_request_takes_two_table_writes() {
    let gateways = gateways(1).await;
    gateways[0].call(marked(false)).await;
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

fn with_pause() -> Vec<Step> {
    [Step::Pause(Duration::from_millis(100))].into_iter().chain(whole_from(0)).collect()
}

async fn until_claimed(table: &MemoryTable) {
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
fn claims_can_be_read_by_others() {
    let text = r#"{"workspace":"alpha","key":"k","nonce":"n","digest":"d","gateway":"entry-1",
        "claimed_ms":1,"deadline_ms":2,"state":"claimed"}"#;
    let row: ClaimRow = serde_json::from_str(text).unwrap();
    assert_eq!(row.state, ClaimState::Claimed);
}
