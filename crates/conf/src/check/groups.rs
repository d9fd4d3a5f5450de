//! Validation of group sets.

use {
    super::{
        SLOTS,
        names::{ObjectIndex, check_no_duplicates},
    },
    crate::{
        bounds::check_range,
        config_error::{ConfigErrorList, FieldPath},
        ticket::{ChangeTicket, GroupSetSpec},
    },
    std::ops::RangeInclusive,
};

/// Range of `hosts_per_group`.
pub const HOSTS_PER_GROUP: RangeInclusive<u32> = 1..=256;
/// Range of `replicas`; 0 keeps the set without groups.
pub const REPLICAS: RangeInclusive<u32> = 0..=10_000;
/// Range of `spares`, per fabric domain.
pub const SPARES: RangeInclusive<u32> = 0..=1_000;
/// Range of `value`.
pub const GROUP_VALUE: RangeInclusive<f64> = 0.0..=1_000_000.0;

pub(super) fn check_group_sets(
    ticket: &ChangeTicket,
    index: &ObjectIndex<'_>,
    errors: &mut ConfigErrorList,
) {
    let path = FieldPath::root().field("group_sets");
    let names = ticket.group_sets.iter().map(|spec| &spec.name);
    check_no_duplicates(names, &path, Some("name"), errors);
    for (position, spec) in ticket.group_sets.iter().enumerate() {
        check_group_set(spec, &path.index(position), index, errors);
    }
}

fn check_group_set(
    spec: &GroupSetSpec,
    path: &FieldPath,
    index: &ObjectIndex<'_>,
    errors: &mut ConfigErrorList,
) {
    let numbers = [
        ("hosts_per_group", spec.hosts_per_group, HOSTS_PER_GROUP),
        ("replicas", spec.replicas, REPLICAS),
        ("spares", spec.spares, SPARES),
        ("slots_per_group", spec.slots_per_group, SLOTS),
    ];
    for (name, value, range) in numbers {
        check_range(errors, path.field(name), value, &range);
    }
    check_range(errors, path.field("value"), spec.value.0, &GROUP_VALUE);
    let domains = path.field("fabric_domains");
    check_no_duplicates(spec.fabric_domains.iter(), &domains, None, errors);
    index.check_workspaces(&spec.workspaces, &path.field("workspaces"), errors);
}
