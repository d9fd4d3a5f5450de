//! Gossip messages between processes, sent as datagrams.

use {
    crate::{config_tracker::ConfigClaim, ports::ConfigStamp},
    base::{Incarnation, ModelName, StoreEra},
    limit::{AskOutcome, LimitNotice},
    poison::{PoisonUpdate, SuspectId},
    relay::ServerId,
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::UdpSocket,
};

/// Version of the message format; messages of another version are ignored.
const MESSAGE_VERSION: u8 = 1;
/// Version of messages with paces of groups, which earlier versions of this program ignore.
const PACES_VERSION: u8 = 2;
/// Largest message, in bytes; fits into one packet.
const MAX_MESSAGE_BYTES: usize = 1_400;
/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
/// Number of peers that a process sends to in each round.
pub const PEERS_PER_ROUND: usize = 2;
/// Maximum number of loads in one message.
pub const LOADS_PER_MESSAGE: usize = 12;
/// Maximum number of forwarded heartbeat counters in one message. At up to nine bytes each, this
/// many fit into a packet beside the other fields.
pub const HEARTBEATS_PER_MESSAGE: usize = 140;

/// Maximum number of requests at crashed servers in one message: each has up to 16 parts of ten
/// bytes.
const CRASHES_PER_MESSAGE: usize = 4;
/// Maximum number of sound or of refused parts in one message, at up to forty bytes each.
const PARTS_PER_MESSAGE: usize = 16;
/// Maximum number of limits in one message, at up to 160 bytes each.
pub const LIMITS_PER_MESSAGE: usize = 7;

base::value_type!(
    /// The heartbeat counter of one incarnation of a process.
    pub struct PeerHeartbeat {
        /// The incarnation; a random number, so that it also identifies the process.
        pub incarnation: Incarnation,
        /// The counter; the process increments it in each gossip round.
        pub counter: u64,
        /// Whether the process is about to stop.
        pub leaving: bool,
    }
);

base::value_type!(
    /// The load of a serving group, as reported by its head.
    pub struct HeadLoad {
        /// The first member of the group, which takes its requests.
        pub head: ServerId,
        /// The model that the group serves.
        pub model: ModelName,
        /// Number of requests in progress.
        pub running: u32,
        /// Number of requests that wait to be started.
        pub waiting: u32,
        /// Maximum number of concurrent requests.
        pub slots: u32,
    }
);

base::value_type!(
    /// The pace of a serving group, as reports of its members name it.
    pub struct HeadPace {
        /// The first member of the group.
        pub head: ServerId,
        /// Time that its work takes, in percent of the usual time.
        pub percent: u32,
    }
);

base::value_type!(
    /// The content of one UDP datagram of at most `MAX_MESSAGE_BYTES`: heartbeats, the version of
    /// the configuration, suspected servers and loads of groups.
    pub struct GossipMessage {
        /// The sender's own heartbeat counter.
        pub own: PeerHeartbeat,
        /// Heartbeat counters of other processes that the sender forwards.
        pub forwarded: Vec<PeerHeartbeat>,
        /// The sender's configuration version; 0 before it knows one. Kept for earlier versions of
        /// this program, which do not read `config`.
        pub config_version: u64,
        /// Whether callers already use the system, as far as the sender knows: it has accepted a
        /// request, was started without `first_start`, or a peer has said so. Never reset.
        pub in_traffic: bool,
        /// Servers at which requests have stalled; the owners of their fabric domains should probe
        /// them.
        pub stalled: Vec<ServerId>,
        /// Heads of groups that are known to be broken.
        pub broken: Vec<ServerId>,
        /// Loads of heads that the sender probed.
        pub loads: Vec<HeadLoad>,
        /// Groups that are slow. Encoded first after the other fields, and only in messages of the
        /// version for them.
        #[serde(skip)]
        pub paces: Vec<HeadPace>,
        /// Servers that have said to the sender that they are leaving. Encoded after the other
        /// fields, where an earlier version of this program ignores it.
        #[serde(skip)]
        pub leaving_servers: Vec<LeavingNotice>,
        /// What the sender says about its configuration. Encoded last, where an earlier version of
        /// this program ignores it; `None` if the sender is of such a version.
        #[serde(skip)]
        pub config: Option<ConfigClaim>,
        /// What the sender says about parts of prompts that crash servers. Encoded after `config`;
        /// `None` if the sender is of an earlier version.
        #[serde(skip)]
        pub poison: Option<PoisonClaim>,
        /// What the sender says about limits of servers. Encoded after `poison`; `None` in messages
        /// about other things, and if the sender is of an earlier version.
        #[serde(skip)]
        pub limits: Option<LimitClaim>,
        /// A question for a turn, or the reply to one. Encoded after `limits`; `None` in most messages,
        /// and if the sender is of an earlier version.
        #[serde(skip)]
        pub turn: Option<TurnClaim>,
    }
);

base::value_type!(
    /// What a process says about the limits of servers.
    #[derive(Default)]
    pub struct LimitClaim {
        /// A checksum of the limits that it knows, see `LimitTracker::digest`.
        pub digest: u64,
        /// What is new, or what the receiver may not know; empty in most messages.
        pub notices: Vec<LimitNotice>,
        /// A question to the receiver.
        pub ask: Option<LimitAsk>,
        /// The reply to a question of the receiver.
        pub reply: Option<LimitReply>,
    }
);

base::value_type!(
    /// Asks a process that shares the limit of a server whether a request may be sent there.
    pub struct LimitAsk {
        /// Id of the server.
        pub server: ServerId,
        /// Tells the questions of a process apart.
        pub number: u64,
    }
);

