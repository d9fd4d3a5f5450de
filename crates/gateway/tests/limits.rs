//! Limits of workspaces, and the admission queue.

mod support;

use {
    base::{ManualClock, RatePerSecond, Tick, ViewNumber, Weight, WorkspaceId},
    engine::NotRunReason,
    gateway::admission_queue::{AdmissionQueue, WaitRequest},
    http::StatusCode,
    peer::{GroupPhase, ShareGrant},
    std::{sync::Arc, time::Duration},
    support::{
        client::{CallerAnswer, CallerRequest},
        models::{
            Script,
            Step::{Last, Pause, Token},
        },
        test_gateway::TestGateway,
    },
};

fn slow(span: Duration) -> Script {
    Script::Stream(vec![Token(0), Pause(span), Last(1)])
}

fn alpha() -> WorkspaceId {
    WorkspaceId::new("alpha").unwrap()
}

async fn set_limits(gateway: &TestGateway, rate: f64, in_flight: u32) {
    gateway.controller.change(|desired| {
        let limits = &mut desired.workspaces.get_mut(&alpha()).unwrap().limits;
        limits.requests_per_second = RatePerSecond(rate);
        limits.in_flight = in_flight;
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
}

fn assert_limited(answer: &CallerAnswer) {
    assert_eq!((answer.status, answer.outcome()), (StatusCode::TOO_MANY_REQUESTS, Some("not-run")));
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test(start_paused = true)]
async fn requests_in_flight_are_limited_without_a_grant() {
    let gateway = TestGateway::new().await;
    // The base share is a fifth of the limit, which needs no grant: 4 of 20.
    set_limits(&gateway, 1_000.0, 20).await;
    gateway.models.plan(vec![slow(Duration::from_millis(250)); 20]);
    let calls = (0..20).map(|_| gateway.call(CallerRequest::chat(true)));
    let answers = futures::future::join_all(calls).await;
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|answer| answer.status == StatusCode::OK);
    assert_eq!((served.len(), refused.len()), (4, 16));
    refused.iter().for_each(|answer| assert_limited(answer));
    // Ended requests no longer count against the limit.
    assert_eq!(gateway.call(CallerRequest::chat(true)).await.status, StatusCode::OK);
}

#[tokio::test(start_paused = true)]
async fn grant_lifts_the_limit_until_it_runs_out() {
    let gateway = TestGateway::new().await;
    set_limits(&gateway, 1_000.0, 0).await;
    assert_limited(&gateway.call(CallerRequest::chat(true)).await);
    let demand = |poll: peer::GatewayPoll| poll.demands.into_iter().next();
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let Some(demand) = gateway.controller.last_poll().and_then(demand) else { continue };
        gateway.controller.set_shares(vec![ShareGrant {
            workspace: alpha(),
            requests_per_second: RatePerSecond(100.0),
            in_flight: 5,
            order: demand.order,
            valid_ms: 1_000,
            view: ViewNumber(1),
        }]);
        if gateway.call(CallerRequest::chat(true)).await.status == StatusCode::OK {
            break;
        }
    }
    assert_eq!(gateway.call(CallerRequest::chat(true)).await.status, StatusCode::OK);
    gateway.controller.set_shares(Vec::new());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_limited(&gateway.call(CallerRequest::chat(true)).await);
}

#[tokio::test(start_paused = true)]
async fn rate_is_limited() {
    let gateway = TestGateway::new().await;
    set_limits(&gateway, 50.0, 1_000).await;
    let mut served = 0;
    for _ in 0..100 {
        let answer = gateway.call(CallerRequest::chat(true)).await;
        served += usize::from(answer.status == StatusCode::OK);
    }
    // The base share allows 10 requests per second and a burst of 0.25 s. Refused requests wait for
    // a grant first, and the share allows more requests in that time.
    assert!(served < 100);
}

#[tokio::test(start_paused = true)]
async fn requests_queue_while_all_slots_are_in_use() {
    let gateway = TestGateway::new().await;
    gateway.models.plan(vec![slow(Duration::from_millis(200)); 40]);
    let calls = (0..40).map(|_| gateway.call(CallerRequest::chat(true)));
    let max_in_flight = async {
        let mut max_in_flight = 0;
        for _ in 0..50 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let state = gateway.core.state.load();
            let loads = state.tables()[0].targets().iter().map(|one| one.counters.in_flight());
            max_in_flight = max_in_flight.max(loads.max().unwrap_or(0));
        }
        max_in_flight
    };
    let (answers, max_in_flight) = tokio::join!(futures::future::join_all(calls), max_in_flight);
    assert!(answers.iter().all(|answer| answer.tokens() == (vec![0, 1], true)));
    assert_eq!(max_in_flight, 8);
}

