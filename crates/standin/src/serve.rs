//! Starting dropshot servers, and their JSON bodies.

use {
    crate::{StandinError, link::NetworkLink},
    dropshot::{
        ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer,
        ServerBuilder, ServerContext, UntypedBody,
    },
    http::{Response, StatusCode, header::CONTENT_TYPE},
    serde::{Serialize, de::DeserializeOwned},
    slog::{Drain, Logger},
    std::net::SocketAddr,
    tokio_util::sync::CancellationToken,
};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A server and the network in front of it.
pub struct LinkedServer<C: ServerContext> {
    /// The server; it stops when dropped.
    pub server: HttpServer<C>,
    /// The network in front of it.
    pub link: NetworkLink,
}

/// Starts a server behind a link that listens on `listen`.
pub fn start_linked<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    mode: HandlerTaskMode,
    listen: SocketAddr,
    cancel: CancellationToken,
) -> Result<LinkedServer<C>, StandinError> {
    let server = start(api, context, mode, private_address())?;
    let link = NetworkLink::open(listen, server.local_addr(), cancel)
        .map_err(|source| StandinError::Listen { address: listen, detail: source.to_string() })?;
    Ok(LinkedServer { server, link })
}

/// Starts a server on `listen`.
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    mode: HandlerTaskMode,
    listen: SocketAddr,
) -> Result<HttpServer<C>, StandinError> {
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: mode,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, logger())
        .config(config)
        .start()
        .map_err(|error| StandinError::Listen { address: listen, detail: error.to_string() })
}

/// A loopback address whose port the operating system chooses.
pub fn private_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Passes dropshot's warnings to tracing; its lines for each request would drown the rest.
fn logger() -> Logger {
    let drain = tracing_slog::TracingSlogDrain.filter_level(slog::Level::Warning);
    Logger::root(drain.fuse(), slog::o!())
}

/// Reads a JSON body or answers 400.
pub fn read_json<T: DeserializeOwned>(body: &UntypedBody) -> Result<T, HttpError> {
    serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, format!("body: {error}")))
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<Response<Body>, HttpError> {
    let text = serde_json::to_vec(value).map_err(internal)?;
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(Body::from(text))
        .map_err(internal)
}

/// A failure of this process.
pub fn internal(error: impl std::fmt::Display) -> HttpError {
    HttpError::for_internal_error(error.to_string())
}
