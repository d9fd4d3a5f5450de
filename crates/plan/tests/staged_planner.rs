//! Tests of the planner for engines whose groups are joined, opened and closed by separate orders.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "staged/domain.rs"]
mod domain;

use {
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    domain::{DomainRig, HostCondition, ScheduleTrouble, model},
    plan::staged::{
        EngineState, MemberPhase, Membership, ObservationSource, StagedCommand, StagedHost,
        StagedInput, StagedModel, StagedPlanner, StagedSettings, divide_groups,
    },
    std::{collections::BTreeMap, time::Duration},
    yare::parameterized,
};

fn domains(sizes: &[usize]) -> BTreeMap<FabricDomainId, usize> {
    let name = |index: usize| FabricDomainId::new(format!("d{index}")).unwrap();
    sizes.iter().enumerate().map(|(index, size)| (name(index), *size)).collect()
}

/// A fabric domain under traffic with four hosts, three of which form a serving group.
fn serving_small() -> DomainRig {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.first_groups = vec!["small"];
    rig.add_hosts(4);
    rig.run(Duration::from_secs(8));
    rig.in_traffic = true;
    rig
}

/// At the first start hosts are listed one after the other. Groups formed before all of them are
/// listed may divide the hosts badly.
#[test]
fn no_group_is_formed_while_hosts_are_still_being_listed() {
    let mut rig = DomainRig::new(vec![model("big", 4, 0.57), model("small", 3, 0.43)]);
    rig.list_incomplete = true;
    rig.first_groups = vec!["big"];
    rig.add_hosts(9);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.serving(), 0);
    rig.list_incomplete = false;
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.serving_of("big"), 1);
}

#[test]
fn a_head_is_opened_only_after_every_member_was_ready() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.first_groups = vec!["big"];
    rig.add_hosts(4);
    let slow = rig.host(3);
    rig.set_join_time(&slow, Duration::from_secs(9));
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.count_orders(|command| matches!(command, StagedCommand::Open { .. })), 0);
    rig.run(Duration::from_secs(4));
    assert_eq!(rig.serving(), 1);
}

/// A member crashes while a spare has the model staged. The spare must join without a load, which
/// alone would exceed the bound.
#[test]
fn a_lost_member_is_replaced_by_a_warm_spare() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.first_groups = vec!["big"];
    rig.add_hosts(5);
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.serving(), 1);
    rig.in_traffic = true;
    let member = rig.member_of_serving(1);
    let took = rig.time_to_repair(&member, Duration::from_secs(5));
    let bound = Duration::from_millis(3_000);
    assert!(took.is_some_and(|took| took <= bound), "took {took:?}, the bound is {bound:?}");
}

/// Members crash one after the other while spares have the model staged. A spare that is not
/// prewarmed takes 1.6 s to join and delays the whole new group: groups of 16 took 2.2 s from crash
/// to service, and on average only four of six groups served.
#[test]
fn a_spare_joins_as_quickly_as_a_survivor() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.first_groups = vec!["big"];
    rig.add_hosts(6);
    rig.run(Duration::from_secs(14));
    assert_eq!(rig.serving(), 1);
    rig.in_traffic = true;
    for crash in 0..2 {
        let member = rig.member_of_serving(1);
        let took = rig.time_to_repair(&member, Duration::from_secs(5));
        let bound = Duration::from_millis(1_500);
        assert!(took.is_some_and(|took| took <= bound), "crash {crash} took {took:?}");
        rig.run(Duration::from_secs(2));
    }
    rig.assert_no_violations();
}

/// A host that is added under traffic is staged and prewarmed, and then joins as fast as other
/// spares.
#[test]
fn an_added_host_is_prewarmed_as_a_spare() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.first_groups = vec!["big"];
    rig.add_hosts(4);
    rig.run(Duration::from_secs(10));
    rig.in_traffic = true;
    rig.add_hosts(1);
    rig.run(Duration::from_secs(10));
    let member = rig.member_of_serving(1);
    let took = rig.time_to_repair(&member, Duration::from_secs(5));
    let bound = Duration::from_millis(1_500);
    assert!(took.is_some_and(|took| took <= bound), "took {took:?}");
    rig.assert_no_violations();
}

