//! Requests at a process that reaches no server while its peers do.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    support::{Behavior, LostLinks, ScriptedServer, TestRelay},
};

const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");

/// Requests of one caller, one after the other.
const REQUESTS: usize = 40;
/// Least number of them that must be served: the share that processes with sound links serve.
const LEAST_SERVED: usize = 38;

/// Callers of a process that reached no server were refused, or waited until their deadline, although
/// other processes reached the servers all the while.
async fn assert_callers_are_served(links: LostLinks) {
    let servers = [
        ScriptedServer::start(COMPLETE).await,
        ScriptedServer::start(COMPLETE).await,
        ScriptedServer::start(COMPLETE).await,
    ];
    let servers: Vec<&ScriptedServer> = servers.iter().collect();
    let sound = TestRelay::start(RequestKind::Unsafe, &servers).await;
    let cut = TestRelay::start_with_links(RequestKind::Unsafe, &servers, links).await;
    cut.join_peers(&[&sound]).await;
    let mut served = 0;
    for _ in 0..REQUESTS {
        served += usize::from(cut.ask("x-key: k\r\n").await.starts_with("HTTP/1.1 200"));
    }
    assert!(served >= LEAST_SERVED, "{served} of {REQUESTS} requests were served");
}

#[tokio::test]
async fn callers_are_served_while_connections_to_servers_are_refused() {
    assert_callers_are_served(LostLinks::Refused).await;
}

#[tokio::test]
async fn callers_are_served_while_connections_to_servers_hang() {
    assert_callers_are_served(LostLinks::Silent).await;
}
