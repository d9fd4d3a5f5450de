//! Answers to requests whose bodies were not read to their ends.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    relay::RequestKind,
    std::{net::SocketAddr, time::Duration},
    support::{Behavior, ScriptedServer, TestRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
    yare::parameterized,
};

const COMPLETE: Behavior =
    Behavior::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
const PIECE: &[u8] = &[b'x'; 16 * 1024];

/// Sends a request with a body piece by piece, without a look at the answer before the last one, and
/// reads the answer up to the end of the connection.
async fn send_all(address: SocketAddr, path: &str, pieces: usize) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let length = pieces * PIECE.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..pieces {
        stream.write_all(PIECE).await?;
        sleep(Duration::from_millis(1)).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// The kernel resets a connection that is closed with unread bytes, and the caller lost the refusal
/// that came before the end of its body.
#[parameterized(
    no_route = { "/nowhere", 20, "no-route" },
    too_large = { "/a/b", 280, "body-too-large" },
)]
#[test_macro(tokio::test)]
async fn a_refusal_before_the_end_of_the_body_arrives(path: &str, pieces: usize, why: &str) {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let answer = send_all(relay.address, path, pieces).await.expect("no reset");
    assert!(answer.ends_with(why), "{answer}");
    assert_eq!(server.count(), 0);
}

/// The same at the end of a stopping process, half through the body.
#[tokio::test]
async fn a_refusal_at_the_end_of_the_process_arrives_half_through_the_body() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let sent = send_all(relay.address, "/a/b", 200);
    let stopped = async {
        sleep(Duration::from_millis(100)).await;
        relay.stop(Duration::from_secs(5)).drain().end();
    };
    let (answer, ()) = tokio::join!(sent, stopped);
    let answer = answer.expect("no reset");
    assert!(answer.ends_with("stopping"), "{answer}");
    assert_eq!(server.count(), 0);
}

/// A client library that looks for the answer while it sends.
#[tokio::test]
async fn a_client_that_is_sending_its_body_gets_the_refusal() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    for _ in 0..20 {
        let stream = TcpStream::connect(relay.address).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let body = Full::new(Bytes::from(vec![b'x'; 600 * 1024]));
        let request = Request::post("/nowhere").header("host", "h").header("x-id", "r1");
        let answer = sender.send_request(request.header("x-key", "k").body(body).unwrap()).await;
        let answer = answer.expect("the answer arrives");
        let body = answer.into_body().collect().await.expect("the whole answer").to_bytes();
        assert_eq!(body, "no-route");
    }
}

/// A caller that goes on sending does not hold the connection for long.
#[tokio::test]
async fn a_caller_that_never_stops_sending_is_cut_off() {
    let server = ScriptedServer::start(COMPLETE).await;
    let relay = TestRelay::start(RequestKind::Unsafe, &[&server]).await;
    let began = Instant::now();
    let sent = timeout(Duration::from_secs(10), send_all(relay.address, "/nowhere", 100_000)).await;
    assert!(sent.expect("cut off").is_err());
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}
