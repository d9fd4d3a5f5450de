//! What tests of the node share.

use {
    arc_swap::{ArcSwap, ArcSwapOption},
    base::{SharedClock, Tick},
    relay::{RelayMetrics, RelayShared, RepeatBudget, RepeatTerms, ServerTable},
    std::sync::atomic::{AtomicBool, AtomicUsize},
    tokio::sync::mpsc,
};

/// What the request path of a process shares, before it knows anything.
pub(crate) fn relay_shared(clock: SharedClock) -> RelayShared {
    let (stalls, _) = mpsc::channel(8);
    RelayShared {
        config: ArcSwapOption::empty(),
        servers: ArcSwap::from_pointee(ServerTable::default()),
        budget: RepeatBudget::new(RepeatTerms::default(), Tick(0)),
        processes: AtomicUsize::new(1),
        in_traffic: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        metrics: RelayMetrics::default(),
        clock,
        stalls,
    }
}
