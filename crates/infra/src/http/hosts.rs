//! HTTP adapter of the host list.

use {
    super::{HttpCaller, ServiceClient},
    crate::{HostDirectory, HostEntry, PlatformError},
    async_trait::async_trait,
    bytes::Bytes,
    http::Method,
    std::{net::SocketAddr, time::Duration},
};

base::value_type!(
    /// JSON body of the host list.
    pub struct HostsBody {
        /// All hosts, including those that are leaving.
        pub hosts: Vec<HostEntry>,
    }
);

/// Reads the host list from the platform on each call, without a cache.
pub struct HttpHosts {
    client: ServiceClient,
}

impl HttpHosts {
    /// `timeout` bounds each call, from connecting to the end of the reply.
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
