//! A caller that asks for addresses, sends completions and checks every answer.

use {
    crate::{
        cluster::MODEL,
        http::{TestClient, new_client},
    },
    bytes::Bytes,
    engine::prompt::{prefix_name, prompt_digest, prompt_text},
    http::{HeaderValue, Request, Response, StatusCode, header::AUTHORIZATION},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    serde::Deserialize,
    serde_json::{Value, json},
    standin::{answer::whole_text, service::ServiceAnswer},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Longest time for one completion; a caller that waits longer was held back.
const COMPLETION_LIMIT: Duration = Duration::from_secs(30);

/// Where callers may go.
#[derive(Clone, Debug, Deserialize)]
pub struct AddressAnswer {
    /// The gateways, in the order to try.
    pub addresses: Vec<AddressLine>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One gateway of an [`AddressAnswer`].
#[derive(Clone, Debug, Deserialize)]
pub struct AddressLine {
    /// Where it listens.
    pub address: SocketAddr,
}

/// A streamed chat completion with a prompt that no other request has.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The JSON body.
    pub body: Value,
    /// Tokens asked for.
    pub tokens: u64,
    /// Digest of the prompt, as the stand-ins' history has it.
    pub digest: u64,
    /// Marks the request as non-idempotent.
    pub key: Option<String>,
}

impl Completion {
    /// The digest as the history writes it.
    pub fn prompt_name(&self) -> String {
        format!("{:016x}", self.digest)
    }
}

/// How a completion ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to this very request.
    Whole,
    /// The system says that it was not run.
    NotRun(StatusCode),
    /// The system says that it does not know.
    Unknown,
    /// The system says that the stream broke.
    Cut,
    /// The connection could not be made.
    NoConnection,
    /// The connection broke without a word of the system.
    Broken(String),
    /// An end mark behind a wrong answer, or something else that must never come.
    Wrong(String),
}

impl CallEnd {
    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        *self == Self::Whole
    }
}

/// A caller of the gateways.
pub struct Caller {
    client: TestClient,
    gateways: Vec<SocketAddr>,
    key: HeaderValue,
    count: AtomicU64,
}

impl Caller {
    /// A caller that knows `gateways` and holds a bearer key.
    pub fn new(gateways: Vec<SocketAddr>, key: &str) -> Self {
        let key = HeaderValue::from_str(&format!("Bearer {key}")).expect("a plain key");
        Self { client: new_client(), gateways, key, count: AtomicU64::new(0) }
    }

    /// Asks the first gateway that answers which addresses to use.
    pub async fn addresses(&self) -> Option<AddressAnswer> {
        for gateway in &self.gateways {
            let request = Request::get(format!("http://{gateway}/v1/addresses"))
                .header(AUTHORIZATION, self.key.clone())
                .body(Full::default())
                .expect("a valid request");
            if let Ok((StatusCode::OK, body)) = crate::http::call(&self.client, request).await
                && let Ok(answer) = serde_json::from_slice::<AddressAnswer>(&body)
            {
                return Some(answer);
            }
        }
        None
    }

