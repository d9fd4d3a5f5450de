//! Runs the freshness rule under random schedules of faults. No schedule may make a node act on an
//! older head than one in force, and the schedules must detect each of three broken variants of the
//! rule and one that is too slow.

mod model;

use {
    crate::model::{
        faults::{Schedule, schedules},
        world::{Finding, World},
    },
    base::Tick,
    freshness::{FreshTiming, HeadRule, RulePolicy},
    proptest::{
        strategy::{Strategy, ValueTree},
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::{
        sync::atomic::{AtomicU64, Ordering::Relaxed},
        thread,
        time::Duration,
    },
};

/// Number of schedules under which the rule must hold.
const SCHEDULES: u64 = 10_000;
/// Number of schedules within which a broken variant of the rule must be detected.
const VARIANT_SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
const SEED: u64 = 0x6766;

/// A broken variant: measures the age of an answer from when it was received.
#[derive(Clone, Copy)]
struct AgeFromReceipt;

impl RulePolicy for AgeFromReceipt {
    fn evidence_tick(&self, _sent: Tick, received: Tick) -> Tick {
        received
    }

    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool {
        HeadRule.counts(row_in_view, row_in_force)
    }

    fn force_wait(&self, timing: &FreshTiming, all_acknowledged: bool) -> Duration {
        HeadRule.force_wait(timing, all_acknowledged)
    }
}

/// A broken variant: a restarted member counts towards a majority as soon as it holds a head, even
/// if its member row is not in force.
#[derive(Clone, Copy)]
struct CountsAtOnce;

impl RulePolicy for CountsAtOnce {
    fn evidence_tick(&self, sent: Tick, received: Tick) -> Tick {
        HeadRule.evidence_tick(sent, received)
    }

    fn counts(&self, row_in_view: bool, _row_in_force: bool) -> bool {
        row_in_view
    }

    fn force_wait(&self, timing: &FreshTiming, all_acknowledged: bool) -> Duration {
        HeadRule.force_wait(timing, all_acknowledged)
    }
}

/// A broken variant: a head is in force at once when every member has acknowledged it.
#[derive(Clone, Copy)]
struct NoWait;

impl RulePolicy for NoWait {
    fn evidence_tick(&self, sent: Tick, received: Tick) -> Tick {
        HeadRule.evidence_tick(sent, received)
    }

    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool {
        HeadRule.counts(row_in_view, row_in_force)
    }

    fn force_wait(&self, timing: &FreshTiming, all_acknowledged: bool) -> Duration {
        match all_acknowledged {
            true => Duration::ZERO,
            false => HeadRule.force_wait(timing, all_acknowledged),
        }
    }
}

/// A variant that is too slow: the wait exceeds the time in which a change must be in force.
#[derive(Clone, Copy)]
struct ExcessiveWait;

impl RulePolicy for ExcessiveWait {
    fn evidence_tick(&self, sent: Tick, received: Tick) -> Tick {
        HeadRule.evidence_tick(sent, received)
    }

    fn counts(&self, row_in_view: bool, row_in_force: bool) -> bool {
        HeadRule.counts(row_in_view, row_in_force)
    }

    fn force_wait(&self, _timing: &FreshTiming, _all_acknowledged: bool) -> Duration {
        Duration::from_secs(9)
    }
}

/// Generates the schedule with this number; it is the same in every run.
fn schedule(number: u64) -> Schedule {
    let config = Config {
        rng_seed: RngSeed::Fixed(SEED.wrapping_add(number)),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    schedules().new_tree(&mut runner).expect("schedules reject nothing").current()
}

/// Runs schedules until one has a finding for which `matches_finding` is true. Returns that finding
/// with the number of its schedule, and how often a newer head was found in force.
fn search<P: RulePolicy + Copy + Send + Sync>(
    policy: P,
    same_member: bool,
    schedules: u64,
    matches_finding: impl Fn(&Finding) -> bool + Sync,
) -> (Option<(u64, Finding)>, u64) {
    let first = AtomicU64::new(u64::MAX);
    let in_force_changes = AtomicU64::new(0);
    let found = std::sync::Mutex::new(None);
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let (first, in_force_changes, found, matches_finding) =
                (&first, &in_force_changes, &found, &matches_finding);
            scope.spawn(move || {
                for number in (thread..schedules).step_by(THREADS as usize) {
                    if number > first.load(Relaxed) {
                        return;
                    }
                    match World::new(&schedule(number), policy, same_member).run() {
                        Ok(count) => drop(in_force_changes.fetch_add(count, Relaxed)),
                        Err(finding) if matches_finding(&finding) => {
                            if first.fetch_min(number, Relaxed) > number {
                                *found.lock().unwrap() = Some((number, finding));
                            }
                        }
                        Err(_) => {}
                    }
                }
            });
        }
    });
    (found.into_inner().unwrap(), in_force_changes.into_inner())
}

fn is_stale(finding: &Finding) -> bool {
    matches!(finding, Finding::Stale(_))
}

#[test]
fn the_rule_holds_in_every_schedule() {
    let (found, in_force_changes) = search(HeadRule, false, SCHEDULES, |_| true);
    if let Some((number, finding)) = found {
        panic!("schedule {number} of seed {SEED}: {finding}\n{:#?}", schedule(number));
    }
    println!("{SCHEDULES} schedules: 0 stale, {in_force_changes} times a newer head took effect");
    assert!(
        in_force_changes > SCHEDULES,
        "schedules with too few changes in force: {in_force_changes}"
    );
}

#[test]
fn ages_counted_from_receipt_are_detected() {
    let (found, _) = search(AgeFromReceipt, false, VARIANT_SCHEDULES, is_stale);
    let (number, finding) = found.expect("no schedule detected the broken variant");
    println!("found after {} schedules: {finding}", number + 1);
}

#[test]
fn a_restarted_member_that_counts_at_once_is_detected() {
    let (found, _) = search(CountsAtOnce, true, VARIANT_SCHEDULES, is_stale);
    let (number, finding) = found.expect("no schedule detected the broken variant");
    println!("found after {} schedules: {finding}", number + 1);
}

#[test]
fn in_force_without_a_wait_is_detected() {
    let (found, _) = search(NoWait, false, VARIANT_SCHEDULES, is_stale);
    let (number, finding) = found.expect("no schedule detected the broken variant");
    println!("found after {} schedules: {finding}", number + 1);
}

#[test]
fn a_rule_that_is_too_slow_is_detected() {
    let is_not_recovered = |finding: &Finding| matches!(finding, Finding::NotRecovered(_));
    let (found, _) = search(ExcessiveWait, false, VARIANT_SCHEDULES, is_not_recovered);
    let (number, finding) = found.expect("no schedule found a change that is in force too late");
    println!("found after {} schedules: {finding}", number + 1);
}
