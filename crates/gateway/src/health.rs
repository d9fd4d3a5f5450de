//! The health, readiness and metrics endpoints.

use {
    crate::core::GatewayCore,
    dropshot::Body,
    http::{HeaderValue, Response, StatusCode, header},
};

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Liveness: always answers 200.
pub fn healthz() -> Response<Body> {
    Response::new(Body::from("ok\n"))
}

/// Readiness: answers 503 with the reason while the gateway is draining or isolated.
pub fn readyz(core: &GatewayCore) -> Response<Body> {
    let (status, text) = if core.stop.is_stopping() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if core.current_state().is_err() {
        (StatusCode::SERVICE_UNAVAILABLE, "isolated\n")
    } else {
        (StatusCode::OK, "ready\n")
    };
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Renders all metrics in the OpenMetrics text format, after updating the gauges.
pub fn metrics(core: &GatewayCore) -> Response<Body> {
    let gauges = core.meters.gauges();
    gauges.open_requests.set(count(core.runs.len()));
    gauges.bookkeeping.set(count(core.background_tasks.len()));
    gauges.current.set(i64::from(core.current_state().is_ok()));
    gauges.draining.set(i64::from(core.stop.is_stopping()));
    gauges.head.set(core.state.load().head().0 as i64);
    gauges.table_commits.set(core.claims.commits() as i64);
    let mut response = Response::new(Body::from(core.meters.text()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
    response
}

fn count(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
