//! Runs the daemon with given settings until it is stopped by a signal.

use {
    crate::{
        controller_tcp::TcpControllers,
        daemon::{RunningGateway, StopResult},
        logging::{LogError, start_logging},
        ports::{GatewayPorts, SystemWallClock},
        server::ServerError,
    },
    base::BootClock,
    conf::settings::GatewaySettings,
    engine::{HttpBackend, http::HttpEngineReports},
    infra::http::HttpTable,
    snafu::{ResultExt, Snafu},
    std::{io, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a request for a backend server's load, state or cache events.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Why the daemon could not be started.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// Logging cannot be set up.
    #[snafu(display("{source}"))]
    Log {
        /// Names the invalid setting.
        source: LogError,
    },
    /// The server for callers or for operators cannot be started.
    #[snafu(display("{source}"))]
    Server {
        /// Names the setting and the address.
        source: ServerError,
    },
    /// The handlers of the signals SIGTERM and SIGINT cannot be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs the gateway until SIGTERM or SIGINT, then performs a planned stop.
pub async fn run_command(settings: GatewaySettings) -> Result<StopResult, CommandError> {
    start_logging(&settings).context(LogSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let poll_timeout = Duration::from_millis(settings.freshness.window_ms / 3);
    let controllers = Arc::new(TcpControllers::new(poll_timeout));
    let ports = system_ports(&settings);
    let gateway = RunningGateway::start(settings, ports, controllers).context(ServerSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(gateway.stop().await)
}

fn system_ports(settings: &GatewaySettings) -> GatewayPorts {
    let clock = Arc::new(BootClock);
    let backend = Arc::new(HttpBackend::new(clock.clone(), CONNECT_TIMEOUT));
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    GatewayPorts {
        clock,
        wall: Arc::new(SystemWallClock),
        models: backend.clone(),
        services: backend,
        reports: Arc::new(HttpEngineReports::new(REPORT_TIMEOUT)),
        table: Arc::new(HttpTable::new(settings.platform.table, timeout)),
    }
}
