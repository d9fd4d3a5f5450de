//! Validation of the daemons' settings: ranges of single values and conflicts between values.

use {
    crate::{
        config_error::{ConfigErrorList, FieldPath},
        load::CheckSettings,
        settings::{ControllerSettings, FreshnessSettings, GatewaySettings, PlatformSettings},
    },
    smol_str::SmolStr,
    std::{fmt::Display, net::SocketAddr, ops::RangeInclusive},
};

/// Range of the settings for poll intervals.
pub const POLL_MS: RangeInclusive<u64> = 10..=60_000;
/// Range of `platform.timeout_ms`.
pub const TIMEOUT_MS: RangeInclusive<u64> = 10..=60_000;
/// Range of `freshness.window_ms`.
pub const FRESHNESS_WINDOW_MS: RangeInclusive<u64> = 100..=60_000;
/// Range of `freshness.margin_ms`.
pub const FRESHNESS_MARGIN_MS: RangeInclusive<u64> = 10..=60_000;
/// Range of `freshness.order_flight_ms`.
pub const ORDER_FLIGHT_MS: RangeInclusive<u64> = 10..=60_000;
/// Range of `stop_limit_ms`, up to one hour.
pub const STOP_LIMIT_MS: RangeInclusive<u64> = 100..=3_600_000;
/// Range of `max_body_bytes`, 1 KiB to 256 MiB.
pub const BODY_BYTES: RangeInclusive<u64> = 1_024..=268_435_456;
/// Range of `default_deadline_ms` and `max_deadline_ms`, up to one hour.
pub const DEADLINE_MS: RangeInclusive<u64> = 100..=3_600_000;
/// Range of `address_keep_ms`.
pub const ADDRESS_KEEP_MS: RangeInclusive<u64> = 100..=600_000;
/// Range of `silence_ms`.
pub const SILENCE_MS: RangeInclusive<u64> = 50..=600_000;
/// Range of `retry_percent`; with 0, a workspace has only the retries that each gateway starts
/// with.
pub const RETRY_PERCENT: RangeInclusive<u32> = 0..=100;
/// Range of `queue_limit_ms`; with 0, requests do not wait for capacity.
pub const QUEUE_LIMIT_MS: RangeInclusive<u64> = 0..=600_000;
/// Range of `claim_batch_ms`; 0 writes claims without delay.
pub const CLAIM_BATCH_MS: RangeInclusive<u64> = 0..=1_000;
/// Range of `claim_batch_max`.
pub const CLAIM_BATCH_MAX: RangeInclusive<u32> = 1..=1_000;

/// Adds an error if the value is outside its range; NaN always is.
pub fn check_range<T: PartialOrd + Display>(
    errors: &mut ConfigErrorList,
    path: FieldPath,
    value: T,
    range: &RangeInclusive<T>,
) {
    if !range.contains(&value) {
        let remedy = format!("give a value from {} to {}", range.start(), range.end());
        errors.push(path, format!("{value} is out of bounds"), remedy);
    }
}

impl CheckSettings for PlatformSettings {
    fn check(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        check_address(errors, path.field("table"), self.table);
        check_address(errors, path.field("objects"), self.objects);
        check_address(errors, path.field("hosts"), self.hosts);
        check_range(errors, path.field("timeout_ms"), self.timeout_ms, &TIMEOUT_MS);
    }
}

impl CheckSettings for FreshnessSettings {
    fn check(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        check_range(errors, path.field("window_ms"), self.window_ms, &FRESHNESS_WINDOW_MS);
        check_range(errors, path.field("margin_ms"), self.margin_ms, &FRESHNESS_MARGIN_MS);
        check_range(errors, path.field("order_flight_ms"), self.order_flight_ms, &ORDER_FLIGHT_MS);
    }
}

impl CheckSettings for ControllerSettings {
    fn check(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        self.platform.check(&path.field("platform"), errors);
        self.freshness.check(&path.field("freshness"), errors);
        let polls = [
            ("head_poll_ms", self.head_poll_ms),
            ("host_poll_ms", self.host_poll_ms),
            ("peer_poll_ms", self.peer_poll_ms),
            ("engine_poll_ms", self.engine_poll_ms),
        ];
        for (name, value) in polls {
            check_range(errors, path.field(name), value, &POLL_MS);
        }
        check_range(errors, path.field("stop_limit_ms"), self.stop_limit_ms, &STOP_LIMIT_MS);
        check_filter(errors, path.field("log_filter"), &self.log_filter);
        check_shorter_than_window(errors, path, "head_poll_ms", self.head_poll_ms, &self.freshness);
        check_shorter_than_window(errors, path, "peer_poll_ms", self.peer_poll_ms, &self.freshness);
        let addresses = [
            ("peer_listen", self.peer_listen),
            ("admin_listen", self.admin_listen),
            ("gateway_address", self.gateway_address),
        ];
        check_distinct(errors, path, &addresses);
    }
}

