//! The port to the list of servers.

use {
    base::{HostId, ServiceName},
    std::net::SocketAddr,
};

/// What the list of servers says of one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Id of its incarnation.
    pub id: HostId,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// The service that it belongs to. Links are judged by service: a process may lose those to the
    /// servers of one service only.
    pub service: ServiceName,
}

/// The list of servers as this process knows it.
pub trait ServerDirectory: Send + Sync {
    /// A server that is listed or was removed from the list recently.
    fn find(&self, server: &HostId) -> Option<ListedServer>;

    /// A random listed server of a service, other than `except`.
    fn sample(&self, service: &ServiceName, except: &HostId) -> Option<ListedServer>;
}
