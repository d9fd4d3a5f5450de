//! Picks a backend server for a request and queues the request while all of them are full.

use {
    crate::{
        admission_queue::{AdmissionQueue, WaitRequest},
        choice::{AvoidedTargets, ChosenTarget, can_choose_now, choose},
        core::{DEFAULT_RETRY_AFTER, GatewayCore},
        refusal::{Refusal, RefusalKind},
        request_context::RequestContext,
        snapshot::{KeyDigest, RoutingSnapshot},
    },
    base::{ModelName, Weight, WorkspaceId},
    route::{InFlightGuard, PrefixKey, RouteTarget, TargetList},
    std::{sync::Arc, time::Duration},
};

/// The kind of target that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A serving group.
    Group,
    /// A server of a plain service.
    Server,
}

/// Picks a target for each attempt of one request.
pub struct TargetPicker {
    /// Selects the list of targets to choose from.
    pub kind: TargetKind,
    /// Name of the model, or the class name of the service; selects targets and queue.
    pub class: ModelName,
    /// Digest of the caller's API key, which is checked again at each pick.
    pub digest: KeyDigest,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixKey>,
    /// Targets that are not tried again for this request.
    pub avoided: AvoidedTargets,
    /// Whether the request was admitted before; it then skips the queue on retries.
    admitted: bool,
}

/// A chosen target with a reserved slot.
pub struct PickedTarget {
    /// Where to dispatch the request.
    pub target: Arc<RouteTarget>,
    /// Snapshot that the target was chosen from. The choice is valid while its evidence is current.
    pub snapshot: Arc<RoutingSnapshot>,
    /// Frees the slot and admits the next queued request when dropped.
    pub slot: TargetSlot,
}

/// A slot of a target, held while a request is in flight there.
pub struct TargetSlot {
    in_flight: Option<InFlightGuard>,
    queue: Option<Arc<AdmissionQueue>>,
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        drop(self.in_flight.take());
        if let Some(queue) = &self.queue {
            queue.note_end();
        }
    }
}

impl TargetPicker {
    /// Creates a picker with no targets excluded.
    pub fn new(
        kind: TargetKind,
        class: ModelName,
        digest: KeyDigest,
        prefixes: Vec<PrefixKey>,
    ) -> Self {
        let avoided = AvoidedTargets::default();
        Self { kind, class, digest, prefixes, avoided, admitted: false }
    }

    /// Picks a target from the current snapshot, which may be newer than the request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its deadline passed, this gateway is isolated or may end before the
    /// deadline, the API key is no longer known, no target is open, or the request would wait too long
    /// in the queue.
    pub async fn pick(
        &mut self,
        core: &GatewayCore,
        context: &RequestContext,
    ) -> Result<PickedTarget, Refusal> {
        loop {
            if core.now() >= context.deadline {
                return Err(core.deadline_passed());
            }
            core.check_stop(context.deadline)?;
            let snapshot = core.current_state()?;
            let workspace = core.identify(&snapshot, &self.digest)?.workspace.id.clone();
            let queue = snapshot.queue(&self.class).cloned();
            let others_queued = queue.as_ref().is_some_and(|queue| queue.waiting() > 0);
            if self.admitted || !others_queued {
                match self.choose(core, &snapshot, &workspace) {
                    ChosenTarget::Target(target, snapshot) => {
                        self.admitted = true;
                        return Ok(picked(target, snapshot, queue));
                    }
                    ChosenTarget::Nothing => return Err(self.no_target(DEFAULT_RETRY_AFTER)),
                    ChosenTarget::Full => {}
                }
            }
            let Some(queue) = queue else { return Err(self.no_target(DEFAULT_RETRY_AFTER)) };
            let request = queue_request(core, context, &snapshot, workspace.clone());
            let has_free_slot = || self.has_free_slot(core, &workspace);
            let admitted = queue.wait(&request, has_free_slot);
            core.wait_unless_stopped(context.deadline, admitted).await??;
            self.admitted = true;
        }
    }

    /// Picks a target for a second attempt, beside the one at `present`, without waiting in the queue.
    ///
    /// A serving group is asked again, over a new connection, if no other one has room; a server of
    /// a plain service is not.
    pub fn pick_second(
        &self,
        core: &GatewayCore,
        context: &RequestContext,
        present: &RouteTarget,
    ) -> Option<PickedTarget> {
        core.check_stop(context.deadline).ok()?;
        let snapshot = core.current_state().ok()?;
        let workspace = core.identify(&snapshot, &self.digest).ok()?.workspace.id.clone();
        let queue = snapshot.queue(&self.class).cloned();
        let targets = self.targets(&snapshot, &workspace);
        let mut others_only = self.avoided.clone();
        others_only.add(present);
        let other = choose(core, &snapshot, targets, &self.prefixes, &others_only);
        let chosen = match (&other, self.kind) {
            (ChosenTarget::Full | ChosenTarget::Nothing, TargetKind::Group) => {
                choose(core, &snapshot, targets, &self.prefixes, &self.avoided)
            }
            _ => other,
        };
        match chosen {
            ChosenTarget::Target(target, snapshot) => Some(picked(target, snapshot, queue)),
            ChosenTarget::Full | ChosenTarget::Nothing => None,
        }
    }

    /// The refusal for a request without an open target; `wait` is sent as retry delay.
    pub fn no_target(&self, wait: Duration) -> Refusal {
        let what = match self.kind {
            TargetKind::Group => "serving group of",
            TargetKind::Server => "server of",
        };
        let detail = format!("no {what} `{}` takes the request now", self.class);
        Refusal::not_run(RefusalKind::NoTarget, detail).retry_after(wait)
    }

    fn choose(
        &self,
        core: &GatewayCore,
        snapshot: &Arc<RoutingSnapshot>,
        workspace: &WorkspaceId,
    ) -> ChosenTarget {
        let targets = self.targets(snapshot, workspace);
        choose(core, snapshot, targets, &self.prefixes, &self.avoided)
    }

    fn has_free_slot(&self, core: &GatewayCore, workspace: &WorkspaceId) -> bool {
        can_choose_now(self.targets(&core.state.load(), workspace), &self.avoided)
    }

    fn targets<'a>(
        &self,
        snapshot: &'a RoutingSnapshot,
        workspace: &WorkspaceId,
    ) -> Option<&'a TargetList> {
        match self.kind {
            TargetKind::Group => snapshot.group_list(&self.class, workspace),
            TargetKind::Server => snapshot.server_list(&self.class, workspace),
        }
    }
}

fn picked(
    target: Arc<RouteTarget>,
    snapshot: Arc<RoutingSnapshot>,
    queue: Option<Arc<AdmissionQueue>>,
) -> PickedTarget {
    let slot = TargetSlot { in_flight: Some(target.counters.start()), queue };
    PickedTarget { target, snapshot, slot }
}

fn queue_request(
    core: &GatewayCore,
    context: &RequestContext,
    snapshot: &RoutingSnapshot,
    workspace: WorkspaceId,
) -> WaitRequest {
    let spec = snapshot.cluster.desired.workspaces.get(&workspace);
    let queue_deadline = context.arrived + Duration::from_millis(core.settings.queue_limit_ms);
    WaitRequest {
        weight: spec.map_or(Weight(1.0), |spec| spec.share),
        workspace,
        priority: context.priority,
        arrived: context.arrived,
        until: context.deadline.min(queue_deadline),
    }
}
