//! The life cycle of a group as a typestate: forming, loading, serving, draining.

use {
    crate::types::{GroupView, LifecyclePhase, LoadCommand, MemberHost},
    base::{Epoch, GroupId, GroupSetName, HostId, Tick},
    conf::ticket::GroupSetSpec,
};

/// A member of a group, bound to one run of its engine process: after a restart, the host no longer
/// counts as this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// The member's host and the address of its engine, as in the load command.
    pub member: MemberHost,
    /// Boot id of the engine when it became a member; none while an adopted member has not
    /// reported.
    pub boot_id: Option<u64>,
}

/// The parts of a group that stay the same in all phases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupPlan {
    /// Group set that the group belongs to; its ticket may have changed since the group was formed.
    pub set: GroupSetName,
    /// Load command that all members receive.
    pub load: LoadCommand,
    /// The members, in the order of the load command; the first one receives the requests.
    pub members: Vec<GroupMember>,
}

impl GroupPlan {
    /// Creates the plan of a group of `spec` with these members.
    pub fn new(
        group: GroupId,
        epoch: Epoch,
        spec: &GroupSetSpec,
        members: Vec<GroupMember>,
    ) -> Self {
        let load = LoadCommand {
            group,
            epoch,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapter: spec.adapter.clone(),
            members: members.iter().map(|group_member| group_member.member.clone()).collect(),
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

    /// Whether `host` is a member of the group, in whatever state its engine is.
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|group_member| group_member.member.host == *host)
    }
}

/// Data of [`LifecyclePhase::Forming`]: hosts are reserved for the group, but no member has joined
/// or answered its load order yet. An unresponsive member ends the group in this phase.
#[derive(Clone, Debug)]
pub struct Forming;

/// Data of [`LifecyclePhase::Loading`]: the group is not available for requests, because members
/// load the model or one of them is unresponsive. In the latter case the repair policy decides how
/// long to wait.
#[derive(Clone, Debug)]
pub struct Loading {
    /// When the group entered this phase; the load limit counts from here.
    pub since: Tick,
    /// When a member became unresponsive; none if all members respond.
    pub member_lost_at: Option<Tick>,
}

/// Data of [`LifecyclePhase::Serving`]: every member has reported that it is ready in this group
/// and epoch, and the group is available for requests.
#[derive(Clone, Debug)]
pub struct Serving {
    /// When the group last entered this phase; it may have been suspended before.
    pub since: Tick,
}

/// Data of [`LifecyclePhase::Draining`]: members accept no new requests and finish those in flight;
/// then the group is removed and its hosts are free for others.
#[derive(Clone, Debug)]
pub struct Draining {
    /// When the group started to drain; the drain limit counts from here.
    pub since: Tick,
}

/// A group in phase `S`: [`Forming`], [`Loading`], [`Serving`] or [`Draining`]. Each transition
/// consumes the group, so a transition that the life cycle lacks does not compile.
#[derive(Clone, Debug)]
pub struct Group<S> {
    /// The parts that stay the same in all phases.
    pub plan: GroupPlan,
    /// Data that only this phase needs.
    pub state: S,
}

/// Proof that every member has reported that it is ready in the group and epoch. Only the planner's
/// member check can create it, so no other code can move a group to [`Serving`].
#[derive(Debug)]
pub struct ReadyProof(pub(crate) ());

impl Group<Forming> {
    /// Creates a group of hosts that the planner has just assigned to it.
    pub fn new(plan: GroupPlan) -> Self {
        Self { plan, state: Forming }
    }

    /// Enters the loading phase; called once the first member has joined or answered its load
    /// order.
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

    /// Enters the serving phase, in which the group is available for requests.
    pub fn start_serving(self, now: Tick, _proof: ReadyProof) -> Group<Serving> {
        Group { plan: self.plan, state: Serving { since: now } }
    }

    /// Records that a member became unresponsive. While one is recorded already, its time stays.
    pub fn mark_member_lost(mut self, now: Tick) -> Self {
        self.state.member_lost_at.get_or_insert(now);
        self
    }

    /// Records that all members respond again, so that no repair is needed.
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

    /// Enters the draining phase, which a group never leaves for another.
    pub fn drain(self, now: Tick) -> Group<Draining> {
        Group { plan: self.plan, state: Draining { since: now } }
    }
}

/// A group in any phase. A released group is removed from the planner, but its hosts are not free
/// until their engines are known to have left it.
#[derive(Clone, Debug)]
pub enum ActiveGroup {
    /// No member is known to have joined; hosts are reserved.
    Forming(Group<Forming>),
    /// The group is not complete: a member loads or is unresponsive.
    Loading(Group<Loading>),
    /// The group is complete and available for requests.
    Serving(Group<Serving>),
    /// The group finishes its requests before it is removed.
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

    /// The phase, as it is published.
    pub fn phase(&self) -> LifecyclePhase {
        match self {
            ActiveGroup::Forming(_) => LifecyclePhase::Forming,
            ActiveGroup::Loading(_) => LifecyclePhase::Loading,
            ActiveGroup::Serving(_) => LifecyclePhase::Serving,
            ActiveGroup::Draining(_) => LifecyclePhase::Draining,
        }
    }

    /// When a member became unresponsive; `None` unless the group waits for one, which makes it
    /// broken for the repair policy.
    pub fn member_lost_at(&self) -> Option<Tick> {
        match self {
            ActiveGroup::Loading(group) => group.state.member_lost_at,
            _ => None,
        }
    }

    /// The group without the state that only its owner needs, to be published.
    pub fn view(&self) -> GroupView {
        let plan = self.plan();
        GroupView { set: plan.set.clone(), phase: self.phase(), load: plan.load.clone() }
    }
}
