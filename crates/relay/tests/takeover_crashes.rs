//! A server that crashes under a stream while another one is asked for it.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::HostId,
    poison::{CrashNotice, PoisonUpdate, SuspectId},
    relay::RequestKind,
    std::{net::SocketAddr, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const RESUMED: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const NOT_RUN: &str =
    "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";

/// Sends one event and ends the connection after a while, because it crashed or for another reason.
async fn breaking_server(after: Duration, crashes: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _listener = (!crashes).then_some(listener);
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(FIRST_EVENT.as_bytes()).await;
        sleep(after).await;
        drop(stream);
        sleep(after).await;
    });
    address
}

/// Requests that reach the third server after the first one has crashed under one with a part that was
/// at a crash before.
async fn arrivals_after_break(second: Option<Behavior>, crashes: bool) -> usize {
    // Places are looked for 0.70, 0.95 and 1.20 s after the first event. The third server is listed
    // between the last two, and the first one ends in between too.
    let crashing = breaking_server(Duration::from_millis(1_125), crashes).await;
    let relay =
        TestRelay::start_with(RequestKind::Stream { resumable: true }, 3, vec![crashing]).await;
    let part = SuspectId::from_wire("f1");
    let before = CrashNotice {
        server: HostId::new("elsewhere").unwrap(),
        prompt: SuspectId::from_wire("77"),
        suspects: vec![part],
        age: Duration::from_secs(3),
    };
    let update = PoisonUpdate { crashes: vec![before], ..PoisonUpdate::default() };
    relay.shared.poison.receive(&update);
    let third = ScriptedServer::start(Behavior::Send(RESUMED)).await;
    let second = match second {
        Some(behavior) => Some(ScriptedServer::start(behavior).await),
        None => None,
    };
    let replaced = async {
        sleep(Duration::from_millis(100)).await;
        let mut list = Vec::from_iter(second.as_ref().map(|server| server.address));
        relay.replace_servers(list.clone());
        sleep(Duration::from_millis(950)).await;
        // Keeps the first id, so that the second server counts as tried.
        list.push(third.address);
        relay.replace_servers(list);
    };
    let (answer, ()) = tokio::join!(relay.ask("x-key: k\r\nx-parts: f1,aa\r\n"), replaced);
    assert!(answer.contains("data: a"), "{answer}");
    third.count()
}

#[tokio::test]
async fn control_without_a_second_server() {
    assert_eq!(arrivals_after_break(None, true).await, 0);
}

#[tokio::test]
async fn control_without_a_crash() {
    assert_eq!(arrivals_after_break(None, false).await, 1);
}

/// While a second server was asked for a silent stream, the crash of the first one did not count: the
/// request went on to a third one.
#[tokio::test]
async fn a_crash_beside_a_search_counts_before_the_next_send() {
    let refuses = Behavior::Interrupted("", Duration::from_millis(600), NOT_RUN);
    assert_eq!(arrivals_after_break(Some(refuses), true).await, 0);
}
