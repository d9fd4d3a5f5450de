//! Tests of requests that crash each server which answers them.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{
        TestRelay,
        crashing_servers::{CrashTrigger, CrashingServers},
    },
    tokio::{
        task::JoinSet,
        time::{Instant, interval},
    },
    yare::parameterized,
};

const SERVERS: usize = 8;
/// Servers of a plain service.
const PLAIN_SERVERS: usize = 3;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
/// Requests with the bad part that may arrive late, by all processes together.
const LATE_ARRIVALS: usize = 3;

/// Sends a request every `pause` for `span`, with prompts that all differ in their last part.
/// Returns how many of those sent after `counted_from` were answered by a whole stream, and their
/// number.
async fn send_steadily(
    relay: Arc<TestRelay>,
    parts: &'static str,
    pause: Duration,
    span: Duration,
    counted_from: Duration,
) -> (usize, usize) {
    let began = Instant::now();
    let mut ticks = interval(pause);
    let mut asked = JoinSet::new();
    let whole = Arc::new(AtomicUsize::new(0));
    let mut counted = 0;
    for number in 0.. {
        ticks.tick().await;
        let sent_at = began.elapsed();
        if sent_at >= span {
            break;
        }
        let counts = sent_at >= counted_from;
        counted += usize::from(counts);
        let (relay, whole) = (relay.clone(), whole.clone());
        asked.spawn(async move {
            let own = 0xa000_0000_u64 + u64::from(parts.len() as u32) * 0x10_0000 + number;
            let answer = relay.ask(&format!("x-key: k\r\nx-parts: {parts},{own:x}\r\n")).await;
            if counts && answer.ends_with("0\r\n\r\n") {
                whole.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    asked.join_all().await;
    (whole.load(Ordering::Relaxed), counted)
}

/// Requests with one part that crashes servers went on to reach servers, each of them two, for as
/// long as callers sent them.
#[tokio::test]
async fn requests_with_a_part_that_crashes_servers_stop_reaching_servers() {
    let servers = CrashingServers::start(SERVERS, CrashTrigger::Part("bad")).await;
    let relay = Arc::new(TestRelay::start_with(RESUMABLE, 2, Vec::new()).await);
    servers.attach(relay.shared.clone());
    let span = Duration::from_secs(6);
    let bad = send_steadily(relay.clone(), "f1,bad", Duration::from_millis(100), span, span);
    let sound = send_steadily(relay, "f1,50", Duration::from_millis(40), span, span);
    tokio::join!(bad, sound);
    let record = servers.record.lock();
    let late = record.late_arrivals(servers.trigger);
    assert!(late <= LATE_ARRIVALS, "{late} late arrivals, {} crashes", record.crashes.len());
    assert!(record.crashes.len() >= 3, "the part did crash servers");
}

/// Sound requests with the same first part were lost with the servers, or refused for want of one,
/// while requests with the bad part went on.
#[tokio::test]
async fn sound_requests_are_served_beside_a_part_that_crashes_servers() {
    let servers = CrashingServers::start(SERVERS, CrashTrigger::Part("bad")).await;
    let relay = Arc::new(TestRelay::start_with(RESUMABLE, 2, Vec::new()).await);
    servers.attach(relay.shared.clone());
    let span = Duration::from_secs(9);
    let from = Duration::from_secs(7);
    let bad = send_steadily(relay.clone(), "f1,bad", Duration::from_millis(100), span, span);
    let sound = send_steadily(relay, "f1,50", Duration::from_millis(40), span, from);
    let (_, (whole, sent)) = tokio::join!(bad, sound);
    assert!(sent >= 20 && 2 * whole >= sent, "{whole} of {sent} sound requests are served");
}

/// Sends the same request to the path every `pause` for `span`, and returns how many answers to those
/// sent after `counted_from` were whole, and their number.
async fn repeat_plainly(
    relay: Arc<TestRelay>,
    path: &'static str,
    pause: Duration,
    span: Duration,
    counted_from: Duration,
) -> (usize, usize) {
    let began = Instant::now();
    let mut ticks = interval(pause);
    let mut asked = JoinSet::new();
    let mut counted = 0;
    loop {
        ticks.tick().await;
        let sent_at = began.elapsed();
        if sent_at >= span {
            break;
        }
        let counts = sent_at >= counted_from;
        counted += usize::from(counts);
        let relay = relay.clone();
        asked.spawn(async move {
            let answer = relay.ask_path(path, "x-key: k\r\n").await;
            counts && answer.ends_with("\r\n\r\nok")
        });
    }
    let whole = asked.join_all().await;
    (whole.into_iter().filter(|is_whole| *is_whole).count(), counted)
}

/// A request of a plain service that crashes its servers went on to reach all of them as soon as they
/// were back, for as long as a caller repeated it.
#[parameterized(
    safe = { RequestKind::Safe },
    once = { RequestKind::Unsafe },
)]
#[test_macro(tokio::test)]
async fn a_repeated_request_that_crashes_servers_stops_reaching_servers(kind: RequestKind) {
    let servers = CrashingServers::start(PLAIN_SERVERS, CrashTrigger::Path("/a/bad")).await;
    let relay = Arc::new(TestRelay::start_with(kind, 2, Vec::new()).await);
    servers.attach(relay.shared.clone());
    let span = Duration::from_secs(10);
    let pause = Duration::from_millis(100);
    let bad = repeat_plainly(relay.clone(), "/a/bad", pause, span, span);
    let from = Duration::from_secs(8);
    let sound = repeat_plainly(relay, "/a/b", Duration::from_millis(40), span, from);
    let (_, (whole, sent)) = tokio::join!(bad, sound);
    let record = servers.record.lock();
    let (late, crashes) = (record.late_arrivals(servers.trigger), record.crashes.len());
    assert!(late <= LATE_ARRIVALS, "{late} late arrivals, {crashes} crashes");
    assert!(crashes > 0, "the request did crash servers");
    assert!(sent >= 20 && 10 * whole >= 9 * sent, "{whole} of {sent} sound requests are served");
}
