//! The planner's record of one host.

use {
    super::{
        ledger::{ORDER_RETENTION, OrderLedger},
        types::{
            EngineState, GroupDeparture, MemberPhase, Membership, ObservationSource, OrderEnd,
            ProbeFailure, StagedCommand, StagedHost, StagedSettings,
        },
    },
    base::{Epoch, GroupId, ModelName, OrderCount, Tick},
    std::time::Duration,
};

/// How many orders an engine says to have accepted.
#[derive(Clone, Copy, Debug)]
struct CountReport {
    count: OrderCount,
    /// When it was asked; the count may be older.
    as_of: Tick,
}

impl CountReport {
    fn new(state: &EngineState, as_of: Tick) -> Option<Self> {
        state.accepted_orders.map(|count| Self { count, as_of })
    }
}

/// A load of a model outside any group, started by [`StagedCommand::Stage`].
#[derive(Clone, Debug)]
pub(super) struct RunningLoad {
    pub(super) model: ModelName,
    pub(super) since: Tick,
}

/// A host's entry in the host list, its engine's last known state, and the orders sent to it.
#[derive(Clone, Debug)]
pub(super) struct HostRecord {
    pub(super) entry: StagedHost,
    /// Whether the host still answered probes when it was listed as leaving or was delisted, or may
    /// have left while the list was out of date. Such a
    /// host finishes its requests after it has stopped listening.
    leaves_gracefully: bool,
    /// When the list first showed that the host has announced its leave.
    announced_at: Option<Tick>,
    pub(super) state: Option<EngineState>,
    /// How many orders the engine had accepted in the present `state`; `None` if it has not said so since the
    /// state or an order of this owner may have changed it.
    order_count: Option<CountReport>,
    /// Whether the engine says how many orders it has accepted.
    says_count: bool,
    /// Time as of which the present `state` was first reported.
    state_changed_at: Tick,
    /// When the last answered probe was sent.
    pub(super) last_answered: Option<Tick>,
    /// Whether an answer of the engine's present boot gave the state or agreed with it. The host list
    /// of a new owner may be behind.
    confirmed: bool,
    /// When the first of the probes was sent that have failed since the last answer.
    unanswered_since: Option<Tick>,
    failed_probes: u32,
    refused: bool,
    /// Whether a probe since the last answer was inconclusive.
    unsure: bool,
    /// Whether a later start has answered at the host's address since the last answer.
    replaced: bool,
    pub(super) orders: OrderLedger,
    /// Model of the last group that the engine finished joining since its start, or of a prewarming
    /// group that exceeded its time limit. The engine joins another group of that model fast.
    pub(super) last_group_model: Option<ModelName>,
    /// Load that was ordered and whose end is not known yet. Ends when the model is reported as
    /// staged, when the engine restarts, when the order was not sent, or after the load limit.
    pub(super) staging: Option<RunningLoad>,
}

/// Consecutive failed probes before a host is considered down. A single one may be a lost packet.
const DOWN_PROBES: u32 = 2;

impl HostRecord {
    pub(super) fn new(entry: StagedHost, now: Tick) -> Self {
        Self {
            leaves_gracefully: !entry.listed || entry.leaving,
            announced_at: entry.leaving.then_some(now),
            entry,
            state: None,
            order_count: None,
            says_count: false,
            state_changed_at: Tick(0),
            last_answered: None,
            confirmed: false,
            unanswered_since: None,
            failed_probes: 0,
            refused: false,
            unsure: false,
            replaced: false,
            orders: OrderLedger::default(),
            last_group_model: None,
            staging: None,
        }
    }

    /// Applies the host's entry in the host list; `None` if the list no longer holds one.
    pub(super) fn apply_listing(&mut self, entry: Option<&StagedHost>, now: Tick) {
        let stays = entry.is_some_and(|entry| entry.listed && !entry.leaving);
        let stayed = self.entry.listed && !self.entry.leaving;
        if stays {
            self.leaves_gracefully = false;
        } else if stayed {
            // A refused connection usually means that the engine has crashed. One that leaves also
            // stops listening, and goes on with its requests for some time.
            let unseen = entry.is_some_and(|entry| entry.may_leave_unseen) && self.refused;
            self.leaves_gracefully = self.failed_probes == 0 || unseen;
        }
        match entry {
            Some(entry) => self.entry = entry.clone(),
            None => self.entry.listed = false,
        }
        if self.entry.leaving {
            // By its own word, whatever probes say: its links may be harmed besides.
            self.leaves_gracefully = true;
            self.announced_at.get_or_insert(now);
        } else {
            self.announced_at = None;
        }
    }

