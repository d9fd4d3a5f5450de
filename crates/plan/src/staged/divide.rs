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
/// With enough domains all but one serve one model each: all hosts of such a domain have the same
/// weights at hand, so what is left of several broken groups can form a whole one without a load.
/// The last domain is shared and evens out what whole domains are too coarse for.
pub fn divide_groups(
    hosts: &BTreeMap<FabricDomainId, usize>,
    models: &[StagedModel],
) -> BTreeMap<FabricDomainId, Vec<ModelName>> {
    let whole = match hosts.len() >= DOMAINS_A_MODEL * models.len() {
        true => hosts.len() - 1,
        false => 0,
    };
    let mut division = GroupDivision::new(models);
    for (domain, hosts) in hosts.iter().take(whole) {
        division.give_whole(domain, *hosts);
    }
    division.share(hosts.iter().skip(whole));
    division.groups
}

struct GroupDivision<'a> {
    models: &'a [StagedModel],
    /// Groups of each model so far.
    counts: Vec<u32>,
    groups: BTreeMap<FabricDomainId, Vec<ModelName>>,
}

impl<'a> GroupDivision<'a> {
    fn new(models: &'a [StagedModel]) -> Self {
        Self { models, counts: vec![0; models.len()], groups: BTreeMap::new() }
    }

    /// Gives a domain to the model whose groups would carry most without it.
    fn give_whole(&mut self, domain: &FabricDomainId, hosts: usize) {
        let fits = |at: &usize| (1..=hosts).contains(&self.models[*at].size);
        // Half of what the domain would bring is counted in, as for the first seat of a party.
        let claim = |at: usize| {
            let model = &self.models[at];
            let more = (hosts / model.size) as f64;
            model.demand.0 / model.size as f64 / (f64::from(self.counts[at]) + more / 2.0)
        };
        let candidates = (0..self.models.len()).filter(fits);
        let Some(at) = candidates.max_by(|a, b| claim(*a).total_cmp(&claim(*b))) else { return };
        let model = &self.models[at];
        let groups = hosts / model.size;
        self.counts[at] += groups as u32;
        self.groups.insert(domain.clone(), vec![model.name.clone(); groups]);
    }

    /// Models take turns by how much work one more group of each would carry; a group goes to the
    /// domain with the most hosts left.
    fn share<'b>(&mut self, hosts: impl Iterator<Item = (&'b FabricDomainId, &'b usize)>) {
        let smallest = self.models.iter().map(|model| model.size).min().unwrap_or(0);
        let reserve = |hosts: usize| {
            let reserve = (hosts as f64 * RESERVE_PART).ceil() as usize;
            if hosts >= smallest + reserve { reserve } else { 0 }
        };
        let mut left: BTreeMap<&FabricDomainId, usize> =
            hosts.map(|(domain, hosts)| (domain, hosts - reserve(*hosts))).collect();
        let models = self.models;
        loop {
            let mut order: Vec<usize> =
                (0..models.len()).filter(|at| models[*at].size > 0).collect();
            let need = |at: usize| models[at].need(self.counts[at]);
            order.sort_by(|a, b| need(*b).total_cmp(&need(*a)));
            let placed = order.into_iter().find_map(|at| {
                let fitting = left.iter().filter(|(_, left)| **left >= models[at].size);
                let roomiest = fitting.max_by_key(|(domain, left)| (**left, Reverse(**domain)));
                roomiest.map(|(domain, _)| (at, *domain))
            });
            let Some((at, domain)) = placed else { return };
            self.counts[at] += 1;
            if let Some(left) = left.get_mut(domain) {
                *left -= models[at].size;
            }
            self.groups.entry(domain.clone()).or_default().push(models[at].name.clone());
        }
    }
}
