//! New connections to servers.

use {
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest time for a new connection. Servers stand a few milliseconds away; a lost first packet is
/// sent again after a second, and another server is the better try then.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Why there is no connection; nothing of a request left this process.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Nobody accepted it in time.
    #[snafu(display("no connection to {address} within {CONNECT_LIMIT:?}"))]
    Silent {
        /// Where to.
        address: SocketAddr,
    },
    /// The connection was refused or can't be made.
    #[snafu(display("no connection to {address}: {source}"))]
    Refused {
        /// Where to.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Connects without delay for small packets.
pub async fn connect_server(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let Ok(connected) = connecting.await else { return SilentSnafu { address }.fail() };
    let stream = connected.context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    Ok(stream)
}
