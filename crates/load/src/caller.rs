//! Makes one request and reads its answer to the end.

use {
    crate::{
        address::{AddressAnswer, AddressBook},
        answer::{AnswerVerdict, ExpectedAnswer, RequestEnd, StreamCheck, check_service, told_end},
        events::EventReader,
        plan::PlannedRequest,
        record::RequestTimes,
        settings::{CallerSettings, ClassKind, ClassSettings, LoadSettings},
    },
    bytes::Bytes,
    engine::wire,
    http::{Method, Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Time that a caller waits beyond the deadline it named.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Longest wait for an address answer.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(2);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What all requests of a run share.
#[derive(Debug)]
pub struct CallerPool {
    settings: Arc<LoadSettings>,
    books: Vec<AddressBook>,
    client: HttpClient,
}

/// Why no response began.
enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Something was sent.
    Lost,
}

impl CallerPool {
    /// The callers of a run, each with its own addresses.
    pub fn new(settings: Arc<LoadSettings>) -> Self {
        let book = |_| AddressBook::new(settings.seeds.clone());
        let books = settings.callers.iter().map(book).collect();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { settings, books, client }
    }

    /// Makes a request; its times count from `start`, its moment of arrival.
    pub async fn perform(
        &self,
        request: &PlannedRequest,
        start: Instant,
    ) -> (AnswerVerdict, RequestTimes) {
        let mut times = RequestTimes::default();
        let limit = Duration::from_millis(self.settings.deadline_ms) + DEADLINE_GRACE;
        let verdict = match timeout(limit, self.try_addresses(request, start, &mut times)).await {
            Ok(verdict) => verdict,
            Err(_) => AnswerVerdict::of(RequestEnd::Lost, 0),
        };
        times.whole = start.elapsed();
        (verdict, times)
    }

    async fn try_addresses(
        &self,
        request: &PlannedRequest,
        start: Instant,
        times: &mut RequestTimes,
    ) -> AnswerVerdict {
        for address in self.addresses(request.caller).await {
            match self.send(request, address).await {
                Ok(response) => return self.read(request, response, start, times).await,
                // An address that cannot be reached has run nothing; the next one may be used.
                Err(SendFailure::NotSent) => {}
                Err(SendFailure::Lost) => return AnswerVerdict::of(RequestEnd::Lost, 0),
            }
        }
        AnswerVerdict::of(RequestEnd::NotRun, 0)
    }

    async fn addresses(&self, caller: usize) -> Vec<SocketAddr> {
        if let Some(engine) = self.settings.direct {
            return vec![engine];
        }
        let book = &self.books[caller];
        if let Some(addresses) = book.kept(Instant::now()) {
            return addresses;
        }
        for address in book.askable() {
            let asked_at = Instant::now();
            if let Some(answer) = self.ask_addresses(caller, address).await {
                book.keep(&answer, asked_at);
                if !answer.addresses.is_empty() {
                    break;
                }
            }
        }
        book.askable()
    }

    async fn ask_addresses(&self, caller: usize, address: SocketAddr) -> Option<AddressAnswer> {
        let key = &self.settings.callers[caller].key;
        let request = Request::get(format!("http://{address}/v1/addresses"))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let body = response.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice(&body).ok()
        };
        timeout(ADDRESS_TIMEOUT, exchange).await.ok().flatten()
    }

    async fn send(
        &self,
        request: &PlannedRequest,
        address: SocketAddr,
    ) -> Result<Response<Incoming>, SendFailure> {
        let class = self.class(request);
        let caller: &CallerSettings = &self.settings.callers[request.caller];
        let body = serde_json::to_vec(&request.body).unwrap_or_default();
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", path_of(class)))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", caller.key))
            .header(wire::DEADLINE_HEADER, self.settings.deadline_ms)
            .header(wire::PRIORITY_HEADER, class.priority.to_string());
        if class.kind == ClassKind::KeyedService {
            let key = format!("load-{}-{}", self.settings.seed, request.number);
            builder = builder.header(wire::IDEMPOTENCY_HEADER, key);
        }
        let message =
            builder.body(Full::new(Bytes::from(body))).map_err(|_| SendFailure::NotSent)?;
        self.client.request(message).await.map_err(|error| match error.is_connect() {
            true => SendFailure::NotSent,
            false => SendFailure::Lost,
        })
    }

    async fn read(
        &self,
        request: &PlannedRequest,
        response: Response<Incoming>,
        start: Instant,
        times: &mut RequestTimes,
    ) -> AnswerVerdict {
        let status = response.status().as_u16();
        let class = self.class(request);
        let told = response.headers().get(wire::OUTCOME_HEADER);
        let told = told.and_then(|value| value.to_str().ok()).map(str::to_owned);
        if response.status().is_success() && class.kind == ClassKind::StreamedChat {
            return self.read_stream(request, response, start, times).await;
        }
        let succeeded = response.status().is_success();
        let Ok(body) = response.into_body().collect().await else {
            return AnswerVerdict::of(RequestEnd::Lost, status);
        };
        let body = body.to_bytes();
        times.first = Some(start.elapsed());
        if !succeeded {
            return told_end(status, told.as_deref(), &body);
        }
        match class.kind.is_completion() {
            true => self.expected(request).check_whole(status, &body),
            false => {
                let sent = serde_json::to_vec(&request.body).unwrap_or_default();
                let service = class.service.as_ref().map_or("", |service| service.as_str());
                check_service(status, service, &sent, &body)
            }
        }
    }

    async fn read_stream(
        &self,
        request: &PlannedRequest,
        response: Response<Incoming>,
        start: Instant,
        times: &mut RequestTimes,
    ) -> AnswerVerdict {
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut reader = EventReader::default();
        let mut check = StreamCheck::new(self.expected(request));
        let mut last = None;
        loop {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return check.verdict(status, false),
                None => return check.verdict(status, reader.is_complete()),
            };
            let now = Instant::now();
            let Some(part) = frame.data_ref() else { continue };
            for event in reader.push(part) {
                if check.take(&event) {
                    note_token(times, start, last, now);
                    last = Some(now);
                }
            }
        }
    }

    fn class(&self, request: &PlannedRequest) -> &ClassSettings {
        &self.settings.classes[request.class]
    }

    fn expected(&self, request: &PlannedRequest) -> ExpectedAnswer {
        let tokens = self.class(request).tokens;
        ExpectedAnswer { digest: request.digest, tokens, standin: self.settings.standin_tokens }
    }
}

fn note_token(times: &mut RequestTimes, start: Instant, last: Option<Instant>, now: Instant) {
    match last {
        None => times.first = Some(now - start),
        Some(last) => times.gaps.push(now - last),
    }
}

fn path_of(class: &ClassSettings) -> String {
    match &class.service {
        Some(service) if !class.kind.is_completion() => {
            format!("/v1/services/{service}/{}", class.path)
        }
        _ => wire::CHAT_PATH.to_owned(),
    }
}
