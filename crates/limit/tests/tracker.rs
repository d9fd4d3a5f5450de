//! What one process takes from answers and messages about limits, and what it sends then.

use {
    base::{HostId, RatePerSecond, Tick},
    limit::{AskOutcome, LimitNotice, LimitSettings, LimitTracker, NamedLimit, ServerRoom},
    std::time::Duration,
    yare::parameterized,
};

const START: Tick = Tick(1_000_000_000_000);

fn at(millis: u64) -> Tick {
    START + Duration::from_millis(millis)
}

fn server() -> HostId {
    HostId::new("i-1").unwrap()
}

fn rate(value: f64) -> NamedLimit {
    NamedLimit::Rate(RatePerSecond(value))
}

/// A tracker of a single process that has learned a limit at time 0.
fn limited(value: f64) -> LimitTracker {
    let mut tracker = LimitTracker::new(LimitSettings::default());
    tracker.note_answer(&server(), rate(value), at(0), at(0)).unwrap();
    tracker
}

/// Requests that are sent if one is tried every 10 ms.
fn sent(tracker: &mut LimitTracker, from: u64, until: u64) -> usize {
    (from..until).step_by(10).filter(|millis| tracker.try_take(&server(), at(*millis))).count()
}

#[parameterized(
    usual = { 6.0, 24 },
    slow = { 0.5, 2 },
    zero_is_tested_now_and_then = { 0.0, 0 },
    huge = { 1e308, 400 },
)]
fn a_single_process_keeps_the_rate(value: f64, in_4_s: usize) {
    let mut tracker = limited(value);
    let count = sent(&mut tracker, 0, 4_000);
    assert!(count <= in_4_s + 1 && count + 2 >= in_4_s, "{count}");
}

/// Nobody would learn that a server accepts requests again if all avoided it for ever.
#[test]
fn a_limit_of_zero_is_tested_now_and_then() {
    let mut tracker = limited(0.0);
    let count = sent(&mut tracker, 0, 60_000);
    assert!((3..=7).contains(&count), "{count} in a minute");
}

/// A pause in demand, or of the process, saved up requests that then arrived together.
#[test]
fn a_pause_is_no_credit() {
    let mut tracker = limited(5.0);
    sent(&mut tracker, 0, 2_000);
    let count = sent(&mut tracker, 60_000, 61_000);
    assert!(count <= 6, "{count} in the second after a pause");
}

#[test]
fn a_limit_ends_with_an_answer_that_names_none() {
    let mut tracker = limited(1.0);
    let change = tracker.note_answer(&server(), NamedLimit::Absent, at(10), at(20)).unwrap();
    assert_eq!((change.before, change.after), (Some(RatePerSecond(1.0)), None));
    assert_eq!(sent(&mut tracker, 20, 1_020), 100);
}

/// The answer to an earlier request may be older than the one that named the limit.
#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let mut tracker = limited(1.0);
    tracker.note_answer(&server(), rate(1.0), at(90), at(100));
    assert!(tracker.note_answer(&server(), NamedLimit::Absent, at(95), at(120)).is_none());
    assert!(tracker.note_answer(&server(), rate(9.0), at(95), at(120)).is_none());
    assert!(tracker.note_answer(&server(), NamedLimit::Absent, at(101), at(120)).is_some());
}

#[test]
fn a_lower_limit_counts_at_once() {
    let mut tracker = limited(50.0);
    assert!(tracker.note_answer(&server(), rate(2.0), at(0), at(1)).is_some());
    let count = sent(&mut tracker, 1, 4_001);
    assert!(count <= 9, "{count}");
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut tracker = limited(1.0);
    assert!(tracker.note_answer(&server(), NamedLimit::Unreadable, at(10), at(20)).is_none());
    assert_eq!(tracker.rate(&server()), Some(RatePerSecond(1.0)));
    let mut fresh = LimitTracker::new(LimitSettings::default());
    assert!(fresh.note_answer(&server(), NamedLimit::Unreadable, at(10), at(20)).is_none());
    assert!(fresh.is_idle());
}

fn notice(value: Option<f64>, age_ms: u64) -> LimitNotice {
    LimitNotice {
        server: server(),
        rate: value.map(RatePerSecond),
        age: Duration::from_millis(age_ms),
    }
}

/// News that were lost on the way are repeated by peers, some of which are behind themselves.
#[parameterized(
    end_before_the_limit = { notice(None, 200), Some(5.0) },
    end_after_it = { notice(None, 50), None },
    older_rate = { notice(Some(1.0), 200), Some(5.0) },
    newer_rate = { notice(Some(9.0), 50), Some(9.0) },
    invalid = { notice(Some(f64::NAN), 50), Some(5.0) },
    negative = { notice(Some(-1.0), 50), Some(5.0) },
)]
fn the_newer_of_two_accounts_counts(notice: LimitNotice, expected: Option<f64>) {
    let mut tracker = limited(5.0);
    tracker.receive(&[notice], at(100));
    assert_eq!(tracker.rate(&server()), expected.map(RatePerSecond));
}

