//! Shares of the workspaces' limits: requests from gateways, and the grants that answer them.
//!
//! Each gateway (the holder of a share) sends its share requests with its polls. The grantor of a
//! workspace is the member of the view that rendezvous hashing selects; a controller that is not the
//! grantor forwards the request. A new grantor starts granting only when each earlier one has
//! stopped: the earlier one holds the newer view, has ended, or the newer view is in force, so that
//! the earlier one is not current.

use {
    crate::{
        groups::port::DomainAuthority,
        member::placement::responsible_member,
        net::{gossip::PeerTarget, loads::LoadTable},
        state::node::NodeCore,
    },
    base::{HostId, MemberId, Tick, WorkspaceId},
    conf::ticket::WorkspaceLimits,
    freshness::{HeadTracker, HeldHead},
    parking_lot::Mutex,
    peer::{
        ClusterState, GatewayPoll, LeaveReason, PeerClient, PeerReply, PeerRequest, ShareDemand,
        ShareGrant,
        message::{BASE_SHARE_PERCENT, LOAD_NONE},
    },
    route::{Share, ShareGrantor, ShareRequest, ShareSettings},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{MissedTickBehavior, interval},
    },
    tokio_util::sync::CancellationToken,
};

/// Time after its last poll after which a gateway's share request is dropped.
const REQUEST_RETENTION: Duration = Duration::from_secs(3);
/// Interval at which this node checks for which workspaces it is the grantor.
const GRANTOR_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time between two batches of requests to other grantors.
const FORWARD_INTERVAL: Duration = Duration::from_millis(50);

type RequestKey = (HostId, WorkspaceId);

/// The latest share request of one gateway for one workspace whose grantor is another node.
struct PendingRequest {
    demand: ShareDemand,
    last_poll: Tick,
    /// Whether it must be sent to the grantor.
    due: bool,
    grant: Option<ShareGrant>,
}

struct ShareState {
    grantor: ShareGrantor<HostId>,
    /// Workspaces for which this node is the grantor and every earlier grantor has stopped.
    granting: BTreeSet<WorkspaceId>,
    requests: BTreeMap<RequestKey, PendingRequest>,
}

/// Answers the share requests of the gateways that poll this controller, and grants shares of the
/// workspaces for which this node is the grantor.
pub struct ShareService {
    node: Arc<NodeCore>,
    loads: Arc<LoadTable>,
    validity: Duration,
    state: Mutex<ShareState>,
    /// Wakes [`ShareService::run_share_requests`] when a request must be sent.
    due: Notify,
}

impl ShareService {
    /// Creates a service without requests and grants.
    pub fn new(node: Arc<NodeCore>, loads: Arc<LoadTable>) -> Self {
        let settings = ShareSettings::default();
        let validity = settings.validity;
        let state = ShareState {
            grantor: ShareGrantor::new(settings),
            granting: BTreeSet::new(),
            requests: BTreeMap::new(),
        };
        Self { node, loads, validity, state: Mutex::new(state), due: Notify::new() }
    }

    /// Records a gateway's share requests and returns the grants that are known for them.
    ///
    /// A request for a workspace of another grantor is forwarded; a later poll returns its grant.
    pub fn gateway_shares(&self, poll: &GatewayPoll, now: Tick) -> Vec<ShareGrant> {
        let mut grants = Vec::new();
        let mut remote = false;
        for demand in &poll.demands {
            let grant = match self.is_grantor(&demand.workspace) {
                true => self.grant(&poll.host, std::slice::from_ref(demand), now).pop(),
                false => self.remote_grant(&poll.host, demand, now, &mut remote),
            };
            grants.extend(grant);
        }
        if remote {
            self.due.notify_one();
        }
        grants
    }

