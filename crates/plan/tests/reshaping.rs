//! Tests of version rollouts and of hosts that leave as planned.

mod model;

use {
    crate::model::{
        fault::Fault,
        run::{desired, spec},
        world::{World, WorldSettings, host_id},
    },
    conf::ticket::FencingMode,
    plan::{LifecyclePhase, Safeguards},
    std::{cell::Cell, time::Duration},
};

fn converged_world(hosts: u32, replicas: u32) -> World {
    let mut world = World::new(WorldSettings {
        hosts,
        desired: desired(vec![spec("model", replicas, 4, 1.0)], FencingMode::Checked),
        checked: true,
        safeguards: Safeguards::default(),
        seed: 5,
        ..WorldSettings::default()
    });
    assert!(world.run(Duration::from_secs(20), World::is_converged));
    world
}

fn serving(world: &World) -> usize {
    world.groups().iter().filter(|view| view.phase == LifecyclePhase::Serving).count()
}

/// Returns the lowest number of groups that served at the same time during a version rollout.
fn fewest_serving(hosts: u32, replicas: u32) -> usize {
    let mut world = converged_world(hosts, replicas);
    world.schedule(Duration::from_millis(10), Fault::ChangeVersion { number: 1 });
    let fewest = Cell::new(usize::MAX);
    world.run(Duration::from_millis(20), |_| false);
    let done = world.run(Duration::from_secs(120), |world| {
        fewest.set(fewest.get().min(serving(world)));
        world.is_converged()
    });
    assert!(done, "{}", world.summary());
    assert!(world.groups().iter().all(|view| view.load.version.as_str() == "v1"));
    fewest.get()
}

#[yare::parameterized(
    no_spare_hosts = { 12, 3, 2 },
    hosts_for_one_more = { 16, 3, 3 },
    only_one_fits = { 4, 1, 0 },
)]
fn a_new_version_replaces_group_by_group(hosts: u32, replicas: u32, fewest: usize) {
    assert_eq!(fewest_serving(hosts, replicas), fewest);
}

#[test]
fn the_group_of_a_leaving_host_drains_at_once_and_is_formed_again() {
    let mut world = converged_world(9, 2);
    world.schedule(Duration::from_millis(10), Fault::Leave { host: 0, leaving: true });
    let drains =
        |world: &World| world.groups().iter().any(|view| view.phase == LifecyclePhase::Draining);
    assert!(world.run(Duration::from_secs(3), drains), "the group did not drain within 3 s");
    let formed = |world: &World| {
        let leaving = host_id(0);
        let mut members = world.groups().iter().flat_map(|view| &view.load.members);
        serving(world) == 2 && members.all(|member| member.host != leaving)
    };
    assert!(world.run(Duration::from_secs(30), formed), "{}", world.summary());
}
