//! Hosts that are alive and silent for a moment, beside others that refuse.

mod support;

use {
    engine::NotRunReason,
    http::{Method, StatusCode},
    std::time::Duration,
    support::{
        client::CallerRequest,
        controller::FakeController,
        http_ports,
        models::{
            Script,
            Step::{Break, Last, Pause, Silence, Token},
        },
        settings, start,
        test_gateway::TestGateway,
        wire_server::{self, WireRequest, plain_response, write},
    },
    tokio::{net::TcpStream, time::sleep},
};

/// A stream of a live engine that was silent for a moment was cut, because it was given up before
/// another engine had taken it.
#[tokio::test(start_paused = true)]
async fn a_silent_stream_is_kept_until_another_engine_has_it() {
    let gateway = TestGateway::new().await;
    let slow = vec![Token(0), Pause(Duration::from_millis(1_200)), Token(1), Last(2)];
    let refused = || Script::Refuse(NotRunReason::Full);
    gateway.models.plan([Script::Stream(slow), refused(), refused(), refused()]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
}

/// A stream of a silent engine goes on at another one, and the silent engine is told to stop.
#[tokio::test(start_paused = true)]
async fn a_silent_stream_moves_to_an_engine_that_gives_the_next_token() {
    let gateway = TestGateway::new().await;
    let later = vec![Pause(Duration::from_secs(1)), Token(1), Last(2)];
    gateway.models.plan([Script::Stream(vec![Token(0), Silence]), Script::Stream(later)]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
    let dispatches = gateway.models.dispatches();
    assert_ne!(dispatches[0].group, dispatches[1].group);
    assert!(gateway.models.cancelled().contains(&dispatches[0].attempt));
    assert!(!gateway.models.cancelled().contains(&dispatches[1].attempt));
}

/// A stream stays at an engine that goes on first, and the other engine is told to stop.
#[tokio::test(start_paused = true)]
async fn a_silent_stream_stays_where_its_engine_goes_on_first() {
    let gateway = TestGateway::new().await;
    let slow = vec![Token(0), Pause(Duration::from_millis(500)), Token(1), Last(2)];
    gateway.models.plan([Script::Stream(slow), Script::Silence]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
    let dispatches = gateway.models.dispatches();
    assert_eq!(dispatches.len(), 2);
    assert_eq!(gateway.models.cancelled(), vec![dispatches[1].attempt.clone()]);
}

/// A stream whose connection breaks goes on at the engine that was asked while it was silent.
#[tokio::test(start_paused = true)]
async fn a_broken_stream_waits_for_the_engine_that_was_asked_before() {
    let gateway = TestGateway::new().await;
    let broken = vec![Token(0), Pause(Duration::from_millis(500)), Break];
    let later = vec![Pause(Duration::from_millis(400)), Token(1), Last(2)];
    gateway.models.plan([Script::Stream(broken), Script::Stream(later)]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
    assert_eq!(gateway.models.dispatches().len(), 2);
}

/// A request that only its second attempt sent was told as not run at the deadline.
#[tokio::test(start_paused = true)]
async fn a_request_sent_by_its_second_attempt_may_have_run() {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::NoConnection].into_iter().chain([const { Script::Silence }; 3]));
    let request = CallerRequest::chat(false).header("x-gf-deadline-ms", "3000");
    let answer = gateway.call(request).await;
    assert!(!gateway.models.dispatches().is_empty());
    assert_eq!(answer.outcome(), Some("unknown"));
}

async fn answer_late(request: WireRequest, mut stream: TcpStream) -> Option<TcpStream> {
    if request.head.contains("/slow") {
        sleep(Duration::from_secs(3)).await;
    }
    write(&mut stream, &plain_response("200 OK", "", "late")).await;
    Some(stream)
}

async fn refuse_call(request: WireRequest, mut stream: TcpStream) -> Option<TcpStream> {
    let (status, head) = match request.head.contains("/slow") {
        true => ("503 Service Unavailable", "x-gf-outcome: not-run\r\n"),
        false => ("200 OK", ""),
    };
    write(&mut stream, &plain_response(status, head, "")).await;
    Some(stream)
}

/// A call was given up at a live server, with half of its time left, before another one had taken it.
#[tokio::test]
async fn a_slow_call_is_kept_until_another_server_has_it() {
    let (slow, log) = wire_server::serve(answer_late).await;
    let (refusing, _) = wire_server::serve(refuse_call).await;
    let controller = FakeController::new();
    controller.add_server("quotes", "server-0", slow);
    controller.add_server("quotes", "server-1", refusing);
    let gateway = start(settings(), http_ports(), &controller).await;
    let call = CallerRequest::new(Method::POST, "/v1/services/quotes/slow")
        .header("x-gf-deadline-ms", "6000")
        .body("hello");
    let answer = call.send(gateway.callers_address()).await;
    let slow_calls = log.lock().iter().filter(|request| request.head.contains("/slow")).count();
    assert_eq!((answer.status, slow_calls), (StatusCode::OK, 1), "{}", answer.text());
}
