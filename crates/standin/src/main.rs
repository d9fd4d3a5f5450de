//! `gf-standin`; see the library's documentation.

use {
    conf::start_daemon,
    standin::{
        StandinSettings,
        command::{INFO, run},
    },
    std::process::ExitCode,
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings: StandinSettings = match start_daemon(&INFO) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gf-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
