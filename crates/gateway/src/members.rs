//! Probes the members of stalled serving groups.
//!
//! A group is stalled if requests are in flight but no tokens arrive. The owner of a fabric domain
//! monitors its groups, but if the owner is paused or disconnected when a member fails, nobody
//! detects the failure until a new owner takes over. The gateway therefore probes the members of a
//! stalled group itself, and dispatches no new requests to the group until all members report that
//! they are ready. Groups that send tokens are not probed.

use {
    crate::{core::GatewayCore, snapshot::RoutingSnapshot},
    base::{Epoch, GroupId, Tick},
    engine::{EngineError, EnginePhase, EngineReports, EngineState},
    futures::future::join_all,
    peer::GroupRecord,
    route::RouteTarget,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, timeout},
    tokio_util::sync::CancellationToken,
};

/// Interval between two checks of all groups.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a token, with requests in flight, after which a group is stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the probe of one member.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time since which a group with requests in flight has sent no token.
#[derive(Clone, Copy, Debug)]
struct TokenGap {
    last_token: Tick,
    /// Time of the check that first found this value of `last_token`.
    since: Tick,
}

/// Detects stalled groups and probes their members.
pub struct MemberProber {
    core: Arc<GatewayCore>,
    port: Arc<dyn EngineReports>,
    token_gaps: HashMap<(GroupId, Epoch), TokenGap>,
}

impl MemberProber {
    /// Creates a prober for all groups in the latest snapshot. `port` probes engines.
    pub fn new(core: Arc<GatewayCore>, port: Arc<dyn EngineReports>) -> Self {
        Self { core, port, token_gaps: HashMap::new() }
    }

    /// Checks all groups at a fixed interval until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.probe_round().await,
            }
        }
    }

    /// Checks all groups once and probes the members of those that need it.
    pub async fn probe_round(&mut self) {
        let snapshot = self.core.state.load();
        let now = self.core.now();
        let stalled = self.targets_to_probe(&snapshot, now);
        let answers = stalled.iter().map(|target| self.all_members_ready(&snapshot, target));
        for (target, all_ready) in stalled.iter().zip(join_all(answers).await) {
            self.record_probe(&snapshot, target, all_ready);
        }
    }

    /// Returns the groups that are stalled and those with a member that was unavailable when last
    /// probed.
    fn targets_to_probe(&mut self, snapshot: &RoutingSnapshot, now: Tick) -> Vec<Arc<RouteTarget>> {
        let mut token_gaps = HashMap::new();
        let mut stalled = Vec::new();
        for target in snapshot.groups.targets() {
            let counters = &target.counters;
            if counters.has_unavailable_member() {
                stalled.push(target.clone());
                continue;
            }
            if counters.in_flight() == 0 {
                continue;
            }
            let key = (target.spec.group.clone(), target.spec.epoch);
            let last_token = counters.last_token();
            let known = self.token_gaps.get(&key).filter(|gap| gap.last_token == last_token);
            let gap = known.copied().unwrap_or(TokenGap { last_token, since: now });
            if now.since(gap.since) >= STALL_TIMEOUT {
                stalled.push(target.clone());
            }
            token_gaps.insert(key, gap);
        }
        self.token_gaps = token_gaps;
        stalled
    }

    async fn all_members_ready(&self, snapshot: &RoutingSnapshot, target: &RouteTarget) -> bool {
        let Some(group) = find_group(snapshot, target) else { return false };
        let answers =
            group.members.iter().map(|member| self.is_member_ready(group, member.address));
        join_all(answers).await.into_iter().all(|ready| ready)
    }

    async fn is_member_ready(&self, group: &GroupRecord, address: SocketAddr) -> bool {
        match timeout(PROBE_TIMEOUT, self.port.state(address)).await {
            Ok(Ok(state)) => reports_ready(group, &state),
            // The host is up, but its answer cannot be parsed, so the member counts as ready.
            Ok(Err(EngineError::Unreadable { .. })) => true,
            Ok(Err(EngineError::Unreachable { .. } | EngineError::Unknown { .. })) | Err(_) => {
                false
            }
        }
    }

    fn record_probe(&mut self, snapshot: &RoutingSnapshot, target: &RouteTarget, all_ready: bool) {
        let was_unavailable = target.counters.has_unavailable_member();
        target.counters.set_member_unavailable(!all_ready);
        if was_unavailable == all_ready {
            let (group, epoch) = (&target.spec.group, target.spec.epoch);
            tracing::info!(%group, %epoch, whole = all_ready, "probed the members of a stalled group");
        }
        if was_unavailable && all_ready {
            self.wake_queued(snapshot, target);
        }
        self.token_gaps.remove(&(target.spec.group.clone(), target.spec.epoch));
    }

    fn wake_queued(&self, snapshot: &RoutingSnapshot, target: &RouteTarget) {
        if let Some(queue) = snapshot.queue(&target.spec.model) {
            queue.wake(target.spec.slots as usize);
        }
    }
}

fn find_group<'a>(snapshot: &'a RoutingSnapshot, target: &RouteTarget) -> Option<&'a GroupRecord> {
    let groups = snapshot.records.values().flat_map(|record| &record.groups);
    let spec = &target.spec;
    groups.into_iter().find(|group| group.group == spec.group && group.epoch == spec.epoch)
}

/// Whether an engine's state is ready for this group in this epoch.
fn reports_ready(group: &GroupRecord, state: &EngineState) -> bool {
    let order = state.order.as_ref();
    let same = order.is_some_and(|order| order.group == group.group && order.epoch == group.epoch);
    same && state.phase == EnginePhase::Ready
}
