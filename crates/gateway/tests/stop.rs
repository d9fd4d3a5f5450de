//! A planned stop lets open requests finish, up to its time limit.

mod support;

use {
    conf::settings::{FreshnessSettings, GatewaySettings, PlatformSettings},
    gateway::{daemon::StopResult, ports::GatewayPorts},
    http::{Method, StatusCode},
    http_body_util::{BodyExt, Full},
    infra::{ClaimRow, ClaimState},
    peer::message::LOAD_DRAINING,
    std::{sync::Arc, time::Duration},
    stop::StopPhase,
    support::{
        KEY,
        client::{CallerAnswer, CallerRequest},
        controller::{FakeController, gateway_entry},
        http_ports,
        platform_fake::MemoryTable,
        settings, start,
        stop_probe::connect,
        until,
        wire_server::{self, RequestLog, WireRequest, plain_response, stream_chunks, write},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::Notify,
        time::Instant,
    },
};

/// Settings with a short address lifetime, during which a stopping gateway accepts new requests.
fn stop_settings(stop_limit_ms: u64) -> GatewaySettings {
    GatewaySettings {
        address_keep_ms: 300,
        freshness: FreshnessSettings { window_ms: 600, ..FreshnessSettings::default() },
        stop_limit_ms,
        silence_ms: 30_000,
        ..settings()
    }
}

/// Starts an engine that sends the first two tokens, then waits for the returned `Notify`
/// before it sends the rest.
async fn pausing_engine() -> (std::net::SocketAddr, Arc<Notify>) {
    let resume = Arc::new(Notify::new());
    let resumed = resume.clone();
    let (address, _) = wire_server::serve(move |request: WireRequest, mut stream: TcpStream| {
        let resumed = resumed.clone();
        async move {
            if !request.head.starts_with("POST /v1/chat") {
                write(&mut stream, &plain_response("200 OK", "", "{}")).await;
                return Some(stream);
            }
            let chunks = stream_chunks(&request.attempt(), 0, 5);
            write(&mut stream, &chunks[..3].concat()).await;
            resumed.notified().await;
            write(&mut stream, &chunks[3..].concat()).await;
            Some(stream)
        }
    })
    .await;
    (address, resume)
}

fn assert_refused_by_stop(answer: &CallerAnswer) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(answer.headers["retry-after"], "0");
    assert_eq!(answer.headers["connection"], "close");
    assert!(answer.text().contains("urn:gypsumfork:problem:draining"), "{}", answer.text());
}

fn keyed_call(deadline_ms: &str) -> CallerRequest {
    CallerRequest::new(Method::POST, "/v1/services/notices/run")
        .header("idempotency-key", "k-1")
        .header("x-gf-deadline-ms", deadline_ms)
        .body("hello")
}

/// Starts a server that answers no call.
async fn silent_server() -> (std::net::SocketAddr, RequestLog) {
    wire_server::serve(|request: WireRequest, mut stream: TcpStream| async move {
        if request.head.starts_with("POST /run") {
            std::future::pending::<()>().await;
        }
        write(&mut stream, &plain_response("200 OK", "", "{}")).await;
        Some(stream)
    })
    .await
}

fn claim_state(table: &MemoryTable) -> ClaimState {
    let rows = table.rows();
    let [(_, value)] = rows.as_slice() else { panic!("{rows:?}") };
    serde_json::from_str::<ClaimRow>(value).unwrap().state
}

