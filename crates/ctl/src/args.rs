//! The command line of `gfctl`.

use {
    base::{IdempotencyKey, SubmissionId, TicketNumber, WorkspaceId},
    conf::{CheckSettings, ConfigErrorList, FieldPath, SettingsError, load_settings},
    pico_args::Arguments,
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

/// Environment variable with controllers' admin addresses, separated by commas.
pub const CONTROLLERS_VARIABLE: &str = "GFCTL_CONTROLLERS";
/// Longest wait for one answer of one controller, unless `--timeout-ms` says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Longest wait until a ticket is in force, unless `--wait-ms` says otherwise.
const DEFAULT_WAIT: Duration = Duration::from_millis(60_000);
/// Tickets of one list, unless `--limit` says otherwise.
const DEFAULT_LIMIT: u32 = 50;
/// The admin address that a controller has by default.
const DEFAULT_CONTROLLER: &str = "127.0.0.1:7302";

/// The text of `--help`.
pub const HELP: &str = "\
Operates gypsumfork: submits change tickets and shows what the controllers know.

Usage: gfctl [OPTIONS] COMMAND

Commands:
  ticket check FILE [--live]   check a ticket file; --live also against the present state
  ticket submit FILE [--expect N] [--submission ID] [--wait]
                               submit a ticket; --expect refuses it when a later ticket than N
                               was accepted, --wait stays until it is in force
  ticket show N                show a ticket and where it stands
  ticket list [--after N] [--limit N]
                               list accepted tickets
  ticket follow [N]            follow ticket N until it is in force, or all tickets
  groups                       show the serving groups
  hosts                        show the host list and the group of each host
  members                      show the members and what they acknowledged
  keys WORKSPACE KEY           show where a non-idempotent request stands
  state                        show the durable state and how the controller knows it

Options:
  --controller ADDR   admin address of a controller; may be given several times, tried in turn
  --settings FILE     YAML file with `controllers: [ADDR, ..]`
  --json              print JSON instead of tables
  --timeout-ms N      longest wait for one answer (default 5000)
  --wait-ms N         longest time for --wait and follow (default 60000)
  --help              show this text

Controllers come from --controller, else from --settings, else from the environment variable
GFCTL_CONTROLLERS (separated by commas), else 127.0.0.1:7302.

Exit codes:
  0  done; a submitted or followed ticket is accepted and in force
  1  a controller answered that it cannot do this, or nothing has that name
  2  bad input: command line, settings or ticket file; nothing was sent
  3  refused: nothing of the ticket takes effect
  4  pending: the ticket is committed but not in force yet
  5  unknown: submit the ticket again with the same submission id
  6  unreachable: no controller could be reached, nothing was sent
";

/// Why a command line cannot be used.
#[derive(Debug, Snafu)]
pub enum ArgsError {
    /// An option's value is missing or cannot be read.
    #[snafu(display("{detail}; see gfctl --help"))]
    BadOption {
        /// What is wrong.
        detail: String,
    },
    /// A part of the command is missing.
    #[snafu(display("{what} is missing; see gfctl --help"))]
    Missing {
        /// Which part.
        what: &'static str,
    },
    /// A part of the command cannot be read.
    #[snafu(display("`{text}` is no {what}: {detail}"))]
    BadValue {
        /// What was given.
        text: String,
        /// What was wanted.
        what: &'static str,
        /// Why it is not.
        detail: String,
    },
    /// The command is not known.
    #[snafu(display("unknown command `{command}`; see gfctl --help"))]
    UnknownCommand {
        /// What was given.
        command: String,
    },
    /// More was given than the command takes.
    #[snafu(display("unknown argument `{argument}`; see gfctl --help"))]
    Leftover {
        /// What was given.
        argument: String,
    },
    /// Options that exclude each other.
    #[snafu(display("{one} and {other} exclude each other; give one of them"))]
    Contradiction {
        /// One option.
        one: &'static str,
        /// The other one.
        other: &'static str,
    },
    /// The settings file has faults.
    #[snafu(display("{source}"))]
    Settings {
        /// All of them.
        source: SettingsError,
    },
}

/// Settings of `gfctl`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CtlSettings {
    /// Admin addresses of controllers, in the order to try.
    pub controllers: Vec<SocketAddr>,
}

impl CheckSettings for CtlSettings {
    fn check(&self, path: &FieldPath, faults: &mut ConfigErrorList) {
        if self.controllers.is_empty() {
            faults.push(path.field("controllers"), "empty", "name at least one controller");
        }
    }
}

/// What `gfctl` shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlCommand {
    /// Show the help.
    Help,
    /// Check a ticket file.
    Check {
        /// The file.
        file: PathBuf,
        /// Also against the present state.
        live: bool,
    },
    /// Submit a ticket.
    Submit {
        /// The file.
        file: PathBuf,
        /// Refuse it when a later ticket was accepted.
        expect: Option<TicketNumber>,
        /// The submission id to use instead of the file's.
        submission: Option<SubmissionId>,
        /// Wait until it is in force.
        wait: bool,
    },
    /// Show a ticket.
    Show(TicketNumber),
    /// List tickets.
    List {
        /// Only those with a higher number.
        after: TicketNumber,
        /// At most so many.
        limit: u32,
    },
    /// Follow one ticket or all.
    Follow(Option<TicketNumber>),
    /// Show the groups.
    Groups,
    /// Show the hosts.
    Hosts,
    /// Show the members.
    Members,
    /// Show the claim of a non-idempotent request.
    Keys {
        /// The workspace.
        workspace: WorkspaceId,
        /// The key.
        key: IdempotencyKey,
    },
    /// Show the durable state.
    State,
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlArgs {
    /// Controllers in the order to try; never empty.
    pub controllers: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Longest wait until a ticket is in force.
    pub wait_limit: Duration,
    /// What to do.
    pub command: CtlCommand,
}

