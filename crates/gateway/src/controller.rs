//! The interface to controllers, and its errors.

use {
    async_trait::async_trait,
    peer::{GatewayPoll, GatewayUpdate},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Why a poll returned no update.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PollError {
    /// The controller cannot be reached, did not answer in time or sent an unexpected reply.
    #[snafu(display("the controller at {address} gave no answer: {detail}"))]
    NoAnswer {
        /// The address that was polled.
        address: SocketAddr,
        /// Description of the transport error or of the reply.
        detail: String,
    },
    /// The controller is running but cannot handle the poll at this time.
    #[snafu(display("the controller at {address} is unavailable: {reason}"))]
    Unavailable {
        /// The address that was polled.
        address: SocketAddr,
        /// The reason that the controller sent.
        reason: String,
    },
}

/// Transport for polls of controllers: TCP in the daemon, an in-process fake in tests.
#[async_trait]
pub trait ControllerPort: Send + Sync {
    /// Sends one poll to the controller at `address` and returns its answer.
    async fn poll(
        &self,
        address: SocketAddr,
        poll: GatewayPoll,
    ) -> Result<GatewayUpdate, PollError>;
}
