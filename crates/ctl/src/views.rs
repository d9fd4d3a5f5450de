//! Single values for people.

use {
    crate::tables::{new_table, or_none, state_word},
    admin::{ClaimState, ClaimView, Currency, StateView, TicketStatus, TicketView},
    std::fmt::Write,
};

pub(crate) fn status(status: &TicketStatus) -> String {
    let word = state_word(status);
    match status {
        TicketStatus::Accepted { number } => format!("ticket {number} {word}: in force everywhere"),
        TicketStatus::Pending { number, missing, remaining_ms } => {
            let members: Vec<_> = missing.iter().map(ToString::to_string).collect();
            let missing = match members.is_empty() {
                true => "no member missing".to_owned(),
                false => format!("missing {}", members.join(", ")),
            };
            format!("ticket {number} {word}: {missing}; {remaining_ms} ms left")
        }
        TicketStatus::Refused { reason, latest } => {
            let latest = latest.map(|number| format!("; the latest ticket is {number}"));
            format!("{word}: {reason}{}", latest.unwrap_or_default())
        }
        TicketStatus::Unknown { submission, reason } => {
            format!("{word}: {reason}; submit again with --submission {submission}")
        }
    }
}

pub(crate) fn ticket(view: &TicketView) -> String {
    let accepted = &view.accepted;
    let body = serde_json::to_string_pretty(&accepted.ticket).unwrap_or_default();
    format!("{}\nsubmission {}\n{body}", status(&view.status), accepted.submission)
}

pub(crate) fn claim(view: &ClaimView) -> String {
    let state = match &view.state {
        ClaimState::Running => "running: it may run now".to_owned(),
        ClaimState::Done { status } => format!("done: it ran, kept answer with status {status}"),
        ClaimState::DoneUnkept => "done: it ran, its answer was too large to be kept".to_owned(),
        ClaimState::NotRun => "not run, and never will be under this claim".to_owned(),
        ClaimState::Unknown => "unknown: dispatched, whether it ran is not known".to_owned(),
    };
    format!("workspace {} key {} at gateway {}: {state}", view.workspace, view.key, view.gateway)
}

pub(crate) fn state(view: &StateView) -> String {
    let state = &view.state;
    let head = &state.head;
    let mut text = String::new();
    let currency = match view.currency {
        Currency::Table => "current, by the table service",
        Currency::Peer => "current, by a peer",
        Currency::Majority => "current, by a majority of the members",
        Currency::Isolated => "isolated: takes no new work",
    };
    let age = or_none(view.age_ms.map(|age| format!("{age} ms")));
    let _ = writeln!(text, "node {}: {currency}, age {age}", view.node);
    let _ = writeln!(
        text,
        "head {}: ticket {}, view {}, ownership {}",
        head.number, head.ticket, head.view, head.ownership
    );
    let flags = &state.desired.flags;
    let _ = writeln!(
        text,
        "flags: fencing {:?}, downtime weight {}, weight loads {}\n",
        flags.fencing, flags.downtime_weight, flags.weight_loads_per_second
    );
    let _ = writeln!(text, "{}\n\n{}\n\n{}", group_sets(view), workspaces(view), owners(view));
    text.trim_end().to_owned()
}

fn group_sets(view: &StateView) -> String {
    let header = ["GROUP SET", "MODEL", "VERSION", "REPLICAS", "HOSTS EACH", "SPARES", "VALUE"];
    let mut table = new_table(&header);
    for spec in view.state.desired.group_sets.values() {
        table.add_row([
            spec.name.to_string(),
            spec.model.to_string(),
            spec.version.to_string(),
            spec.replicas.to_string(),
            spec.hosts_per_group.to_string(),
            spec.spares.to_string(),
            spec.value.to_string(),
        ]);
    }
    table.trim_fmt()
}

fn workspaces(view: &StateView) -> String {
    let mut table = new_table(&["WORKSPACE", "CALLERS", "REQUESTS", "IN FLIGHT", "SHARE"]);
    for spec in view.state.desired.workspaces.values() {
        table.add_row([
            spec.name.to_string(),
            spec.callers.len().to_string(),
            spec.limits.requests_per_second.to_string(),
            spec.limits.in_flight.to_string(),
            spec.share.to_string(),
        ]);
    }
    table.trim_fmt()
}

fn owners(view: &StateView) -> String {
    let mut table = new_table(&["FABRIC DOMAIN", "OWNER", "TERM"]);
    for owner in &view.state.owners {
        table.add_row([owner.domain.to_string(), owner.owner.to_string(), owner.term.to_string()]);
    }
    table.trim_fmt()
}

/// A text as one part of a path.
pub(crate) fn path_part(text: &str) -> String {
    let mut part = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'/' | b'%' | b'?' | b'#' | b' ' => {
                let _ = write!(part, "%{byte:02X}");
            }
            _ => part.push(byte as char),
        }
    }
    part
}
