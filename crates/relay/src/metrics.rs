//! Counters and latency histograms of requests.

use {
    crate::{loss::LossCause, obstacle::SendObstacle, request::RequestKind},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    scarce::PriorityLevel,
    std::time::Duration,
};

/// Upper bound of the first histogram bucket. Bounds double from 10 ms to 10 s.
const FIRST_BUCKET_S: f64 = 0.01;
const BUCKETS: u16 = 11;

/// Upper bound of the first bucket of departures. Bounds double from 1 ms to 4 s.
const FIRST_DEPARTURE_BUCKET_S: f64 = 0.001;
const DEPARTURE_BUCKETS: u16 = 13;

/// Labels of requests that have ended. `outcome` is an argument of `RelayService::note_end` or the
/// code of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Labels of metrics that are counted only by the kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Labels of answers that were lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LossLabels {
    kind: &'static str,
    /// [`LossCause::label`].
    why: &'static str,
}

/// Labels of requests that were not sent, or not sent again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ObstacleLabels {
    /// "first", or "further" if the request had been sent before.
    send: &'static str,
    /// [`SendObstacle::label`].
    why: &'static str,
}

/// Labels of requests that were held back because room is scarce.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RoomLabels {
    route: String,
    /// Priority, see [`PriorityLevel`].
    level: String,
}

/// Labels of checks whether a server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CrashLabels {
    /// "true" if the server refused connections.
    crashed: &'static str,
}

/// Labels of checks whether a server is sound after an answer without a length.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndCheckLabels {
    /// "true" if the server accepted a connection.
    sound: &'static str,
}

/// Labels of errors of expected times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabels {
    /// "late" if the first event came after the expected time, or else "early".
    side: &'static str,
}

/// Labels of the work of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkLabels {
    route: String,
}

/// How far first events were from the times expected of them, in seconds.
#[derive(Clone, Debug)]
pub struct ErrorHistograms(Family<ErrorLabels, Histogram>);

impl ErrorHistograms {
    pub(crate) fn note(&self, expected: Duration, seen: Duration) {
        let side = if seen > expected { "late" } else { "early" };
        let error = seen.abs_diff(expected);
        self.0.get_or_create(&ErrorLabels { side }).observe(error.as_secs_f64());
    }
}

/// Counters and histograms, by kind of request.
#[derive(Debug)]
pub struct RelayMetrics {
    ends: Family<EndLabels, Counter>,
    sends: Family<KindLabels, Counter>,
    retries: Family<KindLabels, Counter>,
    losses: Family<LossLabels, Counter>,
    obstacles: Family<ObstacleLabels, Counter>,
    held_back: Family<RoomLabels, Counter>,
    first_event: Family<KindLabels, Histogram>,
    answer: Family<KindLabels, Histogram>,
    crash_checks: Family<CrashLabels, Counter>,
    end_checks: Family<EndCheckLabels, Counter>,
    departures: Histogram,
    first_event_errors: ErrorHistograms,
    work: Family<WorkLabels, Histogram>,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
        let departure_bounds =
            exponential_buckets(FIRST_DEPARTURE_BUCKET_S, 2.0, DEPARTURE_BUCKETS);
        Self {
            ends: Family::default(),
            sends: Family::default(),
            retries: Family::default(),
            losses: Family::default(),
            obstacles: Family::default(),
            held_back: Family::default(),
            first_event: Family::new_with_constructor(histogram),
            answer: Family::new_with_constructor(histogram),
            crash_checks: Family::default(),
            end_checks: Family::default(),
            departures: Histogram::new(departure_bounds),
            first_event_errors: ErrorHistograms(Family::new_with_constructor(histogram)),
            work: Family::new_with_constructor(histogram),
        }
    }
}

