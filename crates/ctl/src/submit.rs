//! Checks and submits ticket files.

use {
    crate::{
        client::{ClientError, ControllerClient},
        command::Printer,
        exit::ExitStatus,
        follow::wait_in_force,
        views,
    },
    admin::{StateView, SubmitRequest, TicketStatus},
    base::{SubmissionId, TicketNumber},
    conf::{load_ticket, ticket::DesiredState},
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
    uuid::Uuid,
};

/// What to submit and how.
pub(crate) struct SubmitOrder {
    pub(crate) file: PathBuf,
    pub(crate) expect: Option<TicketNumber>,
    pub(crate) submission: Option<SubmissionId>,
    pub(crate) wait_limit: Option<Duration>,
}

/// Checks a file; with `live` also against the state that a controller holds.
pub(crate) async fn check_file(
    client: &mut ControllerClient,
    file: &Path,
    live: bool,
    printer: &mut Printer<'_>,
) -> ExitStatus {
    let desired = match live {
        true => match client.get::<StateView>("/v1/state").await {
            Ok(view) => Some(view.state.desired),
            Err(error) => return printer.fail(&error),
        },
        false => None,
    };
    check_against(file, desired.as_ref(), printer)
}

fn check_against(
    file: &Path,
    desired: Option<&DesiredState>,
    printer: &mut Printer<'_>,
) -> ExitStatus {
    match load_ticket(file, desired) {
        Ok(ticket) => {
            printer.show(&ticket, |_| format!("{}: no faults", file.display()));
            ExitStatus::Accepted
        }
        Err(error) => {
            printer.note(&error.to_string());
            ExitStatus::BadInput
        }
    }
}

/// Submits a file and prints where the ticket stands.
pub(crate) async fn submit_file(
    client: &mut ControllerClient,
    order: SubmitOrder,
    printer: &mut Printer<'_>,
) -> ExitStatus {
    let mut ticket = match load_ticket(&order.file, None) {
        Ok(ticket) => ticket,
        Err(error) => {
            printer.note(&error.to_string());
            return ExitStatus::BadInput;
        }
    };
    let submission = order.submission.or(ticket.submission.take()).unwrap_or_else(new_submission);
    // Printed before anything is sent, so that it is known when no answer comes.
    printer.note(&format!("submission {submission}"));
    ticket.submission = Some(submission.clone());
    let request = SubmitRequest { ticket, expect: order.expect };
    let status = match client.post("/v1/tickets", &request).await {
        Ok(status) => status,
        Err(ClientError::NoAnswer { detail }) => {
            TicketStatus::Unknown { submission, reason: detail }
        }
        Err(ClientError::Refused { detail, .. }) => {
            TicketStatus::Refused { reason: detail, latest: None }
        }
        Err(error) => return printer.fail(&error),
    };
    let status = match (order.wait_limit, &status) {
        (Some(limit), TicketStatus::Pending { number, .. }) => {
            wait_in_force(client, *number, limit).await.unwrap_or(status)
        }
        _ => status,
    };
    printer.show(&status, views::status);
    exit_status(&status)
}

/// The exit code that tells where a ticket stands.
pub(crate) fn exit_status(status: &TicketStatus) -> ExitStatus {
    match status {
        TicketStatus::Accepted { .. } => ExitStatus::Accepted,
        TicketStatus::Pending { .. } => ExitStatus::Pending,
        TicketStatus::Refused { .. } => ExitStatus::Refused,
        TicketStatus::Unknown { .. } => ExitStatus::Unknown,
    }
}

fn new_submission() -> SubmissionId {
    SubmissionId::new(format!("sub-{}", Uuid::new_v4())).expect("a valid id")
}
