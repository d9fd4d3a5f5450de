//! A request from its head to its end.

use {
    crate::{
        choose::{ChoiceFacts, ServerChoice, choose_server},
        codec::{BackendCall, RequestCodec, Verdict},
        config::{RelayConfig, RouteRule},
        metrics::RelayMetrics,
        plain::collect_answer,
        pump::{RelayBody, StreamPump, full_body},
        request::{CallerHead, Refusal, RefusalKind, RequestId, RequestKind},
        retry::RepeatBudget,
        send::{LiveAnswer, SendEnd, send_call},
        server::{BackendServer, ServerId, ServerTable},
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    base::{ServiceName, SharedClock, Tick, WorkspaceId},
    bytes::Bytes,
    http::{HeaderMap, Method, Request, Response, Uri},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout},
    tracing::info,
};

/// How long a server is shunned after its first failure; about the time in which the owner of its
/// fabric domain finds out what is wrong.
const SHUN_SPAN: Duration = Duration::from_millis(800);
/// How long a full server is shunned; a place becomes free about this often.
const FULL_SPAN: Duration = Duration::from_millis(100);
/// A resumable stream without a first event for this long is given to another server, if its server
/// moves nothing else either.
pub(crate) const HEAD_SILENCE: Duration = Duration::from_millis(700);
/// When a caller should come back if no group serves its model: mending takes about this long.
const STREAM_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// When a caller of a plain service should come back if no server can take its request.
const PLAIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// A send with less time left than this is not worth its place at a server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// What all requests of a process share.
pub struct RelayShared {
    /// The configuration in force; none before the first is known.
    pub config: ArcSwapOption<RelayConfig>,
    /// The servers that take requests.
    pub servers: ArcSwap<ServerTable>,
    /// How often requests may be sent again.
    pub budget: RepeatBudget,
    /// Processes of the system that share the budget.
    pub processes: AtomicUsize,
    /// Whether a caller's request has been seen.
    pub in_traffic: AtomicBool,
    /// Whether callers are told to leave their connections.
    pub leaving: AtomicBool,
    /// Counters and histograms.
    pub metrics: RelayMetrics,
    /// This process's clock.
    pub clock: SharedClock,
    /// Servers at which requests stand still; for whoever can ask the servers.
    pub stalls: mpsc::Sender<ServerId>,
}

impl RelayShared {
    /// What a process shares before it knows a configuration or a server. Stalls go to `stalls`.
    pub fn new(clock: SharedClock, budget: RepeatBudget, stalls: mpsc::Sender<ServerId>) -> Self {
        Self {
            config: ArcSwapOption::empty(),
            servers: ArcSwap::from_pointee(ServerTable::default()),
            budget,
            processes: AtomicUsize::new(1),
            in_traffic: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            metrics: RelayMetrics::default(),
            clock,
            stalls,
        }
    }

    /// Tells that requests stand still at a server; dropped when too many wait to be read.
    pub(crate) fn report_stall(&self, server: &BackendServer) {
        let _ = self.stalls.try_send(server.id.clone());
    }
}

/// Serves callers' requests.
pub struct RelayService<C> {
    codec: C,
    pub(crate) shared: Arc<RelayShared>,
}

/// What stays the same over all sends of one request.
pub(crate) struct CallTerms {
    pub(crate) id: RequestId,
    kind: RequestKind,
    route: smol_str::SmolStr,
    attempts: u32,
    service: ServiceName,
    workspace: Option<WorkspaceId>,
    model: Option<base::ModelName>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) began: Tick,
    /// When the caller or the route gives up.
    pub(crate) ends: Tick,
}

/// What became of the sends so far.
#[derive(Default)]
pub(crate) struct CallProgress {
    tried: Vec<ServerId>,
    sends: u32,
    may_have_run: bool,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

impl<C: RequestCodec> RelayService<C> {
    /// A service over shared state.
    pub fn new(codec: C, shared: Arc<RelayShared>) -> Self {
        Self { codec, shared }
    }

