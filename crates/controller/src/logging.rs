//! Set-up of the process's log output.

use {
    conf::settings::LogFormat,
    std::io::IsTerminal,
    tracing_subscriber::{EnvFilter, fmt},
};

/// Starts logging to standard error. Fails if the filter is invalid or logging is already started.
pub fn start_logging(format: LogFormat, filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| error.to_string())?;
    let lines = fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match format {
        LogFormat::Text => lines.with_ansi(std::io::stderr().is_terminal()).try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
    started.map_err(|error| error.to_string())
}
