//! Requests whose server is silent for a moment, beside servers that may or may not take them over.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::RatePerSecond,
    limit::NamedLimit,
    relay::{RequestKind, RetryLimits, ServerLoad},
    socket2::Socket,
    std::{
        net::SocketAddr,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    support::{Behavior, ScriptedServer, TestRelay, unresponsive_address},
    tokio::{net::TcpListener, time::sleep},
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
/// Longer than the silence after which another server is asked for, shorter than that after which
/// callers abandon a stream.
const SILENCE: Duration = Duration::from_millis(1_200);
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const REST: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const WHOLE_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n\
     0\r\n\r\n";
const RESUMED: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: B\n\n\r\n0\r\n\r\n";
const PLAIN: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
const NOT_RUN: &str =
    "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: 4\r\n\r\noops";

/// What the only other server does with the request.
#[derive(Clone, Copy, Debug)]
enum OtherServer {
    Does(Behavior),
    RefusesConnections,
    HangsConnections,
    IsFull,
    IsAtLimit,
    IsBeyondBudget,
}

/// A request at one of two servers that behave alike, both of which then make way for the other one.
struct Scene {
    relay: TestRelay,
    twins: [ScriptedServer; 2],
    other: Option<ScriptedServer>,
    /// Sockets that fill the queue of an address.
    fillers: Vec<Socket>,
}

impl Scene {
    async fn start(kind: RequestKind, behavior: Behavior) -> Self {
        let twins = [ScriptedServer::start(behavior).await, ScriptedServer::start(behavior).await];
        let relay = TestRelay::start(kind, &[&twins[0], &twins[1]]).await;
        Self { relay, twins, other: None, fillers: Vec::new() }
    }

    /// Sends a request; once a twin has it, the other server is the only one in the list.
    async fn ask(&mut self, other: OtherServer) -> String {
        let address = self.address_of(other).await;
        let relay = &self.relay;
        let replaced = async {
            sleep(Duration::from_millis(100)).await;
            relay.replace_servers(vec![address]);
            let now = relay.shared.clock.now();
            match other {
                OtherServer::IsFull => {
                    let full = ServerLoad { running: 8, waiting: 4, slots: 8 };
                    for server in relay.shared.servers.load().all() {
                        server.counters.note_load(full, now);
                    }
                }
                OtherServer::IsAtLimit => {
                    let named = NamedLimit::Rate(RatePerSecond(0.1));
                    for server in relay.shared.servers.load().all() {
                        relay.shared.limits.note_answer(&server.id, named, now, "test");
                    }
                }
                OtherServer::IsBeyondBudget => {
                    let none =
                        RetryLimits { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
                    relay.shared.budget.set_limits(none);
                }
                _ => {}
            }
        };
        let (answer, ()) = tokio::join!(relay.ask(KEY), replaced);
        answer
    }

    async fn address_of(&mut self, other: OtherServer) -> SocketAddr {
        let behavior = match other {
            OtherServer::RefusesConnections => {
                let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
                return listener.local_addr().unwrap();
            }
            OtherServer::HangsConnections => {
                let (address, sockets) = unresponsive_address().await;
                self.fillers = sockets;
                return address;
            }
            OtherServer::Does(behavior) => behavior,
            _ => Behavior::Send(RESUMED),
        };
        let server = ScriptedServer::start(behavior).await;
        let address = server.address;
        self.other = Some(server);
        address
    }

    /// Requests that the twins got.
    fn twin_count(&self) -> usize {
        self.twins.iter().map(ScriptedServer::count).sum()
    }

    fn other_count(&self) -> usize {
        self.other.as_ref().map_or(0, ScriptedServer::count)
    }
}

/// Around a stop, callers lost streams whose sound server was silent for a second: the stream was
/// dropped on the promise of another server, and then none took it.
#[parameterized(
    refused_as_not_run = { OtherServer::Does(Behavior::Send(NOT_RUN)), false },
    fails = { OtherServer::Does(Behavior::Send(FAILED)), false },
    breaks = { OtherServer::Does(Behavior::SendAndReset("")), false },
    hangs = { OtherServer::Does(Behavior::Hang), false },
    refuses_connections = { OtherServer::RefusesConnections, false },
    hangs_connections = { OtherServer::HangsConnections, false },
    full = { OtherServer::IsFull, false },
    at_limit = { OtherServer::IsAtLimit, false },
    beyond_budget = { OtherServer::IsBeyondBudget, false },
    refused_as_not_run_at_a_stop = { OtherServer::Does(Behavior::Send(NOT_RUN)), true },
    full_at_a_stop = { OtherServer::IsFull, true },
)]
#[test_macro(tokio::test)]
async fn a_silent_stream_is_kept_until_another_server_has_it(other: OtherServer, stops: bool) {
    let silent = Behavior::Interrupted(FIRST_EVENT, SILENCE, REST);
    let mut scene = Scene::start(RESUMABLE, silent).await;
    let _leaving = stops.then(|| scene.relay.stop(Duration::from_secs(7)));
    let answer = scene.ask(other).await;
    assert!(answer.contains("data: a") && answer.contains("data: b"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "it was cut: {answer}");
    assert_eq!(scene.twin_count(), 1);
}

/// Callers were told that their requests had failed, with seconds left, because a server had not
/// begun its answer and no other one took them.
#[parameterized(
    stream_full = { RESUMABLE, WHOLE_STREAM, OtherServer::IsFull },
    stream_refused = { RESUMABLE, WHOLE_STREAM, OtherServer::Does(Behavior::Send(NOT_RUN)) },
    stream_fails = { RESUMABLE, WHOLE_STREAM, OtherServer::Does(Behavior::Send(FAILED)) },
    stream_no_connection = { RESUMABLE, WHOLE_STREAM, OtherServer::RefusesConnections },
    stream_beyond_budget = { RESUMABLE, WHOLE_STREAM, OtherServer::IsBeyondBudget },
    stream_at_limit = { RESUMABLE, WHOLE_STREAM, OtherServer::IsAtLimit },
    plain_full = { RequestKind::Safe, PLAIN, OtherServer::IsFull },
    plain_refused = { RequestKind::Safe, PLAIN, OtherServer::Does(Behavior::Send(NOT_RUN)) },
    plain_fails = { RequestKind::Safe, PLAIN, OtherServer::Does(Behavior::Send(FAILED)) },
    plain_no_connection = { RequestKind::Safe, PLAIN, OtherServer::RefusesConnections },
)]
#[test_macro(tokio::test)]
async fn an_unanswered_request_is_kept_until_another_server_has_it(
    kind: RequestKind,
    answer: &'static str,
    other: OtherServer,
) {
    // A plain request looks for another server after half of its time, which is 3 s.
    let wait = if kind.is_stream() { SILENCE } else { Duration::from_millis(1_900) };
    let mut scene = Scene::start(kind, Behavior::Interrupted("", wait, answer)).await;
    let received = scene.ask(other).await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    let end = if kind.is_stream() { "0\r\n\r\n" } else { "ok" };
    assert!(received.ends_with(end), "{received}");
    assert_eq!(scene.twin_count(), 1);
}