    /// Records the engine's state, unless it may be older than the known one: reports of an earlier
    /// boot and answers to probes shortly after an order or a change are ignored.
    pub(super) fn observe(
        &mut self,
        source: ObservationSource,
        as_of: Tick,
        state: EngineState,
        settings: &StagedSettings,
    ) {
        if source == ObservationSource::Engine {
            self.last_answered = self.last_answered.max(Some(as_of));
            if self.unanswered_since.is_none_or(|since| as_of >= since) {
                self.clear_probe_failures();
            }
        }
        self.says_count |= state.accepted_orders.is_some();
        let restarted = self.state.as_ref().is_some_and(|known| known.boot_id < state.boot_id);
        let is_older = self.state.as_ref().is_some_and(|known| state.boot_id < known.boot_id);
        if is_older {
            return;
        }
        if restarted {
            self.confirmed = false;
            self.orders.clear();
            self.last_group_model = None;
            self.staging = None;
            self.clear_probe_failures();
        }
        let may_be_stale = source == ObservationSource::Engine
            && !restarted
            && self.state.is_some()
            && !self.is_settled(as_of, settings.answer_lag);
        let is_same = self.state.as_ref().is_some_and(|known| known.is_like(&state));
        if may_be_stale {
            self.confirmed |= is_same;
            if is_same && self.orders.newest().is_none_or(|newest| newest.sent <= as_of) {
                self.order_count = CountReport::new(&state, as_of);
            }
            return;
        }
        self.confirmed |= source == ObservationSource::Engine;
        if self.staging.as_ref().is_some_and(|load| state.staged.contains(&load.model)) {
            self.staging = None;
        }
        if !is_same {
            self.state_changed_at = as_of;
        }
        let joined = |membership: &Membership| membership.phase != MemberPhase::Joining;
        if state.membership.as_ref().is_some_and(joined) {
            self.last_group_model.clone_from(&state.model);
        }
        if !is_same || source == ObservationSource::Engine {
            self.order_count = CountReport::new(&state, as_of);
        }
        if let Some(Membership { group, epoch, .. }) = &state.membership
            && self.has_accepted_leave(group, *epoch)
        {
            // A join that was carried out late may have brought it back.
            self.forget_leave_order(&group.clone(), *epoch);
        }
        self.state = Some(state);
    }

    /// Records that an order is sent now.
    pub(super) fn record_order(&mut self, command: StagedCommand, now: Tick) {
        if !command.is_join() {
            self.order_count = None;
        }
        self.orders.record(command, now);
    }

    /// Records the outcome of the order that was sent at `sent`. An engine that has accepted the order to
    /// leave is out of the composition ahead of its own report.
    pub(super) fn note_end(&mut self, command: &StagedCommand, sent: Tick, end: OrderEnd) {
        self.orders.note_end(command, sent, end);
        if let StagedCommand::Leave { group, epoch } = command
            && end == OrderEnd::Accepted
            && self.is_in(group, *epoch)
        {
            self.clear_membership();
        }
        if command.is_join() && end == OrderEnd::Refused {
            // The count was an old one, or another order has been carried out since.
            self.order_count = None;
        }
        // The load is over only if the order never arrived: an engine that refuses is busy with
        // another load, and one that did not answer may be loading.
        if matches!(command, StagedCommand::Stage { .. }) && end == OrderEnd::NotSent {
            self.staging = None;
        }
    }

    /// Whether the host must not be ordered into a group before the number of orders that its engine has
    /// accepted is known: another join may be carried out first, and the order has to exclude that.
    /// `owned_since` is when the owner's term began.
    pub(super) fn awaits_order_count(&self, owned_since: Tick, now: Tick) -> bool {
        self.says_count && self.order_count.is_none() && self.may_join_late(owned_since, now)
    }

