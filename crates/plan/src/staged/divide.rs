//! Divides the groups that are formed before traffic over the fabric domains.

use {
    super::types::StagedModel,
    base::{FabricDomainId, ModelName},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Fraction of a shared domain's hosts that stays free, as spares to repair groups with.
const SPARE_FRACTION: f64 = 0.1;
/// With at least this many domains per model, each domain but the last is dedicated to one model.
const DEDICATED_DOMAINS_PER_MODEL: usize = 2;

/// Divides the groups that are formed before traffic over the fabric domains, given the number of
/// hosts of each. Every owner computes the same division from the same input without talking to the
/// others.
///
/// With enough domains, each but the last is dedicated to one model. All hosts of such a domain
/// have the same model staged, so the remaining members of several broken groups can form a new
/// group without a load. The last domain is shared by all models; whole domains alone would divide
/// the hosts too coarsely.
pub fn divide_groups(
    hosts: &BTreeMap<FabricDomainId, usize>,
    models: &[StagedModel],
) -> BTreeMap<FabricDomainId, Vec<ModelName>> {
    let dedicated = match hosts.len() >= DEDICATED_DOMAINS_PER_MODEL * models.len() {
        true => hosts.len() - 1,
        false => 0,
    };
    let mut division = GroupDivision::new(models);
    for (domain, hosts) in hosts.iter().take(dedicated) {
        division.dedicate(domain, *hosts);
    }
    division.fill_shared(hosts.iter().skip(dedicated));
    division.groups
}

struct GroupDivision<'a> {
    models: &'a [StagedModel],
    /// Number of groups given to each model so far, in the order of `models`.
    counts: Vec<u32>,
    groups: BTreeMap<FabricDomainId, Vec<ModelName>>,
}

impl<'a> GroupDivision<'a> {
    fn new(models: &'a [StagedModel]) -> Self {
        Self { models, counts: vec![0; models.len()], groups: BTreeMap::new() }
    }

    /// Dedicates a domain to the model with the most demand per host.
    fn dedicate(&mut self, domain: &FabricDomainId, hosts: usize) {
        let fits = |index: &usize| (1..=hosts).contains(&self.models[*index].size);
        // The quotient of the Sainte-Laguë method, with the domain's groups as one seat: adding
        // half of them keeps the divisor above zero for a model without a group.
        let quotient = |index: usize| {
            let model = &self.models[index];
            let added = (hosts / model.size) as f64;
            model.demand.0 / model.size as f64 / (f64::from(self.counts[index]) + added / 2.0)
        };
        let candidates = (0..self.models.len()).filter(fits);
        let Some(index) = candidates.max_by(|a, b| quotient(*a).total_cmp(&quotient(*b))) else {
            return;
        };
        let model = &self.models[index];
        let groups = hosts / model.size;
        self.counts[index] += groups as u32;
        self.groups.insert(domain.clone(), vec![model.name.clone(); groups]);
    }

    /// Fills shared domains group by group: the next group is of the model with the greatest need
    /// and goes to the domain with the most remaining hosts.
    fn fill_shared<'b>(&mut self, hosts: impl Iterator<Item = (&'b FabricDomainId, &'b usize)>) {
        let smallest = self.models.iter().map(|model| model.size).min().unwrap_or(0);
        let spares = |hosts: usize| {
            let spares = (hosts as f64 * SPARE_FRACTION).ceil() as usize;
            if hosts >= smallest + spares { spares } else { 0 }
        };
        let mut remaining: BTreeMap<&FabricDomainId, usize> =
            hosts.map(|(domain, hosts)| (domain, hosts - spares(*hosts))).collect();
        let models = self.models;
        loop {
            let mut order: Vec<usize> =
                (0..models.len()).filter(|index| models[*index].size > 0).collect();
            let need = |index: usize| models[index].need(self.counts[index]);
            order.sort_by(|a, b| need(*b).total_cmp(&need(*a)));
            let placed = order.into_iter().find_map(|index| {
                let fitting =
                    remaining.iter().filter(|(_, remaining)| **remaining >= models[index].size);
                let roomiest =
                    fitting.max_by_key(|(domain, remaining)| (**remaining, Reverse(**domain)));
                roomiest.map(|(domain, _)| (index, *domain))
            });
            let Some((index, domain)) = placed else { return };
            self.counts[index] += 1;
            if let Some(remaining) = remaining.get_mut(domain) {
                *remaining -= models[index].size;
            }
            self.groups.entry(domain.clone()).or_default().push(models[index].name.clone());
        }
    }
}
