//! Settings of a gate.

use {
    crate::quantity::{AdmitShare, Occupancy},
    std::time::Duration,
};

/// When a gate holds requests back, and how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomSettings {
    /// The knee before any answer was seen: nothing is held back until answers are late.
    pub first_knee: Occupancy,
    /// Lowest knee that is learned. Below it servers have room, and late answers have other causes.
    pub least_knee: Occupancy,
    /// Highest knee that is learned. Beyond it requests queue at every server.
    pub most_knee: Occupancy,
    /// Mean wait at the knee, in goals: with the usual spread of waits a quarter of them are late.
    pub knee_ratio: f64,
    /// Share of the answers at the knee that begin late.
    pub late_share: f64,
    /// Fall of the knee with a late answer that shows it to be too high.
    pub knee_fall: f64,
    /// Rise of the knee with an answer in time that shows it to be too low. Slower than the fall: while
    /// answers are late, callers are harmed with each of them.
    pub knee_rise: f64,
    /// All requests are admitted up to this far below the knee.
    pub below_knee: f64,
    /// The share that is admitted reaches `least_share` this far above the knee.
    pub above_knee: f64,
    /// What is held back beyond that grows by this share a second for each unit of occupancy above the
    /// knee, and falls as fast below it. Without it, the occupancy would settle the further above the knee
    /// the higher the demand is.
    pub hold_rate: f64,
    /// Longest time between two requests that counts for this.
    pub hold_step: Duration,
    /// Smallest share of all requests that is admitted. What is beyond it is left to the servers, which
    /// refuse what exceeds their queues.
    pub least_share: AdmitShare,
    /// Smallest share of one kind of request, as a part of that of all requests. Callers of every kind
    /// are promised a quarter; the rest covers processes that see different kinds.
    pub least_part: f64,
    /// A workspace sends a surge if its part of the recent requests is this many times its usual part.
    pub surge_factor: f64,
    /// Recent requests that a workspace must have sent before it can surge; fewer say little.
    pub surge_evidence: f64,
    /// Half-life of recent requests.
    pub recent: Duration,
    /// Half-life of usual requests.
    pub usual: Duration,
    /// Callers return after half of this time at least.
    pub least_return: Duration,
    /// Mean time after which callers return at the latest.
    pub most_return: Duration,
    /// Room is scarce until nothing would have been held back for this long.
    pub calm: Duration,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self {
            first_knee: Occupancy(1.1),
            least_knee: Occupancy(0.7),
            most_knee: Occupancy(1.1),
            knee_ratio: 0.9,
            late_share: 0.25,
            knee_fall: 0.06,
            knee_rise: 0.02,
            below_knee: 0.2,
            above_knee: 0.2,
            hold_rate: 1.5,
            hold_step: Duration::from_millis(500),
            least_share: AdmitShare(0.3),
            least_part: 0.4,
            surge_factor: 1.5,
            surge_evidence: 8.0,
            recent: Duration::from_secs(2),
            usual: Duration::from_secs(30),
            least_return: Duration::from_millis(500),
            most_return: Duration::from_secs(4),
            calm: Duration::from_secs(1),
        }
    }
}
