//! Closes and dissolves compositions, and determines when their members are free.

use {
    super::{
        composition::{ClosingProgress, Composition, DissolvedGroup, HeadEnd, MemberLoss},
        host::HostRecord,
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
        composition: &mut Composition,
        input: &StagedInput<'_>,
    ) -> bool {
        let now = input.now;
        if self.has_no_members(composition, now) {
            // Members that come back are adopted again: the head may be open even now.
            return true;
        }
        let Some(head) = composition.head().cloned() else {
            let may_break = composition.loss.is_some() || self.has_looked_for_heads(input);
            return may_break && self.break_head(composition, now);
        };
        let Some(record) = self.hosts.get(&head) else {
            return self.break_head(composition, now);
        };
        let boot_id = record.state.as_ref().and_then(|state| state.boot_id);
        if boot_id != composition.boot_ids[0] || record.is_replaced() {
            self.record_dissolved(composition, HeadEnd::Known, now);
            return true;
        }
        if record.has_ended(now, &self.settings) {
            // An engine that runs may refuse connections too, for want of room.
            self.order_members_out(composition, now);
            self.record_dissolved(composition, HeadEnd::Presumed, now);
            return true;
        }
        let is_out_of_reach = record.is_out_of_reach(now, &self.settings);
        if self.has_left(composition, &head) {
            if self.may_reopen(composition, &head, now) {
                self.order_members_out(composition, now);
                self.record_dissolved(composition, HeadEnd::Presumed, now);
            } else {
                self.record_dissolved(composition, HeadEnd::Known, now);
            }
            return true;
        }
        // A head that reports no membership gets the order too: a join or open may still be on its
        // way to it.
        self.order(&head, leave_order(composition), now);
        (composition.loss.is_some() || is_out_of_reach) && self.break_head(composition, now)
    }

    /// Whether the host was ordered to leave the composition, and is out of it. A refusal means that it is
    /// not in it, unless it reports that it is.
    fn has_left(&self, composition: &Composition, host: &HostId) -> bool {
        let end = self
            .hosts
            .get(host)
            .and_then(|record| record.leave_end(&composition.group, composition.epoch));
        matches!(end, Some(OrderEnd::Accepted | OrderEnd::Refused))
            && self.membership(host, composition).is_none()
    }

    fn record_dissolved(&mut self, composition: &Composition, head_end: HeadEnd, since: Tick) {
        let key = (composition.group.clone(), composition.epoch);
        self.dissolved.insert(key, DissolvedGroup::new(composition, head_end, since));
    }

    /// Orders hosts in no composition to leave those that they report. A later owner would not know that
    /// these are dissolved and would adopt them.
    pub(super) fn remove_stale_members(&mut self, unassigned: &[HostId], now: Tick) {
        for host in unassigned {
            self.order_out_of_reported(host, now);
        }
    }

    /// Orders a host to leave the composition that it reports, if it reports one.
    pub(super) fn order_out_of_reported(&mut self, host: &HostId, now: Tick) {
        let reported = self.hosts.get(host).and_then(HostRecord::membership).cloned();
        if let Some(Membership { group, epoch, .. }) = reported {
            self.order(host, StagedCommand::Leave { group, epoch }, now);
        }
    }

    /// Whether a host that is in no known composition reports one whose head may be open: one that it heads
    /// itself, one that is dissolved and whose head may still be open, or one in which this planner does not
    /// know it.
    pub(super) fn must_leave_first(&self, host: &HostId) -> bool {
        self.hosts[host].membership().is_some_and(|membership| {
            let key = (membership.group.clone(), membership.epoch);
            let is_freed = self.dissolved.get(&key).is_some_and(|dissolved| dissolved.frees(host));
            !is_freed || membership.may_run()
        })
    }

    /// Whether this process has read the host list for long enough, and has asked each listed
    /// engine, to find the head of a composition that is in neither.
    fn has_looked_for_heads(&self, input: &StagedInput<'_>) -> bool {
        let mut listed = self.hosts.values().filter(|record| record.entry.listed);
        input.now.since(input.list_read_since) >= self.settings.headless_wait
            && listed.all(HostRecord::was_asked)
    }

    /// Whether every known member is delisted and out of reach, so that none waits to be free.
    fn has_no_members(&self, composition: &Composition, now: Tick) -> bool {
        composition.members.iter().flatten().all(|host| {
            self.hosts.get(host).is_none_or(|record| record.is_dropped(now, &self.settings))
        })
    }

    /// Breaks a head that can't be ordered to leave: orders another member out of the composition.
    /// Returns true once that has been so for the break time.
    fn break_head(&mut self, composition: &mut Composition, now: Tick) -> bool {
        self.check_loss(composition);
        if composition.loss.is_none() {
            composition.loss = self.find_loss(composition, now);
        }
        let Some(loss) = &composition.loss else {
            self.order_member_out(composition, now);
            return false;
        };
        let lacked = now.since(loss.since);
        if lacked >= self.settings.stall_time {
            // Early enough for them to be out when they are needed.
            self.order_members_out(composition, now);
        }
        let is_broken = lacked >= self.settings.break_time();
        if is_broken {
            self.record_dissolved(composition, HeadEnd::Presumed, now);
        }
        is_broken
    }

    /// Orders all reachable members out of a composition whose head may be open even when it counts as
    /// broken: an order to open that was carried out late starts its break time anew.
    fn order_members_out(&mut self, composition: &Composition, now: Tick) {
        for member in composition.members.iter().skip(1).flatten() {
            if self.is_reachable_member(composition, member) {
                self.order(member, leave_order(composition), now);
            }
        }
    }

    /// Orders a reachable member to leave, and another one if its answer is late: it may have been lost
    /// with the head.
    fn order_member_out(&mut self, composition: &Composition, now: Tick) {
        let leave = leave_order(composition);
        for member in composition.members.iter().skip(1).flatten() {
            if !self.is_reachable_member(composition, member) {
                continue;
            }
            let is_awaited = self.hosts[member].orders.awaits_end(&leave, now);
            if is_awaited || self.order(member, leave.clone(), now) {
                return;
            }
        }
    }

    /// Takes a loss back whose member is in the composition again, by a join that arrived late.
    fn check_loss(&mut self, composition: &mut Composition) {
        let Some(member) = composition.loss.as_ref().map(|loss| loss.member.clone()) else {
            return;
        };
        if self.membership(&member, composition).is_none() {
            return;
        }
        composition.loss = None;
        if let Some(record) = self.hosts.get_mut(&member) {
            record.forget_leave_order(&composition.group, composition.epoch);
        }
    }

    /// A member other than the head that is known to be out of the composition, the one of whom that
    /// has been known for longest.
    fn find_loss(&self, composition: &Composition, now: Tick) -> Option<MemberLoss> {
        if let Some(loss) = self.find_departure(composition) {
            return Some(loss);
        }
        let is_out = |rank: &usize| self.is_out(composition, *rank);
        let rank = (1..composition.members.len()).find(is_out)?;
        let member = composition.members[rank].clone()?;
        Some(MemberLoss { member, since: now })
    }

    /// The earliest loss that the host list showed. The engine itself must say that it is out of the
    /// composition, because the list may be behind.
    fn find_departure(&self, composition: &Composition) -> Option<MemberLoss> {
        let (group, epoch) = (&composition.group, composition.epoch);
        let departed = self.hosts.iter().filter_map(|(host, record)| {
            let left = record.left(group, epoch)?;
            let is_out = record.is_confirmed() && !record.is_in(group, epoch);
            is_out.then(|| MemberLoss { member: host.clone(), since: left.seen })
        });
        departed.min_by_key(|loss| loss.since)
    }

    /// Whether the engine of the member at `rank` has left, has restarted, or says itself that it is
    /// not in the composition.
    fn is_out(&self, composition: &Composition, rank: usize) -> bool {
        let Some(member) = &composition.members[rank] else { return false };
        let Some(record) = self.hosts.get(member) else { return false };
        let is_absent = record.is_confirmed() && self.membership(member, composition).is_none();
        is_absent || record.is_replaced() || self.has_left(composition, member)
    }

    fn is_reachable_member(&self, composition: &Composition, host: &HostId) -> bool {
        self.membership(host, composition).is_some()
            && self.hosts.get(host).is_some_and(HostRecord::answers)
    }
}

fn leave_order(composition: &Composition) -> StagedCommand {
    StagedCommand::Leave { group: composition.group.clone(), epoch: composition.epoch }
}