/// A request waited in the queue for a slot that it could not use in the time that a stop left.
#[tokio::test]
async fn queued_request_that_cannot_end_is_refused_when_the_stop_begins() {
    let (server, log) = silent_server().await;
    let controller = FakeController::new();
    controller.add_server("quotes", "server-1", server);
    let gateway = start(stop_settings(1_500), http_ports(), &controller).await;
    let callers = gateway.callers_address();
    let call = || CallerRequest::new(Method::POST, "/v1/services/quotes/run").body("hello");
    let slots = 8;
    let running: Vec<_> = (0..slots).map(|_| tokio::spawn(call().send(callers))).collect();
    until(|| log.lock().len() == slots).await;
    let core = gateway.core.clone();
    let queued = tokio::spawn(call().send(callers));
    until(|| core.work.len() == slots + 1).await;
    let stopping = tokio::spawn(gateway.stop());
    assert_refused_by_stop(&queued.await.unwrap());
    assert!(!core.is_ending());
    for answer in futures::future::join_all(running).await {
        assert_eq!(answer.unwrap().outcome(), Some("unknown"));
    }
    assert_eq!(stopping.await.unwrap(), StopResult::TimedOut);
    assert_eq!(log.lock().len(), slots);
}

/// A claim whose write was under way when a stop ended stayed open, although nothing was run.
#[tokio::test]
async fn claim_that_is_not_written_at_the_end_of_a_stop_is_settled() {
    let (server, log) = silent_server().await;
    let controller = FakeController::new();
    controller.add_server("notices", "server-1", server);
    let table = Arc::new(MemoryTable::default());
    let ports = GatewayPorts { table: table.clone(), ..http_ports() };
    let platform = PlatformSettings { timeout_ms: 10_000, ..PlatformSettings::default() };
    let settings = GatewaySettings { platform, ..stop_settings(1_500) };
    let gateway = start(settings, ports, &controller).await;
    table.set_delay(Duration::from_millis(2_500));
    let call = tokio::spawn(keyed_call("20000").send(gateway.callers_address()));
    until(|| gateway.core.claims.commits() == 1).await;
    table.set_delay(Duration::ZERO);
    let core = gateway.core.clone();
    assert_eq!(gateway.stop().await, StopResult::TimedOut);
    let answer = call.await.unwrap();
    assert_refused_by_stop(&answer);
    assert_eq!(claim_state(&table), ClaimState::NotRun);
    // The late write has no effect.
    until(|| table.commits() >= 2).await;
    assert_eq!(claim_state(&table), ClaimState::NotRun);
    assert_eq!(log.lock().len(), 0);
    assert_eq!(core.work.ended().refused, 1);
}

