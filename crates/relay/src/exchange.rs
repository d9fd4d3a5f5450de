//! Sends one request until a server answers it.
//!
//! A request stays at a silent server until another one has it: the other server is asked for an
//! answer first, at a place that was taken there, and whichever answers first keeps the request. What
//! can't come any more, because the connection broke or the answer is none, is not waited for.

use {
    crate::{
        codec::{BackendCall, RequestCodec, Verdict},
        crash::check_crash,
        held_body::HeldBody,
        loss::LossCause,
        obstacle::SendObstacle,
        place::{PlaceError, PlaceSearch, ServerPlace},
        pump::STALL_THRESHOLD,
        request::{Refusal, RequestKind},
        send::{LiveAnswer, SendOutcome, send_call},
        sends::{OpenSends, SendReport},
        server::BackendServer,
        service::{
            ANSWERED_BACKOFF, CallContext, CallProgress, FAILURE_BACKOFF, FIRST_EVENT_TIMEOUT,
            RelayService,
        },
    },
    futures::FutureExt,
    http::Request,
    std::{future::pending, sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep_until},
    tracing::info,
};

/// What one outcome means for its request.
enum ExchangeStep {
    /// The request has its answer.
    Answered(Box<LiveAnswer>),
    /// A server failed a request that another one may still answer.
    Failed(Box<LiveAnswer>),
    /// There is no answer of that server.
    Unanswered,
}

