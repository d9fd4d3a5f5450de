//! A backend server that writes exactly the bytes that a test gives it.

use {
    parking_lot::Mutex,
    std::{future::Future, net::SocketAddr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// A received HTTP request; `head` is the request line with the headers.
#[derive(Clone, Debug)]
pub struct WireRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl WireRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn attempt(&self) -> String {
        self.header("x-gf-attempt").unwrap_or_default().to_owned()
    }
}

/// Requests in the order of their arrival.
pub type RequestLog = Arc<Mutex<Vec<WireRequest>>>;

/// Starts a server that handles each request with `serve`. The connection stays open for another
/// request if `serve` returns the stream.
pub async fn serve<F, R>(serve: F) -> (SocketAddr, RequestLog)
where
    F: Fn(WireRequest, TcpStream) -> R + Send + Sync + Clone + 'static,
    R: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let listener = TcpListener::bind(super::any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let server_log = log.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (serve, log) = (serve.clone(), server_log.clone());
            tokio::spawn(async move {
                let mut stream = stream;
                while let Some(request) = read_request(&mut stream).await {
                    log.lock().push(request.clone());
                    match serve(request, stream).await {
                        Some(reusable) => stream = reusable,
                        None => return,
                    }
                }
            });
        }
    });
    (address, log)
}

async fn read_request(stream: &mut TcpStream) -> Option<WireRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end_marker_start) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end_marker_start + 4;
        }
        let count = stream.read_buf(&mut bytes).await.ok()?;
        if count == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut request = WireRequest { head, body: bytes.split_off(head_end) };
    let length: usize = request.header("content-length").unwrap_or("0").parse().unwrap();
    while request.body.len() < length {
        if stream.read_buf(&mut request.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(request)
}

/// The response that streams the tokens `from..tokens` of `attempt`, in the pieces in which an
/// engine writes it.
pub fn stream_chunks(attempt: &str, from: u64, tokens: u64) -> Vec<Vec<u8>> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-gf-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut chunks = vec![head.into_bytes()];
    for index in from..tokens {
        let payload = super::models::token_payload(attempt, index, index + 1 == tokens);
        let event = format!("data: {}\n\n", String::from_utf8_lossy(&payload));
        chunks.push(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
    }
    chunks.push(b"e\r\ndata: [DONE]\n\n\r\n".to_vec());
    chunks.push(b"0\r\n\r\n".to_vec());
    chunks
}

/// Writes bytes, ignoring errors because the gateway may have closed the connection.
pub async fn write(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.write_all(bytes).await;
}

/// A response with a `content-length` and an unstreamed body.
pub fn plain_response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}
