//! What the log and the metrics say about the expected work of requests. Apart from other tests, as lines are
//! captured by thread.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    support::{
        Behavior, ScriptedServer, TestRelay,
        log_text::{LogText, metrics_text},
    },
};

const KEY: &str = "x-key: k\r\n";
const STREAM: RequestKind = RequestKind::Stream { resumable: false };
/// A stream of two events that ends.
const TWO_EVENTS: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

#[tokio::test]
async fn expected_time_is_logged_and_its_error_counted() {
    let (log, _guard) = LogText::capture();
    let server = ScriptedServer::start(Behavior::Send(TWO_EVENTS)).await;
    let relay = TestRelay::start(STREAM, &[&server]).await;
    relay.set_engines();
    relay.ask(KEY).await;
    let line = log.only_line("sent");
    // Half a pass, the prompt of 915 tokens and a pass of five steps.
    let expected = line["expected_ms"].as_u64().unwrap();
    assert!((50..=90).contains(&expected), "{line}");
    let text = metrics_text(&relay);
    assert!(text.contains(r#"first_event_error_seconds_count{side="early"} 1"#), "{text}");
    assert!(text.contains(r#"request_work_seconds_count{route="r"} 1"#), "{text}");
}