/// A head that loses only its connection to the host list is removed from the list, but still
/// serves. If its members joined another group before it has left, two groups would share them.
#[test]
fn members_stay_while_their_unlisted_head_may_serve() {
    let mut rig = serving_small();
    let head = rig.member_of_serving(0);
    rig.set_condition(&head, HostCondition::CutFromList);
    rig.replace_owner();
    rig.run(Duration::from_secs(6));
    rig.assert_no_violations();
}

/// A leaving head stops listening and then finishes its requests for up to ten seconds. If its
/// members were reused as soon as probes of it fail, they would be in two serving groups.
#[test]
fn members_stay_while_their_leaving_head_finishes_its_work() {
    let mut rig = serving_small();
    let head = rig.member_of_serving(0);
    rig.set_condition(&head, HostCondition::Leaving);
    rig.run(Duration::from_secs(9));
    rig.assert_no_violations();
    rig.set_condition(&head, HostCondition::Dead);
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.serving_without(&head), 1);
}

/// The same after an outage of the store: the list shows the head as staying, its connections are
/// refused, and its entry expires as that of a crashed engine would.
#[test]
fn members_stay_while_their_head_leaves_unseen() {
    let mut rig = serving_small();
    let head = rig.member_of_serving(0);
    rig.set_condition(&head, HostCondition::LeavingUnseen);
    rig.run(Duration::from_secs(9));
    rig.assert_no_violations();
    rig.set_condition(&head, HostCondition::Dead);
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.serving_without(&head), 1);
}

/// The head is delisted before a new owner first reads the host list, and is still alive and
/// serving. The owner does not know the head and must not reuse its members.
#[test]
fn members_of_an_unknown_head_are_left_alone() {
    let mut rig = serving_small();
    let head = rig.member_of_serving(0);
    rig.set_condition(&head, HostCondition::CutFromList);
    rig.forget_unlisted();
    rig.replace_owner();
    rig.run(Duration::from_secs(6));
    rig.assert_no_violations();
    assert_eq!(rig.joins_of_present_owner().count(), 0);
}

/// The host list shows a head in its old group for some time after it has left. If the planner took
/// that for a new membership, it would order the head to leave the old group and to join the new
/// one in turn, for as long as the list lags: 20,879 orders in one run.
#[test]
fn a_stale_report_of_a_left_group_causes_no_extra_orders() {
    let mut rig = serving_small();
    rig.list_lag = Duration::from_secs(60);
    let member = rig.member_of_serving(2);
    rig.set_condition(&member, HostCondition::Dead);
    let before = rig.orders().len();
    rig.run(Duration::from_secs(10));
    let orders = rig.orders().len() - before;
    assert!(orders <= 60, "{orders} orders in ten seconds for one lost member");
}

/// During a store outage the host list shows no changes, but engines answer probes. Their answers
/// must be enough to repair a group that lost a member.
#[test]
fn groups_are_repaired_while_the_host_list_is_stalled() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.first_groups = vec!["big"];
    rig.add_hosts(5);
    rig.run(Duration::from_secs(12));
    rig.in_traffic = true;
    rig.list_lag = Duration::from_secs(3_600);
    let member = rig.member_of_serving(1);
    let took = rig.time_to_repair(&member, Duration::from_secs(8));
    let bound = Duration::from_secs(5);
    assert!(took.is_some_and(|took| took <= bound), "took {took:?}, the bound is {bound:?}");
}

/// The host list still holds a host that has just crashed. A new owner must not use it before it
/// has answered a probe.
#[test]
fn a_new_owner_uses_only_hosts_that_answered() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.add_hosts(3);
    rig.stage_all("small");
    rig.in_traffic = true;
    let dead = rig.host(0);
    rig.set_condition(&dead, HostCondition::Dead);
    rig.replace_owner();
    rig.run(Duration::from_secs(2));
    assert!(rig.joins_of_present_owner().all(|members| !members.contains(&dead)));
}

