//! Handles HTTP calls of plain services: checks them, starts their runs and creates the responses.

use {
    crate::{
        claims::{ClaimEnd, ClaimRequest, ClaimedEnd},
        core::GatewayCore,
        metrics::CountedEnd,
        refusal::{Refusal, RefusalKind},
        serve::{
            AcceptedRequest, admit, read_body, refusal_response, request_digest, whole_response,
        },
        service_run::ServiceRun,
        snapshot::service_class,
    },
    base::ServiceName,
    dropshot::Body,
    engine::WholeAnswer,
    http::{Request, Response, Uri, header},
    route::StartGuard,
    std::sync::Arc,
    stop::WorkEnd,
    tokio::sync::oneshot,
};

/// Path prefix of all service calls; the service's name follows.
pub const SERVICES_PREFIX: &str = "/v1/services/";

type CallResult = Result<WholeAnswer, Refusal>;

/// Handles a call of a plain service and returns when it is answered or refused.
pub async fn serve_service(core: &Arc<GatewayCore>, request: Request<Body>) -> Response<Body> {
    match start_call(core, request).await {
        Ok(answer) => whole_response(answer),
        Err(refusal) => refusal_response(core, &refusal),
    }
}

async fn start_call(core: &Arc<GatewayCore>, request: Request<Body>) -> CallResult {
    let accepted = AcceptedRequest::new(core, request.headers())?;
    accepted.work.set_kind("call");
    let work = accepted.work.clone();
    let result = run_call(core, accepted, request).await;
    result.inspect_err(|refusal| core.end_refused(&work, refusal, refusal.outcome))
}

async fn run_call(
    core: &Arc<GatewayCore>,
    accepted: AcceptedRequest,
    request: Request<Body>,
) -> CallResult {
    let AcceptedRequest { snapshot, digest, identity, context, work } = accepted;
    let workspace = identity.workspace;
    let (service, path) = split_path(request.uri())?;
    let spec = snapshot.service(&service, &workspace.id).ok_or_else(|| {
        let detail = format!("workspace `{}` has no service `{service}`", workspace.id);
        Refusal::not_run(RefusalKind::UnknownService, detail)
    })?;
    let idempotent = context.key.is_none() && spec.idempotent;
    let method = request.method().clone();
    let content_type = request.headers().get(header::CONTENT_TYPE).cloned();
    let accept = request.headers().get(header::ACCEPT).cloned();
    let body = read_body(core, &context, request).await?;
    let start = admit(core, &workspace, &context).await?;
    let meters = core.meters.class(&workspace.id, &service_class(&service));
    let run = ServiceRun {
        service,
        method,
        path,
        content_type,
        accept,
        body,
        context,
        digest,
        workspace,
        meters,
        idempotent,
        work,
    };
    let (result_sender, result_receiver) = oneshot::channel();
    core.runs.spawn(run_to_end(core.clone(), run, result_sender, start));
    result_receiver.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(RefusalKind::NoAnswer, "the call ended without an answer"))
    })
}

async fn run_to_end(
    core: Arc<GatewayCore>,
    run: ServiceRun,
    mut result_sender: oneshot::Sender<CallResult>,
    _start: StartGuard,
) {
    if run.context.key.is_some() {
        return run_claimed(&core, &run, result_sender).await;
    }
    if !run.idempotent {
        // The call may already have had part of its effect, so it is not cancelled when the caller
        // disconnects.
        let _ = result_sender.send(run.run(&core).await);
        return;
    }
    tokio::select! {
        biased;
        result = run.run(&core) => drop(result_sender.send(result)),
        () = result_sender.closed() => run.meters.note_end(CountedEnd::CallerLeft),
    }
}

async fn run_claimed(
    core: &GatewayCore,
    run: &ServiceRun,
    result_sender: oneshot::Sender<CallResult>,
) {
    let Some(request) = claim_request(core, run) else { return };
    core.meters.claims.inc();
    let result = match core.claims.claim(request).await {
        ClaimEnd::Answered(answer) => {
            run.meters.note_end(CountedEnd::StoredAnswer);
            run.work.end(WorkEnd::Whole);
            Ok(answer)
        }
        ClaimEnd::Refused(refusal) => {
            run.meters.note_end(refusal.outcome.counted());
            core.end_refused(&run.work, &refusal, refusal.outcome);
            Err(refusal)
        }
        ClaimEnd::Own(claim) => {
            let result = run.run(core).await;
            let end = match result.clone() {
                Ok(answer) => ClaimedEnd::Answered(answer),
                Err(refusal) => ClaimedEnd::Refused(refusal),
            };
            // The answer is sent first, so that the caller does not wait for the write of the claim.
            let _ = result_sender.send(result);
            core.claims.finish(claim, end.state());
            return;
        }
    };
    let _ = result_sender.send(result);
}

fn claim_request(core: &GatewayCore, run: &ServiceRun) -> Option<ClaimRequest> {
    let call = format!("{} /{}{}", run.method, run.service, run.path);
    Some(ClaimRequest {
        workspace: run.workspace.id.clone(),
        key: run.context.key.clone()?,
        digest: request_digest(&call, &run.body),
        time_left: run.context.deadline.since(core.now()),
    })
}

/// Splits a URI into the service's name and the rest, which is the path and query that the service
/// receives, unchanged.
fn split_path(uri: &Uri) -> Result<(ServiceName, String), Refusal> {
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::new(name).map_err(|error| {
        Refusal::not_run(RefusalKind::UnknownService, format!("service name: {error}"))
    })?;
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service, format!("/{path}{query}")))
}
