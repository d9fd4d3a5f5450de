//! Serves one request: sends, retries and the answer.

use {
    crate::{
        buffered::collect_answer,
        codec::{BackendCall, RequestCodec, Verdict},
        crash::check_crash,
        obstacle::SendObstacle,
        pump::{RelayBody, STALL_THRESHOLD, StreamPump, full_body},
        request::{Refusal, RefusalKind, RequestId, RequestKind},
        send::{HeadWait, LiveAnswer, SendOutcome, send_call},
        server::{BackendServer, ServerId},
        shared::RelayShared,
        trace::RequestTrace,
    },
    base::{ServiceName, Tick, WorkspaceId},
    bytes::Bytes,
    caller::CallerPresence,
    http::{HeaderMap, Method, Request, Response, Uri},
    http_body_util::Full,
    hyper::body::Incoming,
    poison::RequestSuspects,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    stop::{StopPhase, WorkEnd},
    tracing::info,
};

/// Back-off of a server that could not be reached, did not answer or whose stream broke; about the
/// time in which the owner of its fabric domain finds the cause.
const FAILURE_BACKOFF: Duration = Duration::from_millis(800);
/// Back-off of a server that answered, but refused the request, failed it or sent an incomplete
/// answer; a slot becomes free about this often.
const ANSWERED_BACKOFF: Duration = Duration::from_millis(100);
/// A resumable stream without a first event for this long is retried on another server, if its
/// current server makes no progress on other requests either.
pub(crate) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(700);
/// `retry_after` for streams when no group can serve the model; a repair takes about this long.
const STREAM_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// `retry_after` in all other cases: without a configuration, when a route has no service to pick,
/// and when no server can take a request that is not a stream.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// With less time remaining than this, a request is not sent: it would occupy a slot for an answer
/// that comes too late.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Serves callers' requests over the protocol that `C` implements.
pub struct RelayService<C> {
    pub(crate) codec: C,
    pub(crate) shared: Arc<RelayShared>,
}

/// The parts and limits of one request that stay the same over all of its sends.
pub(crate) struct CallContext {
    pub(crate) id: RequestId,
    pub(crate) kind: RequestKind,
    pub(crate) route: smol_str::SmolStr,
    /// Maximum number of sends, see [`RouteRule::attempts`].
    pub(crate) attempts: u32,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) model: Option<base::ModelName>,
    pub(crate) suspects: RequestSuspects,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the head of the request was received.
    pub(crate) began: Tick,
    /// When the caller's deadline or the route's timeout runs out, whichever is earlier.
    pub(crate) expires_at: Tick,
    pub(crate) trace: Arc<RequestTrace>,
}

/// State of one request that changes with each send.
#[derive(Default)]
pub(crate) struct CallProgress {
    /// Servers to which the request was sent or no connection could be made.
    pub(crate) tried: Vec<ServerId>,
    /// Number of servers to which the request was sent.
    pub(crate) sends: u32,
    /// Whether a server may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether a request has left this process and its outcome is not known.
    pub(crate) is_sending: AtomicBool,
    /// Servers whose connection broke before they had answered.
    pub(crate) crashes: u32,
    /// Id of the last event that was forwarded to the caller; set when a stream is resumed.
    pub(crate) last_event: Option<u64>,
}

impl<C: RequestCodec> RelayService<C> {
    /// Creates a service over shared state.
    pub fn new(codec: C, shared: Arc<RelayShared>) -> Self {
        Self { codec, shared }
    }