/// The outcome of a keyed request was not written while its caller left its answer unread.
#[tokio::test]
async fn claim_of_a_caller_that_does_not_read_is_settled_at_the_end_of_a_stop() {
    let (engine, _) =
        wire_server::serve(|request: WireRequest, mut stream: TcpStream| async move {
            let chunks = stream_chunks(&request.attempt(), 0, 2_000);
            let padding = " ".repeat(64 * 1024);
            write(&mut stream, &chunks[0]).await;
            for chunk in &chunks[1..] {
                let text = String::from_utf8_lossy(chunk);
                let payload = text.split("\r\n").nth(1).unwrap_or_default();
                let event = payload.replacen("data: ", &format!("data: {padding}"), 1);
                write(&mut stream, format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await;
            }
            Some(stream)
        })
        .await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let table = Arc::new(MemoryTable::default());
    let ports = GatewayPorts { table: table.clone(), ..http_ports() };
    let gateway = start(stop_settings(1_500), ports, &controller).await;
    let request = CallerRequest::chat(true).header("idempotency-key", "k-1");
    let response = request.open(gateway.callers_address()).await;
    let begun = Instant::now();
    assert_eq!(gateway.stop().await, StopResult::TimedOut);
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    assert_eq!(claim_state(&table), ClaimState::Unknown);
    drop(response);
}

/// A caller whose request had not come whole when a stop ended got no answer.
#[tokio::test]
async fn request_without_its_whole_body_is_refused_at_the_end_of_a_stop() {
    let controller = FakeController::new();
    let gateway = start(stop_settings(1_500), http_ports(), &controller).await;
    let mut stream = TcpStream::connect(gateway.callers_address()).await.unwrap();
    let head = format!(
        "POST /v1/services/quotes/run HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 10\r\n\r\nhell"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    until(|| gateway.core.work.len() == 1).await;
    gateway.stop().await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-gf-outcome: not-run"), "{answer}");
}

/// A request that was on its way when the port closed found its connection closed.
#[tokio::test]
async fn request_on_its_way_when_the_port_closes_is_answered() {
    let (server, _) = wire_server::serve(|_: WireRequest, mut stream: TcpStream| async move {
        write(&mut stream, &plain_response("200 OK", "", "done")).await;
        Some(stream)
    })
    .await;
    let controller = FakeController::new();
    controller.add_server("quotes", "server-1", server);
    let gateway = start(stop_settings(30_000), http_ports(), &controller).await;
    let mut connection = connect(gateway.callers_address()).await.unwrap();
    let core = gateway.core.clone();
    let stopping = tokio::spawn(gateway.stop());
    core.stop.reached(StopPhase::Draining).await;
    tokio::task::yield_now().await;
    let request = CallerRequest::new(Method::POST, "/v1/services/quotes/run")
        .header("x-gf-deadline-ms", "5000")
        .builder
        .body(Full::default())
        .unwrap();
    let response = connection.send_request(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["connection"], "close");
    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "done");
    assert_eq!(stopping.await.unwrap(), StopResult::Drained);
}

/// With the default settings, requests without a deadline were not sure to end within a stop.
#[test]
fn default_stop_covers_requests_without_a_deadline() {
    let settings = GatewaySettings::default();
    let times = gateway::daemon::stop_settings(&settings);
    let default_deadline = Duration::from_millis(settings.default_deadline_ms);
    assert!(times.port_closes_after + default_deadline <= times.answers_due_after, "{times:?}");
}

#[tokio::test]
async fn open_streams_finish_and_new_requests_are_served_until_addresses_expire() {
    let (engine, resume) = pausing_engine().await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    controller.set_gateways(vec![
        gateway_entry("entry-1", "fd-1", 1, 0),
        gateway_entry("entry-2", "fd-2", 2, 0),
    ]);
    let gateway = start(stop_settings(30_000), http_ports(), &controller).await;
    let (callers, admin) = (gateway.callers_address(), gateway.admin_address());
    let core = gateway.core.clone();
    let early = CallerRequest::chat(true).open(callers).await;
    let stopping = tokio::spawn(gateway.stop());
    until(|| controller.last_poll().is_some_and(|poll| poll.load == LOAD_DRAINING)).await;
    // A caller that has not yet refreshed its addresses must still be served.
    let late = CallerRequest::chat(true).header("x-gf-deadline-ms", "20000").open(callers).await;
    assert_eq!(late.status(), StatusCode::OK);
    // The default deadline is longer than what is left of the limit.
    let too_long = CallerRequest::chat(true).send(callers).await;
    assert_refused_by_stop(&too_long);
    assert_eq!(too_long.json()["addresses"], serde_json::json!(["127.0.0.1:2"]));
    let ready = CallerRequest::new(Method::GET, "/readyz").send(admin).await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    until(|| core.runs.is_closed()).await;
    assert!(!stopping.is_finished());
    resume.notify_waiters();
    for response in [early, late] {
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&body).ends_with("data: [DONE]\n\n"));
    }
    assert_eq!(stopping.await.unwrap(), StopResult::Drained);
    assert!(TcpStream::connect(callers).await.is_err());
}

#[tokio::test]
async fn stop_limit_ends_an_unfinished_stream() {
    let (engine, _resume) = pausing_engine().await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(stop_settings(1_500), http_ports(), &controller).await;
    let response = CallerRequest::chat(true).open(gateway.callers_address()).await;
    assert_eq!(gateway.stop().await, StopResult::TimedOut);
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains("event: error\n") && !text.contains("[DONE]"), "{text}");
}

#[tokio::test]
async fn idle_gateway_stops_when_its_addresses_expire() {
    let controller = FakeController::new();
    let gateway = start(stop_settings(30_000), http_ports(), &controller).await;
    let stopped = tokio::time::timeout(Duration::from_secs(10), gateway.stop()).await;
    assert_eq!(stopped, Ok(StopResult::Drained));
}