/// The end of a limit must reach processes that have heard only of its begin.
#[test]
fn the_end_of_a_limit_is_remembered_for_others() {
    let mut tracker = limited(5.0);
    tracker.note_answer(&server(), NamedLimit::Absent, at(10), at(20));
    tracker.receive(&[notice(Some(5.0), 100)], at(100));
    assert_eq!(tracker.rate(&server()), None);
    assert_eq!(tracker.notices(at(100)), [notice(None, 80)]);
    tracker.expire(|_| true, at(120_000));
    assert!(tracker.is_idle() && tracker.digest() == LimitTracker::default().digest());
}

#[test]
fn changes_are_told_once() {
    let mut tracker = limited(5.0);
    assert_eq!(tracker.take_update(at(10)), [notice(Some(5.0), 10)]);
    tracker.note_answer(&server(), rate(5.0), at(20), at(30));
    assert_eq!(tracker.take_update(at(40)), []);
    tracker.receive(&[notice(Some(3.0), 0)], at(50));
    assert_eq!(tracker.take_update(at(60)), []);
}

fn names(count: usize) -> Vec<HostId> {
    (0..count).map(|index| HostId::new(format!("n{index}")).unwrap()).collect()
}

/// A process that does not know the others yet took the whole rate for its own.
#[test]
fn a_process_that_is_not_listed_sends_nothing() {
    let mut tracker = limited(50.0);
    tracker.set_processes(&names(1)[0], Vec::new(), at(0));
    assert_eq!(sent(&mut tracker, 0, 10_000), 0);
    tracker.set_processes(&names(1)[0], names(1), at(10_000));
    assert!(sent(&mut tracker, 10_000, 13_000) > 0);
}

/// Each of many processes kept a part of its own, and all of them together sent more than allowed.
#[parameterized(few = { 12 }, many = { 103 }, most = { 295 })]
fn all_processes_together_keep_the_rate(processes: usize) {
    let live = names(processes);
    for value in [0.02, 0.5, 4.0, 20.0, 50.0] {
        let mut total = 0;
        for own in &live {
            let mut tracker = LimitTracker::new(LimitSettings::default());
            tracker.set_processes(own, live.clone(), at(0));
            tracker.note_answer(&server(), rate(value), at(0), at(0));
            total += sent(&mut tracker, 6_000, 10_000);
        }
        let total = total as f64;
        assert!(total <= 4.0 * value + 3.0, "{total} requests in 4 s at {value}");
        assert!(total >= 0.9 * 4.0 * value - 1.0, "{total} requests in 4 s at {value}");
    }
}

/// A process that takes over a share waits until the one before it has learned of the change.
#[test]
fn a_share_that_is_taken_over_begins_later() {
    let live = names(12);
    let trackers = live.iter().map(|own| {
        let mut tracker = LimitTracker::new(LimitSettings::default());
        tracker.set_processes(own, live.clone(), at(0));
        tracker.note_answer(&server(), rate(30.0), at(0), at(0));
        (own, tracker)
    });
    let (sharing, resting): (Vec<_>, Vec<_>) =
        trackers.partition(|(_, tracker)| tracker.limits()[0].own.0 > 0.0);
    assert_eq!(sharing.len(), 3);
    let gone = sharing[0].0;
    let left: Vec<HostId> = live.iter().filter(|node| *node != gone).cloned().collect();
    let mut successors = 0;
    for (own, mut tracker) in resting {
        tracker.set_processes(own, left.clone(), at(1_000));
        assert_eq!(sent(&mut tracker, 1_000, 2_000), 0);
        successors += usize::from(sent(&mut tracker, 2_000, 3_000) > 0);
    }
    assert_eq!(successors, 1);
}

