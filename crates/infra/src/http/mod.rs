//! The HTTP adapters of the platform's ports.
//!
//! Errors never claim more than is certain. [`PlatformError::Unreachable`] is returned only when no
//! connection was established, so that nothing was sent, and [`PlatformError::Refused`] for a 4xx
//! status. Any other failure after the first byte was sent is [`PlatformError::Unknown`].

mod caller;
mod hosts;
mod objects;
mod table;

pub use self::{
    caller::{CallFailure, HttpCaller, HttpReply, error_chain},
    hosts::{HostsBody, HttpHosts},
    objects::HttpObjects,
    table::{HttpTable, ReadAnswer, ReadBody, ScanAnswer, ScanBody},
};

use {
    crate::PlatformError,
    bytes::Bytes,
    http::{Method, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// Client of one service of the platform; `service` is its name in errors.
struct ServiceClient {
    service: &'static str,
    address: SocketAddr,
    caller: HttpCaller,
}

impl ServiceClient {
    /// Calls the service. Returns the reply if its status is a success or `accepted`, and an error
    /// otherwise.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        accepted: Option<StatusCode>,
    ) -> Result<HttpReply, PlatformError> {
        let called = self.caller.call(self.address, method, path, body).await;
        let reply = called.map_err(|failure| self.platform_error(failure))?;
        if reply.status.is_success() || Some(reply.status) == accepted {
            return Ok(reply);
        }
        let service = self.service;
        let detail = format!("{}: {}", reply.status, reply.text());
        match reply.status.is_client_error() {
            true => Err(PlatformError::Refused { service, detail }),
            false => Err(PlatformError::Unknown { service, detail }),
        }
    }

    /// Sends a JSON value and decodes the JSON reply.
    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(request).map_err(|error| PlatformError::Refused {
            service: self.service,
            detail: error.to_string(),
        })?;
        let reply = self.call(Method::POST, path, body.into(), None).await?;
        self.parse(&reply)
    }

    fn parse<A: DeserializeOwned>(&self, reply: &HttpReply) -> Result<A, PlatformError> {
        serde_json::from_slice(&reply.body).map_err(|error| PlatformError::Unreadable {
            service: self.service,
            detail: error.to_string(),
        })
    }

    fn platform_error(&self, failure: CallFailure) -> PlatformError {
        let service = self.service;
        match failure {
            CallFailure::Unreachable { detail } => PlatformError::Unreachable { service, detail },
            CallFailure::Unknown { detail } => PlatformError::Unknown { service, detail },
        }
    }
}
