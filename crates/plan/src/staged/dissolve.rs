//! How compositions end, and when their members are free.

use {
    super::{
        composition::{EndingLife, GroupInstance},
        planner::{StagedInput, StagedPlanner},
        types::{Membership, OrderEnd, StagedCommand},
    },
    base::{HostId, Tick},
};

impl StagedPlanner {
    pub(super) fn review_closing(
        &mut self,
        instance: &mut GroupInstance,
        life: &EndingLife,
        now: Tick,
    ) {
        if now.since(life.since) >= self.settings.close_limit || self.has_lost_member(instance, now)
        {
            instance.retire();
            return;
        }
        let Some(head) = instance.head().cloned() else { return };
        match self.membership(&head, instance) {
            Some(membership) if membership.may_run() => {
                let command =
                    StagedCommand::Close { group: instance.group.clone(), epoch: instance.epoch };
                self.order(&head, command, now);
            }
            _ => instance.retire(),
        }
    }

    /// Orders the head of an ending composition out of it; true once no request can run there.
    pub(super) fn is_retired(&mut self, instance: &GroupInstance, input: &StagedInput<'_>) -> bool {
        let now = input.now;
        let Some(head) = instance.head().cloned() else {
            return self.is_headless(instance, input);
        };
        let Some(record) = self.hosts.get(&head) else { return true };
        let born = record.facts.as_ref().and_then(|facts| facts.born);
        if record.is_gone(now, &self.settings) || born != instance.borns[0] {
            self.note_ended(instance, now);
            return true;
        }
        // An order to join or open may still be on its way to a head that shows no membership.
        let leave = StagedCommand::Leave { group: instance.group.clone(), epoch: instance.epoch };
        let shown = self.membership(&head, instance).is_some();
        let left = record.last.as_ref().is_some_and(|last| {
            // A refusal means that the head is not in the group, unless it says so itself.
            let refused = last.end == Some(OrderEnd::Refused) && !shown;
            last.command == leave && (refused || last.end == Some(OrderEnd::Accepted))
        });
        if left {
            self.note_ended(instance, now);
            if let Some(record) = self.hosts.get_mut(&head) {
                record.forget_membership();
            }
            return true;
        }
        self.order(&head, leave, now);
        false
    }

    fn note_ended(&mut self, instance: &GroupInstance, now: Tick) {
        self.ended.insert((instance.group.clone(), instance.epoch), now);
    }

    /// Orders free hosts out of compositions that have ended, so that another owner, which does not
    /// know of the end, finds them free.
    pub(super) fn clear_leftovers(&mut self, free: &[HostId], now: Tick) {
        for host in free {
            let facts = self.hosts.get(host).and_then(|record| record.facts.as_ref());
            let Some(membership) = facts.and_then(|facts| facts.membership.clone()) else {
                continue;
            };
            if self.ended.contains_key(&(membership.group.clone(), membership.epoch)) {
                let Membership { group, epoch, .. } = membership;
                self.order(host, StagedCommand::Leave { group, epoch }, now);
            }
        }
    }

    /// Whether no host of the domain is the head of a composition of which only others were found.
    fn is_headless(&self, instance: &GroupInstance, input: &StagedInput<'_>) -> bool {
        let now = input.now;
        if now.since(input.reads_since) < self.settings.headless_wait {
            return false;
        }
        let mut listed = self.hosts.values().filter(|record| record.entry.listed);
        let all_known =
            listed.all(|record| record.facts.is_some() && !record.is_lost(now, &self.settings));
        let unlisted = self.hosts.values().filter(|record| !record.entry.listed);
        let mut hidden = unlisted.filter(|record| !record.is_gone(now, &self.settings));
        all_known && hidden.next().is_none() && instance.head().is_none()
    }
}
