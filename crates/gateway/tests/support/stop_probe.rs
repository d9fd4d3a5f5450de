//! Requests around a planned stop, the stand-in that works on them, and what their callers saw.

use {
    super::{
        client::{CallerAnswer, CallerRequest},
        wire_server::{WireRequest, plain_response, stream_chunks, write},
    },
    http::{Method, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    serde_json::json,
    std::{
        collections::BTreeMap,
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Tokens of each completion.
const TOKENS: u64 = 5;
/// Time on top of its work that a caller gives a request, and its factor on the work.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
const DEADLINE_FACTOR: f64 = 1.25;
/// Time after its deadline for which a caller waits for an answer.
const ANSWER_SLACK: Duration = Duration::from_secs(2);

/// The kinds of requests that a gateway has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeKind {
    Stream,
    KeyedStream,
    Completion,
    KeyedCompletion,
    /// A call that may be repeated.
    SafeCall,
    /// A call that must not be repeated, without a key.
    UnsafeCall,
    KeyedCall,
}

impl ProbeKind {
    pub const ALL: [Self; 7] = [
        Self::Stream,
        Self::KeyedStream,
        Self::Completion,
        Self::KeyedCompletion,
        Self::SafeCall,
        Self::UnsafeCall,
        Self::KeyedCall,
    ];

    pub fn has_key(self) -> bool {
        matches!(self, Self::KeyedStream | Self::KeyedCompletion | Self::KeyedCall)
    }

    /// Whether the request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Stream | Self::Completion | Self::SafeCall)
    }

    fn is_call(self) -> bool {
        matches!(self, Self::SafeCall | Self::UnsafeCall | Self::KeyedCall)
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::KeyedStream)
    }
}

/// How often each request ran, by its id.
#[derive(Default)]
pub struct ProbeLedger {
    runs: Mutex<BTreeMap<String, usize>>,
    answers_at_once: AtomicBool,
}

impl ProbeLedger {
    pub fn runs(&self, id: &str) -> usize {
        self.runs.lock().get(id).copied().unwrap_or_default()
    }

    /// Answers all requests from now on without working on them.
    pub fn answer_at_once(&self) {
        self.answers_at_once.store(true, Ordering::SeqCst);
    }

    /// Handles one request at a stand-in for engines and servers.
    pub async fn serve(
        self: Arc<Self>,
        request: WireRequest,
        mut stream: TcpStream,
    ) -> Option<TcpStream> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut fields = body.split('|').skip(1);
        let (Some(id), Some(millis)) = (fields.next(), fields.next()) else {
            write(&mut stream, &plain_response("200 OK", "", "{}")).await;
            return Some(stream);
        };
        *self.runs.lock().entry(id.to_owned()).or_default() += 1;
        let at_once = self.answers_at_once.load(Ordering::SeqCst);
        let work = Duration::from_millis(if at_once { 0 } else { millis.parse().unwrap() });
        if !request.head.starts_with("POST /v1/chat") {
            sleep(work).await;
            write(&mut stream, &plain_response("200 OK", "", &format!("done {id}"))).await;
            return Some(stream);
        }
        let offset = request.header("x-gf-offset").and_then(|text| text.parse().ok()).unwrap_or(0);
        let chunks = stream_chunks(&request.attempt(), offset, TOKENS);
        let last_token = chunks.len() - 3;
        for (number, chunk) in chunks.into_iter().enumerate() {
            write(&mut stream, &chunk).await;
            if number < last_token {
                sleep(work / last_token as u32).await;
            }
        }
        Some(stream)
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeEnd {
    Whole,
    NotRun,
    Unknown,
    /// The stream ended with an error event.
    Cut,
    /// The connection was refused, or had ended before the request was sent.
    Unsent,
    /// Anything else: no answer, or one that is not whole and doesn't say so.
    Lost(String),
}

/// One request around a stop.
#[derive(Clone, Debug)]
pub struct StopProbe {
    pub id: String,
    pub kind: ProbeKind,
    pub work: Duration,
    /// Whether it is sent on a connection that has had a request before.
    pub kept: bool,
}

/// A probe with its end. `after_signal_ms` is negative before the signal.
#[derive(Clone, Debug)]
pub struct ProbeReport {
    pub probe: StopProbe,
    pub after_signal_ms: i64,
    pub took: Duration,
    pub end: ProbeEnd,
}

impl fmt::Display for ProbeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { probe, after_signal_ms, took, end } = self;
        let StopProbe { kind, work, kept, .. } = probe;
        let connection = if *kept { "kept" } else { "new" };
        write!(
            f,
            "{kind:?} of {work:?} on a {connection} connection, sent at {after_signal_ms} ms: \
             {end:?} after {took:?}"
        )
    }
}

