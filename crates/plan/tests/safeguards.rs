//! Random schedules detect the absence of each safeguard.

mod model;

use {
    crate::model::{
        fault::{Schedule, schedules},
        run::{RunResult, run},
    },
    plan::Safeguards,
    proptest::{
        strategy::{Strategy, ValueTree},
        test_runner::{Config, RngSeed, TestRunner},
    },
};

const SEED: u64 = 1;
const MAX_SCHEDULES: u32 = 5_000;

/// Runs random schedules until `bad` holds for a result; returns that schedule's number and result.
fn find(
    checked: bool,
    safeguards: &Safeguards,
    bad: impl Fn(&RunResult) -> bool,
) -> Option<(u32, RunResult)> {
    let config = Config { rng_seed: RngSeed::Fixed(SEED), ..Config::default() };
    let mut runner = TestRunner::new(config);
    for number in 1..=MAX_SCHEDULES {
        let tree = schedules().new_tree(&mut runner).expect("schedules are not filtered");
        let schedule: Schedule = tree.current();
        let result = run(&schedule, checked, safeguards);
        if bad(&result) {
            return Some((number, result));
        }
    }
    None
}

#[yare::parameterized(
    await_settled_orders = { "settle_orders", Safeguards { await_settled_orders: false, ..Safeguards::default() } },
    await_all_members = { "await_all_members", Safeguards { await_all_members: false, ..Safeguards::default() } },
    suspend_on_unresponsive = { "suspend_on_silence", Safeguards { suspend_on_unresponsive: false, ..Safeguards::default() } },
    compare_boot_ids = { "compare_boots", Safeguards { compare_boot_ids: false, ..Safeguards::default() } },
    fence_engines = { "fence_engines", Safeguards { fence_engines: false, ..Safeguards::default() } },
    release_leftovers = { "release_leftovers", Safeguards { release_leftovers: false, ..Safeguards::default() } },
)]
fn a_missing_safeguard_is_detected(name: &str, safeguards: Safeguards) {
    let found = find(true, &safeguards, |result| !result.violations.is_empty());
    let (number, result) =
        found.unwrap_or_else(|| panic!("{name}: not detected by {MAX_SCHEDULES} schedules"));
    println!("{name}: detected by schedule {number} of seed {SEED}: {}", result.violations[0]);
}
