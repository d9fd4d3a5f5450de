//! Questions to other processes while a stream is silent.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::{HostId, RatePerSecond},
    limit::NamedLimit,
    relay::RequestKind,
    std::time::{Duration, Instant},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::time::sleep,
};

const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const REST: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Events that arrived while other processes were asked for a place were passed on after their replies
/// only.
#[tokio::test]
async fn events_are_passed_on_while_other_processes_are_asked() {
    let silent = Behavior::Interrupted(FIRST_EVENT, Duration::from_millis(770), REST);
    let server = ScriptedServer::start(silent).await;
    let other = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(RequestKind::Stream { resumable: true }, &[&server]).await;
    let replaced = async {
        sleep(Duration::from_millis(100)).await;
        relay.replace_servers(vec![other.address]);
        let now = relay.shared.clock.now();
        let host = |name: &str| HostId::new(name).unwrap();
        let live: Vec<HostId> = (0..40).map(|n| host(&format!("n{n}"))).collect();
        relay.shared.limits.set_processes(&host("n0"), live);
        let named = NamedLimit::Rate(RatePerSecond(4.0));
        for listed in relay.shared.servers.load().all() {
            relay.shared.limits.note_answer(&listed.id, named, now, "test");
        }
    };
    let began = Instant::now();
    let (answer, ()) = tokio::join!(relay.ask("x-key: k\r\n"), replaced);
    let took = began.elapsed();
    let asked =
        tokio::time::timeout(Duration::from_millis(10), relay.shared.limits.next_questions()).await;
    println!("{took:?}, questions: {:?}", asked.map(|all| all.len()));
    assert!(answer.contains("data: b"), "{answer}");
    assert!(took < Duration::from_millis(820), "{took:?}");
}