impl CtlArgs {
    /// Reads a command line without the program's name; `environment` is the value of
    /// [`CONTROLLERS_VARIABLE`].
    pub fn parse(arguments: Vec<OsString>, environment: Option<&str>) -> Result<Self, ArgsError> {
        let mut arguments = Arguments::from_vec(arguments);
        let help = arguments.contains(["-h", "--help"]);
        let json = arguments.contains("--json");
        let timeout = option::<u64>(&mut arguments, "--timeout-ms")?;
        let wait_limit = option::<u64>(&mut arguments, "--wait-ms")?;
        let named = arguments.values_from_str("--controller").map_err(bad_option)?;
        let settings = option::<PathBuf>(&mut arguments, "--settings")?;
        let command = if help { CtlCommand::Help } else { parse_command(&mut arguments)? };
        let leftover = arguments.finish();
        if let Some(argument) = leftover.first().filter(|_| !help) {
            let argument = argument.to_string_lossy().into_owned();
            return Err(ArgsError::Leftover { argument });
        }
        let controllers = match help {
            true => Vec::new(),
            false => find_controllers(named, settings, environment)?,
        };
        Ok(Self {
            controllers,
            json,
            timeout: timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis),
            wait_limit: wait_limit.map_or(DEFAULT_WAIT, Duration::from_millis),
            command,
        })
    }
}

fn find_controllers(
    named: Vec<SocketAddr>,
    settings: Option<PathBuf>,
    environment: Option<&str>,
) -> Result<Vec<SocketAddr>, ArgsError> {
    if !named.is_empty() {
        if settings.is_some() {
            let (one, other) = ("--controller", "--settings");
            return Err(ArgsError::Contradiction { one, other });
        }
        return Ok(named);
    }
    if let Some(path) = settings {
        return Ok(load_settings::<CtlSettings>(&path).context(SettingsSnafu)?.controllers);
    }
    let listed = environment.filter(|text| !text.trim().is_empty()).unwrap_or(DEFAULT_CONTROLLER);
    listed.split(',').map(|text| parse_value("controller address", text.trim())).collect()
}

fn parse_command(arguments: &mut Arguments) -> Result<CtlCommand, ArgsError> {
    let word = arguments.subcommand().map_err(bad_option)?;
    match word.as_deref() {
        Some("ticket") => parse_ticket_command(arguments),
        Some("groups") => Ok(CtlCommand::Groups),
        Some("hosts") => Ok(CtlCommand::Hosts),
        Some("members") => Ok(CtlCommand::Members),
        Some("state") => Ok(CtlCommand::State),
        Some("keys") => Ok(CtlCommand::Keys {
            workspace: free_value(arguments, "workspace")?,
            key: free_value(arguments, "idempotency key")?,
        }),
        Some(command) => Err(ArgsError::UnknownCommand { command: command.to_owned() }),
        None => Err(ArgsError::Missing { what: "the command" }),
    }
}

fn parse_ticket_command(arguments: &mut Arguments) -> Result<CtlCommand, ArgsError> {
    let word = arguments.subcommand().map_err(bad_option)?;
    match word.as_deref() {
        Some("check") => {
            let live = arguments.contains("--live");
            Ok(CtlCommand::Check { file: free_value(arguments, "ticket file")?, live })
        }
        Some("submit") => Ok(CtlCommand::Submit {
            expect: option(arguments, "--expect")?,
            submission: option(arguments, "--submission")?,
            wait: arguments.contains("--wait"),
            file: free_value(arguments, "ticket file")?,
        }),
        Some("show") => Ok(CtlCommand::Show(free_value(arguments, "ticket number")?)),
        Some("list") => Ok(CtlCommand::List {
            after: option(arguments, "--after")?.unwrap_or_default(),
            limit: option(arguments, "--limit")?.unwrap_or(DEFAULT_LIMIT),
        }),
        Some("follow") => {
            let number = arguments.opt_free_from_str::<String>().map_err(bad_option)?;
            let number = number.map(|text| parse_value("ticket number", &text)).transpose()?;
            Ok(CtlCommand::Follow(number))
        }
        Some(word) => Err(ArgsError::UnknownCommand { command: format!("ticket {word}") }),
        None => Err(ArgsError::Missing { what: "what to do with the ticket" }),
    }
}

fn option<T: FromStr>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>, ArgsError>
where
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(name).map_err(bad_option)
}

fn free_value<T: FromStr>(arguments: &mut Arguments, what: &'static str) -> Result<T, ArgsError>
where
    T::Err: std::fmt::Display,
{
    let text = arguments.opt_free_from_str::<String>().map_err(bad_option)?;
    match text {
        Some(text) => parse_value(what, &text),
        None => Err(ArgsError::Missing { what }),
    }
}

fn parse_value<T: FromStr>(what: &'static str, text: &str) -> Result<T, ArgsError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| ArgsError::BadValue {
        text: text.to_owned(),
        what,
        detail: error.to_string(),
    })
}

fn bad_option(error: pico_args::Error) -> ArgsError {
    ArgsError::BadOption { detail: error.to_string() }
}
