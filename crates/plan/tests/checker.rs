//! Tests of the history checker: it accepts a correct history and detects each kind of violation.

mod model;

use {
    crate::model::{
        history::{HistoryChecker, HistoryEvent, HistoryLine, HistoryViolation},
        run::spec,
        world::host_id,
    },
    base::{Epoch, GroupId, Term, Tick},
    plan::{GroupMember, GroupPlan, GroupView, LifecyclePhase, MemberHost},
    std::time::Duration,
};

const SECOND: u64 = 1_000_000_000;

fn group(name: &str) -> GroupId {
    GroupId::new(name).expect("valid")
}

fn view(name: &str, hosts: &[u32], phase: LifecyclePhase) -> GroupView {
    let group_member = |index: &u32| GroupMember {
        member: MemberHost { host: host_id(*index), address: ([127, 0, 0, 1], 1).into() },
        boot_id: Some(1),
    };
    let spec = spec("model", 1, hosts.len() as u32, 1.0);
    let members = hosts.iter().map(group_member).collect();
    let plan = GroupPlan::new(group(name), Epoch(1), &spec, members);
    GroupView { set: plan.set, phase, load: plan.load }
}

fn record(term: u64, groups: Vec<GroupView>) -> HistoryEvent {
    HistoryEvent::Record { term: Term(term), groups, steady: true }
}

fn reported_ready(host: u32, name: &str) -> HistoryEvent {
    HistoryEvent::ReportedReady { host: host_id(host), group: group(name), boot_id: 1 }
}

fn ready_state(host: u32, ready: Option<(&str, u64)>) -> HistoryEvent {
    let ready = ready.map(|(name, boot_id)| (group(name), boot_id));
    HistoryEvent::ReadyState { host: host_id(host), ready }
}

fn serving(name: &str) -> GroupView {
    view(name, &[0, 1], LifecyclePhase::Serving)
}

/// Both members of group `a` are ready and have reported it to the owner.
fn members_ready() -> Vec<HistoryEvent> {
    vec![
        ready_state(0, Some(("a", 1))),
        ready_state(1, Some(("a", 1))),
        reported_ready(0, "a"),
        reported_ready(1, "a"),
    ]
}

/// Checks the events, five seconds apart, and returns the first violation.
fn first_violation(events: Vec<HistoryEvent>) -> Option<HistoryViolation> {
    let mut checker = HistoryChecker::new(Duration::from_secs(2));
    for (number, event) in events.into_iter().enumerate() {
        checker.read(&HistoryLine { at: Tick(number as u64 * 5 * SECOND), event });
    }
    checker.violations.into_iter().next()
}

fn after_ready(events: Vec<HistoryEvent>) -> Option<HistoryViolation> {
    first_violation(members_ready().into_iter().chain(events).collect())
}

#[test]
fn a_good_history_passes() {
    let rest = vec![
        record(1, vec![serving("a")]),
        ready_state(1, None),
        record(1, vec![view("a", &[0, 1], LifecyclePhase::Loading)]),
        ready_state(1, Some(("a", 1))),
        record(1, vec![serving("a")]),
        HistoryEvent::Takeover,
        reported_ready(0, "a"),
        reported_ready(1, "a"),
        record(2, vec![serving("a")]),
    ];
    assert_eq!(after_ready(rest), None);
}

#[test]
fn a_host_in_two_groups_of_a_record_is_caught() {
    let both = vec![
        view("a", &[0, 1], LifecyclePhase::Loading),
        view("b", &[1, 2], LifecyclePhase::Loading),
    ];
    let violation = first_violation(vec![record(1, both)]);
    assert!(matches!(violation, Some(HistoryViolation::TwoGroupsInRecord { .. })));
}

#[test]
fn a_host_moved_between_groups_is_caught() {
    let (from, to) = (serving("a").load, serving("b").load);
    let violation = first_violation(vec![HistoryEvent::Moved { host: host_id(0), from, to }]);
    assert!(matches!(violation, Some(HistoryViolation::HostMoved { .. })));
}

#[test]
fn serving_before_all_reported_is_caught() {
    let events = vec![
        ready_state(0, Some(("a", 1))),
        reported_ready(0, "a"),
        ready_state(1, Some(("a", 1))),
        record(1, vec![serving("a")]),
    ];
    let violation = first_violation(events);
    assert!(matches!(violation, Some(HistoryViolation::ServingBeforeReady { .. })));
}

#[yare::parameterized(
    not_ready = { None },
    elsewhere = { Some(("b", 1)) },
    restarted = { Some(("a", 2)) },
)]
fn serving_without_a_ready_member_is_caught(ready: Option<(&'static str, u64)>) {
    let rest =
        vec![record(1, vec![serving("a")]), ready_state(1, ready), record(1, vec![serving("a")])];
    assert!(matches!(after_ready(rest), Some(HistoryViolation::ServingWithoutMember { .. })));
}

#[test]
fn a_record_of_an_older_term_is_caught() {
    let violation = first_violation(vec![record(2, Vec::new()), record(1, Vec::new())]);
    assert!(matches!(violation, Some(HistoryViolation::OlderTermReplaces { .. })));
}
