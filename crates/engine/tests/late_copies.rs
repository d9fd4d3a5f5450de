//! Late second copies of answers on connections that are used again.

use {
    base::{AttemptId, BootClock, WorkspaceId},
    bytes::Bytes,
    engine::{DispatchError, DispatchPermit, HttpBackend, ServiceBackend, ServiceDispatch},
    http::Method,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
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