    /// A completion whose prompt has `name` and a number in it.
    pub fn new_completion(&self, name: &str, tokens: u64) -> Completion {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let content = format!("{name} {number} {}", uuid::Uuid::new_v4());
        let body = json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": true,
        });
        let digest = prompt_digest(&prompt_text(&body));
        Completion { body, tokens, digest, key: None }
    }

    /// Sends a completion to a gateway and reads what comes of it.
    pub async fn complete(&self, gateway: SocketAddr, completion: &Completion) -> CallEnd {
        let exchange = async {
            match self.client.request(self.request(gateway, completion)).await {
                Ok(response) => read_end(response, completion).await,
                Err(error) if error.is_connect() => CallEnd::NoConnection,
                Err(error) => CallEnd::Broken(format!("{error:?}")),
            }
        };
        tokio::time::timeout(COMPLETION_LIMIT, exchange)
            .await
            .unwrap_or_else(|_| CallEnd::Wrong("held back".to_owned()))
    }

    /// Sends a completion and gives the head of the answer.
    pub async fn open(
        &self,
        gateway: SocketAddr,
        completion: &Completion,
    ) -> Result<Response<Incoming>, String> {
        let request = self.request(gateway, completion);
        self.client.request(request).await.map_err(|error| error.to_string())
    }

    /// Calls the plain service with an idempotency key and judges the answer.
    pub async fn submit(&self, gateway: SocketAddr, key: &str, body: &str) -> CallEnd {
        let uri = format!("http://{gateway}/v1/services/{}/submit", crate::shape::SERVICE);
        let request = Request::post(uri)
            .header(AUTHORIZATION, self.key.clone())
            .header("idempotency-key", key)
            .header("content-type", "text/plain")
            .header("x-gf-deadline-ms", "10000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a valid request");
        let exchange = async {
            match self.client.request(request).await {
                Ok(response) => read_service_end(response, body).await,
                Err(error) if error.is_connect() => CallEnd::NoConnection,
                Err(error) => CallEnd::Broken(format!("{error:?}")),
            }
        };
        tokio::time::timeout(COMPLETION_LIMIT, exchange)
            .await
            .unwrap_or_else(|_| CallEnd::Wrong("held back".to_owned()))
    }

    fn request(&self, gateway: SocketAddr, completion: &Completion) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://{gateway}/v1/chat/completions"))
            .header(AUTHORIZATION, self.key.clone())
            .header("content-type", "application/json")
            .header("x-gf-deadline-ms", "10000");
        if let Some(key) = &completion.key {
            request = request.header("idempotency-key", key);
        }
        let body = Bytes::from(completion.body.to_string());
        request.body(Full::new(body)).expect("a valid request")
    }
}

/// Reads a plain service's answer, which has the digest of the call's body, and judges it.
async fn read_service_end(response: Response<Incoming>, body: &str) -> CallEnd {
    let status = response.status();
    let text = match response.into_body().collect().await {
        Ok(text) => text.to_bytes(),
        Err(error) => return CallEnd::Broken(error.to_string()),
    };
    if status != StatusCode::OK {
        return judge_refusal(status, &text);
    }
    let answer: Option<ServiceAnswer> = serde_json::from_slice(&text).ok();
    match answer {
        Some(answer) if answer.digest == prefix_name(prompt_digest(body)).as_str() => {
            CallEnd::Whole
        }
        _ => CallEnd::Wrong(String::from_utf8_lossy(&text).into_owned()),
    }
}

/// Reads an answer to its end and judges it.
pub async fn read_end(response: Response<Incoming>, completion: &Completion) -> CallEnd {
    let status = response.status();
    let mut body = response.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(error) => return CallEnd::Broken(error.to_string()),
        }
    }
    match status {
        StatusCode::OK => judge_stream(&String::from_utf8_lossy(&text), completion),
        refused => judge_refusal(refused, &text),
    }
}

fn judge_refusal(status: StatusCode, body: &[u8]) -> CallEnd {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not-run") => CallEnd::NotRun(status),
        Some("unknown") => CallEnd::Unknown,
        Some("cut") => CallEnd::Cut,
        _ => CallEnd::Wrong(format!("{status}: {}", String::from_utf8_lossy(body))),
    }
}

fn judge_stream(stream: &str, completion: &Completion) -> CallEnd {
    let mut text = String::new();
    for event in stream.split("\n\n").filter(|event| !event.is_empty()) {
        if event.contains("event: error") {
            return CallEnd::Cut;
        }
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            continue;
        };
        if data == "[DONE]" {
            return judge_text(&text, completion);
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    CallEnd::Broken("no end mark".to_owned())
}

fn judge_text(text: &str, completion: &Completion) -> CallEnd {
    match text == whole_text(completion.digest, completion.tokens) {
        true => CallEnd::Whole,
        false => CallEnd::Wrong(format!("an end mark behind `{text}`")),
    }
}
