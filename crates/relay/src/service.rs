//! Serves one request: sends, retries and the answer.

use {
    crate::{
        answer_body::RelayBody,
        codec::RequestCodec,
        crash::note_break,
        held_body::HeldBody,
        obstacle::SendObstacle,
        progress::CallProgress,
        pump::StreamPump,
        request::{Refusal, RefusalKind, RequestId, RequestKind},
        room::RoomDemand,
        send::LiveAnswer,
        shared::RelayShared,
        trace::RequestTrace,
    },
    base::{ServiceName, Tick, WorkspaceId},
    caller::CallerPresence,
    cost::PromptSize,
    http::{HeaderMap, Method, Request, Response, Uri},
    hyper::body::Incoming,
    poison::RequestSuspects,
    std::{sync::Arc, time::Duration},
    stop::{StopPhase, WorkEnd},
    tracing::info,
};

/// Back-off of a server that could not be reached, did not answer or whose stream broke; about the
/// time in which the owner of its fabric domain finds the cause.
pub(crate) const FAILURE_BACKOFF: Duration = Duration::from_millis(800);
/// Back-off of a server that answered, but refused the request, failed it or sent an incomplete
/// answer; a slot becomes free about this often.
pub(crate) const ANSWERED_BACKOFF: Duration = Duration::from_millis(100);
/// A resumable stream without a first event for this long looks for another server. One whose answer
/// has begun does so only if its server makes no progress on other requests either.
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
    pub(crate) size: Option<PromptSize>,
    /// Id of the last event that the caller has of a stream that may be resumed, if it sent one.
    pub(crate) resumed_after: Option<u64>,
    /// The room that it asks for; `None` where requests are served without asking.
    pub(crate) room: Option<RoomDemand>,
    pub(crate) suspects: RequestSuspects,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// When the head of the request was received.
    pub(crate) began: Tick,
    /// When the caller's deadline or the route's timeout runs out, whichever is earlier.
    pub(crate) expires_at: Tick,
    pub(crate) trace: Arc<RequestTrace>,
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
        // A caller that sends requests without reading their answers has one answer at a time.
        presence.answers_read().await;
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
        if !self.shared.keep_descriptors() {
            let refusal = Refusal::until(RefusalKind::ConnectionsFull, DEFAULT_RETRY_AFTER);
            return self.refuse(Some(&trace), refusal);
        }
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
            Ok(FetchedAnswer::Whole(response)) => self.close_if_leaving(response),
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
            let server = answer.server.clone();
            match self.collect_whole(ctx, answer).await {
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
                    note_break(&self.shared, ctx, &progress.record, &server, why, false).await;
                    if !ctx.kind.is_retryable() {
                        return Err(self.unresolved_refusal(ctx));
                    }
                }
            }
        }
    }

    /// The refusal of a request that may have run and must not be sent again.
    pub(crate) fn unresolved_refusal(&self, ctx: &CallContext) -> Refusal {
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
        self.shared.metrics.note_obstacle(obstacle, progress.record.reached_count() > 0);
        let now = self.shared.clock.now();
        let out_of_time = ctx.expires_at.since(now) < MIN_REMAINING;
        let usual = match ctx.kind {
            RequestKind::Stream { .. } => {
                self.room_retry_after(ctx, now).unwrap_or(STREAM_RETRY_AFTER)
            }
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
    Whole(Response<RelayBody>),
    /// A stream that has begun.
    Stream(Box<LiveAnswer>),
}
