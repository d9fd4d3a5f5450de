//! Opens connections to servers.

use {
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout for a new connection. Servers are a few milliseconds away; TCP resends a lost first packet
/// only after a second, and by then another server is the better choice.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Why no connection was made; no byte of a request left this process.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection was not accepted in time.
    #[snafu(display("no connection to {address} within {CONNECT_LIMIT:?}"))]
    TimedOut {
        /// Address of the server.
        address: SocketAddr,
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

/// Connects to a server, with Nagle's algorithm disabled.
pub async fn connect_server(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let Ok(connected) = connecting.await else { return TimedOutSnafu { address }.fail() };
    let stream = connected.context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    Ok(stream)
}
