//! Endpoints of the operators' HTTP interface.

use {
    crate::{
        net::loads::LoadTable,
        operator::{
            metrics::ControllerMetrics,
            tickets::{MAX_PAGE, TicketService},
            views::{claim_view, groups_view, hosts_view, members_view, state_view},
        },
        state::node::NodeCore,
    },
    admin::{AdminError, SubmitRequest},
    base::{IdempotencyKey, TicketNumber, WorkspaceId},
    dropshot::{
        ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, Path, Query, RequestContext,
        ServerBuilder, UntypedBody, endpoint,
    },
    http::{Response, StatusCode, header::CONTENT_TYPE},
    infra::TableStore,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{net::SocketAddr, sync::Arc},
};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// State shared by all endpoints.
pub struct AdminContext {
    /// The node whose state the endpoints show.
    pub node: Arc<NodeCore>,
    /// Loads of the gateways.
    pub loads: Arc<LoadTable>,
    /// Submits and reads tickets.
    pub tickets: TicketService,
    /// Table service from which claims are read.
    pub table: Arc<dyn TableStore>,
    /// Metrics that `/metrics` returns.
    pub metrics: Arc<ControllerMetrics>,
}

/// The running HTTP server.
pub type AdminServer = HttpServer<Arc<AdminContext>>;

type AnyResponse = Result<Response<Body>, HttpError>;

#[derive(Deserialize, JsonSchema)]
struct TicketPath {
    number: u64,
}

#[derive(Deserialize, JsonSchema)]
struct PageQuery {
    after: Option<u64>,
    limit: Option<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct ClaimPath {
    workspace: String,
    key: String,
}

/// Starts the HTTP server; fails if the address cannot be bound.
pub fn start_admin(context: Arc<AdminContext>, listen: SocketAddr) -> Result<AdminServer, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(submit_ticket)
        .and_then(|()| api.register(show_ticket))
        .and_then(|()| api.register(list_tickets))
        .and_then(|()| api.register(show_state))
        .and_then(|()| api.register(show_groups))
        .and_then(|()| api.register(show_hosts))
        .and_then(|()| api.register(show_members))
        .and_then(|()| api.register(show_claim))
        .and_then(|()| api.register(show_metrics))
        .and_then(|()| api.register(show_health))
        .and_then(|()| api.register(show_readiness));
    registered.map_err(|error| error.to_string())?;
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    // Only warnings and errors of the HTTP server are logged, not every request.
    let drain = slog::LevelFilter::new(tracing_slog::TracingSlogDrain, slog::Level::Warning);
    let log = slog::Logger::root(slog::Fuse(drain), slog::o!());
    ServerBuilder::new(api, context, log).config(config).start().map_err(|error| error.to_string())
}

#[endpoint { method = POST, path = "/v1/tickets" }]
async fn submit_ticket(rqctx: RequestContext<Arc<AdminContext>>, body: UntypedBody) -> AnyResponse {
    let context = rqctx.context();
    match serde_json::from_slice::<SubmitRequest>(body.as_bytes()) {
        Ok(request) => json(StatusCode::OK, &context.tickets.submit(request).await),
        Err(error) => refuse(StatusCode::BAD_REQUEST, format!("the body is no ticket: {error}")),
    }
}

#[endpoint { method = GET, path = "/v1/tickets/{number}" }]
async fn show_ticket(
    rqctx: RequestContext<Arc<AdminContext>>,
    path: Path<TicketPath>,
) -> AnyResponse {
    let number = TicketNumber(path.into_inner().number);
    match rqctx.context().tickets.show(number).await {
        Ok(Some(view)) => json(StatusCode::OK, &view),
        Ok(None) => refuse(StatusCode::NOT_FOUND, format!("no ticket has the number {number}")),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

#[endpoint { method = GET, path = "/v1/tickets" }]
async fn list_tickets(
    rqctx: RequestContext<Arc<AdminContext>>,
    query: Query<PageQuery>,
) -> AnyResponse {
    let query = query.into_inner();
    let after = TicketNumber(query.after.unwrap_or(0));
    match rqctx.context().tickets.list(after, query.limit.unwrap_or(MAX_PAGE)).await {
        Ok(page) => json(StatusCode::OK, &page),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

#[endpoint { method = GET, path = "/v1/state" }]
async fn show_state(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    json(StatusCode::OK, &state_view(&rqctx.context().node))
}

#[endpoint { method = GET, path = "/v1/groups" }]
async fn show_groups(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    json(StatusCode::OK, &groups_view(&rqctx.context().node))
}

#[endpoint { method = GET, path = "/v1/hosts" }]
async fn show_hosts(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    json(StatusCode::OK, &hosts_view(&rqctx.context().node))
}

#[endpoint { method = GET, path = "/v1/members" }]
async fn show_members(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    let context = rqctx.context();
    json(StatusCode::OK, &members_view(&context.node, &context.loads))
}

#[endpoint { method = GET, path = "/v1/keys/{workspace}/{key}" }]
async fn show_claim(
    rqctx: RequestContext<Arc<AdminContext>>,
    path: Path<ClaimPath>,
) -> AnyResponse {
    let path = path.into_inner();
    let names = (WorkspaceId::new(&path.workspace), IdempotencyKey::new(&path.key));
    let (workspace, key) = match names {
        (Ok(workspace), Ok(key)) => (workspace, key),
        (Err(error), _) | (_, Err(error)) => {
            return refuse(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    match claim_view(&*rqctx.context().table, &workspace, &key).await {
        Ok(Some(view)) => json(StatusCode::OK, &view),
        Ok(None) => refuse(StatusCode::NOT_FOUND, format!("{workspace} has no claim for {key}")),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    let context = rqctx.context();
    let text = context.metrics.encode(&context.node);
    respond(StatusCode::OK, "application/openmetrics-text; version=1.0.0", text)
}

#[endpoint { method = GET, path = "/healthz" }]
async fn show_health(_rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    respond(StatusCode::OK, "text/plain", "ok\n".to_owned())
}

#[endpoint { method = GET, path = "/readyz" }]
async fn show_readiness(rqctx: RequestContext<Arc<AdminContext>>) -> AnyResponse {
    match rqctx.context().node.current() {
        Some(_) => respond(StatusCode::OK, "text/plain", "current\n".to_owned()),
        None => {
            let text = "isolated: neither the table service nor a majority answers\n".to_owned();
            respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
        }
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> AnyResponse {
    let text = serde_json::to_string(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(status, "application/json", text)
}

fn refuse(status: StatusCode, detail: String) -> AnyResponse {
    json(status, &AdminError { detail: SmolStr::new(detail) })
}

fn respond(status: StatusCode, kind: &str, text: String) -> AnyResponse {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
