//! Runs one fault schedule, then clears all faults and waits for convergence.

use {
    crate::model::{
        fault::Schedule,
        world::{World, WorldSettings},
    },
    base::{GroupSetName, ModelName, ModelVersion, Weight},
    conf::ticket::{DesiredState, FencingMode, GroupSetSpec},
    plan::Safeguards,
    std::time::Duration,
};

/// Longest time after the faults are cleared until all groups that the hosts allow serve again.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(90);

/// What a run of a schedule showed.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub violations: Vec<String>,
    pub moved: u32,
    pub foreign_joins: u32,
    pub released_after: Vec<Duration>,
}

pub fn spec(name: &str, replicas: u32, hosts: u32, value: f64) -> GroupSetSpec {
    GroupSetSpec {
        name: GroupSetName::new(name).expect("valid"),
        model: ModelName::new(name).expect("valid"),
        version: ModelVersion::new("v0").expect("valid"),
        adapter: None,
        fabric_domains: Vec::new(),
        replicas,
        hosts_per_group: hosts,
        value: Weight(value),
        spares: 0,
        slots_per_group: 8,
        workspaces: Vec::new(),
    }
}

pub fn desired(specs: Vec<GroupSetSpec>, fencing: FencingMode) -> DesiredState {
    let mut desired = DesiredState::default();
    desired.flags.fencing = fencing;
    desired.group_sets = specs.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
    desired
}

/// Runs a schedule on a fabric domain with two group sets.
pub fn run(schedule: &Schedule, checked: bool, safeguards: &Safeguards) -> RunResult {
    let fencing = if checked { FencingMode::Checked } else { FencingMode::Ignored };
    let specs = vec![spec("large", 2, 3, 2.0), spec("small", 2, 2, 1.0)];
    let mut world = World::new(WorldSettings {
        hosts: schedule.hosts,
        desired: desired(specs, fencing),
        checked,
        safeguards: safeguards.clone(),
        seed: schedule.seed,
        ..WorldSettings::default()
    });
    world.run(Duration::from_secs(4), |_| false);
    let mut span = Duration::ZERO;
    for step in &schedule.steps {
        span += step.after;
        world.schedule(span, step.fault.clone());
    }
    world.run(span + Duration::from_secs(1), |_| false);
    world.clear_faults();
    let mut trace: Vec<String> = Vec::new();
    let converged = world.run(CONVERGENCE_LIMIT, |world| {
        let line = world.summary();
        if trace.last() != Some(&line) {
            trace.push(line);
        }
        world.is_converged()
    });
    let mut violations: Vec<String> = world.violations().iter().map(ToString::to_string).collect();
    if !converged {
        let last = trace.len().saturating_sub(12);
        violations.push(format!(
            "not converged after {CONVERGENCE_LIMIT:?}:\n{}",
            trace[last..].join("\n")
        ));
        if std::env::var_os("DESCRIBE").is_some() {
            eprintln!("{}", world.describe());
        }
    }
    RunResult {
        violations,
        moved: world.moved,
        foreign_joins: world.foreign_joins,
        released_after: world.foreign_released_after.clone(),
    }
}
