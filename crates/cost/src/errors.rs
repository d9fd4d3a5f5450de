//! Corrects the expected time to the first event by what was seen.

use {crate::speed::scaled, std::time::Duration};

/// When the first event of a request is expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstEventEstimate {
    /// Time from the send to the first event.
    pub wait: Duration,
    /// Mean difference, either way, between such estimates and what was seen.
    pub spread: Duration,
}

/// Weight of a new difference in the means.
const ERROR_WEIGHT: f64 = 1.0 / 32.0;

/// How first events of one model differed from what its servers' work let expect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstEventErrors {
    /// Mean excess over the expectation, in seconds; `None` before the first event.
    offset_s: Option<f64>,
    /// Mean absolute difference after that correction, in seconds.
    spread_s: f64,
}

impl FirstEventErrors {
    /// Records a first event that came after `seen`, where [`crate::ServerWork::first_event`] gave
    /// `expected`.
    pub fn note(&mut self, expected: Duration, seen: Duration) {
        let excess = seen.as_secs_f64() - expected.as_secs_f64();
        let Some(offset) = self.offset_s else {
            self.offset_s = Some(excess);
            return;
        };
        self.offset_s = Some(offset + (excess - offset) * ERROR_WEIGHT);
        self.spread_s += ((excess - offset).abs() - self.spread_s) * ERROR_WEIGHT;
    }

    /// Records that no event came within `waited`: an error only if one was expected by then.
    pub fn note_none(&mut self, expected: Duration, waited: Duration) {
        if waited > self.estimate(expected).wait {
            self.note(expected, waited);
        }
    }

    /// The corrected estimate.
    pub fn estimate(&self, expected: Duration) -> FirstEventEstimate {
        let wait = expected.as_secs_f64() + self.offset_s.unwrap_or(0.0);
        FirstEventEstimate {
            wait: scaled(Duration::from_secs(1), wait),
            spread: scaled(Duration::from_secs(1), self.spread_s),
        }
    }
}
