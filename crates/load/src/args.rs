//! The command line of `gf-load`.

use {
    crate::{run::run_load, settings::LoadSettings},
    conf::{SettingsError, load_settings},
    pico_args::Arguments,
    snafu::{ResultExt, Snafu},
    std::{
        ffi::OsString,
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio_util::sync::CancellationToken,
};

/// The text of `--help`.
pub const HELP: &str = "\
Sends load to gypsumfork and checks every answer.

Usage: gf-load --settings FILE [--check] [--direct ADDR] [--seed N] [--report PATH]

Options:
  --settings FILE  read the settings (YAML, see docs/SETTINGS.md) from FILE
  --check          report every fault of the settings, then exit
  --direct ADDR    send completions straight to this engine, as a baseline for ratios
  --seed N         use this seed instead of the settings' one
  --report PATH    write the report to PATH.md and PATH.json
  --help           show this text

Exit codes:
  0  every request is accounted for and every whole answer was right
  1  an answer was wrong, the sums differ, or the report cannot be written
  2  bad input: command line or settings
";

const WRONG_CODE: u8 = 1;
const BAD_INPUT_CODE: u8 = 2;

/// Why a run did not start or its report could not be written.
#[derive(Debug, Snafu)]
enum LoadError {
    #[snafu(display("{detail}; see gf-load --help"))]
    BadOption { detail: String },
    #[snafu(display("unknown argument `{argument}`; see gf-load --help"))]
    Leftover { argument: String },
    #[snafu(display("no settings file; add --settings FILE"))]
    NoSettings,
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("cannot start: {source}"))]
    Runtime { source: io::Error },
}

impl LoadError {
    fn code(&self) -> u8 {
        match self {
            Self::Write { .. } | Self::Runtime { .. } => WRONG_CODE,
            _ => BAD_INPUT_CODE,
        }
    }
}

struct LoadArgs {
    settings: PathBuf,
    check: bool,
    direct: Option<SocketAddr>,
    seed: Option<u64>,
    report: Option<PathBuf>,
}

impl LoadArgs {
    fn parse(mut arguments: Arguments) -> Result<Self, LoadError> {
        let bad = |error: pico_args::Error| LoadError::BadOption { detail: error.to_string() };
        let args = Self {
            check: arguments.contains("--check"),
            direct: arguments.opt_value_from_str("--direct").map_err(bad)?,
            seed: arguments.opt_value_from_str("--seed").map_err(bad)?,
            report: arguments.opt_value_from_str("--report").map_err(bad)?,
            settings: arguments
                .opt_value_from_str("--settings")
                .map_err(bad)?
                .ok_or(LoadError::NoSettings)?,
        };
        match arguments.finish().first() {
            Some(argument) => {
                let argument = argument.to_string_lossy().into_owned();
                Err(LoadError::Leftover { argument })
            }
            None => Ok(args),
        }
    }
}

/// Runs a command line without the program's name.
pub fn main_with(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match LoadArgs::parse(arguments).and_then(run) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(WRONG_CODE),
        Err(error) => {
            eprintln!("gf-load: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn run(args: LoadArgs) -> Result<bool, LoadError> {
    let mut settings: LoadSettings = load_settings(&args.settings).context(SettingsSnafu)?;
    settings.direct = args.direct.or(settings.direct);
    settings.seed = args.seed.unwrap_or(settings.seed);
    if args.check {
        println!("{}: no faults", args.settings.display());
        return Ok(true);
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().context(RuntimeSnafu)?;
    let report = runtime.block_on(async {
        let stop = CancellationToken::new();
        tokio::spawn(cancel_on_interrupt(stop.clone()));
        run_load(settings, stop).await
    });
    println!("{}", report.markdown());
    if let Some(path) = &args.report {
        write(&path.with_extension("md"), &report.markdown())?;
        write(&path.with_extension("json"), &report.json())?;
    }
    Ok(report.is_sound())
}

async fn cancel_on_interrupt(stop: CancellationToken) {
    if tokio::signal::ctrl_c().await.is_ok() {
        stop.cancel();
    }
}

fn write(path: &Path, text: &str) -> Result<(), LoadError> {
    fs::write(path, text).context(WriteSnafu { path })
}
