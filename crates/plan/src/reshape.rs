//! Dissolves groups that are surplus or outdated, or whose hosts a costlier set needs.

use {
    crate::{
        form::SetCounts,
        group::ActiveGroup,
        planner::{DomainPlanner, PlanInput},
        types::LifecyclePhase,
    },
    base::{GroupId, GroupSetName},
    conf::ticket::GroupSetSpec,
};

impl DomainPlanner {
    pub(crate) fn reshape_groups(&mut self, input: &PlanInput<'_>) {
        self.drain_unwanted(input);
        for spec in self.wanted_sets(input) {
            self.release_idle_outdated(spec);
            self.drain_outdated(spec, input);
            self.drain_surplus(spec, input);
        }
        self.drain_for_missing(input);
    }

    /// Dissolves the groups of sets of which this domain should run none.
    fn drain_unwanted(&mut self, input: &PlanInput<'_>) {
        let unwanted: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, group)| input.target(&group.plan().set) == 0)
            .map(|(id, _)| id.clone())
            .collect();
        for id in unwanted {
            self.dissolve_group(&id, input);
        }
    }

    /// Releases outdated groups that do not serve yet. They have no requests to finish.
    fn release_idle_outdated(&mut self, spec: &GroupSetSpec) {
        let idle: Vec<GroupId> = self
            .groups_of_set(&spec.name)
            .filter(|(_, group)| !group.plan().matches(spec))
            .filter(|(_, group)| {
                matches!(group.phase(), LifecyclePhase::Forming | LifecyclePhase::Loading)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in idle {
            self.release_group(&id);
        }
    }

    /// Drains one outdated group at a time: when its replacement already serves, or to free hosts
    /// when too few are available to load the replacement first.
    fn drain_outdated(&mut self, spec: &GroupSetSpec, input: &PlanInput<'_>) {
        let counts = self.counts(spec);
        if counts.outdated == 0 {
            return;
        }
        let target = input.target(&spec.name);
        let replaced = counts.serving + counts.outdated > target.min(self.allowed(&spec.name));
        let short = self.free_hosts(input).len() < spec.hosts_per_group as usize;
        let blocked = !self.is_in_transition(&counts)
            && !self.has_unsettled_host(input)
            && (short || self.is_short_of_hosts(input));
        if replaced || blocked {
            let first_by_id = self
                .groups_of_set(&spec.name)
                .find(|(_, group)| {
                    group.phase() == LifecyclePhase::Serving && !group.plan().matches(spec)
                })
                .map(|(id, _)| id.clone());
            if let Some(id) = first_by_id {
                self.dissolve_group(&id, input);
            }
        }
    }

    fn is_in_transition(&self, counts: &SetCounts) -> bool {
        counts.current > counts.serving || counts.draining > 0
    }

    /// Whether a usable host outside all groups is not free yet.
    fn has_unsettled_host(&self, input: &PlanInput<'_>) -> bool {
        self.hosts.values().any(|track| {
            track.group.is_none() && self.is_usable(track, input) && !self.is_free(track, input)
        })
    }

    fn drain_surplus(&mut self, spec: &GroupSetSpec, input: &PlanInput<'_>) {
        let target = input.target(&spec.name);
        while self.counts(spec).current > target {
            let last_by_id = self
                .groups_of_set(&spec.name)
                .filter(|(_, group)| {
                    group.plan().matches(spec) && group.phase() != LifecyclePhase::Draining
                })
                .max_by_key(|(id, group)| (group.phase() != LifecyclePhase::Serving, (*id).clone()))
                .map(|(id, _)| id.clone());
            let Some(id) = last_by_id else { break };
            self.dissolve_group(&id, input);
        }
    }

    /// Dissolves one group of a set that has more than the packing allows, when another set lacks a
    /// group and too few hosts are free for it.
    fn drain_for_missing(&mut self, input: &PlanInput<'_>) {
        let draining = self.groups.values().any(|group| group.phase() == LifecyclePhase::Draining);
        if draining || !self.policy.may_dissolve() || self.has_unsettled_host(input) {
            return;
        }
        if let (true, Some(id)) = (self.is_short_of_hosts(input), self.group_to_dissolve(input)) {
            self.dissolve_group(&id, input);
        }
    }

    /// Whether a set lacks a group and too few hosts are free to form it.
    fn is_short_of_hosts(&self, input: &PlanInput<'_>) -> bool {
        let free = self.free_hosts(input).len();
        let specs = self.wanted_sets(input);
        specs.iter().any(|spec| self.is_missing_group(spec) && free < spec.hosts_per_group as usize)
    }

    /// Returns the group to dissolve first, of the least costly set with more groups than the
    /// packing allows. Groups that do not serve come first; among equals the one with the last id
    /// in text order.
    pub(crate) fn group_to_dissolve(&self, input: &PlanInput<'_>) -> Option<GroupId> {
        let specs = self.wanted_sets(input);
        let surplus_set = specs.into_iter().rev().find(|spec| {
            let counts = self.counts(spec);
            counts.current + counts.outdated > self.allowed(&spec.name)
        })?;
        self.groups_of_set(&surplus_set.name)
            .filter(|(_, group)| group.phase() != LifecyclePhase::Draining)
            .max_by_key(|(id, group)| (group.phase() != LifecyclePhase::Serving, (*id).clone()))
            .map(|(id, _)| id.clone())
    }

    pub(crate) fn groups_of_set<'a>(
        &'a self,
        set: &'a GroupSetName,
    ) -> impl Iterator<Item = (&'a GroupId, &'a ActiveGroup)> {
        self.groups.iter().filter(move |(_, group)| group.plan().set == *set)
    }

    /// Dissolves a group: a serving one drains first, one that forms or loads is released
    /// immediately.
    pub(crate) fn dissolve_group(&mut self, id: &GroupId, input: &PlanInput<'_>) {
        match self.groups.remove(id) {
            Some(ActiveGroup::Serving(group)) => {
                let group = ActiveGroup::Draining(group.drain(input.now));
                self.groups.insert(id.clone(), group);
            }
            Some(ActiveGroup::Draining(group)) => {
                self.groups.insert(id.clone(), ActiveGroup::Draining(group));
            }
            Some(group) => {
                let plan = group.plan().clone();
                self.unassign_members(&plan);
            }
            None => {}
        }
    }

    /// Removes a group without draining it and unassigns its hosts.
    pub(crate) fn release_group(&mut self, id: &GroupId) {
        if let Some(group) = self.groups.remove(id) {
            let plan = group.plan().clone();
            self.unassign_members(&plan);
        }
    }
}
