//! The peers that may be asked for forwards.

use {
    base::{HostId, Tick},
    rand::seq::SliceRandom,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// How long a peer is asked last after it did not reach a server or had no room.
const UNREACHING_PERIOD: Duration = Duration::from_secs(1);
/// The same for one that did not answer, or does not know forwards.
const SILENT_PERIOD: Duration = Duration::from_secs(4);

/// Another process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHost {
    /// Its host.
    pub node: HostId,
    /// Its address for connections between processes.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this process.
    pub is_near: bool,
}

/// Why a peer gave no forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// It answered that it does not reach the server, does not know it or has no room.
    Declined,
    /// It did not answer in time or its answer can't be decoded.
    Silent,
}

/// The peers, and which of them failed lately.
#[derive(Debug, Default)]
pub struct PeerBoard {
    peers: Vec<PeerHost>,
    /// When each peer that failed counts as usable again.
    avoided: BTreeMap<HostId, Tick>,
}

impl PeerBoard {
    /// Replaces the peers; what is known of their failures stays.
    pub fn set_peers(&mut self, peers: Vec<PeerHost>) {
        self.peers = peers;
        let peers = &self.peers;
        self.avoided.retain(|node, _| peers.iter().any(|peer| peer.node == *node));
    }

    /// At most `count` peers in the order in which to ask them: those that failed lately last, the near
    /// ones first, otherwise at random.
    pub fn candidates(&self, count: usize, now: Tick) -> Vec<PeerHost> {
        let mut peers: Vec<&PeerHost> = self.peers.iter().collect();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| {
            let avoided = self.avoided.get(&peer.node).copied().filter(|until| *until > now);
            (avoided, !peer.is_near)
        });
        peers.into_iter().take(count).cloned().collect()
    }

    /// Records that a peer gave a forward.
    pub fn note_success(&mut self, node: &HostId) {
        self.avoided.remove(node);
    }

    /// Records that a peer gave none.
    pub fn note_failure(&mut self, node: &HostId, failure: PeerFailure, now: Tick) {
        let period = match failure {
            PeerFailure::Declined => UNREACHING_PERIOD,
            PeerFailure::Silent => SILENT_PERIOD,
        };
        self.avoided.insert(node.clone(), now + period);
    }
}
