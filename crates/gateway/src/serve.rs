//! Handles HTTP requests for completions: checks them, starts their runs and creates the responses.

use {
    crate::{
        claims::{ClaimEnd, ClaimRequest, ClaimedEnd},
        collector::AnswerCollector,
        completion::CompletionRequest,
        core::GatewayCore,
        metrics::CountedEnd,
        refusal::{Refusal, RefusalKind},
        request_context::{RequestContext, parse_bearer_key},
        run::{CompletionRun, RunEnd},
        sink::{AnswerSink, AnswerStart},
        snapshot::{CallerIdentity, KeyDigest, RoutingSnapshot},
        workspace::WorkspaceState,
    },
    base::ModelName,
    bytes::Bytes,
    dropshot::Body,
    engine::{CompletionKind, WholeAnswer},
    http::{HeaderMap, HeaderValue, Request, Response, header},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    infra::claims::hex,
    route::{AdmitRefusal, StartGuard},
    sha2::{Digest, Sha256},
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    stop::{WorkEnd, WorkGuard},
    tokio::time::timeout,
};

/// What the headers of a request say.
pub struct AcceptedRequest {
    /// The state when the request arrived.
    pub snapshot: Arc<RoutingSnapshot>,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
    /// Who sent the request.
    pub identity: CallerIdentity,
    /// Deadline, priority and idempotency key.
    pub context: RequestContext,
    /// Its entry in the list of open requests.
    pub work: Arc<WorkGuard>,
}

impl AcceptedRequest {
    /// Reads the headers of a request that arrives now.
    ///
    /// # Errors
    ///
    /// Refuses the request if this gateway is isolated, or if the headers are not valid.
    pub fn new(core: &GatewayCore, headers: &HeaderMap) -> Result<Self, Refusal> {
        let arrived = core.now();
        let snapshot = core.current_state()?;
        let digest = parse_bearer_key(headers)?;
        let identity = core.identify(&snapshot, &digest)?;
        let context = RequestContext::parse(headers, arrived, core.bounds())?;
        let work = core.begin_work(&identity.workspace.id, &context);
        Ok(Self { snapshot, digest, identity, context, work })
    }
}

/// Handles a completion request. Returns when the answer has started or the request is refused.
pub async fn serve_completion(
    core: &Arc<GatewayCore>,
    kind: CompletionKind,
    request: Request<Body>,
) -> Response<Body> {
    match start_completion(core, kind, request).await {
        Ok(start) => respond(core, start),
        Err(refusal) => refusal_response(core, &refusal),
    }
}

/// Counts a refusal and creates its response.
pub fn refusal_response(core: &GatewayCore, refusal: &Refusal) -> Response<Body> {
    core.meters.note_refusal(refusal.kind);
    refusal.response()
}

async fn start_completion(
    core: &Arc<GatewayCore>,
    kind: CompletionKind,
    request: Request<Body>,
) -> Result<AnswerStart, Refusal> {
    let accepted = AcceptedRequest::new(core, request.headers())?;
    accepted.work.set_kind("completion");
    let work = accepted.work.clone();
    let start = start_run(core, kind, accepted, request).await;
    start.inspect_err(|refusal| core.end_refused(&work, refusal, refusal.outcome))
}

async fn start_run(
    core: &Arc<GatewayCore>,
    kind: CompletionKind,
    accepted: AcceptedRequest,
    request: Request<Body>,
) -> Result<AnswerStart, Refusal> {
    let AcceptedRequest { snapshot, digest, identity, context, work } = accepted;
    let body = read_body(core, &context, request).await?;
    // The digest covers the body as received, so a streamed and an unstreamed request with the same
    // idempotency key differ.
    let claim_digest = request_digest(kind.path(), &body);
    let request = CompletionRequest::parse(kind, body)?;
    if request.stream {
        work.set_kind("stream");
    }
    check_model(&snapshot, &request.model, &identity)?;
    let workspace = identity.workspace;
    let start = admit(core, &workspace, &context).await?;
    let meters = core.meters.class(&workspace.id, &request.model);
    let run = CompletionRun { request, context, digest, claim_digest, workspace, meters, work };
    let (sink, started) = new_sink(&run);
    core.runs.spawn(run_to_end(core.clone(), run, sink, start));
    started
        .await
        .map_err(|_| Refusal::unknown(RefusalKind::NoAnswer, "the request ended without an answer"))
}

fn new_sink(run: &CompletionRun) -> (AnswerSink, tokio::sync::oneshot::Receiver<AnswerStart>) {
    if run.request.stream {
        return AnswerSink::stream();
    }
    AnswerSink::collect(AnswerCollector::new(run.request.kind))
}

async fn run_to_end(
    core: Arc<GatewayCore>,
    run: CompletionRun,
    sink: AnswerSink,
    _start: StartGuard,
) {
    let Some(key) = run.context.key.clone() else {
        run_and_respond(&core, &run, sink).await;
        return;
    };
    let request = ClaimRequest {
        workspace: run.workspace.id.clone(),
        key,
        digest: run.claim_digest.clone(),
        time_left: run.context.deadline.since(core.now()),
    };
    let sink = sink.detach();
    core.meters.claims.inc();
    match core.claims.claim(request).await {
        ClaimEnd::Own(claim) => {
            let end = run_and_respond(&core, &run, sink).await;
            core.claims.finish(claim, end.state());
        }
        ClaimEnd::Answered(answer) => {
            run.meters.note_end(CountedEnd::StoredAnswer);
            run.work.end(WorkEnd::Whole);
            sink.finish_whole(answer);
        }
        ClaimEnd::Refused(refusal) => {
            run.meters.note_end(refusal.outcome.counted());
            core.end_refused(&run.work, &refusal, refusal.outcome);
            sink.refuse(refusal);
        }
    }
}

