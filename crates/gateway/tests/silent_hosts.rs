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
            Step::{Last, Pause, Token},
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
