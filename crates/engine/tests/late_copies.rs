//! Late second copies of answers on connections that are used again.

use {
    base::{AttemptId, BootClock, WorkspaceId},
    bytes::Bytes,
    engine::{DispatchError, DispatchPermit, HttpBackend, ServiceBackend, ServiceDispatch},
    http::Method,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    yare::parameterized,
};

const LIMIT: Duration = Duration::from_secs(5);

struct Permitted;

impl DispatchPermit for Permitted {
    fn is_valid(&self) -> bool {
        true
    }
}

/// Answers each request with its path, after a second copy of the answer before on the same
/// connection. The first call of all is refused if `refuses_first`; with `echoes` the answers name
/// the attempt that they belong to.
async fn serve_copies(mut stream: TcpStream, echoes: bool, refuses_first: bool) {
    let mut before = String::new();
    let mut buffer = [0; 4_096];
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        let attempt = head.lines().find_map(|line| line.strip_prefix("x-gf-attempt: ")).unwrap();
        let echo = if echoes { format!("x-gf-attempt: {attempt}\r\n") } else { String::new() };
        let refused = refuses_first && path.ends_with("/0");
        let status = if refused { "429 Full\r\nx-gf-outcome: not-run" } else { "200 OK" };
        let length = path.len();
        let answer = format!("HTTP/1.1 {status}\r\n{echo}content-length: {length}\r\n\r\n{path}");
        let _ = stream.write_all(format!("{before}{answer}").as_bytes()).await;
        before = answer;
    }
}

async fn start_server(echoes: bool, refuses_first: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_copies(stream, echoes, refuses_first));
        }
    });
    address
}

fn dispatch(address: SocketAddr, number: usize) -> ServiceDispatch {
    ServiceDispatch {
        address,
        method: Method::GET,
        path: format!("/call/{number}"),
        content_type: None,
        accept: None,
        key: None,
        attempt: AttemptId::new(format!("a{number}")).unwrap(),
        workspace: WorkspaceId::new("w").unwrap(),
        time_left: LIMIT,
        body: Bytes::new(),
        new_connection: false,
        permit: Arc::new(Permitted),
    }
}

/// No caller gets the answer to another one's call, and none is told that its call was refused
/// because an earlier one was.
#[parameterized(
    echoed = { true, false },
    not_echoed = { false, false },
    echoed_after_a_refusal = { true, true },
    not_echoed_after_a_refusal = { false, true },
)]
#[test_macro(tokio::test)]
async fn a_late_copy_is_not_taken_by_the_next_call(echoes: bool, refuses_first: bool) {
    let address = start_server(echoes, refuses_first).await;
    let backend = HttpBackend::new(Arc::new(BootClock), LIMIT);
    let mut served = 0;
    for number in 0..6 {
        match backend.call(dispatch(address, number)).await {
            Ok(answer) => {
                assert_eq!(answer.body, format!("/call/{number}").as_bytes());
                served += 1;
            }
            Err(DispatchError::NotRun { .. }) => {
                assert!(refuses_first && number == 0, "call {number} ran, or will");
            }
            // It is known that the answer is another call's.
            Err(DispatchError::Unknown { .. }) => {}
        }
    }
    assert!(served >= 2, "{served} of 6 calls served");
}

/// When the copy of a refusal arrives.
#[derive(Clone, Copy, Debug)]
struct CopyTiming {
    /// Bytes of it that arrive at once, in the share of all; the rest follows after the pause.
    first_share: f64,
    pause: Duration,
}

/// Refuses the first request of each connection, and repeats the refusal once more on it. Answers all
/// others with their path.
async fn repeat_refusal(mut stream: TcpStream, timing: CopyTiming, runs: Arc<AtomicUsize>) {
    let mut buffer = [0; 4_096];
    let mut is_first = true;
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        let attempt = head.lines().find_map(|line| line.strip_prefix("x-gf-attempt: ")).unwrap();
        let echo = format!("x-gf-attempt: {attempt}\r\n");
        if !is_first {
            runs.fetch_add(1, Ordering::SeqCst);
            let length = path.len();
            let answer = format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{path}");
            let _ = stream.write_all(answer.as_bytes()).await;
            continue;
        }
        is_first = false;
        let refusal = format!(
            "HTTP/1.1 429 Full\r\n{echo}x-gf-outcome: not-run\r\ncontent-length: 0\r\n\r\n"
        );
        let split = (refusal.len() as f64 * timing.first_share) as usize;
        let (first, rest) = refusal.split_at(split);
        let _ = stream.write_all(format!("{refusal}{first}").as_bytes()).await;
        sleep(timing.pause).await;
        let _ = stream.write_all(rest.as_bytes()).await;
    }
}

/// The copy of a refusal is taken for the answer to no later call, whenever it arrives.
#[parameterized(
    at_once = { 1.0, 0 },
    halves = { 0.5, 1 },
    halves_late = { 0.5, 100 },
    late = { 0.0, 1 },
    later = { 0.0, 20 },
    much_later = { 0.0, 500 },
)]
#[test_macro(tokio::test)]
async fn a_late_copy_of_a_refusal_refuses_no_later_call(first_share: f64, pause_ms: u64) {
    let timing = CopyTiming { first_share, pause: Duration::from_millis(pause_ms) };
    for wait_ms in [0, 5, 50] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicUsize::new(0));
        let server_runs = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(repeat_refusal(stream, timing, server_runs.clone()));
            }
        });
        let backend = HttpBackend::new(Arc::new(BootClock), LIMIT);
        let first = backend.call(dispatch(address, 0)).await;
        assert!(matches!(first, Err(DispatchError::NotRun { .. })), "{first:?}");
        sleep(Duration::from_millis(wait_ms)).await;
        let outcome = backend.call(dispatch(address, 1)).await;
        match &outcome {
            Ok(answer) => assert_eq!(answer.body, "/call/1".as_bytes()),
            Err(DispatchError::Unknown { .. }) => {}
            // On a new connection it is refused by itself, and on a closed one it was not sent.
            Err(error) => {
                sleep(Duration::from_millis(20)).await;
                assert_eq!(runs.load(Ordering::SeqCst), 0, "{error:?}, but it ran");
            }
        }
    }
}
