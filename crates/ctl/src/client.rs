//! Calls to controllers' admin addresses.

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    infra::http::error_chain,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ClientError {
    /// No controller could be reached; nothing was sent.
    #[snafu(display("no controller could be reached:\n{detail}"))]
    Unreachable {
        /// A line for each controller.
        detail: String,
    },
    /// Something was sent, and no usable answer came.
    #[snafu(display("no controller gave an answer:\n{detail}"))]
    NoAnswer {
        /// A line for each controller.
        detail: String,
    },
    /// A controller answered that it will not do this.
    #[snafu(display("{address} answered {status}: {detail}"))]
    Refused {
        /// The controller.
        address: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
        /// What it said.
        detail: String,
    },
}

/// What one controller came to.
enum CallFailure {
    /// Nothing was sent.
    NotSent(String),
    /// The call may have had its effect.
    NoAnswer(String),
    /// The controller said no; others would say the same.
    Refused(StatusCode, String),
}

/// Error bodies, as controllers and their HTTP library write them.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(alias = "message")]
    detail: String,
}

/// Tries several controllers in turn, starting with the one that last answered.
#[derive(Debug)]
pub struct ControllerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    controllers: Vec<SocketAddr>,
    timeout: Duration,
}

impl ControllerClient {
    /// A client of these controllers; `timeout` is the longest wait for one answer.
    pub fn new(controllers: Vec<SocketAddr>, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, controllers, timeout }
    }

    /// Reads what stands behind a path.
    pub async fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a value that may safely be sent to several controllers.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).expect("a message of our own can be written");
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut details = Vec::new();
        let mut sent = false;
        for position in 0..self.controllers.len() {
            let address = self.controllers[position];
            match self.call_one(address, &method, path, body.clone()).await {
                Ok(answer) => {
                    self.controllers[..=position].rotate_right(1);
                    return Ok(answer);
                }
                Err(CallFailure::Refused(status, detail)) => {
                    return Err(ClientError::Refused { address, status, detail });
                }
                Err(CallFailure::NotSent(detail)) => details.push(format!("{address}: {detail}")),
                Err(CallFailure::NoAnswer(detail)) => {
                    sent = true;
                    details.push(format!("{address}: {detail}"));
                }
            }
        }
        let detail = details.join("\n");
        Err(match sent {
            true => ClientError::NoAnswer { detail },
            false => ClientError::Unreachable { detail },
        })
    }

    async fn call_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let exchange = self.exchange(address, method, path, body);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let waited = self.timeout.as_millis();
                Err(CallFailure::NoAnswer(format!("no answer within {waited} ms")))
            }
        }
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error_chain(&error);
            match error.is_connect() {
                true => CallFailure::NotSent(detail),
                false => CallFailure::NoAnswer(detail),
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| CallFailure::NoAnswer(error.to_string()))?.to_bytes();
        read_answer(status, &body)
    }
}

fn read_answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, CallFailure> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| CallFailure::NoAnswer(format!("unreadable answer: {error}")));
    }
    let detail = match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.detail,
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    };
    match status.is_client_error() {
        true => Err(CallFailure::Refused(status, detail)),
        false => Err(CallFailure::NoAnswer(format!("{status}: {detail}"))),
    }
}
