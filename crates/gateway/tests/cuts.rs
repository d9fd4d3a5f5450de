//! Engine connections that are cut at each chunk boundary and in the middle of each chunk.

mod support;

use {
    http::StatusCode,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    support::{
        client::CallerRequest,
        controller::FakeController,
        http_ports, settings, start,
        wire_server::{self, WireRequest, plain_response, stream_chunks, write},
    },
};

const TOKENS: u64 = 4;

/// Where the first connection is cut: after `chunks` complete chunks, and half of the next one if
/// `partial_chunk` is set.
#[derive(Clone, Copy, Debug)]
struct Cut {
    chunks: usize,
    partial_chunk: bool,
}

fn every_cut() -> Vec<Cut> {
    let chunks = stream_chunks("attempt", 0, TOKENS).len();
    let cut = |chunks| [false, true].map(|partial_chunk| Cut { chunks, partial_chunk });
    (0..chunks).flat_map(cut).collect()
}

/// Starts an engine that cuts its first stream and completes all others.
async fn cutting_engine(cut: Cut) -> (std::net::SocketAddr, wire_server::RequestLog) {
    let streams = Arc::new(AtomicUsize::new(0));
    wire_server::serve(move |request: WireRequest, mut stream| {
        let streams = streams.clone();
        async move {
            if !request.head.starts_with("POST /v1/chat") {
                write(&mut stream, &plain_response("200 OK", "", "{}")).await;
                return Some(stream);
            }
            let from = request.header("x-gf-offset").map_or(0, |text| text.parse().unwrap());
            let chunks = stream_chunks(&request.attempt(), from, TOKENS);
            if streams.fetch_add(1, Ordering::SeqCst) > 0 {
                write(&mut stream, &chunks.concat()).await;
                return Some(stream);
            }
            write(&mut stream, &chunks[..cut.chunks].concat()).await;
            if cut.partial_chunk {
                let next = &chunks[cut.chunks];
                write(&mut stream, &next[..next.len() / 2]).await;
            }
            None
        }
    })
    .await
}

#[tokio::test]
async fn idempotent_stream_is_whole_after_any_cut() {
    for cut in every_cut() {
        let (engine, log) = cutting_engine(cut).await;
        let controller = FakeController::new();
        controller.add_group("g1", engine);
        let gateway = start(settings(), http_ports(), &controller).await;
        let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
        assert_eq!(answer.tokens(), ((0..TOKENS).collect(), true), "{cut:?}");
        let runs = log.lock().iter().filter(|request| request.head.contains("/chat/")).count();
        assert!(runs <= 2, "{cut:?} took {runs} runs");
    }
}

#[tokio::test]
async fn keyed_stream_runs_once_after_any_cut() {
    for cut in every_cut() {
        let (engine, log) = cutting_engine(cut).await;
        let controller = FakeController::new();
        controller.add_group("g1", engine);
        let gateway = start(settings(), http_ports(), &controller).await;
        let request = CallerRequest::chat(true).header("idempotency-key", "k-1");
        let answer = request.send(gateway.callers_address()).await;
        let runs = log.lock().iter().filter(|request| request.head.contains("/chat/")).count();
        assert_eq!(runs, 1, "{cut:?}");
        check_keyed_end(cut, &answer);
    }
}

/// Checks the end of a keyed stream: outcome unknown if it was cut before the first event, an error
/// event with outcome cut if it was cut later, or complete if only trailing chunks are missing.
fn check_keyed_end(cut: Cut, answer: &support::client::CallerAnswer) {
    if answer.status != StatusCode::OK {
        assert_eq!(answer.outcome(), Some("unknown"), "{cut:?}");
        return;
    }
    if answer.text().contains("event: error") {
        assert!(answer.text().contains(r#""outcome":"cut""#), "{cut:?}");
        assert!(!answer.text().contains("[DONE]"), "{cut:?}");
        return;
    }
    assert_eq!(answer.tokens(), ((0..TOKENS).collect(), true), "{cut:?}");
}