impl CheckSettings for GatewaySettings {
    fn check(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        self.platform.check(&path.field("platform"), errors);
        self.freshness.check(&path.field("freshness"), errors);
        self.check_durations(path, errors);
        check_range(errors, path.field("max_body_bytes"), self.max_body_bytes, &BODY_BYTES);
        check_range(errors, path.field("retry_percent"), self.retry_percent, &RETRY_PERCENT);
        let batch = self.claim_batch_max;
        check_range(errors, path.field("claim_batch_max"), batch, &CLAIM_BATCH_MAX);
        check_filter(errors, path.field("log_filter"), &self.log_filter);
        check_address(errors, path.field("controller"), self.controller);
        for (index, address) in self.other_controllers.iter().enumerate() {
            check_address(errors, path.field("other_controllers").index(index), *address);
        }
        self.check_conflicts(path, errors);
    }
}

impl GatewaySettings {
    fn check_durations(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        let times = [
            ("controller_poll_ms", self.controller_poll_ms, POLL_MS),
            ("default_deadline_ms", self.default_deadline_ms, DEADLINE_MS),
            ("max_deadline_ms", self.max_deadline_ms, DEADLINE_MS),
            ("address_keep_ms", self.address_keep_ms, ADDRESS_KEEP_MS),
            ("silence_ms", self.silence_ms, SILENCE_MS),
            ("queue_limit_ms", self.queue_limit_ms, QUEUE_LIMIT_MS),
            ("claim_batch_ms", self.claim_batch_ms, CLAIM_BATCH_MS),
            ("stop_limit_ms", self.stop_limit_ms, STOP_LIMIT_MS),
        ];
        for (name, value, range) in times {
            check_range(errors, path.field(name), value, &range);
        }
    }

    fn check_conflicts(&self, path: &FieldPath, errors: &mut ConfigErrorList) {
        let poll = self.controller_poll_ms;
        check_shorter_than_window(errors, path, "controller_poll_ms", poll, &self.freshness);
        if self.default_deadline_ms > self.max_deadline_ms {
            let problem = format!("longer than max_deadline_ms ({})", self.max_deadline_ms);
            errors.push_related(
                path.field("default_deadline_ms"),
                vec![path.field("max_deadline_ms")],
                problem,
                "shorten it or raise max_deadline_ms",
            );
        }
        if self.stop_limit_ms <= self.address_keep_ms {
            errors.push_related(
                path.field("stop_limit_ms"),
                vec![path.field("address_keep_ms")],
                format!("not longer than address_keep_ms ({})", self.address_keep_ms),
                "raise it, so that callers with kept addresses are still served",
            );
        }
        let addresses = [("listen", self.listen), ("admin_listen", self.admin_listen)];
        check_distinct(errors, path, &addresses);
    }
}

fn check_address(errors: &mut ConfigErrorList, path: FieldPath, address: SocketAddr) {
    if address.port() == 0 {
        errors.push(path, "port 0 cannot be reached", "give the port where it listens");
    }
}

fn check_shorter_than_window(
    errors: &mut ConfigErrorList,
    path: &FieldPath,
    name: &str,
    poll_ms: u64,
    freshness: &FreshnessSettings,
) {
    if poll_ms >= freshness.window_ms {
        errors.push_related(
            path.field(name),
            vec![path.field("freshness").field("window_ms")],
            format!("not shorter than freshness.window_ms ({})", freshness.window_ms),
            "shorten it or raise freshness.window_ms",
        );
    }
}

fn check_distinct(
    errors: &mut ConfigErrorList,
    path: &FieldPath,
    addresses: &[(&str, SocketAddr)],
) {
    for (position, (name, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..position];
        let same = earlier.iter().find(|(_, other)| other == address && address.port() != 0);
        if let Some((other, _)) = same {
            errors.push_related(
                path.field(name),
                vec![path.field(other)],
                format!("the same address as {other} ({address})"),
                "give each its own address",
            );
        }
    }
}

fn check_filter(errors: &mut ConfigErrorList, path: FieldPath, filter: &SmolStr) {
    if filter.trim().is_empty() {
        errors.push(path, "empty", "give a filter such as `info` or `warn,gateway=debug`");
    }
}