/// The server list of a new owner is behind: it shows hosts as free that have joined a group since.
/// Their answers, which differ, do not count yet, and the hosts must not be used on the list's word.
#[test]
fn a_new_owner_uses_no_host_whose_answer_differs_from_the_list() {
    let now = Tick(1_000_000_000_000);
    let domain = FabricDomainId::new("d1").unwrap();
    let mut planner = StagedPlanner::new(&domain, Term(3), StagedSettings::default(), now);
    let hosts: Vec<StagedHost> = (0..3)
        .map(|index| StagedHost {
            host: HostId::new(format!("h{index}")).unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: false,
            listed: true,
            may_leave_unseen: false,
            left: None,
        })
        .collect();
    let model = model("small", 3, 1.0);
    let state = |membership: Option<Membership>| EngineState {
        boot_id: Some(1),
        model: membership.as_ref().map(|_| model.name.clone()),
        staged: vec![model.name.clone()],
        membership,
        accepted_orders: None,
    };
    planner.apply_host_list(&hosts, now);
    for (rank, host) in hosts.iter().enumerate() {
        let phase = if rank == 0 { MemberPhase::Open } else { MemberPhase::Ready };
        let group = GroupId::new("d1.2-3").unwrap();
        let membership = Membership { group, epoch: Epoch(2 << 20), rank: rank as u32, phase };
        planner.observe(&host.host, ObservationSource::HostList, now, state(None));
        planner.observe(&host.host, ObservationSource::Engine, now, state(Some(membership)));
    }
    let models = [model.clone()];
    let input = StagedInput {
        models: &models,
        hosts: &hosts,
        first_groups: &[],
        list_read_since: now,
        list_incomplete: false,
        in_traffic: true,
        now: now + Duration::from_millis(5),
    };
    let orders = planner.step(&input);
    assert!(orders.is_empty(), "{orders:?}");
}

/// An engine restarts at the same address under a new host id, and the planner puts both ids into
/// one group. The new engine answers the probes of the old id too; if its answers counted for both,
/// the group would be opened with a member missing.
#[test]
fn an_answer_from_another_member_makes_no_member_ready() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.add_hosts(3);
    rig.stage_all("small");
    rig.in_traffic = true;
    let (old, new) = (rig.host(1), rig.host(2));
    rig.reuse_address(&old, &new);
    rig.run(Duration::from_secs(8));
    rig.assert_no_violations();
}

/// The weight store divides its bandwidth between concurrent loads. Several at a time would all end
/// late, and no spare would be ready soon.
#[test]
fn one_load_runs_at_a_time_under_traffic() {
    let mut rig = DomainRig::new(vec![model("big", 4, 1.0)]);
    rig.in_traffic = true;
    rig.add_hosts(6);
    rig.run(Duration::from_secs(20));
    assert_eq!(rig.max_concurrent_loads(), 1);
}

/// Three hosts have a model staged whose groups need four. They wait for a fourth host; another
/// model must not be staged in its place.
#[test]
fn warm_hosts_keep_their_model() {
    let mut rig = DomainRig::new(vec![model("big", 4, 0.5), model("small", 3, 0.5)]);
    rig.add_hosts(3);
    rig.stage_all("big");
    rig.in_traffic = true;
    rig.run(Duration::from_secs(10));
    assert_eq!(rig.count_orders(|command| matches!(command, StagedCommand::Stage { .. })), 0);
}

/// Hosts of a domain with large groups crash one after the other. If the spares were loaded with
/// another model before traffic, when loads are not limited, every second crash would leave the
/// domain without a complete group until a load has ended.
#[test]
fn spares_repair_groups_after_repeated_crashes() {
    let mut rig = DomainRig::new(vec![model("big", 16, 0.5), model("small", 4, 0.5)]);
    rig.first_groups = vec!["big", "big"];
    rig.add_hosts(37);
    rig.run(Duration::from_secs(12));
    assert_eq!(rig.serving_of("big"), 2);
    rig.in_traffic = true;
    for crash in 0..5 {
        rig.run(Duration::from_secs(2));
        let member = rig.member_of_serving(1);
        rig.set_condition(&member, HostCondition::Dead);
        rig.run(Duration::from_millis(700));
        let repaired = rig.run_until(Duration::from_secs(5), |rig| rig.serving_of("big") == 2);
        assert!(repaired.is_some(), "crash {crash}");
    }
    rig.assert_no_violations();
}