impl<C: RequestCodec> RelayService<C> {
    /// Sends the request until a server returns an answer head. Fails when no place is left, when
    /// time runs out, or when a further send could run the request twice. The failure of a server is
    /// an answer where no other server takes the request.
    pub(crate) async fn send_until_answered(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<Box<LiveAnswer>, Refusal> {
        match self.take_place(ctx, progress).await {
            Ok(place) => self.send_from(place, ctx, progress).await,
            Err(error) => Err(self.refusal_without_place(ctx, progress, error)),
        }
    }

    /// Like [`Self::send_until_answered`], from a place that was taken.
    pub(crate) async fn send_from(
        &self,
        place: ServerPlace,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<Box<LiveAnswer>, Refusal> {
        let mut sends = OpenSends::default();
        let mut search = PlaceSearch::default();
        let mut failed: Option<Box<LiveAnswer>> = None;
        let mut place = Some(place);
        let mut search_at = None;
        let mut is_patient = true;
        loop {
            // What arrived while a place was looked for comes first: it may make the place needless.
            let mut report = sends.ready();
            if report.is_none() {
                if let Some(place) = place.take() {
                    if let Some(answer) = &failed {
                        self.log_again(ctx, answer);
                    }
                    self.start_send(ctx, progress, place, &mut sends);
                    is_patient = true;
                    search_at = self.patience(ctx).map(|patience| Instant::now() + patience);
                }
                report = wait_for_report(&mut sends, search_at).await;
            }
            match report {
                Some(report) => {
                    let is_last = sends.is_empty();
                    progress.is_sending.store(!is_last, Ordering::Relaxed);
                    match self.take_report(ctx, progress, report).await? {
                        ExchangeStep::Answered(answer) => {
                            self.note_left(ctx, &sends, &answer.server);
                            return Ok(answer);
                        }
                        ExchangeStep::Failed(answer) => failed = Some(answer),
                        ExchangeStep::Unanswered => {}
                    }
                }
                None if is_patient => {
                    is_patient = false;
                    self.note_silent(&sends);
                }
                None => {}
            }
            if place.is_some() {
                continue;
            }
            match self.take_place(ctx, progress).await {
                Ok(found) => place = Some(found),
                Err(error) if sends.is_empty() => {
                    return failed.ok_or_else(|| self.refusal_without_place(ctx, progress, error));
                }
                Err(error) => {
                    let now = self.shared.clock.now();
                    if let Some(obstacle) = search.note_none(&error, now) {
                        self.log_kept(ctx, sends.servers(), obstacle);
                    }
                    search_at = search.wait().map(|wait| Instant::now() + wait);
                }
            }
        }
    }

    fn start_send<'a>(
        &'a self,
        ctx: &'a CallContext,
        progress: &mut CallProgress,
        place: ServerPlace,
        sends: &mut OpenSends<'a>,
    ) {
        let sent_at = self.shared.clock.now();
        let remaining = ctx.expires_at.since(sent_at);
        let ends_at = Instant::now() + remaining;
        let server = place.server().clone();
        self.shared.metrics.note_send(ctx.kind, progress.sends > 0);
        let request = self.write_call(ctx, progress, &server, remaining);
        progress.tried.push(server.id.clone());
        progress.sends += 1;
        info!(id = %ctx.id, decision = "sent", route = %ctx.route, server = %server.id,
            load = server.counters.load(sent_at), send = progress.sends,
            left_ms = remaining.as_millis() as u64, "request");
        let departure = ctx.trace.presence.time_departure(self.shared.metrics.departures());
        let is_sent = progress.is_sending.clone();
        let target = server.clone();
        let report = async move {
            let (codec, paths) = (&self.codec, &self.shared.paths);
            let outcome =
                send_call(codec, paths, &ctx.id, place, request, ends_at, departure, &is_sent)
                    .await;
            SendReport { server: target, sent_at, outcome }
        };
        sends.push(server, report.boxed());
    }

    /// Applies the outcome of one send. Fails where the request may have run and must not run again.
    async fn take_report(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
        report: SendReport,
    ) -> Result<ExchangeStep, Refusal> {
        let SendReport { server, sent_at, outcome } = report;
        let now = self.shared.clock.now();
        match outcome {
            SendOutcome::Answer(answer, facts) => {
                progress.may_have_run = true;
                server.counters.note_progress(now);
                self.shared.note_facts(&server, &facts, sent_at, now);
                let failed = answer.head.status.is_server_error() && ctx.kind.is_retryable();
                Ok(if failed {
                    ExchangeStep::Failed(answer)
                } else {
                    ExchangeStep::Answered(answer)
                })
            }
            SendOutcome::NotSent(error) => {
                progress.sends -= 1;
                server.counters.note_failure(now, FAILURE_BACKOFF);
                self.shared.report_stall(&server);
                info!(id = %ctx.id, decision = "not-sent", server = %server.id, why = %error,
                    "request");
                Ok(ExchangeStep::Unanswered)
            }
            SendOutcome::NotRun(facts) => {
                server.counters.note_failure(now, ANSWERED_BACKOFF);
                let why = if facts.verdict == Verdict::OtherServer {
                    "another server has the address"
                } else {
                    self.shared.note_facts(&server, &facts, sent_at, now);
                    "server did not run the request"
                };
                info!(id = %ctx.id, decision = "not-run", server = %server.id, why, "request");
                Ok(ExchangeStep::Unanswered)
            }
            SendOutcome::Lost(why) => {
                progress.may_have_run = true;
                let busy = server.counters.progressed_within(now, STALL_THRESHOLD);
                let waited_ms = now.since(sent_at).as_millis() as u64;
                server.counters.note_failure(now, FAILURE_BACKOFF);
                self.shared.report_stall(&server);
                self.shared.metrics.note_loss(ctx.kind, why);
                info!(id = %ctx.id, decision = "lost", server = %server.id, %why, waited_ms, busy,
                    "request");
                if why.is_broken_connection() {
                    progress.crashes += 1;
                    check_crash(&self.shared, ctx, &server).await;
                }
                if ctx.kind.is_retryable() {
                    Ok(ExchangeStep::Unanswered)
                } else {
                    Err(self.unresolved_refusal(ctx))
                }
            }
        }
    }

    /// How long a server may be silent before another one is looked for; `None` if the request must
    /// not be sent to a second one.
    fn patience(&self, ctx: &CallContext) -> Option<Duration> {
        let remaining = ctx.expires_at.since(self.shared.clock.now());
        match ctx.kind {
            kind if !kind.is_retryable() => None,
            RequestKind::Stream { .. } => Some(FIRST_EVENT_TIMEOUT),
            _ => Some(remaining / 2),
        }
    }

    /// Records that servers have been silent for too long. One that works on other requests is not
    /// held back for them.
    fn note_silent(&self, sends: &OpenSends<'_>) {
        let now = self.shared.clock.now();
        for server in sends.servers() {
            if !server.counters.progressed_within(now, STALL_THRESHOLD) {
                self.note_stalled(server);
            }
        }
    }

    /// Puts a server in back-off that makes no progress on any request, and reports it.
    pub(crate) fn note_stalled(&self, server: &BackendServer) {
        server.counters.note_failure(self.shared.clock.now(), FAILURE_BACKOFF);
        self.shared.report_stall(server);
    }

    /// Records that the request leaves servers that were silent, for one that has answered.
    fn note_left(&self, ctx: &CallContext, sends: &OpenSends<'_>, answered: &BackendServer) {
        for server in sends.servers() {
            let why = LossCause::NoAnswer;
            self.shared.metrics.note_loss(ctx.kind, why);
            info!(id = %ctx.id, decision = "moved", from = %server.id, to = %answered.id, %why,
                "request");
        }
    }

    fn log_again(&self, ctx: &CallContext, failed: &LiveAnswer) {
        let now = self.shared.clock.now();
        failed.server.counters.note_failure(now, ANSWERED_BACKOFF);
        let status = failed.head.status.as_u16();
        info!(id = %ctx.id, decision = "again", server = %failed.server.id, status,
            why = "server failed", "request");
    }

    /// Logs that a request stays at servers that are silent, and why.
    pub(crate) fn log_kept(
        &self,
        ctx: &CallContext,
        servers: &[BackendServer],
        obstacle: SendObstacle,
    ) {
        for server in servers {
            info!(id = %ctx.id, decision = "kept", server = %server.id, %obstacle, "request");
        }
    }

    /// The refusal of a request for which there is no place.
    fn refusal_without_place(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        error: PlaceError,
    ) -> Refusal {
        match error {
            PlaceError::HeldBack(refusal) => refusal,
            PlaceError::Obstacle(SendObstacle::Stop) => self.cut_short(progress),
            PlaceError::Obstacle(obstacle) => self.final_refusal(ctx, progress, obstacle),
        }
    }

    fn write_call(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        server: &BackendServer,
        remaining: Duration,
    ) -> Request<HeldBody> {
        let mut request = Request::new(ctx.body.clone());
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
}

/// Waits for an outcome, but not beyond `until`.
async fn wait_for_report(sends: &mut OpenSends<'_>, until: Option<Instant>) -> Option<SendReport> {
    let timer = async {
        match until {
            Some(until) => sleep_until(until).await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        report = sends.next() => report,
        () = timer => None,
    }
}
