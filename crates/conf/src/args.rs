//! Command line shared by all daemons.

use {
    crate::load::{CheckSettings, SettingsError, load_settings},
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{ffi::OsString, path::PathBuf, process::ExitCode},
};

/// Exit code for an invalid command line or invalid settings.
pub const BAD_INPUT_CODE: u8 = 2;

/// Program-specific parts of the `--help` text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonInfo {
    /// Name of the executable, such as `gf-gateway`.
    pub program: &'static str,
    /// Description of the program in one sentence.
    pub about: &'static str,
}

impl DaemonInfo {
    /// Returns the complete `--help` text, including the exit codes.
    pub fn help(&self) -> String {
        let Self { program, about } = self;
        format!(
            "{about}\n\n\
             Usage: {program} --settings FILE [--check]\n\n\
             Options:\n\
             \x20 --settings FILE  read the settings (YAML, see docs/SETTINGS.md) from FILE\n\
             \x20 --check          report every fault of the settings, then exit\n\
             \x20 --help           show this text\n\n\
             Exit codes: 0 after a planned stop or a check without faults, 1 after a failure,\n\
             {BAD_INPUT_CODE} when the command line or the settings cannot be used.\n"
        )
    }
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// `-h` or `--help`, which overrides all other arguments.
    Help,
    /// `--check`: validate this settings file and exit.
    Check(PathBuf),
    /// Run the daemon with this settings file.
    Run(PathBuf),
}

/// Why a command line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ArgsError {
    /// `--settings` is missing; it has no default.
    #[snafu(display("no settings file; add --settings FILE"))]
    NoSettings,
    /// An option has no value, or its value cannot be parsed.
    #[snafu(display("{detail}; see --help"))]
    BadOption {
        /// Message of the argument parser.
        detail: String,
    },
    /// An argument is not a known option, or an option is repeated.
    #[snafu(display("unknown argument `{argument}`; see --help"))]
    UnknownArgument {
        /// The first such argument, with invalid UTF-8 replaced.
        argument: String,
    },
}

impl DaemonCommand {
    /// Parses the arguments that follow the program name.
    pub fn parse(arguments: Vec<OsString>) -> Result<Self, ArgsError> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let check = arguments.contains("--check");
        let read_path = |text: &std::ffi::OsStr| Ok::<_, String>(PathBuf::from(text));
        let settings = arguments
            .opt_value_from_os_str("--settings", read_path)
            .map_err(|error| ArgsError::BadOption { detail: error.to_string() })?;
        if let Some(argument) = arguments.finish().first() {
            let argument = argument.to_string_lossy().into_owned();
            return Err(ArgsError::UnknownArgument { argument });
        }
        let settings = settings.ok_or(ArgsError::NoSettings)?;
        Ok(if check { Self::Check(settings) } else { Self::Run(settings) })
    }
}

/// Parses the command line of the process and loads its settings.
///
/// Returns the settings if the daemon should run. Otherwise it has printed the help, the result of
/// `--check` or all errors, and the process should end with the returned exit code.
pub fn start_daemon<T>(info: &DaemonInfo) -> Result<T, ExitCode>
where
    T: DeserializeOwned + Serialize + CheckSettings,
{
    let command = DaemonCommand::parse(std::env::args_os().skip(1).collect());
    match command {
        Ok(DaemonCommand::Help) => {
            print!("{}", info.help());
            Err(ExitCode::SUCCESS)
        }
        Ok(DaemonCommand::Check(path)) => {
            load_settings::<T>(&path).map_err(|error| report_settings(&error))?;
            println!("{}: no faults", path.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(DaemonCommand::Run(path)) => {
            load_settings(&path).map_err(|error| report_settings(&error))
        }
        Err(error) => {
            eprintln!("{}: {error}", info.program);
            Err(ExitCode::from(BAD_INPUT_CODE))
        }
    }
}

fn report_settings(error: &SettingsError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(BAD_INPUT_CODE)
}