    /// Grants shares of the workspaces for which this node is the grantor; skips other workspaces.
    /// Returns no grants while this node is isolated.
    pub fn grant(&self, holder: &HostId, demands: &[ShareDemand], now: Tick) -> Vec<ShareGrant> {
        if self.node.current().is_none() {
            return Vec::new();
        }
        let cluster = self.node.state();
        let me = self.node.me();
        let mut state = self.state.lock();
        let granted_here = demands.iter().filter(|demand| {
            grantor_of(&cluster, &demand.workspace) == Some(&me)
                && state.granting.contains(&demand.workspace)
        });
        let granted_here: Vec<&ShareDemand> = granted_here.collect();
        let grants = granted_here.into_iter().filter_map(|demand| {
            let share =
                state.grantor.grant(&demand.workspace, holder, share_request(demand), now)?;
            Some(ShareGrant {
                workspace: demand.workspace.clone(),
                requests_per_second: share.requests_per_second,
                in_flight: share.in_flight,
                order: demand.order,
                valid_ms: self.validity.as_millis() as u32,
                view: cluster.head.view,
            })
        });
        grants.collect()
    }

    /// Starts and stops granting shares of workspaces as the view and the desired state change, until
    /// `token` is cancelled.
    pub async fn run_grantor(&self, token: CancellationToken) {
        let mut ticker = interval(GRANTOR_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            self.update_grantor();
        }
    }

    /// Sends share requests to the grantors on other nodes until `token` is cancelled.
    pub async fn run_share_requests(&self, client: Arc<PeerClient>, token: CancellationToken) {
        while token.run_until_cancelled(self.due.notified()).await.is_some() {
            for (target, request) in self.drain_due_requests() {
                let exchange = client.request_as(target.address, target.protocol, &request);
                let Some(reply) = token.run_until_cancelled(exchange).await else { return };
                if let (Ok(PeerReply::Shares(grants)), PeerRequest::RequestShares { holder, .. }) =
                    (reply, request)
                {
                    self.record_grants(&holder, grants);
                }
            }
            token.run_until_cancelled(tokio::time::sleep(FORWARD_INTERVAL)).await;
        }
    }

    fn is_grantor(&self, workspace: &WorkspaceId) -> bool {
        grantor_of(&self.node.state(), workspace) == Some(&self.node.me())
    }

    fn remote_grant(
        &self,
        holder: &HostId,
        demand: &ShareDemand,
        now: Tick,
        due: &mut bool,
    ) -> Option<ShareGrant> {
        let mut state = self.state.lock();
        let key = (holder.clone(), demand.workspace.clone());
        let known =
            state.requests.get_mut(&key).filter(|request| request.demand.order == demand.order);
        if let Some(request) = known {
            request.last_poll = now;
            request.due |= request.grant.is_none();
            *due |= request.due;
            return request.grant.clone();
        }
        let request =
            PendingRequest { demand: demand.clone(), last_poll: now, due: true, grant: None };
        state.requests.insert(key, request);
        *due = true;
        None
    }

    fn drain_due_requests(&self) -> Vec<(PeerTarget, PeerRequest)> {
        let cluster = self.node.state();
        let from = self.node.me();
        let now = self.node.now();
        let mut state = self.state.lock();
        state.requests.retain(|_, request| now.since(request.last_poll) < REQUEST_RETENTION);
        let mut batches: BTreeMap<(MemberId, HostId), Vec<ShareDemand>> = BTreeMap::new();
        for ((holder, workspace), request) in &mut state.requests {
            if !std::mem::take(&mut request.due) {
                continue;
            }
            if let Some(grantor) = grantor_of(&cluster, workspace) {
                let batch = batches.entry((grantor.clone(), holder.clone())).or_default();
                batch.push(request.demand.clone());
            }
        }
        drop(state);
        let requests = batches.into_iter().filter_map(|((grantor, holder), demands)| {
            let row = &cluster.view.members[cluster.view.position(&grantor)?];
            let target = PeerTarget { address: row.peer_address, protocol: row.protocol };
            Some((target, PeerRequest::RequestShares { from: from.clone(), holder, demands }))
        });
        requests.collect()
    }

