//! Sends one request until a server answers it.
//!
//! A request stays at a silent server until another one has it: the other server is asked for an
//! answer first, at a place that was taken there, and whichever answers first keeps the request. What
//! can't come any more, because the connection broke or the answer is none, is not waited for.

use {
    crate::{
        codec::{BackendCall, RequestCodec, Verdict},
        crash::note_break,
        first_event::wait_for_event,
        held_body::HeldBody,
        loss::LossCause,
        obstacle::SendObstacle,
        place::{PlaceError, PlaceSearch, ServerPlace},
        progress::CallProgress,
        pump::STALL_THRESHOLD,
        request::{Refusal, RequestKind},
        send::{LiveAnswer, SendOutcome, send_call},
        sends::{OpenSends, SendReport},
        server::{BackendServer, ServerId},
        service::{
            ANSWERED_BACKOFF, CallContext, FAILURE_BACKOFF, FIRST_EVENT_TIMEOUT, RelayService,
        },
    },
    futures::FutureExt,
    http::Request,
    std::{future::pending, time::Duration},
    tokio::time::{Instant, sleep_until},
    tracing::info,
};

/// Like [`FIRST_EVENT_TIMEOUT`], while room is scarce and the server works on other requests: it is silent
/// because it is full, and a second one would work on the request too. Leaves another server time before
/// callers leave, after two seconds.
const SCARCE_PATIENCE: Duration = Duration::from_millis(1_400);

/// What counts as the answer to a stream. For other requests it is the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamSign {
    /// The head, unless the stream may still get its answer from another server.
    Head,
    /// The first event, or the whole end of a stream that is resumed.
    Event,
}

/// What one outcome means for its request.
enum ExchangeStep {
    /// The request has its answer.
    Answered(Box<LiveAnswer>),
    /// The head of a stream is there, and its first event is not.
    Begins(Box<LiveAnswer>),
    /// A server failed a request that another one may still answer.
    Failed(Box<LiveAnswer>),
    /// There is no answer of that server.
    Unanswered,
}

