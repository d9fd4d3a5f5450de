//! Costs and state of the simulation, for tests and the repair comparison.

use {
    crate::model::{
        history::HistoryViolation,
        world::{ACCELERATORS, World, WorldCosts},
    },
    base::{GroupSetName, HostId, Tick},
    plan::{GroupView, LifecyclePhase},
    std::collections::{BTreeMap, BTreeSet},
};

impl World {
    /// Adds the costs since the last call, as if the present state had lasted all that time.
    pub(super) fn add_costs(&mut self) {
        let span = self.now.since(self.costs_added_at).as_secs_f64();
        self.costs_added_at = self.now;
        let mut serving: BTreeMap<&GroupSetName, u32> = BTreeMap::new();
        let mut busy = BTreeSet::new();
        for view in self.record.iter().filter(|view| view.phase == LifecyclePhase::Serving) {
            let members = &view.load.members;
            let present = |host: &HostId| {
                let engine = &self.engines[host];
                engine.answers(self.now) && engine.is_ready(self.now)
            };
            if members.iter().all(|member| present(&member.host)) {
                *serving.entry(&view.set).or_default() += 1;
                busy.extend(members.iter().map(|member| &member.host));
            }
        }
        for (set, expected_groups) in &self.settings.expected_groups {
            let missing = expected_groups.saturating_sub(serving.get(set).copied().unwrap_or(0));
            let value = self.settings.desired.group_sets[set].value.0;
            self.costs.downtime += span * f64::from(missing);
            self.costs.valued_downtime += span * f64::from(missing) * value;
        }
        let stranded =
            self.engines.iter().filter(|(host, engine)| engine.up && !busy.contains(host));
        self.costs.stranded += span * stranded.count() as f64 * f64::from(ACCELERATORS);
    }

    /// Resets the costs to zero, so that they count from now on.
    pub fn reset_costs(&mut self) {
        self.costs = WorldCosts::default();
        self.costs_added_at = self.now;
    }

    /// Whether all groups serve their current version, the free hosts are too few for a missing
    /// group, and engines belong to groups exactly as the owner's record says.
    pub fn is_converged(&self) -> bool {
        let mut in_groups = BTreeSet::new();
        for view in &self.record {
            if view.phase != LifecyclePhase::Serving {
                return false;
            }
            in_groups.extend(view.load.members.iter().map(|member| member.host.clone()));
        }
        let idle = self.engines.len() - in_groups.len();
        let stray = self
            .engines
            .iter()
            .any(|(host, engine)| engine.load.is_some() != in_groups.contains(host));
        let missing = self.settings.desired.group_sets.values().any(|spec| {
            let groups = self.record.iter().filter(|view| view.set == spec.name);
            let right = groups.clone().all(|view| view.load.version == spec.version);
            let short = (groups.count() as u32) < spec.replicas;
            !right || (short && idle >= spec.hosts_per_group as usize)
        });
        !stray && !missing
    }

    /// Number of foreign orders that the newest owner has detected.
    pub fn foreign_orders_found(&self) -> u64 {
        self.owners.last().map_or(0, |owner| owner.planner.foreign_orders())
    }

    /// Violations detected so far; none if the history is not checked.
    pub fn violations(&self) -> &[HistoryViolation] {
        &self.checker.violations
    }

    /// Returns the planner state of the newest owner, for messages of failed tests.
    pub fn describe(&self) -> String {
        format!("{:#?}", self.owners.last().map(|owner| &owner.planner))
    }

    /// Returns one line with the groups of the newest record and the group of each engine.
    pub fn summary(&self) -> String {
        let short = |host: &HostId| host.as_str().trim_start_matches("host-").to_owned();
        let mut line = String::new();
        for view in &self.record {
            let members: Vec<String> =
                view.load.members.iter().map(|member| short(&member.host)).collect();
            let load = &view.load;
            line += &format!(
                "{} {} {} {:?} {}; ",
                load.group,
                view.set,
                load.version,
                view.phase,
                members.join("+")
            );
        }
        let states: Vec<String> = self
            .engines
            .iter()
            .map(|(host, engine)| {
                let group = engine.load.as_ref().map_or("-", |load| load.group.as_str());
                format!("{}:{group}", short(host))
            })
            .collect();
        line + &states.join(" ")
    }

    pub fn now(&self) -> Tick {
        self.now
    }

    /// Groups in the newest record, whichever owner published it.
    pub fn groups(&self) -> &[GroupView] {
        &self.record
    }
}
