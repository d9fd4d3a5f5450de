//! Which models' groups each fabric domain begins with.

use {
    super::types::StagedModel,
    base::{FabricDomainId, ModelName},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Part of a domain's hosts that is left free, for the groups of the domain to be mended with.
const RESERVE_PART: f64 = 0.1;

/// Divides groups over domains by the number of hosts of each. Every owner computes the same
/// division from the same numbers, without a word to the others.
///
/// Models take turns by how much work one more group of each would carry; a group goes to the
/// domain with the most hosts left.
pub fn divide_groups(
    hosts: &BTreeMap<FabricDomainId, usize>,
    models: &[StagedModel],
) -> BTreeMap<FabricDomainId, Vec<ModelName>> {
    let reserve = |hosts: usize| (hosts as f64 * RESERVE_PART).ceil() as usize;
    let mut left: BTreeMap<&FabricDomainId, usize> =
        hosts.iter().map(|(domain, hosts)| (domain, hosts - reserve(*hosts))).collect();
    let mut counts = vec![0_u32; models.len()];
    let mut division: BTreeMap<FabricDomainId, Vec<ModelName>> = BTreeMap::new();
    loop {
        let mut order: Vec<usize> = (0..models.len()).filter(|at| models[*at].size > 0).collect();
        order.sort_by(|a, b| models[*b].need(counts[*b]).total_cmp(&models[*a].need(counts[*a])));
        let placed = order.into_iter().find_map(|at| {
            let size = models[at].size;
            let fitting = left.iter().filter(|(_, left)| **left >= size);
            let roomiest = fitting.max_by_key(|(domain, left)| (**left, Reverse(**domain)));
            roomiest.map(|(domain, _)| (at, *domain))
        });
        let Some((at, domain)) = placed else { return division };
        counts[at] += 1;
        if let Some(left) = left.get_mut(domain) {
            *left -= models[at].size;
        }
        division.entry(domain.clone()).or_default().push(models[at].name.clone());
    }
}
