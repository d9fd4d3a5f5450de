//! Runs one command line.

use {
    crate::{
        args::{CtlArgs, CtlCommand, HELP},
        client::{ClientError, ControllerClient},
        exit::ExitStatus,
        follow::{follow_all, follow_ticket},
        submit::{SubmitOrder, check_file, submit_file},
        tables, views,
    },
    admin::{GroupsView, HostsView, MembersView, StateView, TicketPage, TicketView},
    serde::{Serialize, de::DeserializeOwned},
    std::{ffi::OsString, io::Write},
};

/// Where a run prints.
pub(crate) struct Printer<'a> {
    pub(crate) json: bool,
    pub(crate) stdout: &'a mut dyn Write,
    pub(crate) stderr: &'a mut dyn Write,
}

impl Printer<'_> {
    /// Prints a result: JSON for programs, else the text for people. A closed pipe is no failure.
    pub(crate) fn show<T: Serialize>(&mut self, value: &T, text: impl FnOnce(&T) -> String) {
        let text = match self.json {
            true => serde_json::to_string(value).expect("a message of our own can be written"),
            false => text(value),
        };
        let _ = writeln!(self.stdout, "{text}");
    }

    /// Prints something that is no result.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.stderr, "{text}");
    }

    /// Prints why a call failed.
    pub(crate) fn fail(&mut self, error: &ClientError) -> ExitStatus {
        self.note(&format!("gfctl: {error}"));
        match error {
            ClientError::Unreachable { .. } => ExitStatus::Unreachable,
            ClientError::NoAnswer { .. } | ClientError::Refused { .. } => ExitStatus::Failed,
        }
    }
}

/// Runs a command line without the program's name; `environment` is the value of
/// [`crate::args::CONTROLLERS_VARIABLE`].
pub fn run(
    arguments: Vec<OsString>,
    environment: Option<&str>,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> ExitStatus {
    let args = match CtlArgs::parse(arguments, environment) {
        Ok(args) => args,
        Err(error) => {
            let _ = writeln!(stderr, "gfctl: {error}");
            return ExitStatus::BadInput;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = writeln!(stderr, "gfctl: cannot start: {error}");
            return ExitStatus::Failed;
        }
    };
    let mut printer = Printer { json: args.json, stdout, stderr };
    runtime.block_on(execute(args, &mut printer))
}

async fn execute(args: CtlArgs, printer: &mut Printer<'_>) -> ExitStatus {
    let mut client = ControllerClient::new(args.controllers, args.timeout);
    match args.command {
        CtlCommand::Help => {
            let _ = write!(printer.stdout, "{HELP}");
            ExitStatus::Accepted
        }
        CtlCommand::Check { file, live } => check_file(&mut client, &file, live, printer).await,
        CtlCommand::Submit { file, expect, submission, wait } => {
            let wait_limit = wait.then_some(args.wait_limit);
            let order = SubmitOrder { file, expect, submission, wait_limit };
            submit_file(&mut client, order, printer).await
        }
        CtlCommand::Show(number) => {
            let path = format!("/v1/tickets/{number}");
            show::<TicketView>(&mut client, &path, printer, views::ticket).await
        }
        CtlCommand::List { after, limit } => {
            let path = format!("/v1/tickets?after={after}&limit={limit}");
            show::<TicketPage>(&mut client, &path, printer, tables::tickets).await
        }
        CtlCommand::Follow(Some(number)) => {
            follow_ticket(&mut client, number, args.wait_limit, printer).await
        }
        CtlCommand::Follow(None) => follow_all(&mut client, args.wait_limit, printer).await,
        CtlCommand::Groups => {
            show::<GroupsView>(&mut client, "/v1/groups", printer, tables::groups).await
        }
        CtlCommand::Hosts => {
            show::<HostsView>(&mut client, "/v1/hosts", printer, tables::hosts).await
        }
        CtlCommand::Members => {
            show::<MembersView>(&mut client, "/v1/members", printer, tables::members).await
        }
        CtlCommand::Keys { workspace, key } => {
            let path = format!(
                "/v1/keys/{}/{}",
                views::path_part(workspace.as_str()),
                views::path_part(key.as_str())
            );
            show(&mut client, &path, printer, views::claim).await
        }
        CtlCommand::State => {
            show::<StateView>(&mut client, "/v1/state", printer, views::state).await
        }
    }
}

async fn show<T: Serialize + DeserializeOwned>(
    client: &mut ControllerClient,
    path: &str,
    printer: &mut Printer<'_>,
    text: fn(&T) -> String,
) -> ExitStatus {
    match client.get::<T>(path).await {
        Ok(value) => {
            printer.show(&value, text);
            ExitStatus::Accepted
        }
        Err(error) => printer.fail(&error),
    }
}
