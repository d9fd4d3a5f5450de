//! The sends of one request that are under way: to one server, or to more while the first is silent.

use {
    crate::{
        send::SendOutcome,
        server::{BackendServer, ServerId},
    },
    base::Tick,
    futures::{
        future::{BoxFuture, FutureExt},
        stream::{FuturesUnordered, StreamExt},
    },
};

/// How a send to one server ended.
pub(crate) struct SendReport {
    pub(crate) server: BackendServer,
    pub(crate) sent_at: Tick,
    pub(crate) outcome: SendOutcome,
}

/// Sends whose outcomes are not known. Dropping them closes their connections, which cancels the
/// request at the servers.
#[derive(Default)]
pub(crate) struct OpenSends<'a> {
    reports: FuturesUnordered<BoxFuture<'a, SendReport>>,
    servers: Vec<BackendServer>,
}

impl<'a> OpenSends<'a> {
    pub(crate) fn push(&mut self, server: BackendServer, report: BoxFuture<'a, SendReport>) {
        self.servers.push(server);
        self.reports.push(report);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The servers that have not answered.
    pub(crate) fn servers(&self) -> &[BackendServer] {
        &self.servers
    }

    /// Waits for an outcome; `None` if no send is under way.
    pub(crate) async fn next(&mut self) -> Option<SendReport> {
        let report = self.reports.next().await?;
        self.forget(&report.server.id);
        Some(report)
    }

    /// An outcome that is known already.
    pub(crate) fn ready(&mut self) -> Option<SendReport> {
        let report = self.reports.next().now_or_never().flatten()?;
        self.forget(&report.server.id);
        Some(report)
    }

    fn forget(&mut self, server: &ServerId) {
        self.servers.retain(|waiting| waiting.id != *server);
    }
}
