//! A simulated engine: how it reacts to orders, and how long joins and loads take.

use {
    base::{Epoch, GroupId, HostId, ModelName, OrderCount, Term, Tick},
    plan::staged::{EngineState, MemberPhase, Membership, StagedCommand, StagedOrder},
    std::time::Duration,
};

/// Duration of a join whose model is staged.
const WARM_JOIN_TIME: Duration = Duration::from_millis(1_600);
/// Duration of a join if the engine's last group had the same model.
const PREWARMED_JOIN_TIME: Duration = Duration::from_millis(200);
/// Duration of a load, also as part of a join of a model that is not staged.
const LOAD_TIME: Duration = Duration::from_millis(4_000);

/// An engine's answer to an order; the rig turns it into the [`plan::staged::OrderEnd`] of the
/// same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Accepted,
    Refused,
    Outdated,
}

#[derive(Clone, Debug)]
struct GroupState {
    group: GroupId,
    epoch: Epoch,
    model: ModelName,
    members: Vec<HostId>,
    rank: u32,
    ready_at: Tick,
    phase: MemberPhase,
}

/// An engine with at most one staged model. A load replaces the one before.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedEngine {
    pub(crate) staged: Option<ModelName>,
    /// Duration of each join; if `None`, it depends on the staged model and the last group.
    pub(crate) join_time: Option<Duration>,
    boot_id: u64,
    /// Model of the last group in which the engine got ready since its start.
    last_group_model: Option<ModelName>,
    loading: Option<(ModelName, Tick)>,
    group_state: Option<GroupState>,
    /// The group that it has left last.
    left_group: Option<GroupState>,
    highest_epoch: Epoch,
    highest_term: Term,
    /// Number of orders since its start that began something.
    accepted_orders: OrderCount,
    hides_counts: bool,
    /// Whether it takes orders of earlier owners; it still refuses lower epochs.
    ignores_terms: bool,
    /// When the requests that run in the group that it heads end.
    busy_until: Tick,
    /// Since when the open group that it heads lacks a member.
    lacks_member_since: Option<Tick>,
}

impl SimulatedEngine {
    pub(crate) fn new(boot_id: u64) -> Self {
        Self {
            staged: None,
            join_time: None,
            boot_id,
            last_group_model: None,
            loading: None,
            group_state: None,
            left_group: None,
            highest_epoch: Epoch(0),
            highest_term: Term(0),
            accepted_orders: OrderCount(0),
            hides_counts: false,
            ignores_terms: false,
            busy_until: Tick(0),
            lacks_member_since: None,
        }
    }

    /// Lets the group that it heads, if that is open, run requests until `until` or longer.
    pub(crate) fn run_requests(&mut self, until: Tick) {
        let phase = self.group_state.as_ref().map(|state| state.phase);
        if phase == Some(MemberPhase::Open) {
            self.busy_until = self.busy_until.max(until);
        }
    }

    /// Whether requests run in the group that it heads.
    pub(crate) fn is_busy(&self, now: Tick) -> bool {
        self.serves() && now < self.busy_until
    }

    pub(crate) fn hiding_counts(self, hides_counts: bool) -> Self {
        Self { hides_counts, ..self }
    }

    pub(crate) fn ignoring_terms(self, ignores_terms: bool) -> Self {
        Self { ignores_terms, ..self }
    }

    /// The engine after a restart: it keeps only the staged weights and gets the next boot id.
    pub(crate) fn restarted(&self) -> Self {
        Self {
            staged: self.staged.clone(),
            hides_counts: self.hides_counts,
            ignores_terms: self.ignores_terms,
            ..Self::new(self.boot_id + 1)
        }
    }

    pub(crate) fn terminate(&mut self) {
        self.group_state = None;
        self.loading = None;
    }

    pub(crate) fn serves(&self) -> bool {
        let is_open_head = |state: &GroupState| {
            matches!(state.phase, MemberPhase::Open | MemberPhase::Closing) && state.rank == 0
        };
        self.group_state.as_ref().is_some_and(is_open_head)
    }

    /// Tells a serving head whether all members are in its group; it is broken once it has lacked one
    /// for `stall_time`.
    pub(crate) fn note_members(&mut self, is_whole: bool, now: Tick, stall_time: Duration) {
        if is_whole {
            self.lacks_member_since = None;
            return;
        }
        let since = *self.lacks_member_since.get_or_insert(now);
        if now.since(since) >= stall_time
            && let Some(state) = &mut self.group_state
        {
            state.phase = MemberPhase::Broken;
            self.lacks_member_since = None;
        }
    }

    /// Makes it a member of the group that it has left last again, in a phase.
    pub(crate) fn rejoin_left_group(&mut self, phase: MemberPhase) {
        let left = self.left_group.take().expect("a group that it has left");
        self.group_state = Some(GroupState { phase, ..left });
        // A join and an order to open.
        self.accepted_orders = self.accepted_orders.next().next();
    }

    pub(crate) fn is_loading(&self) -> bool {
        self.loading.is_some()
    }

    pub(crate) fn model(&self) -> Option<&ModelName> {
        self.group_state.as_ref().map(|state| &state.model)
    }

    pub(crate) fn members(&self) -> &[HostId] {
        self.group_state.as_ref().map_or(&[], |state| &state.members)
    }

    pub(crate) fn group(&self) -> Option<(GroupId, Epoch)> {
        self.group_state.as_ref().map(|state| (state.group.clone(), state.epoch))
    }

