//! Servers whose answers have a status that ends no exchange.

use {
    base::{AttemptId, BootClock, WorkspaceId},
    bytes::Bytes,
    engine::{DispatchError, DispatchPermit, HttpBackend, ServiceBackend, ServiceDispatch},
    http::Method,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
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

/// Callers of services got such an answer as that of the server; the call may have run.
#[parameterized(
    zero = { "HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n" },
    switches = { "HTTP/1.1 101 Odd\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n" },
    after_the_classes = { "HTTP/1.1 600 Odd\r\nx-gf-outcome: not-run\r\ncontent-length: 0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_a_final_status_leaves_the_outcome_unknown(answer: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.read(&mut head).await;
    });
    let backend = HttpBackend::new(Arc::new(BootClock), LIMIT);
    let called = backend
        .call(ServiceDispatch {
            address,
            method: Method::GET,
            path: "/call".to_owned(),
            content_type: None,
            accept: None,
            key: None,
            attempt: AttemptId::new("a").unwrap(),
            workspace: WorkspaceId::new("w").unwrap(),
            time_left: LIMIT,
            body: Bytes::new(),
            new_connection: false,
            permit: Arc::new(Permitted),
        })
        .await;
    assert!(matches!(called, Err(DispatchError::Unknown { .. })), "{:?}", called.is_ok());
}
