//! Local load signals that supplement the delayed load reports of targets.
//!
//! All gateways receive the same outdated load reports. If they relied on reports alone, all of
//! them would choose the target that last reported the least load until the next report. Two
//! signals that a gateway measures itself have no delay: its own recent choices, which other
//! gateways probably make as well, and the time between the tokens of a target.

use {
    base::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// Time in which the count of recent choices decays by a factor of e.
pub(crate) const CHOICE_DECAY_TIME: Duration = Duration::from_secs(1);
/// Weight of a new measurement in the exponentially weighted mean token interval.
const INTERVAL_EWMA_WEIGHT: f32 = 0.1;

/// Lock-free counter with exponential decay.
#[derive(Debug, Default)]
pub(crate) struct DecayingCount {
    /// Upper 32 bits: the count as `f32`; lower 32 bits: the time of the last update in
    /// milliseconds.
    cell: AtomicU64,
}

impl DecayingCount {
    /// Adds one; the count decays by a factor of e in each `decay_time`.
    pub(crate) fn add(&self, now: Tick, decay_time: Duration) {
        let millis = millis_of(now);
        let add_one = |cell: u64| Some(pack(decayed(cell, millis, decay_time) + 1.0, millis));
        // The closure always returns a value, so the update cannot fail.
        let _ = self.cell.fetch_update(Relaxed, Relaxed, add_one);
    }

    /// Returns the count, decayed to `now`. `decay_time` must be the same as in the calls of
    /// [`Self::add`].
    pub(crate) fn value(&self, now: Tick, decay_time: Duration) -> f32 {
        decayed(self.cell.load(Relaxed), millis_of(now), decay_time)
    }
}

fn millis_of(now: Tick) -> u32 {
    // Wraps around after 49 days; a count that is wrong because of that decays as well.
    (now.0 / 1_000_000) as u32
}

fn pack(count: f32, millis: u32) -> u64 {
    u64::from(count.to_bits()) << 32 | u64::from(millis)
}

fn decayed(cell: u64, millis: u32, decay_time: Duration) -> f32 {
    let count = f32::from_bits((cell >> 32) as u32);
    let elapsed_millis = millis.wrapping_sub(cell as u32) as f32;
    count * (-elapsed_millis / decay_time.as_millis() as f32).exp()
}

/// Exponentially weighted mean of the time between two tokens; 0 before the first measurement.
#[derive(Debug, Default)]
pub(crate) struct MeanTokenInterval {
    /// The lower 32 bits hold the mean in microseconds as `f32`.
    micros: AtomicU64,
}

impl MeanTokenInterval {
    /// Adds the time between two tokens of one stream to the mean.
    pub(crate) fn record(&self, interval: Duration) {
        let interval = interval.as_secs_f32() * 1e6;
        let average = |bits: u64| {
            let old = f32::from_bits(bits as u32);
            let new =
                if old == 0.0 { interval } else { old + (interval - old) * INTERVAL_EWMA_WEIGHT };
            Some(u64::from(new.to_bits()))
        };
        let _ = self.micros.fetch_update(Relaxed, Relaxed, average);
    }

    /// The mean in microseconds, or `None` before the first measurement.
    pub(crate) fn micros(&self) -> Option<f32> {
        let micros = f32::from_bits(self.micros.load(Relaxed) as u32);
        (micros > 0.0).then_some(micros)
    }
}
