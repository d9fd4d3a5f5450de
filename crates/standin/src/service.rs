//! Stand-in servers of plain services.
//!
//! A call of any method and path takes its time, is counted by its idempotency key, and is
//! answered with a digest of its body. A call goes on when its caller leaves.

use {
    crate::{
        engine::request::header,
        history::{HistoryBook, RefusalEntry, ServiceRun},
        serve::{internal, json},
        time::HistoryClock,
    },
    base::{HostId, ServiceName},
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Path, RequestContext,
        UntypedBody, endpoint,
    },
    engine::{LoadReport, prompt::prefix_name, wire},
    http::{Method, Response, StatusCode},
    schemars::JsonSchema,
    serde::Deserialize,
    smol_str::SmolStr,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    twox_hash::XxHash3_64,
};

/// Header with the caller's workspace.
const WORKSPACE_HEADER: &str = "x-gf-workspace";

/// One server of a plain service.
pub struct ServiceServer {
    host: HostId,
    service: ServiceName,
    run_time: Duration,
    slots: u32,
    running: AtomicU32,
    lose_answers: AtomicU32,
    history: Arc<HistoryBook>,
    clock: HistoryClock,
}

base::value_type!(
    /// The answer to a call.
    pub struct ServiceAnswer {
        /// The service.
        pub service: ServiceName,
        /// The server's host.
        pub host: HostId,
        /// Method and path.
        pub call: String,
        /// XXH3 (64 bits, seed 0) of the body, in hexadecimal digits.
        pub digest: SmolStr,
    }
);

impl ServiceServer {
    /// A server that takes `run_time` for a call and runs `slots` at once.
    pub fn new(
        host: HostId,
        service: ServiceName,
        run_time: Duration,
        slots: u32,
        history: Arc<HistoryBook>,
        clock: HistoryClock,
    ) -> Self {
        Self {
            host,
            service,
            run_time,
            slots,
            running: AtomicU32::new(0),
            lose_answers: AtomicU32::new(0),
            history,
            clock,
        }
    }

    /// Its host.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Sets how many of the next calls are never answered.
    pub fn lose_answers(&self, count: u32) {
        self.lose_answers.store(count, Ordering::Relaxed);
    }

    fn load_report(&self) -> LoadReport {
        let running = self.running.load(Ordering::Relaxed);
        LoadReport { running, queued: 0, slots: self.slots, kv_free_permille: 0 }
    }

    fn take_slot(&self) -> bool {
        let taken = self.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |running| {
            (running < self.slots).then_some(running + 1)
        });
        taken.is_ok()
    }

    fn takes_answer_away(&self) -> bool {
        let taken = self
            .lose_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| count.checked_sub(1));
        taken.is_ok()
    }

    async fn run(&self, run: ServiceRun) {
        let number = self.history.add_service_run(run);
        tokio::time::sleep(self.run_time).await;
        self.history.end_service_run(number, self.clock.now_ms());
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

type Context = RequestContext<Arc<ServiceServer>>;
type Answer = Result<Response<Body>, HttpError>;

/// All calls of a plain service.
pub fn service_api() -> Result<ApiDescription<Arc<ServiceServer>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(call_get)?;
    api.register(call_post)?;
    api.register(call_put)?;
    api.register(call_patch)?;
    api.register(call_delete)?;
    Ok(api)
}

#[derive(Deserialize, JsonSchema)]
struct CallPath {
    #[allow(dead_code, reason = "the path is read from the request, with its query")]
    path: Vec<String>,
}

#[endpoint { method = GET, path = "/{path:.*}", unpublished = true }]
async fn call_get(context: Context, _path: Path<CallPath>, body: UntypedBody) -> Answer {
    if context.request.uri().path() == wire::SERVICE_LOAD_PATH {
        return json(StatusCode::OK, &context.context().load_report());
    }
    call(context, body).await
}

#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn call_post(context: Context, _path: Path<CallPath>, body: UntypedBody) -> Answer {
    call(context, body).await
}

#[endpoint { method = PUT, path = "/{path:.*}", unpublished = true }]
async fn call_put(context: Context, _path: Path<CallPath>, body: UntypedBody) -> Answer {
    call(context, body).await
}

#[endpoint { method = PATCH, path = "/{path:.*}", unpublished = true }]
async fn call_patch(context: Context, _path: Path<CallPath>, body: UntypedBody) -> Answer {
    call(context, body).await
}

#[endpoint { method = DELETE, path = "/{path:.*}", unpublished = true }]
async fn call_delete(context: Context, _path: Path<CallPath>, body: UntypedBody) -> Answer {
    call(context, body).await
}

async fn call(context: Context, body: UntypedBody) -> Answer {
    let server = context.context();
    let run =
        read_call(server, &context).map_err(|detail| HttpError::for_bad_request(None, detail))?;
    if !server.take_slot() {
        return refuse(server, run);
    }
    let attempt = run.attempt.clone();
    let answer = ServiceAnswer {
        service: server.service.clone(),
        host: server.host.clone(),
        call: run.call.clone(),
        digest: prefix_name(XxHash3_64::oneshot(body.as_bytes())).into(),
    };
    server.run(run).await;
    if server.takes_answer_away() {
        std::future::pending::<()>().await;
    }
    let mut response = json(StatusCode::OK, &answer)?;
    if let Some(attempt) = attempt {
        let echo = attempt.as_str().parse().map_err(internal)?;
        response.headers_mut().insert(wire::ATTEMPT_HEADER, echo);
    }
    Ok(response)
}

fn read_call(server: &ServiceServer, context: &Context) -> Result<ServiceRun, String> {
    let headers = context.request.headers();
    let method: &Method = context.request.method();
    let call = format!("{method} {}", context.request.uri());
    Ok(ServiceRun {
        host: server.host.clone(),
        attempt: header(headers, wire::ATTEMPT_HEADER)?,
        idempotency_key: header(headers, wire::IDEMPOTENCY_HEADER)?,
        workspace: header(headers, WORKSPACE_HEADER)?,
        call,
        started_ms: server.clock.now_ms(),
        ended_ms: None,
    })
}

fn refuse(server: &ServiceServer, run: ServiceRun) -> Answer {
    server.history.add_refusal(RefusalEntry {
        host: run.host,
        attempt: run.attempt,
        at_ms: run.started_ms,
        reason: SmolStr::new("full"),
    });
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &"full")?;
    let outcome = wire::OUTCOME_NOT_RUN.parse().map_err(internal)?;
    response.headers_mut().insert(wire::OUTCOME_HEADER, outcome);
    Ok(response)
}
