//! Tests of the hosts that are held as spares, depending on the downtime weight.

mod model;

use {
    crate::model::{
        fault::Fault,
        run::{desired, spec},
        world::{World, WorldSettings},
    },
    base::Weight,
    conf::ticket::{FencingMode, GroupSetSpec},
    plan::LifecyclePhase,
    std::time::Duration,
};

/// Runs a set of two high-value groups of four hosts with two spares, and a low-value set of two
/// groups of two hosts.
fn world(hosts: u32, weight: f64) -> World {
    let costly = GroupSetSpec { spares: 2, ..spec("costly", 2, 4, 5.0) };
    let mut desired = desired(vec![costly, spec("cheap", 2, 2, 1.0)], FencingMode::Checked);
    desired.flags.downtime_weight = Weight(weight);
    let mut world = World::new(WorldSettings { hosts, desired, ..WorldSettings::default() });
    world.run(Duration::from_secs(20), |_| false);
    world
}

fn serving(world: &World, set: &str) -> usize {
    let serves =
        |view: &&plan::GroupView| view.phase == LifecyclePhase::Serving && view.set.as_str() == set;
    world.groups().iter().filter(serves).count()
}

#[yare::parameterized(
    stranded_alone = { 0.0, 2 },
    even = { 0.5, 2 },
    downtime_weighs_more = { 0.95, 1 },
    downtime_alone = { 1.0, 1 },
)]
fn the_weight_decides_whether_the_reserve_is_held(weight: f64, cheap: usize) {
    let world = world(12, weight);
    assert_eq!((serving(&world, "costly"), serving(&world, "cheap")), (2, cheap));
}

#[test]
fn a_reserve_never_keeps_its_own_set_from_a_group() {
    assert_eq!(serving(&world(8, 1.0), "costly"), 2);
}

#[test]
fn a_reserved_host_replaces_one_whose_process_ended() {
    let mut world = world(12, 1.0);
    world.schedule(Duration::from_millis(10), Fault::Kill { host: 0, back_ms: 600_000 });
    world.run(Duration::from_secs(1), |_| false);
    let both_serve = |world: &World| serving(world, "costly") == 2;
    assert!(world.run(Duration::from_secs(8), both_serve), "{}", world.summary());
    assert_eq!(serving(&world, "cheap"), 1, "no group of another set is dissolved");
}
