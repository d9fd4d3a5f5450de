//! Which processes share the rate of a server.

use {
    crate::settings::LimitSettings,
    base::{HostId, RatePerSecond, placement_weight},
    std::{cmp::Reverse, time::Duration},
};

/// Longest interval between two requests of a sharer, and the longest time for which it is not asked.
pub(crate) const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Selects the processes that share the rate of `server`, in the order of their ranks. All processes
/// select the same ones as long as they agree on which are alive; a process that joins or leaves
/// changes one sharer at most.
pub(crate) fn select_sharers(
    server: &HostId,
    rate: RatePerSecond,
    live: &[HostId],
    settings: &LimitSettings,
) -> Vec<HostId> {
    let wanted = if rate.0 < settings.single_sharer_below { 1 } else { settings.sharers };
    let key = format!("limit/{server}");
    let mut nodes: Vec<&HostId> = live.iter().collect();
    nodes.sort_by_cached_key(|node| Reverse((placement_weight(&key, node), *node)));
    nodes.into_iter().take(wanted).cloned().collect()
}

/// Time between two requests that one of `sharers` processes lets pass.
pub(crate) fn sharer_interval(
    rate: RatePerSecond,
    sharers: usize,
    settings: &LimitSettings,
) -> Duration {
    let rate = rate.0.max(settings.least_rate);
    Duration::try_from_secs_f64(sharers as f64 / rate)
        .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
}
