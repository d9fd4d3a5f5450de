//! Sends polls to controllers over TCP.

use {
    crate::controller::{ControllerPort, PollError},
    async_trait::async_trait,
    peer::{GatewayPoll, GatewayUpdate, PeerClient, PeerReply, PeerRequest},
    std::{net::SocketAddr, time::Duration},
};

/// Sends polls with the peer protocol, which the daemons use among themselves.
pub struct TcpControllers {
    client: PeerClient,
}

impl TcpControllers {
    /// Creates a client whose polls fail after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { client: PeerClient::new(timeout) }
    }
}

#[async_trait]
impl ControllerPort for TcpControllers {
    async fn poll(
        &self,
        address: SocketAddr,
        poll: GatewayPoll,
    ) -> Result<GatewayUpdate, PollError> {
        let no_answer = |detail: String| PollError::NoAnswer { address, detail };
        let reply = self
            .client
            .request(address, &PeerRequest::Poll(poll))
            .await
            .map_err(|error| no_answer(error.to_string()))?;
        match reply {
            PeerReply::Update(update) => Ok(*update),
            PeerReply::Unavailable { reason } => Err(PollError::Unavailable { address, reason }),
            _ => Err(no_answer("the reply is not an update".to_owned())),
        }
    }
}
