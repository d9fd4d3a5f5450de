//! Learns the occupancy above which too many answers begin late.

use crate::{quantity::Occupancy, settings::RoomSettings};

/// Answers after which the weight of an earlier one at low occupancy has fallen to a third.
const LIGHT_MEMORY: f64 = 100.0;
/// Answers at low occupancy that must have been seen before lateness there says anything.
const LIGHT_EVIDENCE: f64 = 10.0;
/// Share of late answers at low occupancy above which lateness has another cause than load.
const OTHER_CAUSE_SHARE: f64 = 0.5;
/// Part of the knee below which an occupancy counts as low.
const LIGHT_PART: f64 = 0.5;

/// The knee of one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OccupancyKnee {
    value: f64,
    light_answers: f64,
    light_late: f64,
}

impl OccupancyKnee {
    pub(crate) fn new(settings: &RoomSettings) -> Self {
        Self { value: settings.first_knee.0, light_answers: 0.0, light_late: 0.0 }
    }

    pub(crate) fn value(&self) -> Occupancy {
        Occupancy(self.value)
    }

    /// Records whether the answer to a request, admitted at `occupancy`, began late. Moves the knee only
    /// for answers on the wrong side of it.
    pub(crate) fn note(&mut self, occupancy: Occupancy, is_late: bool, settings: &RoomSettings) {
        if occupancy.0 < self.value * LIGHT_PART {
            let kept = 1.0 - 1.0 / LIGHT_MEMORY;
            self.light_answers = self.light_answers * kept + 1.0;
            self.light_late = self.light_late * kept + f64::from(u8::from(is_late));
            return;
        }
        let down = settings.knee_step * (1.0 - settings.late_share) / settings.late_share;
        if is_late && occupancy.0 < self.value {
            self.value -= down;
        } else if !is_late && occupancy.0 > self.value {
            self.value += settings.knee_step;
        }
        self.value = self.value.clamp(settings.least_knee.0, settings.most_knee.0);
    }

    /// Whether answers are late even where servers have little to do, so that fewer requests would not
    /// bring the others in time.
    pub(crate) fn has_other_cause(&self) -> bool {
        self.light_answers >= LIGHT_EVIDENCE
            && self.light_late > self.light_answers * OTHER_CAUSE_SHARE
    }
}
