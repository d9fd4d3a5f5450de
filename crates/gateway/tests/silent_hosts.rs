//! Hosts that are alive and silent for a moment, beside others that refuse.

mod support;

use {
    engine::NotRunReason,
    http::{Method, StatusCode},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
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
        wire_server::{self, RequestLog, WireRequest, plain_response, stream_chunks, write},
    },
    tokio::{net::TcpStream, time::sleep},
    yare::parameterized,
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

/// Starts two servers. The first request for `/slow` or a chat at either is answered after `delay`,
/// all later ones at once by `second`.
async fn slow_then(
    delay: Duration,
    second: fn(&WireRequest) -> Vec<u8>,
) -> (Vec<SocketAddr>, Vec<RequestLog>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for _ in 0..2 {
        let requests = requests.clone();
        let answer = move |request: WireRequest, mut stream: TcpStream| {
            let requests = requests.clone();
            async move {
                let counted = is_counted(&request);
                let answer = match counted.then(|| requests.fetch_add(1, Ordering::SeqCst)) {
                    None => plain_response("200 OK", "", "{}"),
                    Some(0) => {
                        sleep(delay).await;
                        late_answer(&request)
                    }
                    Some(_) => second(&request),
                };
                write(&mut stream, &answer).await;
                Some(stream)
            }
        };
        servers.push(wire_server::serve(answer).await);
    }
    servers.into_iter().unzip()
}

fn is_counted(request: &WireRequest) -> bool {
    request.head.contains("/slow") || request.head.starts_with("POST /v1/chat")
}

fn late_answer(request: &WireRequest) -> Vec<u8> {
    match request.head.contains("/slow") {
        true => plain_response("200 OK", "", "late"),
        false => stream_chunks(&request.attempt(), 0, 3).concat(),
    }
}

fn refusal(_: &WireRequest) -> Vec<u8> {
    plain_response("503 Service Unavailable", "x-gf-outcome: not-run\r\n", "")
}

fn failure(_: &WireRequest) -> Vec<u8> {
    plain_response("500 Internal Server Error", "", "")
}

fn prompt_answer(request: &WireRequest) -> Vec<u8> {
    match request.head.contains("/slow") {
        true => plain_response("200 OK", "", "prompt"),
        false => late_answer(request),
    }
}

/// Number of counted requests of each server, the larger one first.
fn counts(logs: &[RequestLog]) -> Vec<usize> {
    let count = |log: &RequestLog| log.lock().iter().filter(|one| is_counted(one)).count();
    let mut counts: Vec<_> = logs.iter().map(count).collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    counts
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(test);
}

/// A call of a silent server stays there while another one refuses it or fails, and goes to one that
/// answers.
#[parameterized(
    refused = { refusal, "late" },
    failed = { failure, "late" },
    answered = { prompt_answer, "prompt" },
)]
fn a_silent_call_goes_to_a_server_that_answers(
    second: fn(&WireRequest) -> Vec<u8>,
    expected: &str,
) {
    run(async move {
        let (addresses, logs) = slow_then(Duration::from_secs(3), second).await;
        let controller = FakeController::new();
        controller.add_server("quotes", "server-0", addresses[0]);
        controller.add_server("quotes", "server-1", addresses[1]);
        let gateway = start(settings(), http_ports(), &controller).await;
        let call = CallerRequest::new(Method::POST, "/v1/services/quotes/slow")
            .header("x-gf-deadline-ms", "6000")
            .body("hello");
        let answer = call.send(gateway.callers_address()).await;
        assert_eq!((answer.status, answer.text()), (StatusCode::OK, expected));
        assert_eq!(counts(&logs), vec![1, 1]);
    });
}

/// A stream without the head of an answer stays at its engine while another one refuses it or fails.
#[parameterized(
    refused = { refusal },
    failed = { failure },
    answered = { prompt_answer },
)]
fn a_stream_without_a_head_goes_to_an_engine_that_answers(second: fn(&WireRequest) -> Vec<u8>) {
    run(async move {
        let (addresses, logs) = slow_then(Duration::from_millis(2_200), second).await;
        let controller = FakeController::new();
        controller.add_group("g1", addresses[0]);
        controller.add_group("g2", addresses[1]);
        let gateway = start(settings(), http_ports(), &controller).await;
        let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
        assert_eq!(counts(&logs), vec![1, 1]);
    });
}
