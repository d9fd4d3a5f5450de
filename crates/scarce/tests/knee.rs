//! What answers show about the room of a pool.

use {
    scarce::{AdmitShare, Occupancy, RoomGate, RoomSettings},
    std::time::Duration,
    yare::parameterized,
};

const GOAL: Duration = Duration::from_millis(300);

/// Answers at occupancies from 0.2 to 0.7, waits in goals at both ends, and what is admitted at 0.9.
#[parameterized(
    waits_far_below_the_goal = { 0.35, 0.4, true },
    waits_that_near_the_goal = { 0.6, 0.85, false },
    late_whatever_the_load = { 1.5, 1.5, true },
)]
fn requests_are_held_back_only_where_waits_grow_towards_the_goal(low: f64, high: f64, all: bool) {
    let mut gate = RoomGate::new(RoomSettings::default());
    for step in 0..200 {
        let part = f64::from(step % 21) / 20.0;
        let wait = GOAL.mul_f64(low + (high - low) * part);
        gate.note_answer(Occupancy(0.2 + 0.5 * part), wait, GOAL);
    }
    assert_eq!(gate.share(Occupancy(0.9)) == AdmitShare(1.0), all, "{gate:?}");
}
