//! Computes the numbers of groups that the hosts of a fabric domain allow (a bounded knapsack).

use {base::GroupSetName, std::collections::BTreeMap};

/// A group set whose number of groups is to be chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PackItem {
    pub(crate) set: GroupSetName,
    /// Number of hosts per group; no group of a set with 0 is packed.
    pub(crate) hosts: u32,
    /// Number of groups that this domain should run; the packing never exceeds it.
    pub(crate) target: u32,
    /// Number of groups of the set that exist already, current or outdated, except draining ones.
    pub(crate) present: u32,
    /// Cost per second of one missing group.
    pub(crate) downtime_cost: f64,
    /// Number of hosts to keep free as spares of the set; see [`crate::RepairPolicy::held_spares`].
    pub(crate) held_spares: u32,
}

/// Relative increase of the value of an existing group over one that would have to be loaded, so
/// that sets of nearly equal cost don't displace each other's groups.
const PRESENT_GROUP_BONUS: f64 = 0.05;

/// Returns the numbers of groups with the greatest total value that `hosts` hosts allow.
///
/// Held spares are withheld from sets with a lower downtime cost than every set that holds spares.
/// All other sets, including those that hold them, may use the spares for their own groups.
pub(crate) fn pack(items: &[PackItem], hosts: u32) -> BTreeMap<GroupSetName, u32> {
    let hosts = hosts as usize;
    let holding_items = items.iter().filter(|item| item.held_spares > 0 && item.target > 0);
    let held_spares = holding_items.clone().map(|item| item.held_spares as usize).sum::<usize>();
    let min_holding_cost =
        holding_items.map(|item| item.downtime_cost).fold(f64::INFINITY, f64::min);
    let (costly_items, other_items): (Vec<&PackItem>, Vec<&PackItem>) =
        items.iter().partition(|item| held_spares == 0 || item.downtime_cost >= min_holding_cost);
    let (costly_table, other_table) =
        (PackTable::new(&costly_items, hosts), PackTable::new(&other_items, hosts));
    let remaining = |used: usize| hosts.saturating_sub(held_spares + used);
    let total_value = |used: usize| costly_table.best[used] + other_table.best[remaining(used)];
    let used =
        (0..=hosts).rev().max_by(|a, b| total_value(*a).total_cmp(&total_value(*b))).unwrap_or(0);
    let mut counts = costly_table.counts(used);
    counts.extend(other_table.counts(remaining(used)));
    counts
}

/// Dynamic-programming table: the greatest value, and the choice behind it, for each number of
/// hosts.
struct PackTable<'a> {
    items: &'a [&'a PackItem],
    best: Vec<f64>,
    choices: Vec<Vec<u32>>,
}

impl<'a> PackTable<'a> {
    fn new(items: &'a [&'a PackItem], hosts: usize) -> Self {
        let mut best = vec![0.0_f64; hosts + 1];
        let mut choices = Vec::with_capacity(items.len());
        for item in items {
            let (next, choice) = add_item(item, &best);
            best = next;
            choices.push(choice);
        }
        Self { items, best, choices }
    }

    fn counts(&self, hosts: usize) -> BTreeMap<GroupSetName, u32> {
        let mut remaining = hosts;
        let mut counts = BTreeMap::new();
        for (item, choice) in self.items.iter().zip(&self.choices).rev() {
            let count = choice[remaining];
            remaining -= (count * item.hosts) as usize;
            counts.insert(item.set.clone(), count);
        }
        counts
    }
}

fn add_item(item: &PackItem, best: &[f64]) -> (Vec<f64>, Vec<u32>) {
    let mut next = best.to_vec();
    let mut choice = vec![0; best.len()];
    if item.hosts == 0 {
        return (next, choice);
    }
    for hosts in 0..best.len() {
        let max_count = item.target.min(hosts as u32 / item.hosts);
        for count in 1..=max_count {
            let value = best[hosts - (count * item.hosts) as usize] + packed_value(item, count);
            if value > next[hosts] + 1e-9 {
                next[hosts] = value;
                choice[hosts] = count;
            }
        }
    }
    (next, choice)
}

fn packed_value(item: &PackItem, count: u32) -> f64 {
    let kept = f64::from(count.min(item.present));
    item.downtime_cost * (f64::from(count) + PRESENT_GROUP_BONUS * kept)
}
