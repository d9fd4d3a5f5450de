//! The host list over HTTP.

use {
    super::{HttpCaller, ServiceClient},
    crate::{HostDirectory, HostEntry, PlatformError},
    async_trait::async_trait,
    bytes::Bytes,
    http::Method,
    std::{net::SocketAddr, time::Duration},
};

base::value_type!(
    /// The host list as it travels.
    pub struct HostsBody {
        /// Every host.
        pub hosts: Vec<HostEntry>,
    }
);

/// The platform's host list over HTTP.
pub struct HttpHosts {
    client: ServiceClient,
}

impl HttpHosts {
    /// The host list at `address`, with at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let caller = HttpCaller::new(timeout);
        Self { client: ServiceClient { service: "host list", address, caller } }
    }
}

#[async_trait]
impl HostDirectory for HttpHosts {
    async fn list(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let reply = self.client.call(Method::GET, "/v1/hosts", Bytes::new(), None).await?;
        let body: HostsBody = self.client.parse(&reply)?;
        Ok(body.hosts)
    }
}
