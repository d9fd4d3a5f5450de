//! Checks the members of each group and advances the group through its life cycle.

use {
    crate::{
        group::{ActiveGroup, Group, GroupMember, GroupPlan, Loading, ReadyProof, Serving},
        planner::{DomainPlanner, PlanInput},
        types::{HostCommand, HostPhase, LoadCommand, OrderOutcome},
    },
    base::GroupId,
};

/// What a member's reports and the answers to its orders mean for its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberStatus {
    /// It has reported that it is ready in this group and epoch.
    Ready,
    /// It loads, or its load order may still take effect.
    Pending,
    /// It accepts no new requests. Ends a loading or serving group.
    Draining,
    /// No recent report; it may resume with its state. Suspends a serving group, ends a forming
    /// one.
    Unresponsive,
    /// Its host is about to leave or its process is about to stop. Drains a serving group, ends one
    /// that forms or loads.
    Leaving,
    /// It no longer belongs to the group: it restarted, refused the order, joined another group, or
    /// its host is unknown to the planner.
    Detached,
}

impl DomainPlanner {
    pub(crate) fn status(
        &self,
        group_member: &GroupMember,
        load: &LoadCommand,
        input: &PlanInput<'_>,
    ) -> MemberStatus {
        let Some(track) = self.hosts.get(&group_member.member.host) else {
            return MemberStatus::Detached;
        };
        let unresponsive = !track.is_reachable(input.now, &self.settings);
        if unresponsive && self.safeguards.suspend_on_unresponsive {
            return MemberStatus::Unresponsive;
        }
        let Some(report) = track.report() else {
            return MemberStatus::Unresponsive;
        };
        let restarted = group_member.boot_id.is_some_and(|boot_id| boot_id != report.boot);
        if restarted && self.safeguards.compare_boot_ids {
            return MemberStatus::Detached;
        }
        if track.is_leaving() {
            return MemberStatus::Leaving;
        }
        if report.load.as_ref() == Some(load) {
            return match report.phase {
                HostPhase::Ready => MemberStatus::Ready,
                HostPhase::Draining => MemberStatus::Draining,
                HostPhase::Loading | HostPhase::Idle => MemberStatus::Pending,
            };
        }
        if group_member.boot_id.is_none() {
            return MemberStatus::Detached;
        }
        let ordered = HostCommand::Load(load.clone());
        let answer = match &track.last_order {
            Some(last_order) if last_order.order.command == ordered => last_order.answer.as_ref(),
            _ => None,
        };
        match answer {
            Some((OrderOutcome::Accepted, _))
                if track.settled_report(input.fencing()).is_none() =>
            {
                MemberStatus::Pending
            }
            Some(_) => MemberStatus::Detached,
            None if report.phase == HostPhase::Idle => MemberStatus::Pending,
            None if track.settled_report(input.fencing()).is_none() => MemberStatus::Pending,
            None => MemberStatus::Detached,
        }
    }

    pub(crate) fn statuses(&self, plan: &GroupPlan, input: &PlanInput<'_>) -> Vec<MemberStatus> {
        plan.members
            .iter()
            .map(|group_member| self.status(group_member, &plan.load, input))
            .collect()
    }

