//! Checks of the guarantee after every event, and of recovery at the end of a run.

use {
    super::{Event, Finding, SETTLE_PERIOD_MS, World},
    freshness::RulePolicy,
};

impl<P: RulePolicy + Copy> World<P> {
    /// Periodically settles all trackers, and rechecks every host when a newer head is in force.
    pub(super) fn settle(&mut self) -> Result<(), Finding> {
        self.events.push(self.now_ms + SETTLE_PERIOD_MS, Event::Settle);
        let mut newest = self.in_force;
        for host in &mut self.hosts {
            let now = host.tick(self.now_ms);
            if let Some(process) = host.running() {
                newest = newest.max(process.tracker.settle(now));
            }
        }
        if newest > self.in_force {
            self.in_force = newest;
            self.in_force_changes += 1;
            for host in 0..self.hosts.len() {
                self.check(host)?;
            }
        }
        Ok(())
    }

    /// Fails if a running node is current on an older head than one that any node found in force.
    pub(super) fn check(&mut self, host: usize) -> Result<(), Finding> {
        let now = self.hosts[host].tick(self.now_ms);
        let (now_ms, mut in_force) = (self.now_ms, self.in_force);
        let Some(process) = self.hosts[host].running() else { return Ok(()) };
        in_force = in_force.max(process.tracker.in_force());
        let Some(evidence) = process.tracker.current(now) else { return Ok(()) };
        if process.held() >= in_force {
            self.in_force = in_force;
            return Ok(());
        }
        let held = process.held();
        Err(Finding::Stale(format!(
            "at {now_ms} ms h{host} is current on head {held} by {evidence:?} but {in_force} is in force"
        )))
    }

    /// Fails unless every host is running, is current on the newest head and has found the last
    /// change in force.
    pub(super) fn check_end(&mut self) -> Result<(), Finding> {
        let newest = self.table.state().number;
        if self.last_change.0 == 0 {
            return Err(Finding::NotRecovered("the last change was never committed".to_owned()));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let now = host.tick(self.now_ms);
            let Some(process) = host.process.as_ref() else {
                return Err(Finding::NotRecovered(format!("h{index} has no running process")));
            };
            let tracker = &process.tracker;
            if tracker.current(now).is_none() || process.held() != newest {
                let held = process.held();
                return Err(Finding::NotRecovered(format!(
                    "h{index} holds {held} or is isolated, newest is {newest}"
                )));
            }
            if tracker.in_force() < self.last_change {
                let (in_force, last) = (tracker.in_force(), self.last_change);
                return Err(Finding::NotRecovered(format!(
                    "h{index}: in force is {in_force}, expected {last}"
                )));
            }
        }
        Ok(())
    }
}
