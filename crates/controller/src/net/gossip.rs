//! Questions to random peers over UDP, and the answers to theirs.

use {
    crate::{
        groups::port::DomainAuthority,
        member::liveness::HearingLog,
        net::{
            answer::{SPARSE_LOADS_MEMBERS, answer, peer_word, question, take_loads},
            loads::LoadBook,
        },
        state::node::NodeCore,
    },
    base::Tick,
    infra::HostRole,
    parking_lot::Mutex,
    peer::{
        DatagramEndpoint, MessageCodec, PeerAnswer, PeerDatagram, PeerQuestion, ReceivedDatagram,
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

/// Questions whose answers are still waited for; older ones are given up.
const MAX_OPEN_QUESTIONS: usize = 64;

/// Questions in one period in a large view.
const LARGE_QUESTIONS: usize = 2;
/// Questions in one period in other views while the table service does not answer.
const OUTAGE_QUESTIONS: usize = 4;

struct OpenQuestion {
    nonce: u64,
    sent: Tick,
}

/// Where a peer is and what it speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Its address, for UDP and TCP.
    pub address: SocketAddr,
    /// The highest version it speaks, the oldest when not known.
    pub protocol: u8,
}

/// What is asked, answered and taken in, without the socket.
pub struct GossipDesk {
    node: Arc<NodeCore>,
    loads: Arc<LoadBook>,
    hearing: Arc<Mutex<HearingLog>>,
    codec: MessageCodec,
    open: Mutex<VecDeque<OpenQuestion>>,
    next_nonce: AtomicU64,
}

impl GossipDesk {
    /// A desk of `node` without open questions; those to come are numbered from `first_nonce`.
    pub fn new(
        node: Arc<NodeCore>,
        loads: Arc<LoadBook>,
        hearing: Arc<Mutex<HearingLog>>,
        codec: MessageCodec,
        first_nonce: u64,
    ) -> Self {
        let next_nonce = AtomicU64::new(first_nonce);
        Self { node, loads, hearing, codec, open: Mutex::default(), next_nonce }
    }

    /// A new question; its send time is the present.
    pub fn ask(&self) -> PeerQuestion {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let question = question(&self.node, self.node.state().head, nonce);
        let mut open = self.open.lock();
        if open.len() >= MAX_OPEN_QUESTIONS {
            open.pop_front();
        }
        open.push_back(OpenQuestion { nonce, sent: self.node.now() });
        question
    }

    /// The answer to a peer's question that came in a given version.
    pub fn reply(&self, asked: &PeerQuestion, version: u8) -> PeerAnswer {
        self.node.record_acknowledgement(&asked.from, asked.head.number);
        let state = self.node.state();
        answer(&self.node, &state, &self.loads, asked, &self.codec, version)
    }

    /// Takes in an answer; one that no open question waits for is dropped.
    pub fn take_answer(&self, answer: PeerAnswer) {
        let Some(sent) = self.take_open(answer.nonce) else { return };
        self.node.apply_report(sent, &peer_word(&answer));
        self.hearing.lock().record_contact(&answer.from, sent);
        take_loads(&answer, &self.node.state(), &self.loads, sent);
        for record in answer.records {
            self.node.records().take(record);
        }
    }

    /// The peers to ask in one period. Gossip takes more rounds to reach everybody in a large view,
    /// and without the table service all depends on it.
    pub fn targets(&self) -> Vec<PeerTarget> {
        let large = self.node.state().view.members.len() > SPARSE_LOADS_MEMBERS;
        let count = match (large, self.reads_table()) {
            (true, _) => LARGE_QUESTIONS,
            (false, true) => 1,
            (false, false) => OUTAGE_QUESTIONS,
        };
        random_peers(&self.node, count)
    }

    /// Whether the node's own reads alone keep it current for a while yet.
    fn reads_table(&self) -> bool {
        let now = self.node.now();
        let half = self.node.timing().fresh.window / 2;
        let read = self.node.with_tracker(|tracker| tracker.last_read());
        read.is_some_and(|tick| now.since(tick) <= half)
    }

    fn take_open(&self, nonce: u64) -> Option<Tick> {
        let mut open = self.open.lock();
        let position = open.iter().position(|question| question.nonce == nonce)?;
        open.remove(position).map(|question| question.sent)
    }
}

/// Asks peers and answers them over UDP.
pub struct PeerGossip {
    desk: GossipDesk,
    endpoint: DatagramEndpoint,
}

impl PeerGossip {
    /// Asks and answers through `endpoint`.
    pub fn new(desk: GossipDesk, endpoint: DatagramEndpoint) -> Self {
        Self { desk, endpoint }
    }

    /// Asks random peers each `period` until cancelled.
    pub async fn run_questions(&self, period: Duration, token: CancellationToken) {
        let mut ticker = interval(period);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            self.desk.node.in_force();
            for target in self.desk.targets() {
                let datagram = PeerDatagram::Question(self.desk.ask());
                let version = self.desk.codec.common(target.protocol);
                self.send(target.address, version, &datagram).await;
            }
        }
    }

    /// Answers questions and takes in answers until cancelled.
    pub async fn run_answers(&self, token: CancellationToken) {
        while let Some(received) = token.run_until_cancelled(self.endpoint.receive()).await {
            match received {
                Ok(received) => self.take(received).await,
                // A datagram that cannot be read is dropped; its sender asks again.
                Err(error) => tracing::debug!(%error, "datagram dropped"),
            }
        }
    }

    async fn take(&self, received: ReceivedDatagram) {
        let version = received.decoded.version;
        match received.decoded.message {
            PeerDatagram::Question(asked) => {
                let answer = PeerDatagram::Answer(self.desk.reply(&asked, version));
                self.send(received.from, version, &answer).await;
            }
            PeerDatagram::Answer(answer) => self.desk.take_answer(answer),
        }
    }

    async fn send(&self, to: SocketAddr, version: u8, datagram: &PeerDatagram) {
        if let Err(error) = self.endpoint.send(to, version, datagram).await {
            tracing::debug!(%error, "datagram not sent");
        }
    }
}

/// Some random peers: members of the view, or, before the node holds one, hosts of the host list.
pub fn random_peers(node: &NodeCore, count: usize) -> Vec<PeerTarget> {
    let targets = peers(node);
    targets.choose_multiple(&mut rand::rng(), count).copied().collect()
}

/// All peers but this node.
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
