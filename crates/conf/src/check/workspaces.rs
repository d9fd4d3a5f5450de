//! Validation of workspaces, their callers' keys and their limits.

use {
    super::names::check_no_duplicates,
    crate::{
        bounds::check_range,
        config_error::{ConfigErrorList, FieldPath},
        ticket::{CallerSpec, ChangeTicket, DesiredState, ObjectName, WorkspaceSpec},
    },
    base::WorkspaceId,
    std::{collections::BTreeMap, ops::RangeInclusive},
};

/// Range of `limits.requests_per_second`.
pub const REQUESTS_PER_SECOND: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Range of `limits.in_flight`.
pub const IN_FLIGHT: RangeInclusive<u32> = 0..=1_000_000;
/// Range of `share`, a relative weight; zero is not allowed.
pub const SHARE: RangeInclusive<f64> = 0.001..=1_000.0;
/// Maximum number of callers in one workspace.
pub const MAX_CALLERS: usize = 1_000;
/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

pub(super) fn check_workspaces(
    ticket: &ChangeTicket,
    desired: Option<&DesiredState>,
    errors: &mut ConfigErrorList,
) {
    let path = FieldPath::root().field("workspaces");
    let names = ticket.workspaces.iter().map(|spec| &spec.name);
    check_no_duplicates(names, &path, Some("name"), errors);
    for (position, spec) in ticket.workspaces.iter().enumerate() {
        check_workspace(spec, &path.index(position), errors);
    }
    check_keys(ticket, desired, &path, errors);
}

fn check_workspace(spec: &WorkspaceSpec, path: &FieldPath, errors: &mut ConfigErrorList) {
    check_range(errors, path.field("share"), spec.share.0, &SHARE);
    let limits = path.field("limits");
    let rate = spec.limits.requests_per_second.0;
    check_range(errors, limits.field("requests_per_second"), rate, &REQUESTS_PER_SECOND);
    check_range(errors, limits.field("in_flight"), spec.limits.in_flight, &IN_FLIGHT);
    let callers = path.field("callers");
    if spec.callers.len() > MAX_CALLERS {
        let problem = format!("{} callers; at most {MAX_CALLERS}", spec.callers.len());
        errors.push(callers.clone(), problem, "split the workspace");
    }
    let names = spec.callers.iter().map(|caller| &caller.name);
    check_no_duplicates(names, &callers, Some("name"), errors);
    for (position, caller) in spec.callers.iter().enumerate() {
        check_hash(caller, callers.index(position).field("key_sha256"), errors);
    }
}

fn check_hash(caller: &CallerSpec, path: FieldPath, errors: &mut ConfigErrorList) {
    let digits = &caller.key_sha256;
    let is_hash = digits.len() == HASH_DIGITS
        && digits.bytes().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
    if !is_hash {
        let remedy = "give the SHA-256 of the key in 64 lower-case hexadecimal digits, never \
                      the key itself";
        errors.push(path, "not a SHA-256 hash", remedy);
    }
}

/// Rejects a key that several callers share, in any workspace: a key has to identify its caller.
fn check_keys(
    ticket: &ChangeTicket,
    desired: Option<&DesiredState>,
    path: &FieldPath,
    errors: &mut ConfigErrorList,
) {
    let mut callers_by_key = untouched_keys(ticket, desired);
    for (position, spec) in ticket.workspaces.iter().enumerate() {
        for (caller_position, caller) in spec.callers.iter().enumerate() {
            let caller_label = format!("caller `{}` of workspace `{}`", caller.name, spec.name);
            if let Some(other) = callers_by_key.get(caller.key_sha256.as_str()) {
                let callers = path.index(position).field("callers");
                let place = callers.index(caller_position).field("key_sha256");
                let problem = format!("{other} has the same key");
                errors.push(place, problem, "give each caller its own key");
                continue;
            }
            callers_by_key.insert(caller.key_sha256.as_str(), caller_label);
        }
    }
}

/// Returns the keys of the workspaces that the ticket neither sets nor removes, each with a
/// description of its caller.
fn untouched_keys<'a>(
    ticket: &'a ChangeTicket,
    desired: Option<&'a DesiredState>,
) -> BTreeMap<&'a str, String> {
    let touched = |name: &WorkspaceId| {
        let object = ObjectName::Workspace(name.clone());
        ticket.removed.contains(&object) || ticket.workspaces.iter().any(|spec| spec.name == *name)
    };
    let workspaces = desired.into_iter().flat_map(|desired| desired.workspaces.values());
    let untouched = workspaces.filter(|spec| !touched(&spec.name));
    untouched
        .flat_map(|spec| {
            spec.callers.iter().map(|caller| {
                let caller_label = format!("caller `{}` of workspace `{}`", caller.name, spec.name);
                (caller.key_sha256.as_str(), caller_label)
            })
        })
        .collect()
}
