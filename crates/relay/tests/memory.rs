//! The memory that faulty servers can make a process use.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    std::time::Duration,
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::Mutex, time::sleep},
    yare::parameterized,
};

/// Requests that run at once.
const CALLERS: usize = 600;
/// Bytes that each server sends; fewer than the limits of one answer.
const SENT_BYTES: usize = 200 * 1024;
/// A quarter of the memory of a host with 160 MB.
const MAX_BUFFERED_KB: usize = 40 * 1024;

static ALONE: Mutex<()> = Mutex::const_new(());

/// Resident memory of this process, in kB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Many servers at once sent bytes that were no answer. Each stayed below the limit of one answer, and
/// all together exceeded the memory of the host.
#[parameterized(
    event_without_end = { RequestKind::Stream { resumable: false }, "data: " },
    events_of_slow_callers = { RequestKind::Stream { resumable: false }, "data: a\n\n" },
    body_without_end = { RequestKind::Safe, "a" },
)]
#[test_macro(tokio::test)]
async fn bytes_of_many_servers_at_once_are_bounded_together(kind: RequestKind, begin: &str) {
    // The memory of the process is measured.
    let _alone = ALONE.lock().await;
    let head = "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n";
    let line = if begin.ends_with("\n\n") { "data: 0123456789\n\n" } else { "0123456789" };
    let bytes = format!("{begin}{}", line.repeat(SENT_BYTES / line.len()));
    let sent: &'static str = Box::leak(format!("{head}{}", chunk(&bytes)).into_boxed_str());
    let idle_kb = growth_kb(kind, Behavior::Hang).await;
    let growth_kb = growth_kb(kind, Behavior::Send(sent)).await;
    let buffered_kb = growth_kb.saturating_sub(idle_kb);
    assert!(buffered_kb < MAX_BUFFERED_KB, "{growth_kb} kB, of silent servers {idle_kb} kB");
}

/// How much memory the process takes more while requests run at a server.
async fn growth_kb(kind: RequestKind, behavior: Behavior) -> usize {
    let server = ScriptedServer::start(behavior).await;
    let relay = TestRelay::start_with(kind, 1, vec![server.address]).await;
    let request = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\r\n";
    let before_kb = resident_kb();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(relay.address).await.unwrap();
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    let mut growth_kb = 0;
    for _ in 0..10 {
        sleep(Duration::from_millis(100)).await;
        growth_kb = growth_kb.max(resident_kb().saturating_sub(before_kb));
    }
    assert!(server.count() >= CALLERS / 2, "{} requests reached the server", server.count());
    growth_kb
}
