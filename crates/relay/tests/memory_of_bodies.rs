//! The memory that callers' bodies can make a process use.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    base::ServiceName,
    relay::{CallerLimits, RelayConfig, RequestKind, RouteRule, ServiceSplit},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::TestRelay,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{Instant, sleep, timeout_at},
    },
};

/// The limit of a process without settings of its own, in kB.
const LIMIT_KB: usize = 160_000_000 / 1024;
/// The largest body that the configuration allows.
const BODY: &[u8] = &[b'x'; 4 * 1024 * 1024];
/// How long the server works on a body.
const WORK_TIME: Duration = Duration::from_millis(1500);
/// Requests without a body that are sent meanwhile, one each 50 ms.
const SMALL_REQUESTS: usize = 20;

/// Resident memory of this process, in kB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// A server that answers requests without a body at once, and others after [`WORK_TIME`]. Counts the
/// requests that it got with a whole head.
async fn start_server(runs: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, runs.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, runs: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    let mut bytes = vec![0; 16 * 1024];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => head.extend_from_slice(&bytes[..count]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    if text.starts_with("post") {
        runs.fetch_add(1, Ordering::SeqCst);
        let until = Instant::now() + WORK_TIME;
        while let Ok(Ok(count)) = timeout_at(until, stream.read(&mut bytes)).await {
            if count == 0 {
                return;
            }
        }
    }
    let answer = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Status of the answer to a request, or `None` if the connection ended without one.
async fn ask(address: SocketAddr, head: &str, body: &[u8], end: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()?;
    stream.write_all(end.as_bytes()).await.ok()?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.ok()?;
    std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
}

/// Many callers at once sent bodies of the allowed size. Nothing bounded them together, and the process
/// exceeded its memory and was killed with requests that ran. The phases follow one another in one
/// process, so that what the allocator keeps of one counts in the next.
#[tokio::test]
async fn bodies_of_many_callers_stay_below_the_limit() {
    let runs = Arc::<AtomicUsize>::default();
    let server = start_server(runs.clone()).await;
    let relay = TestRelay::start_with(RequestKind::Unsafe, 1, vec![server]).await;
    relay.shared.config.store(Some(Arc::new(patient_config())));
    for (callers, announced) in [(20, true), (200, true), (200, false), (2_000, true)] {
        let before = runs.load(Ordering::SeqCst);
        let small = tokio::spawn(ask_small(relay.address));
        let phase = run_phase(relay.address, callers, announced).await;
        let small = small.await.unwrap();
        let runs = runs.load(Ordering::SeqCst) - before;
        let seen = format!("{callers} callers: {phase:?}, {runs} runs, {small} small");
        println!("{seen}");
        assert!(phase.most_kb < LIMIT_KB, "{seen}");
        // A refusal promises that the request did not run.
        assert!(phase.refused + runs <= callers, "{seen}");
        assert!(phase.served >= 10, "{seen}");
        assert_eq!(small, SMALL_REQUESTS, "{seen}");
    }
}

/// What came of the requests of one phase.
#[derive(Debug, Default)]
struct PhaseResult {
    most_kb: usize,
    served: usize,
    refused: usize,
}

async fn run_phase(address: SocketAddr, callers: usize, announced: bool) -> PhaseResult {
    let mut asked = JoinSet::new();
    for _ in 0..callers {
        let head = post_head(announced);
        let end = if announced { "" } else { "\r\n0\r\n\r\n" };
        asked.spawn(async move { ask(address, &head, BODY, end).await });
    }
    let mut result = PhaseResult::default();
    while !asked.is_empty() {
        result.most_kb = result.most_kb.max(resident_kb());
        sleep(Duration::from_millis(5)).await;
        while let Some(status) = asked.try_join_next() {
            match status.unwrap() {
                Some(200) => result.served += 1,
                Some(503) => result.refused += 1,
                _ => {}
            }
        }
    }
    result
}

/// The configuration of the relay with a longer time limit: tests are built without optimization.
fn patient_config() -> RelayConfig {
    let service = ServiceName::new("s").unwrap();
    let rule = RouteRule {
        name: "r".into(),
        prefix: "/a/".into(),
        kind: RequestKind::Unsafe,
        timeout: Duration::from_secs(60),
        attempts: 1,
        public: true,
        splits: vec![ServiceSplit { service, weight: 1.0 }],
    };
    RelayConfig::new(2, vec![("h".into(), rule)], Vec::new(), CallerLimits::default())
}

fn post_head(announced: bool) -> String {
    let head = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n";
    if announced {
        format!("{head}content-length: {}\r\n\r\n", BODY.len())
    } else {
        format!("{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n", BODY.len())
    }
}

/// How many requests without a body are served.
async fn ask_small(address: SocketAddr) -> usize {
    let head = "GET /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n\r\n";
    let mut served = 0;
    for _ in 0..SMALL_REQUESTS {
        sleep(Duration::from_millis(50)).await;
        served += usize::from(ask(address, head, b"", "").await == Some(200));
    }
    served
}
