//! Tests from when on a grace time counts.

use {base::Tick, std::time::Duration, stop::PauseWatch};

const START: Tick = Tick(1_000_000_000);

fn after(millis: u64) -> Tick {
    START + Duration::from_millis(millis)
}

#[test]
fn a_signal_during_a_pause_counts_from_its_beginning() {
    let watch = PauseWatch::new(START);
    watch.note_alive(after(100));
    assert_eq!(watch.signal_time(after(2_000)), after(100));
}

/// The task that gives signs of life may run before the one that receives the signal.
#[test]
fn a_sign_of_life_just_before_the_signal_does_not_hide_the_pause() {
    let watch = PauseWatch::new(START);
    watch.note_alive(after(100));
    watch.note_alive(after(2_000));
    assert_eq!(watch.signal_time(after(2_020)), after(100));
}

#[test]
fn a_signal_after_a_pause_counts_from_its_receipt() {
    let watch = PauseWatch::new(START);
    watch.note_alive(after(2_000));
    watch.note_alive(after(2_100));
    watch.note_alive(after(2_200));
    assert_eq!(watch.signal_time(after(2_300)), after(2_300));
}

#[test]
fn a_signal_without_a_pause_counts_from_its_receipt() {
    let watch = PauseWatch::new(START);
    assert_eq!(watch.signal_time(after(300)), after(300));
}