#[parameterized(
    two_models = { &[9, 9, 9, 9, 9, 9], &[4, 3] },
    large_groups = { &[37, 37, 37, 37, 37, 37], &[16, 4] },
    uneven = { &[9, 8, 9, 4, 9, 9], &[4, 3] },
    few_domains = { &[9, 9], &[4, 3] },
    one_domain = { &[9], &[4, 3] },
)]
fn every_model_gets_groups_that_fit(sizes: &[usize], group_sizes: &[usize]) {
    let share = 1.0 / group_sizes.len() as f64;
    let models: Vec<StagedModel> = group_sizes
        .iter()
        .enumerate()
        .map(|(index, size)| model(&format!("m{index}"), *size, share))
        .collect();
    let hosts = domains(sizes);
    let division = divide_groups(&hosts, &models);
    for known in &models {
        let groups = division.values().flatten().filter(|name| **name == known.name).count();
        assert!(groups > 0, "no group of {}: {division:?}", known.name);
    }
    for (domain, names) in &division {
        let size = |name: &ModelName| models.iter().find(|known| known.name == *name).unwrap().size;
        let used: usize = names.iter().map(size).sum();
        assert!(used <= hosts[domain], "{domain} has {} hosts for {used}", hosts[domain]);
    }
}

/// A model with nearly all of the demand must not get every domain, or the other model would not be
/// served at all.
#[test]
fn a_small_share_still_gets_a_group() {
    let models = vec![model("big", 4, 0.95), model("small", 3, 0.05)];
    let division = divide_groups(&domains(&[9, 9, 9, 9, 9, 9]), &models);
    let small = ModelName::new("small").unwrap();
    assert!(division.values().flatten().any(|name| *name == small), "{division:?}");
}

/// Plays random schedules of crashes, restarts, network cuts, late orders and owner changes. The
/// rig checks each delivered order: only complete groups are opened, and no member of an open group
/// joins another one.
#[parameterized(
    deaths = { 0, 2_500 },
    deaths_and_late_orders = { 1, 2_500 },
    deaths_and_owners = { 2, 2_500 },
    everything = { 3, 2_500 },
)]
fn random_schedules_keep_groups_complete_and_apart(level: u32, schedules: u64) {
    for seed in 0..schedules {
        let models = vec![model("big", 4, 0.57), model("small", 3, 0.43)];
        let mut rig = DomainRig::new(models);
        rig.first_groups = vec!["big", "small"];
        rig.run_schedule(seed, level, ScheduleTrouble::default());
        rig.assert_no_violations_in(&format!("level {level}, seed {seed}"));
    }
}

/// Some deployments have engines that do not check the fencing number. Epochs, which carry the term,
/// must then suffice, also against orders of earlier owners that arrive late.
#[parameterized(
    deaths_and_owners = { 2, 2_500 },
    everything = { 3, 2_500 },
)]
fn random_schedules_hold_without_fencing(level: u32, schedules: u64) {
    for seed in 0..schedules {
        let mut rig = DomainRig::new(vec![model("big", 4, 0.57), model("small", 3, 0.43)]);
        rig.engines_ignore_terms = true;
        rig.first_groups = vec!["big", "small"];
        rig.run_schedule(seed, level, ScheduleTrouble::default());
        rig.assert_no_violations_in(&format!("level {level}, seed {seed}"));
    }
}

/// The rig's own check must find a head that is opened before the other members have joined.
#[test]
fn a_planted_early_open_is_found() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.add_hosts(3);
    rig.plant_open_without_members();
    assert!(rig.violation().is_some_and(|what| what.contains("incomplete")));
}

/// The rig's own check must find a member of an open group that joins another group.
#[test]
fn a_planted_second_group_is_found() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.first_groups = vec!["small"];
    rig.add_hosts(3);
    rig.run(Duration::from_secs(8));
    let member: HostId = rig.member_of_serving(1);
    rig.plant_join_elsewhere(&member);
    assert!(rig.violation().is_some_and(|what| what.contains("open")));
}

#[test]
fn the_clock_of_the_rig_moves() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.run(Duration::from_secs(1));
    assert!(rig.now() >= Tick(1_000_000_000));
}
