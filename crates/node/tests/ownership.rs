//! Who owns fabric domains while processes are cut off, stand still, end and come back: the control loops
//! of several processes with a simulated store, simulated servers and ways that fail.

#[path = "../../plan/tests/staged/engine.rs"]
#[allow(dead_code, reason = "shared with the tests of the planner")]
mod engine;
#[path = "ownership/links.rs"]
mod links;
#[path = "ownership/process.rs"]
mod process;
#[path = "ownership/schedules.rs"]
mod schedules;
#[path = "ownership/servers.rs"]
mod servers;
#[path = "ownership/store.rs"]
mod store;
#[path = "support/mod.rs"]
mod support;
#[path = "ownership/takeovers.rs"]
mod takeovers;
#[path = "ownership/world.rs"]
mod world;

use {std::time::Duration, world::World};

/// Time in which a domain must have an owner that runs once its processes are back.
const RECOVER: Duration = Duration::from_secs(12);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// After a loss of power of all machines, the last one to come back took the others for alive, because it
/// heard nobody, and never claimed the domains of those that stayed away.
#[test]
fn the_last_process_takes_over_domains_of_those_that_never_come_back() {
    for processes in [2, 3, 9] {
        let mut world = World::new(processes as u64, processes, 3);
        world.run(seconds(8));
        let domains = world.domains.clone();
        (0..processes).for_each(|process| world.kill(process));
        world.run(Duration::from_millis(1_200));
        let last = processes - 1;
        world.start(last);
        world.run(RECOVER);
        for domain in &domains {
            let owner = world.running_owner(domain);
            assert!(owner.is_some(), "{processes} processes: nobody owns {domain}");
            assert!(world.fleet.serving(domain) > 0, "{processes} processes: {domain}");
        }
        world.assert_no_violations("a loss of power");
    }
}

/// A process that hears no other may not take over from one that only it can't hear.
#[test]
fn owners_that_reach_the_store_keep_their_domains() {
    let mut world = World::new(5, 2, 4);
    world.run(seconds(8));
    let domains = world.domains.clone();
    let owners = |world: &World| -> Vec<_> {
        domains.iter().map(|domain| world.running_owner(domain).expect("an owner")).collect()
    };
    let before = owners(&world);
    let writes = world.store.writes();
    world.cut_off(&[0], false, false);
    world.run(seconds(40));
    assert_eq!(owners(&world), before);
    // Each of the two asks the other once in ten seconds, and is answered.
    let written = world.store.writes() - writes;
    assert!((1..=20).contains(&written), "{written} writes");
}

/// Plays a seed; see [`World::run_schedule`].
fn play(seed: u64) -> World {
    let processes = 2 + usize::try_from(seed % 4).unwrap();
    let mut world = World::new(seed, processes, 2);
    world.run_schedule();
    world
}

/// Random cuts, pauses, ends and returns of processes beside crashes of servers and outages of the store.
#[test]
fn random_schedules_keep_groups_apart_and_domains_owned() {
    for seed in schedules::seeds(200) {
        let mut world = play(seed);
        world.assert_no_violations(&format!("seed {seed}"));
        world.run(RECOVER);
        world.assert_no_violations(&format!("seed {seed}, at its end"));
        for domain in &world.domains {
            assert!(world.running_owner(domain).is_some(), "seed {seed}: nobody owns {domain}");
        }
    }
}
