//! Counters and latency histograms of requests.

use {
    crate::request::RequestKind,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::time::Duration,
};

/// Bounds of the histograms: doubling from 10 ms, up to 10 s.
const FIRST_BUCKET_S: f64 = 0.01;
const BUCKETS: u16 = 11;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Requests of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Counters and histograms, by kind of request.
#[derive(Debug)]
pub struct RelayMetrics {
    ends: Family<EndLabels, Counter>,
    sends: Family<KindLabels, Counter>,
    repeats: Family<KindLabels, Counter>,
    first_event: Family<KindLabels, Histogram>,
    answer: Family<KindLabels, Histogram>,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
        Self {
            ends: Family::default(),
            sends: Family::default(),
            repeats: Family::default(),
            first_event: Family::new_with_constructor(histogram),
            answer: Family::new_with_constructor(histogram),
        }
    }
}

impl RelayMetrics {
    /// Makes the metrics readable through a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by kind and outcome", self.ends.clone());
        registry.register("sends", "Sends to backend servers", self.sends.clone());
        registry.register("repeats", "Sends beyond the first of a request", self.repeats.clone());
        let help = "Time from a request to the first event of its stream, in seconds";
        registry.register("first_event_seconds", help, self.first_event.clone());
        let help = "Time from a request to the end of its answer, in seconds";
        registry.register("answer_seconds", help, self.answer.clone());
    }

    pub(crate) fn note_send(&self, kind: RequestKind, repeat: bool) {
        let labels = KindLabels { kind: word(kind) };
        self.sends.get_or_create(&labels).inc();
        if repeat {
            self.repeats.get_or_create(&labels).inc();
        }
    }

    pub(crate) fn note_first_event(&self, kind: RequestKind, wait: Duration) {
        let labels = KindLabels { kind: word(kind) };
        self.first_event.get_or_create(&labels).observe(wait.as_secs_f64());
    }

    pub(crate) fn note_end(&self, kind: RequestKind, outcome: &'static str, took: Duration) {
        self.ends.get_or_create(&EndLabels { kind: word(kind), outcome }).inc();
        self.answer.get_or_create(&KindLabels { kind: word(kind) }).observe(took.as_secs_f64());
    }

    /// Counts a refusal; of what kind the request was is known only after its route.
    pub(crate) fn note_refusal(&self, outcome: &'static str) {
        self.ends.get_or_create(&EndLabels { kind: "any", outcome }).inc();
    }
}

fn word(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Stream { .. } => "stream",
    }
}
