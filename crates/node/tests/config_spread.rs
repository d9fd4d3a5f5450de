//! How long a configuration takes from the store's acknowledgement to the last process, compared with
//! the policy before answers had an age, on the same events. Without network.

#[path = "spread/mod.rs"]
mod spread;

use {
    rand::{Rng, SeedableRng, seq::IteratorRandom},
    rand_pcg::Pcg64,
    spread::{Delays, Fault, Millis, Policy, Reach, SpreadWorld},
    yare::parameterized,
};

/// When the faults begin; the processes know each other by then.
const FAULTS_AT: Millis = 5_000;
const CHANGES_AT: [Millis; 4] = [5_200, 6_400, 8_000, 11_500];
const END: Millis = 24_000;
/// Size of a configuration of 200 routes.
const USUAL_BYTES: u64 = 60_000;
/// Size of a configuration of 1,800 routes.
const LARGEST_BYTES: u64 = 500_000;
/// What a link of 14 Mbit/s carries in a millisecond.
const SLOWEST_BYTES_PER_MS: u64 = 1_750;

/// What happens beside the changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pattern {
    Calm,
    /// The largest configuration over the slowest links.
    Largest,
    WatchersDie,
    SourcesFreeze,
    SourcesAreCut,
    /// A third of the processes is refused by the store for nine seconds.
    StoreRefusesSome,
    StoreSilentToSome,
    StoreStaleToSome,
    /// All processes that read for others are refused.
    StoreRefusesWatchers,
}

impl Pattern {
    fn plan(self, world: &mut SpreadWorld, rng: &mut Pcg64) {
        let count = world.processes.len();
        let watchers = world.watchers();
        let some = |rng: &mut Pcg64, share: f64| {
            (0..count).choose_multiple(rng, (count as f64 * share) as usize)
        };
        let store = |world: &mut SpreadWorld, process: usize, reach: Reach| {
            world.push_fault(FAULTS_AT, process, Fault::Store(reach));
            world.push_fault(FAULTS_AT + 9_000, process, Fault::Store(Reach::Serves));
        };
        match self {
            Self::Calm => {}
            Self::Largest => {
                world.processes.iter_mut().for_each(|p| p.bytes_per_ms = SLOWEST_BYTES_PER_MS);
            }
            Self::WatchersDie => {
                for process in watchers.into_iter().choose_multiple(rng, 3) {
                    let at = FAULTS_AT + rng.random_range(0..2_000);
                    world.push_fault(at, process, Fault::Die);
                }
            }
            Self::SourcesFreeze => {
                let mut frozen = some(rng, 0.1);
                frozen.extend(watchers.into_iter().choose_multiple(rng, 2));
                for process in frozen {
                    let until = FAULTS_AT + rng.random_range(2_000..7_000);
                    world.push_fault(FAULTS_AT, process, Fault::Freeze { until });
                }
            }
            Self::SourcesAreCut => {
                for process in some(rng, 0.15) {
                    let until = FAULTS_AT + rng.random_range(2_000..7_000);
                    world.push_fault(FAULTS_AT, process, Fault::Cut(true));
                    world.push_fault(until, process, Fault::Cut(false));
                }
            }
            Self::StoreRefusesSome => {
                some(rng, 0.35).into_iter().for_each(|p| store(world, p, Reach::Refuses));
            }
            Self::StoreSilentToSome => {
                some(rng, 0.35).into_iter().for_each(|p| store(world, p, Reach::Silent));
            }
            Self::StoreStaleToSome => {
                watchers.into_iter().take(2).for_each(|p| store(world, p, Reach::Stale));
            }
            Self::StoreRefusesWatchers => {
                watchers.into_iter().for_each(|p| store(world, p, Reach::Refuses));
            }
        }
    }

    fn config_bytes(self) -> u64 {
        if self == Self::Largest { LARGEST_BYTES } else { USUAL_BYTES }
    }
}

/// The delays over all seeds, and the calls to the store.
fn play(policy: Policy, pattern: Pattern, count: usize) -> (Delays, u64) {
    let mut delays = Delays::default();
    let mut calls = 0;
    // Larger runs have more delays each.
    let seeds = (300 / count as u64).min(5);
    for seed in 0..seeds {
        let mut world = SpreadWorld::new(policy, count, seed, pattern.config_bytes());
        let mut rng = Pcg64::seed_from_u64(seed);
        pattern.plan(&mut world, &mut rng);
        for (index, at) in CHANGES_AT.into_iter().enumerate() {
            world.push_version(at + rng.random_range(0..900), index as u64 + 2);
        }
        world.run_until(END);
        delays.add(world.delays(2, END));
        calls += world.store_calls;
    }
    (delays, calls)
}

/// The time within which a change takes effect on a deployment of this size.
fn bound(count: usize) -> Millis {
    match count {
        0..=50 => 2_000,
        51..=200 => 3_000,
        _ => 4_000,
    }
}

/// Guards against processes that stay on an old configuration while others have a newer one.
#[parameterized(
    calm = { Pattern::Calm },
    largest = { Pattern::Largest },
    watchers_die = { Pattern::WatchersDie },
    sources_freeze = { Pattern::SourcesFreeze },
    sources_are_cut = { Pattern::SourcesAreCut },
    store_refuses_some = { Pattern::StoreRefusesSome },
    store_silent_to_some = { Pattern::StoreSilentToSome },
    store_stale_to_some = { Pattern::StoreStaleToSome },
    store_refuses_watchers = { Pattern::StoreRefusesWatchers },
)]
fn every_process_has_a_change_in_time(pattern: Pattern) {
    let mut late = Vec::new();
    for count in [30, 100, 300] {
        let (before, calls_before) = play(Policy::Previous, pattern, count);
        let (after, calls) = play(Policy::Aged, pattern, count);
        println!(
            "| {pattern:?} | {count} | {} / {} / {} | {} / {} / {} | {calls_before} | {calls} |",
            before.quantile(0.5),
            before.quantile(0.99),
            before.worst(),
            after.quantile(0.5),
            after.quantile(0.99),
            after.worst(),
        );
        if after.worst() > bound(count) {
            late.push((count, after.worst()));
        }
    }
    assert!(late.is_empty(), "later than the bound, by number of processes: {late:?}");
}
