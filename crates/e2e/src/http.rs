//! A small HTTP client for tests.

use {
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Longest wait for an answer that is no stream.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// A client; clones share their connections.
pub type TestClient = Client<HttpConnector, Full<Bytes>>;

/// A new client without connections.
pub fn new_client() -> TestClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a JSON request and reads a JSON answer; the error says what went wrong.
pub async fn call_json<Q: Serialize, A: DeserializeOwned>(
    client: &TestClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    question: Option<&Q>,
) -> Result<A, String> {
    let body = match question {
        Some(question) => serde_json::to_vec(question).map_err(|error| error.to_string())?,
        None => Vec::new(),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let (status, body) = call(client, request).await?;
    if !status.is_success() {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Reads a JSON value.
pub async fn get_json<A: DeserializeOwned>(
    client: &TestClient,
    address: SocketAddr,
    path: &str,
) -> Result<A, String> {
    call_json::<(), A>(client, Method::GET, address, path, None).await
}

/// Whether a path answers with success.
pub async fn is_ok(client: &TestClient, address: SocketAddr, path: &str) -> bool {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default());
    let request = request.expect("a valid request");
    matches!(call(client, request).await, Ok((status, _)) if status.is_success())
}

/// Sends a request and reads the whole answer.
pub async fn call(
    client: &TestClient,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let exchange = async {
        let response: Response<Incoming> =
            client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    };
    timeout(CALL_LIMIT, exchange).await.unwrap_or_else(|_| Err("no answer".to_owned()))
}
