//! The HTTP adapters of the platform's ports.
//!
//! An error states only what is certain:
//!
//! - [`PlatformError::Unreachable`]: no connection was established or the request could not be
//!   built, so nothing was sent.
//! - [`PlatformError::Refused`]: the service responded with a 4xx status that the call does not
//!   expect, or the request's value could not be encoded as JSON and was not sent.
//! - [`PlatformError::Unreadable`]: the service responded with a success status, and the reply
//!   could not be decoded or has the wrong number of rows. A commit returns
//!   [`PlatformError::Unknown`] instead.
//! - [`PlatformError::Unknown`]: the request may have been sent and has no complete reply, or the
//!   reply has another status. A scan also returns it when the rows keep changing.

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
