//! Tests the times and phases of a stop.

use {
    base::Tick,
    std::time::Duration,
    stop::{PlannedStop, StopPhase, StopSettings, StopWatch},
    yare::parameterized,
};

#[parameterized(
    tenth = { 0.1 },
    one = { 1.0 },
    three = { 3.0 },
    eight = { 8.0 },
    minute = { 60.0 },
)]
fn the_steps_of_a_stop_come_in_order_within_the_grace_time(seconds: f64) {
    let grace = Duration::from_secs_f64(seconds);
    let StopSettings { port_closes_after, answers_due_after, exits_after, .. } =
        StopSettings::within(grace);
    assert!(Duration::ZERO < port_closes_after);
    assert!(port_closes_after < answers_due_after);
    assert!(answers_due_after < exits_after);
    assert!(exits_after < grace);
    // Most of the grace time is there for answers.
    assert!(answers_due_after >= grace.mul_f64(0.8));
}

#[test]
fn work_is_covered_up_to_the_last_answers() {
    let watch = StopWatch::default();
    let settings = StopSettings::within(Duration::from_secs(8));
    let signalled_at = Tick(5_000_000_000);
    let due = signalled_at + settings.answers_due_after;
    let late = due + Duration::from_nanos(1);
    assert!(watch.covers(late), "a process that runs covers everything");
    assert_eq!(watch.time_left(signalled_at), None);
    let _leaving = PlannedStop::new(watch.clone()).leave(&settings, signalled_at);
    assert!(watch.is_stopping());
    assert!(watch.covers(due));
    assert!(!watch.covers(late));
    assert_eq!(watch.time_left(signalled_at), Some(settings.answers_due_after));
    assert_eq!(watch.time_left(late), Some(Duration::ZERO));
    assert_eq!(watch.since_signal(due), Some(settings.answers_due_after));
}

#[test]
fn all_copies_of_a_watch_show_each_phase() {
    let watch = StopWatch::default();
    let copy = watch.clone();
    let running = PlannedStop::new(watch);
    assert_eq!(copy.phase(), StopPhase::Running);
    let leaving = running.leave(&StopSettings::default(), Tick(1));
    assert_eq!(copy.phase(), StopPhase::Leaving);
    let draining = leaving.drain();
    assert_eq!(copy.phase(), StopPhase::Draining);
    let _ending = draining.end();
    assert_eq!(copy.phase(), StopPhase::Ending);
}

#[tokio::test]
async fn a_phase_that_is_over_counts_as_reached() {
    let watch = StopWatch::default();
    let leaving = PlannedStop::new(watch.clone()).leave(&StopSettings::default(), Tick(1));
    let waits = tokio::spawn({
        let watch = watch.clone();
        async move { watch.reached(StopPhase::Draining).await }
    });
    let _ending = leaving.drain().end();
    waits.await.unwrap();
    watch.reached(StopPhase::Leaving).await;
}
