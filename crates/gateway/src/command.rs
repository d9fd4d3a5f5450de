//! What the program does between its command line and its exit code.

use {
    crate::{
        controller_tcp::TcpControllers,
        daemon::{RunningGateway, StopEnd},
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

/// Longest wait for a connection to a backend server.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for a report of a backend server.
const REPORT_LIMIT: Duration = Duration::from_millis(200);

/// The daemon cannot run.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The log cannot be set up.
    #[snafu(display("{source}"))]
    Log {
        /// What went wrong.
        source: LogError,
    },
    /// A server cannot be started.
    #[snafu(display("{source}"))]
    Server {
        /// What went wrong.
        source: ServerError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// What went wrong.
        source: io::Error,
    },
}

/// Serves until a signal asks for a planned stop, and until that has ended.
pub async fn run_command(settings: GatewaySettings) -> Result<StopEnd, CommandError> {
    start_logging(&settings).context(LogSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let poll_limit = Duration::from_millis(settings.freshness.window_ms / 3);
    let controllers = Arc::new(TcpControllers::new(poll_limit));
    let ports = machine_ports(&settings);
    let gateway = RunningGateway::start(settings, ports, controllers).context(ServerSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(gateway.stop().await)
}

fn machine_ports(settings: &GatewaySettings) -> GatewayPorts {
    let clock = Arc::new(BootClock);
    let backend = Arc::new(HttpBackend::new(clock.clone(), CONNECT_LIMIT));
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    GatewayPorts {
        clock,
        wall: Arc::new(SystemWallClock),
        models: backend.clone(),
        services: backend,
        reports: Arc::new(HttpEngineReports::new(REPORT_LIMIT)),
        table: Arc::new(HttpTable::new(settings.platform.table, timeout)),
    }
}
