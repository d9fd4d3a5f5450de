//! The HTTP adapters of [`EngineControl`] and [`EngineReports`].
//!
//! [`EngineError::Unreachable`] is returned only when no connection was established, so that
//! nothing was sent. An order whose response is missing, malformed or has a 5xx status fails with
//! [`EngineError::Unknown`].

use {
    crate::{
        CacheEventPage, EngineControl, EngineError, EngineOrder, EngineReports, EngineState,
        LoadReport, OrderAnswer, wire,
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::Method,
    infra::http::{CallFailure, HttpCaller, HttpReply},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Sends orders and probes to engines over HTTP; clones share connections.
#[derive(Clone)]
pub struct HttpEngineControl {
    caller: HttpCaller,
}

impl HttpEngineControl {
    /// `timeout` bounds each call, from connecting to the end of the response.
    pub fn new(timeout: Duration) -> Self {
        Self { caller: HttpCaller::new(timeout) }
    }
}

#[async_trait]
impl EngineControl for HttpEngineControl {
    async fn order(
        &self,
        address: SocketAddr,
        order: EngineOrder,
    ) -> Result<OrderAnswer, EngineError> {
        let body = serde_json::to_vec(&order)
            .map_err(|error| EngineError::Unreachable { address, detail: error.to_string() })?;
        let called = self.caller.call(address, Method::POST, wire::ORDERS_PATH, body.into()).await;
        let reply = called.map_err(|failure| engine_error(address, failure))?;
        if reply.status.is_client_error() {
            return Ok(OrderAnswer::Refused { reason: status_and_text(&reply) });
        }
        if !reply.status.is_success() {
            return Err(EngineError::Unknown { address, detail: status_and_text(&reply) });
        }
        // The engine responded with a success status, so the order may have taken effect.
        serde_json::from_slice(&reply.body)
            .map_err(|error| EngineError::Unknown { address, detail: error.to_string() })
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        fetch(&self.caller, address, wire::STATE_PATH).await
    }
}

/// Reads the reports of engines and plain services over HTTP; clones share connections.
#[derive(Clone)]
pub struct HttpEngineReports {
    caller: HttpCaller,
}

impl HttpEngineReports {
    /// `timeout` bounds each call, from connecting to the end of the response.
    pub fn new(timeout: Duration) -> Self {
        Self { caller: HttpCaller::new(timeout) }
    }
}

#[async_trait]
impl EngineReports for HttpEngineReports {
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        fetch(&self.caller, address, wire::LOAD_PATH).await
    }

    async fn service_load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        fetch(&self.caller, address, wire::SERVICE_LOAD_PATH).await
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        fetch(&self.caller, address, wire::STATE_PATH).await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEventPage, EngineError> {
        let path = format!("{}?after={after}", wire::CACHE_EVENTS_PATH);
        fetch(&self.caller, address, &path).await
    }
}

/// Reads a JSON value; fails with [`EngineError::Unreadable`] on an error status.
async fn fetch<A: DeserializeOwned>(
    caller: &HttpCaller,
    address: SocketAddr,
    path: &str,
) -> Result<A, EngineError> {
    let called = caller.call(address, Method::GET, path, Bytes::new()).await;
    let reply = called.map_err(|failure| engine_error(address, failure))?;
    if !reply.status.is_success() {
        return Err(EngineError::Unreadable { address, detail: status_and_text(&reply) });
    }
    serde_json::from_slice(&reply.body)
        .map_err(|error| EngineError::Unreadable { address, detail: error.to_string() })
}

fn engine_error(address: SocketAddr, failure: CallFailure) -> EngineError {
    match failure {
        CallFailure::Unreachable { detail } => EngineError::Unreachable { address, detail },
        CallFailure::Unknown { detail } => EngineError::Unknown { address, detail },
    }
}

fn status_and_text(reply: &HttpReply) -> String {
    format!("{}: {}", reply.status, reply.text())
}
