//! Figures about a server that are updated by many tasks and fade with time. Each lies in one atomic.

use {
    base::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// A value and when it was last updated, in one atomic.
#[derive(Debug, Default)]
struct StampedCell(AtomicU64);

/// The content of a [`StampedCell`].
#[derive(Clone, Copy, Debug)]
struct Stamped {
    value: f32,
    /// Milliseconds, which wrap around after 49 days; 0 before the first update.
    millis: u32,
}

impl StampedCell {
    fn load(&self) -> Stamped {
        Stamped::unpack(self.0.load(Relaxed))
    }

    fn update(&self, now: Tick, next: impl Fn(Stamped) -> f32) {
        let millis = millis_of(now);
        // The closure always returns a value, so the update cannot fail.
        let _ = self.0.fetch_update(Relaxed, Relaxed, |bits| {
            let value = next(Stamped::unpack(bits));
            Some(u64::from(value.to_bits()) << 32 | u64::from(millis))
        });
    }
}

impl Stamped {
    fn unpack(bits: u64) -> Self {
        Self { value: f32::from_bits((bits >> 32) as u32), millis: bits as u32 }
    }

    /// Time since the last update; `None` before the first.
    fn age(self, now: Tick) -> Option<Duration> {
        // Clocks of several tasks: an update may be a little younger than `now`.
        let age = millis_of(now).wrapping_sub(self.millis);
        let age = if age > u32::MAX / 2 { 0 } else { age };
        (self.millis != 0).then(|| Duration::from_millis(age.into()))
    }
}

fn millis_of(now: Tick) -> u32 {
    ((now.0 / 1_000_000) as u32).max(1)
}

/// Slowdown of a server, as the times between the events of its streams show it: a mean of the ratios
/// between the time seen and the time that its load explains.
#[derive(Debug, Default)]
pub struct PaceMean(StampedCell);

/// Weight of a new ratio in the mean.
const PACE_WEIGHT: f32 = 1.0 / 8.0;
/// Time after the last event in which a server's pace loses its meaning: about as long as a server stays
/// slow that was reported so.
const PACE_MEMORY: Duration = Duration::from_secs(8);
/// Range of a ratio. A pause of the process or of the link is not a slow engine.
const PACE_RANGE: std::ops::RangeInclusive<f32> = 0.2..=20.0;

impl PaceMean {
    /// Adds the ratio between a time seen and the time expected.
    pub fn note(&self, ratio: f64, now: Tick) {
        let ratio = (ratio as f32).clamp(*PACE_RANGE.start(), *PACE_RANGE.end());
        self.0.update(now, |old| match old.age(now) {
            Some(age) if age < PACE_MEMORY => old.value + (ratio - old.value) * PACE_WEIGHT,
            _ => ratio,
        });
    }

    /// The mean, drawn towards `usual` by its age; `usual` before the first ratio.
    pub fn value(&self, usual: f64, now: Tick) -> f64 {
        let pace = self.0.load();
        let Some(age) = pace.age(now) else { return usual };
        let weight = 1.0 - (age.as_secs_f64() / PACE_MEMORY.as_secs_f64()).min(1.0);
        usual + (f64::from(pace.value) - usual) * weight
    }

    /// The mean, if a ratio was added lately.
    pub fn recent(&self, now: Tick) -> Option<f64> {
        let pace = self.0.load();
        pace.age(now).filter(|age| *age < PACE_MEMORY).map(|_| f64::from(pace.value))
    }
}

/// Slowdown of a server as a report names it. It holds until the reports that would repeat it are overdue.
#[derive(Debug, Default)]
pub struct PaceReport(StampedCell);

/// Time for which a report holds: several times that between two of them.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

impl PaceReport {
    /// Records a report.
    pub fn note(&self, slowdown: f64, now: Tick) {
        self.0.update(now, |_| slowdown as f32);
    }

    /// The slowdown in the last report; 0 if there is none.
    pub fn value(&self, now: Tick) -> f64 {
        let report = self.0.load();
        let holds = report.age(now).is_some_and(|age| age < REPORT_TTL);
        if holds { f64::from(report.value) } else { 0.0 }
    }
}

/// Share of the sends to a server that failed.
#[derive(Debug, Default)]
pub struct FailureShare(StampedCell);

/// Weight of a new outcome in the share.
const OUTCOME_WEIGHT: f32 = 1.0 / 6.0;
/// Time in which the share halves without an outcome.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// A server is tried again however often it failed.
const MAX_FAILURE_SHARE: f64 = 0.95;

impl FailureShare {
    /// Records how a send ended.
    pub fn note(&self, failed: bool, now: Tick) {
        let outcome = if failed { 1.0 } else { 0.0 };
        if !failed && self.0.load().age(now).is_none() {
            return;
        }
        self.0.update(now, |old| {
            let share = faded(old, now);
            share + (outcome - share) * OUTCOME_WEIGHT
        });
    }

    /// The share, from 0 to 0.95.
    pub fn value(&self, now: Tick) -> f64 {
        f64::from(faded(self.0.load(), now)).min(MAX_FAILURE_SHARE)
    }
}

fn faded(share: Stamped, now: Tick) -> f32 {
    let Some(age) = share.age(now) else { return 0.0 };
    if share.value == 0.0 {
        return 0.0;
    }
    share.value * 0.5_f32.powf(age.as_secs_f32() / FAILURE_HALF_LIFE.as_secs_f32())
}
