//! Adoption: before its first order, a new owner probes the engines and adopts the groups that they
//! run.

use {
    crate::{
        group::{ActiveGroup, Group, GroupMember, GroupPlan, Loading},
        planner::{DomainPlanner, PlanInput},
        types::{HostPhase, HostReport, LoadCommand},
    },
    base::{GroupId, GroupSetName, HostId, Tick},
    conf::ticket::{FencingMode, GroupSetSpec},
    std::collections::BTreeMap,
};

/// Progress of the adoption, before whose end the planner gives no orders.
#[derive(Clone, Debug)]
pub(crate) enum Adoption {
    /// Waits for the first report of each engine.
    AwaitFirstReports { since: Tick },
    /// Waits until no order of an earlier owner can arrive any more, then for a second report of
    /// each engine. Only used when engines ignore fencing numbers.
    AwaitSecondReports { since: Tick, first: BTreeMap<HostId, EngineSnapshot> },
    /// Groups have been adopted, or adoption is disabled; orders may be sent.
    Done,
}

/// The part of an engine's report that is compared between the two reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineSnapshot {
    boot_id: u64,
    load: Option<LoadCommand>,
}

impl EngineSnapshot {
    fn of(report: &HostReport) -> Self {
        Self { boot_id: report.boot, load: report.load.clone() }
    }
}

impl Adoption {
    pub(crate) fn new(now: Tick) -> Self {
        Adoption::AwaitFirstReports { since: now }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, Adoption::Done)
    }
}

impl DomainPlanner {
    /// Advances the adoption and returns whether it is complete.
    pub(crate) fn adopt(&mut self, input: &PlanInput<'_>) -> bool {
        if !self.safeguards.adopt_from_engines {
            self.adoption = Adoption::Done;
        }
        match &self.adoption {
            Adoption::Done => return true,
            Adoption::AwaitFirstReports { since } => {
                let since = *since;
                if !self.all_reported_since(since, since, input) {
                    return false;
                }
                self.end_first_read(input);
            }
            Adoption::AwaitSecondReports { since, first } => {
                let (since, first) = (*since, first.clone());
                let second_read = since + self.settings.order_flight_limit;
                if input.now < second_read || !self.all_reported_since(second_read, since, input) {
                    return false;
                }
                self.avoid_changed_hosts(&first, input);
                self.adopt_groups(input);
            }
        }
        self.adoption.is_done()
    }

    fn end_first_read(&mut self, input: &PlanInput<'_>) {
        if input.fencing() == FencingMode::Checked || !self.safeguards.read_twice {
            self.adopt_groups(input);
            return;
        }
        let first = self
            .hosts
            .iter()
            .filter_map(|(host, track)| Some((host.clone(), EngineSnapshot::of(track.report()?))))
            .collect();
        self.adoption = Adoption::AwaitSecondReports { since: input.now, first };
    }

    /// Whether every host has answered a probe sent at `probed_at` or later, or the adoption limit,
    /// counted from `since`, has passed.
    fn all_reported_since(&self, probed_at: Tick, since: Tick, input: &PlanInput<'_>) -> bool {
        if input.now.since(since) >= self.settings.adopt_limit {
            return true;
        }
        self.hosts.values().all(|track| {
            track.last_report.as_ref().is_some_and(|last_report| last_report.probed_at >= probed_at)
        })
    }

    /// Avoids hosts whose engine changed between the two reads of the adoption. An earlier owner
    /// sent the change, and copies of its order may still arrive.
    fn avoid_changed_hosts(
        &mut self,
        first: &BTreeMap<HostId, EngineSnapshot>,
        input: &PlanInput<'_>,
    ) {
        let until = input.now + self.settings.changed_host_avoid_period;
        for (host, track) in &mut self.hosts {
            let before = first.get(host);
            let after = track.report().map(EngineSnapshot::of);
            if before.is_some() && before != after.as_ref() {
                self.foreign_orders += 1;
                track.avoid_until = until;
            }
        }
    }

    fn adopt_groups(&mut self, input: &PlanInput<'_>) {
        self.adoption = Adoption::Done;
        let mut found: BTreeMap<GroupId, LoadCommand> = BTreeMap::new();
        for track in self.hosts.values() {
            if let Some(load) = track.report().and_then(|report| report.load.clone()) {
                found.entry(load.group.clone()).or_insert(load);
            }
        }
        for load in found.into_values() {
            self.adopt_group(load, input);
        }
    }

    /// Adopts a group if every reachable member belongs to it and none of them drains. Skips it if
    /// a member is unknown, belongs to an adopted group already, or is avoided.
    fn adopt_group(&mut self, load: LoadCommand, input: &PlanInput<'_>) {
        let Some(set) = self.find_set(&load, input) else { return };
        let mut complete = true;
        for member in &load.members {
            let Some(track) = self.hosts.get(&member.host) else { return };
            if track.group.is_some() || input.now < track.avoid_until {
                return;
            }
            match track.report().filter(|_| track.is_reachable(input.now, &self.settings)) {
                None => complete = false,
                Some(report) if report.load.as_ref() != Some(&load) => return,
                Some(report) if report.phase == HostPhase::Draining => return,
                Some(_) => {}
            }
        }
        let members = load.members.iter().map(|member| self.adopt_member(member, &load)).collect();
        let id = load.group.clone();
        let plan = GroupPlan { set, load, members };
        let group = Group::<Loading>::adopted(plan, input.now, complete);
        self.groups.insert(id, ActiveGroup::Loading(group));
    }

    fn adopt_member(
        &mut self,
        member: &crate::types::MemberHost,
        load: &LoadCommand,
    ) -> GroupMember {
        let track = self.hosts.get_mut(&member.host).expect("checked by the caller");
        track.group = Some(load.group.clone());
        GroupMember { member: member.clone(), boot_id: track.joined_boot_id(&load.group) }
    }

    /// Returns the set of a group: the one in the last published record, else one whose
    /// specification matches, else one of the same model, whose version or size may have changed.
    fn find_set(&self, load: &LoadCommand, input: &PlanInput<'_>) -> Option<GroupSetName> {
        let sets = &input.desired.group_sets;
        if let Some(name) =
            self.published_sets.get(&load.group).filter(|name| sets.contains_key(*name))
        {
            return Some(name.clone());
        }
        let same_spec = |spec: &&GroupSetSpec| {
            load.model == spec.model
                && load.version == spec.version
                && load.adapter == spec.adapter
                && load.members.len() == spec.hosts_per_group as usize
        };
        let exact = sets.values().find(same_spec);
        let same_model = || sets.values().find(|spec| load.model == spec.model);
        exact.or_else(same_model).map(|spec| spec.name.clone())
    }
}
