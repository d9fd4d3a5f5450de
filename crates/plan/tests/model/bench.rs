//! Failure lists generated from seeds, and the cost of a repair policy on them.

use {
    crate::model::{
        fault::Fault,
        run::{desired, spec},
        world::{World, WorldCosts, WorldSettings},
    },
    base::Weight,
    conf::ticket::{FencingMode, GroupSetSpec},
    plan::RepairPolicy,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{sync::Arc, time::Duration},
};

/// A fabric domain, its group sets and a list of failures.
#[derive(Clone, Debug)]
pub struct BenchCase {
    pub name: &'static str,
    pub hosts: u32,
    pub specs: Vec<GroupSetSpec>,
    /// For each set in `specs`, the number of groups that count as missing when they do not serve.
    pub expected_groups: Vec<u32>,
    pub events: Vec<(Duration, Fault)>,
    pub incidents: usize,
    pub span: Duration,
}

const LOAD_TIME: Duration = Duration::from_secs(10);
const DRAIN_TIME: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(40);
/// Names of the shapes (hosts and group sets) that [`bench_case`] accepts.
pub const SHAPES: [&str; 5] = ["tight", "spare", "mixed", "conflict", "reserve"];

/// Returns the number of hosts, the sets and the expected groups of one shape.
fn shape(name: &'static str) -> (u32, Vec<GroupSetSpec>, Vec<u32>) {
    match name {
        "tight" => (12, vec![spec("a", 3, 4, 1.0)], vec![3]),
        "spare" => (13, vec![spec("a", 3, 4, 1.0)], vec![3]),
        "mixed" => (12, vec![spec("a", 2, 4, 2.0), spec("b", 2, 2, 1.0)], vec![2, 2]),
        "conflict" => (12, vec![spec("a", 2, 4, 1.0), spec("b", 2, 2, 3.0)], vec![2, 2]),
        _ => {
            let reserve = GroupSetSpec { spares: 2, ..spec("a", 2, 4, 5.0) };
            (12, vec![reserve, spec("b", 2, 2, 1.0)], vec![2, 1])
        }
    }
}

/// Generates failures: half are pauses, a fifth are restarts and the rest are long outages, one in
/// three of which affects the whole machine.
pub fn bench_case(name: &'static str, seed: u64, incidents: usize, span: Duration) -> BenchCase {
    let (hosts, specs, expected_groups) = shape(name);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let latest = span.as_millis() as u64 * 2 / 3;
    let mut events: Vec<(Duration, Fault)> = (0..incidents)
        .map(|_| {
            let at = Duration::from_millis(rng.random_range(0..latest));
            let host = rng.random_range(0..hosts);
            let fault = match rng.random_range(0..10) {
                0..5 => Fault::Freeze { host, ms: rng.random_range(2_000..8_000) },
                5..7 => Fault::Kill { host, back_ms: rng.random_range(3_000..20_000) },
                7..9 => Fault::Kill { host, back_ms: rng.random_range(60_000..300_000) },
                _ => Fault::LoseMachine { host, back_ms: rng.random_range(60_000..300_000) },
            };
            (at, fault)
        })
        .collect();
    events.sort_by_key(|(at, _)| *at);
    BenchCase { name, hosts, specs, expected_groups, events, incidents, span }
}

/// Runs a policy on the failures and returns its costs, without those of the initial formation of
/// groups.
pub fn run_case(case: &BenchCase, policy: Arc<dyn RepairPolicy>, weight: f64) -> WorldCosts {
    let mut desired = desired(case.specs.clone(), FencingMode::Checked);
    desired.flags.downtime_weight = Weight(weight);
    let names = case.specs.iter().map(|spec| spec.name.clone());
    let mut world = World::new(WorldSettings {
        hosts: case.hosts,
        desired,
        policy,
        load_time: LOAD_TIME,
        drain_time: DRAIN_TIME,
        check_history: false,
        expected_groups: names.zip(case.expected_groups.iter().copied()).collect(),
        ..WorldSettings::default()
    });
    world.run(WARM_UP, |_| false);
    world.reset_costs();
    for (at, fault) in &case.events {
        world.schedule(*at, fault.clone());
    }
    world.run(case.span, |_| false);
    world.costs
}
