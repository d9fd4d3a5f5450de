//! How the wait for an answer grows with the occupancy of its pool.

use crate::quantity::Occupancy;

/// Answers after which the weight of an earlier one has fallen to a third.
const MEMORY: f64 = 150.0;
/// Answers that must have been seen before the line says anything.
const EVIDENCE: f64 = 20.0;
/// Variance of the occupancies without which it says nothing: a spread of 0.05.
const LEAST_VARIANCE: f64 = 0.05 * 0.05;
/// A wait of more goals than this counts as one of this many, so that single ones do not bend the line.
const MAX_RATIO: f64 = 2.0;

/// A straight line through waits, in goals, over occupancies; earlier answers fade.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitLine {
    weight: f64,
    occupancy: f64,
    ratio: f64,
    occupancy_squares: f64,
    products: f64,
}

impl WaitLine {
    /// Records an answer that began after `ratio` goals.
    pub(crate) fn note(&mut self, occupancy: Occupancy, ratio: f64) {
        let kept = 1.0 - 1.0 / MEMORY;
        let (x, y) = (occupancy.0, ratio.min(MAX_RATIO));
        self.weight = self.weight * kept + 1.0;
        self.occupancy = self.occupancy * kept + x;
        self.ratio = self.ratio * kept + y;
        self.occupancy_squares = self.occupancy_squares * kept + x * x;
        self.products = self.products * kept + x * y;
    }

    /// The occupancy at which waits are expected to reach `ratio` goals; `None` if it is not known, or if
    /// they do not grow with the occupancy.
    pub(crate) fn reaches(&self, ratio: f64) -> Option<Occupancy> {
        if self.weight < EVIDENCE {
            return None;
        }
        let (mean_x, mean_y) = (self.occupancy / self.weight, self.ratio / self.weight);
        let variance = self.occupancy_squares / self.weight - mean_x * mean_x;
        let slope = (self.products / self.weight - mean_x * mean_y) / variance;
        let is_known = variance > LEAST_VARIANCE && slope > 0.0;
        is_known.then(|| Occupancy(mean_x + (ratio - mean_y) / slope))
    }
}
