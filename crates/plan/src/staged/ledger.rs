//! The orders that were sent to one host, with their outcomes.
//!
//! An engine may carry out an order that it has not answered seconds later, after newer ones. What such an
//! order can still do is decided here: a late join takes a host back into a group that it has left.

use {
    super::types::{OrderEnd, StagedCommand, StagedSettings},
    base::{Epoch, GroupId, Tick},
    std::time::Duration,
};

/// How long an order is remembered after it was last sent. Longer than an engine may take to carry out an
/// order that it has not answered.
pub(super) const ORDER_RETENTION: Duration = Duration::from_secs(60);

/// Time after which the answer to an order counts as late. Engines answer within a few milliseconds.
const LATE_ANSWER: Duration = Duration::from_millis(100);

/// An order sent to a host, and its outcome: `None` until the caller reports it.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) command: StagedCommand,
    /// When the command was first sent. Earlier than `sent` if it has been repeated since, without
    /// another command in between.
    pub(super) first_sent: Tick,
    pub(super) sent: Tick,
    pub(super) end: Option<OrderEnd>,
}

impl SentOrder {
    /// This copy, if it is an order to join that has not been answered.
    fn unanswered_join(&self) -> Option<JoinCopy> {
        let StagedCommand::Join { epoch, .. } = &self.command else { return None };
        let is_answered = !matches!(self.end, None | Some(OrderEnd::Unknown));
        (!is_answered).then_some(JoinCopy { epoch: *epoch, sent: self.sent })
    }
}

/// The last order of each command that was sent to a host since its engine started, in the order in which
/// they were last sent. Two groups with one member give it orders in turn, and neither group's order hides
/// the outcome of the other's.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLedger {
    orders: Vec<SentOrder>,
    /// Orders to join that were sent again before they were answered.
    unanswered_joins: Vec<JoinCopy>,
    /// Epoch of the last join that the engine has accepted. It refuses joins of lower ones.
    joined_epoch: Option<Epoch>,
    /// Whether the engine has accepted any order.
    has_accepted: bool,
}

/// One copy of an order to join.
#[derive(Clone, Copy, Debug)]
struct JoinCopy {
    epoch: Epoch,
    sent: Tick,
}

impl OrderLedger {
    /// Records that a command is sent now, for the first time or again.
    pub(super) fn record(&mut self, command: StagedCommand, now: Tick) {
        let newest = self.newest().filter(|newest| newest.command == command);
        let first_sent = newest.map_or(now, |newest| newest.first_sent);
        let repeated = self.orders.iter().find(|order| order.command == command);
        self.unanswered_joins.extend(repeated.and_then(SentOrder::unanswered_join));
        self.unanswered_joins.retain(|copy| now.since(copy.sent) < ORDER_RETENTION);
        self.orders
            .retain(|order| order.command != command && now.since(order.sent) < ORDER_RETENTION);
        self.orders.push(SentOrder { command, first_sent, sent: now, end: None });
    }

    /// Records the outcome of the copy of a command that was sent at `sent`. If it was sent again since,
    /// only that this copy was answered. An order to an earlier start of the engine is not known any more.
    pub(super) fn note_end(&mut self, command: &StagedCommand, sent: Tick, end: OrderEnd) {
        let order = self.orders.iter_mut().find(|order| order.command == *command);
        let Some(order) = order else { return };
        if order.sent == sent {
            order.end = Some(end);
        }
        let is_accepted = end == OrderEnd::Accepted;
        self.has_accepted |= is_accepted;
        let StagedCommand::Join { epoch, .. } = command else { return };
        if end != OrderEnd::Unknown {
            self.unanswered_joins.retain(|copy| (copy.epoch, copy.sent) != (*epoch, sent));
        }
        if is_accepted {
            self.joined_epoch = self.joined_epoch.max(Some(*epoch));
        }
    }

    /// Forgets a command, so that it can be sent again at once.
    pub(super) fn forget(&mut self, command: &StagedCommand) {
        self.orders.retain(|order| order.command != *command);
    }

    /// Forgets all orders, as the engine has started again.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the engine has accepted an order.
    pub(super) fn has_accepted(&self) -> bool {
        self.has_accepted
    }

    /// Whether the engine has accepted an order to join, so that it refuses those under lower epochs.
    pub(super) fn has_joined(&self) -> bool {
        self.joined_epoch.is_some()
    }

    /// Whether an order to join a composition that was sent may still be carried out, as it is not answered
    /// and no later composition has been joined since.
    pub(super) fn may_join_late(&self, now: Tick) -> bool {
        self.late_joins(now).next().is_some()
    }

    /// Whether an order to join a composition of a higher epoch may still be carried out.
    pub(super) fn may_join_later(&self, epoch: Epoch, now: Tick) -> bool {
        self.late_joins(now).any(|copy| copy.epoch > epoch)
    }

    /// Whether late orders may make the engine an open head of a composition that it has left.
    pub(super) fn may_reopen(&self, group: &GroupId, epoch: Epoch, now: Tick) -> bool {
        self.find(&StagedCommand::Open { group: group.clone(), epoch }).is_some()
            && self.late_joins(now).any(|copy| copy.epoch == epoch)
    }

    fn late_joins(&self, now: Tick) -> impl Iterator<Item = JoinCopy> {
        let newest = self.orders.iter().filter_map(SentOrder::unanswered_join);
        let joined = self.joined_epoch;
        newest.chain(self.unanswered_joins.iter().copied()).filter(move |copy| {
            now.since(copy.sent) < ORDER_RETENTION && Some(copy.epoch) >= joined
        })
    }

    /// The order that was sent last.
    pub(super) fn newest(&self) -> Option<&SentOrder> {
        self.orders.last()
    }

    /// The order other than to join that was sent last.
    pub(super) fn newest_but_joins(&self) -> Option<&SentOrder> {
        self.orders.iter().rev().find(|order| !order.command.is_join())
    }

    /// The order about a composition that was sent last.
    pub(super) fn newest_about(&self, group: &GroupId, epoch: Epoch) -> Option<&SentOrder> {
        self.orders.iter().rev().find(|order| order.command.composition() == Some((group, epoch)))
    }

    /// The order to leave a composition, if it was sent.
    pub(super) fn leave(&self, group: &GroupId, epoch: Epoch) -> Option<&SentOrder> {
        self.find(&StagedCommand::Leave { group: group.clone(), epoch })
    }

    /// Whether `command` was sent a moment ago and its outcome is not known yet.
    pub(super) fn awaits_end(&self, command: &StagedCommand, now: Tick) -> bool {
        self.find(command)
            .is_some_and(|order| order.end.is_none() && now.since(order.sent) < LATE_ANSWER)
    }

    /// Whether `command` should be sent now: it has not been sent, or was `order_retry` ago, a quarter of it
    /// if the engine refused the order or did not get it.
    pub(super) fn is_due(
        &self,
        command: &StagedCommand,
        now: Tick,
        settings: &StagedSettings,
    ) -> bool {
        let Some(order) = self.find(command) else { return true };
        let pause = match order.end {
            Some(OrderEnd::NotSent | OrderEnd::Refused) => settings.order_retry / 4,
            _ => settings.order_retry,
        };
        now.since(order.sent) >= pause
    }

    fn find(&self, command: &StagedCommand) -> Option<&SentOrder> {
        self.orders.iter().find(|order| order.command == *command)
    }
}
