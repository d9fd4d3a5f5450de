//! Applies the repair policy to broken groups: those that wait for an unresponsive member.

use {
    crate::{
        group::ActiveGroup,
        planner::{DomainPlanner, PlanInput},
        repair::{BrokenCase, DissolveCandidate, RepairChoice},
        review::MemberStatus,
    },
    base::{GroupId, GroupSetName, Tick},
    conf::ticket::GroupSetSpec,
    std::collections::BTreeMap,
};

impl DomainPlanner {
    pub(crate) fn repair_groups(&mut self, input: &PlanInput<'_>) {
        for id in self.broken_groups(input) {
            let Some(member_lost_at) = self.groups.get(&id).and_then(ActiveGroup::member_lost_at)
            else {
                continue;
            };
            let Some((case, candidate)) = self.broken_case(&id, member_lost_at, input) else {
                continue;
            };
            match self.policy.choose(&case) {
                RepairChoice::Wait => {}
                RepairChoice::Spare => self.release_group(&id),
                RepairChoice::Merge => self.release_for_merge(&id, &case, input),
                RepairChoice::Dissolve => {
                    self.release_group(&id);
                    if let Some(candidate) = candidate {
                        self.dissolve_group(&candidate, input);
                    }
                }
            }
        }
    }

    /// Returns the broken groups, ordered by descending downtime cost of their set.
    fn broken_groups(&self, input: &PlanInput<'_>) -> Vec<GroupId> {
        let ranks: BTreeMap<GroupSetName, usize> = self
            .wanted_sets(input)
            .into_iter()
            .enumerate()
            .map(|(rank, spec)| (spec.name.clone(), rank))
            .collect();
        let mut broken: Vec<(usize, GroupId)> = self
            .groups
            .iter()
            .filter(|(_, group)| group.member_lost_at().is_some())
            .map(|(id, group)| {
                (ranks.get(&group.plan().set).copied().unwrap_or(usize::MAX), id.clone())
            })
            .collect();
        broken.sort();
        broken.into_iter().map(|(_, id)| id).collect()
    }

    fn responsive_members(&self, id: &GroupId, input: &PlanInput<'_>) -> u32 {
        let Some(group) = self.groups.get(id) else { return 0 };
        let statuses = self.statuses(group.plan(), input);
        statuses.iter().filter(|status| **status != MemberStatus::Unresponsive).count() as u32
    }

    fn broken_case(
        &self,
        id: &GroupId,
        member_lost_at: Tick,
        input: &PlanInput<'_>,
    ) -> Option<(BrokenCase, Option<GroupId>)> {
        let group = self.groups.get(id)?;
        let spec = input.desired.group_sets.get(&group.plan().set)?;
        let hosts = group.plan().members.len() as u32;
        let responsive_members = self.responsive_members(id, input);
        let free_host_count = self.free_hosts(input).len() as u32;
        let others = self
            .groups
            .iter()
            .filter(|(other, group)| *other != id && group.member_lost_at().is_some());
        let other_responsive_members =
            others.map(|(other, _)| self.responsive_members(other, input)).sum();
        let candidate = self.dissolve_candidate(spec, input);
        let case = BrokenCase {
            group: id.clone(),
            broken_for: input.now.since(member_lost_at),
            load_time: self.load_time,
            value: spec.value,
            hosts,
            missing_members: hosts - responsive_members,
            may_resume: self.may_resume(group),
            free_host_count,
            other_responsive_members,
            fits_other_set: self.fits_any_other_set(
                spec,
                free_host_count + responsive_members,
                input,
            ),
            candidate: candidate.as_ref().map(|(_, candidate)| candidate.clone()),
            accelerators_per_host: self.mean_accelerators(),
            downtime_weight: input.desired.flags.downtime_weight,
        };
        Some((case, candidate.map(|(id, _)| id)))
    }

    /// Whether no member's process is known to have ended, so that unresponsive members may resume
    /// with their state.
    fn may_resume(&self, group: &ActiveGroup) -> bool {
        let tracks = group
            .plan()
            .members
            .iter()
            .map(|group_member| self.hosts.get(&group_member.member.host));
        tracks.flatten().all(|track| !track.is_process_down())
    }

    /// Returns the other broken groups whose wait has reached the policy's limit or that cannot
    /// resume, ordered by ascending downtime cost.
    fn abandonable_groups(&self, id: &GroupId, input: &PlanInput<'_>) -> Vec<GroupId> {
        let wait_limit = self.policy.wait_limit(self.load_time);
        let mut others = self.broken_groups(input);
        others.retain(|other| {
            let group = &self.groups[other];
            let waited = group
                .member_lost_at()
                .is_some_and(|member_lost_at| input.now.since(member_lost_at) >= wait_limit);
            other != id && (waited || !self.may_resume(group))
        });
        others.reverse();
        others
    }

    fn dissolve_candidate(
        &self,
        broken: &GroupSetSpec,
        input: &PlanInput<'_>,
    ) -> Option<(GroupId, DissolveCandidate)> {
        let id = self.group_to_dissolve(input)?;
        let group = self.groups.get(&id)?;
        if group.plan().set == broken.name || group.member_lost_at().is_some() {
            return None;
        }
        let spec = input.desired.group_sets.get(&group.plan().set)?;
        let hosts = group.plan().members.len() as u32;
        Some((id, DissolveCandidate { value: spec.value, hosts }))
    }

    fn fits_any_other_set(&self, broken: &GroupSetSpec, hosts: u32, input: &PlanInput<'_>) -> bool {
        self.wanted_sets(input).into_iter().any(|spec| {
            spec.name != broken.name && self.is_missing_group(spec) && hosts >= spec.hosts_per_group
        })
    }

    /// Releases the group and as many other broken ones as are needed to replace its missing
    /// members.
    fn release_for_merge(&mut self, id: &GroupId, case: &BrokenCase, input: &PlanInput<'_>) {
        let mut found = case.free_host_count;
        for other in self.abandonable_groups(id, input) {
            if found >= case.missing_members {
                break;
            }
            found += self.responsive_members(&other, input);
            self.release_group(&other);
        }
        self.release_group(id);
    }
}
