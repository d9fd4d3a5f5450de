//! Closes and dissolves compositions, and determines when their members are free.

use {
    super::{
        composition::{ClosingProgress, Composition},
        planner::{StagedInput, StagedPlanner},
        types::{Membership, OrderEnd, StagedCommand},
    },
    base::{HostId, Tick},
};

impl StagedPlanner {
    pub(super) fn review_closing(
        &mut self,
        composition: &mut Composition,
        progress: &ClosingProgress,
        now: Tick,
    ) {
        if now.since(progress.since) >= self.settings.close_limit
            || self.has_lost_member(composition, now)
        {
            composition.dissolve();
            return;
        }
        let Some(head) = composition.head().cloned() else { return };
        let (group, epoch) = (composition.group.clone(), composition.epoch);
        let is_reported =
            self.membership(&head, composition).is_some_and(|membership| membership.may_run());
        let may_run = is_reported
            || self.hosts.get(&head).is_some_and(|record| {
                record.may_run_unreported(&group, epoch, now, &self.settings)
            });
        if may_run {
            self.order(&head, StagedCommand::Close { group, epoch }, now);
        } else {
            composition.dissolve();
        }
    }

    /// Orders the head out of a composition that is being dissolved. Returns true once no request
    /// can run in the composition, so that its members are free.
    pub(super) fn try_release(
        &mut self,
        composition: &Composition,
        input: &StagedInput<'_>,
    ) -> bool {
        let now = input.now;
        let Some(head) = composition.head().cloned() else {
            return self.is_headless(composition, input);
        };
        let Some(record) = self.hosts.get(&head) else { return true };
        let boot_id = record.state.as_ref().and_then(|state| state.boot_id);
        if record.is_removed(now, &self.settings) || boot_id != composition.boot_ids[0] {
            self.record_dissolved(composition, now);
            return true;
        }
        // A head that reports no membership gets the order too: a join or open may still be on its
        // way to it.
        let leave =
            StagedCommand::Leave { group: composition.group.clone(), epoch: composition.epoch };
        let reported = self.membership(&head, composition).is_some();
        let has_left = record.last_order.as_ref().is_some_and(|last| {
            // A refusal means that the head is not in the group, unless it reports that it is.
            let refused = last.end == Some(OrderEnd::Refused) && !reported;
            last.command == leave && (refused || last.end == Some(OrderEnd::Accepted))
        });
        if has_left {
            self.record_dissolved(composition, now);
            if let Some(record) = self.hosts.get_mut(&head) {
                record.clear_membership();
            }
            return true;
        }
        self.order(&head, leave, now);
        false
    }

    fn record_dissolved(&mut self, composition: &Composition, now: Tick) {
        self.dissolved.insert((composition.group.clone(), composition.epoch), now);
    }

    /// Orders free hosts to leave compositions that are dissolved. A later owner would not know
    /// that and would adopt the compositions that they still report.
    pub(super) fn remove_stale_members(&mut self, free: &[HostId], now: Tick) {
        for host in free {
            let state = self.hosts.get(host).and_then(|record| record.state.as_ref());
            let Some(membership) = state.and_then(|state| state.membership.clone()) else {
                continue;
            };
            if self.dissolved.contains_key(&(membership.group.clone(), membership.epoch)) {
                let Membership { group, epoch, .. } = membership;
                self.order(host, StagedCommand::Leave { group, epoch }, now);
            }
        }
    }

    /// Whether no unknown head can serve a composition without a known head: every listed host
    /// has reported its state, and every delisted host is considered removed.
    fn is_headless(&self, composition: &Composition, input: &StagedInput<'_>) -> bool {
        let now = input.now;
        if now.since(input.list_read_since) < self.settings.headless_wait {
            return false;
        }
        let mut listed = self.hosts.values().filter(|record| record.entry.listed);
        let all_known =
            listed.all(|record| record.state.is_some() && !record.is_down(now, &self.settings));
        let unlisted = self.hosts.values().filter(|record| !record.entry.listed);
        let mut maybe_running = unlisted.filter(|record| !record.is_removed(now, &self.settings));
        all_known && maybe_running.next().is_none() && composition.head().is_none()
    }
}
