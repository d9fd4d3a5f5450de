//! Servers that are cold: they tolerate only few requests per second for a while, because they have started a
//! short time ago or for another reason of their own.

use {
    base::{RatePerSecond, ServiceName},
    relay::ServerId,
    std::time::Duration,
};

base::value_type!(
    /// What the servers of a service are like while they are cold.
    pub struct ColdRule {
        /// Name of the service.
        pub service: ServiceName,
        /// Requests that a cold server tolerates, from all processes together.
        pub rate: RatePerSecond,
        /// Time for which a server is cold after its start.
        pub span: Duration,
    }
);

base::value_type!(
    /// A server that is cold.
    pub(crate) struct ColdNotice {
        /// Id of the server.
        pub(crate) server: ServerId,
        /// Time for which it stays cold.
        pub(crate) left: Duration,
    }
);