async fn run_and_respond(
    core: &Arc<GatewayCore>,
    run: &CompletionRun,
    mut sink: AnswerSink,
) -> ClaimedEnd {
    let end = run.run(core, &mut sink).await;
    run.note_end(core, &end, sink.has_sent_events());
    match end {
        RunEnd::Whole => match sink.finish() {
            Some(answer) => ClaimedEnd::Answered(answer),
            None => ClaimedEnd::TooLarge,
        },
        RunEnd::Answer(answer) => {
            sink.finish_whole(answer.clone());
            ClaimedEnd::Answered(answer)
        }
        RunEnd::Refused(refusal) => {
            let events_sent = sink.has_sent_events();
            sink.refuse(refusal.clone());
            ClaimedEnd::Refused(if events_sent { refusal.as_cut() } else { refusal })
        }
        RunEnd::CallerLeft => {
            let detail = "the caller closed its connection";
            ClaimedEnd::Refused(Refusal::unknown(RefusalKind::NoAnswer, detail))
        }
    }
}

/// Admits a request under this gateway's share of the workspace's limit.
///
/// A request over the share waits for one answer from the controller, which may contain a grant,
/// for at most two poll intervals.
///
/// # Errors
///
/// Refuses the request if the share is still exhausted after that, or if this process may end before
/// its deadline.
pub async fn admit(
    core: &GatewayCore,
    workspace: &WorkspaceState,
    context: &RequestContext,
) -> Result<StartGuard, Refusal> {
    core.check_stop(context.deadline)?;
    let share_update = core.shares_updated.notified();
    if let Ok(start) = workspace.gate.try_start(core.now()) {
        return Ok(start);
    }
    let max_wait = Duration::from_millis(core.settings.controller_poll_ms * 2);
    let remaining = context.deadline.since(core.now());
    let waiting = timeout(max_wait.min(remaining), share_update);
    let _ = core.wait_unless_stopped(context.deadline, waiting).await?;
    workspace.gate.try_start(core.now()).map_err(|refusal| limit_reached(workspace, refusal))
}

fn limit_reached(workspace: &WorkspaceState, refusal: AdmitRefusal) -> Refusal {
    let (what, wait) = match refusal {
        AdmitRefusal::InFlight { retry_after } => ("requests in flight", retry_after),
        AdmitRefusal::Rate { retry_after } => ("requests a second", retry_after),
    };
    let detail = format!("workspace `{}` is at its limit of {what}", workspace.id);
    Refusal::not_run(RefusalKind::LimitReached, detail).retry_after(wait)
}

fn check_model(
    snapshot: &RoutingSnapshot,
    model: &ModelName,
    identity: &CallerIdentity,
) -> Result<(), Refusal> {
    if snapshot.has_model(model, &identity.workspace.id) {
        return Ok(());
    }
    let detail = format!("workspace `{}` has no model `{model}`", identity.workspace.id);
    Err(Refusal::not_run(RefusalKind::UnknownModel, detail))
}

/// SHA-256 of a call and its body, by which a claim detects that an idempotency key is reused for a
/// different request. `call` is the path of a completion, or the method and path of a service call.
pub fn request_digest(call: &str, body: &[u8]) -> SmolStr {
    let digest = Sha256::new().chain_update(call).chain_update("\n").chain_update(body).finalize();
    SmolStr::from(hex(&digest))
}

/// Reads the body of a request.
///
/// # Errors
///
/// Refuses the request if the body is too large or incomplete, if the deadline passes, or if the
/// process ends.
pub async fn read_body(
    core: &GatewayCore,
    context: &RequestContext,
    request: Request<Body>,
) -> Result<Bytes, Refusal> {
    let limit = core.settings.max_body_bytes;
    let body = Limited::new(request.into_body(), usize::try_from(limit).unwrap_or(usize::MAX));
    let remaining: Duration = context.deadline.since(core.now());
    // A request that this process can't finish is read to its end nevertheless: a connection that is
    // closed with unread bytes may lose the refusal.
    let read = tokio::select! {
        biased;
        read = timeout(remaining, body.collect()) => read.map_err(|_| core.deadline_passed())?,
        () = core.ending() => return Err(core.stop_refusal()),
    };
    match read {
        // The bytes may be a slice of the connection's read buffer. Copying them frees the buffer,
        // which is larger than most bodies and would otherwise be held until the request ends.
        Ok(body) => Ok(Bytes::copy_from_slice(&body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body may have at most {limit} bytes");
            Err(Refusal::not_run(RefusalKind::BodyTooLarge, detail))
        }
        Err(error) => {
            let detail = format!("the body did not arrive whole: {error}");
            Err(Refusal::not_run(RefusalKind::BadRequest, detail))
        }
    }
}

fn respond(core: &GatewayCore, start: AnswerStart) -> Response<Body> {
    match start {
        AnswerStart::Stream(events) => {
            let mut response = Response::new(Body::wrap(events));
            let headers = response.headers_mut();
            let content_type = HeaderValue::from_static("text/event-stream");
            headers.insert(header::CONTENT_TYPE, content_type);
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            response
        }
        AnswerStart::Whole(answer) => whole_response(answer),
        AnswerStart::Refused(refusal) => refusal_response(core, &refusal),
    }
}

/// Creates the response for an answer that is complete and not streamed.
pub fn whole_response(answer: WholeAnswer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    if let Some(content_type) = answer.content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}
