//! Bodies arrive at servers as their callers sent them.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;

use {
    relay::RequestKind,
    support::TestRelay,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    yare::parameterized,
};

/// Reads one request with a body of a known length, answers it and returns head and body.
async fn take_request(listener: TcpListener, length: usize) -> (String, Vec<u8>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let body = if head.contains("transfer-encoding: chunked") {
        read_chunks(&mut stream).await
    } else {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.unwrap();
        body
    };
    let answer = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
    stream.write_all(answer.as_bytes()).await.unwrap();
    (head, body)
}

/// Reads a body in chunks up to its end.
async fn read_chunks(stream: &mut TcpStream) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.unwrap());
        }
        let size = usize::from_str_radix(std::str::from_utf8(&line).unwrap().trim(), 16).unwrap();
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.unwrap();
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

#[parameterized(
    empty = { 0, true },
    one_byte = { 1, true },
    one_piece = { 64 * 1024, true },
    just_over = { 64 * 1024 + 1, true },
    many_pieces = { 1_000_003, true },
    largest = { 4 * 1024 * 1024, true },
    chunked_small = { 100, false },
    chunked_large = { 1_000_003, false },
)]
#[test_macro(tokio::test)]
async fn a_body_arrives_unchanged(length: usize, announced: bool) {
    let body: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let servers = vec![listener.local_addr().unwrap()];
    let relay = TestRelay::start_with(RequestKind::Unsafe, 1, servers).await;
    let received = tokio::spawn(take_request(listener, length));
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let head = "POST /a/b HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k\r\n";
    let framing = if announced {
        format!("content-length: {length}\r\n\r\n")
    } else {
        "transfer-encoding: chunked\r\n\r\n".to_owned()
    };
    stream.write_all(format!("{head}{framing}").as_bytes()).await.unwrap();
    if announced {
        stream.write_all(&body).await.unwrap();
    } else {
        for piece in body.chunks(9_973) {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await.unwrap();
            stream.write_all(piece).await.unwrap();
            stream.write_all(b"\r\n").await.unwrap();
        }
        stream.write_all(b"0\r\n\r\n").await.unwrap();
    }
    let (head, arrived) = received.await.unwrap();
    assert!(arrived == body, "the body differs");
    // The codec of the tests passes the caller's `transfer-encoding` on; an empty body needs no length.
    if announced && length > 0 {
        assert!(head.contains(&format!("content-length: {length}\r\n")), "{head}");
    }
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}
