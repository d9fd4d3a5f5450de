//! Handles requests from peers and gateways over TCP.

use {
    crate::{
        groups::port::DomainAuthority,
        net::{answer::age_ms, loads::LoadTable, shares::ShareService},
        state::{node::NodeCore, reader::StateReader},
    },
    async_trait::async_trait,
    base::{HeadNumber, TicketNumber},
    infra::{HostEntry, HostRole, HostStanding},
    peer::{
        ClusterState, GatewayPoll, GatewayUpdate, HostLine, HostTable, PeerReply, PeerRequest,
        RequestHandler,
    },
    std::sync::Arc,
};

/// Maximum number of tickets in one reply.
const MAX_TICKETS: u64 = 64;

/// Answers requests from this node's copies of the state, the records and the host list.
pub struct PeerService {
    node: Arc<NodeCore>,
    loads: Arc<LoadTable>,
    shares: Arc<ShareService>,
    reader: StateReader,
}

impl PeerService {
    /// Creates the service of `node`. Only accepted tickets are read from the table service, through
    /// `reader`.
    pub fn new(
        node: Arc<NodeCore>,
        loads: Arc<LoadTable>,
        shares: Arc<ShareService>,
        reader: StateReader,
    ) -> Self {
        Self { node, loads, shares, reader }
    }

    fn state(&self, at_least: HeadNumber) -> PeerReply {
        let state = self.node.state();
        if state.head.number < at_least {
            let reason = format!("head {} is held here", state.head.number);
            return PeerReply::Unavailable { reason };
        }
        PeerReply::State(Box::new(ClusterState::clone(&state)))
    }

    fn update(&self, poll: GatewayPoll) -> GatewayUpdate {
        let now = self.node.now();
        self.loads.record_poll(&poll.host, poll.load, now);
        let shares = self.shares.gateway_shares(&poll, now);
        let report = self.node.own_report();
        let state = self.node.state();
        // If a new state arrived after the report was read, the report's age belongs to an older head.
        let age = report.age.filter(|_| report.head == state.head.number);
        let newer = state.head.number > poll.head;
        GatewayUpdate {
            from: report.from,
            head: state.head,
            age_ms: age.map(age_ms),
            state: newer.then(|| Box::new(ClusterState::clone(&state))),
            records: self.node.records().newer_than(&poll.digests),
            hosts: self.hosts(poll.hosts_seen),
            gateways: self.loads.gateways(&state.view, now),
            shares,
        }
    }

    fn hosts(&self, seen: u64) -> Option<HostTable> {
        let number = self.node.hosts_number();
        let hosts = self.node.hosts();
        (number != seen).then(|| HostTable { number, hosts: host_lines(&hosts) })
    }

    async fn tickets(&self, after: TicketNumber) -> PeerReply {
        let latest = self.node.state().head.ticket.0;
        let last = latest.min(after.0 + MAX_TICKETS);
        match self.reader.tickets(after.0 + 1..last + 1).await {
            Ok(tickets) => PeerReply::Tickets(tickets),
            Err(error) => PeerReply::Unavailable { reason: error.to_string() },
        }
    }

    fn offer(&self, records: Vec<peer::DomainRecord>) {
        for record in records {
            self.node.records().apply(record);
        }
    }
}

#[async_trait]
impl RequestHandler for PeerService {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::FetchState { at_least } => self.state(at_least),
            PeerRequest::Announce { head } => {
                self.node.learn(head.number);
                PeerReply::Done
            }
            PeerRequest::FetchRecords { digests } => {
                PeerReply::Records(self.node.records().newer_than(&digests))
            }
            PeerRequest::Poll(poll) => PeerReply::Update(Box::new(self.update(poll))),
            PeerRequest::RequestShares { demands, holder, .. } => {
                PeerReply::Shares(self.shares.grant(&holder, &demands, self.node.now()))
            }
            PeerRequest::FetchTickets { after } => self.tickets(after).await,
            PeerRequest::OfferRecords { records } => {
                self.offer(records);
                PeerReply::Done
            }
        }
    }
}

/// Selects what gateways need of the host list: backend servers of plain services, and engine hosts
/// that are leaving.
fn host_lines(hosts: &[HostEntry]) -> Vec<HostLine> {
    let line = |entry: &HostEntry| {
        let leaving = entry.standing == HostStanding::Leaving;
        let service = match &entry.role {
            HostRole::Service { service } => Some(service.clone()),
            HostRole::Engine { .. } if leaving => None,
            _ => return None,
        };
        Some(HostLine { host: entry.host.clone(), address: entry.address, service, leaving })
    };
    hosts.iter().filter_map(line).collect()
}
