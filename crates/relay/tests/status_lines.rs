//! Servers whose answers have a status that ends no exchange.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    support::{Behavior, LostLinks, ScriptedServer, TestRelay},
    yare::parameterized,
};

const KEY: &str = "x-key: k\r\n";
const ONCE: RequestKind = RequestKind::Stream { resumable: false };
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const SOUND: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
const SOUND_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n\
                            e\r\nid: 2\ndata: b\n\r\n1\r\n\n\r\n0\r\n\r\n";
const BEGUN: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n\
                     e\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n";
const ODD: [&str; 8] = [
    "HTTP/1.1 000 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 099 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 101 Odd\r\nx-id: r1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nodd",
    "HTTP/1.1 101 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 600 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 999 Odd\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 1000 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
    "HTTP/1.1 103 Odd\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nodd",
];

/// Requests that reached this server.
async fn count_and_ask(kind: RequestKind, odd: &'static str) -> (usize, String) {
    let server = ScriptedServer::start(Behavior::SendAndClose(odd)).await;
    let other = ScriptedServer::start(Behavior::SendAndClose(odd)).await;
    let relay = TestRelay::start(kind, &[&server, &other]).await;
    let answer = relay.ask(KEY).await;
    (server.count() + other.count(), answer)
}

/// Callers got answers with the status 101, 600 or 999 as those of the server. They promise nothing, and a
/// request that may run once must not go to a second server.
#[parameterized(
    unsafe_request = { RequestKind::Unsafe, 1 },
    stream = { ONCE, 1 },
    safe_request = { RequestKind::Safe, 2 },
    resumable_stream = { RESUMABLE, 2 },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_a_final_status_is_no_answer(kind: RequestKind, sends: usize) {
    for odd in ODD {
        let (sent, answer) = count_and_ask(kind, odd).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{odd:?}: {answer}");
        assert!(!answer.contains("odd"), "{odd:?}: {answer}");
        assert_eq!(sent, sends, "{odd:?}");
    }
}

/// What may be repeated is answered by the next server.
#[parameterized(
    safe_request = { RequestKind::Safe, SOUND, "ok" },
    resumable_stream = { RESUMABLE, SOUND_STREAM, "data: b" },
)]
#[test_macro(tokio::test)]
async fn the_next_server_answers_instead(kind: RequestKind, sound: &'static str, part: &str) {
    for odd in ODD {
        let server = ScriptedServer::start(Behavior::SendAndClose(odd)).await;
        let other = ScriptedServer::start(Behavior::SendAndClose(sound)).await;
        let relay = TestRelay::start(kind, &[&server, &other]).await;
        for _ in 0..4 {
            let answer = relay.ask(KEY).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{odd:?}: {answer}");
            assert!(answer.contains(part) && !answer.contains("odd"), "{odd:?}: {answer}");
        }
    }
}

/// A stream that has begun is cut, not ended, where the next server answers so.
#[tokio::test]
async fn a_stream_is_not_resumed_with_such_an_answer() {
    for odd in ODD {
        let broken = ScriptedServer::start(Behavior::SendAndClose(BEGUN)).await;
        let next = ScriptedServer::start(Behavior::SendAndClose(odd)).await;
        let relay = TestRelay::start(RESUMABLE, &[&broken, &next]).await;
        let mut begun = 0;
        for _ in 0..20 {
            let answer = relay.ask(KEY).await;
            assert!(!answer.contains("odd"), "{odd:?}: {answer}");
            assert!(!answer.ends_with("0\r\n\r\n"), "it looks complete: {answer}");
            begun += usize::from(answer.contains("data: a"));
        }
        assert!(begun > 0, "{odd:?}");
    }
}

/// The same for a connection that a peer passes on.
#[tokio::test]
async fn a_peer_passes_no_such_answer_on() {
    for odd in ODD {
        let server = ScriptedServer::start(Behavior::SendAndClose(odd)).await;
        let sound = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
        let cut =
            TestRelay::start_with_links(RequestKind::Unsafe, &[&server], LostLinks::Refused).await;
        cut.join_peers(&[&sound]).await;
        let answer = cut.ask(KEY).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{odd:?}: {answer}");
        assert_eq!(server.count(), 1, "{odd:?}");
    }
}
