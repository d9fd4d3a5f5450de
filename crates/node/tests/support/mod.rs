//! Helpers shared by the tests of the node crate.

use {
    base::{SharedClock, Tick},
    relay::{RelayShared, RepeatBudget, RepeatTerms},
    tokio::sync::mpsc,
};

/// The shared state of the request path, without configuration or servers.
pub(crate) fn relay_shared(clock: SharedClock) -> RelayShared {
    let (stalls, _) = mpsc::channel(8);
    RelayShared::new(clock, RepeatBudget::new(RepeatTerms::default(), Tick(0)), stalls)
}
