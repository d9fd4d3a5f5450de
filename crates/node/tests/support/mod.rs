//! Helpers shared by the tests of the node crate.

use {
    base::{SharedClock, Tick},
    relay::{RelayShared, RetryBudget, RetryLimits},
    tokio::sync::mpsc,
};

/// The shared state of the request path, without configuration or servers.
pub(crate) fn relay_shared(clock: SharedClock) -> RelayShared {
    let (signs, _) = mpsc::channel(8);
    RelayShared::new(clock, RetryBudget::new(RetryLimits::default(), Tick(0)), signs)
}