    /// Answers one request. Dropping the future closes the connection to the server, which cancels
    /// the work there.
    pub(crate) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        presence: Arc<CallerPresence>,
    ) -> Response<RelayBody> {
        let began = self.shared.clock.now();
        let (head, body) = request.into_parts();
        let caller = match self.codec.read_caller(&head) {
            Ok(caller) => caller,
            Err(error) => {
                info!(decision = "refused", why = %error, "request");
                return self.refuse(None, Refusal::new(RefusalKind::BadHead));
            }
        };
        let clock = self.shared.clock.clone();
        let presence = presence.begin_work();
        let id = caller.id.clone();
        let trace = RequestTrace::begin(&self.shared.work, clock, id, began, presence);
        let trace = Arc::new(trace);
        let admitted = tokio::select! {
            biased;
            admitted = self.clone().admit(head, caller, body, trace.clone()) => admitted,
            () = self.ending() => Err(self.stop_refusal()),
        };
        match admitted {
            Ok(ctx) => self.serve(ctx).await,
            Err(refusal) => self.refuse(Some(&trace), refusal),
        }
    }

    /// Sends an admitted request and returns its answer: a stream as it arrives, any other answer
    /// once it is complete.
    async fn serve(self: Arc<Self>, ctx: CallContext) -> Response<RelayBody> {
        let mut progress = CallProgress::default();
        let served = tokio::select! {
            biased;
            served = self.fetch_answer(&ctx, &mut progress) => served,
            () = self.ending() => Err(self.cut_short(&progress)),
        };
        match served {
            Ok(FetchedAnswer::Whole(response)) => self.close_if_leaving(response.map(full_body)),
            // No event has been passed on, so that the caller can still get a complete answer.
            Ok(FetchedAnswer::Stream(_)) if self.shared.stop.phase() == StopPhase::Ending => {
                let refusal = self.cut_short(&progress);
                self.refuse(Some(&ctx.trace), refusal)
            }
            Ok(FetchedAnswer::Stream(answer)) => StreamPump::start(self, ctx, progress, answer),
            Err(refusal) => self.refuse(Some(&ctx.trace), refusal),
        }
    }

    /// Sends a request until there is an answer to pass on.
    async fn fetch_answer(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<FetchedAnswer, Refusal> {
        let streams = ctx.kind.is_stream();
        loop {
            let answer = self.send_until_answered(ctx, progress).await?;
            if streams && answer.head.status.is_success() {
                return Ok(FetchedAnswer::Stream(answer));
            }
            let failed = answer.head.status.is_server_error();
            if failed && ctx.kind.is_retryable() && self.has_retry_target(ctx, progress) {
                let status = answer.head.status.as_u16();
                info!(id = %ctx.id, decision = "again", server = %answer.server.id, status,
                    why = "server failed", "request");
                answer.server.counters.note_failure(self.shared.clock.now(), ANSWERED_BACKOFF);
                continue;
            }
            let remaining = ctx.expires_at.since(self.shared.clock.now());
            let server = answer.server.clone();
            match collect_answer(&self.codec, &self.shared.buffers, answer, remaining).await {
                Ok(response) => {
                    let now = self.shared.clock.now();
                    server.counters.note_success(now.since(ctx.began));
                    if !response.status().is_server_error() {
                        self.shared.poison.note_sound(&ctx.suspects);
                    }
                    let status = response.status().as_u16();
                    self.note_end(ctx, WorkEnd::Whole, "answered", status);
                    return Ok(FetchedAnswer::Whole(response));
                }
                Err(why) => {
                    progress.may_have_run = true;
                    server.counters.note_failure(self.shared.clock.now(), ANSWERED_BACKOFF);
                    self.shared.metrics.note_loss(ctx.kind, why);
                    info!(id = %ctx.id, decision = "broken", server = %server.id, %why,
                        "request");
                    if why.is_broken_connection() {
                        progress.crashes += 1;
                        check_crash(&self.shared, ctx, &server).await;
                    }
                    if !ctx.kind.is_retryable() {
                        return Err(self.unresolved_refusal(ctx));
                    }
                }
            }
        }
    }

    /// Sends the request to one server after another until one returns an answer head. Fails when no
    /// server is left, when time or the retry budget runs out, or when a retry could run the request
    /// twice.
    pub(crate) async fn send_until_answered(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<Box<LiveAnswer>, Refusal> {
        loop {
            if ctx.expires_at.since(self.shared.clock.now()) < MIN_REMAINING {
                return Err(self.final_refusal(ctx, progress, SendObstacle::Time));
            }
            if !self.can_finish(ctx) {
                return Err(self.cut_short(progress));
            }
            self.check_suspects(ctx, progress).await?;
            let server = match self.next_server(ctx, progress).await {
                Ok(server) => server,
                Err(obstacle) => return Err(self.final_refusal(ctx, progress, obstacle)),
            };
            let now = self.shared.clock.now();
            let remaining = ctx.expires_at.since(now);
            if remaining < MIN_REMAINING {
                // It ran out while another process was asked.
                return Err(self.final_refusal(ctx, progress, SendObstacle::Time));
            }
            if !self.can_finish(ctx) {
                // The stop began while another process was asked.
                return Err(self.cut_short(progress));
            }
            let wait = HeadWait {
                patience: self.head_timeout(ctx, progress, &server, remaining),
                total: remaining,
                may_move: || self.can_finish(ctx),
            };
            self.shared.metrics.note_send(ctx.kind, progress.sends > 0);
            let request = self.write_call(ctx, progress, &server, remaining);
            info!(id = %ctx.id, decision = "sent", route = %ctx.route, server = %server.id,
                load = server.counters.load(now), send = progress.sends + 1,
                left_ms = remaining.as_millis() as u64, "request");
            let sent_at = self.shared.clock.now();
            let is_sent = &progress.is_sending;
            let departure = ctx.trace.presence.time_departure(self.shared.metrics.departures());
            let outcome = send_call(
                &self.codec,
                &self.shared.paths,
                &ctx.id,
                &server,
                request,
                wait,
                departure,
                is_sent,
            )
            .await;
            progress.is_sending.store(false, Ordering::Relaxed);
            match outcome {
                SendOutcome::Answer(answer, facts) => {
                    progress.note_send(&server);
                    progress.may_have_run = true;
                    let now = self.shared.clock.now();
                    server.counters.note_progress(now);
                    self.shared.note_facts(&server, &facts, sent_at, now);
                    return Ok(answer);
                }
                SendOutcome::NotSent(error) => {
                    progress.tried.push(server.id.clone());
                    server.counters.note_failure(self.shared.clock.now(), FAILURE_BACKOFF);
                    self.shared.report_stall(&server);
                    info!(id = %ctx.id, decision = "not-sent", server = %server.id,
                        why = %error, "request");
                }
                SendOutcome::NotRun(facts) => {
                    progress.note_send(&server);
                    let now = self.shared.clock.now();
                    server.counters.note_failure(now, ANSWERED_BACKOFF);
                    let why = if facts.verdict == Verdict::OtherServer {
                        "another server has the address"
                    } else {
                        self.shared.note_facts(&server, &facts, sent_at, now);
                        "server did not run the request"
                    };
                    info!(id = %ctx.id, decision = "not-run", server = %server.id, why,
                        "request");
                }
                SendOutcome::Lost(why) => {
                    progress.note_send(&server);
                    progress.may_have_run = true;
                    server.counters.note_failure(self.shared.clock.now(), FAILURE_BACKOFF);
                    self.shared.report_stall(&server);
                    self.shared.metrics.note_loss(ctx.kind, why);
                    let now = self.shared.clock.now();
                    let waited_ms = now.since(sent_at).as_millis() as u64;
                    let busy = server.counters.progressed_within(now, STALL_THRESHOLD);
                    info!(id = %ctx.id, decision = "lost", server = %server.id, %why, waited_ms,
                        busy, "request");
                    if why.is_broken_connection() {
                        progress.crashes += 1;
                        check_crash(&self.shared, ctx, &server).await;
                    }
                    if !ctx.kind.is_retryable() {
                        return Err(self.unresolved_refusal(ctx));
                    }
                }
            }
        }
    }

    /// How long to wait for an answer head. Shorter than the remaining time if the request can be
    /// retried on another server.
    fn head_timeout(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        server: &BackendServer,
        remaining: Duration,
    ) -> Duration {
        let no_other_server = !self.has_other_server(ctx, progress, server);
        if !ctx.kind.is_retryable() || progress.sends + 1 >= ctx.attempts || no_other_server {
            return remaining;
        }
        match ctx.kind {
            RequestKind::Stream { .. } => FIRST_EVENT_TIMEOUT.min(remaining),
            _ => remaining / 2,
        }
    }

    fn write_call(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        server: &BackendServer,
        remaining: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(ctx.body.clone()));
        *request.method_mut() = ctx.method.clone();
        *request.uri_mut() = ctx.uri.clone();
        *request.headers_mut() = ctx.headers.clone();
        let call = BackendCall {
            server: &server.id,
            workspace: ctx.workspace.as_ref(),
            time_left: remaining,
            last_event: progress.last_event,
        };
        self.codec.write_call(request.headers_mut(), &call);
        request
    }

    /// The refusal of a request that may have run and must not be sent again.
    fn unresolved_refusal(&self, ctx: &CallContext) -> Refusal {
        let is_over = ctx.expires_at.since(self.shared.clock.now()) < MIN_REMAINING;
        Refusal::new(if is_over { RefusalKind::TimedOut } else { RefusalKind::Failed })
    }

    /// The refusal of a request that is not sent, or not sent again, because of `obstacle`. It tells
    /// the caller whether a server may have run the request.
    pub(crate) fn final_refusal(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        obstacle: SendObstacle,
    ) -> Refusal {
        self.shared.metrics.note_obstacle(obstacle, progress.sends > 0);
        let now = self.shared.clock.now();
        let out_of_time = ctx.expires_at.since(now) < MIN_REMAINING;
        let usual = match ctx.kind {
            RequestKind::Stream { .. } => STREAM_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        let no_server = match self.limit_retry_after(ctx, now) {
            Some(span) => Refusal::until(RefusalKind::AtLimit, span),
            None => {
                let span = self.quiet_retry_after(ctx, now).unwrap_or(usual);
                Refusal::until(RefusalKind::NoServer, span)
            }
        };
        let refusal = match (progress.may_have_run, out_of_time) {
            (true, true) => Refusal::new(RefusalKind::TimedOut),
            (true, false) => Refusal::new(RefusalKind::Failed),
            (false, true) => Refusal::new(RefusalKind::TimedOutUnsent),
            (false, false) => no_server,
        };
        Refusal { obstacle: Some(obstacle), ..refusal }
    }

    pub(crate) fn codec(&self) -> &C {
        &self.codec
    }
}

/// What a request is answered with.
enum FetchedAnswer {
    /// A complete answer.
    Whole(Response<Full<Bytes>>),
    /// A stream that has begun.
    Stream(Box<LiveAnswer>),
}

impl CallProgress {
    fn note_send(&mut self, server: &BackendServer) {
        self.tried.push(server.id.clone());
        self.sends += 1;
    }
}
