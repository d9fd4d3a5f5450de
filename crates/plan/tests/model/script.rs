//! A repair policy that follows a script, and a search for the script with the lowest cost.

use {
    crate::model::{
        bench::{BenchCase, run_case},
        world::WorldCosts,
    },
    base::{GroupId, Weight},
    plan::{BrokenCase, RepairChoice, RepairPolicy},
    std::{
        ops::RangeInclusive,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Action of a script for one broken group; until `wait` has passed, the script waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptStep {
    /// Time since the group broke after which the choice applies.
    pub wait: Duration,
    pub choice: RepairChoice,
}

/// Applies one step to each broken group, in the order in which the groups are first seen; groups
/// beyond the last step use the last one.
#[derive(Debug)]
pub struct ScriptedRepair {
    steps: Vec<ScriptStep>,
    held_spares_count: u32,
    seen_groups: Mutex<Vec<GroupId>>,
}

impl ScriptedRepair {
    pub fn new(steps: Vec<ScriptStep>, held_spares_count: u32) -> Self {
        Self { steps, held_spares_count, seen_groups: Mutex::default() }
    }
}

impl RepairPolicy for ScriptedRepair {
    fn choose(&self, case: &BrokenCase) -> RepairChoice {
        let mut seen_groups = self.seen_groups.lock().expect("not poisoned");
        let index =
            seen_groups.iter().position(|group| *group == case.group).unwrap_or_else(|| {
                seen_groups.push(case.group.clone());
                seen_groups.len() - 1
            });
        match self.steps.get(index).or(self.steps.last()) {
            Some(step) if case.broken_for >= step.wait => step.choice,
            _ => RepairChoice::Wait,
        }
    }

    fn held_spares(&self, spares: u32, _downtime_weight: Weight) -> u32 {
        spares.min(self.held_spares_count)
    }
}

const DELAYS_S: [u64; 4] = [0, 4, 12, 30];
const CHOICES: [RepairChoice; 3] =
    [RepairChoice::Spare, RepairChoice::Merge, RepairChoice::Dissolve];

fn all_steps() -> Vec<ScriptStep> {
    let mut steps = vec![ScriptStep { wait: Duration::ZERO, choice: RepairChoice::Wait }];
    for delay in DELAYS_S {
        let wait = Duration::from_secs(delay);
        steps.extend(CHOICES.map(|choice| ScriptStep { wait, choice }));
    }
    steps
}

/// Returns the lowest cost over all scripts and all numbers of held spares in the range. Every run
/// has the same failures, so the search knows them in advance, which no policy does.
pub fn best_cost(
    case: &BenchCase,
    weight: f64,
    held_spares_count: RangeInclusive<u32>,
) -> (f64, WorldCosts) {
    let mut best: Option<(f64, WorldCosts)> = None;
    let steps = all_steps();
    let second = if case.incidents > 1 { steps.clone() } else { vec![steps[0]] };
    for held_spares_count in held_spares_count {
        for first in &steps {
            for second in &second {
                let policy = ScriptedRepair::new(vec![*first, *second], held_spares_count);
                let costs = run_case(case, Arc::new(policy), weight);
                let cost = costs.weighted(weight);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, costs));
                }
            }
        }
    }
    best.expect("at least one script")
}
