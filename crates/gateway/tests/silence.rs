//! Connections that stop delivering data while new ones to the same host work, and hosts that are
//! down.

mod support;

use {
    engine::NotRunReason,
    http::StatusCode,
    std::{
        collections::HashSet,
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{
        client::CallerRequest,
        controller::FakeController,
        http_ports,
        models::{
            Script,
            Step::{Last, Pause, Silence, Token},
        },
        settings, start,
        test_gateway::TestGateway,
        wire_server::{self, plain_response, stream_chunks, write},
    },
};

#[tokio::test(start_paused = true)]
async fn stalled_stream_is_resumed_on_a_new_connection() {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::Stream(vec![Token(0), Token(1), Silence])]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2, 3, 4], true));
    let dispatches = gateway.models.dispatches();
    assert_eq!((dispatches.len(), dispatches[1].offset), (2, 2));
    assert_eq!(gateway.models.probes(), 1);
    // The engine must not continue an attempt whose frames nobody reads.
    assert_eq!(gateway.models.cancelled(), vec![dispatches[0].attempt.clone()]);
}

#[tokio::test(start_paused = true)]
async fn stalled_stream_of_a_dead_host_is_resumed_by_another_group() {
    let gateway = TestGateway::new().await;
    gateway.models.set_alive(false);
    gateway.models.plan([Script::Stream(vec![Token(0), Silence])]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2, 3, 4], true));
    let dispatches = gateway.models.dispatches();
    assert_ne!(dispatches[0].group, dispatches[1].group);
}

#[tokio::test(start_paused = true)]
async fn slow_stream_is_not_probed() {
    let gateway = TestGateway::new().await;
    let pause = Pause(Duration::from_millis(290));
    let steps = vec![Token(0), pause.clone(), Token(1), pause, Last(2)];
    gateway.models.plan([Script::Stream(steps)]);
    assert_eq!(gateway.call(CallerRequest::chat(true)).await.tokens(), (vec![0, 1, 2], true));
    assert_eq!((gateway.models.dispatches().len(), gateway.models.probes()), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn unanswered_keyed_request_is_not_retried() {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::Silence]);
    let request = CallerRequest::chat(false)
        .header("idempotency-key", "k-1")
        .header("x-gf-deadline-ms", "10000");
    let answer = gateway.call(request).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, Some("unknown")));
    assert_eq!(gateway.models.dispatches().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn unanswered_keyed_request_ends_early_when_the_host_is_down() {
    let gateway = TestGateway::new().await;
    gateway.models.set_alive(false);
    gateway.models.plan([Script::Silence]);
    let started = tokio::time::Instant::now();
    let request = CallerRequest::chat(false).header("idempotency-key", "k-1");
    let answer = gateway.call(request).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, Some("unknown")));
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn stalled_stream_is_waited_for_when_the_retry_budget_is_empty() {
    let gateway = TestGateway::new().await;
    // Ten refusals use up the initial retry budget.
    for _ in 0..5 {
        gateway
            .models
            .plan([Script::Refuse(NotRunReason::Full), Script::Refuse(NotRunReason::Full)]);
        gateway.call(CallerRequest::chat(false)).await;
    }
    let slow = vec![Token(0), Pause(Duration::from_secs(3)), Last(1)];
    gateway.models.plan([Script::Stream(slow)]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1], true));
}

/// Starts an engine that answers the first request of each connection and ignores later ones.
async fn one_answer_per_connection_engine() -> (std::net::SocketAddr, wire_server::RequestLog) {
    let used = Arc::new(Mutex::new(HashSet::new()));
    wire_server::serve(move |request: wire_server::WireRequest, mut stream| {
        let used = used.clone();
        async move {
            if !request.head.starts_with("POST /v1/chat") {
                write(&mut stream, &plain_response("200 OK", "", "{}")).await;
                return Some(stream);
            }
            let peer = stream.peer_addr().unwrap();
            if !used.lock().unwrap().insert(peer) {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return None;
            }
            write(&mut stream, &stream_chunks(&request.attempt(), 0, 3).concat()).await;
            Some(stream)
        }
    })
    .await
}

fn chat_requests(log: &wire_server::RequestLog) -> usize {
    log.lock().iter().filter(|request| request.head.contains("/chat/")).count()
}

#[tokio::test]
async fn unresponsive_pooled_connection_is_replaced() {
    let (engine, log) = one_answer_per_connection_engine().await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    for _ in 0..2 {
        let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
    }
    assert_eq!(chat_requests(&log), 3);
}

/// A keyed request cannot be retried if its connection fails, so it must not use a pooled one.
#[tokio::test]
async fn keyed_request_uses_a_new_connection() {
    let (engine, log) = one_answer_per_connection_engine().await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    for number in 0..4 {
        let request = CallerRequest::chat(true).header("idempotency-key", &format!("k-{number}"));
        let answer = request.send(gateway.callers_address()).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
    }
    assert_eq!(chat_requests(&log), 4);
}
