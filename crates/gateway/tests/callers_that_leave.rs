//! What a gateway still works on after a caller has left.

mod support;

use {
    serde_json::json,
    std::time::Duration,
    support::{
        KEY,
        controller::FakeController,
        http_ports, settings, start, until,
        wire_server::{self, plain_response, write},
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
    yare::parameterized,
};

/// Time in which the work must end after its caller has left.
const LEFT_WITHIN: Duration = Duration::from_millis(500);
const SECOND_REQUEST: &str = "GET /v1/addresses HTTP/1.1\r\nhost: gateway\r\n\r\n";

/// Answers no prompt.
async fn hang(request: wire_server::WireRequest, mut stream: TcpStream) -> Option<TcpStream> {
    if !request.head.starts_with("GET") {
        std::future::pending::<()>().await;
    }
    write(&mut stream, &plain_response("200 OK", "", "{}")).await;
    Some(stream)
}

/// Bytes behind a request hid that its caller closed the connection, so that the engine worked on for
/// it.
#[parameterized(
    stream_plain = { true, "" },
    stream_stray_line = { true, "\r\n" },
    stream_second_request = { true, SECOND_REQUEST },
    whole_plain = { false, "" },
    whole_stray_line = { false, "\r\n" },
    whole_second_request = { false, SECOND_REQUEST },
)]
#[test_macro(tokio::test)]
async fn work_ends_when_the_caller_left_behind_further_bytes(stream: bool, behind: &str) {
    let (engine, _) = wire_server::serve(hang).await;
    let controller = FakeController::new();
    controller.add_group("g1", engine);
    let gateway = start(settings(), http_ports(), &controller).await;
    let message = json!({"role": "user", "content": "hello"});
    let body = json!({"model": "tiny", "messages": [message], "stream": stream}).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(gateway.callers_address()).await.unwrap();
    caller.write_all(format!("{head}{body}{behind}").as_bytes()).await.unwrap();
    until(|| gateway.core.work.len() == 1).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(gateway.core.work.len(), 1, "the caller is still there");
    drop(caller);
    let ended = timeout(LEFT_WITHIN, until(|| gateway.core.work.is_empty())).await;
    assert!(ended.is_ok(), "the gateway works on");
}
