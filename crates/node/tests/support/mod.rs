//! What tests of the node share.

use {
    base::{SharedClock, Tick},
    relay::{RelayShared, RepeatBudget, RepeatTerms},
    tokio::sync::mpsc,
};

/// What the request path of a process shares, before it knows anything.
pub(crate) fn relay_shared(clock: SharedClock) -> RelayShared {
    let (stalls, _) = mpsc::channel(8);
    RelayShared::new(clock, RepeatBudget::new(RepeatTerms::default(), Tick(0)), stalls)
}
