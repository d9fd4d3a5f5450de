//! Compositions: the planner's record of a group under one epoch, and its phases.

use base::{Epoch, GroupId, HostId, ModelName, Tick};

/// Phase of a composition, with the data that only this phase needs. A composition never returns to
/// an earlier phase.
#[derive(Clone, Debug)]
pub(super) enum CompositionPhase {
    /// The members have been ordered to join and are not all ready. Dissolved after the form limit.
    Forming(FormingProgress),
    /// A spare has been ordered into a group of its own, to get its model ready and leave again.
    Prewarming(FormingProgress),
    /// Every member has reported ready; the head is open or has been ordered to open.
    Serving,
    /// A member is about to leave; the head finishes its requests, until the close limit.
    Closing(ClosingProgress),
    /// The composition is being dissolved: its head has to leave before its members join other
    /// groups.
    Dissolving,
}

/// Progress of a composition whose members are joining.
#[derive(Clone, Debug)]
pub(super) struct FormingProgress {
    pub(super) since: Tick,
    /// By rank, whether the member has reported that it is in the composition.
    pub(super) joined: Vec<bool>,
}

/// Progress of a composition whose head finishes its requests.
#[derive(Clone, Debug)]
pub(super) struct ClosingProgress {
    pub(super) since: Tick,
}

/// A member that its head has lost, which breaks the head some time later even if nobody can reach
/// it.
#[derive(Clone, Debug)]
pub(super) struct MemberLoss {
    pub(super) member: HostId,
    /// A time at which the member was out of the composition.
    pub(super) since: Tick,
}

/// What is known of the head of a dissolved composition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadEnd {
    /// It has ended, has started again or has left the composition.
    Known,
    /// It counts as broken or ended, and nobody has reached it, or it has left and orders of the past may be
    /// carried out late: it may be open.
    Presumed,
}

/// A composition that the planner has dissolved; engines may still report it.
#[derive(Clone, Debug)]
pub(super) struct DissolvedGroup {
    pub(super) since: Tick,
    pub(super) head_end: HeadEnd,
    /// The hosts that were its known members.
    members: Vec<HostId>,
}

impl DissolvedGroup {
    pub(super) fn new(composition: &Composition, head_end: HeadEnd, since: Tick) -> Self {
        Self { since, head_end, members: composition.members.iter().flatten().cloned().collect() }
    }

    /// Whether a host that still reports the composition may join another one: it is known to have been a
    /// member, and the head has ended.
    pub(super) fn frees(&self, host: &HostId) -> bool {
        self.head_end == HeadEnd::Known && self.members.contains(host)
    }
}

/// The members of a group under one epoch.
#[derive(Clone, Debug)]
pub(super) struct Composition {
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
    /// `None` for an adopted composition if no engine reported the model.
    pub(super) model: Option<ModelName>,
    /// Members by rank; `None` where the member of an adopted composition is not known.
    pub(super) members: Vec<Option<HostId>>,
    /// By rank, the boot id of the member's engine when it was chosen or found.
    pub(super) boot_ids: Vec<Option<u64>>,
    pub(super) phase: CompositionPhase,
    /// Loss that breaks a head which can't be ordered to leave.
    pub(super) loss: Option<MemberLoss>,
}

impl Composition {
    pub(super) fn head(&self) -> Option<&HostId> {
        self.members.first().and_then(Option::as_ref)
    }

    /// Whether the members at all ranks are known.
    pub(super) fn is_complete(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }

    pub(super) fn has(&self, host: &HostId) -> bool {
        self.members.iter().flatten().any(|member| member == host)
    }

    /// Sets the member at `rank` unless one is known already; adds ranks as needed.
    pub(super) fn fill_rank(&mut self, rank: usize, host: &HostId, boot_id: Option<u64>) {
        if rank >= self.members.len() {
            self.members.resize(rank + 1, None);
            self.boot_ids.resize(rank + 1, None);
        }
        if self.members[rank].is_none() {
            self.members[rank] = Some(host.clone());
            self.boot_ids[rank] = boot_id;
        }
    }

    pub(super) fn is_ending(&self) -> bool {
        matches!(self.phase, CompositionPhase::Closing(_) | CompositionPhase::Dissolving)
    }

    /// Whether the composition serves or is being formed to serve.
    pub(super) fn is_forming_or_serving(&self) -> bool {
        matches!(self.phase, CompositionPhase::Forming(_) | CompositionPhase::Serving)
    }

    pub(super) fn dissolve(&mut self) {
        self.phase = CompositionPhase::Dissolving;
    }

    pub(super) fn close(&mut self, now: Tick) {
        if !self.is_ending() {
            self.phase = CompositionPhase::Closing(ClosingProgress { since: now });
        }
    }
}
