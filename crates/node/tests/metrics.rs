//! The text of the metrics.

#[path = "support/mod.rs"]
mod support;

use {
    base::{HostId, ManualClock},
    node::{members::MemberTable, metrics::NodeMetrics, view::NodeView},
    relay::{RelayShared, RequestKind},
    std::{sync::Arc, time::Duration},
    stop::{PlannedStop, StopSettings, WorkEnd},
    support::relay_shared,
};

struct MetricsRig {
    clock: Arc<ManualClock>,
    shared: Arc<RelayShared>,
    view: Arc<NodeView>,
    metrics: NodeMetrics,
}

impl MetricsRig {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        clock.advance(Duration::from_secs(100));
        let shared = Arc::new(relay_shared(clock.clone()));
        let members = MemberTable::new(HostId::new("n0").unwrap());
        let view = Arc::new(NodeView::new(members, shared.clone()));
        let metrics = NodeMetrics::new(view.clone(), shared.clone());
        Self { clock, shared, view, metrics }
    }

    /// The value of a metric, given with its labels.
    fn value(&self, name: &str) -> String {
        let text = self.metrics.render();
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        values.next().unwrap_or_else(|| panic!("no {name} in {text}")).to_owned()
    }

    fn open(&self, kind: &str) -> String {
        self.value(&format!("gypsumfork_open_requests{{kind=\"{kind}\"}}"))
    }
}

#[test]
fn open_requests_are_shown_by_kind() {
    let rig = MetricsRig::new();
    let now = rig.shared.clock.now();
    let begin = |kind: Option<RequestKind>| {
        let guard = rig.shared.work.begin("r1".into(), now);
        kind.into_iter().for_each(|kind| guard.set_kind(kind.label()));
        guard
    };
    let stream = RequestKind::Stream { resumable: false };
    let (first, second) = (begin(Some(stream)), begin(Some(stream)));
    let _others = [begin(Some(RequestKind::Unsafe)), begin(None)];
    assert_eq!(rig.open("stream"), "2");
    assert_eq!(rig.open("unsafe"), "1");
    assert_eq!(rig.open("any"), "1", "its route is not known yet");
    assert_eq!(rig.open("safe"), "0");
    first.end(WorkEnd::Whole);
    drop(second);
    assert_eq!(rig.open("stream"), "0");
}

#[test]
fn the_time_left_of_a_stop_is_shown() {
    let rig = MetricsRig::new();
    let name = "gypsumfork_stop_left_seconds";
    assert_eq!(rig.value(name), "NaN");
    let settings =
        StopSettings { answers_due_after: Duration::from_secs(5), ..StopSettings::default() };
    let now = rig.shared.clock.now();
    let _leaving = PlannedStop::new(rig.shared.stop.clone()).leave(&settings, now);
    rig.clock.advance(Duration::from_millis(1_500));
    assert_eq!(rig.value(name), "3.5");
}

#[test]
fn a_late_loop_is_shown() {
    let rig = MetricsRig::new();
    rig.view.loop_lag.note(Duration::from_millis(3));
    rig.view.loop_lag.note(Duration::from_millis(700));
    assert_eq!(rig.value("gypsumfork_loop_lag_seconds_bucket{le=\"0.004\"}"), "1");
    assert_eq!(rig.value("gypsumfork_loop_lag_seconds_count"), "2");
}
