//! Learns the occupancy above which too many answers begin late.

use crate::{line::WaitLine, quantity::Occupancy, settings::RoomSettings};

/// Answers after which the weight of an earlier one has fallen to a third.
const MEMORY: f64 = 20.0;
/// Answers at low occupancy, or at one near the knee, that must have been seen before their lateness says
/// anything.
const EVIDENCE: f64 = 8.0;
/// Share of late answers at low occupancy above which lateness has another cause than load.
const OTHER_CAUSE_SHARE: f64 = 0.5;
/// Part of the knee below which an occupancy counts as low.
const LIGHT_PART: f64 = 0.5;

/// How many of the last answers began late.
#[derive(Clone, Copy, Debug, Default)]
struct LateCount {
    answers: f64,
    late: f64,
}

impl LateCount {
    fn note(&mut self, is_late: bool) {
        let kept = 1.0 - 1.0 / MEMORY;
        self.answers = self.answers * kept + 1.0;
        self.late = self.late * kept + f64::from(u8::from(is_late));
    }

    /// The share of late answers; `None` if there were too few answers.
    fn share(&self) -> Option<f64> {
        (self.answers >= EVIDENCE).then(|| self.late / self.answers)
    }
}

/// The knee of one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OccupancyKnee {
    value: f64,
    line: WaitLine,
    light: LateCount,
    below: LateCount,
    above: LateCount,
}

impl OccupancyKnee {
    pub(crate) fn new(settings: &RoomSettings) -> Self {
        let none = LateCount::default();
        Self {
            value: settings.first_knee.0,
            line: WaitLine::default(),
            light: none,
            below: none,
            above: none,
        }
    }

    /// The knee: that which late answers have shown, or the lower one that waits are heading for.
    pub(crate) fn value(&self, settings: &RoomSettings) -> Occupancy {
        let expected = self.line.reaches(settings.knee_ratio).map(|occupancy| occupancy.0);
        let expected = expected.unwrap_or(f64::INFINITY).max(settings.least_knee.0);
        Occupancy(self.value.min(expected))
    }

    /// Records an answer, to a request admitted at `occupancy`, that began after `ratio` goals. The knee
    /// falls while too many answers below it are late, and rises while few above it are.
    pub(crate) fn note(&mut self, occupancy: Occupancy, ratio: f64, settings: &RoomSettings) {
        self.line.note(occupancy, ratio);
        let is_late = ratio > 1.0;
        if occupancy.0 < self.value * LIGHT_PART {
            self.light.note(is_late);
        } else if occupancy.0 < self.value {
            self.below.note(is_late);
            if is_late && self.below.share().is_some_and(|share| share > settings.late_share) {
                self.value -= settings.knee_fall;
            }
        } else {
            self.above.note(is_late);
            if !is_late && self.above.share().is_some_and(|share| share < settings.late_share) {
                self.value += settings.knee_rise;
            }
        }
        self.value = self.value.clamp(settings.least_knee.0, settings.most_knee.0);
    }

    /// Whether answers are late even where servers have little to do, so that fewer requests would not
    /// bring the others in time.
    pub(crate) fn has_other_cause(&self) -> bool {
        self.light.share().is_some_and(|share| share > OTHER_CAUSE_SHARE)
    }
}
