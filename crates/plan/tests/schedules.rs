//! Runs the planner against random fault schedules and checks its invariants.

mod model;

use {
    crate::model::{fault::schedules, run::run},
    plan::Safeguards,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
};

const CASES: u32 = 2_500;

fn check(seed: u64, checked: bool) {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&schedules(), |schedule| {
        let result = run(&schedule, checked, &Safeguards::default());
        prop_assert!(result.violations.is_empty(), "{}", result.violations.join("\n"));
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("seed {seed}: {error}");
    }
}

#[yare::parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
)]
fn invariants_hold_with_checked_fencing(seed: u64) {
    check(seed, true);
}