pub type CallerConnection = SendRequest<Full<bytes::Bytes>>;

/// Opens a connection; `None` if it is refused.
pub async fn connect(gateway: SocketAddr) -> Option<CallerConnection> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

impl StopProbe {
    /// The request; the same bytes for each submission with the same deadline.
    pub fn request(&self, deadline: Duration) -> CallerRequest {
        let body = format!("|{}|{}|", self.id, self.work.as_millis());
        let request = if self.kind.is_call() {
            let service = if self.kind == ProbeKind::SafeCall { "quotes" } else { "notices" };
            CallerRequest::new(Method::POST, &format!("/v1/services/{service}/run")).body(body)
        } else {
            let stream = self.kind.is_stream();
            let messages = [json!({"role": "user", "content": body})];
            let body = json!({"model": "tiny", "messages": messages, "stream": stream});
            CallerRequest::chat(stream).body(body.to_string())
        };
        let request = request.header("x-gf-deadline-ms", &deadline.as_millis().to_string());
        if self.kind.has_key() { request.header("idempotency-key", &self.id) } else { request }
    }

    /// Sends the request, on `kept` if there is such a connection, and reads its answer.
    pub async fn send(
        &self,
        gateway: SocketAddr,
        kept: Option<CallerConnection>,
        signal_at: Instant,
    ) -> ProbeReport {
        let sent = Instant::now();
        let after_signal_ms = match sent.checked_duration_since(signal_at) {
            Some(since) => since.as_millis() as i64,
            None => -((signal_at - sent).as_millis() as i64),
        };
        let deadline = self.work.mul_f64(DEADLINE_FACTOR) + DEADLINE_SLACK;
        let exchange = self.exchange(gateway, kept, deadline);
        let end = match timeout(deadline + ANSWER_SLACK, exchange).await {
            Ok(end) => end,
            Err(_) => ProbeEnd::Lost("no answer in time".to_owned()),
        };
        ProbeReport { probe: self.clone(), after_signal_ms, took: sent.elapsed(), end }
    }

    async fn exchange(
        &self,
        gateway: SocketAddr,
        kept: Option<CallerConnection>,
        deadline: Duration,
    ) -> ProbeEnd {
        let connection = match kept {
            Some(connection) => Some(connection),
            None => connect(gateway).await,
        };
        let Some(mut connection) = connection else { return ProbeEnd::Unsent };
        let CallerRequest { builder, body } = self.request(deadline);
        let response = match connection.send_request(builder.body(Full::new(body)).unwrap()).await {
            Ok(response) => response,
            // The connection had ended before anything was written.
            Err(error) if error.is_canceled() => return ProbeEnd::Unsent,
            Err(error) => return ProbeEnd::Lost(error.to_string()),
        };
        let (parts, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => {
                let (status, headers, body) = (parts.status, parts.headers, body.to_bytes());
                self.classify(&CallerAnswer { status, headers, body })
            }
            Err(error) => ProbeEnd::Lost(format!("{}: {error}", parts.status)),
        }
    }

    /// What an answer that ended in order says.
    pub fn classify(&self, answer: &CallerAnswer) -> ProbeEnd {
        let lost = || ProbeEnd::Lost(format!("{} {}", answer.status, answer.text()));
        if answer.status != StatusCode::OK {
            return match answer.outcome() {
                Some("not-run") => ProbeEnd::NotRun,
                Some("unknown") => ProbeEnd::Unknown,
                _ => lost(),
            };
        }
        if self.kind.is_call() {
            let whole = answer.text() == format!("done {}", self.id);
            return if whole { ProbeEnd::Whole } else { lost() };
        }
        if !self.kind.is_stream() {
            let usage = &answer.json()["usage"]["completion_tokens"];
            return if *usage == json!(TOKENS) { ProbeEnd::Whole } else { lost() };
        }
        if let Some((_, last)) = answer.text().rsplit_once("event: error\n") {
            let truthful = last.contains(r#""outcome":"cut""#) && !answer.text().contains("[DONE]");
            return if truthful { ProbeEnd::Cut } else { lost() };
        }
        let whole = answer.tokens() == ((0..TOKENS).collect(), true);
        if whole { ProbeEnd::Whole } else { lost() }
    }
}
