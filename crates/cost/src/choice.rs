//! Chooses among servers by the expected time to the first event.

use std::time::Duration;

/// Difference of two expected times, as a share of their mean, that makes the choice of the earlier one
/// *e* times as likely as that of the other. Load reports are some hundred milliseconds old and equal
/// on all processes: with a sharper choice all of them pick the same servers until the next report.
const CHOICE_SCALE: f64 = 0.1;

/// Draws two candidates in proportion to their speed, and takes the one that is expected to be earlier
/// with a probability that grows with the difference. Without the first, a slow server would get
/// whatever is drawn for it and another slow one. `paces` are the candidates' slowdowns, 1 is usual; `wait`
/// is the expected time to the first event at one of them, by its index. Returns an index; `None` without
/// candidates.
pub fn pick_candidate(
    paces: &[f64],
    wait: impl Fn(usize) -> Duration,
    sample: u64,
) -> Option<usize> {
    if paces.len() < 2 {
        return (!paces.is_empty()).then_some(0);
    }
    let first = draw(paces, None, fraction(sample, 0))?;
    let second = draw(paces, Some(first), fraction(sample, 1))?;
    let takes_first = prefers_first(wait(first), wait(second), sample);
    Some(if takes_first { first } else { second })
}

/// Whether the first of two servers gets a request, by the expected times to its first event. `sample`
/// decides between servers that are close to each other.
pub fn prefers_first(first: Duration, second: Duration, sample: u64) -> bool {
    let (first, second) = (first.as_secs_f64(), second.as_secs_f64());
    let scale = CHOICE_SCALE * (first + second) / 2.0;
    if scale <= 0.0 {
        return fraction(sample, 2) < 0.5;
    }
    fraction(sample, 2) < 1.0 / (1.0 + ((first - second) / scale).exp())
}

/// Draws a candidate other than `except`, in proportion to its speed.
fn draw(paces: &[f64], except: Option<usize>, fraction: f64) -> Option<usize> {
    let speed = |pace: &f64| 1.0 / pace.max(f64::EPSILON);
    let drawn = || paces.iter().enumerate().filter(|(index, _)| Some(*index) != except);
    let total: f64 = drawn().map(|(_, pace)| speed(pace)).sum();
    let mut left = fraction * total;
    for (index, pace) in drawn() {
        left -= speed(pace);
        if left < 0.0 {
            return Some(index);
        }
    }
    drawn().next_back().map(|(index, _)| index)
}

/// Maps `sample` to a number from 0 to 1, independently for each `use_`.
fn fraction(sample: u64, use_: u64) -> f64 {
    let mut mixed = sample.wrapping_add((use_ + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
