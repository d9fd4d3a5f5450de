//! Why no connection to a server was made.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr, time::Duration},
};

/// Why no connection was made; no byte of a request left this process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// The connection was not accepted in time.
    #[snafu(display("no connection to {address} within {limit:?}"))]
    TimedOut {
        /// Address of the server.
        address: SocketAddr,
        /// How long it was waited for.
        limit: Duration,
        /// Whether a peer that reaches other servers of the service confirmed it.
        is_confirmed: bool,
    },
    /// The server refuses connections: a peer that reaches other servers was refused too, all peers that
    /// were asked found that its whole service refuses them, or there is no peer to ask.
    #[snafu(display("no connection to {address}: {source}"))]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
        /// Whether a peer confirmed it.
        is_confirmed: bool,
    },
    /// Neither this process nor the peers that it asked reach the server, which may be up.
    #[snafu(display("no path to {address}; {peers} peers asked"))]
    Unreachable {
        /// Address of the server.
        address: SocketAddr,
        /// Number of peers that were asked.
        peers: usize,
        /// Whether this process itself was refused.
        refused: bool,
    },
}

impl ConnectError {
    /// Whether this process or a peer with working links was refused, and no peer reached the server.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable { refused: true, .. })
    }

    /// Whether the failure is certainly the server's own.
    pub fn is_confirmed(&self) -> bool {
        match self {
            Self::TimedOut { is_confirmed, .. } | Self::Refused { is_confirmed, .. } => {
                *is_confirmed
            }
            Self::Unreachable { .. } => false,
        }
    }
}
