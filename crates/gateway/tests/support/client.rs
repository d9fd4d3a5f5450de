//! A caller that sends requests to a gateway and checks the answers.

use {
    super::KEY,
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// The response to a request, read to its end.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("x-gf-outcome").and_then(|value| value.to_str().ok())
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    /// The indices of the tokens in a streamed answer, and whether `[DONE]` ended it.
    pub fn tokens(&self) -> (Vec<u64>, bool) {
        let data = self.text().lines().filter_map(|line| line.strip_prefix("data: "));
        let mut indices = Vec::new();
        let mut done = false;
        for payload in data {
            assert!(!done, "an event after [DONE]");
            match payload {
                "[DONE]" => done = true,
                payload => {
                    let value: Value = serde_json::from_str(payload).unwrap();
                    indices.extend(value["gf_index"].as_u64());
                }
            }
        }
        (indices, done)
    }
}

/// A request to be sent by the workspace `alpha`.
pub struct CallerRequest {
    pub builder: http::request::Builder,
    pub body: Bytes,
}

impl CallerRequest {
    pub fn new(method: Method, path: &str) -> Self {
        let builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, "gateway")
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"));
        Self { builder, body: Bytes::new() }
    }

    pub fn chat(stream: bool) -> Self {
        let body = json!({
            "model": "tiny",
            "messages": [{"role": "user", "content": "hello"}],
            "stream": stream,
        });
        Self::new(Method::POST, "/v1/chat/completions").body(body.to_string())
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.builder = self.builder.header(name, value);
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request on a new connection and reads the answer to its end.
    pub async fn send(self, address: SocketAddr) -> CallerAnswer {
        let response = self.open(address).await;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        CallerAnswer { status: parts.status, headers: parts.headers, body }
    }

    /// Sends the request on a new connection and waits for the response headers.
    pub async fn open(self, address: SocketAddr) -> http::Response<Incoming> {
        let stream = TcpStream::connect(address).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let request = self.builder.body(Full::new(self.body)).unwrap();
        sender.send_request(request).await.unwrap()
    }
}