    pub(crate) fn reported_state(&self) -> EngineState {
        let membership = self.group_state.as_ref().map(|state| Membership {
            group: state.group.clone(),
            epoch: state.epoch,
            rank: state.rank,
            phase: state.phase,
        });
        EngineState {
            boot_id: Some(self.boot_id),
            membership,
            model: self.model().cloned(),
            staged: self.staged.iter().cloned().collect(),
            accepted_orders: (!self.hides_counts).then_some(self.accepted_orders),
        }
    }

    /// Ends loads and joins that are due; returns the composition in which the engine just got
    /// ready.
    pub(crate) fn advance(&mut self, now: Tick) -> Option<(GroupId, Epoch)> {
        if let Some((model, ends_at)) = self.loading.clone()
            && ends_at <= now
        {
            self.staged = Some(model);
            self.loading = None;
        }
        let state = self.group_state.as_mut()?;
        if state.phase == MemberPhase::Joining && state.ready_at <= now {
            state.phase = MemberPhase::Ready;
            self.staged = Some(state.model.clone());
            self.last_group_model = Some(state.model.clone());
            return Some((state.group.clone(), state.epoch));
        }
        if state.phase == MemberPhase::Closing && self.busy_until <= now {
            state.phase = MemberPhase::Ready;
        }
        None
    }

    /// Whether the engine would accept a join that replaces its present membership.
    pub(crate) fn would_accept_join(&self, order: &StagedOrder, term: Term) -> bool {
        let StagedCommand::Join { group, epoch, .. } = &order.command else { return false };
        let same = self.group() == Some((group.clone(), *epoch));
        let accepts = self.accepts_term(term) && self.is_as_expected(order);
        accepts && *epoch >= self.highest_epoch && !same
    }

    fn is_as_expected(&self, order: &StagedOrder) -> bool {
        order.expected.is_none_or(|expected| expected == self.accepted_orders)
    }

    fn accepts_term(&self, term: Term) -> bool {
        self.ignores_terms || term >= self.highest_term
    }

    pub(crate) fn handle_order(&mut self, order: &StagedOrder, term: Term, now: Tick) -> Reply {
        if !self.accepts_term(term) {
            return Reply::Outdated;
        }
        self.highest_term = self.highest_term.max(term);
        if !self.is_as_expected(order) {
            return Reply::Refused;
        }
        match &order.command {
            StagedCommand::Join { group, epoch, model, members } => {
                self.join(&order.host, group, *epoch, model, members, now)
            }
            StagedCommand::Open { group, epoch } => {
                self.change_phase(group, *epoch, MemberPhase::Ready, MemberPhase::Open)
            }
            StagedCommand::Close { group, epoch } => {
                let is_closing = self.group_state.as_ref().map(|state| state.phase)
                    == Some(MemberPhase::Closing);
                let end = if is_closing || self.is_busy(now) {
                    MemberPhase::Closing
                } else {
                    MemberPhase::Ready
                };
                self.change_phase(group, *epoch, MemberPhase::Open, end)
            }
            StagedCommand::Leave { group, epoch } => {
                if self.group() == Some((group.clone(), *epoch)) {
                    self.left_group = self.group_state.take();
                    self.accepted_orders = self.accepted_orders.next();
                }
                Reply::Accepted
            }
            StagedCommand::Stage { model } => {
                if self.loading.is_some() {
                    return Reply::Refused;
                }
                self.loading = Some((model.clone(), now + LOAD_TIME));
                self.accepted_orders = self.accepted_orders.next();
                Reply::Accepted
            }
        }
    }

    fn join(
        &mut self,
        own_id: &HostId,
        group: &GroupId,
        epoch: Epoch,
        model: &ModelName,
        members: &[HostId],
        now: Tick,
    ) -> Reply {
        if epoch < self.highest_epoch {
            return Reply::Outdated;
        }
        if self.group() == Some((group.clone(), epoch)) {
            let same = self.members() == members;
            return if same { Reply::Accepted } else { Reply::Outdated };
        }
        self.highest_epoch = epoch;
        self.accepted_orders = self.accepted_orders.next();
        self.lacks_member_since = None;
        let warm = self.staged.as_ref() == Some(model);
        let prewarmed = self.last_group_model.as_ref() == Some(model);
        let usual = match (prewarmed, warm) {
            (true, _) => PREWARMED_JOIN_TIME,
            (false, true) => WARM_JOIN_TIME,
            (false, false) => LOAD_TIME,
        };
        let time = self.join_time.unwrap_or(usual);
        let rank = members.iter().position(|member| member == own_id).unwrap_or(members.len());
        self.group_state = Some(GroupState {
            group: group.clone(),
            epoch,
            model: model.clone(),
            members: members.to_vec(),
            rank: rank as u32,
            ready_at: now + time,
            phase: MemberPhase::Joining,
        });
        Reply::Accepted
    }

    fn change_phase(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        from: MemberPhase,
        to: MemberPhase,
    ) -> Reply {
        let Some(state) = &mut self.group_state else { return Reply::Refused };
        if (&state.group, state.epoch) != (group, epoch) {
            return Reply::Refused;
        }
        if state.phase == to {
            return Reply::Accepted;
        }
        if state.phase != from {
            return Reply::Refused;
        }
        state.phase = to;
        self.accepted_orders = self.accepted_orders.next();
        Reply::Accepted
    }
}
