//! A gossip message with extreme numbers and nothing else.

use {
    base::{Incarnation, StoreEra},
    node::{
        ConfigStamp,
        config_tracker::ConfigClaim,
        peers::{GossipMessage, PeerHeartbeat},
    },
};

pub(crate) fn plain_message() -> GossipMessage {
    let stamp = ConfigStamp { version: u64::MAX, era: StoreEra(u64::MAX) };
    GossipMessage {
        own: PeerHeartbeat { incarnation: Incarnation(5), counter: u64::MAX, leaving: false },
        forwarded: Vec::new(),
        config_version: u64::MAX,
        in_traffic: true,
        stalled: Vec::new(),
        broken: Vec::new(),
        loads: Vec::new(),
        paces: Vec::new(),
        leaving_servers: Vec::new(),
        config: Some(ConfigClaim { stamp, age_ms: Some(900) }),
        poison: None,
        limits: None,
        turn: None,
    }
}
