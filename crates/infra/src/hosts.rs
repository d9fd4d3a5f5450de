//! The port to the platform's host list.

use {
    crate::PlatformError,
    async_trait::async_trait,
    base::{FabricDomainId, FailureDomainId, HostId, RegionId, ServiceName},
    std::net::SocketAddr,
};

base::value_type!(
    /// What a host is for.
    #[serde(rename_all = "snake_case")]
    pub enum HostRole {
        /// Runs this system's daemons.
        Entry,
        /// Runs a model engine.
        Engine {
            /// The fabric domain the host stands in.
            fabric_domain: FabricDomainId,
            /// Accelerators of the host.
            accelerators: u32,
        },
        /// Runs a server of a plain service.
        Service {
            /// Which service.
            service: ServiceName,
        },
    }
);

base::value_type!(
    /// Whether a host stays.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum HostStanding {
        /// The host stays.
        Live,
        /// The host is about to leave and must get no new work.
        Leaving,
    }
);

base::value_type!(
    /// One line of the host list.
    pub struct HostEntry {
        /// The host.
        pub host: HostId,
        /// Where its process listens over HTTP; for entry hosts, the controller's peer address.
        pub address: SocketAddr,
        /// The failure domain it stands in.
        pub failure_domain: FailureDomainId,
        /// The region it stands in.
        pub region: RegionId,
        /// What it is for.
        pub role: HostRole,
        /// Whether it stays.
        pub standing: HostStanding,
    }
);

/// The platform's host list; it lags behind the truth.
#[async_trait]
pub trait HostDirectory: Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
