//! A histogram of durations that is updated without a lock.

use {
    prometheus_client::{
        encoding::{EncodeMetric, MetricEncoder, NoLabelSet},
        metrics::{MetricType, TypedMetric},
    },
    std::{
        fmt,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

const NANOS_PER_SECOND: f64 = 1e9;

/// Counts durations in buckets. Clones share their buckets.
#[derive(Clone, Debug)]
pub struct TimeHistogram {
    inner: Arc<HistogramCells>,
}

#[derive(Debug)]
struct HistogramCells {
    bounds: &'static [f64],
    counts: Box<[AtomicU64]>,
    sum_nanos: AtomicU64,
}

impl TimeHistogram {
    /// Creates a histogram with the given upper bounds of buckets, in seconds and in ascending order.
    /// Longer durations go into one more bucket.
    pub fn new(bounds: &'static [f64]) -> Self {
        let counts = (0..=bounds.len()).map(|_| AtomicU64::new(0)).collect();
        let inner = HistogramCells { bounds, counts, sum_nanos: AtomicU64::new(0) };
        Self { inner: Arc::new(inner) }
    }

    /// Records one duration.
    pub fn observe(&self, time: Duration) {
        let seconds = time.as_secs_f64();
        let bucket = self.inner.bounds.partition_point(|bound| *bound < seconds);
        self.inner.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.inner.sum_nanos.fetch_add(nanos, Ordering::Relaxed);
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.inner.counts.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }
}

impl TypedMetric for TimeHistogram {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for TimeHistogram {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), fmt::Error> {
        let bounds = self.inner.bounds.iter().copied().chain([f64::MAX]);
        let counts = self.inner.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let buckets: Vec<(f64, u64)> = bounds.zip(counts).collect();
        let count = buckets.iter().map(|(_, count)| count).sum();
        let sum = self.inner.sum_nanos.load(Ordering::Relaxed) as f64 / NANOS_PER_SECOND;
        encoder.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}
