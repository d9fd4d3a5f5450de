//! Sets up logging to standard error, in text or JSON format.

use {
    conf::settings::{GatewaySettings, LogFormat},
    snafu::{ResultExt, Snafu},
    std::io::IsTerminal,
    tracing_subscriber::{EnvFilter, filter::ParseError, fmt},
};

/// The `log_filter` setting is not a valid filter.
#[derive(Debug, Snafu)]
#[snafu(display("setting `log_filter`: {source}"))]
pub struct LogError {
    source: ParseError,
}

/// Installs the log subscriber, with the `log_filter` and `log_format` of the settings.
///
/// # Errors
///
/// Fails if `log_filter` is invalid.
pub fn start_logging(settings: &GatewaySettings) -> Result<(), LogError> {
    let filter = EnvFilter::try_new(&settings.log_filter).context(LogSnafu)?;
    let subscriber = fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
    Ok(())
}
