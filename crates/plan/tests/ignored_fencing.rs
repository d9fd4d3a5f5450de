//! Engines that ignore fencing numbers: all invariants hold, except that an engine may execute a
//! load of an earlier owner. These loads are counted, and must be released within a limit.
//!
//! This happens when an owner's process is frozen between checking its ownership and sending an
//! order, and resumes after a takeover, later than the flight limit of orders.

mod model;

use {
    crate::model::{fault::schedules, run::run},
    plan::Safeguards,
    proptest::{
        strategy::{Strategy, ValueTree},
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::time::Duration,
};

const SCHEDULES: u32 = 2_500;
/// Longest time to detect and release a load under an old term: covers one or two missed probes, a
/// lost release order, and the flight limit before the host's state is considered settled.
const RELEASE_LIMIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct ResidualCount {
    schedules: u32,
    foreign_joins: u32,
    moved: u32,
    released_after_all: Vec<Duration>,
}

fn count(seed: u64, safeguards: &Safeguards) -> ResidualCount {
    let config = Config { rng_seed: RngSeed::Fixed(seed), ..Config::default() };
    let mut runner = TestRunner::new(config);
    let mut count = ResidualCount::default();
    for number in 1..=SCHEDULES {
        let tree = schedules().new_tree(&mut runner).expect("schedules are not filtered");
        let schedule = tree.current();
        let result = run(&schedule, false, safeguards);
        assert!(
            result.violations.is_empty(),
            "schedule {number} of seed {seed}: {}\n{schedule:#?}",
            result.violations.join("\n"),
        );
        count.schedules += u32::from(result.foreign_joins > 0);
        count.foreign_joins += result.foreign_joins;
        count.moved += result.moved;
        count.released_after_all.extend(result.released_after);
    }
    count.released_after_all.sort();
    count
}

#[test]
fn loads_under_an_old_term_are_detected_and_released() {
    let count = count(11, &Safeguards::default());
    let median = count.released_after_all[count.released_after_all.len() / 2];
    let worst = count.released_after_all[count.released_after_all.len() - 1];
    println!(
        "{SCHEDULES} schedules, seed 11: {} with a load under an old term, {} such loads, {} on a \
         host in a group; released after {median:?} in the median, {worst:?} at worst",
        count.schedules, count.foreign_joins, count.moved,
    );
    assert!(count.foreign_joins > 0, "no schedule produced a load under an old term");
    assert!(worst <= RELEASE_LIMIT);
}
