//! One composition of a group: its members under one epoch.

use base::{Epoch, GroupId, HostId, ModelName, Tick};

/// The life of a composition. Each state holds only what matters in it; a composition never goes
/// back to an earlier state.
#[derive(Clone, Debug)]
pub(super) enum InstanceLife {
    /// Members are joining.
    Forming(FormingLife),
    /// A spare alone, which gets ready and leaves again.
    Priming(FormingLife),
    /// Every member was seen ready; the head is open or was told to open.
    Serving,
    /// The head finishes its work, for a member leaves.
    Closing(EndingLife),
    /// The head has to leave before a member may be used elsewhere.
    Retiring,
}

/// Members are joining.
#[derive(Clone, Debug)]
pub(super) struct FormingLife {
    pub(super) since: Tick,
    /// Members that were seen joining or ready, by place.
    pub(super) joined: Vec<bool>,
}

/// The composition ends.
#[derive(Clone, Debug)]
pub(super) struct EndingLife {
    pub(super) since: Tick,
}

/// One composition of a group.
#[derive(Clone, Debug)]
pub(super) struct GroupInstance {
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
    /// None for a composition found on engines of which the head is not known.
    pub(super) model: Option<ModelName>,
    /// Members by rank; a place is none where the member was not found.
    pub(super) members: Vec<Option<HostId>>,
    /// Start of each member's engine when it was chosen.
    pub(super) borns: Vec<Option<u64>>,
    pub(super) life: InstanceLife,
}

impl GroupInstance {
    pub(super) fn head(&self) -> Option<&HostId> {
        self.members.first().and_then(Option::as_ref)
    }

    pub(super) fn has(&self, host: &HostId) -> bool {
        self.members.iter().flatten().any(|member| member == host)
    }

    /// Puts a host into a place that is not known yet.
    pub(super) fn fill(&mut self, rank: usize, host: &HostId, born: Option<u64>) {
        if rank >= self.members.len() {
            self.members.resize(rank + 1, None);
            self.borns.resize(rank + 1, None);
        }
        if self.members[rank].is_none() {
            self.members[rank] = Some(host.clone());
            self.borns[rank] = born;
        }
    }

    pub(super) fn is_ending(&self) -> bool {
        matches!(self.life, InstanceLife::Closing(_) | InstanceLife::Retiring)
    }

    /// Whether the composition serves or will.
    pub(super) fn is_for_service(&self) -> bool {
        matches!(self.life, InstanceLife::Forming(_) | InstanceLife::Serving)
    }

    pub(super) fn retire(&mut self) {
        self.life = InstanceLife::Retiring;
    }

    pub(super) fn close(&mut self, now: Tick) {
        if !self.is_ending() {
            self.life = InstanceLife::Closing(EndingLife { since: now });
        }
    }
}
