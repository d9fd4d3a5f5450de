//! The life cycle of a group as a typestate: forming, loading, serving, draining.

use {
    crate::types::{GroupView, LifecyclePhase, LoadCommand, MemberHost},
    base::{Epoch, GroupId, GroupSetName, HostId, Tick},
    conf::ticket::GroupSetSpec,
};

/// One member, bound to one run of its engine process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSlot {
    /// The host and its address.
    pub member: MemberHost,
    /// Boot id of the engine when it became a member; none while an adopted member has not
    /// reported.
    pub boot_id: Option<u64>,
}

/// The parts of a group that stay the same in all phases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupPlan {
    /// Group set that the group belongs to.
    pub set: GroupSetName,
    /// Load command that all members receive.
    pub load: LoadCommand,
    /// The members; the first one receives the requests.
    pub members: Vec<MemberSlot>,
}

impl GroupPlan {
    /// Creates the plan of a group of `spec` with these members.
    pub fn new(
        group: GroupId,
        epoch: Epoch,
        spec: &GroupSetSpec,
        members: Vec<MemberSlot>,
    ) -> Self {
        let load = LoadCommand {
            group,
            epoch,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapter: spec.adapter.clone(),
            members: members.iter().map(|slot| slot.member.clone()).collect(),
            slots: spec.slots_per_group,
        };
        Self { set: spec.name.clone(), load, members }
    }

    /// Whether the group matches the current `spec`; otherwise it is outdated.
    pub fn matches(&self, spec: &GroupSetSpec) -> bool {
        self.load.model == spec.model
            && self.load.version == spec.version
            && self.load.adapter == spec.adapter
            && self.load.slots == spec.slots_per_group
            && self.members.len() == spec.hosts_per_group as usize
    }

    /// Whether `host` is a member of the group.
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|slot| slot.member.host == *host)
    }
}

/// Hosts are assigned, but no member has answered its load order yet.
#[derive(Clone, Debug)]
pub struct Forming;

/// Members load the model, or the group waits for an unresponsive member.
#[derive(Clone, Debug)]
pub struct Loading {
    /// When the group entered this phase.
    pub since: Tick,
    /// When a member became unresponsive; none if all members respond.
    pub member_lost_at: Option<Tick>,
}

/// Every member has reported that it is ready in this group and epoch.
#[derive(Clone, Debug)]
pub struct Serving {
    /// When the group started to serve.
    pub since: Tick,
}

/// Members accept no new requests and finish those in flight.
#[derive(Clone, Debug)]
pub struct Draining {
    /// When the group started to drain.
    pub since: Tick,
}

/// A group in phase `S` of its life cycle.
#[derive(Clone, Debug)]
pub struct Group<S> {
    /// The parts that stay the same in all phases.
    pub plan: GroupPlan,
    /// Data of the current phase.
    pub state: S,
}

/// Proof that every member has reported that it is ready in the group and epoch. Only the planner's
/// member check can create it, so no other code can move a group to [`Serving`].
#[derive(Debug)]
pub struct ReadyProof(pub(crate) ());

impl Group<Forming> {
    /// Creates a group whose hosts have been assigned.
    pub fn new(plan: GroupPlan) -> Self {
        Self { plan, state: Forming }
    }

    /// Enters the loading phase once the first member has answered.
    pub fn start_loading(self, now: Tick) -> Group<Loading> {
        Group { plan: self.plan, state: Loading { since: now, member_lost_at: None } }
    }
}

impl Group<Loading> {
    /// Creates a group that a new owner found on the engines. `complete` says whether all members
    /// were reachable.
    pub fn adopted(plan: GroupPlan, now: Tick, complete: bool) -> Self {
        let member_lost_at = (!complete).then_some(now);
        Self { plan, state: Loading { since: now, member_lost_at } }
    }

    /// Enters the serving phase.
    pub fn start_serving(self, now: Tick, _proof: ReadyProof) -> Group<Serving> {
        Group { plan: self.plan, state: Serving { since: now } }
    }

    /// Records that a member became unresponsive; keeps the time of an earlier one.
    pub fn mark_member_lost(mut self, now: Tick) -> Self {
        self.state.member_lost_at.get_or_insert(now);
        self
    }

    /// Records that all members respond again.
    pub fn clear_member_lost(mut self) -> Self {
        self.state.member_lost_at = None;
        self
    }
}

impl Group<Serving> {
    /// Returns to the loading phase because a member became unresponsive; the group serves again
    /// when all members are ready.
    pub fn suspend(self, now: Tick) -> Group<Loading> {
        Group { plan: self.plan, state: Loading { since: now, member_lost_at: Some(now) } }
    }

    /// Enters the draining phase.
    pub fn drain(self, now: Tick) -> Group<Draining> {
        Group { plan: self.plan, state: Draining { since: now } }
    }
}

/// A group in any phase. A released group is removed from the planner, but its hosts are not free
/// until their engines are known to have left it.
#[derive(Clone, Debug)]
pub enum ActiveGroup {
    /// A group in phase [`Forming`].
    Forming(Group<Forming>),
    /// A group in phase [`Loading`].
    Loading(Group<Loading>),
    /// A group in phase [`Serving`].
    Serving(Group<Serving>),
    /// A group in phase [`Draining`].
    Draining(Group<Draining>),
}

impl ActiveGroup {
    /// The parts of the group that stay the same in all phases.
    pub fn plan(&self) -> &GroupPlan {
        match self {
            ActiveGroup::Forming(group) => &group.plan,
            ActiveGroup::Loading(group) => &group.plan,
            ActiveGroup::Serving(group) => &group.plan,
            ActiveGroup::Draining(group) => &group.plan,
        }
    }

    pub(crate) fn plan_mut(&mut self) -> &mut GroupPlan {
        match self {
            ActiveGroup::Forming(group) => &mut group.plan,
            ActiveGroup::Loading(group) => &mut group.plan,
            ActiveGroup::Serving(group) => &mut group.plan,
            ActiveGroup::Draining(group) => &mut group.plan,
        }
    }

    /// Current phase in the life cycle.
    pub fn phase(&self) -> LifecyclePhase {
        match self {
            ActiveGroup::Forming(_) => LifecyclePhase::Forming,
            ActiveGroup::Loading(_) => LifecyclePhase::Loading,
            ActiveGroup::Serving(_) => LifecyclePhase::Serving,
            ActiveGroup::Draining(_) => LifecyclePhase::Draining,
        }
    }

    /// When a member became unresponsive, if the group waits for one.
    pub fn member_lost_at(&self) -> Option<Tick> {
        match self {
            ActiveGroup::Loading(group) => group.state.member_lost_at,
            _ => None,
        }
    }

    /// View of the group, to be published.
    pub fn view(&self) -> GroupView {
        let plan = self.plan();
        GroupView { set: plan.set.clone(), phase: self.phase(), load: plan.load.clone() }
    }
}