impl RelayMetrics {
    /// Registers all metrics of the relay.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by kind and outcome", self.ends.clone());
        registry.register("sends", "Sends to backend servers", self.sends.clone());
        registry.register("repeats", "Sends beyond the first of a request", self.retries.clone());
        let help = "Answers of servers that were lost or given up, by reason";
        registry.register("answers_lost", help, self.losses.clone());
        let help = "Requests sent to no server, or to no further one, by reason";
        registry.register("sends_prevented", help, self.obstacles.clone());
        let help = "Requests held back because room is scarce, by route and priority";
        registry.register("room_denied", help, self.held_back.clone());
        let help = "Time from a request to the first event of its stream, in seconds";
        registry.register("first_event_seconds", help, self.first_event.clone());
        let help = "Time from a request to the end of its answer, in seconds";
        registry.register("answer_seconds", help, self.answer.clone());
        let help = "Checks whether a server crashed that broke a connection, by result";
        registry.register("crash_checks", help, self.crash_checks.clone());
        let help = "Checks whether a server is sound after an answer without a length, by result";
        registry.register("end_checks", help, self.end_checks.clone());
        let help = "Time from seeing that a caller left to closing the connection to its server, \
                    in seconds";
        registry.register("caller_departure_seconds", help, self.departures.clone());
        let help = "Difference between the expected and the seen time to a first event, in seconds";
        registry.register("first_event_error_seconds", help, self.first_event_errors.0.clone());
        let help = "Expected work of requests at model engines by route, in seconds";
        registry.register("request_work_seconds", help, self.work.clone());
    }

    pub(crate) fn note_send(&self, kind: RequestKind, is_retry: bool) {
        let labels = KindLabels { kind: kind.label() };
        self.sends.get_or_create(&labels).inc();
        if is_retry {
            self.retries.get_or_create(&labels).inc();
        }
    }

    pub(crate) fn note_loss(&self, kind: RequestKind, cause: LossCause) {
        let labels = LossLabels { kind: kind.label(), why: cause.label() };
        self.losses.get_or_create(&labels).inc();
    }

    pub(crate) fn note_obstacle(&self, obstacle: SendObstacle, sent_before: bool) {
        let send = if sent_before { "further" } else { "first" };
        let labels = ObstacleLabels { send, why: obstacle.label() };
        self.obstacles.get_or_create(&labels).inc();
    }

    pub(crate) fn note_held_back(&self, route: &str, level: PriorityLevel) {
        let labels = RoomLabels { route: route.to_owned(), level: level.to_string() };
        self.held_back.get_or_create(&labels).inc();
    }

    /// The times for which connections to servers outlived their callers.
    pub(crate) fn departures(&self) -> Histogram {
        self.departures.clone()
    }

    /// The errors of expected times to first events.
    pub(crate) fn first_event_errors(&self) -> ErrorHistograms {
        self.first_event_errors.clone()
    }

    /// Records the expected work of a request on its first send.
    pub(crate) fn note_work(&self, route: &str, work: Duration) {
        let labels = WorkLabels { route: route.to_owned() };
        self.work.get_or_create(&labels).observe(work.as_secs_f64());
    }

    pub(crate) fn note_crash_check(&self, crashed: bool) {
        let crashed = if crashed { "true" } else { "false" };
        self.crash_checks.get_or_create(&CrashLabels { crashed }).inc();
    }

    pub(crate) fn note_end_check(&self, is_sound: bool) {
        let sound = if is_sound { "true" } else { "false" };
        self.end_checks.get_or_create(&EndCheckLabels { sound }).inc();
    }

    pub(crate) fn note_first_event(&self, kind: RequestKind, wait: Duration) {
        let labels = KindLabels { kind: kind.label() };
        self.first_event.get_or_create(&labels).observe(wait.as_secs_f64());
    }

    /// Counts a request whose answer had begun when it ended. `outcome` becomes a metric label.
    pub(crate) fn note_end(&self, kind: RequestKind, outcome: &'static str, took: Duration) {
        self.ends.get_or_create(&EndLabels { kind: kind.label(), outcome }).inc();
        self.answer.get_or_create(&KindLabels { kind: kind.label() }).observe(took.as_secs_f64());
    }

    /// Counts a refusal. `outcome` becomes a metric label. The kind is "any" because a request can
    /// be refused before its route, and with it its kind, is known.
    pub(crate) fn note_refusal(&self, outcome: &'static str) {
        self.ends.get_or_create(&EndLabels { kind: "any", outcome }).inc();
    }
}
