//! The orders that were sent to one host, with their outcomes.

use {
    super::types::{OrderEnd, StagedCommand, StagedSettings},
    base::{Epoch, GroupId, Tick},
    std::time::Duration,
};

/// How long an order is remembered after it was last sent. Longer than an engine may take to carry out an
/// order that it has not answered.
const ORDER_RETENTION: Duration = Duration::from_secs(60);

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

/// The last order of each command that was sent to a host since its engine started, in the order in which
/// they were last sent. Two groups with one member give it orders in turn, and neither group's order hides
/// the outcome of the other's.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLedger {
    orders: Vec<SentOrder>,
}

impl OrderLedger {
    /// Records that a command is sent now, for the first time or again.
    pub(super) fn record(&mut self, command: StagedCommand, now: Tick) {
        let repeated = self.newest().filter(|newest| newest.command == command);
        let first_sent = repeated.map_or(now, |newest| newest.first_sent);
        self.orders
            .retain(|order| order.command != command && now.since(order.sent) < ORDER_RETENTION);
        self.orders.push(SentOrder { command, first_sent, sent: now, end: None });
    }

    /// Records the outcome of the copy of a command that was sent at `sent`, unless it was sent again since.
    pub(super) fn note_end(&mut self, command: &StagedCommand, sent: Tick, end: OrderEnd) {
        let order = self.orders.iter_mut().find(|order| order.command == *command);
        if let Some(order) = order.filter(|order| order.sent == sent) {
            order.end = Some(end);
        }
    }

    /// Forgets a command, so that it can be sent again at once.
    pub(super) fn forget(&mut self, command: &StagedCommand) {
        self.orders.retain(|order| order.command != *command);
    }

    /// Forgets all orders, as the engine has started again.
    pub(super) fn clear(&mut self) {
        self.orders.clear();
    }

    /// The order that was sent last.
    pub(super) fn newest(&self) -> Option<&SentOrder> {
        self.orders.last()
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
