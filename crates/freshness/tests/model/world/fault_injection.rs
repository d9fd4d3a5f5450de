//! Starts and ends faults in the simulated deployment.

use {
    super::{Event, Finding, OBSERVERS, World},
    crate::model::{faults::Fault, table::Change},
    freshness::RulePolicy,
};

impl<P: RulePolicy + Copy> World<P> {
    pub(super) fn fault(&mut self, fault: Fault) {
        let now = self.now_ms;
        match fault {
            Fault::Partition { sides, table_side, duration_ms } => {
                self.sides = Some((sides, table_side, now + duration_ms));
            }
            Fault::Freeze { host, duration_ms } => {
                self.hosts[host].frozen = self.hosts[host].process.is_some();
                self.events.push(now + duration_ms, Event::Thaw { host });
            }
            Fault::Restart { host } => self.restart(host),
            Fault::TableOutage { duration_ms } => self.table_outage_until = now + duration_ms,
            Fault::TableUnreachable { host, duration_ms } => {
                self.unreachable_until[host] = now + duration_ms
            }
            Fault::Slow { duration_ms } => self.slow_until = now + duration_ms,
            Fault::Change { host, answer_lost } => {
                self.lose_next_answer[host] = answer_lost;
                self.request_change(host, Change::Ticket);
            }
            Fault::PlannedStop { host, restart_after_ms } => {
                self.end(host, (host + 1) % (self.hosts.len() - OBSERVERS), restart_after_ms);
            }
            Fault::HostRemoved { host, by, restart_after_ms } => {
                self.end(host, by, restart_after_ms)
            }
            Fault::DeclaredDead { host, by } => {
                let process = self.hosts[host].process.as_ref();
                let me = process.map(|process| process.tracker.me().clone());
                if let Some(member) = me.filter(|_| host != by) {
                    self.request_change(by, Change::DeclareDead { member });
                }
            }
        }
    }

    pub(super) fn restart(&mut self, host: usize) {
        let before = self.hosts[host].process.take();
        let me = before.filter(|_| self.same_member).map(|process| process.tracker.me().clone());
        self.start(host, me);
    }

    /// Ends a process, lets host `by` remove it from the view, and starts a new process on the host
    /// after `restart_after_ms`.
    pub(super) fn end(&mut self, host: usize, by: usize, restart_after_ms: u64) {
        if self.same_member || host == by {
            return;
        }
        let Some(process) = self.hosts[host].process.take() else { return };
        self.hosts[host].frozen = false;
        self.hosts[host].queued_messages.clear();
        self.request_change(by, Change::End { member: process.tracker.me().clone() });
        self.events.push(self.now_ms + restart_after_ms, Event::StartAgain { host });
    }

    pub(super) fn start_again(&mut self, host: usize) {
        if self.hosts[host].process.is_none() {
            self.start(host, None);
        }
    }

    pub(super) fn request_change(&mut self, host: usize, change: Change) {
        if let Some(process) = self.hosts[host].process.as_mut() {
            process.pending_changes.push(change);
            self.read_table(host);
        }
    }

    pub(super) fn thaw(&mut self, host: usize) -> Result<(), Finding> {
        if !std::mem::take(&mut self.hosts[host].frozen) {
            return Ok(());
        }
        // A thawed process may first complete the action that it was about to take when it was frozen.
        self.check(host)?;
        for message in std::mem::take(&mut self.hosts[host].queued_messages) {
            self.deliver(host, message)?;
        }
        for (process_id, timer) in std::mem::take(&mut self.hosts[host].queued_timers) {
            self.timer(host, process_id, timer)?;
        }
        Ok(())
    }

    pub(super) fn heal(&mut self) -> Result<(), Finding> {
        self.sides = None;
        self.table_outage_until = 0;
        self.slow_until = 0;
        self.unreachable_until.fill(0);
        self.lose_next_answer.fill(false);
        for host in 0..self.hosts.len() {
            self.thaw(host)?;
            self.start_again(host);
        }
        Ok(())
    }
}
