//! Takeovers: a new owner adopts the groups that the engines run.

mod model;

use {
    crate::model::{
        fault::Fault,
        run::{desired, spec},
        world::{World, WorldSettings},
    },
    base::GroupId,
    conf::ticket::FencingMode,
    plan::{LifecyclePhase, Safeguards},
    std::time::Duration,
};

fn world(fencing: FencingMode, safeguards: Safeguards) -> World {
    World::new(WorldSettings {
        hosts: 9,
        desired: desired(vec![spec("model", 2, 4, 1.0)], fencing),
        checked: fencing == FencingMode::Checked,
        safeguards,
        seed: 3,
        ..WorldSettings::default()
    })
}

fn ids(world: &World) -> Vec<GroupId> {
    world.groups().iter().map(|view| view.load.group.clone()).collect()
}

/// Returns the number of loads that engines execute because of a takeover of two serving groups.
fn reloads(fencing: FencingMode, safeguards: Safeguards) -> u32 {
    let mut world = world(fencing, safeguards);
    assert!(world.run(Duration::from_secs(20), World::is_converged));
    let before = world.joins;
    world.schedule(Duration::from_millis(100), Fault::TakeOver);
    world.run(Duration::from_secs(5), |_| false);
    assert!(world.run(Duration::from_secs(30), World::is_converged));
    world.joins - before
}

#[yare::parameterized(
    checked = { FencingMode::Checked },
    ignored = { FencingMode::Ignored },
)]
fn serving_groups_are_adopted_without_a_load(fencing: FencingMode) {
    assert_eq!(reloads(fencing, Safeguards::default()), 0);
}

#[test]
fn an_owner_that_does_not_probe_loads_again() {
    let safeguards = Safeguards { adopt_from_engines: false, ..Safeguards::default() };
    assert_eq!(reloads(FencingMode::Checked, safeguards), 8);
}

#[yare::parameterized(
    checked = { FencingMode::Checked },
    ignored = { FencingMode::Ignored },
)]
fn a_new_owner_adopts_groups_that_are_still_loading(fencing: FencingMode) {
    let mut world = world(fencing, Safeguards::default());
    let loading = |world: &World| {
        let loading = |view: &plan::GroupView| view.phase == LifecyclePhase::Loading;
        world.groups().len() == 2 && world.groups().iter().all(loading)
    };
    assert!(world.run(Duration::from_secs(20), loading));
    let (before, joins) = (ids(&world), world.joins);
    world.schedule(Duration::from_millis(10), Fault::FreezeOwner { ms: 60_000 });
    world.schedule(Duration::from_millis(20), Fault::TakeOver);
    world.run(Duration::from_millis(100), |_| false);
    assert!(world.run(Duration::from_secs(30), World::is_converged));
    assert_eq!(ids(&world), before, "groups whose members all load are kept");
    assert_eq!(world.joins, joins, "nothing is loaded again");
    assert!(world.violations().is_empty());
}

#[test]
fn orders_of_a_frozen_owner_are_counted_where_engines_ignore_fencing() {
    let mut world = world(FencingMode::Ignored, Safeguards::default());
    // The owner freezes just before it sends the first loads, and resumes long after the takeover.
    world.schedule(Duration::from_millis(1_900), Fault::FreezeOwner { ms: 20_000 });
    world.schedule(Duration::from_millis(2_000), Fault::TakeOver);
    world.run(Duration::from_secs(19), |_| false);
    assert_eq!(world.foreign_orders_found(), 0);
    world.run(Duration::from_secs(4), |_| false);
    assert!(world.foreign_joins > 0, "the resumed owner sent no load that took effect");
    assert_eq!(world.foreign_orders_found(), u64::from(world.foreign_joins));
    assert!(world.run(Duration::from_secs(30), World::is_converged));
}
