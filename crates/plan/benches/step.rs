//! Measures the time of one planner step by the number of groups; run with `cargo bench -p plan`.

use {
    base::{
        FabricDomainId, GroupSetName, HostId, ModelName, ModelVersion, RatePerSecond, Term, Tick,
        Weight,
    },
    conf::ticket::{DesiredState, GroupSetSpec},
    plan::{
        DomainPlanner, EngineHost, HostCommand, HostOrder, HostPhase, HostReport, LoadCommand,
        OrderOutcome, PlanInput, PlanSettings,
    },
    std::{collections::BTreeMap, time::Duration},
};

const MEMBERS: u32 = 4;

struct StepBench {
    planner: DomainPlanner,
    desired: DesiredState,
    targets: BTreeMap<GroupSetName, u32>,
    hosts: Vec<EngineHost>,
    loads: BTreeMap<HostId, LoadCommand>,
    now: Tick,
}

impl StepBench {
    /// Creates a fabric domain and runs rounds until all its groups serve.
    fn new(groups: u32) -> Self {
        let spec = spec(groups);
        let mut desired = DesiredState::default();
        let targets = BTreeMap::from([(spec.name.clone(), groups)]);
        desired.group_sets.insert(spec.name.clone(), spec);
        let now = Tick(1_000_000_000);
        let domain = FabricDomainId::new("fabric-1").expect("a valid literal");
        let planner = DomainPlanner::new(&domain, Term(1), PlanSettings::default(), now);
        let hosts = (0..groups * MEMBERS).map(host).collect();
        let mut bench = Self { planner, desired, targets, hosts, loads: BTreeMap::new(), now };
        for _ in 0..40 {
            bench.run_round();
        }
        assert_eq!(bench.planner.views().len(), groups as usize);
        bench
    }

    fn observe(&mut self) {
        for entry in &self.hosts {
            let load = self.loads.get(&entry.host).cloned();
            let phase = if load.is_some() { HostPhase::Ready } else { HostPhase::Idle };
            let report =
                HostReport { boot: 1, term: Term(1), phase, load, in_flight: 0, leaving: false };
            self.planner.observe(&entry.host, self.now, report);
        }
    }

    fn step(&mut self) -> Vec<HostOrder> {
        let input = PlanInput {
            desired: &self.desired,
            targets: &self.targets,
            hosts: &self.hosts,
            loads: RatePerSecond(1e6),
            now: self.now,
        };
        self.planner.step(&input)
    }

    fn run_round(&mut self) {
        self.now = self.now + Duration::from_millis(500);
        self.planner.apply_host_list(&self.hosts, self.now);
        self.observe();
        for order in self.step() {
            self.planner.note_sent(&order, self.now);
            self.planner.note_outcome(&order, OrderOutcome::Accepted, self.now);
            if let HostCommand::Load(load) = order.command {
                self.loads.insert(order.host, load);
            }
        }
    }
}

fn host(index: u32) -> EngineHost {
    EngineHost {
        host: HostId::new(format!("host-{index:03}")).expect("a valid text"),
        address: ([127, 0, 0, 1], 1).into(),
        accelerators: 8,
        leaving: false,
    }
}

fn spec(replicas: u32) -> GroupSetSpec {
    GroupSetSpec {
        name: GroupSetName::new("set").expect("a valid literal"),
        model: ModelName::new("model").expect("a valid literal"),
        version: ModelVersion::new("v1").expect("a valid literal"),
        adapter: None,
        fabric_domains: Vec::new(),
        replicas,
        hosts_per_group: MEMBERS,
        value: Weight(1.0),
        spares: 0,
        slots_per_group: 8,
        workspaces: Vec::new(),
    }
}

#[divan::bench(args = [15, 60, 150])]
fn step_when_all_serve(bencher: divan::Bencher<'_, '_>, groups: u32) {
    let mut bench = StepBench::new(groups);
    bencher.bench_local(|| bench.step());
}

#[divan::bench(args = [15, 60, 150])]
fn round_when_all_serve(bencher: divan::Bencher<'_, '_>, groups: u32) {
    let mut bench = StepBench::new(groups);
    bencher.bench_local(|| bench.run_round());
}

fn main() {
    divan::main();
}
