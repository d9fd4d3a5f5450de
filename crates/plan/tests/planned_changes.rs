//! Planned changes while requests run in a group: none of them ends a request that was admitted.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "staged/domain.rs"]
mod domain;

use {
    base::{HostId, Tick},
    domain::{DomainRig, HostCondition, model},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
    yare::parameterized,
};

/// Time for which a leaving host still takes connections.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time of requests that are shorter, and of ones that are longer than that.
const SHORT_WORK: Duration = Duration::from_millis(1_500);
const MEDIUM_WORK: Duration = Duration::from_millis(3_500);
/// Time of the longest requests, below [`MEMBER_STAYS`].
const LONG_WORK: Duration = Duration::from_secs(8);
/// How long a leaving member stays for the requests of its head.
const MEMBER_STAYS: Duration = Duration::from_secs(10);
/// Time between two choices of a random schedule.
const TURN: Duration = Duration::from_millis(500);

/// A fabric domain under traffic with five hosts, three of which form a serving group whose head
/// runs requests for `work`.
fn busy_group(work: Duration) -> DomainRig {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.first_groups = vec!["small"];
    rig.add_hosts(5);
    rig.run(Duration::from_secs(14));
    rig.in_traffic = true;
    let head = rig.member_of_serving(0);
    rig.run_requests(&head, work);
    rig
}

fn assert_nothing_cut(rig: &DomainRig) {
    assert!(rig.cuts().is_empty(), "{:?}", rig.cuts());
    rig.assert_no_violations();
}

/// A group with a leaving member was ordered apart while its requests ran: the owner took the member
/// for lost as soon as it stopped listening, although it stays until the head has finished.
#[parameterized(
    member_short = { 1, SHORT_WORK },
    member_medium = { 1, MEDIUM_WORK },
    head_short = { 0, SHORT_WORK },
    head_medium = { 0, MEDIUM_WORK },
)]
fn requests_run_on_while_a_member_leaves(rank: usize, work: Duration) {
    let mut rig = busy_group(work);
    let member = rig.member_of_serving(rank);
    rig.set_condition(&member, HostCondition::Draining);
    rig.run(DRAIN_TIME);
    rig.set_condition(&member, HostCondition::Leaving);
    rig.run(work);
    rig.set_condition(&member, HostCondition::Dead);
    rig.run(Duration::from_secs(16));
    assert_nothing_cut(&rig);
    assert_eq!(rig.serving_without(&member), 1);
}

/// The owner ordered a group with a leaving member apart after 4 s, whatever still ran in it.
#[parameterized(
    member = { 1 },
    head = { 0 },
)]
fn the_longest_requests_run_on_while_a_member_drains(rank: usize) {
    let mut rig = busy_group(LONG_WORK);
    let member = rig.member_of_serving(rank);
    rig.set_condition(&member, HostCondition::Draining);
    rig.run(LONG_WORK + Duration::from_secs(1));
    assert_nothing_cut(&rig);
}

/// The owner is stopped too, and the next one finds the group with its leaving member.
#[test]
fn requests_run_on_when_the_owner_changes_before_a_member_stops_listening() {
    let mut rig = busy_group(MEDIUM_WORK);
    let member = rig.member_of_serving(1);
    rig.set_condition(&member, HostCondition::Draining);
    rig.run(DRAIN_TIME / 2);
    rig.replace_owner();
    rig.run(DRAIN_TIME / 2);
    rig.set_condition(&member, HostCondition::Leaving);
    rig.run(MEDIUM_WORK);
    assert_nothing_cut(&rig);
}

#[test]
fn requests_run_on_when_the_owner_changes_after_a_member_stopped_listening() {
    let mut rig = busy_group(MEDIUM_WORK);
    let member = rig.member_of_serving(1);
    rig.set_condition(&member, HostCondition::Draining);
    rig.run(DRAIN_TIME);
    rig.set_condition(&member, HostCondition::Leaving);
    rig.run(Duration::from_millis(150));
    rig.replace_owner();
    rig.run(MEDIUM_WORK);
    assert_nothing_cut(&rig);
}

#[test]
fn requests_run_on_when_the_owner_changes() {
    let mut rig = busy_group(LONG_WORK);
    rig.replace_owner();
    rig.run(LONG_WORK);
    assert_nothing_cut(&rig);
    assert_eq!(rig.serving(), 1);
}

