//! Runs property tests on random schedules with fixed seeds.

use {
    proptest::{
        strategy::{Strategy, ValueTree},
        test_runner::{Config, RngSeed, TestCaseError, TestRunner},
    },
    std::fmt::Debug,
};

/// Number of random schedules per property.
pub(crate) const SCHEDULES: u32 = 10_000;

fn config(seed: u64) -> Config {
    Config {
        cases: SCHEDULES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// Asserts that a property holds for every schedule; panics with the seed and a minimized schedule
/// otherwise.
pub(crate) fn assert_holds<S: Strategy>(
    seed: u64,
    strategy: S,
    run: impl Fn(S::Value) -> Result<(), String>,
) where
    S::Value: Debug,
{
    let check = |schedule| run(schedule).map_err(TestCaseError::fail);
    let result = TestRunner::new(config(seed)).run(&strategy, check);
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}

/// Asserts that some schedule violates the property; prints the number of schedules it took.
pub(crate) fn assert_violated<S: Strategy>(
    name: &str,
    seed: u64,
    strategy: S,
    run: impl Fn(S::Value) -> Result<(), String>,
) {
    let mut runner = TestRunner::new(config(seed));
    for number in 1..=SCHEDULES {
        let tree = strategy.new_tree(&mut runner).expect("the strategy rejects nothing");
        if let Err(violation) = run(tree.current()) {
            println!("injected {name}: detected by schedule {number}: {violation}");
            return;
        }
    }
    panic!("injected {name}: not detected in {SCHEDULES} schedules, seed {seed}");
}
