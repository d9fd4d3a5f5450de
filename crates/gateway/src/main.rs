//! Entry point of the `gf-gateway` binary; see the documentation of the library.

use {
    conf::{args::DaemonInfo, settings::GatewaySettings},
    gateway::{command::run_command, daemon::StopResult},
    std::process::ExitCode,
};

const INFO: DaemonInfo = DaemonInfo {
    program: "gf-gateway",
    about: "Serves callers' requests through serving groups and plain services.",
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings: GatewaySettings = match conf::args::start_daemon(&INFO) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_command(settings).await {
        Ok(StopResult::Drained) => ExitCode::SUCCESS,
        Ok(StopResult::TimedOut) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{}: {error}", INFO.program);
            ExitCode::FAILURE
        }
    }
}
