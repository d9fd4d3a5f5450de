//! The control address: faults are switched and histories are read here.

use {
    crate::{
        StandinError,
        fault::FaultRequest,
        serve::{json, read_json, start},
        world::World,
    },
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HandlerTaskMode, HttpError, HttpServer,
        RequestContext, UntypedBody, endpoint,
    },
    http::{Response, StatusCode},
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
    },
};

/// The world, once it is built.
pub type SharedWorld = Arc<OnceLock<Arc<World>>>;

type Context = RequestContext<SharedWorld>;
type Answer = Result<Response<Body>, HttpError>;

/// Starts the control server; it answers 503 until the world is set.
pub fn start_control(
    listen: SocketAddr,
    world: SharedWorld,
) -> Result<HttpServer<SharedWorld>, StandinError> {
    let api =
        control_api().map_err(|error| StandinError::BadServer { detail: error.to_string() })?;
    start(api, world, HandlerTaskMode::Detached, listen)
}

fn control_api() -> Result<ApiDescription<SharedWorld>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(addresses)?;
    api.register(history)?;
    api.register(table_counters)?;
    api.register(switch_fault)?;
    api.register(clear_faults)?;
    Ok(api)
}

fn world(context: &Context) -> Result<&Arc<World>, HttpError> {
    context
        .context()
        .get()
        .ok_or_else(|| HttpError::for_unavail(None, "the process is starting".to_owned()))
}

/// Where everything listens.
#[endpoint { method = GET, path = "/addresses" }]
async fn addresses(context: Context) -> Answer {
    json(StatusCode::OK, world(&context)?.addresses())
}

/// Everything that happened.
#[endpoint { method = GET, path = "/history" }]
async fn history(context: Context) -> Answer {
    json(StatusCode::OK, &world(&context)?.history())
}

/// What the table service has met.
#[endpoint { method = GET, path = "/table-counters" }]
async fn table_counters(context: Context) -> Answer {
    json(StatusCode::OK, &world(&context)?.table_counters())
}

/// Switches a fault.
#[endpoint { method = POST, path = "/faults" }]
async fn switch_fault(context: Context, body: UntypedBody) -> Answer {
    let request: FaultRequest = read_json(&body)?;
    world(&context)?.apply(request);
    json(StatusCode::OK, &())
}

/// Takes every fault back.
#[endpoint { method = DELETE, path = "/faults" }]
async fn clear_faults(context: Context) -> Answer {
    world(&context)?.clear();
    json(StatusCode::OK, &())
}
