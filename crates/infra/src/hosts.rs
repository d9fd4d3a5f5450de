//! The port to the platform's host list.

use {
    crate::PlatformError,
    async_trait::async_trait,
    base::{FabricDomainId, FailureDomainId, HostId, RegionId, ServiceName},
    std::net::SocketAddr,
};

base::value_type!(
    /// The kind of process that a host runs.
    #[serde(rename_all = "snake_case")]
    pub enum HostRole {
        /// The host runs this system's own processes, such as gateway and controller.
        Entry,
        /// The host runs a model engine.
        Engine {
            /// Hosts of one fabric domain can form a serving group together.
            fabric_domain: FabricDomainId,
            /// Number of accelerators; idle while the host is in no serving group ("stranded" in
            /// metrics).
            accelerators: u32,
        },
        /// The host runs a server of a plain service.
        Service {
            /// The service that the server belongs to.
            service: ServiceName,
        },
    }
);

base::value_type!(
    /// Whether a host may get new work.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum HostStanding {
        /// The host is in normal use.
        Live,
        /// The host is about to be removed and must get no new work.
        Leaving,
    }
);

base::value_type!(
    /// One entry of the host list.
    pub struct HostEntry {
        /// Id that the platform gave the host.
        pub host: HostId,
        /// HTTP address of the host's process; on entry hosts, the controller's address for peers.
        pub address: SocketAddr,
        /// Hosts of one failure domain may fail together.
        pub failure_domain: FailureDomainId,
        /// The region that the host is located in, as the platform names it.
        pub region: RegionId,
        /// The kind of process that the host runs.
        pub role: HostRole,
        /// Whether the host may get new work.
        pub standing: HostStanding,
    }
);

/// The platform's host list; it lags behind the actual hosts.
#[async_trait]
pub trait HostDirectory: Send + Sync {
    /// Reads the complete list, including hosts that are leaving.
    async fn list(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