    fn record_grants(&self, holder: &HostId, grants: Vec<ShareGrant>) {
        let mut state = self.state.lock();
        for grant in grants {
            let key = (holder.clone(), grant.workspace.clone());
            if let Some(request) = state.requests.get_mut(&key)
                && request.demand.order == grant.order
            {
                request.grant = Some(grant);
            }
        }
    }

    fn update_grantor(&self) {
        let now = self.node.now();
        let cluster = self.node.state();
        let me = self.node.me();
        let held = self.node.with_tracker(|tracker| tracker.held().clone());
        let may_start = |workspace: &WorkspaceId| {
            self.node
                .with_tracker(|tracker| earlier_grantors_stopped(tracker, &held, workspace, &me))
        };
        let mut state = self.state.lock();
        let ShareState { grantor: share_grantor, granting, .. } = &mut *state;
        granting.retain(|workspace| {
            let still_grantor = cluster.desired.workspaces.contains_key(workspace)
                && grantor_of(&cluster, workspace) == Some(&me);
            if !still_grantor {
                share_grantor.resign(workspace);
            }
            still_grantor
        });
        for (workspace, spec) in &cluster.desired.workspaces {
            let limit = granted_limit(&spec.limits);
            if grantor_of(&cluster, workspace) == Some(&me) && may_start(workspace) {
                // Updates only the view and the limit if this node already grants the workspace.
                let view = cluster.head.view;
                share_grantor.take_over(workspace, view, limit, self.holders(&cluster, now), now);
                granting.insert(workspace.clone());
            } else if granting.contains(workspace) {
                share_grantor.set_limit(workspace, limit);
            }
        }
        // Only a removed host implies that its gateway is down; a controller may end alone.
        let departures = cluster.chain.changes.iter().flat_map(|change| &change.left);
        for removed in departures.filter(|left| left.reason == LeaveReason::Gone) {
            share_grantor.mark_holder_down(&removed.member.host);
        }
    }

    /// Hosts whose gateways may hold grants from an earlier grantor: those with a known load. A
    /// gateway without a known load may be left out: even an idle gateway sends a request to the
    /// grantor of each new view and repeats it until it is answered, so this node receives one from
    /// it before its first grant.
    fn holders(&self, cluster: &ClusterState, now: Tick) -> Vec<HostId> {
        let hosts = cluster.view.members.iter().map(|row| &row.member.host);
        hosts.filter(|host| self.loads.load(host, now) != LOAD_NONE).cloned().collect()
    }
}

/// Whether every member that was the workspace's grantor in an earlier view has stopped granting.
fn earlier_grantors_stopped(
    tracker: &HeadTracker,
    held: &HeldHead,
    workspace: &WorkspaceId,
    me: &MemberId,
) -> bool {
    let next_heads = held.views().skip(1).map(|view| view.since);
    held.older.iter().zip(next_heads).all(|(view, next)| {
        let Some(earlier) = responsible_member(workspace.as_str(), &view.members) else {
            return true;
        };
        earlier == me
            || next <= tracker.in_force()
            || held.ended.contains(earlier)
            || tracker.acknowledged(earlier) >= Some(next)
    })
}

/// Selects the member that grants shares of a workspace.
fn grantor_of<'a>(state: &'a ClusterState, workspace: &WorkspaceId) -> Option<&'a MemberId> {
    let members = state.view.members.iter().map(|row| &row.member);
    responsible_member(workspace.as_str(), members)
}

fn granted_limit(limits: &WorkspaceLimits) -> Share {
    let limit =
        Share { requests_per_second: limits.requests_per_second, in_flight: limits.in_flight };
    Share::granted_part(limit, BASE_SHARE_PERCENT)
}

fn share_request(demand: &ShareDemand) -> ShareRequest {
    ShareRequest {
        order: demand.order,
        demand: Share {
            requests_per_second: demand.requests_per_second,
            in_flight: demand.in_flight,
        },
        holding: Share {
            requests_per_second: demand.holding_per_second,
            in_flight: demand.holding_in_flight,
        },
        view: demand.view,
    }
}
