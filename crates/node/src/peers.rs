//! Datagrams between processes.

use {
    base::{Incarnation, ModelName},
    relay::ServerId,
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::UdpSocket,
};

/// Version of the datagrams; another version's are passed over.
const MESSAGE_VERSION: u8 = 1;
/// Largest datagram, in bytes; fits into a packet.
const MAX_MESSAGE_BYTES: usize = 1_400;
/// Time between two rounds of words.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
/// Peers that get a word each round.
pub const PEERS_PER_ROUND: usize = 2;
/// Loads in one word.
pub const LOADS_PER_MESSAGE: usize = 12;
/// Numbers in one word, at up to nine bytes each: what fits into a packet beside the rest.
pub const HEARTBEATS_PER_MESSAGE: usize = 140;

base::value_type!(
    /// The number that one life of a process counts up.
    pub struct PeerHeartbeat {
        /// The life of the process; random, so that it names the process too.
        pub incarnation: Incarnation,
        /// The number.
        pub counter: u64,
        /// Whether it is about to stop.
        pub leaving: bool,
    }
);

base::value_type!(
    /// The load of a serving group, as its head said.
    pub struct HeadLoad {
        /// The head.
        pub head: ServerId,
        /// What its group serves.
        pub model: ModelName,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that can run at once.
        pub slots: u32,
    }
);

base::value_type!(
    /// What one process tells another.
    pub struct GossipMessage {
        /// The sender's own number.
        pub own: PeerHeartbeat,
        /// Numbers it heard.
        pub relayed: Vec<PeerHeartbeat>,
        /// The sender's version of the configuration; 0 before it knows one.
        pub config_version: u64,
        /// Whether callers' requests have come.
        pub in_traffic: bool,
        /// Servers at which requests stand still; the owners of their fabric domains should ask.
        pub stalled: Vec<ServerId>,
        /// Heads of groups that are known to be broken.
        pub broken: Vec<ServerId>,
        /// Load of heads that the sender asked.
        pub loads: Vec<HeadLoad>,
    }
);

/// The socket for words.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Listens at an address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a word; one that can't be sent is lost, as on the way.
    pub fn send(&self, message: &GossipMessage, to: SocketAddr) {
        let encoded = postcard::to_extend(message, vec![MESSAGE_VERSION]);
        match encoded {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    tracing::debug!(%to, %error, "a word can't be sent");
                }
            }
            Ok(bytes) => tracing::warn!(bytes = bytes.len(), "a word is too large"),
            Err(error) => tracing::warn!(%error, "a word can't be encoded"),
        }
    }

    /// The next word that can be read.
    pub async fn receive(&self) -> GossipMessage {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, from)) = received else { continue };
            match buffer[..length].split_first() {
                Some((&MESSAGE_VERSION, rest)) => match postcard::from_bytes(rest) {
                    Ok(message) => return message,
                    Err(error) => tracing::debug!(%from, %error, "a word can't be read"),
                },
                _ => tracing::debug!(%from, "a word of another version"),
            }
        }
    }
}
