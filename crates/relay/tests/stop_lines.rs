//! What the log and the metrics say about requests around a planned stop.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::Duration,
    support::{
        Behavior, ScriptedServer, TestRelay,
        log_text::{LogText, metrics_text},
    },
    tokio::time::sleep,
};

const KEY: &str = "x-key: k\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 7\ndata: a\n\n\r\n";
const ENDLESS_STREAM: Behavior =
    Behavior::Endless(STREAM_HEAD, "4\r\n: x\n\r\n", Duration::from_millis(20));
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
/// What each line about a request that a stop refused or ended says besides its decision.
const FIELDS: [&str; 6] = ["id", "kind", "stage", "took_ms", "after_signal_ms", "stop_left_ms"];

/// The only line with a decision, which has all of [`FIELDS`].
fn only_line(log: &LogText, decision: &str) -> serde_json::Value {
    let line = log.only_line(decision);
    for field in FIELDS {
        assert!(line.get(field).is_some(), "{field} is missing in {line}");
    }
    line
}

#[tokio::test]
async fn a_request_refused_by_a_stop_has_a_line_with_the_time_left() {
    let (log, _guard) = LogText::capture();
    let server = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let _leaving = relay.stop(Duration::from_millis(400));
    sleep(Duration::from_millis(50)).await;
    relay.ask(KEY).await;
    let line = only_line(&log, "refused");
    assert_eq!(line["why"], "stopping");
    assert_eq!(line["kind"], "unsafe");
    assert!((50..400).contains(&line["after_signal_ms"].as_i64().unwrap()), "{line}");
    assert!((1..=350).contains(&line["stop_left_ms"].as_i64().unwrap()), "{line}");
    let counted = "requests_total{kind=\"any\",outcome=\"stopping\"} 1";
    assert!(metrics_text(&relay).contains(counted), "{}", metrics_text(&relay));
}

#[tokio::test]
async fn a_request_ended_by_a_stop_has_a_line_that_says_when_it_came() {
    let (log, _guard) = LogText::capture();
    let server = ScriptedServer::start(Behavior::Hang).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let stopped = async {
        sleep(Duration::from_millis(100)).await;
        let draining = relay.stop(Duration::from_secs(5)).drain();
        sleep(Duration::from_millis(50)).await;
        draining.end();
    };
    tokio::join!(relay.ask(KEY), stopped);
    let line = only_line(&log, "refused");
    assert_eq!(line["why"], "cut-short");
    assert_eq!(line["level"], "WARN");
    assert!(line["after_signal_ms"].as_i64().unwrap() <= -50, "before the signal: {line}");
    let counted = "requests_total{kind=\"any\",outcome=\"cut-short\"} 1";
    assert!(metrics_text(&relay).contains(counted), "{}", metrics_text(&relay));
}

#[tokio::test]
async fn a_stream_cut_by_a_stop_has_a_line_with_its_last_event() {
    let (log, _guard) = LogText::capture();
    let server = ScriptedServer::start(ENDLESS_STREAM).await;
    let relay = TestRelay::start(RESUMABLE, &[&server]).await;
    let stopped = async {
        sleep(Duration::from_millis(150)).await;
        relay.stop(Duration::from_secs(5)).drain().end();
    };
    tokio::join!(relay.ask(KEY), stopped);
    let line = only_line(&log, "cut-by-stop");
    assert_eq!(line["after"], 7);
    assert_eq!(line["stage"], "streaming");
    let ended = log.lines("ended");
    assert_eq!(ended[0]["outcome"], "cut: stopping");
    assert_eq!(ended[0]["id"], line["id"]);
    let counted = "requests_total{kind=\"stream\",outcome=\"cut: stopping\"} 1";
    assert!(metrics_text(&relay).contains(counted), "{}", metrics_text(&relay));
}

/// A stream that broke in the last part of the grace time had a line `not-resumed`, which did not
/// say that the stop was the reason.
#[tokio::test]
async fn a_stream_that_a_stop_does_not_let_resume_has_a_line() {
    let (log, _guard) = LogText::capture();
    let broken = Behavior::SendAndReset(STREAM_HEAD);
    let first = ScriptedServer::start(broken).await;
    let second = ScriptedServer::start(broken).await;
    let relay = TestRelay::start(RESUMABLE, &[&first, &second]).await;
    let stopped = async {
        sleep(Duration::from_millis(20)).await;
        relay.stop(Duration::from_millis(400))
    };
    let (_, _leaving) = tokio::join!(relay.ask(KEY), stopped);
    assert_eq!(only_line(&log, "cut-by-stop")["after"], 7);
    assert_eq!(log.lines("ended")[0]["outcome"], "cut: stopping");
}
