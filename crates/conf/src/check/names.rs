//! Detects duplicate names in a ticket and references to objects that do not exist.

use {
    crate::{
        config_error::{ConfigErrorList, FieldPath},
        ticket::{ChangeTicket, DesiredState, ObjectName},
    },
    base::WorkspaceId,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
    },
};

/// Adds an error for each repeated name in a list. `field` is the field with the name, or `None` if
/// the list elements are names.
pub(super) fn check_no_duplicates<'a, T: Ord + Display + 'a>(
    names: impl Iterator<Item = &'a T>,
    path: &FieldPath,
    field: Option<&str>,
    errors: &mut ConfigErrorList,
) {
    let mut first = BTreeMap::new();
    for (position, name) in names.enumerate() {
        let element = path.index(position);
        let place = field.map_or(element.clone(), |field| element.field(field));
        if let Some(earlier) = first.get(name) {
            let problem = format!("`{name}` stands already at {path}[{earlier}]");
            errors.push(place, problem, "keep one of the two");
            continue;
        }
        first.insert(name, position);
    }
}

/// Index of the objects that a ticket sets and removes, and the state it would be applied to.
pub(super) struct ObjectIndex<'a> {
    ticket: &'a ChangeTicket,
    desired: Option<&'a DesiredState>,
    set_objects: BTreeSet<ObjectName>,
    removed: BTreeSet<&'a ObjectName>,
}

impl<'a> ObjectIndex<'a> {
    pub(super) fn new(ticket: &'a ChangeTicket, desired: Option<&'a DesiredState>) -> Self {
        let sets = ticket.group_sets.iter().map(|spec| ObjectName::GroupSet(spec.name.clone()));
        let workspaces =
            ticket.workspaces.iter().map(|spec| ObjectName::Workspace(spec.name.clone()));
        let services = ticket.services.iter().map(|spec| ObjectName::Service(spec.name.clone()));
        let flags = ticket.flags.iter().map(|_| ObjectName::Flags);
        let set_objects = sets.chain(workspaces).chain(services).chain(flags).collect();
        Self { ticket, desired, set_objects, removed: ticket.removed.iter().collect() }
    }

    /// Rejects removals that are repeated, conflict with a set object, or name an unknown object.
    pub(super) fn check_removed(&self, errors: &mut ConfigErrorList) {
        let path = FieldPath::root().field("removed");
        let mut seen = BTreeSet::new();
        for (position, name) in self.ticket.removed.iter().enumerate() {
            let path = path.index(position);
            if !seen.insert(name) {
                errors.push(path, format!("{name} is removed twice"), "keep one of the two");
                continue;
            }
            if self.set_objects.contains(name) {
                let problem = format!("{name} is set and removed by the same ticket");
                errors.push(path, problem, "keep one of the two");
                continue;
            }
            if self.desired.is_some_and(|desired| !desired.has(name)) {
                let problem = format!("{name} does not exist");
                errors.push(path, problem, "drop the line or correct the name");
            }
        }
    }

    /// Rejects repeated and unknown workspaces in the `workspaces` list of an object.
    pub(super) fn check_workspaces(
        &self,
        workspaces: &[WorkspaceId],
        path: &FieldPath,
        errors: &mut ConfigErrorList,
    ) {
        check_no_duplicates(workspaces.iter(), path, None, errors);
        for (position, workspace) in workspaces.iter().enumerate() {
            if !self.may_exist(workspace) {
                let problem = format!("no workspace `{workspace}`");
                let remedy = "add it to workspaces or correct the name";
                errors.push(path.index(position), problem, remedy);
            }
        }
    }

    /// Rejects the removal of a workspace that an object outside the ticket still references.
    pub(super) fn check_remaining_references(&self, errors: &mut ConfigErrorList) {
        let Some(desired) = self.desired else {
            return;
        };
        for (position, name) in self.ticket.removed.iter().enumerate() {
            let ObjectName::Workspace(workspace) = name else {
                continue;
            };
            for referrer in self.remaining_referrers(desired, workspace) {
                let path = FieldPath::root().field("removed").index(position);
                let problem = format!("{referrer} still names workspace `{workspace}`");
                errors.push(path, problem, "change or remove it in the same ticket");
            }
        }
    }

    fn remaining_referrers(
        &self,
        desired: &DesiredState,
        workspace: &WorkspaceId,
    ) -> Vec<ObjectName> {
        let sets = desired.group_sets.values().filter(|spec| spec.workspaces.contains(workspace));
        let sets = sets.map(|spec| ObjectName::GroupSet(spec.name.clone()));
        let services = desired.services.values().filter(|spec| spec.workspaces.contains(workspace));
        let services = services.map(|spec| ObjectName::Service(spec.name.clone()));
        let untouched =
            |name: &ObjectName| !self.set_objects.contains(name) && !self.removed.contains(name);
        sets.chain(services).filter(untouched).collect()
    }

    fn may_exist(&self, workspace: &WorkspaceId) -> bool {
        let name = ObjectName::Workspace(workspace.clone());
        if self.set_objects.contains(&name) {
            return true;
        }
        if self.removed.contains(&name) {
            return false;
        }
        self.desired.is_none_or(|desired| desired.has(&name))
    }
}
