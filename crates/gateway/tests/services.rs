//! Calls of plain services: forwarding, idempotency keys, retries and refusals.

mod support;

use {
    gateway::daemon::RunningGateway,
    http::{Method, StatusCode},
    std::{sync::Arc, time::Duration},
    support::{
        client::CallerRequest,
        controller::FakeController,
        http_ports, settings, start, until,
        wire_server::{self, RequestLog, WireRequest, plain_response, write},
    },
    tokio::net::TcpStream,
};

async fn serve_call(request: WireRequest, mut stream: TcpStream) -> Option<TcpStream> {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let head = "content-type: text/x-echo\r\n";
    write(&mut stream, &plain_response("201 Created", head, &format!("echo {body}"))).await;
    Some(stream)
}

/// Accepts the call and closes the connection without an answer.
async fn lose_answer(_: WireRequest, stream: TcpStream) -> Option<TcpStream> {
    drop(stream);
    None
}

async fn refuse_call(_: WireRequest, mut stream: TcpStream) -> Option<TcpStream> {
    let head = "x-gf-outcome: not-run\r\n";
    write(&mut stream, &plain_response("503 Service Unavailable", head, "")).await;
    Some(stream)
}

fn call(service: &str, path: &str) -> CallerRequest {
    CallerRequest::new(Method::POST, &format!("/v1/services/{service}/{path}"))
        .header("content-type", "text/plain")
        .body("hello")
}

async fn gateway_with(
    service: &str,
    servers: &[std::net::SocketAddr],
) -> (Arc<FakeController>, RunningGateway) {
    let controller = FakeController::new();
    for (number, address) in servers.iter().enumerate() {
        controller.add_server(service, &format!("server-{number}"), *address);
    }
    let gateway = start(settings(), http_ports(), &controller).await;
    (controller, gateway)
}

fn count(log: &RequestLog) -> usize {
    log.lock().iter().filter(|request| !request.head.contains("/v1/engine/")).count()
}

#[tokio::test]
async fn call_is_forwarded_unchanged() {
    let (server, log) = wire_server::serve(serve_call).await;
    let (_, gateway) = gateway_with("notices", &[server]).await;
    let answer = call("notices", "a/b%20c?x=1&y=%2F")
        .header("idempotency-key", "k-1")
        .send(gateway.callers_address())
        .await;
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(answer.headers["content-type"], "text/x-echo");
    assert_eq!(answer.text(), "echo hello");
    let request = log.lock()[0].clone();
    assert!(request.head.starts_with("POST /a/b%20c?x=1&y=%2F HTTP/1.1"));
    assert_eq!(request.header("content-type"), Some("text/plain"));
    assert_eq!(request.header("idempotency-key"), Some("k-1"));
    assert_eq!(request.header("x-gf-workspace"), Some("alpha"));
    assert!(request.header("x-gf-attempt").is_some());
    assert!(request.header("x-gf-deadline-ms").is_some());
    assert_eq!(request.header("authorization"), None);
}

#[tokio::test]
async fn every_method_is_forwarded() {
    let (server, log) = wire_server::serve(serve_call).await;
    let (_, gateway) = gateway_with("quotes", &[server]).await;
    for method in [Method::GET, Method::PUT, Method::PATCH, Method::DELETE] {
        let path = "/v1/services/quotes/item";
        let answer = CallerRequest::new(method.clone(), path).send(gateway.callers_address()).await;
        assert_eq!(answer.status, StatusCode::CREATED, "{method}");
    }
    let methods: Vec<String> =
        log.lock().iter().map(|one| one.head.split(' ').next().unwrap().to_owned()).collect();
    assert_eq!(methods, ["GET", "PUT", "PATCH", "DELETE"]);
}

#[tokio::test]
async fn keyed_call_runs_once_and_its_answer_is_stored() {
    let (server, log) = wire_server::serve(serve_call).await;
    let (_, gateway) = gateway_with("notices", &[server]).await;
    for _ in 0..3 {
        let answer = call("notices", "send")
            .header("idempotency-key", "k-1")
            .send(gateway.callers_address())
            .await;
        if answer.status == StatusCode::CONFLICT {
            continue;
        }
        assert_eq!((answer.status, answer.text()), (StatusCode::CREATED, "echo hello"));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(count(&log), 1);
    let other = call("notices", "other").header("idempotency-key", "k-1");
    let answer = other.send(gateway.callers_address()).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
}

#[tokio::test]
async fn lost_answer_of_a_non_idempotent_call_is_unknown() {
    let (lossy, lossy_log) = wire_server::serve(lose_answer).await;
    let (good, good_log) = wire_server::serve(serve_call).await;
    for key in [None, Some("k-1")] {
        let before = count(&lossy_log) + count(&good_log);
        let (_, gateway) = gateway_with("notices", &[lossy]).await;
        let mut request = call("notices", "send");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.send(gateway.callers_address()).await;
        assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, Some("unknown")));
        assert_eq!(count(&lossy_log) + count(&good_log) - before, 1);
    }
    let _ = good;
}

#[tokio::test]
async fn lost_answer_of_an_idempotent_call_is_retried() {
    let (lossy, _) = wire_server::serve(lose_answer).await;
    let (good, good_log) = wire_server::serve(serve_call).await;
    let (_, gateway) = gateway_with("quotes", &[lossy, good]).await;
    for _ in 0..6 {
        let answer = call("quotes", "get").send(gateway.callers_address()).await;
        assert_eq!(answer.status, StatusCode::CREATED);
    }
    assert_eq!(count(&good_log), 6);
}

#[tokio::test]
async fn refused_call_is_retried_at_another_server() {
    let (refusing, _) = wire_server::serve(refuse_call).await;
    let (good, good_log) = wire_server::serve(serve_call).await;
    let (_, gateway) = gateway_with("notices", &[refusing, good]).await;
    for number in 0..6 {
        let request = call("notices", "send").header("idempotency-key", &format!("k-{number}"));
        let answer = request.send(gateway.callers_address()).await;
        assert_eq!(answer.status, StatusCode::CREATED);
    }
    assert_eq!(count(&good_log), 6);
}

#[tokio::test]
async fn leaving_server_gets_no_new_calls() {
    let (leaving, leaving_log) = wire_server::serve(serve_call).await;
    let (staying, _) = wire_server::serve(serve_call).await;
    let (controller, gateway) = gateway_with("quotes", &[leaving, staying]).await;
    controller.set_leaving("server-0");
    until(|| gateway.core.state.load().hosts.hosts[0].leaving).await;
    let before = count(&leaving_log);
    for _ in 0..20 {
        let answer = call("quotes", "get").send(gateway.callers_address()).await;
        assert_eq!(answer.status, StatusCode::CREATED);
    }
    assert_eq!(count(&leaving_log), before);
}

#[tokio::test]
async fn unknown_service_is_refused() {
    let (_, gateway) = gateway_with("quotes", &[]).await;
    let answer = call("nothing", "x").send(gateway.callers_address()).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::NOT_FOUND, Some("not-run")));
    let answer = call("quotes", "x").send(gateway.callers_address()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome(), Some("not-run"));
}
