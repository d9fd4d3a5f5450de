//! Periodic queries to random peers over UDP, and answers to their queries.

use {
    crate::{
        groups::port::DomainAuthority,
        member::liveness::ContactLog,
        net::{
            answer::{LARGE_VIEW_MEMBERS, apply_loads, build_answer, build_query, to_peer_report},
            loads::LoadTable,
        },
        state::node::NodeCore,
    },
    base::Tick,
    infra::HostRole,
    parking_lot::Mutex,
    peer::{
        DatagramEndpoint, MessageCodec, PeerAnswer, PeerDatagram, PeerQuery, ReceivedDatagram,
        codec::OLDEST_PROTOCOL_VERSION,
    },
    rand::seq::IndexedRandom,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval},
    tokio_util::sync::CancellationToken,
};

/// Maximum number of unanswered queries; beyond it the oldest is dropped.
const MAX_PENDING_QUERIES: usize = 64;

/// Queries per period in a view of more than [`LARGE_VIEW_MEMBERS`] members.
const LARGE_VIEW_QUERIES: usize = 2;
/// Queries per period in a smaller view while the node has no recent read of the table service.
const OUTAGE_QUERIES: usize = 4;

struct PendingQuery {
    nonce: u64,
    sent: Tick,
}

/// Address and protocol version of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Address for both UDP and TCP.
    pub address: SocketAddr,
    /// Highest protocol version that it supports, or the oldest version if that is not known.
    pub protocol: u8,
}

/// The state of the query protocol, independent of the socket.
pub struct GossipState {
    node: Arc<NodeCore>,
    loads: Arc<LoadTable>,
    contacts: Arc<Mutex<ContactLog>>,
    codec: MessageCodec,
    pending: Mutex<VecDeque<PendingQuery>>,
    next_nonce: AtomicU64,
}

impl GossipState {
    /// Creates the state of `node` without pending queries. The first query has the nonce
    /// `first_nonce`.
    pub fn new(
        node: Arc<NodeCore>,
        loads: Arc<LoadTable>,
        contacts: Arc<Mutex<ContactLog>>,
        codec: MessageCodec,
        first_nonce: u64,
    ) -> Self {
        let next_nonce = AtomicU64::new(first_nonce);
        Self { node, loads, contacts, codec, pending: Mutex::default(), next_nonce }
    }

    /// Creates the next query and records now as its send time.
    pub fn next_query(&self) -> PeerQuery {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let query = build_query(&self.node, self.node.state().head, nonce);
        let mut pending = self.pending.lock();
        if pending.len() >= MAX_PENDING_QUERIES {
            pending.pop_front();
        }
        pending.push_back(PendingQuery { nonce, sent: self.node.now() });
        query
    }

    /// Answers a peer's query and records the head that the peer acknowledges with it.
    ///
    /// `version` is the protocol version of the query, in which the answer must fit a datagram.
    pub fn reply(&self, query: &PeerQuery, version: u8) -> PeerAnswer {
        self.node.record_acknowledgement(&query.from, query.head.number);
        let state = self.node.state();
        build_answer(&self.node, &state, &self.loads, query, &self.codec, version)
    }

    /// Applies an answer. It is dropped if no pending query has its nonce.
    pub fn apply_answer(&self, answer: PeerAnswer) {
        let Some(sent) = self.remove_pending(answer.nonce) else { return };
        self.node.apply_report(sent, &to_peer_report(&answer));
        self.contacts.lock().record_contact(&answer.from, sent);
        apply_loads(&answer, &self.node.state(), &self.loads, sent);
        for record in answer.records {
            self.node.records().apply(record);
        }
    }

    /// Selects the random peers to query in one period.
    ///
    /// The number is higher in a large view, where information needs more rounds to reach every
    /// member, and without the table service, when peers are the only source of evidence.
    pub fn targets(&self) -> Vec<PeerTarget> {
        let large = self.node.state().view.members.len() > LARGE_VIEW_MEMBERS;
        let count = match (large, self.has_recent_table_read()) {
            (true, _) => LARGE_VIEW_QUERIES,
            (false, true) => 1,
            (false, false) => OUTAGE_QUERIES,
        };
        random_peers(&self.node, count)
    }

    /// Whether the last read of the table service is no older than half of the freshness window.
    fn has_recent_table_read(&self) -> bool {
        let now = self.node.now();
        let half = self.node.timing().fresh.window / 2;
        let read = self.node.with_tracker(|tracker| tracker.last_read());
        read.is_some_and(|tick| now.since(tick) <= half)
    }

    fn remove_pending(&self, nonce: u64) -> Option<Tick> {
        let mut pending = self.pending.lock();
        let position = pending.iter().position(|query| query.nonce == nonce)?;
        pending.remove(position).map(|query| query.sent)
    }
}

/// Sends queries and answers over UDP.
pub struct PeerGossip {
    state: GossipState,
    endpoint: DatagramEndpoint,
}

impl PeerGossip {
    /// Creates the gossip of `state` on the socket `endpoint`.
    pub fn new(state: GossipState, endpoint: DatagramEndpoint) -> Self {
        Self { state, endpoint }
    }

    /// Queries random peers every `period` until `token` is cancelled.
    pub async fn run_queries(&self, period: Duration, token: CancellationToken) {
        let mut ticker = interval(period);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            self.state.node.in_force();
            for target in self.state.targets() {
                let datagram = PeerDatagram::Query(self.state.next_query());
                let version = self.state.codec.common(target.protocol);
                self.send(target.address, version, &datagram).await;
            }
        }
    }

    /// Handles incoming queries and answers until `token` is cancelled.
    pub async fn run_answers(&self, token: CancellationToken) {
        while let Some(received) = token.run_until_cancelled(self.endpoint.receive()).await {
            match received {
                Ok(received) => self.handle(received).await,
                // No reply to a datagram that cannot be decoded: queries are repeated every period.
                Err(error) => tracing::debug!(%error, "datagram dropped"),
            }
        }
    }

    async fn handle(&self, received: ReceivedDatagram) {
        let version = received.decoded.version;
        match received.decoded.message {
            PeerDatagram::Query(query) => {
                let answer = PeerDatagram::Answer(self.state.reply(&query, version));
                self.send(received.from, version, &answer).await;
            }
            PeerDatagram::Answer(answer) => self.state.apply_answer(answer),
        }
    }

    async fn send(&self, to: SocketAddr, version: u8, datagram: &PeerDatagram) {
        if let Err(error) = self.endpoint.send(to, version, datagram).await {
            tracing::debug!(%error, "datagram not sent");
        }
    }
}

/// Selects up to `count` random peers out of [`peers`].
pub fn random_peers(node: &NodeCore, count: usize) -> Vec<PeerTarget> {
    let targets = peers(node);
    targets.choose_multiple(&mut rand::rng(), count).copied().collect()
}

/// Returns the other members of the held view or, before the node holds one, the other entry hosts
/// of the host list.
pub fn peers(node: &NodeCore) -> Vec<PeerTarget> {
    let state = node.state();
    let me = node.me();
    let members = state.view.members.iter().filter(|row| row.member.host != me.host);
    let targets: Vec<PeerTarget> = members
        .map(|row| PeerTarget { address: row.peer_address, protocol: row.protocol })
        .collect();
    if !targets.is_empty() {
        return targets;
    }
    let hosts = node.hosts();
    let entries = hosts.iter().filter(|e| e.role == HostRole::Entry && e.host != me.host);
    entries
        .map(|entry| PeerTarget { address: entry.address, protocol: OLDEST_PROTOCOL_VERSION })
        .collect()
}