/// A process that shares no part of a limit may still have callers for the server.
#[test]
fn other_processes_ask_those_that_share_a_limit() {
    let live = names(12);
    let mut trackers: Vec<LimitTracker> = Vec::new();
    for own in &live {
        let mut tracker = LimitTracker::new(LimitSettings::default());
        tracker.set_processes(own, live.clone(), at(0));
        tracker.note_answer(&server(), rate(3.0), at(0), at(0));
        trackers.push(tracker);
    }
    let other = trackers.iter().position(|tracker| tracker.limits()[0].own.0 == 0.0).unwrap();
    let mut asked = Vec::new();
    while let ServerRoom::Ask(sharer) = trackers[other].room(&server(), 7, at(2_000)) {
        let place = live.iter().position(|node| *node == sharer).unwrap();
        assert_eq!(trackers[place].answer_ask(&server(), at(2_000)), AskOutcome::Granted);
        let outcome = trackers[place].answer_ask(&server(), at(2_000));
        let AskOutcome::Denied(wait) = outcome else { panic!("{outcome:?}") };
        trackers[other].note_denied(&server(), &sharer, wait, at(2_000));
        asked.push(sharer);
    }
    assert_eq!(asked.len(), 3);
    assert_eq!(trackers[other].room(&server(), 7, at(2_000)), ServerRoom::Full);
    assert!(matches!(trackers[other].room(&server(), 7, at(3_100)), ServerRoom::Ask(_)));
    // One that is asked by mistake grants nothing.
    assert!(matches!(trackers[other].answer_ask(&server(), at(3_100)), AskOutcome::Denied(_)));
}

/// A process that has not heard of a limit must not let requests to the server pass.
#[test]
fn an_unknown_limit_is_not_granted() {
    let mut tracker = LimitTracker::new(LimitSettings::default());
    assert!(matches!(tracker.answer_ask(&server(), at(0)), AskOutcome::Denied(_)));
    let mut ended = limited(1.0);
    ended.note_answer(&server(), NamedLimit::Absent, at(10), at(20));
    assert_eq!(ended.answer_ask(&server(), at(30)), AskOutcome::Granted);
}

/// Each request waited anew for a process that was gone.
#[test]
fn a_silent_process_is_not_asked_again_for_a_while() {
    let live = names(2);
    let mut tracker = LimitTracker::new(LimitSettings::default());
    tracker.set_processes(&HostId::new("other").unwrap(), live.clone(), at(0));
    let second = HostId::new("i-2").unwrap();
    for server in [&server(), &second] {
        tracker.note_answer(server, rate(9.0), at(0), at(0));
    }
    tracker.note_silent(&live[0], at(100));
    for (sample, server) in [(0, server()), (1, server()), (0, second.clone()), (1, second)] {
        assert_eq!(tracker.room(&server, sample, at(200)), ServerRoom::Ask(live[1].clone()));
    }
}

/// What a cold server of the tests tolerates.
const COLD_RATE: RatePerSecond = RatePerSecond(14.0);

fn cold_for(millis: u64) -> LimitTracker {
    let mut tracker = LimitTracker::new(LimitSettings::default());
    assert!(tracker.note_cold(&server(), COLD_RATE, Duration::from_millis(millis), at(0)));
    tracker
}

#[test]
fn a_cold_server_has_a_rate_until_its_time_is_over() {
    let mut tracker = cold_for(3_000);
    let count = sent(&mut tracker, 0, 3_000);
    assert!((38..=43).contains(&count), "{count}");
    tracker.expire(|_| true, at(2_999));
    assert_eq!(tracker.rate(&server()), Some(COLD_RATE));
    tracker.expire(|_| true, at(3_000));
    assert_eq!(tracker.room(&server(), 0, at(3_000)), ServerRoom::Unlimited);
    assert!(tracker.is_idle());
}

/// Answers to requests do not say whether their server is cold, and an entry of the server list that says
/// that it is not may be older than the account that it is.
#[test]
fn neither_an_answer_nor_a_shorter_time_ends_a_cold_spell() {
    let mut tracker = cold_for(3_000);
    tracker.note_answer(&server(), NamedLimit::Absent, at(100), at(200));
    assert!(!tracker.note_cold(&server(), COLD_RATE, Duration::ZERO, at(300)));
    assert!(!tracker.note_cold(&server(), COLD_RATE, Duration::from_millis(2_900), at(300)));
    tracker.expire(|_| true, at(2_900));
    assert_eq!(tracker.rate(&server()), Some(COLD_RATE));
}

#[parameterized(
    named_is_lower = { 2.0, 2.0 },
    cold_is_lower = { 50.0, 14.0 },
)]
fn the_lower_rate_of_a_cold_server_counts(named: f64, in_force: f64) {
    let mut tracker = cold_for(3_000);
    tracker.note_answer(&server(), rate(named), at(0), at(10));
    assert_eq!(tracker.rate(&server()), Some(RatePerSecond(in_force)));
    tracker.expire(|_| true, at(3_000));
    assert_eq!(tracker.rate(&server()), Some(RatePerSecond(named)));
}

/// A cold spell was taken for the end of a limit: other processes, which were told of it, dropped theirs.
#[test]
fn a_cold_spell_is_no_news_about_limits() {
    let mut tracker = cold_for(3_000);
    assert!(tracker.take_update(at(10)).is_empty() && tracker.notices(at(10)).is_empty());
    assert_eq!(tracker.digest(), LimitTracker::default().digest());
}
