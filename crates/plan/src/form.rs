//! Forms groups from free hosts and records the cost of those that are missing.

use {
    crate::{
        capacity::{PackItem, pack},
        group::{ActiveGroup, Forming, Group, GroupMember, GroupPlan},
        host::HostTrack,
        planner::{DomainPlanner, PlanInput},
        types::{HostPhase, LifecyclePhase, MemberHost},
    },
    base::{Epoch, GroupId, GroupSetName, HostId},
    conf::ticket::{FencingMode, GroupSetSpec},
    std::collections::BTreeMap,
};

/// Numbers of groups of one set in the fabric domain, by phase and by whether they match the
/// ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SetCounts {
    /// Groups that match the current ticket and do not drain.
    pub(crate) current: u32,
    /// Those of `current` that serve; the others form or load.
    pub(crate) serving: u32,
    /// Groups of an earlier ticket that do not drain.
    pub(crate) outdated: u32,
    /// Those of `outdated` that serve.
    pub(crate) outdated_serving: u32,
    /// Draining groups, of any ticket.
    pub(crate) draining: u32,
}

impl DomainPlanner {
    /// Whether new groups may use the host once it is free.
    pub(crate) fn is_usable(&self, track: &HostTrack, input: &PlanInput<'_>) -> bool {
        track.listed
            && !track.is_leaving()
            && input.now >= track.avoid_until
            && track.report().is_some_and(|report| report.term <= self.term)
            && track.is_reachable(input.now, &self.settings)
    }

    /// Whether the host can become a member of a new group now: it is usable and assigned to no
    /// group, and its engine is known to be idle.
    pub(crate) fn is_free(&self, track: &HostTrack, input: &PlanInput<'_>) -> bool {
        let idle = if self.safeguards.await_settled_orders {
            track.is_settled_idle(input.fencing())
        } else {
            track.report().is_some_and(|report| report.phase == HostPhase::Idle)
        };
        let fenced = input.fencing() == FencingMode::Ignored
            || !self.safeguards.fence_engines
            || track.is_fenced();
        track.group.is_none() && idle && fenced && self.is_usable(track, input)
    }

    pub(crate) fn free_hosts(&self, input: &PlanInput<'_>) -> Vec<HostId> {
        self.hosts
            .iter()
            .filter(|(_, track)| self.is_free(track, input))
            .map(|(host, _)| host.clone())
            .collect()
    }

    pub(crate) fn counts(&self, spec: &GroupSetSpec) -> SetCounts {
        let mut counts = SetCounts::default();
        for group in self.groups.values().filter(|group| group.plan().set == spec.name) {
            let serving = u32::from(group.phase() == LifecyclePhase::Serving);
            match (group.phase(), group.plan().matches(spec)) {
                (LifecyclePhase::Draining, _) => counts.draining += 1,
                (_, true) => {
                    counts.current += 1;
                    counts.serving += serving;
                }
                (_, false) => {
                    counts.outdated += 1;
                    counts.outdated_serving += serving;
                }
            }
        }
        counts
    }

    /// Returns the cost per second of one missing group of the set: the weighted sum of its value
    /// and its stranded accelerators.
    pub(crate) fn downtime_cost(&self, spec: &GroupSetSpec, input: &PlanInput<'_>) -> f64 {
        let weight = input.desired.flags.downtime_weight.0;
        let accelerators = f64::from(spec.hosts_per_group) * self.mean_accelerators();
        // Never zero, so that the packing prefers any group to idle hosts.
        weight * spec.value.0 + (1.0 - weight) * accelerators + 1e-6
    }

    pub(crate) fn mean_accelerators(&self) -> f64 {
        let total: u32 = self.hosts.values().map(|track| track.entry.accelerators).sum();
        f64::from(total) / (self.hosts.len().max(1) as f64)
    }