#[tokio::test(start_paused = true)]
async fn higher_priority_goes_first() {
    let gateway = TestGateway::new().await;
    gateway.models.plan(vec![slow(Duration::from_millis(100)); 100]);
    let call = |priority: &'static str| {
        let gateway = &gateway;
        async move {
            let request = CallerRequest::chat(true).header("x-gf-priority", priority);
            gateway.call(request).await;
            (tokio::time::Instant::now(), priority)
        }
    };
    let filling = futures::future::join_all((0..16).map(|_| call("5")));
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let low = futures::future::join_all((0..16).map(|_| call("1")));
        let high = async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            futures::future::join_all((0..16).map(|_| call("9"))).await
        };
        tokio::join!(low, high)
    };
    let (_, (low, high)) = tokio::join!(filling, waiting);
    let last_high = high.iter().map(|end| end.0).max().unwrap();
    assert!(low.iter().filter(|end| end.0 < last_high).count() <= 1);
}

#[tokio::test(start_paused = true)]
async fn full_queue_refuses_early_with_the_time_to_come_back() {
    let gateway = TestGateway::new().await;
    gateway.models.plan(vec![slow(Duration::from_millis(250)); 300]);
    let started = tokio::time::Instant::now();
    let calls = (0..300).map(|_| async {
        let request = CallerRequest::chat(true).header("x-gf-deadline-ms", "1000");
        let answer = gateway.call(request).await;
        (answer, started.elapsed())
    });
    let answers = futures::future::join_all(calls).await;
    let served = answers.iter().filter(|(answer, _)| answer.status == StatusCode::OK).count();
    assert!(served >= 48, "{served} served");
    for (answer, after) in answers.iter().filter(|(answer, _)| answer.status != StatusCode::OK) {
        assert_eq!(answer.outcome(), Some("not-run"), "{}", answer.text());
        assert!(answer.headers.contains_key("retry-after"));
        assert!(*after <= Duration::from_millis(1_001));
    }
}

#[tokio::test(start_paused = true)]
async fn callers_that_leave_the_queue_are_not_dispatched() {
    let gateway = TestGateway::new().await;
    gateway.models.plan(vec![slow(Duration::from_millis(200)); 16]);
    let filling =
        futures::future::join_all((0..16).map(|_| gateway.call(CallerRequest::chat(true))));
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let leaving = tokio::time::timeout(
            Duration::from_millis(50),
            futures::future::join_all((0..10).map(|_| gateway.call(CallerRequest::chat(true)))),
        );
        let (left, stayed) = tokio::join!(leaving, gateway.call(CallerRequest::chat(true)));
        assert!(left.is_err());
        stayed
    };
    let (_, stayed) = tokio::join!(filling, waiting);
    assert_eq!(stayed.status, StatusCode::OK);
    assert_eq!(gateway.models.dispatches().len(), 17);
}

#[tokio::test(start_paused = true)]
async fn group_that_serves_again_admits_queued_requests() {
    let gateway = TestGateway::new().await;
    gateway.controller.set_phase("g2", GroupPhase::Draining);
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.models.plan(vec![slow(Duration::from_millis(290)); 8]);
    let filling =
        futures::future::join_all((0..8).map(|_| gateway.call(CallerRequest::chat(true))));
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let back = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            gateway.controller.set_phase("g2", GroupPhase::Serving);
        };
        let started = tokio::time::Instant::now();
        let (answer, ()) = tokio::join!(gateway.call(CallerRequest::chat(true)), back);
        (answer, started.elapsed())
    };
    let (_, (answer, waited)) = tokio::join!(filling, waiting);
    assert_eq!(answer.status, StatusCode::OK);
    assert!(waited < Duration::from_millis(200), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn full_engines_give_an_unavailable_answer() {
    let gateway = TestGateway::new().await;
    let full = Script::Refuse(NotRunReason::Full);
    gateway.models.plan([full.clone(), full]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(
        (answer.status, answer.outcome()),
        (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"))
    );
}

/// A request is admitted and then cancelled before it proceeds; the next one must be admitted
/// instead.
#[tokio::test(start_paused = true)]
async fn admission_of_a_cancelled_request_goes_to_the_next() {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(1));
    let queue = AdmissionQueue::new(clock);
    let request = WaitRequest {
        workspace: alpha(),
        weight: Weight(1.0),
        priority: 5,
        arrived: Tick(1),
        until: Tick(60_000_000_000),
    };
    let mut leaving = Box::pin(queue.wait(&request, || false));
    assert!(futures::poll!(leaving.as_mut()).is_pending());
    let mut staying = Box::pin(queue.wait(&request, || false));
    assert!(futures::poll!(staying.as_mut()).is_pending());
    queue.note_end();
    drop(leaving);
    assert_eq!(futures::poll!(staying.as_mut()), std::task::Poll::Ready(Ok(())));
    assert_eq!(queue.waiting(), 0);
}
