//! Two groups with one member, as orders of the past that are carried out late make them.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "staged/domain.rs"]
mod domain;

use {
    base::HostId,
    domain::{DomainRig, HostCondition, model},
    plan::staged::StagedCommand,
    std::time::Duration,
    yare::parameterized,
};

/// Longest time until a group serves again: its hosts leave, and the next one is formed of prewarmed hosts.
const REPAIR_BOUND: Duration = Duration::from_secs(5);

/// A fabric domain under traffic with seven prewarmed hosts, four of which form a serving group.
fn serving_four_of_seven() -> DomainRig {
    serving_four_of_seven_with(false)
}

/// The same, with engines that may leave out how many orders they have accepted.
fn serving_four_of_seven_with(engines_hide_counts: bool) -> DomainRig {
    let mut rig = DomainRig::new(vec![model("m", 4, 1.0)]);
    rig.engines_hide_counts = engines_hide_counts;
    rig.first_groups = vec!["m"];
    rig.add_hosts(7);
    rig.run(Duration::from_secs(20));
    assert_eq!(rig.serving(), 1);
    rig.in_traffic = true;
    rig
}

/// Crashes a member of the serving group. Returns its head, once that has left, and the members of the next
/// group, to which the head has been ordered while its orders are lost.
fn leave_head_between_groups(rig: &mut DomainRig) -> (HostId, Vec<HostId>) {
    let (head, member) = (rig.member_of_serving(0), rig.member_of_serving(3));
    rig.set_condition(&member, HostCondition::Dead);
    let left = rig.run_until(Duration::from_secs(5), |rig| !rig.is_in_group(&head));
    assert!(left.is_some(), "the head stays in its group");
    rig.lose_orders_to(&head);
    rig.run(Duration::from_millis(300));
    let members = rig.orders().iter().rev().find_map(|order| match &order.command {
        StagedCommand::Join { members, .. } if members.len() == 4 => Some(members.clone()),
        _ => None,
    });
    (head, members.expect("a next group"))
}

/// Two groups with one head were dissolved at the same time. Each order to leave hid the answer to the other
/// one, so that neither ended: the owner sent some 100 orders a second and formed no group any more.
#[parameterized(
    with_a_crash_in_the_next_group = { true },
    without_another_crash = { false },
)]
fn two_groups_with_one_head_both_end(crashes: bool) {
    let mut rig = serving_four_of_seven();
    let (head, members) = leave_head_between_groups(&mut rig);
    assert_eq!(members[0], head, "the next group has another head");
    rig.reopen_left_group(&head);
    rig.run(Duration::from_millis(1_200));
    if crashes {
        rig.set_condition(&members[3], HostCondition::Dead);
        rig.run(Duration::from_millis(600));
    }
    rig.answer_orders_to(&head);
    let took = rig.run_until(Duration::from_secs(60), |rig| rig.serving() == 1);
    assert!(took.is_some_and(|took| took <= REPAIR_BOUND), "took {took:?}");
    rig.run(Duration::from_secs(10));
    let before = rig.orders().len();
    rig.run(Duration::from_secs(10));
    assert_eq!(rig.orders().len(), before, "{:?}", &rig.orders()[before..]);
    rig.assert_no_violations();
}

/// A head was ordered into the next group, again and without regard to its report, after a late join and a late
/// open of the group that it had left were carried out.
#[parameterized(
    with_counts = { false },
    without_counts = { true },
)]
fn a_head_that_late_orders_have_opened_leaves_before_it_joins_the_next_group(hides_counts: bool) {
    let mut rig = serving_four_of_seven_with(hides_counts);
    let crashed = rig.member_of_serving(3);
    let (head, members) = leave_head_between_groups(&mut rig);
    assert_eq!(members[0], head, "the next group has another head");
    rig.reopen_left_group(&head);
    rig.run(Duration::from_millis(100));
    rig.answer_orders_to(&head);
    rig.run(REPAIR_BOUND);
    rig.assert_no_violations();
    assert_eq!(rig.serving_without(&crashed), 1);
}

/// The same in the moment before the owner sees the report: the order names how many orders the engine should
/// have accepted.
#[test]
fn an_engine_that_late_orders_have_changed_refuses_the_next_join() {
    let mut rig = serving_four_of_seven();
    rig.list_lag = Duration::from_millis(350);
    let (head, _) = leave_head_between_groups(&mut rig);
    rig.answer_orders_to(&head);
    rig.reopen_left_group(&head);
    rig.run(Duration::from_secs(10));
    rig.assert_no_violations();
    assert_eq!(rig.serving(), 1);
}
