//! Hosts that report a group in which the planner does not know them.

use {
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    plan::staged::{
        DemandWeight, EngineState, MemberPhase, Membership, ObservationSource, OrderEnd,
        StagedCommand, StagedHost, StagedInput, StagedModel, StagedPlanner, StagedSettings,
    },
    std::{collections::BTreeSet, time::Duration},
};

const START: Tick = Tick(1_000_000_000_000);

fn host(name: &str) -> HostId {
    HostId::new(name).unwrap()
}

fn listed(name: &str) -> StagedHost {
    StagedHost {
        host: host(name),
        address: ([127, 0, 0, 1], 9).into(),
        leaving: false,
        listed: true,
        may_leave_unseen: false,
        left: None,
    }
}

/// The state of an engine, in a group of another owner if it has a rank there.
fn state(rank: Option<u32>) -> EngineState {
    let model = ModelName::new("m").unwrap();
    let phase = if rank == Some(0) { MemberPhase::Open } else { MemberPhase::Ready };
    let group = GroupId::new("d.1-1").unwrap();
    let membership = rank.map(|rank| Membership { group, epoch: Epoch(1), rank, phase });
    let served = membership.is_some().then(|| model.clone());
    EngineState {
        boot_id: Some(1),
        membership,
        model: served,
        staged: vec![model],
        accepted_orders: None,
    }
}

/// A new owner took a server that was in an open group for free, because it knew another one at the server's
/// place in the group, and joined it to another group.
#[test]
fn a_host_in_a_group_that_does_not_know_it_leaves_before_it_joins_another() {
    let hosts: Vec<StagedHost> = ["a", "b", "c", "d"].map(listed).into();
    let ranks = [("a", Some(0)), ("b", Some(1)), ("c", Some(1)), ("d", None)];
    let model = StagedModel {
        name: ModelName::new("m").unwrap(),
        size: 2,
        demand: DemandWeight(1.0),
        load_time: Duration::from_secs(4),
        elsewhere: 0,
    };
    let domain = FabricDomainId::new("d").unwrap();
    let settings = StagedSettings::default();
    let mut planner = StagedPlanner::new(&domain, Term(2), settings, START);
    planner.apply_host_list(&hosts, START);
    // Both claim the same place; the planner knows one of them there.
    let mut left = BTreeSet::new();
    let mut joined = BTreeSet::new();
    for step in 0..150 {
        let now = START + Duration::from_millis(100) * step;
        for (name, rank) in ranks {
            let rank = rank.filter(|_| !left.contains(&host(name)));
            planner.observe(&host(name), ObservationSource::Engine, now, state(rank));
        }
        let input = StagedInput {
            models: std::slice::from_ref(&model),
            hosts: &hosts,
            first_groups: &[],
            list_incomplete: false,
            in_traffic: true,
            list_read_since: START,
            now,
        };
        for order in planner.step(&input) {
            match order.command {
                StagedCommand::Leave { .. } => {
                    left.insert(order.host.clone());
                }
                StagedCommand::Join { .. } => {
                    joined.insert(order.host.clone());
                    let is_free = order.host == host("d") || left.contains(&order.host);
                    assert!(is_free, "{} joins without having left", order.host);
                }
                _ => {}
            }
            planner.note_end(&order, now, OrderEnd::Accepted);
        }
    }
    assert!(joined.contains(&host("d")) && joined.len() == 2, "left {left:?}, joined {joined:?}");
}
