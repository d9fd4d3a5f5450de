//! Probes use only paths that a plain service cannot take for a call.

use {
    base::BootClock,
    engine::{HostProbe, HttpBackend, ProbedKind, wire},
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
    yare::parameterized,
};

const LIMIT: Duration = Duration::from_secs(10);

#[parameterized(
    engine = { ProbedKind::Engine, wire::STATE_PATH },
    service = { ProbedKind::Service, wire::SERVICE_LOAD_PATH },
)]
#[test_macro(tokio::test)]
async fn probe_requests_the_path_of_its_kind(kind: ProbedKind, path: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4_096];
        let count = stream.read(&mut head).await.unwrap();
        stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        String::from_utf8_lossy(&head[..count]).into_owned()
    });
    let backend = HttpBackend::new(Arc::new(BootClock), LIMIT);
    assert!(
        backend.probe(address, kind, LIMIT).await,
        "any response, also an error status, means that the host is alive"
    );
    let head = server.await.unwrap();
    assert!(head.starts_with(&format!("GET {path} HTTP/1.1\r\n")), "{head}");
}
