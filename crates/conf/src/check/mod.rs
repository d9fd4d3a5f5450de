//! Validation of tickets. A ticket with any error is rejected as a whole.

pub mod groups;
mod names;
pub mod workspaces;

use {
    crate::{
        config_error::{ConfigError, ConfigErrorList, ConfigErrorReport, FieldPath},
        load::{SettingsError, parse_with},
        ticket::{ChangeTicket, DeploymentFlags, DesiredState, ServiceSpec},
    },
    names::{ObjectIndex, check_no_duplicates},
    std::{fs, ops::RangeInclusive, path::Path},
};

/// Maximum size of a ticket: of its YAML text, or of its JSON form if received in a message.
pub const MAX_TICKET_BYTES: usize = 200 * 1024;
/// Maximum length of `note`.
pub const MAX_NOTE_BYTES: usize = 4 * 1024;
/// Maximum length of each list of objects in a ticket, including `removed`.
pub const MAX_OBJECTS: usize = 1_000;
/// Range of `slots_per_group` and `slots_per_server`.
pub const SLOTS: RangeInclusive<u32> = 1..=4_096;
/// Range of `flags.downtime_weight`.
pub const DOWNTIME_WEIGHT: RangeInclusive<f64> = 0.0..=1.0;
/// Range of `flags.weight_loads_per_second`.
pub const LOADS_PER_SECOND: RangeInclusive<f64> = 0.01..=10_000.0;

/// Reads and validates a ticket file.
///
/// `desired` is the state that the ticket would be applied to, if known. Without it, references to
/// objects outside the ticket are not checked.
pub fn load_ticket(
    path: &Path,
    desired: Option<&DesiredState>,
) -> Result<ChangeTicket, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
    parse_ticket(&path.display().to_string(), &text, desired)
        .map_err(|report| SettingsError::Invalid { report })
}

/// Parses and validates the text of a ticket; `file` is the name shown in the report.
pub fn parse_ticket(
    file: &str,
    text: &str,
    desired: Option<&DesiredState>,
) -> Result<ChangeTicket, ConfigErrorReport> {
    if text.len() > MAX_TICKET_BYTES {
        return Err(ConfigErrorReport {
            file: file.to_owned(),
            errors: vec![size_error(text.len())],
        });
    }
    parse_with(file, text, |ticket, errors| collect_ticket_errors(ticket, desired, errors))
}

/// Validates a ticket received in a message; the errors have no lines.
pub fn check_ticket(
    ticket: &ChangeTicket,
    desired: Option<&DesiredState>,
) -> Result<(), ConfigErrorReport> {
    let mut list = ConfigErrorList::new();
    collect_ticket_errors(ticket, desired, &mut list);
    let bytes = serde_json::to_vec(ticket).map_or(0, |text| text.len());
    let mut errors = list.into_errors();
    if bytes > MAX_TICKET_BYTES {
        errors.push(size_error(bytes));
    }
    if errors.is_empty() {
        return Ok(());
    }
    Err(ConfigErrorReport { file: "ticket".to_owned(), errors })
}

fn size_error(bytes: usize) -> ConfigError {
    ConfigError {
        line: None,
        path: FieldPath::root(),
        problem: format!("{bytes} bytes; a ticket has at most {MAX_TICKET_BYTES}"),
        remedy: "split it into several tickets".to_owned(),
    }
}

fn collect_ticket_errors(
    ticket: &ChangeTicket,
    desired: Option<&DesiredState>,
    errors: &mut ConfigErrorList,
) {
    let root = FieldPath::root();
    check_size(ticket, errors);
    let index = ObjectIndex::new(ticket, desired);
    index.check_removed(errors);
    groups::check_group_sets(ticket, &index, errors);
    workspaces::check_workspaces(ticket, desired, errors);
    check_services(&ticket.services, &index, errors);
    index.check_remaining_references(errors);
    if let Some(flags) = &ticket.flags {
        check_flags(flags, &root.field("flags"), errors);
    }
}

fn check_size(ticket: &ChangeTicket, errors: &mut ConfigErrorList) {
    let root = FieldPath::root();
    if ticket.note.len() > MAX_NOTE_BYTES {
        let problem = format!("{} bytes; at most {MAX_NOTE_BYTES} are kept", ticket.note.len());
        errors.push(root.field("note"), problem, "shorten it");
    }
    let counts = [
        ("group_sets", ticket.group_sets.len()),
        ("workspaces", ticket.workspaces.len()),
        ("services", ticket.services.len()),
        ("removed", ticket.removed.len()),
    ];
    for (name, count) in counts {
        if count > MAX_OBJECTS {
            let problem = format!("{count} objects; at most {MAX_OBJECTS} fit into a ticket");
            errors.push(root.field(name), problem, "split it into several tickets");
        }
    }
    let has_no_change = counts.iter().all(|(_, count)| *count == 0) && ticket.flags.is_none();
    if has_no_change {
        let remedy = "add group_sets, workspaces, services, flags or removed";
        errors.push(root, "the ticket touches nothing", remedy);
    }
}

fn check_services(services: &[ServiceSpec], index: &ObjectIndex<'_>, errors: &mut ConfigErrorList) {
    let path = FieldPath::root().field("services");
    check_no_duplicates(services.iter().map(|spec| &spec.name), &path, Some("name"), errors);
    for (position, spec) in services.iter().enumerate() {
        let path = path.index(position);
        let slots = path.field("slots_per_server");
        crate::bounds::check_range(errors, slots, spec.slots_per_server, &SLOTS);
        index.check_workspaces(&spec.workspaces, &path.field("workspaces"), errors);
    }
}

fn check_flags(flags: &DeploymentFlags, path: &FieldPath, errors: &mut ConfigErrorList) {
    let weight = flags.downtime_weight.0;
    let weight_path = path.field("downtime_weight");
    crate::bounds::check_range(errors, weight_path, weight, &DOWNTIME_WEIGHT);
    let loads = flags.weight_loads_per_second.0;
    let loads_path = path.field("weight_loads_per_second");
    crate::bounds::check_range(errors, loads_path, loads, &LOADS_PER_SECOND);
}
