//! Parsing of the daemons' command line, and the messages for invalid ones.

use {
    conf::{
        SettingsError,
        args::{ArgsError, DaemonCommand},
        load_settings,
        settings::GatewaySettings,
    },
    std::path::{Path, PathBuf},
    yare::parameterized,
};

fn parse(line: &str) -> Result<DaemonCommand, ArgsError> {
    DaemonCommand::parse(line.split_whitespace().map(Into::into).collect())
}

#[parameterized(
    run = { "--settings a.yaml", DaemonCommand::Run(PathBuf::from("a.yaml")) },
    check = { "--check --settings a.yaml", DaemonCommand::Check(PathBuf::from("a.yaml")) },
    help = { "--settings a.yaml --help", DaemonCommand::Help },
)]
fn valid_command_line_is_parsed(line: &str, expected: DaemonCommand) {
    assert_eq!(parse(line), Ok(expected));
}

#[parameterized(
    none = { "", "add --settings FILE" },
    no_value = { "--settings", "--settings" },
    unknown = { "--settings a.yaml --fast", "unknown argument `--fast`" },
    twice = { "--settings a.yaml --settings b.yaml", "unknown argument" },
)]
fn invalid_command_line_suggests_remedy(line: &str, expected: &str) {
    let error = parse(line).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = load_settings::<GatewaySettings>(Path::new("/nonexistent/g.yaml")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("/nonexistent/g.yaml"), "{error}");
}
