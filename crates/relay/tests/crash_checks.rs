//! What counts as a crash of a server whose connection broke.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::{net::SocketAddr, time::Duration},
    support::{Behavior, LostLinks, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");

/// A server that answers one request in part and refuses connections from then on.
async fn vanishing_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).await;
        let _ =
            stream.write_all(b"HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\nha").await;
    });
    address
}

/// An address at which nobody listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    listener.local_addr().unwrap()
}

/// Sends requests to a vanishing server and others until an answer breaks. Returns whether a crash was
/// counted.
async fn counts_crash_beside(others: &[SocketAddr]) -> bool {
    let mut servers = vec![vanishing_server().await];
    servers.extend(others);
    let relay = TestRelay::start_with(RequestKind::Unsafe, 1, servers).await;
    while relay.ask("x-key: k\r\n").await.starts_with("HTTP/1.1 200") {}
    sleep(Duration::from_millis(100)).await;
    !relay.shared.poison.evidence_to_repeat().crashes.is_empty()
}

#[tokio::test]
async fn a_server_that_refuses_connections_after_a_broken_answer_has_crashed() {
    let sound = ScriptedServer::start(COMPLETE).await;
    assert!(counts_crash_beside(&[sound.address]).await);
}

/// Servers went on to be crashed by repeated requests, because a crash counted only if a peer confirmed it.
#[tokio::test]
async fn a_crash_counts_although_no_peer_can_confirm_it() {
    let sound = ScriptedServer::start(COMPLETE).await;
    let servers = vec![vanishing_server().await, sound.address];
    let relay = TestRelay::start_with(RequestKind::Unsafe, 1, servers).await;
    let cut = TestRelay::start_with_links(RequestKind::Unsafe, &[&sound], LostLinks::Silent).await;
    relay.join_peers(&[&cut]).await;
    while relay.ask("x-key: k\r\n").await.starts_with("HTTP/1.1 200") {}
    sleep(Duration::from_millis(600)).await;
    assert!(!relay.shared.poison.evidence_to_repeat().crashes.is_empty());
}

/// A process that was cut off from all servers took each whose answer broke for crashed, told everybody,
/// and sound requests were held back.
#[tokio::test]
async fn a_process_that_all_servers_refuse_finds_no_crash() {
    let closed = [closed_address().await, closed_address().await];
    assert!(!counts_crash_beside(&closed).await);
}

/// Nothing else can be asked then.
#[tokio::test]
async fn the_only_server_has_crashed_when_it_refuses_connections() {
    assert!(counts_crash_beside(&[]).await);
}

/// A few crashes at a time are usual: others are asked until one accepts.
#[tokio::test]
async fn one_server_that_accepts_is_enough_to_count_a_crash() {
    let sound = ScriptedServer::start(COMPLETE).await;
    let others = [closed_address().await, closed_address().await, sound.address];
    assert!(counts_crash_beside(&others).await);
}
