//! Tests what one tracker derives from reads and reports.

use {
    base::{HeadNumber, HostId, Incarnation, MemberId, Tick, ViewNumber},
    freshness::{
        EvidenceKind, ForceOutlook, FreshTiming, HeadTracker, HeldHead, MemberReport, MemberSet,
        PeerReport,
    },
    std::time::Duration,
    yare::parameterized,
};

const SECOND: Duration = Duration::from_secs(1);
const START: Tick = Tick(1_000_000_000_000);

fn at(seconds: f64) -> Tick {
    START + Duration::from_secs_f64(seconds)
}

fn member(index: usize) -> MemberId {
    MemberId { host: HostId::new(format!("h{index}")).unwrap(), incarnation: Incarnation(1) }
}

fn held(number: u64) -> HeldHead {
    let members = (0..5).map(member).collect();
    let view = MemberSet { number: ViewNumber(1), since: HeadNumber(1), members };
    HeldHead { number: HeadNumber(number), view, ..HeldHead::default() }
}

fn tracker(number: u64) -> HeadTracker {
    let mut tracker = HeadTracker::new(member(0), FreshTiming::default());
    tracker.hold(START, held(number));
    tracker
}

/// A report of a member that counts towards a majority and knows nothing about the other members.
fn peer_report(from: usize, head: u64, age: Option<Duration>) -> PeerReport {
    let unknown = MemberReport::default();
    PeerReport {
        from: member(from),
        head: HeadNumber(head),
        view: ViewNumber(1),
        age,
        counts: true,
        members: vec![unknown; 5],
    }
}

#[test]
fn a_read_counts_from_the_moment_it_was_sent() {
    let mut tracker = tracker(1);
    tracker.record_read(at(10.0), at(12.9), HeadNumber(1));
    assert_eq!(tracker.current(at(13.0)).unwrap().kind, EvidenceKind::Table);
    assert_eq!(tracker.current(at(13.1)), None);
}

#[parameterized(
    young = { 0.5, 12.4, true },
    ran_out = { 0.5, 12.6, false },
    answered_late = { 2.9, 11.0, false },
)]
fn a_peers_evidence_ages_from_the_question(age: f64, now: f64, current: bool) {
    let mut tracker = tracker(1);
    let age = Some(Duration::from_secs_f64(age));
    tracker.apply_report(at(10.0), at(10.9), &peer_report(1, 1, age));
    assert_eq!(tracker.current(at(now)).is_some(), current);
}

#[test]
fn a_majority_needs_reports_of_counting_members() {
    let mut tracker = tracker(1);
    for from in [1, 2] {
        tracker.apply_report(at(10.0), at(10.1), &peer_report(from, 1, None));
    }
    let not_counting = PeerReport { counts: false, ..peer_report(3, 1, None) };
    tracker.apply_report(at(10.0), at(10.1), &not_counting);
    assert_eq!(
        tracker.current(at(10.2)),
        None,
        "only two of five reports count, and the node's own row is not in force"
    );
    tracker.apply_report(at(10.0), at(10.1), &peer_report(4, 1, None));
    assert_eq!(tracker.current(at(10.2)).unwrap().kind, EvidenceKind::Majority);
}

#[test]
fn evidence_stays_valid_for_a_later_head_and_never_counts_early() {
    let mut tracker = tracker(1);
    tracker.record_read(at(10.0), at(10.1), HeadNumber(1));
    tracker.record_read(at(12.0), at(12.1), HeadNumber(2));
    assert_eq!(tracker.current(at(12.9)).unwrap().tick, at(10.0), "head 2 is not held yet");
    assert_eq!(tracker.current(at(13.1)), None);
    tracker.hold(at(13.2), held(2));
    assert_eq!(tracker.current(at(14.9)).unwrap().tick, at(12.0));
    assert!(!tracker.hold(at(14.9), held(1)), "a lower head never replaces a higher one");
}

#[test]
fn a_change_waits_for_a_majority_and_then_for_older_evidence() {
    let mut tracker = tracker(1);
    let head = HeadNumber(1);
    tracker.record_acknowledgement(at(1.0), &member(1), head);
    assert_eq!(tracker.outlook(at(1.0), head), ForceOutlook::Unacknowledged);
    assert_eq!(tracker.missing(head), [member(2), member(3), member(4)]);
    tracker.record_acknowledgement(at(2.0), &member(2), head);
    let remaining = Duration::from_millis(3_500) - SECOND;
    assert_eq!(tracker.outlook(at(3.0), head), ForceOutlook::Waiting { remaining });
    assert_eq!(tracker.settle(at(5.4)), HeadNumber(0));
    assert!(!tracker.counts());
    assert_eq!(tracker.settle(at(5.5)), head);
    assert!(tracker.counts(), "the node's own row is in force");
    assert_eq!(tracker.outlook(at(5.5), head), ForceOutlook::InForce);
}

#[test]
fn a_change_of_the_view_needs_a_majority_of_both_views() {
    let mut tracker = tracker(1);
    let old = held(1).view;
    let members = [0, 1, 2].map(member).to_vec();
    let view = MemberSet { number: ViewNumber(2), since: HeadNumber(2), members };
    let next = HeldHead { number: HeadNumber(2), view, older: vec![old], ended: Vec::new() };
    tracker.hold(at(1.0), next);
    tracker.record_acknowledgement(at(1.0), &member(1), HeadNumber(2));
    assert_eq!(
        tracker.outlook(at(1.0), HeadNumber(2)),
        ForceOutlook::Unacknowledged,
        "a majority of the new view, but only two of five of the old one"
    );
    tracker.record_acknowledgement(at(1.0), &member(4), HeadNumber(2));
    assert!(matches!(tracker.outlook(at(1.0), HeadNumber(2)), ForceOutlook::Waiting { .. }));
}

/// Three members that joined one after another; each earlier view is still known.
fn joined_one_by_one(number: u64) -> HeldHead {
    let view = |view_number: u64| MemberSet {
        number: ViewNumber(view_number),
        since: HeadNumber(view_number),
        members: (0..view_number as usize).map(member).collect(),
    };
    let older = vec![view(1), view(2)];
    HeldHead { number: HeadNumber(number), view: view(3), older, ended: Vec::new() }
}

/// The first member stops answering after the last has joined. A majority of the first views is then
/// out of reach, but no longer needed.
#[test]
fn a_view_whose_successor_is_in_force_needs_no_majority() {
    let mut tracker = HeadTracker::new(member(1), FreshTiming::default());
    tracker.hold(START, joined_one_by_one(3));
    for peer in [0, 2] {
        tracker.record_acknowledgement(at(0.1), &member(peer), HeadNumber(3));
    }
    assert_eq!(tracker.settle(at(4.0)), HeadNumber(3));
    tracker.hold(at(5.0), joined_one_by_one(4));
    tracker.record_acknowledgement(at(5.1), &member(2), HeadNumber(4));
    assert!(matches!(tracker.outlook(at(5.1), HeadNumber(4)), ForceOutlook::Waiting { .. }));
    assert_eq!(tracker.settle(at(9.0)), HeadNumber(4));
}

#[test]
fn a_view_in_use_needs_a_majority() {
    let mut tracker = HeadTracker::new(member(1), FreshTiming::default());
    tracker.hold(START, joined_one_by_one(3));
    tracker.record_acknowledgement(at(0.1), &member(2), HeadNumber(3));
    assert_eq!(tracker.outlook(at(0.1), HeadNumber(3)), ForceOutlook::Unacknowledged);
    assert_eq!(tracker.settle(at(9.0)), HeadNumber(0));
}
