//! Orders that engines carry out late, after newer ones.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "staged/domain.rs"]
mod domain;

use {
    domain::{DomainRig, ScheduleTrouble, model},
    std::{ops::Range, time::Duration},
    yare::parameterized,
};

/// Hosts that certainly suffice for a group: with fewer, each model may have too few.
const ENOUGH_HOSTS: usize = 6;

/// The seeds to play: those of the environment's `PLAN_SEEDS`, as in `0..18000`, or else the given ones.
fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("PLAN_SEEDS") else { return usual };
    let (first, end) = text.split_once("..").expect("two numbers around `..`");
    first.parse().expect("a first seed")..end.parse().expect("a seed to end before")
}

fn heavy_schedule(seed: u64, level: u32, engines_ignore_terms: bool) -> DomainRig {
    let mut rig = DomainRig::new(vec![model("big", 4, 0.57), model("small", 3, 0.43)]);
    rig.engines_ignore_terms = engines_ignore_terms;
    rig.first_groups = vec!["big", "small"];
    rig.run_schedule(seed, level, ScheduleTrouble::heavy());
    rig
}

/// A late join and a late open made a head that had left open again, and it was joined to the next group. The
/// schedules of ten events with a fresh host list hardly ever showed it.
#[parameterized(
    one_owner = { 1, false },
    changes_of_the_owner = { 3, false },
    cuts = { 5, false },
    one_owner_unfenced = { 1, true },
    changes_of_the_owner_unfenced = { 3, true },
    cuts_unfenced = { 5, true },
)]
fn heavy_schedules_keep_groups_complete_and_apart(level: u32, engines_ignore_terms: bool) {
    for seed in seeds(0..400) {
        let rig = heavy_schedule(seed, level, engines_ignore_terms);
        rig.assert_no_violations_in(&format!("level {level}, seed {seed}"));
    }
}

/// Two groups with one head were dissolved for ever once all orders were answered again.
#[parameterized(
    one_owner = { 1, false },
    changes_of_the_owner = { 3, false },
    cuts = { 5, false },
    cuts_unfenced = { 5, true },
)]
fn groups_form_and_orders_cease_after_heavy_schedules(level: u32, engines_ignore_terms: bool) {
    for seed in seeds(0..100) {
        let mut rig = heavy_schedule(seed, level, engines_ignore_terms);
        rig.end_trouble();
        let (hosts, serving) = (rig.healthy_hosts(), rig.serving());
        assert!(
            serving > 0 || hosts < ENOUGH_HOSTS,
            "level {level}, seed {seed}: {hosts} hosts idle"
        );
        let before = rig.orders().len();
        rig.run(Duration::from_secs(10));
        let orders = &rig.orders()[before..];
        assert!(orders.is_empty(), "level {level}, seed {seed}: {orders:?}");
        rig.assert_no_violations_in(&format!("level {level}, seed {seed}, after the end"));
    }
}
