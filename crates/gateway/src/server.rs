//! The HTTP server for operators, with the health, readiness and metrics endpoints.

use {
    crate::{core::GatewayCore, health},
    dropshot::{
        ApiDescription, ApiEndpoint, ApiEndpointVersions, Body, BuildError, ConfigDropshot,
        HttpError, HttpServer, RequestContext, ServerBuilder,
    },
    http::{Method, Response},
    slog::{Drain, Level, LevelFilter, Logger, o},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc},
    tracing_slog::TracingSlogDrain,
};

/// Context that dropshot passes to the handlers.
pub type ServerContext = Arc<GatewayCore>;
type HandlerContext = RequestContext<ServerContext>;
type HandlerResult = Result<Response<Body>, HttpError>;

const JSON: &str = "application/json";

/// Why a server could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServerError {
    /// The `listen` address cannot be bound.
    #[snafu(display("setting `listen`: cannot listen on {address}: {source}"))]
    Callers {
        /// Value of the setting.
        address: SocketAddr,
        /// Error of the bind or of reading the bound address.
        source: io::Error,
    },
    /// The `admin_listen` address cannot be bound.
    #[snafu(display("setting `admin_listen`: cannot listen on {address}: {source}"))]
    Admin {
        /// Value of the setting.
        address: SocketAddr,
        /// Error from dropshot.
        source: BuildError,
    },
    /// An endpoint conflicts with another one.
    #[snafu(display("conflicting endpoints: {detail}"))]
    Endpoints {
        /// Description of the conflict, from dropshot.
        detail: String,
    },
}

/// Starts the operators' server on the `admin_listen` address of the settings.
pub fn start_admin(core: &Arc<GatewayCore>) -> Result<HttpServer<ServerContext>, ServerError> {
    let mut api = ApiDescription::new();
    let versions = || ApiEndpointVersions::All;
    let endpoints = [
        ApiEndpoint::new("healthz".into(), healthz, Method::GET, JSON, "/healthz", versions()),
        ApiEndpoint::new("readyz".into(), readyz, Method::GET, JSON, "/readyz", versions()),
        ApiEndpoint::new("metrics".into(), metrics, Method::GET, JSON, "/metrics", versions()),
    ];
    for endpoint in endpoints {
        api.register(endpoint)
            .map_err(|error| ServerError::Endpoints { detail: error.to_string() })?;
    }
    let address = core.settings.admin_listen;
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    ServerBuilder::new(api, core.clone(), forward_warnings())
        .config(config)
        .start()
        .context(AdminSnafu { address })
}

/// Forwards dropshot's warnings and errors to the log; the info message that it logs for each
/// request is dropped.
fn forward_warnings() -> Logger {
    let drain = LevelFilter::new(TracingSlogDrain, Level::Warning);
    Logger::root(drain.fuse(), o!())
}

async fn healthz(_: HandlerContext) -> HandlerResult {
    Ok(health::healthz())
}

async fn readyz(context: HandlerContext) -> HandlerResult {
    Ok(health::readyz(context.context()))
}

async fn metrics(context: HandlerContext) -> HandlerResult {
    Ok(health::metrics(context.context()))
}