    /// Returns the sets that this domain should run, ordered by descending downtime cost.
    pub(crate) fn wanted_sets<'a>(&self, input: &PlanInput<'a>) -> Vec<&'a GroupSetSpec> {
        let desired: &'a _ = input.desired;
        let mut specs: Vec<&GroupSetSpec> = desired
            .group_sets
            .values()
            .filter(|spec| input.target(&spec.name) > 0 && spec.hosts_per_group > 0)
            .collect();
        specs.sort_by(|a, b| {
            let by_cost = self.downtime_cost(b, input).total_cmp(&self.downtime_cost(a, input));
            by_cost.then_with(|| a.name.cmp(&b.name))
        });
        specs
    }

    /// Returns the number of groups of each set that the usable hosts allow, whether or not the
    /// hosts are in groups now; see [`pack`].
    pub(crate) fn pack_groups(&self, input: &PlanInput<'_>) -> BTreeMap<GroupSetName, u32> {
        let usable = self.hosts.values().filter(|track| self.is_usable(track, input)).count();
        let weight = input.desired.flags.downtime_weight;
        let items: Vec<PackItem> = self
            .wanted_sets(input)
            .into_iter()
            .map(|spec| {
                let counts = self.counts(spec);
                PackItem {
                    set: spec.name.clone(),
                    hosts: spec.hosts_per_group,
                    target: input.target(&spec.name),
                    present: counts.current + counts.outdated,
                    downtime_cost: self.downtime_cost(spec, input),
                    held_spares: self.policy.held_spares(spec.spares, weight),
                }
            })
            .collect();
        pack(&items, usable as u32)
    }

    pub(crate) fn allowed(&self, set: &GroupSetName) -> u32 {
        self.allowed.get(set).copied().unwrap_or(0)
    }

    /// Forms missing groups first, then uses remaining hosts to replace outdated groups. If hosts
    /// that will soon be free complete the free ones for a group, all free hosts are reserved for
    /// it: no group of a less costly set is formed in this step.
    pub(crate) fn form_groups(&mut self, input: &PlanInput<'_>) {
        let mut free = self.free_hosts(input);
        for spec in self.wanted_sets(input) {
            while self.is_missing_group(spec) && self.form_from_free(spec, &mut free) {}
            let short = spec.hosts_per_group.saturating_sub(free.len() as u32);
            if self.is_missing_group(spec) && short <= self.hosts_free_soon(input) {
                return;
            }
        }
        if self.is_any_group_missing(input) {
            return;
        }
        for spec in self.wanted_sets(input) {
            while self.wants_replacement(spec, input) && self.form_from_free(spec, &mut free) {}
        }
    }

    pub(crate) fn is_any_group_missing(&self, input: &PlanInput<'_>) -> bool {
        self.wanted_sets(input).into_iter().any(|spec| self.is_missing_group(spec))
    }

    /// Returns the number of usable hosts that are not free yet but belong to no group or a
    /// draining one.
    fn hosts_free_soon(&self, input: &PlanInput<'_>) -> u32 {
        let free_soon = |track: &&HostTrack| {
            let group = track.group.as_ref().and_then(|group| self.groups.get(group));
            let leaves = group.is_none_or(|group| group.phase() == LifecyclePhase::Draining);
            leaves && self.is_usable(track, input) && !self.is_free(track, input)
        };
        self.hosts.values().filter(free_soon).count() as u32
    }

    fn form_from_free(&mut self, spec: &GroupSetSpec, free: &mut Vec<HostId>) -> bool {
        let size = spec.hosts_per_group as usize;
        if free.len() < size {
            return false;
        }
        let chosen: Vec<HostId> = free.drain(..size).collect();
        self.form_group(spec, &chosen);
        true
    }

    pub(crate) fn is_missing_group(&self, spec: &GroupSetSpec) -> bool {
        let counts = self.counts(spec);
        counts.current + counts.outdated < self.allowed(&spec.name)
    }

    /// Whether to load a current group while the outdated ones still serve. Only one is loaded at a
    /// time.
    fn wants_replacement(&self, spec: &GroupSetSpec, input: &PlanInput<'_>) -> bool {
        let counts = self.counts(spec);
        let loading = counts.current > counts.serving;
        counts.outdated > 0 && !loading && counts.current < input.target(&spec.name)
    }

    fn form_group(&mut self, spec: &GroupSetSpec, chosen: &[HostId]) {
        self.groups_formed += 1;
        let group = self.group_id();
        let mut members = Vec::with_capacity(chosen.len());
        for host in chosen {
            let Some(track) = self.hosts.get_mut(host) else { continue };
            track.group = Some(group.clone());
            let member = MemberHost { host: host.clone(), address: track.entry.address };
            members.push(GroupMember { member, boot_id: track.report().map(|report| report.boot) });
        }
        let plan = GroupPlan::new(group.clone(), Epoch(1), spec, members);
        self.groups.insert(group, ActiveGroup::Forming(Group::<Forming>::new(plan)));
    }

    /// Returns an id that no earlier group has, because a fabric domain never reuses a term.
    fn group_id(&self) -> GroupId {
        GroupId::new(format!("{}{}", self.group_id_prefix, self.groups_formed))
            .expect("a short text of allowed characters")
    }

    pub(crate) fn record_costs(&mut self, input: &PlanInput<'_>) {
        let missing = self
            .wanted_sets(input)
            .into_iter()
            .map(|spec| {
                let counts = self.counts(spec);
                let serving = counts.serving + counts.outdated_serving;
                (spec.name.clone(), self.allowed(&spec.name).saturating_sub(serving))
            })
            .collect();
        let stranded = self
            .hosts
            .values()
            .filter(|track| track.listed && track.is_reachable(input.now, &self.settings))
            .filter(|track| !self.serves(track))
            .map(|track| track.entry.accelerators)
            .sum();
        self.ledger.record(input.now, missing, stranded);
    }

    fn serves(&self, track: &HostTrack) -> bool {
        let group = track.group.as_ref().and_then(|group| self.groups.get(group));
        group.is_some_and(|group| group.phase() == LifecyclePhase::Serving)
    }
}
