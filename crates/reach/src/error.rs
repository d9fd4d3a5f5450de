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
    },
    /// The connection was refused or failed for another reason.
    #[snafu(display("no connection to {address}: {source}"))]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}
