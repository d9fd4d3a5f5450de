//! Asks the members of a group that went quiet whether all of them are there.
//!
//! The owner of a fabric domain watches its groups, but an owner can be paused or cut off just when
//! a member is lost, and until its successor stands nobody else would notice. A gateway whose
//! requests at a group get no token any more asks the members itself, and sends the group nothing
//! new until every one says again that it is ready. Groups that give tokens cost no question.

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

/// Time between two looks at the groups.
const ROUND: Duration = Duration::from_millis(250);
/// Time without a token, with requests in flight, after which the members are asked.
const QUIET_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest wait for a member's answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// What was last seen of a group with requests in flight.
#[derive(Clone, Copy, Debug)]
struct QuietSpan {
    last_token: Tick,
    since: Tick,
}

/// Watches the groups that this gateway sends requests to.
pub struct MemberWatch {
    core: Arc<GatewayCore>,
    port: Arc<dyn EngineReports>,
    spans: HashMap<(GroupId, Epoch), QuietSpan>,
}

impl MemberWatch {
    /// A watch that has seen nothing yet.
    pub fn new(core: Arc<GatewayCore>, port: Arc<dyn EngineReports>) -> Self {
        Self { core, port, spans: HashMap::new() }
    }

    /// Watches until cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(ROUND);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.look().await,
            }
        }
    }

    /// Looks at every group once.
    pub async fn look(&mut self) {
        let snapshot = self.core.state.load();
        let now = self.core.now();
        let quiet = self.quiet_targets(&snapshot, now);
        let answers = quiet.iter().map(|target| self.is_whole(&snapshot, target));
        for (target, whole) in quiet.iter().zip(join_all(answers).await) {
            self.take_answer(&snapshot, target, whole);
        }
    }

    /// Groups to ask about: those whose requests got no token for too long, and stalled ones.
    fn quiet_targets(&mut self, snapshot: &RoutingSnapshot, now: Tick) -> Vec<Arc<RouteTarget>> {
        let mut spans = HashMap::new();
        let mut quiet = Vec::new();
        for target in snapshot.groups.targets() {
            let counters = &target.counters;
            if counters.has_unavailable_member() {
                quiet.push(target.clone());
                continue;
            }
            if counters.in_flight() == 0 {
                continue;
            }
            let key = (target.spec.group.clone(), target.spec.epoch);
            let last_token = counters.last_token();
            let known = self.spans.get(&key).filter(|span| span.last_token == last_token);
            let span = known.copied().unwrap_or(QuietSpan { last_token, since: now });
            if now.since(span.since) >= QUIET_LIMIT {
                quiet.push(target.clone());
            }
            spans.insert(key, span);
        }
        self.spans = spans;
        quiet
    }

    async fn is_whole(&self, snapshot: &RoutingSnapshot, target: &RouteTarget) -> bool {
        let Some(group) = find_group(snapshot, target) else { return false };
        let answers = group.members.iter().map(|member| self.has_member(group, member.address));
        join_all(answers).await.into_iter().all(|there| there)
    }

    async fn has_member(&self, group: &GroupRecord, address: SocketAddr) -> bool {
        match timeout(ANSWER_LIMIT, self.port.state(address)).await {
            Ok(Ok(state)) => is_ready(group, &state),
            // The host is there, and does not say what it does.
            Ok(Err(EngineError::Unreadable { .. })) => true,
            Ok(Err(EngineError::Unreachable { .. } | EngineError::Unknown { .. })) | Err(_) => {
                false
            }
        }
    }

    fn take_answer(&mut self, snapshot: &RoutingSnapshot, target: &RouteTarget, whole: bool) {
        let was_stalled = target.counters.has_unavailable_member();
        target.counters.set_member_unavailable(!whole);
        if was_stalled == whole {
            let (group, epoch) = (&target.spec.group, target.spec.epoch);
            tracing::info!(%group, %epoch, whole, "the members of a quiet group were asked");
        }
        if was_stalled && whole {
            self.wake_waiting(snapshot, target);
        }
        self.spans.remove(&(target.spec.group.clone(), target.spec.epoch));
    }

    fn wake_waiting(&self, snapshot: &RoutingSnapshot, target: &RouteTarget) {
        if let Some(room) = snapshot.room(&target.spec.model) {
            room.wake(target.spec.slots as usize);
        }
    }
}

fn find_group<'a>(snapshot: &'a RoutingSnapshot, target: &RouteTarget) -> Option<&'a GroupRecord> {
    let groups = snapshot.records.values().flat_map(|record| &record.groups);
    let spec = &target.spec;
    groups.into_iter().find(|group| group.group == spec.group && group.epoch == spec.epoch)
}

/// Whether a member says that it is ready with this group and epoch.
fn is_ready(group: &GroupRecord, state: &EngineState) -> bool {
    let order = state.order.as_ref();
    let same = order.is_some_and(|order| order.group == group.group && order.epoch == group.epoch);
    same && state.phase == EnginePhase::Ready
}
