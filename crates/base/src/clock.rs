//! Monotonic clocks, local to each machine.

use {
    rustix::time::{ClockId, clock_gettime},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::Add,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// An instant on a machine's monotonic clock, in nanoseconds; ticks of different machines are not
/// comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The instant `span` before this one, saturating at zero.
    pub fn back(self, span: Duration) -> Tick {
        Tick(self.0.saturating_sub(nanos(span)))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, span: Duration) -> Tick {
        Tick(self.0.saturating_add(nanos(span)))
    }
}

impl fmt::Display for Tick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.0 as f64 / NANOS_PER_SECOND as f64)
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// A monotonic clock of one machine that includes the time during which the machine was suspended.
pub trait TickClock: Send + Sync {
    /// Never less than an earlier result on the same clock.
    fn now(&self) -> Tick;
}

/// The clock shared by all components of a process; tests pass a [`ManualClock`].
pub type SharedClock = Arc<dyn TickClock>;

/// `CLOCK_BOOTTIME`: time since boot, including suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl TickClock for BootClock {
    fn now(&self) -> Tick {
        let time = clock_gettime(ClockId::Boottime);
        Tick(time.tv_sec as u64 * NANOS_PER_SECOND + time.tv_nsec as u64)
    }
}

/// A clock that changes only through [`ManualClock::advance`]; for tests and benchmarks.
#[derive(Debug, Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// Starts at tick zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `span` atomically, so that threads sharing the clock can call it.
    pub fn advance(&self, span: Duration) {
        self.nanos.fetch_add(nanos(span), Ordering::SeqCst);
    }
}

impl TickClock for ManualClock {
    fn now(&self) -> Tick {
        Tick(self.nanos.load(Ordering::SeqCst))
    }
}