    /// The number of orders that the engine should have accepted before the next join. It may lag behind, so
    /// that the engine refuses the join; where no late join is to be excluded, only one that does not is
    /// named.
    pub(super) fn expected_orders(
        &self,
        owned_since: Tick,
        now: Tick,
        settings: &StagedSettings,
    ) -> Option<OrderCount> {
        let report = self.order_count?;
        let is_settled = self
            .orders
            .newest_but_joins()
            .is_none_or(|newest| report.as_of >= newest.sent + settings.answer_lag);
        (is_settled || self.may_join_late(owned_since, now)).then_some(report.count)
    }

    /// Whether an order that was not answered may still take the engine into a group.
    fn may_join_late(&self, owned_since: Tick, now: Tick) -> bool {
        self.orders.may_join_late(now) || self.may_obey_earlier_owner(owned_since, now)
    }

    /// Whether the engine's present boot has given or confirmed the state itself.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// The engine's membership in a group, by its last known state.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.state.as_ref()?.membership.as_ref()
    }

    /// Whether the engine reports to be in a composition.
    pub(super) fn is_in(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.membership().is_some_and(|present| present.group == *group && present.epoch == epoch)
    }

    /// Whether late orders may make the engine, which has left a composition of an earlier owner, its open head
    /// again. One that checks terms and has seen this owner's refuses them.
    pub(super) fn may_reopen_for_earlier_owner(
        &self,
        owned_since: Tick,
        now: Tick,
        settings: &StagedSettings,
    ) -> bool {
        let refuses = settings.terms_checked && self.orders.has_accepted();
        !refuses && self.may_obey_earlier_owner(owned_since, now)
    }

    /// Whether an order of an earlier owner may still take the engine into a group, or has done so since it
    /// reported its state: it has not joined a group of this owner yet.
    fn may_obey_earlier_owner(&self, owned_since: Tick, now: Tick) -> bool {
        !self.orders.has_joined() && now.since(owned_since) < ORDER_RETENTION
    }

    /// Whether the engine has accepted the last order to leave a composition.
    fn has_accepted_leave(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.leave_end(group, epoch) == Some(OrderEnd::Accepted)
    }

    /// How the last order to leave a composition has ended.
    pub(super) fn leave_end(&self, group: &GroupId, epoch: Epoch) -> Option<OrderEnd> {
        self.orders.leave(group, epoch)?.end
    }

    /// The host's departure from a composition, if that is the last one that it left.
    pub(super) fn left(&self, group: &GroupId, epoch: Epoch) -> Option<&GroupDeparture> {
        self.entry.left.as_ref().filter(|left| left.group == *group && left.epoch == epoch)
    }

    fn clear_membership(&mut self) {
        if let Some(state) = &mut self.state {
            state.membership = None;
            state.model = None;
        }
    }

    /// Forgets the order to leave a composition, so that it can be sent again.
    pub(super) fn forget_leave_order(&mut self, group: &GroupId, epoch: Epoch) {
        self.orders.forget(&StagedCommand::Leave { group: group.clone(), epoch });
    }

    /// Whether no new order was sent and the state did not change within `span` before `as_of`.
    fn is_settled(&self, as_of: Tick, span: Duration) -> bool {
        let ordered =
            self.orders.newest().is_some_and(|order| as_of.since(order.first_sent) < span);
        !ordered && as_of.since(self.state_changed_at) >= span
    }

    fn clear_probe_failures(&mut self) {
        self.unanswered_since = None;
        self.failed_probes = 0;
        self.refused = false;
        self.unsure = false;
        self.replaced = false;
    }

    pub(super) fn record_probe_failure(&mut self, probed_at: Tick, failure: ProbeFailure) {
        if self.last_answered.is_some_and(|answered| probed_at < answered) {
            return;
        }
        if failure == ProbeFailure::Inconclusive {
            self.unsure = true;
            return;
        }
        self.unanswered_since.get_or_insert(probed_at);
        self.failed_probes += 1;
        self.replaced |= failure == ProbeFailure::Replaced;
        self.refused |= failure == ProbeFailure::Refused || self.replaced;
    }

    /// Whether the engine is known to have ended, as a later start answers at its address.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Whether the host is considered down, so that its group is dissolved: [`DOWN_PROBES`] probes
    /// in a row have failed, and `down_after` has passed or a connection was refused.
    pub(super) fn is_down(&self, now: Tick, settings: &StagedSettings) -> bool {
        let unanswered = self.unanswered_since.is_some_and(|since| {
            self.failed_probes >= DOWN_PROBES && now.since(since) >= settings.down_after
        });
        unanswered || self.replaced || (self.refused && self.failed_probes >= DOWN_PROBES)
    }

    /// Whether the engine answered its last probe.
    pub(super) fn answers(&self) -> bool {
        self.last_answered.is_some() && self.failed_probes == 0
    }

    /// Whether the engine has given or confirmed its state, or does not answer.
    pub(super) fn was_asked(&self) -> bool {
        self.confirmed || self.failed_probes > 0 || self.unsure
    }

    /// Whether the host leaves as planned and stays, without listening, until the head of its group
    /// has finished its requests. A new owner can't tell a host that was delisted without notice
    /// from one that crashed, until it answers.
    pub(super) fn stays_for_requests(&self) -> bool {
        self.leaves_gracefully
            && !self.may_be_cut_off()
            && (self.entry.leaving || self.last_answered.is_some())
    }

    /// Whether its probes fail as those of a machine behind a partition do: without a refusal, and
    /// the engine has not announced that it leaves.
    fn may_be_cut_off(&self) -> bool {
        self.failed_probes >= DOWN_PROBES && !self.refused && !self.entry.leaving
    }

    /// Whether the host, as a head, has been out of reach for so long that its group may be broken
    /// through another member. One that may be leaving is left alone while it finishes its requests.
    pub(super) fn is_out_of_reach(&self, now: Tick, settings: &StagedSettings) -> bool {
        let after =
            if self.may_be_cut_off() { settings.down_after } else { settings.removed_after_leave };
        self.is_unanswered_for(after, now)
    }

    /// Whether no probe has been answered for `span`, nor since the host announced its leave.
    fn is_unanswered_for(&self, span: Duration, now: Tick) -> bool {
        let since = self.unanswered_since.max(self.announced_at);
        self.failed_probes >= DOWN_PROBES && since.is_some_and(|since| now.since(since) >= span)
    }

    /// Whether the host, as a head, may run requests although its report does not say so yet: it was
    /// ordered to open, or to close a moment after that.
    pub(super) fn may_run_unreported(
        &self,
        group: &GroupId,
        epoch: Epoch,
        now: Tick,
        settings: &StagedSettings,
    ) -> bool {
        let Some(last) = self.orders.newest_about(group, epoch) else { return false };
        let is_unreported = || {
            self.state_changed_at < last.first_sent
                && now.since(last.first_sent) < settings.order_retry
        };
        match &last.command {
            StagedCommand::Open { .. } => true,
            StagedCommand::Close { .. } => last.end != Some(OrderEnd::Refused) && is_unreported(),
            _ => false,
        }
    }

    /// Whether the engine of a delisted host has ended: its address refuses connections, or it has
    /// announced that it leaves, and the time in which it may finish requests is over. One that is
    /// only silent may be cut off and still run requests.
    pub(super) fn has_ended(&self, now: Tick, settings: &StagedSettings) -> bool {
        (self.refused || self.entry.leaving) && self.is_dropped(now, settings)
    }

    /// Whether the record is not needed any more unless a composition has the host: delisted and
    /// unanswered for a while. The engine may still run.
    pub(super) fn is_dropped(&self, now: Tick, settings: &StagedSettings) -> bool {
        let after = if self.leaves_gracefully {
            settings.removed_after_leave
        } else {
            settings.removed_after
        };
        !self.entry.listed && self.is_unanswered_for(after, now)
    }

    /// Whether the host may join a new group: it is listed, stays, answered its last probe, and its
    /// state is the engine's own word.
    pub(super) fn is_usable(&self, now: Tick, settings: &StagedSettings) -> bool {
        self.entry.listed
            && !self.entry.leaving
            && self.state.is_some()
            && self.confirmed
            && self.failed_probes == 0
            && !self.unsure
            && !self.is_down(now, settings)
    }

    pub(super) fn has_staged(&self, model: &ModelName) -> bool {
        self.state.as_ref().is_some_and(|state| state.staged.contains(model))
    }
}
