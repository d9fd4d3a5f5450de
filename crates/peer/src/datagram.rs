//! Queries and answers over UDP.

use {
    crate::{
        codec::{CodecError, Decoded, MessageCodec},
        message::{PeerAnswer, PeerQuery},
        traffic::TrafficCounter,
    },
    snafu::Snafu,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::net::UdpSocket,
};

/// The largest datagram that is sent, in bytes; it fits common links without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of the receive buffer, in bytes; a longer datagram is truncated and fails to decode.
const RECEIVE_BYTES: usize = 2_048;

base::value_type!(
    /// Content of a datagram.
    pub enum PeerDatagram {
        /// A query, to which the receiver sends an answer.
        Query(PeerQuery),
        /// The answer to an earlier query of the receiver.
        Answer(PeerAnswer),
    }
);

/// Error when a datagram is sent or received.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The operating system reported an error on the socket.
    #[snafu(display("the socket failed: {source}"), context(false))]
    Socket {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The message could not be encoded or decoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// The codec's error.
        source: CodecError,
    },
    /// The message is too long for one datagram.
    #[snafu(display("the message has {bytes} bytes; {MAX_DATAGRAM_BYTES} fit in a datagram"))]
    TooLong {
        /// Length of the encoded message.
        bytes: usize,
    },
}

/// A received datagram and its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// The sender's address, to which an answer is sent.
    pub from: SocketAddr,
    /// The message and its version.
    pub decoded: Decoded<PeerDatagram>,
}

/// A UDP socket for peer messages.
pub struct DatagramEndpoint {
    socket: UdpSocket,
    codec: MessageCodec,
    traffic: Arc<TrafficCounter>,
}

impl DatagramEndpoint {
    /// Binds the socket to `address`; bytes sent and received are added to `traffic`.
    pub async fn bind(
        address: SocketAddr,
        codec: MessageCodec,
        traffic: Arc<TrafficCounter>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, codec, traffic })
    }

    /// The address to which the socket is bound.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message in a version that the receiver supports, without a guarantee of delivery.
    pub async fn send(
        &self,
        address: SocketAddr,
        version: u8,
        message: &PeerDatagram,
    ) -> Result<(), DatagramError> {
        let bytes = self.codec.encode(version, message)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return TooLongSnafu { bytes: bytes.len() }.fail();
        }
        self.traffic.add_sent(bytes.len());
        self.socket.send_to(&bytes, address).await?;
        Ok(())
    }

    /// Receives the next datagram. One that cannot be decoded is dropped and returned as an error.
    pub async fn receive(&self) -> Result<ReceivedDatagram, DatagramError> {
        let mut buffer = [0; RECEIVE_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        self.traffic.add_received(length);
        let decoded = self.codec.decode(&buffer[..length])?;
        Ok(ReceivedDatagram { from, decoded })
    }
}