    /// Answers one request. Dropping the future ends the work for it at the server.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<RelayBody> {
        let began = self.shared.clock.now();
        let (head, body) = request.into_parts();
        let caller = match self.codec.read_caller(&head) {
            Ok(caller) => caller,
            Err(error) => {
                info!(decision = "refused", why = %error, "request");
                return self.refuse(None, Refusal::new(RefusalKind::BadHead), began);
            }
        };
        let id = caller.id.clone();
        match self.clone().admit(head, caller, body, began).await {
            Ok(terms) => self.serve(terms).await,
            Err(refusal) => self.refuse(Some(&id), refusal, began),
        }
    }

    async fn admit(
        self: Arc<Self>,
        head: http::request::Parts,
        caller: CallerHead,
        body: Incoming,
        began: Tick,
    ) -> Result<CallTerms, Refusal> {
        let config = self.shared.config.load_full();
        let config = config.ok_or(Refusal::until(RefusalKind::NoConfig, PLAIN_RETRY_AFTER))?;
        let route = config.route(&caller.host, head.uri.path());
        let route = route.ok_or(Refusal::new(RefusalKind::NoRoute))?;
        let workspace = find_workspace(&config, route, &caller)?;
        self.shared.in_traffic.store(true, Ordering::Relaxed);
        let limit = caller.deadline.unwrap_or(route.timeout).min(route.timeout);
        let body = read_body(body, config.limits.body_bytes, limit).await?;
        let service =
            pick_service(route).ok_or(Refusal::until(RefusalKind::NoServer, PLAIN_RETRY_AFTER))?;
        self.shared.budget.note_request(&service, began);
        Ok(CallTerms {
            id: caller.id,
            kind: route.kind,
            route: route.name.clone(),
            attempts: route.attempts.max(1),
            service,
            workspace,
            model: caller.model,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            began,
            ends: began + limit,
        })
    }

    async fn serve(self: Arc<Self>, terms: CallTerms) -> Response<RelayBody> {
        let mut progress = CallProgress::default();
        let began = terms.began;
        let id = terms.id.clone();
        let streams = terms.kind.is_stream();
        loop {
            let answer = match self.acquire(&terms, &mut progress).await {
                Ok(answer) => answer,
                Err(refusal) => return self.refuse(Some(&id), refusal, began),
            };
            if streams && answer.head.status.is_success() {
                return StreamPump::start(self, terms, progress, answer);
            }
            let failed = answer.head.status.is_server_error();
            if failed && terms.kind.may_repeat() && self.may_send(&terms, &progress) {
                let status = answer.head.status.as_u16();
                info!(id = %terms.id, decision = "again", server = %answer.server.id, status,
                    why = "server failed", "request");
                answer.server.counters.note_failure(self.shared.clock.now(), FULL_SPAN);
                continue;
            }
            let left = terms.ends.since(self.shared.clock.now());
            let server = answer.server.clone();
            match collect_answer(&self.codec, answer, left).await {
                Ok(response) => {
                    let now = self.shared.clock.now();
                    server.counters.note_success(now.since(began));
                    self.note_end(&terms, "answered", response.status().as_u16());
                    return self.mark_leaving(response.map(full_body));
                }
                Err(why) => {
                    progress.may_have_run = true;
                    server.counters.note_failure(self.shared.clock.now(), FULL_SPAN);
                    info!(id = %terms.id, decision = "broken", server = %server.id, why,
                        "request");
                    if !terms.kind.may_repeat() {
                        let refusal = self.give_up(&terms, &progress);
                        return self.refuse(Some(&id), refusal, began);
                    }
                }
            }
        }
    }

