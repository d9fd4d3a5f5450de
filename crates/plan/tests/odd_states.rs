//! Entries of the host list that parse and are impossible, as another writer may leave them.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "staged/domain.rs"]
mod domain;

use {
    base::{FabricDomainId, ModelName},
    domain::DomainRig,
    plan::staged::{DemandWeight, StagedCommand, StagedModel},
    std::time::Duration,
    yare::parameterized,
};

/// A fabric domain with four hosts, three of which form a serving group.
fn serving() -> DomainRig {
    let mut rig = DomainRig::new(vec![model()]);
    start(&mut rig);
    rig
}

fn model() -> StagedModel {
    StagedModel {
        name: ModelName::new("small").unwrap(),
        size: 3,
        demand: DemandWeight(1.0),
        load_time: Duration::from_secs(16),
        elsewhere: 0,
    }
}

fn start(rig: &mut DomainRig) {
    rig.first_groups = vec!["small"];
    rig.add_hosts(4);
    rig.run(Duration::from_secs(8));
    rig.in_traffic = true;
    assert_eq!(rig.serving(), 1);
}

/// One entry with an impossible rank took memory for all ranks below it, and made the sound group that it
/// named incomplete, so that it was dissolved.
#[parameterized(
    just_outside = { 3 },
    large = { 1_000_000 },
)]
fn an_entry_with_an_impossible_rank_does_not_end_the_group_that_it_names(rank: u32) {
    let mut rig = serving();
    let spare = rig.host(3);
    for _ in 0..20 {
        rig.list_at_rank(&spare, rank);
        rig.run(Duration::from_millis(100));
    }
    assert_eq!(rig.serving(), 1);
    let ends = |command: &StagedCommand| {
        matches!(command, StagedCommand::Close { .. })
            || matches!(command, StagedCommand::Leave { .. })
    };
    let ended: Vec<_> = rig.orders().iter().filter(|order| ends(&order.command)).collect();
    assert!(ended.iter().all(|order| order.host == spare), "{ended:?}");
}

/// The same for a new owner, which adopts the groups that it finds in the list.
#[test]
fn a_new_owner_adopts_a_group_beside_an_entry_with_an_impossible_rank() {
    let mut rig = serving();
    let spare = rig.host(3);
    rig.replace_owner();
    for _ in 0..20 {
        rig.list_at_rank(&spare, 1_000_000);
        rig.run(Duration::from_millis(100));
    }
    assert_eq!(rig.serving(), 1);
    assert_eq!(rig.count_orders(|command| matches!(command, StagedCommand::Close { .. })), 0);
}

/// The name of a group is made of that of its domain, and one of full length left no room for it: the
/// loop that owned the domain ended.
#[test]
fn a_domain_with_a_name_of_full_length_has_groups() {
    let mut rig = DomainRig::new(vec![model()]);
    rig.set_domain(&FabricDomainId::new("d".repeat(128)).unwrap());
    start(&mut rig);
}
