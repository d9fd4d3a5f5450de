//! Shares of the workspaces' limits: asking for them, granting them, handing them to gateways.
//!
//! The grantor of a workspace is the member of the view it falls to by rendezvous. A new grantor
//! begins only once each earlier one has stopped: it holds the newer view, has ended, or the newer
//! view is in force, so that the earlier grantor is not current.

use {
    crate::{
        groups::port::DomainAuthority,
        member::placement::responsible_member,
        net::{gossip::PeerTarget, loads::LoadBook},
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

/// Time after which an ask of a gateway that polls no more is dropped.
const ASK_LIMIT: Duration = Duration::from_secs(3);
/// Time between two looks at which workspaces this node is the grantor of.
const GRANTOR_PERIOD: Duration = Duration::from_millis(200);
/// Least time between two rounds of asks to other grantors.
const ASK_PAUSE: Duration = Duration::from_millis(50);

type AskKey = (HostId, WorkspaceId);

/// The last ask of one gateway for one workspace.
struct OpenAsk {
    demand: ShareDemand,
    polled: Tick,
    /// Whether it must go to its grantor.
    due: bool,
    grant: Option<ShareGrant>,
}

struct ShareDesk {
    grantor: ShareGrantor<HostId>,
    /// Workspaces that this node is the grantor of.
    granting: BTreeSet<WorkspaceId>,
    asks: BTreeMap<AskKey, OpenAsk>,
}

/// Keeps the asks of the gateways that poll this controller, and the book of the workspaces that
/// this node is the grantor of.
pub struct ShareKeeper {
    node: Arc<NodeCore>,
    loads: Arc<LoadBook>,
    validity: Duration,
    desk: Mutex<ShareDesk>,
    due: Notify,
}

impl ShareKeeper {
    /// A keeper without any ask or grant.
    pub fn new(node: Arc<NodeCore>, loads: Arc<LoadBook>) -> Self {
        let settings = ShareSettings::default();
        let validity = settings.validity;
        let desk = ShareDesk {
            grantor: ShareGrantor::new(settings),
            granting: BTreeSet::new(),
            asks: BTreeMap::new(),
        };
        Self { node, loads, validity, desk: Mutex::new(desk), due: Notify::new() }
    }

    /// Takes in a gateway's asks and gives the grants that answer them.
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

    /// Grants shares to a gateway, of the workspaces that this node is the grantor of.
    pub fn grant(&self, holder: &HostId, demands: &[ShareDemand], now: Tick) -> Vec<ShareGrant> {
        if self.node.current().is_none() {
            return Vec::new();
        }
        let state = self.node.state();
        let me = self.node.me();
        let mut desk = self.desk.lock();
        let of_mine = demands.iter().filter(|demand| {
            grantor(&state, &demand.workspace) == Some(&me)
                && desk.granting.contains(&demand.workspace)
        });
        let of_mine: Vec<&ShareDemand> = of_mine.collect();
        let grants = of_mine.into_iter().filter_map(|demand| {
            let share = desk.grantor.grant(&demand.workspace, holder, share_ask(demand), now)?;
            Some(ShareGrant {
                workspace: demand.workspace.clone(),
                requests_per_second: share.requests_per_second,
                in_flight: share.in_flight,
                order: demand.order,
                lasts_ms: self.validity.as_millis() as u32,
                view: state.head.view,
            })
        });
        grants.collect()
    }

    /// Takes up and lays down the workspaces that fall to this node, until cancelled.
    pub async fn run_grantor(&self, token: CancellationToken) {
        let mut ticker = interval(GRANTOR_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            self.update_grantor();
        }
    }

    /// Sends the gateways' asks to their grantors, until cancelled.
    pub async fn run_asks(&self, client: Arc<PeerClient>, token: CancellationToken) {
        while token.run_until_cancelled(self.due.notified()).await.is_some() {
            for (target, request) in self.due_requests() {
                let asked = client.request_as(target.address, target.protocol, &request);
                let Some(reply) = token.run_until_cancelled(asked).await else { return };
                if let (Ok(PeerReply::Shares(grants)), PeerRequest::AskShares { holder, .. }) =
                    (reply, request)
                {
                    self.take_grants(&holder, grants);
                }
            }
            token.run_until_cancelled(tokio::time::sleep(ASK_PAUSE)).await;
        }
    }

    fn is_grantor(&self, workspace: &WorkspaceId) -> bool {
        grantor(&self.node.state(), workspace) == Some(&self.node.me())
    }

    fn remote_grant(
        &self,
        holder: &HostId,
        demand: &ShareDemand,
        now: Tick,
        due: &mut bool,
    ) -> Option<ShareGrant> {
        let mut desk = self.desk.lock();
        let key = (holder.clone(), demand.workspace.clone());
        let known = desk.asks.get_mut(&key).filter(|ask| ask.demand.order == demand.order);
        if let Some(ask) = known {
            ask.polled = now;
            ask.due |= ask.grant.is_none();
            *due |= ask.due;
            return ask.grant.clone();
        }
        let ask = OpenAsk { demand: demand.clone(), polled: now, due: true, grant: None };
        desk.asks.insert(key, ask);
        *due = true;
        None
    }

    fn due_requests(&self) -> Vec<(PeerTarget, PeerRequest)> {
        let state = self.node.state();
        let from = self.node.me();
        let now = self.node.now();
        let mut desk = self.desk.lock();
        desk.asks.retain(|_, ask| now.since(ask.polled) < ASK_LIMIT);
        let mut rounds: BTreeMap<(MemberId, HostId), Vec<ShareDemand>> = BTreeMap::new();
        for ((holder, workspace), ask) in &mut desk.asks {
            if !std::mem::take(&mut ask.due) {
                continue;
            }
            if let Some(grantor) = grantor(&state, workspace) {
                let round = rounds.entry((grantor.clone(), holder.clone())).or_default();
                round.push(ask.demand.clone());
            }
        }
        drop(desk);
        let requests = rounds.into_iter().filter_map(|((grantor, holder), demands)| {
            let row = &state.view.members[state.view.position(&grantor)?];
            let target = PeerTarget { address: row.peer_address, protocol: row.protocol };
            Some((target, PeerRequest::AskShares { from: from.clone(), holder, demands }))
        });
        requests.collect()
    }

    fn take_grants(&self, holder: &HostId, grants: Vec<ShareGrant>) {
        let mut desk = self.desk.lock();
        for grant in grants {
            let key = (holder.clone(), grant.workspace.clone());
            if let Some(ask) = desk.asks.get_mut(&key)
                && ask.demand.order == grant.order
            {
                ask.grant = Some(grant);
            }
        }
    }

    fn update_grantor(&self) {
        let now = self.node.now();
        let state = self.node.state();
        let me = self.node.me();
        let held = self.node.with_tracker(|tracker| tracker.held().clone());
        let free = |workspace: &WorkspaceId| {
            self.node.with_tracker(|tracker| earlier_stopped(tracker, &held, workspace, &me))
        };
        let mut desk = self.desk.lock();
        let ShareDesk { grantor: book, granting, .. } = &mut *desk;
        granting.retain(|workspace| {
            let kept = state.desired.workspaces.contains_key(workspace)
                && grantor(&state, workspace) == Some(&me);
            if !kept {
                book.resign(workspace);
            }
            kept
        });
        for (workspace, spec) in &state.desired.workspaces {
            let limit = granted_limit(&spec.limits);
            if grantor(&state, workspace) == Some(&me) && free(workspace) {
                // For a workspace that is granted already this notes the view and the limit.
                let view = state.head.view;
                book.take_over(workspace, view, limit, self.holders(&state, now), now);
                granting.insert(workspace.clone());
            } else if granting.contains(workspace) {
                book.set_limit(workspace, limit);
            }
        }
        // Only a host that is gone takes its gateway along; a controller may end alone.
        let left = state.chain.changes.iter().flat_map(|change| &change.left);
        for gone in left.filter(|left| left.reason == LeaveReason::Gone) {
            book.mark_holder_down(&gone.member.host);
        }
    }

    /// Hosts whose gateways may hold grants of an earlier grantor: those known to run. A gateway
    /// that nobody has heard of is heard before the first grant, for it asks all the time.
    fn holders(&self, state: &ClusterState, now: Tick) -> Vec<HostId> {
        let hosts = state.view.members.iter().map(|row| &row.member.host);
        hosts.filter(|host| self.loads.load(host, now) != LOAD_NONE).cloned().collect()
    }
}

/// Whether every member that granted by an earlier view has stopped.
fn earlier_stopped(
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

/// The member that grants shares of a workspace.
fn grantor<'a>(state: &'a ClusterState, workspace: &WorkspaceId) -> Option<&'a MemberId> {
    let members = state.view.members.iter().map(|row| &row.member);
    responsible_member(workspace.as_str(), members)
}

fn granted_limit(limits: &WorkspaceLimits) -> Share {
    let limit =
        Share { requests_per_second: limits.requests_per_second, in_flight: limits.in_flight };
    Share::granted_part(limit, BASE_SHARE_PERCENT)
}

fn share_ask(demand: &ShareDemand) -> ShareRequest {
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
