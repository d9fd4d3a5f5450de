//! Epidemic broadcast of state heads and group records to random peers, and fetching of states.

use {
    crate::{
        groups::port::DomainAuthority,
        net::gossip::{peers, random_peers},
        state::node::NodeCore,
        tasks::StateFetcher,
    },
    async_trait::async_trait,
    base::HeadNumber,
    futures::future::join_all,
    peer::{PeerClient, PeerReply, PeerRequest},
    rand::seq::SliceRandom,
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
    tokio_util::sync::CancellationToken,
};

/// Number of random peers to which a node sends each new head or record.
const PUSH_FANOUT: usize = 3;
/// Number of peers that are tried in turn when a state is fetched.
const FETCH_ATTEMPTS: usize = 5;
/// Minimum time between two offers; records that change within it are sent together.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node fetches from a random peer the records that are newer than its own.
const COMPARE_PERIOD: Duration = Duration::from_secs(5);

/// Sends new heads and records to peers over TCP.
pub struct UpdatePublisher {
    node: Arc<NodeCore>,
    client: Arc<PeerClient>,
}

impl UpdatePublisher {
    /// Creates a publisher of the heads and records that `node` holds.
    pub fn new(node: Arc<NodeCore>, client: Arc<PeerClient>) -> Self {
        Self { node, client }
    }

    /// Announces each newly held head to a few random peers until `token` is cancelled.
    pub async fn run_heads(&self, token: CancellationToken) {
        let mut held = self.node.watch_held();
        while let Some(Ok(())) = token.run_until_cancelled(held.changed()).await {
            held.borrow_and_update();
            let head = self.node.state().head;
            token.run_until_cancelled(self.push(&PeerRequest::Announce { head })).await;
        }
    }

    /// Offers each new record to a few random peers until `token` is cancelled.
    pub async fn run_records(&self, token: CancellationToken) {
        let records = self.node.records();
        while let Some(records) = token.run_until_cancelled(records.unoffered()).await {
            token.run_until_cancelled(self.push(&PeerRequest::OfferRecords { records })).await;
            token.run_until_cancelled(sleep(OFFER_INTERVAL)).await;
        }
    }

    /// Periodically fetches newer records from a random peer until `token` is cancelled.
    pub async fn run_comparison(&self, token: CancellationToken) {
        let mut ticker = interval(COMPARE_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            let request = PeerRequest::FetchRecords { digests: self.node.records().digests() };
            token.run_until_cancelled(self.compare(&request)).await;
        }
    }

    async fn compare(&self, request: &PeerRequest) {
        for peer in random_peers(&self.node, 1) {
            let reply = self.client.request_as(peer.address, peer.protocol, request).await;
            let Ok(PeerReply::Records(records)) = reply else { continue };
            for record in records {
                self.node.records().apply(record);
            }
        }
    }

    async fn push(&self, request: &PeerRequest) {
        let targets = random_peers(&self.node, PUSH_FANOUT);
        let pushes =
            targets.iter().map(|peer| self.client.request_as(peer.address, peer.protocol, request));
        // No retry: queries and the periodic comparison deliver what a failed push did not.
        join_all(pushes).await;
    }
}

#[async_trait]
impl StateFetcher for UpdatePublisher {
    async fn fetch_state(&self, at_least: HeadNumber) -> bool {
        let request = PeerRequest::FetchState { at_least };
        let mut targets = peers(&self.node);
        targets.shuffle(&mut rand::rng());
        for peer in targets.into_iter().take(FETCH_ATTEMPTS) {
            let reply = self.client.request_as(peer.address, peer.protocol, &request).await;
            if let Ok(PeerReply::State(state)) = reply {
                return self.node.hold(Arc::new(*state));
            }
        }
        false
    }
}
