//! The run of `gf-standin`.

use {
    crate::{
        StandinError, StandinSettings,
        control::{SharedWorld, start_control},
        world::World,
    },
    conf::{DaemonInfo, settings::LogFormat},
    std::{io::IsTerminal, sync::Arc},
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
    tracing_subscriber::EnvFilter,
};

/// What the program says of itself.
pub const INFO: DaemonInfo = DaemonInfo {
    program: "gf-standin",
    about: "Stands in for the platform, model engines and plain services. When everything\n\
            listens, one JSON line with all addresses is printed to standard output.",
};

/// Runs until SIGTERM or SIGINT.
pub async fn run(settings: StandinSettings) -> Result<(), StandinError> {
    start_logs(&settings);
    let cancel = CancellationToken::new();
    let shared = SharedWorld::default();
    let control = start_control(settings.control_listen, shared.clone())?;
    let world = Arc::new(World::start(settings, control.local_addr(), cancel.clone())?);
    let line = serde_json::to_string(world.addresses()).unwrap_or_default();
    // The world is set once, here.
    let _ = shared.set(world);
    println!("{line}");
    wait_for_stop().await;
    cancel.cancel();
    Ok(())
}

fn start_logs(settings: &StandinSettings) {
    let filter = EnvFilter::try_new(&settings.log_filter).unwrap_or_default();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

async fn wait_for_stop() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