    /// Sends the request until a server's answer begins, or says why none will.
    pub(crate) async fn acquire(
        &self,
        terms: &CallTerms,
        progress: &mut CallProgress,
    ) -> Result<Box<LiveAnswer>, Refusal> {
        loop {
            let now = self.shared.clock.now();
            let left = terms.ends.since(now);
            if left < MIN_TIME_LEFT {
                return Err(self.give_up(terms, progress));
            }
            let Some(server) = self.next_server(terms, progress, now) else {
                return Err(self.give_up(terms, progress));
            };
            let wait = self.head_wait(terms, progress, &server, left);
            self.shared.metrics.note_send(terms.kind, progress.sends > 0);
            let request = self.write_call(terms, progress, &server, left);
            info!(id = %terms.id, decision = "sent", route = %terms.route, server = %server.id,
                load = server.counters.load(now), send = progress.sends + 1,
                left_ms = left.as_millis() as u64, "request");
            match send_call(&self.codec, &terms.id, &server, request, wait).await {
                SendEnd::Answer(answer, facts) => {
                    progress.note_send(&server);
                    progress.may_have_run = true;
                    let now = self.shared.clock.now();
                    server.counters.note_progress(now);
                    if let Some(word) = facts.load {
                        server.counters.note_load(word, now);
                    }
                    return Ok(answer);
                }
                SendEnd::NotSent(error) => {
                    progress.tried.push(server.id.clone());
                    server.counters.note_failure(self.shared.clock.now(), SHUN_SPAN);
                    self.shared.report_stall(&server);
                    info!(id = %terms.id, decision = "not-sent", server = %server.id,
                        why = %error, "request");
                }
                SendEnd::NotRun(facts) => {
                    progress.note_send(&server);
                    let now = self.shared.clock.now();
                    if let Some(word) = facts.load {
                        server.counters.note_load(word, now);
                    }
                    server.counters.note_failure(now, FULL_SPAN);
                    let why = match facts.verdict {
                        Verdict::OtherServer => "another server has the address",
                        _ => "not run there",
                    };
                    info!(id = %terms.id, decision = "not-run", server = %server.id, why,
                        "request");
                }
                SendEnd::Lost(why) => {
                    progress.note_send(&server);
                    progress.may_have_run = true;
                    server.counters.note_failure(self.shared.clock.now(), SHUN_SPAN);
                    self.shared.report_stall(&server);
                    info!(id = %terms.id, decision = "lost", server = %server.id, why, "request");
                    if !terms.kind.may_repeat() {
                        return Err(self.give_up(terms, progress));
                    }
                }
            }
        }
    }

    /// How long to wait for a head. Where another server may take over, not to the end.
    fn head_wait(
        &self,
        terms: &CallTerms,
        progress: &CallProgress,
        server: &BackendServer,
        left: Duration,
    ) -> Duration {
        let alone = !self.has_other(terms, progress, server);
        if !terms.kind.may_repeat() || progress.sends + 1 >= terms.attempts || alone {
            return left;
        }
        match terms.kind {
            RequestKind::Stream { .. } => HEAD_SILENCE.min(left),
            _ => left / 2,
        }
    }

    /// Whether another sound server could take the request over from this one.
    fn has_other(
        &self,
        terms: &CallTerms,
        progress: &CallProgress,
        server: &BackendServer,
    ) -> bool {
        let table = self.shared.servers.load();
        let now = self.shared.clock.now();
        table.candidates(&terms.service, terms.model.as_ref()).any(|other| {
            other.id != server.id
                && !progress.tried.contains(&other.id)
                && !other.counters.is_shunned(now)
        })
    }

    fn next_server(
        &self,
        terms: &CallTerms,
        progress: &CallProgress,
        now: Tick,
    ) -> Option<BackendServer> {
        if progress.sends >= terms.attempts {
            return None;
        }
        let table = self.shared.servers.load();
        let facts = ChoiceFacts { tried: &progress.tried, draw: rand::random(), now };
        let servers = table.candidates(&terms.service, terms.model.as_ref());
        let server = match choose_server(servers, &facts) {
            ServerChoice::Server(server) => server.clone(),
            ServerChoice::Full | ServerChoice::Nothing => return None,
        };
        if progress.sends > 0 {
            let processes = self.shared.processes.load(Ordering::Relaxed);
            if !self.shared.budget.take(&terms.service, processes, now) {
                return None;
            }
        }
        Some(server)
    }

    /// Whether another server might be sent the request.
    pub(crate) fn may_send(&self, terms: &CallTerms, progress: &CallProgress) -> bool {
        let table = self.shared.servers.load();
        let mut servers = table.candidates(&terms.service, terms.model.as_ref());
        let now = self.shared.clock.now();
        progress.sends < terms.attempts
            && terms.ends.since(now) >= MIN_TIME_LEFT
            && servers.any(|server| {
                !progress.tried.contains(&server.id) && !server.counters.is_shunned(now)
            })
    }

