//! HTTP adapter of the object store.

use {
    super::{HttpCaller, ServiceClient},
    crate::{ObjectStore, PlatformError},
    async_trait::async_trait,
    bytes::Bytes,
    http::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the platform's object store.
pub struct HttpObjects {
    client: ServiceClient,
}

impl HttpObjects {
    /// `timeout` bounds each call, from connecting to the end of the reply.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let caller = HttpCaller::new(timeout);
        Self { client: ServiceClient { service: "object store", address, caller } }
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let absent = Some(StatusCode::NOT_FOUND);
        let reply = self.client.call(Method::GET, &object_path(key), Bytes::new(), absent).await?;
        Ok((reply.status != StatusCode::NOT_FOUND).then_some(reply.body))
    }

    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        self.client.call(Method::PUT, &object_path(key), body, None).await?;
        Ok(())
    }
}
