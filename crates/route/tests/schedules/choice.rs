//! A chosen target always serves in its current epoch, is not leaving, has a free slot and was not
//! tried before, and prefix affinity never selects a target beyond the load bound.

use {
    crate::harness::{assert_holds, assert_violated},
    base::{Epoch, GroupId, ModelName, Tick, WorkspaceId},
    proptest::prelude::{Just, Strategy, any, prop, prop_oneof},
    route::{
        BoundedAffinity, ChoicePolicy, ChoiceRequest, InFlightGuard, LoadReport, PrefixKey,
        PrefixTable, RouteTable, RouteTarget, TargetChoice, TargetSpec, choose::sample_positions,
        choose_target,
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

const GROUPS: usize = 6;
const SLOTS: u32 = 4;
const PREFIXES: u64 = 8;

/// The mechanism that is disabled in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// The policy's pick is used without the checks of `choose_target`.
    NoTargetChecks,
    /// A target that caches the prefix is chosen whatever its load.
    NoLoadBound,
    /// The routing table is not rebuilt when a group changes.
    StaleTable,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u16),
    Choose { prefix: u64, random_number: u64, tried: Vec<usize> },
    Finish { selector: usize },
    ChangeGroup { group: usize, serving: bool },
    Leave { group: usize },
    Suspect { group: usize, ms: u16 },
    Report { group: usize, running: u8 },
    CacheEvent { group: usize, prefix: u64, stored: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let group = 0..GROUPS;
    let prefix = 0..PREFIXES;
    let choose = (prefix.clone(), any::<u64>(), prop::collection::vec(0..GROUPS, 0..3))
        .prop_map(|(prefix, random_number, tried)| Step::Choose { prefix, random_number, tried });
    let step = prop_oneof![
        2 => (1_u16..500).prop_map(Step::Advance),
        12 => choose,
        6 => any::<u8>().prop_map(|selector| Step::Finish { selector: selector.into() }),
        1 => (group.clone(), any::<bool>())
            .prop_map(|(group, serving)| Step::ChangeGroup { group, serving }),
        1 => group.clone().prop_map(|group| Step::Leave { group }),
        1 => (group.clone(), 1_u16..2_000).prop_map(|(group, ms)| Step::Suspect { group, ms }),
        2 => (group.clone(), 0_u8..8).prop_map(|(group, running)| Step::Report { group, running }),
        3 => (group, prefix, prop_oneof![3 => Just(true), 1 => Just(false)])
            .prop_map(|(group, prefix, stored)| Step::CacheEvent { group, prefix, stored }),
    ];
    prop::collection::vec(step, 20..120)
}

/// The actual state of a group, which the routing table may not reflect.
#[derive(Clone, Debug)]
struct Group {
    epoch: u64,
    serving: bool,
    leaving: bool,
}

struct World {
    fault: InjectedFault,
    now: Tick,
    groups: Vec<Group>,
    table: RouteTable,
    policy: BoundedAffinity,
    running: Vec<InFlightGuard>,
}

fn prefix_key(prefix: u64) -> PrefixKey {
    PrefixKey::of(&prefix.to_le_bytes())
}

fn group_id(group: usize) -> GroupId {
    GroupId::new(format!("g{group}")).unwrap()
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let prefixes = Arc::new(PrefixTable::new(64));
        let mut policy = BoundedAffinity::new(prefixes);
        if fault == InjectedFault::NoLoadBound {
            policy.load_slack = f64::INFINITY;
        }
        let mut world = Self {
            fault,
            now: Tick(1),
            groups: vec![Group { epoch: 1, serving: true, leaving: false }; GROUPS],
            table: RouteTable::default(),
            policy,
            running: Vec::new(),
        };
        world.rebuild();
        world
    }

    fn rebuild(&mut self) {
        let specs = self.groups.iter().enumerate().map(|(index, group)| TargetSpec {
            group: group_id(index),
            epoch: Epoch(group.epoch),
            model: ModelName::new("m").unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SLOTS,
            workspaces: BTreeSet::new(),
            serving: group.serving,
        });
        let workspaces = BTreeSet::from([WorkspaceId::new("w").unwrap()]);
        self.table = RouteTable::build(specs.collect(), &workspaces, Some(&self.table));
    }

    fn targets(&self) -> Vec<Arc<RouteTarget>> {
        let list = self.table.list(&ModelName::new("m").unwrap(), &WorkspaceId::new("w").unwrap());
        list.map(|list| list.to_vec()).unwrap_or_default()
    }

    fn target(&self, group: usize) -> Option<Arc<RouteTarget>> {
        self.targets().into_iter().find(|target| target.spec.group == group_id(group))
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Advance(ms) => self.now = self.now + Duration::from_millis((*ms).into()),
            Step::Choose { prefix, random_number, tried } => {
                self.choose(*prefix, *random_number, tried)?
            }
            Step::Finish { selector } => {
                if !self.running.is_empty() {
                    self.running.swap_remove(selector % self.running.len());
                }
            }
            Step::ChangeGroup { group, serving } => {
                let epoch = self.groups[*group].epoch + 1;
                self.groups[*group] = Group { epoch, serving: *serving, leaving: false };
                if self.fault != InjectedFault::StaleTable {
                    self.rebuild();
                }
            }
            Step::Leave { group } => {
                if let Some(target) = self.target(*group) {
                    target.counters.leave();
                    self.groups[*group].leaving = true;
                }
            }
            Step::Suspect { group, ms } => {
                if let Some(target) = self.target(*group) {
                    let until = self.now + Duration::from_millis((*ms).into());
                    target.counters.suspect(until);
                }
            }
            Step::Report { group, running } => {
                if let Some(target) = self.target(*group) {
                    let report = LoadReport { running: (*running).into(), queued: 0 };
                    let own = target.counters.in_flight();
                    target.counters.apply_report(report, own, self.now);
                }
            }
            Step::CacheEvent { group, prefix, stored } => {
                if let Some(target) = self.target(*group) {
                    let key = prefix_key(*prefix);
                    match stored {
                        true => self.policy.prefixes.note_stored(key, target.tag),
                        false => self.policy.prefixes.note_evicted(key, target.tag),
                    }
                }
            }
        }
        Ok(())
    }

    fn choose(&mut self, prefix: u64, random_number: u64, tried: &[usize]) -> Result<(), String> {
        let targets = self.targets();
        let prefixes = [prefix_key(prefix)];
        let tried: Vec<_> = tried.iter().copied().filter(|p| *p < targets.len()).collect();
        let request =
            ChoiceRequest { prefixes: &prefixes, tried: &tried, random_number, now: self.now };
        let bound = self.load_bound(&targets, &request);
        let loads: Vec<_> = targets.iter().map(|target| self.load(target)).collect();
        let choice = match self.fault {
            InjectedFault::NoTargetChecks => self
                .policy
                .pick(&request, &targets, &|_| true)
                .map_or(TargetChoice::Nothing, TargetChoice::Target),
            _ => choose_target(&self.policy, &request, &targets),
        };
        let TargetChoice::Target(position) = choice else {
            return self.check_no_choice(&targets, &tried);
        };
        self.check_target(&targets, position, &request)?;
        let target = &targets[position];
        self.running.push(target.counters.start());
        let suspect = target.counters.is_suspect(self.now);
        match suspect || loads[position] <= bound {
            true => Ok(()),
            false => Err(format!("load {} exceeds {bound}", loads[position])),
        }
    }

    fn group_of(&self, target: &RouteTarget) -> usize {
        let groups = 0..GROUPS;
        groups.into_iter().find(|group| group_id(*group) == target.spec.group).unwrap()
    }

    fn check_target(
        &self,
        targets: &[Arc<RouteTarget>],
        position: usize,
        request: &ChoiceRequest<'_>,
    ) -> Result<(), String> {
        let target = &targets[position];
        let index = self.group_of(target);
        let group = &self.groups[index];
        let rules = [
            (group.serving, "does not serve"),
            (group.epoch == target.spec.epoch.0, "has another epoch"),
            (!group.leaving, "is leaving"),
            (!request.tried.contains(&position), "was tried before"),
            (target.counters.in_flight() < SLOTS, "has no free slot"),
        ];
        if let Some((_, violation)) = rules.iter().find(|(holds, _)| !holds) {
            return Err(format!("g{index} was chosen, which {violation}"));
        }
        Ok(())
    }

    fn load(&self, target: &RouteTarget) -> f64 {
        self.policy.load(target, None, self.now)
    }

    /// Returns the highest load that the chosen target may have: the acceptable load or, if higher,
    /// the least load among the candidates plus the slack.
    fn load_bound(&self, targets: &[Arc<RouteTarget>], request: &ChoiceRequest<'_>) -> f64 {
        let allowed = |position: usize| {
            let target = &targets[position];
            let counters = &target.counters;
            target.is_open()
                && counters.in_flight() < SLOTS
                && !counters.is_suspect(self.now)
                && !request.tried.contains(&position)
        };
        let default_policy = BoundedAffinity::new(Arc::clone(&self.policy.prefixes));
        let sampled = sample_positions(
            request.random_number,
            targets.len(),
            default_policy.candidates,
            &allowed,
        );
        let least = sampled.map(|position| self.load(&targets[position])).fold(f64::MAX, f64::min);
        default_policy.acceptable_load.max(least + default_policy.load_slack)
    }

    /// Checks that no target has a free slot, apart from those that are closed, suspect or tried.
    fn check_no_choice(&self, targets: &[Arc<RouteTarget>], tried: &[usize]) -> Result<(), String> {
        let free = targets.iter().enumerate().find(|(position, target)| {
            target.is_open()
                && !target.counters.is_suspect(self.now)
                && target.counters.in_flight() < SLOTS
                && !tried.contains(position)
        });
        match free {
            Some((position, _)) => {
                Err(format!("target {position} has a free slot but was not chosen"))
            }
            None => Ok(()),
        }
    }
}

fn run(steps: &[Step], fault: InjectedFault) -> Result<(), String> {
    let mut world = World::new(fault);
    for step in steps {
        world.apply(step)?;
    }
    Ok(())
}

#[test]
fn a_chosen_target_accepts_requests_and_is_within_the_load_bound() {
    assert_holds(331, steps(), |steps| run(&steps, InjectedFault::Nothing));
}

#[yare::parameterized(
    no_target_checks = { InjectedFault::NoTargetChecks },
    no_load_bound = { InjectedFault::NoLoadBound },
    stale_table = { InjectedFault::StaleTable },
)]
fn an_injected_fault_is_detected(fault: InjectedFault) {
    assert_violated(&format!("{fault:?}"), 332, steps(), |steps| run(&steps, fault));
}