/// The failure of a server that is passed on if no other server answers in time.
struct HeldFailure {
    answer: Box<LiveAnswer>,
    until: Instant,
    is_noted: bool,
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
        self.check_room(ctx, progress)?;
        match self.take_place(ctx, progress, &[]).await {
            Ok(place) => self.send_from(place, ctx, progress, StreamSign::Head).await,
            Err(error) => Err(self.refusal_without_place(ctx, progress, error)),
        }
    }

    /// Like [`Self::send_until_answered`], from a place that was taken.
    async fn send_from(
        &self,
        place: ServerPlace,
        ctx: &CallContext,
        progress: &mut CallProgress,
        sign: StreamSign,
    ) -> Result<Box<LiveAnswer>, Refusal> {
        let mut sends = OpenSends::default();
        let mut search = PlaceSearch::default();
        let mut failure: Option<HeldFailure> = None;
        let mut place = Some(place);
        let mut search_at = None;
        let mut sent_at = Instant::now();
        let mut silent = Vec::new();
        loop {
            // What arrived while a place was looked for comes first: it may make the place needless.
            let mut report = sends.ready();
            if report.is_none() {
                if let Some(place) = place.take() {
                    self.note_again(ctx, failure.as_mut());
                    self.start_send(ctx, progress, place, &mut sends);
                    sent_at = Instant::now();
                    search_at = self.patience(ctx).map(|patience| Instant::now() + patience);
                }
                let failure_until = failure.as_ref().map(|failure| failure.until);
                let until = search_at.into_iter().chain(failure_until).min();
                report = wait_for_report(&mut sends, until).await;
            }
            match report {
                Some(report) => {
                    progress.record.set_open(!sends.is_empty());
                    let is_alone = sends.is_empty() && sign == StreamSign::Head;
                    match self.take_report(ctx, progress, report, is_alone).await? {
                        ExchangeStep::Answered(answer) => {
                            self.note_left(ctx, &sends, &answer.server);
                            return Ok(answer);
                        }
                        ExchangeStep::Begins(answer) => {
                            self.await_event(ctx, progress, answer, &mut sends);
                            continue;
                        }
                        ExchangeStep::Failed(answer) => {
                            let left = ctx.expires_at.since(self.shared.clock.now());
                            let until = Instant::now() + left / 2;
                            failure = Some(HeldFailure { answer, until, is_noted: false });
                        }
                        ExchangeStep::Unanswered => {}
                    }
                    // It was taken before this outcome was known.
                    place = None;
                }
                None => {
                    let stalls = self.note_silent(&sends, &mut silent);
                    progress.is_disturbed |= stalls;
                    let is_over = failure.as_ref().is_some_and(|held| held.until <= Instant::now());
                    let patient_until = sent_at + SCARCE_PATIENCE;
                    let is_patient = !stalls && !is_over && self.has_scarce_room(ctx);
                    if is_patient && Instant::now() < patient_until {
                        search_at = Some(patient_until);
                        continue;
                    }
                }
            }
            if let Some(held) = failure.take_if(|failure| failure.until <= Instant::now()) {
                return Ok(held.answer);
            }
            match self.take_place(ctx, progress, sends.servers()).await {
                Ok(found) => place = Some(found),
                Err(error) if sends.is_empty() => {
                    return match failure {
                        Some(held) => Ok(held.answer),
                        None => Err(self.refusal_without_place(ctx, progress, error)),
                    };
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

    /// Sends a stream to another server beside the one that has it. Fails with the reason if there is no
    /// place, and without one if no server has answered.
    pub(crate) async fn send_elsewhere(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<Box<LiveAnswer>, Option<PlaceError>> {
        let place = self.take_place(ctx, progress, &[]).await.map_err(Some)?;
        self.send_from(place, ctx, progress, StreamSign::Event).await.map_err(|_| None)
    }

    /// Waits on for the first event of a stream whose head was received.
    fn await_event<'a>(
        &'a self,
        ctx: &CallContext,
        progress: &CallProgress,
        answer: Box<LiveAnswer>,
        sends: &mut OpenSends<'a>,
    ) {
        let sent_at = self.shared.clock.now();
        let ends_at = Instant::now() + ctx.expires_at.since(sent_at);
        let after = progress.last_event.or(ctx.resumed_after);
        let buffers = &self.shared.buffers;
        let shares = [buffers.open(), buffers.open()];
        let server = answer.server.clone();
        let target = server.clone();
        let report = async move {
            let outcome = wait_for_event(answer, after, shares, ends_at).await;
            SendReport { server: target, sent_at, outcome }
        };
        sends.push(server, report.boxed());
    }

    fn start_send<'a>(
        &'a self,
        ctx: &'a CallContext,
        progress: &CallProgress,
        place: ServerPlace,
        sends: &mut OpenSends<'a>,
    ) {
        let sent_at = self.shared.clock.now();
        let remaining = ctx.expires_at.since(sent_at);
        let ends_at = Instant::now() + remaining;
        let server = place.server().clone();
        let before = progress.record.reached_count().max(sends.servers().len());
        self.shared.metrics.note_send(ctx.kind, before > 0);
        let request = self.write_call(ctx, progress, &server, remaining);
        info!(id = %ctx.id, decision = "sent", route = %ctx.route, server = %server.id,
            load = server.counters.load(sent_at), send = before + 1,
            left_ms = remaining.as_millis() as u64,
            expected_ms = place.expected().map(|expected| expected.wait.as_millis() as u64),
            spread_ms = place.expected().map(|expected| expected.spread.as_millis() as u64),
            "request");
        let departure = ctx.trace.presence.time_departure(self.shared.metrics.departures());
        let record = progress.record.clone();
        record.note_attempt(&server.id);
        let target = server.clone();
        let report = async move {
            let (codec, paths) = (&self.codec, &self.shared.paths);
            let outcome =
                send_call(codec, paths, &ctx.id, place, request, ends_at, departure, &record).await;
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
        is_alone: bool,
    ) -> Result<ExchangeStep, Refusal> {
        let SendReport { server, sent_at, outcome } = report;
        let now = self.shared.clock.now();
        if !progress.tried.contains(&server.id) {
            progress.tried.push(server.id.clone());
        }
        match outcome {
            SendOutcome::Answer(answer, facts) => {
                progress.may_have_run = true;
                server.counters.note_progress(now);
                self.shared.note_facts(&server, &facts, sent_at, now);
                let status = answer.head.status;
                if status.is_server_error() {
                    server.counters.note_failed_request(now);
                }
                Ok(if status.is_server_error() && ctx.kind.is_retryable() {
                    progress.is_disturbed = true;
                    ExchangeStep::Failed(answer)
                } else if status.is_success() && ctx.kind.is_stream() && !is_alone {
                    ExchangeStep::Begins(answer)
                } else {
                    ExchangeStep::Answered(answer)
                })
            }
            SendOutcome::Begun(answer) => Ok(ExchangeStep::Answered(answer)),
            SendOutcome::OutOfTime => Ok(ExchangeStep::Unanswered),
            SendOutcome::NotSent(error) => {
                progress.is_disturbed = true;
                self.note_stalled(&server);
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
                progress.is_disturbed = true;
                progress.may_have_run = true;
                let busy = server.counters.progressed_within(now, STALL_THRESHOLD);
                let waited_ms = now.since(sent_at).as_millis() as u64;
                self.note_stalled(&server);
                self.shared.metrics.note_loss(ctx.kind, why);
                info!(id = %ctx.id, decision = "lost", server = %server.id, %why, waited_ms, busy,
                    "request");
                note_break(&self.shared, ctx, &progress.record, &server, why, false).await;
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

    /// Records that servers have been silent for too long, once for each. One that works on other
    /// requests is not held back for them. Returns whether one of them makes no progress.
    fn note_silent(&self, sends: &OpenSends<'_>, noted: &mut Vec<ServerId>) -> bool {
        let mut stalls = false;
        let now = self.shared.clock.now();
        for server in sends.servers() {
            let is_busy = server.counters.progressed_within(now, STALL_THRESHOLD);
            stalls |= !is_busy;
            if noted.contains(&server.id) {
                continue;
            }
            noted.push(server.id.clone());
            if !is_busy {
                self.note_stalled(server);
            }
        }
        stalls
    }

    /// Puts a server in back-off that failed or makes no progress, and reports it.
    pub(crate) fn note_stalled(&self, server: &BackendServer) {
        let now = self.shared.clock.now();
        server.counters.note_failure(now, FAILURE_BACKOFF);
        server.counters.note_failed_request(now);
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

    /// Records, once, that a request goes to another server after one has failed it.
    fn note_again(&self, ctx: &CallContext, failure: Option<&mut HeldFailure>) {
        let Some(failure) = failure.filter(|failure| !failure.is_noted) else { return };
        failure.is_noted = true;
        let server = &failure.answer.server;
        server.counters.note_failure(self.shared.clock.now(), ANSWERED_BACKOFF);
        let status = failure.answer.head.status.as_u16();
        info!(id = %ctx.id, decision = "again", server = %server.id, status,
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
