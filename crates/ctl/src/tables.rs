//! Tables for people.

use {
    admin::{GroupsView, HostsView, MembersView, TicketPage, TicketStatus, TicketView},
    comfy_table::{ContentArrangement, Table, presets},
    infra::{HostRole, HostStanding},
    peer::message::{LOAD_DRAINING, LOAD_FULL, LOAD_NONE},
    std::fmt::Display,
};

/// Stands for a value that there is not.
const NONE: &str = "-";

/// A table with a header and no frame.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header.iter().copied());
    table
}

/// The text of a value that may be missing.
pub(crate) fn or_none<T: Display>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}

pub(crate) fn tickets(page: &TicketPage) -> String {
    let mut table = new_table(&["TICKET", "STATE", "SUBMISSION", "TOUCHES", "NOTE"]);
    for view in &page.tickets {
        table.add_row(ticket_cells(view));
    }
    table.trim_fmt()
}

/// One line of a followed list.
pub(crate) fn ticket_line(view: &TicketView) -> String {
    ticket_cells(view).join("  ")
}

fn ticket_cells(view: &TicketView) -> [String; 5] {
    let accepted = &view.accepted;
    let ticket = &accepted.ticket;
    let objects = ticket.group_sets.len()
        + ticket.workspaces.len()
        + ticket.services.len()
        + ticket.removed.len()
        + usize::from(ticket.flags.is_some());
    [
        accepted.number.to_string(),
        state_word(&view.status).to_owned(),
        accepted.submission.to_string(),
        format!("{objects} objects"),
        ticket.note.to_string(),
    ]
}

/// One word on where a ticket stands.
pub(crate) fn state_word(status: &TicketStatus) -> &'static str {
    match status {
        TicketStatus::Accepted { .. } => "accepted",
        TicketStatus::Pending { .. } => "pending",
        TicketStatus::Refused { .. } => "refused",
        TicketStatus::Unknown { .. } => "unknown",
    }
}

pub(crate) fn groups(view: &GroupsView) -> String {
    let header =
        ["GROUP", "EPOCH", "SET", "MODEL", "VERSION", "PHASE", "FABRIC DOMAIN", "SLOTS", "HOSTS"];
    let mut table = new_table(&header);
    for domain in &view.domains {
        for group in &domain.groups {
            let hosts: Vec<_> = group.members.iter().map(|member| member.host.as_str()).collect();
            table.add_row([
                group.group.to_string(),
                group.epoch.to_string(),
                group.set.to_string(),
                group.model.to_string(),
                group.version.to_string(),
                format!("{:?}", group.phase).to_lowercase(),
                domain.domain.to_string(),
                group.slots.to_string(),
                hosts.join(","),
            ]);
        }
    }
    table.trim_fmt()
}

pub(crate) fn hosts(view: &HostsView) -> String {
    let header =
        ["HOST", "ADDRESS", "FAILURE DOMAIN", "REGION", "ROLE", "STANDING", "GROUP", "EPOCH"];
    let mut table = new_table(&header);
    for host in &view.hosts {
        let entry = &host.entry;
        table.add_row([
            entry.host.to_string(),
            entry.address.to_string(),
            entry.failure_domain.to_string(),
            entry.region.to_string(),
            role_text(&entry.role),
            standing_word(entry.standing).to_owned(),
            or_none(host.group.as_ref()),
            or_none(host.epoch),
        ]);
    }
    table.trim_fmt()
}

fn role_text(role: &HostRole) -> String {
    match role {
        HostRole::Entry => "entry".to_owned(),
        HostRole::Engine { fabric_domain, accelerators } => {
            format!("engine in {fabric_domain}, {accelerators} accelerators")
        }
        HostRole::Service { service } => format!("service {service}"),
    }
}

fn standing_word(standing: HostStanding) -> &'static str {
    match standing {
        HostStanding::Live => "live",
        HostStanding::Leaving => "leaving",
    }
}

pub(crate) fn members(view: &MembersView) -> String {
    let header =
        ["MEMBER", "FAILURE DOMAIN", "REGION", "PEER", "ADMIN", "ACKNOWLEDGED", "AGE", "LOAD"];
    let mut table = new_table(&header);
    for standing in &view.members {
        let row = &standing.row;
        table.add_row([
            row.member.to_string(),
            row.failure_domain.to_string(),
            row.region.to_string(),
            row.peer_address.to_string(),
            row.admin_address.to_string(),
            or_none(standing.acknowledged),
            or_none(standing.age_ms.map(|age| format!("{age} ms"))),
            load_text(standing.load),
        ]);
    }
    table.trim_fmt()
}

fn load_text(load: Option<u8>) -> String {
    match load {
        None | Some(LOAD_NONE) => NONE.to_owned(),
        Some(LOAD_DRAINING) => "draining".to_owned(),
        Some(load) => format!("{}%", u32::from(load) * 100 / u32::from(LOAD_FULL)),
    }
}
