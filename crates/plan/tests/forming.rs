//! Groups are formed on free hosts and serve once all members are ready.

mod model;

use {
    crate::model::{
        run::{desired, spec},
        world::{World, WorldSettings},
    },
    conf::ticket::FencingMode,
    plan::{LifecyclePhase, Safeguards},
    std::time::Duration,
};

fn world(hosts: u32, replicas: u32, fencing: FencingMode) -> World {
    World::new(WorldSettings {
        hosts,
        desired: desired(vec![spec("model", replicas, 4, 1.0)], fencing),
        checked: fencing == FencingMode::Checked,
        safeguards: Safeguards::default(),
        seed: 1,
        ..WorldSettings::default()
    })
}

#[yare::parameterized(
    checked = { FencingMode::Checked },
    ignored = { FencingMode::Ignored },
)]
fn groups_serve_once_all_members_are_ready(fencing: FencingMode) {
    let mut world = world(9, 2, fencing);
    assert!(world.run(Duration::from_secs(10), World::is_converged));
    assert_eq!(world.groups().len(), 2);
    assert!(world.groups().iter().all(|view| view.phase == LifecyclePhase::Serving));
    assert!(world.violations().is_empty());
}

#[test]
fn too_few_hosts_make_no_group() {
    let mut world = world(3, 1, FencingMode::Checked);
    world.run(Duration::from_secs(10), |_| false);
    assert!(world.groups().is_empty());
}
