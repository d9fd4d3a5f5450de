//! Parses the command line, builds the adapters and runs the controller.

use {
    base::BootClock,
    conf::{DaemonInfo, settings::ControllerSettings, start_daemon},
    controller::{
        logging::start_logging,
        run::{Controller, ControllerPorts},
    },
    engine::http::HttpEngineControl,
    infra::http::{HttpHosts, HttpTable},
    std::{process::ExitCode, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

const INFO: DaemonInfo = DaemonInfo {
    program: "gf-controller",
    about: "Keeps tickets, members, ownership of fabric domains, groups and engine orders.",
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match start_daemon::<ControllerSettings>(&INFO) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gf-controller: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: ControllerSettings) -> Result<(), String> {
    start_logging(settings.log_format, &settings.log_filter)?;
    let stop = CancellationToken::new();
    watch_signals(&stop)?;
    let ports = http_ports(&settings);
    let controller = Controller::bind(settings, ports).await.map_err(|error| error.to_string())?;
    controller.run(stop).await;
    Ok(())
}

fn http_ports(settings: &ControllerSettings) -> ControllerPorts {
    let platform = &settings.platform;
    let timeout = Duration::from_millis(platform.timeout_ms);
    // The request timeout must not exceed the flight time that a takeover waits for, or an order
    // could reach the engine after the takeover.
    let flight = Duration::from_millis(settings.freshness.order_flight_ms);
    ControllerPorts {
        table: Arc::new(HttpTable::new(platform.table, timeout)),
        hosts: Arc::new(HttpHosts::new(platform.hosts, timeout)),
        engine: Arc::new(HttpEngineControl::new(flight)),
        clock: Arc::new(BootClock),
    }
}

fn watch_signals(stop: &CancellationToken) -> Result<(), String> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind).map_err(|error| error.to_string())?;
        let stop = stop.clone();
        tokio::spawn(async move {
            signals.recv().await;
            stop.cancel();
        });
    }
    Ok(())
}
