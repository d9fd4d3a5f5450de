//! Checks that the default strategies meet the project's performance targets in the simulations of
//! the `decisions` bench, for the median or the worst of 20 seeds.

#[path = "../benches/decisions/limits.rs"]
#[allow(dead_code, reason = "only the bench writes reports")]
mod limits;
#[path = "../benches/decisions/report.rs"]
#[allow(dead_code, reason = "only the bench writes reports")]
mod report;
#[path = "../benches/decisions/retries.rs"]
#[allow(dead_code, reason = "only the bench writes reports")]
mod retries;
#[path = "../benches/decisions/routing.rs"]
#[allow(dead_code, reason = "only the bench writes reports")]
mod routing;
#[path = "../benches/decisions/routing_strategy.rs"]
#[allow(dead_code, reason = "only the bench writes reports")]
mod routing_strategy;
#[path = "../benches/decisions/traffic.rs"]
mod traffic;

use {
    limits::LimitStrategy,
    retries::RetryStrategy,
    routing_strategy::RoutingStrategy,
    traffic::{Micros, SECOND},
};

const SEEDS: u64 = 20;
/// Report lag at which the performance targets of routing apply.
const REPORT_LAG: Micros = SECOND;
/// Maximum ratio of the p99 time to the first token to that of routing by least reported load.
const MAX_P99_RATIO: f64 = 0.7;
/// Minimum ratio of prefix hits to those of pure affinity.
const MIN_HIT_RATIO: f64 = 0.9;
/// One of this many groups fails in the retry simulation.
const FAILING_EVERY: usize = 3;
/// Maximum attempts per request during the overload.
const MAX_ATTEMPTS: f64 = 1.1;
/// Minimum goodput in percent of the surviving capacity.
const MIN_GOODPUT: f64 = 90.0;

#[test]
fn routing_keeps_first_tokens_early_and_prefixes_together() {
    let default = routing::measure(RoutingStrategy::Default, REPORT_LAG, SEEDS);
    let least_reported = routing::measure(RoutingStrategy::LeastReported, REPORT_LAG, SEEDS);
    let affinity = routing::measure(RoutingStrategy::PureAffinity, REPORT_LAG, SEEDS);
    assert!(
        default.p99_ms.median <= least_reported.p99_ms.median * MAX_P99_RATIO,
        "{:?}",
        default.p99_ms
    );
    assert!(
        default.p99_ms.worst <= least_reported.p99_ms.worst * MAX_P99_RATIO,
        "{:?}",
        default.p99_ms
    );
    assert!(default.hits.median >= affinity.hits.median * MIN_HIT_RATIO, "{:?}", default.hits);
    assert!(default.hits.worst >= affinity.hits.worst * MIN_HIT_RATIO, "{:?}", default.hits);
}

#[test]
fn routing_is_no_worse_than_two_choices() {
    let default = routing::measure(RoutingStrategy::Default, REPORT_LAG, SEEDS);
    let two_choices = routing::measure(RoutingStrategy::TwoChoices, REPORT_LAG, SEEDS);
    assert!(
        default.p99_ms.median <= two_choices.p99_ms.median,
        "{:?} {:?}",
        default.p99_ms,
        two_choices.p99_ms
    );
}

#[test]
fn retries_stay_in_their_budget_and_goodput_stays_high() {
    let summary = retries::measure(RetryStrategy::Budgeted, FAILING_EVERY, SEEDS);
    assert!(summary.attempts.worst <= MAX_ATTEMPTS, "{:?}", summary.attempts);
    assert!(summary.goodput.worst >= MIN_GOODPUT, "{:?}", summary.goodput);
}

#[yare::parameterized(half = { 0.6 }, most = { 0.8 }, overload = { 1.2 })]
fn shares_never_overshoot_and_beat_a_static_split(load: f64) {
    let default = limits::measure(LimitStrategy::Default, load, SEEDS);
    let static_split = limits::measure(LimitStrategy::Static, load, SEEDS);
    assert_eq!(default.in_flight_over.worst, 0.0);
    assert_eq!(default.starts_over.worst, 0.0);
    assert!(default.refused.worst <= static_split.refused.median, "{:?}", default.refused);
}
