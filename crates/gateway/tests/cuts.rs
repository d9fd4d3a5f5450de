//! Engine connections that are cut at each chunk boundary, in the middle of each chunk and after each
//! byte of a head, and errors after a cut.

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
    yare::parameterized,
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

/// A stream had begun and broke off, and the next answer was an error: its text must not reach the
/// caller's stream, and the stream must not look complete.
#[parameterized(
    with_length = { "500 Failed", "content-length: 9\r\n\r\nthe error" },
    without_length = { "500 Failed", "connection: close\r\n\r\nthe error" },
    chunked = { "500 Failed", "transfer-encoding: chunked\r\n\r\n9\r\nthe error\r\n0\r\n\r\n" },
    as_an_event = { "500 Failed", "content-length: 17\r\n\r\ndata: the error\n\n" },
    not_run = { "503 Full", "x-gf-outcome: not-run\r\ncontent-length: 9\r\n\r\nthe error" },
    success_without_events = { "200 OK", "content-length: 9\r\n\r\nthe error" },
)]
#[test_macro(tokio::test)]
async fn an_error_after_a_cut_stays_out_of_the_stream(status: &'static str, rest: &'static str) {
    let streams = Arc::new(AtomicUsize::new(0));
    let (engine, _) = wire_server::serve(move |request: WireRequest, mut stream| {
        let streams = streams.clone();
        async move {
            if !request.head.starts_with("POST /v1/chat") {
                write(&mut stream, &plain_response("200 OK", "", "{}")).await;
                return Some(stream);
            }
            let attempt = request.attempt();
            if streams.fetch_add(1, Ordering::SeqCst) == 0 {
                write(&mut stream, &stream_chunks(&attempt, 0, TOKENS)[..2].concat()).await;
            } else {
                let error = format!("HTTP/1.1 {status}\r\nx-gf-attempt: {attempt}\r\n{rest}");
                write(&mut stream, error.as_bytes()).await;
            }
            None
        }
    })
    .await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    let answer = CallerRequest::chat(true).send(gateway.callers_address()).await;
    let text = answer.text();
    assert!(!text.contains("the error") && !text.contains("HTTP/1.1"), "{text}");
    assert!(!text.contains("[DONE]"), "it looks complete: {text}");
}

/// A head that stops half way is no answer, wherever it stops.
#[tokio::test]
async fn a_head_that_stops_half_way_is_no_answer() {
    let length = stream_chunks("attempt", 0, TOKENS)[0].len();
    for end in (0..length).step_by(7).chain([length - 1]) {
        let (engine, _) = wire_server::serve(move |request: WireRequest, mut stream| async move {
            if !request.head.starts_with("POST /v1/chat") {
                write(&mut stream, &plain_response("200 OK", "", "{}")).await;
                return Some(stream);
            }
            let head = &stream_chunks(&request.attempt(), 0, TOKENS)[0];
            write(&mut stream, &head[..end.min(head.len() - 1)]).await;
            None
        })
        .await;
        let controller = FakeController::new();
        controller.add_group("g1", engine);
        let gateway = start(settings(), http_ports(), &controller).await;
        let request = CallerRequest::chat(true).header("idempotency-key", "k-1");
        let answer = request.send(gateway.callers_address()).await;
        assert_ne!(answer.status, StatusCode::OK, "head of {end} bytes");
        assert_eq!(answer.outcome(), Some("unknown"), "head of {end} bytes");
    }
}
