//! Finds a connection to a server.

use {
    crate::{
        dial::{ServerDialer, TcpDialer},
        error::{ConnectError, RefusedSnafu, TimedOutSnafu},
    },
    base::HostId,
    snafu::ResultExt,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout for a new connection. Servers are a few milliseconds away; TCP resends a lost first packet
/// only after a second, and by then another server is the better choice.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// A server to connect to.
#[derive(Clone, Copy, Debug)]
pub struct ServerTarget<'a> {
    /// Id of the server's incarnation.
    pub server: &'a HostId,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
}

/// Opens connections to servers.
#[derive(Debug)]
pub struct ServerPaths {
    dialer: Arc<dyn ServerDialer>,
}

impl Default for ServerPaths {
    fn default() -> Self {
        Self::new(Arc::new(TcpDialer))
    }
}

impl ServerPaths {
    /// Opens direct connections through `dialer`.
    pub fn new(dialer: Arc<dyn ServerDialer>) -> Self {
        Self { dialer }
    }

    /// Connects to a server within [`CONNECT_LIMIT`].
    pub async fn connect(&self, target: ServerTarget<'_>) -> Result<TcpStream, ConnectError> {
        let address = target.address;
        let Ok(dialed) = timeout(CONNECT_LIMIT, self.dialer.dial(address)).await else {
            return TimedOutSnafu { address, limit: CONNECT_LIMIT }.fail();
        };
        dialed.context(RefusedSnafu { address })
    }
}