/// A group was ordered apart because its head had not reported yet that it was open, as it had just been
/// ordered to.
#[test]
fn requests_run_on_when_a_member_drains_as_its_group_opens() {
    let mut rig = DomainRig::new(vec![model("small", 3, 1.0)]);
    rig.first_groups = vec!["small"];
    rig.add_hosts(3);
    assert!(rig.run_until(Duration::from_secs(14), |rig| rig.serving() == 1).is_some());
    rig.in_traffic = true;
    let (head, member) = (rig.member_of_serving(0), rig.member_of_serving(1));
    rig.run_requests(&head, MEDIUM_WORK);
    rig.set_condition(&member, HostCondition::Draining);
    rig.run(MEDIUM_WORK);
    assert_nothing_cut(&rig);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.serving(), 0);
}

/// A server that is taken out of the list goes on serving.
#[test]
fn requests_run_on_when_a_member_disappears_from_the_list() {
    let mut rig = busy_group(LONG_WORK);
    let member = rig.member_of_serving(1);
    rig.set_condition(&member, HostCondition::CutFromList);
    rig.run(LONG_WORK + Duration::from_secs(1));
    assert_nothing_cut(&rig);
}

/// A new configuration shifts the demand from one model to another, or adds a model.
#[test]
fn requests_run_on_when_the_demand_changes() {
    let mut rig = busy_group(LONG_WORK);
    rig.set_models(vec![model("small", 3, 0.01), model("big", 4, 0.99)]);
    rig.run(LONG_WORK);
    assert_nothing_cut(&rig);
    assert_eq!(rig.serving_of("small"), 1);
}

#[test]
fn requests_run_on_when_their_model_leaves_the_configuration() {
    let mut rig = busy_group(LONG_WORK);
    rig.set_models(vec![model("big", 4, 1.0)]);
    rig.run(LONG_WORK);
    assert_nothing_cut(&rig);
}

/// A new owner ordered a group apart whose model had left the configuration, while its requests ran.
#[test]
fn requests_run_on_when_their_model_leaves_and_the_owner_changes() {
    let mut rig = busy_group(MEDIUM_WORK);
    rig.set_models(vec![model("big", 4, 1.0)]);
    rig.replace_owner();
    rig.run(MEDIUM_WORK);
    assert_nothing_cut(&rig);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.serving_of("small"), 0, "the hosts are free for other models");
}

/// Hosts drain and leave in turn and at the same time, are replaced, and owners change, while every open
/// group runs requests of all lengths. Nothing crashes, so nothing may be cut.
#[test]
fn requests_run_on_in_random_schedules_of_planned_changes() {
    for seed in 0..400 {
        let mut rig = DomainRig::new(vec![model("big", 4, 0.57), model("small", 3, 0.43)]);
        rig.first_groups = vec!["big", "small"];
        rig.add_hosts(9);
        rig.run(Duration::from_secs(14));
        rig.in_traffic = true;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut leaving: Vec<(HostId, Tick)> = Vec::new();
        for _ in 0..120 {
            let span = LONG_WORK.mul_f64(random.random_range(0.0..1.0));
            (0..rig.host_count()).for_each(|index| rig.run_requests(&rig.host(index), span));
            if random.random_bool(0.06) {
                let host = rig.host(random.random_range(0..rig.host_count()));
                if !leaving.iter().any(|(known, _)| *known == host) {
                    rig.set_condition(&host, HostCondition::Draining);
                    leaving.push((host, rig.now()));
                    rig.add_hosts(1);
                }
            }
            if random.random_bool(0.03) {
                rig.replace_owner();
            }
            for (host, since) in &leaving {
                let left_for = rig.now().since(*since);
                if left_for >= DRAIN_TIME && left_for < DRAIN_TIME + TURN {
                    rig.set_condition(host, HostCondition::Leaving);
                } else if left_for >= MEMBER_STAYS && left_for < MEMBER_STAYS + TURN {
                    rig.set_condition(host, HostCondition::Dead);
                }
            }
            rig.run(TURN);
        }
        assert!(rig.cuts().is_empty(), "seed {seed}: {:?}", rig.cuts());
        rig.assert_no_violations_in(&format!("seed {seed}"));
    }
}

/// The rig's own check must find an order that cuts running requests.
#[test]
fn a_planted_order_to_leave_is_found() {
    let mut rig = busy_group(LONG_WORK);
    rig.plant_leave();
    assert!(!rig.cuts().is_empty());
}
