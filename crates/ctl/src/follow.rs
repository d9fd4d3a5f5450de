//! Follows tickets until they are in force.

use {
    crate::{
        client::{ClientError, ControllerClient},
        command::Printer,
        exit::ExitStatus,
        submit::exit_status,
        tables, views,
    },
    admin::{TicketPage, TicketStatus, TicketView},
    base::TicketNumber,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Tickets of one page.
const PAGE_LIMIT: u32 = 100;

/// Looks until a ticket is in force or the limit is over; gives the last status that was seen.
pub(crate) async fn wait_in_force(
    client: &mut ControllerClient,
    number: TicketNumber,
    limit: Duration,
) -> Result<TicketStatus, ClientError> {
    let end = Instant::now() + limit;
    let path = format!("/v1/tickets/{number}");
    let mut last = None;
    loop {
        match client.get::<TicketView>(&path).await {
            Ok(view) if matches!(view.status, TicketStatus::Accepted { .. }) => {
                return Ok(view.status);
            }
            Ok(view) => last = Some(view.status),
            Err(error) if last.is_none() && Instant::now() >= end => return Err(error),
            // A controller that is replaced meanwhile does not end the wait.
            Err(_) => {}
        }
        if Instant::now() >= end {
            return last.ok_or(ClientError::NoAnswer { detail: "the wait is over".to_owned() });
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Follows one ticket.
pub(crate) async fn follow_ticket(
    client: &mut ControllerClient,
    number: TicketNumber,
    limit: Duration,
    printer: &mut Printer<'_>,
) -> ExitStatus {
    if let Err(error) = client.get::<TicketView>(&format!("/v1/tickets/{number}")).await {
        return printer.fail(&error);
    }
    match wait_in_force(client, number, limit).await {
        Ok(status) => {
            printer.show(&status, views::status);
            exit_status(&status)
        }
        Err(error) => printer.fail(&error),
    }
}

/// Prints each new ticket and each change of where it stands, until the limit is over.
pub(crate) async fn follow_all(
    client: &mut ControllerClient,
    limit: Duration,
    printer: &mut Printer<'_>,
) -> ExitStatus {
    let end = Instant::now() + limit;
    let mut settled = TicketNumber::default();
    let mut shown: Vec<TicketView> = Vec::new();
    loop {
        let path = format!("/v1/tickets?after={settled}&limit={PAGE_LIMIT}");
        match client.get::<TicketPage>(&path).await {
            Ok(page) => {
                show_changes(&page, &shown, printer);
                settled = last_settled(&page).unwrap_or(settled);
                shown = page.tickets;
            }
            Err(error) => {
                let status = printer.fail(&error);
                if Instant::now() >= end {
                    return status;
                }
            }
        }
        if Instant::now() >= end {
            return ExitStatus::Accepted;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn show_changes(page: &TicketPage, shown: &[TicketView], printer: &mut Printer<'_>) {
    let standing = |status: &TicketStatus| matches!(status, TicketStatus::Accepted { .. });
    for view in &page.tickets {
        let before = shown.iter().find(|old| old.accepted.number == view.accepted.number);
        if before.is_none_or(|old| standing(&old.status) != standing(&view.status)) {
            printer.show(view, tables::ticket_line);
        }
    }
}

/// The last ticket before the first that is not in force yet.
fn last_settled(page: &TicketPage) -> Option<TicketNumber> {
    let settled =
        page.tickets.iter().take_while(|view| matches!(view.status, TicketStatus::Accepted { .. }));
    settled.last().map(|view| view.accepted.number)
}