base::value_type!(
    /// The reply to a [`LimitAsk`].
    pub struct LimitReply {
        /// The number of the question.
        pub number: u64,
        /// What the process says.
        pub outcome: AskOutcome,
    }
);

base::value_type!(
    /// About the turn at trying a request that may be the cause of crashes.
    #[derive(Copy)]
    pub enum TurnClaim {
        /// Asks the receiver for the turn.
        Ask {
            /// The request.
            request: SuspectId,
            /// Tells the questions of a process apart.
            number: u64,
        },
        /// Replies to a question of the receiver.
        Reply {
            /// The number of the question.
            number: u64,
            /// Whether the receiver has the turn.
            has_turn: bool,
        },
    }
);

base::value_type!(
    /// What a process says about what crashes servers.
    #[derive(Default)]
    pub struct PoisonClaim {
        /// A checksum of the parts that it refuses, see `PoisonTracker::digest`.
        pub digest: u64,
        /// What is new; empty in most messages.
        pub update: PoisonUpdate,
    }
);

impl GossipMessage {
    /// What the sender says about its configuration, as far as its version of this program does.
    pub fn config_claim(&self) -> ConfigClaim {
        let stamp = ConfigStamp { version: self.config_version, era: StoreEra::default() };
        self.config.unwrap_or(ConfigClaim { stamp, age_ms: None })
    }
}

base::value_type!(
    /// A server that has said that it is leaving.
    pub struct LeavingNotice {
        /// Its id.
        pub server: ServerId,
        /// Its start, as in its entry of the server list.
        pub boot_id: Option<u64>,
    }
);

fn encode(message: &GossipMessage) -> Result<Vec<u8>, postcard::Error> {
    let bytes = if message.paces.is_empty() {
        postcard::to_extend(message, vec![MESSAGE_VERSION])?
    } else {
        let bytes = postcard::to_extend(message, vec![PACES_VERSION])?;
        postcard::to_extend(&message.paces, bytes)?
    };
    let bytes = postcard::to_extend(&message.leaving_servers, bytes)?;
    let Some(config) = &message.config else { return Ok(bytes) };
    let bytes = postcard::to_extend(config, bytes)?;
    let Some(claim) = &message.poison else { return Ok(bytes) };
    let bytes = postcard::to_extend(claim, bytes)?;
    let Some(claim) = &message.limits else { return Ok(bytes) };
    let bytes = postcard::to_extend(claim, bytes)?;
    match &message.turn {
        Some(claim) => postcard::to_extend(claim, bytes),
        None => Ok(bytes),
    }
}

/// Decodes a message with its version, the first byte. The parts that an earlier version of this program did
/// not send may be missing at the end.
fn decode(version: u8, bytes: &[u8]) -> Result<GossipMessage, postcard::Error> {
    let (mut message, mut rest): (GossipMessage, &[u8]) = postcard::take_from_bytes(bytes)?;
    if version == PACES_VERSION {
        (message.paces, rest) = postcard::take_from_bytes(rest)?;
    }
    if !rest.is_empty() {
        (message.leaving_servers, rest) = postcard::take_from_bytes(rest)?;
    }
    if !rest.is_empty() {
        let (config, remaining) = postcard::take_from_bytes(rest)?;
        message.config = Some(config);
        rest = remaining;
    }
    if !rest.is_empty() {
        let (claim, remaining) = postcard::take_from_bytes(rest)?;
        message.poison = Some(claim);
        rest = remaining;
    }
    if !rest.is_empty() {
        let (claim, remaining) = postcard::take_from_bytes(rest)?;
        message.limits = Some(claim);
        rest = remaining;
    }
    if !rest.is_empty() {
        message.turn = Some(postcard::from_bytes(rest)?);
    }
    Ok(message)
}

/// Splits an update into pieces that each fit into a message.
pub fn split_update(update: PoisonUpdate) -> Vec<PoisonUpdate> {
    let crashes = update.crashes.chunks(CRASHES_PER_MESSAGE);
    let crashes = crashes.map(|list| PoisonUpdate { crashes: list.to_vec(), ..Default::default() });
    let sound = update.sound.chunks(PARTS_PER_MESSAGE);
    let sound = sound.map(|list| PoisonUpdate { sound: list.to_vec(), ..Default::default() });
    let refused = update.refused.chunks(PARTS_PER_MESSAGE);
    let refused = refused.map(|list| PoisonUpdate { refused: list.to_vec(), ..Default::default() });
    crashes.chain(sound).chain(refused).collect()
}

/// The socket for gossip messages.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Opens the UDP socket at an address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// The address that the socket is bound to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message without waiting. One that can't be sent is dropped; receivers tolerate lost
    /// datagrams.
    pub fn send(&self, message: &GossipMessage, to: SocketAddr) {
        let encoded = encode(message);
        match encoded {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    tracing::debug!(%to, %error, "failed to send a gossip message");
                }
            }
            Ok(bytes) => {
                tracing::warn!(bytes = bytes.len(), "gossip message exceeds the size limit")
            }
            Err(error) => tracing::warn!(%error, "failed to encode a gossip message"),
        }
    }

    /// Returns the next message that can be decoded, with its sender's address; others are skipped.
    pub async fn receive(&self) -> (GossipMessage, SocketAddr) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, from)) = received else { continue };
            match buffer[..length].split_first() {
                Some((&version @ (MESSAGE_VERSION | PACES_VERSION), rest)) => {
                    match decode(version, rest) {
                        Ok(message) => return (message, from),
                        Err(error) => {
                            tracing::debug!(%from, %error, "failed to decode a gossip message")
                        }
                    }
                }
                _ => tracing::debug!(%from, "ignoring a gossip message of another version"),
            }
        }
    }
}
