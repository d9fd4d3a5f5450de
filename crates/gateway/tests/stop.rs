//! A planned stop lets open requests finish, up to its time limit.

mod support;

use {
    conf::settings::{FreshnessSettings, GatewaySettings},
    gateway::daemon::StopResult,
    http::{Method, StatusCode},
    http_body_util::BodyExt,
    peer::message::LOAD_DRAINING,
    std::{sync::Arc, time::Duration},
    support::{
        client::CallerRequest,
        controller::{FakeController, gateway_entry},
        http_ports, settings, start, until,
        wire_server::{self, WireRequest, plain_response, stream_chunks, write},
    },
    tokio::{net::TcpStream, sync::Notify},
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
    let late = CallerRequest::chat(true).open(callers).await;
    assert_eq!(late.status(), StatusCode::OK);
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
    drop(response);
}

#[tokio::test]
async fn idle_gateway_stops_when_its_addresses_expire() {
    let controller = FakeController::new();
    let gateway = start(stop_settings(30_000), http_ports(), &controller).await;
    let stopped = tokio::time::timeout(Duration::from_secs(10), gateway.stop()).await;
    assert_eq!(stopped, Ok(StopResult::Drained));
}