/// The answer that a server gave was replaced by a failure of ours when no other server took the
/// request.
#[parameterized(
    full = { OtherServer::IsFull },
    refused = { OtherServer::Does(Behavior::Send(NOT_RUN)) },
    beyond_budget = { OtherServer::IsBeyondBudget },
    no_connection = { OtherServer::RefusesConnections },
)]
#[test_macro(tokio::test)]
async fn a_failure_of_a_server_is_passed_on_where_no_other_takes_the_request(other: OtherServer) {
    let fails = Behavior::Interrupted("", Duration::from_millis(300), FAILED);
    let mut scene = Scene::start(RequestKind::Safe, fails).await;
    let answer = scene.ask(other).await;
    assert!(answer.starts_with("HTTP/1.1 500") && answer.ends_with("oops"), "{answer}");
}

/// Another server has the stream and answers first: it goes on after the last event.
#[tokio::test]
async fn a_silent_stream_moves_to_the_server_that_has_it() {
    let silent = Behavior::Interrupted(FIRST_EVENT, Duration::from_secs(3), REST);
    let mut scene = Scene::start(RESUMABLE, silent).await;
    let began = Instant::now();
    let answer = scene.ask(OtherServer::Does(Behavior::Send(RESUMED))).await;
    assert!(answer.contains("data: a") && answer.contains("data: B"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n") && !answer.contains("data: b"), "{answer}");
    assert!(began.elapsed() < Duration::from_millis(2_400), "{:?}", began.elapsed());
    let other = scene.other.unwrap();
    assert!(other.requests.lock()[0].contains("x-after: 1"), "{:?}", other.requests.lock());
}

/// The silent server goes on before another one has answered: its events count, and the work of the
/// other one ends.
#[tokio::test]
async fn a_stream_stays_where_its_server_goes_on_first() {
    let silent = Behavior::Interrupted(FIRST_EVENT, SILENCE, REST);
    let mut scene = Scene::start(RESUMABLE, silent).await;
    let slow = Behavior::Interrupted("", Duration::from_millis(1_500), RESUMED);
    let answer = scene.ask(OtherServer::Does(slow)).await;
    assert!(answer.contains("data: b") && !answer.contains("data: B"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(scene.other_count(), 1);
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(scene.other.unwrap().closed.load(Ordering::SeqCst), 1, "it works on for nobody");
}

/// A request that may run only once is never sent to a second server, however long it waits.
#[parameterized(
    plain = { RequestKind::Unsafe, PLAIN },
    stream = { RequestKind::Stream { resumable: false }, WHOLE_STREAM },
)]
#[test_macro(tokio::test)]
async fn a_request_that_may_run_once_waits_for_its_server(kind: RequestKind, answer: &'static str) {
    let late = Behavior::Interrupted("", Duration::from_millis(2_000), answer);
    let mut scene = Scene::start(kind, late).await;
    let received = scene.ask(OtherServer::Does(Behavior::Send(answer))).await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    assert_eq!((scene.twin_count(), scene.other_count()), (1, 0));
}
