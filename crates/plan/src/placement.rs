//! Divides the replicas of each group set over the fabric domains.

use {
    crate::hash::hash_text,
    base::{FabricDomainId, GroupSetName},
    conf::ticket::{DesiredState, GroupSetSpec},
    std::collections::BTreeMap,
};

base::value_type!(
    /// Engine hosts of a fabric domain that groups can be placed on.
    pub struct DomainCapacity {
        /// The fabric domain; if a list names one twice, the last entry counts.
        pub domain: FabricDomainId,
        /// Number of engine hosts that are not about to leave.
        pub hosts: u32,
    }
);

base::value_type!(
    /// Number of groups of each set that each fabric domain should run.
    #[derive(Default)]
    pub struct PlacementTable {
        /// Numbers of groups by fabric domain and set; zero counts are omitted.
        pub targets: BTreeMap<FabricDomainId, BTreeMap<GroupSetName, u32>>,
    }
);

impl PlacementTable {
    /// Returns the numbers of groups of one fabric domain by set; empty if it should run none.
    pub fn of(&self, domain: &FabricDomainId) -> BTreeMap<GroupSetName, u32> {
        self.targets.get(domain).cloned().unwrap_or_default()
    }
}

/// Divides the replicas of each set over the fabric domains.
///
/// The same input gives the same table on every node. Sets are placed in descending order of value.
/// Each replica goes to the domain with the lowest utilization by the set, relative to the number
/// of its groups that fit there. This is a divisor method, so adding a replica never moves another.
/// Ties are broken by rendezvous hashing. Spare hosts are used last. Replicas that fit nowhere are
/// not placed.
pub fn place_sets(desired: &DesiredState, domains: &[DomainCapacity]) -> PlacementTable {
    let mut free: BTreeMap<&FabricDomainId, u32> =
        domains.iter().map(|capacity| (&capacity.domain, capacity.hosts)).collect();
    let mut table = PlacementTable::default();
    for spec in by_value(desired) {
        place_set(spec, &mut free, &mut table);
    }
    table
}

fn by_value(desired: &DesiredState) -> Vec<&GroupSetSpec> {
    let mut specs: Vec<&GroupSetSpec> = desired.group_sets.values().collect();
    specs.sort_by(|a, b| b.value.0.total_cmp(&a.value.0).then_with(|| a.name.cmp(&b.name)));
    specs
}

fn place_set(
    spec: &GroupSetSpec,
    free: &mut BTreeMap<&FabricDomainId, u32>,
    table: &mut PlacementTable,
) {
    if spec.hosts_per_group == 0 {
        return;
    }
    let allowed: Vec<&FabricDomainId> =
        free.keys().copied().filter(|domain| is_allowed(spec, domain)).collect();
    let mut placed: BTreeMap<&FabricDomainId, u32> = BTreeMap::new();
    let max_groups: BTreeMap<&FabricDomainId, u32> =
        allowed.iter().map(|domain| (*domain, free[domain] / spec.hosts_per_group)).collect();
    for _ in 0..spec.replicas {
        let has_room = |domain: &FabricDomainId, spares: u32| {
            let kept_spares = if placed.contains_key(domain) { spares } else { 0 };
            free[domain] >= spec.hosts_per_group + kept_spares
        };
        let best_domain_with = |spares: u32| {
            let candidates = allowed.iter().copied().filter(|domain| has_room(domain, spares));
            least_utilized(spec, &max_groups, &placed, candidates)
        };
        let best = best_domain_with(spec.spares).or_else(|| best_domain_with(0));
        let Some(domain) = best else { break };
        *placed.entry(domain).or_default() += 1;
        *free.get_mut(domain).expect("an allowed domain") -= spec.hosts_per_group;
    }
    for (domain, count) in placed {
        table.targets.entry(domain.clone()).or_default().insert(spec.name.clone(), count);
    }
}

fn is_allowed(spec: &GroupSetSpec, domain: &FabricDomainId) -> bool {
    spec.fabric_domains.is_empty() || spec.fabric_domains.contains(domain)
}

fn least_utilized<'a>(
    spec: &GroupSetSpec,
    max_groups: &BTreeMap<&'a FabricDomainId, u32>,
    placed: &BTreeMap<&'a FabricDomainId, u32>,
    candidates: impl Iterator<Item = &'a FabricDomainId>,
) -> Option<&'a FabricDomainId> {
    let used = |domain: &FabricDomainId| u64::from(placed.get(domain).copied().unwrap_or(0));
    candidates.max_by(|a, b| {
        let weighted_a = u64::from(max_groups[*a]) * (used(b) + 1);
        let weighted_b = u64::from(max_groups[*b]) * (used(a) + 1);
        weighted_a.cmp(&weighted_b).then_with(|| score(spec, a).cmp(&score(spec, b)))
    })
}

/// Returns the rendezvous hash of a set and a fabric domain, which breaks ties alike on every node.
fn score(spec: &GroupSetSpec, domain: &FabricDomainId) -> u64 {
    hash_text(&format!("{} {domain}", spec.name))
}