    pub(crate) fn review_groups(&mut self, input: &PlanInput<'_>) {
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            let Some(mut group) = self.groups.remove(&id) else { continue };
            self.record_boot_ids(group.plan_mut());
            let statuses = self.statuses(group.plan(), input);
            let plan = group.plan().clone();
            let kept = match group {
                ActiveGroup::Forming(group) => self.review_forming(group, &statuses, input),
                ActiveGroup::Loading(group) => self.review_loading(group, &statuses, input),
                ActiveGroup::Serving(group) => self.review_serving(group, &statuses, input),
                ActiveGroup::Draining(group) => {
                    let keep =
                        self.is_still_draining(&group.plan, group.state.since, &statuses, input);
                    keep.then_some(ActiveGroup::Draining(group))
                }
            };
            match kept {
                Some(group) => drop(self.groups.insert(id, group)),
                None => self.unassign_members(&plan),
            }
        }
    }

    /// Records the boot ids of members that had not reported when a new owner adopted the group.
    fn record_boot_ids(&self, plan: &mut GroupPlan) {
        for group_member in
            plan.members.iter_mut().filter(|group_member| group_member.boot_id.is_none())
        {
            let track = self.hosts.get(&group_member.member.host);
            group_member.boot_id = track.and_then(|track| track.joined_boot_id(&plan.load.group));
        }
    }

    fn review_forming(
        &mut self,
        group: Group<crate::group::Forming>,
        statuses: &[MemberStatus],
        input: &PlanInput<'_>,
    ) -> Option<ActiveGroup> {
        use MemberStatus::{Detached, Leaving, Unresponsive};
        if statuses.iter().any(|status| matches!(status, Detached | Leaving | Unresponsive)) {
            self.avoid_refusing(&group.plan, statuses, input);
            return None;
        }
        let ordered = HostCommand::Load(group.plan.load.clone());
        let answered = group.plan.members.iter().any(|group_member| {
            let track = self.hosts.get(&group_member.member.host);
            let has_load = |load: &LoadCommand| *load == group.plan.load;
            track.is_some_and(|track| {
                track.report().is_some_and(|report| report.load.as_ref().is_some_and(has_load))
                    || track.last_order.as_ref().is_some_and(|last_order| {
                        last_order.order.command == ordered && last_order.answer.is_some()
                    })
            })
        });
        Some(match answered {
            true => ActiveGroup::Loading(group.start_loading(input.now)),
            false => ActiveGroup::Forming(group),
        })
    }

    fn review_loading(
        &mut self,
        group: Group<Loading>,
        statuses: &[MemberStatus],
        input: &PlanInput<'_>,
    ) -> Option<ActiveGroup> {
        use MemberStatus::{Detached, Draining, Leaving, Ready, Unresponsive};
        if statuses.iter().any(|status| matches!(status, Detached | Leaving | Draining)) {
            self.avoid_refusing(&group.plan, statuses, input);
            return None;
        }
        if statuses.contains(&Unresponsive) {
            return Some(ActiveGroup::Loading(group.mark_member_lost(input.now)));
        }
        if self.is_ready(statuses) {
            self.update_load_time(&group, input);
            return Some(ActiveGroup::Serving(group.start_serving(input.now, ReadyProof(()))));
        }
        let group =
            if group.state.member_lost_at.is_some() { group.clear_member_lost() } else { group };
        let late = input.now.since(group.state.since) > self.settings.load_limit;
        if late {
            let slow: Vec<_> = statuses.iter().map(|status| *status != Ready).collect();
            self.avoid_members(&group.plan, &slow, input);
            return None;
        }
        Some(ActiveGroup::Loading(group))
    }

    fn is_ready(&self, statuses: &[MemberStatus]) -> bool {
        if self.safeguards.await_all_members {
            statuses.iter().all(|status| *status == MemberStatus::Ready)
        } else {
            statuses.contains(&MemberStatus::Ready)
        }
    }

    fn review_serving(
        &mut self,
        group: Group<Serving>,
        statuses: &[MemberStatus],
        input: &PlanInput<'_>,
    ) -> Option<ActiveGroup> {
        use MemberStatus::{Detached, Draining, Leaving, Pending, Unresponsive};
        if statuses.iter().any(|status| matches!(status, Detached | Draining)) {
            return None;
        }
        if statuses.contains(&Leaving) {
            return Some(ActiveGroup::Draining(group.drain(input.now)));
        }
        if !self.safeguards.await_all_members {
            return Some(ActiveGroup::Serving(group));
        }
        if statuses.iter().any(|status| matches!(status, Unresponsive | Pending)) {
            return Some(ActiveGroup::Loading(group.suspend(input.now)));
        }
        Some(ActiveGroup::Serving(group))
    }

    /// Whether a draining group may still have requests in flight and is within the drain limit.
    fn is_still_draining(
        &self,
        plan: &GroupPlan,
        since: base::Tick,
        statuses: &[MemberStatus],
        input: &PlanInput<'_>,
    ) -> bool {
        if statuses.contains(&MemberStatus::Detached) {
            return false;
        }
        if input.now.since(since) > self.settings.drain_limit {
            return false;
        }
        !plan.members.iter().all(|group_member| {
            self.hosts.get(&group_member.member.host).and_then(|track| track.report()).is_none_or(
                |report| {
                    report.load.as_ref() != Some(&plan.load)
                        || (report.phase == HostPhase::Draining && report.in_flight == 0)
                },
            )
        })
    }

    pub(crate) fn unassign_members(&mut self, plan: &GroupPlan) {
        for group_member in &plan.members {
            if let Some(track) = self.hosts.get_mut(&group_member.member.host)
                && track.group.as_ref() == Some(&plan.load.group)
            {
                track.group = None;
            }
        }
    }

    fn update_load_time(&mut self, group: &Group<Loading>, input: &PlanInput<'_>) {
        const NEW_SAMPLE_WEIGHT: f64 = 0.25;
        if group.state.member_lost_at.is_some() {
            return;
        }
        let measured_s = input.now.since(group.state.since).as_secs_f64();
        let mean_s = self.load_time.as_secs_f64() * (1.0 - NEW_SAMPLE_WEIGHT)
            + measured_s * NEW_SAMPLE_WEIGHT;
        self.load_time = std::time::Duration::from_secs_f64(mean_s);
    }

    fn avoid_refusing(
        &mut self,
        plan: &GroupPlan,
        statuses: &[MemberStatus],
        input: &PlanInput<'_>,
    ) {
        let refused: Vec<bool> = plan
            .members
            .iter()
            .zip(statuses)
            .map(|(group_member, status)| {
                *status == MemberStatus::Detached
                    && self.hosts.get(&group_member.member.host).is_some_and(|track| {
                        let refusal = |outcome: &OrderOutcome| {
                            matches!(outcome, OrderOutcome::Refused | OrderOutcome::Outdated { .. })
                        };
                        let answer = track
                            .last_order
                            .as_ref()
                            .and_then(|last_order| last_order.answer.as_ref());
                        answer.is_some_and(|(outcome, _)| refusal(outcome))
                    })
            })
            .collect();
        self.avoid_members(plan, &refused, input);
    }

    fn avoid_members(&mut self, plan: &GroupPlan, which: &[bool], input: &PlanInput<'_>) {
        for (group_member, avoided) in plan.members.iter().zip(which) {
            if let (true, Some(track)) = (*avoided, self.hosts.get_mut(&group_member.member.host)) {
                track.avoid_until = input.now + self.settings.failed_host_avoid_period;
            }
        }
    }
}