    fn write_call(
        &self,
        terms: &CallTerms,
        progress: &CallProgress,
        server: &BackendServer,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(terms.body.clone()));
        *request.method_mut() = terms.method.clone();
        *request.uri_mut() = terms.uri.clone();
        *request.headers_mut() = terms.headers.clone();
        let call = BackendCall {
            server: &server.id,
            workspace: terms.workspace.as_ref(),
            time_left: left,
            last_event: progress.last_event,
        };
        self.codec.write_call(request.headers_mut(), &call);
        request
    }

    fn give_up(&self, terms: &CallTerms, progress: &CallProgress) -> Refusal {
        let out_of_time = terms.ends.since(self.shared.clock.now()) < MIN_TIME_LEFT;
        let again = match terms.kind {
            RequestKind::Stream { .. } => STREAM_RETRY_AFTER,
            _ => PLAIN_RETRY_AFTER,
        };
        match (progress.may_have_run, out_of_time) {
            (true, true) => Refusal::new(RefusalKind::TimedOut),
            (true, false) => Refusal::new(RefusalKind::Failed),
            (false, true) => Refusal::new(RefusalKind::TimedOutUnsent),
            (false, false) => Refusal::until(RefusalKind::NoServer, again),
        }
    }

    fn refuse(&self, id: Option<&RequestId>, refusal: Refusal, began: Tick) -> Response<RelayBody> {
        let took_ms = self.shared.clock.now().since(began).as_millis() as u64;
        self.shared.metrics.note_refusal(refusal.kind.word());
        if let Some(id) = id {
            info!(id = %id, decision = "refused", why = refusal.kind.word(), took_ms, "request");
        }
        self.mark_leaving(self.codec.refuse(id, &refusal).map(full_body))
    }

    pub(crate) fn note_end(&self, terms: &CallTerms, outcome: &'static str, status: u16) {
        let took = self.shared.clock.now().since(terms.began);
        self.shared.metrics.note_end(terms.kind, outcome, took);
        let took_ms = took.as_millis() as u64;
        info!(id = %terms.id, decision = "ended", outcome, status, took_ms, "request");
    }

    /// Asks the caller to open its next connection elsewhere, if this process is about to stop.
    pub(crate) fn mark_leaving<B>(&self, mut response: Response<B>) -> Response<B> {
        if self.shared.leaving.load(Ordering::Relaxed) {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    pub(crate) fn codec(&self) -> &C {
        &self.codec
    }
}

impl CallTerms {
    pub(crate) fn kind(&self) -> RequestKind {
        self.kind
    }
}

impl CallProgress {
    fn note_send(&mut self, server: &BackendServer) {
        self.tried.push(server.id.clone());
        self.sends += 1;
    }
}

fn find_workspace(
    config: &RelayConfig,
    route: &RouteRule,
    caller: &CallerHead,
) -> Result<Option<WorkspaceId>, Refusal> {
    let workspace = caller.key.as_ref().and_then(|key| config.workspace(key));
    if workspace.is_none() && config.needs_keys() && !route.public {
        return Err(Refusal::new(RefusalKind::UnknownKey));
    }
    Ok(workspace.cloned())
}

fn pick_service(route: &RouteRule) -> Option<ServiceName> {
    let total: f64 = route.splits.iter().map(|split| split.weight).sum();
    let mut draw = rand::random::<f64>() * total;
    let mut positive = route.splits.iter().filter(|split| split.weight > 0.0);
    for split in positive.clone() {
        if draw < split.weight {
            return Some(split.service.clone());
        }
        draw -= split.weight;
    }
    positive.next_back().map(|split| split.service.clone())
}

async fn read_body(body: Incoming, limit: usize, wait: Duration) -> Result<Bytes, Refusal> {
    let collecting = timeout(wait, Limited::new(body, limit).collect());
    match collecting.await {
        Err(_) => Err(Refusal::new(RefusalKind::TimedOutUnsent)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(RefusalKind::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::new(RefusalKind::BadHead)),
    }
}
