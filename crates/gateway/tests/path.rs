//! Requests over real connections, from the caller to an engine and back.

mod support;

use {
    http::{Method, StatusCode},
    support::{
        client::CallerRequest,
        controller::{FakeController, gateway_entry},
        http_ports, settings, start,
        wire_server::{self, plain_response, stream_chunks, write},
    },
    tokio::net::TcpStream,
};

async fn serve_stream(
    request: wire_server::WireRequest,
    mut stream: TcpStream,
) -> Option<TcpStream> {
    if request.head.starts_with("GET") {
        write(&mut stream, &plain_response("200 OK", "", "{}")).await;
        return Some(stream);
    }
    let from = request.header("x-gf-offset").map_or(0, |text| text.parse().unwrap());
    for chunk in stream_chunks(&request.attempt(), from, 5) {
        write(&mut stream, &chunk).await;
    }
    Some(stream)
}

#[tokio::test]
async fn streamed_answer_is_whole() {
    let (engine, log) = wire_server::serve(serve_stream).await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    assert_eq!(answer.tokens(), (vec![0, 1, 2, 3, 4], true));
    let request = log.lock()[0].clone();
    assert_eq!(request.header("x-gf-group"), Some("g1"));
    assert_eq!(request.header("x-gf-epoch"), Some("1"));
    assert_eq!(request.header("x-gf-priority"), Some("5"));
}

#[tokio::test]
async fn unstreamed_answer_is_one_object() {
    let (engine, _) = wire_server::serve(serve_stream).await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    let answer = CallerRequest::chat(false).send(gateway.callers_address()).await;
    assert_eq!(answer.status, StatusCode::OK);
    let body = answer.json();
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["choices"][0]["message"]["content"], "t0 t1 t2 t3 t4 ");
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["usage"]["completion_tokens"], 5);
    assert!(body.get("gf_attempt").is_none());
}

#[tokio::test]
async fn connections_are_reused() {
    let (engine, log) = wire_server::serve(serve_stream).await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    for _ in 0..5 {
        let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2, 3, 4], true));
    }
    assert_eq!(log.lock().len(), 5);
}

#[tokio::test]
async fn unknown_path_and_method_are_refused() {
    let gateway = start(settings(), http_ports(), &FakeController::new()).await;
    for (method, path) in [(Method::GET, "/v1/chat/completions"), (Method::POST, "/v2/x")] {
        let answer = CallerRequest::new(method, path).send(gateway.callers_address()).await;
        assert_eq!((answer.status, answer.outcome()), (StatusCode::NOT_FOUND, Some("not-run")));
    }
}

#[tokio::test]
async fn addresses_health_and_readiness_are_served() {
    let controller = FakeController::new();
    controller.set_gateways(vec![gateway_entry("entry-2", "fd-2", 7, 0)]);
    let gateway = start(settings(), http_ports(), &controller).await;
    let get = |path: &str| CallerRequest::new(Method::GET, path);
    let addresses = get("/v1/addresses").send(gateway.callers_address()).await.json();
    assert_eq!(addresses["addresses"][0]["host"], "entry-2");
    assert_eq!(addresses["keep_ms"], 5_000);
    for path in ["/healthz", "/readyz", "/metrics"] {
        assert_eq!(get(path).send(gateway.admin_address()).await.status, StatusCode::OK);
    }
}
