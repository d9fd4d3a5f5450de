//! Helpers shared by the tests of the node crate.

use {
    base::{SharedClock, StoreEra, Tick},
    node::{ConfigStamp, config_tracker::ConfigClaim, view::NodeView},
    relay::{RelayShared, RetryBudget, RetryLimits},
    std::net::SocketAddr,
    tokio::sync::mpsc,
};

/// The shared state of the request path, without configuration or servers.
pub(crate) fn relay_shared(clock: SharedClock) -> RelayShared {
    let (signs, _) = mpsc::channel(8);
    RelayShared::new(clock, RetryBudget::new(RetryLimits::default(), Tick(0)), signs)
}

/// The claim of a peer that has a version and does not say how recent it is.
#[allow(dead_code, reason = "some test programs hear no gossip")]
pub(crate) fn claim(version: u64) -> ConfigClaim {
    ConfigClaim { stamp: ConfigStamp { version, era: StoreEra(0) }, age_ms: None }
}

/// Delivers a gossip message from `peer`, which has a version of the configuration.
#[allow(dead_code, reason = "some test programs hear no gossip")]
pub(crate) fn tell_version(view: &NodeView, version: u64, peer: SocketAddr) {
    view.note_peer_config(peer, claim(version));
}
