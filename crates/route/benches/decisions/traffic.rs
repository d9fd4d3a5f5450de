//! Random numbers, event queue and targets for the simulations.

use {
    base::{Epoch, GroupId, ModelName},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    route::{RouteTarget, TargetCounters, TargetSpec},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Simulated time or duration in microseconds.
pub(crate) type Micros = u64;
pub(crate) const SECOND: Micros = 1_000_000;
pub(crate) const MILLISECOND: Micros = 1_000;

/// Seeded random number generator of one simulation.
pub(crate) struct SimRng(Pcg64Mcg);

impl SimRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a random number over the full range of `u64`.
    pub(crate) fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    /// Returns an exponentially distributed random number with the given mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        let fraction: f64 = self.0.random_range(f64::MIN_POSITIVE..1.0);
        -fraction.ln() * mean
    }
}

/// Zipf distribution with exponent 1 over the ranks from 0.
pub(crate) struct ZipfDistribution {
    cumulative_weights: Vec<f64>,
}

impl ZipfDistribution {
    pub(crate) fn new(count: usize) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=count).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Self { cumulative_weights: cumulative_weights.collect() }
    }

    pub(crate) fn sample(&self, rng: &mut SimRng) -> usize {
        let threshold =
            rng.fraction() * self.cumulative_weights.last().copied().unwrap_or_default();
        self.cumulative_weights.partition_point(|sum| *sum < threshold)
    }
}

/// Returns the value below which `fraction` of the sorted values lie.
pub(crate) fn quantile(sorted: &[Micros], fraction: f64) -> Micros {
    let position = (sorted.len() as f64 * fraction) as usize;
    sorted.get(position.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

/// Events ordered by time, then by the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Micros, u64, E)>>,
    scheduled: u64,
}

impl<E: Ord> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), scheduled: 0 }
    }

    pub(crate) fn schedule(&mut self, event_time: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse((event_time, self.scheduled, event)));
    }

    /// Number of events scheduled so far, also used as a unique identifier.
    pub(crate) fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// Removes and returns the next event, or returns `None` if it is later than `end`.
    pub(crate) fn next_until(&mut self, end: Micros) -> Option<(Micros, E)> {
        let Reverse((event_time, _, event)) = self.heap.pop()?;
        (event_time <= end).then_some((event_time, event))
    }
}

/// Creates the target of a serving group for one gateway.
pub(crate) fn group_target(group: usize, slots: u32) -> Arc<RouteTarget> {
    let spec = TargetSpec {
        group: GroupId::new(format!("group-{group}")).expect("a valid id"),
        epoch: Epoch(1),
        model: ModelName::new("model").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        slots,
        workspaces: BTreeSet::new(),
        serving: true,
    };
    Arc::new(RouteTarget::new(spec, Arc::new(TargetCounters::default())))
}
