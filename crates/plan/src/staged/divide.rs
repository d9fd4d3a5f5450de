//! Which models' groups each fabric domain begins with.

use {
    super::types::StagedModel,
    base::{FabricDomainId, ModelName},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Part of a domain's hosts that is left free where models share domains, for groups to be mended
/// with.
const RESERVE_PART: f64 = 0.1;
/// Domains for each model from which on each domain serves one model only.
const DOMAINS_A_MODEL: usize = 2;

/// Divides groups over domains by the number of hosts of each. Every owner computes the same
/// division from the same numbers, without a word to the others.
///
/// With enough domains each serves one model: then all its hosts have the same weights at hand, and
/// what is left of several broken groups can form a whole one without a load.
pub fn divide_groups(
    hosts: &BTreeMap<FabricDomainId, usize>,
    models: &[StagedModel],
) -> BTreeMap<FabricDomainId, Vec<ModelName>> {
    if hosts.len() >= DOMAINS_A_MODEL * models.len() {
        whole_domains(hosts, models)
    } else {
        shared_domains(hosts, models)
    }
}

/// Gives whole domains to models in turns, each to the model whose groups would carry most, so that neighbours in the
/// order, which often stand in one failure domain, serve different models.
fn whole_domains(
    hosts: &BTreeMap<FabricDomainId, usize>,
    models: &[StagedModel],
) -> BTreeMap<FabricDomainId, Vec<ModelName>> {
    let mut given = vec![0_usize; models.len()];
    let mut division = BTreeMap::new();
    for (domain, hosts) in hosts {
        let fits = |at: &usize| (1..=*hosts).contains(&models[*at].size);
        // Half of what one more domain would bring, as for the first seat of a party.
        let claim = |at: usize| {
            let more = (hosts / models[at].size) as f64;
            models[at].demand.0 / models[at].size as f64 / (given[at] as f64 + more / 2.0)
        };
        let candidates = (0..models.len()).filter(fits);
        let Some(at) = candidates.max_by(|a, b| claim(*a).total_cmp(&claim(*b))) else { continue };
        let model = &models[at];
        given[at] += hosts / model.size;
        division.insert(domain.clone(), vec![model.name.clone(); hosts / model.size]);
    }
    division
}

/// Models take turns by how much work one more group of each would carry; a group goes to the
/// domain with the most hosts left.
fn shared_domains(
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
