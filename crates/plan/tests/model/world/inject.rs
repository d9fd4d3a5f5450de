//! Injects faults into the simulation and clears them.

use {
    crate::model::{
        fault::Fault,
        world::{Delivery, World, host_id},
    },
    base::{HostId, RatePerSecond, Tick},
    plan::{OrderOutcome, PlanInput},
    std::time::Duration,
};

impl World {
    /// Freezes the newest owner for `span`, after its step and just before it sends the orders.
    /// Does nothing if it is frozen or does not run rounds yet.
    pub(super) fn freeze_owner(&mut self, span: Duration) {
        let owner = self.owners.len() - 1;
        if self.owners[owner].frozen || !self.owners[owner].settled {
            return;
        }
        let hosts = self.hosts();
        let input = PlanInput {
            desired: &self.settings.desired,
            targets: &self.targets,
            hosts: &hosts,
            loads: RatePerSecond(20.0),
            now: self.now,
        };
        let held = self.owners[owner].planner.step(&input);
        let mut copies = Vec::with_capacity(held.len());
        for order in held {
            copies.push((self.note_sent(owner, &order), order));
        }
        self.owners[owner].held = copies;
        self.owners[owner].frozen = true;
        self.push(span, Delivery::Resume { owner });
    }

    /// Resumes a frozen owner where it stopped: it first sends the orders that passed the ownership
    /// check.
    pub(super) fn resume(&mut self, owner: usize) {
        self.owners[owner].frozen = false;
        self.owners[owner].steady_since = self.now;
        let held = std::mem::take(&mut self.owners[owner].held);
        let waiting: Vec<_> = self.owners[owner].waiting.values().cloned().collect();
        for (copy, order) in &held {
            self.send(owner, *copy, order.clone());
        }
        for (copy, order) in waiting.into_iter().filter(|waiting| !held.contains(waiting)) {
            let outcome = OrderOutcome::Unknown;
            self.push(Duration::ZERO, Delivery::Outcome { owner, copy, order, outcome });
        }
        self.push(Duration::from_millis(1), Delivery::Round { owner });
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        let count = self.settings.hosts;
        let pick = |index: u32| host_id(index % count);
        match fault {
            Fault::Kill { host, back_ms } => self.kill(&pick(host), back_ms, true, false),
            Fault::LoseMachine { host, back_ms } => self.kill(&pick(host), back_ms, true, true),
            Fault::RestartWithState { host } => {
                if let Some(engine) = self.engines.get_mut(&pick(host)) {
                    engine.restart_with_state();
                }
            }
            Fault::Freeze { host, ms } => {
                let until = self.now + Duration::from_millis(ms);
                if let Some(engine) = self.engines.get_mut(&pick(host)) {
                    engine.frozen_until = engine.frozen_until.max(until);
                }
                self.push(
                    Duration::from_millis(ms),
                    Delivery::HostBack { host: pick(host), restart: false },
                );
            }
            Fault::Partition { host, ms } => {
                let until = self.now + Duration::from_millis(ms);
                self.partitioned_until.insert(pick(host), until);
            }
            Fault::SlowLoads { host, ms } => {
                if let Some(engine) = self.engines.get_mut(&pick(host)) {
                    engine.load_time = Duration::from_millis(ms);
                }
            }
            Fault::DomainOutage { ms, restart } => {
                for index in 0..count {
                    self.kill(&host_id(index), ms, restart, true);
                }
            }
            Fault::Lossy { ms } => self.lossy_until = self.now + Duration::from_millis(ms),
            Fault::Duplicate { ms } => self.duplicates_until = self.now + Duration::from_millis(ms),
            Fault::FreezeOwner { ms } => self.freeze_owner(Duration::from_millis(ms)),
            Fault::TakeOver => self.add_owner(),
            Fault::Leave { host, leaving } => {
                if let Some(engine) = self.engines.get_mut(&pick(host)) {
                    engine.leaving = leaving;
                }
            }
            Fault::ChangeVersion { number } => {
                let version = base::ModelVersion::new(format!("v{number}")).expect("valid");
                for spec in self.settings.desired.group_sets.values_mut() {
                    spec.version = version.clone();
                }
            }
        }
    }

    pub(super) fn kill(&mut self, host: &HostId, back_ms: u64, restart: bool, machine: bool) {
        let Some(engine) = self.engines.get_mut(host) else { return };
        if !engine.up {
            return;
        }
        engine.up = false;
        engine.machine_lost = machine;
        let host = host.clone();
        self.push(Duration::from_millis(back_ms), Delivery::HostBack { host, restart });
    }

    /// Ends all faults: engines run again, and a frozen owner is replaced.
    pub fn clear_faults(&mut self) {
        self.lossy_until = Tick(0);
        self.duplicates_until = Tick(0);
        self.partitioned_until.clear();
        for engine in self.engines.values_mut() {
            engine.leaving = false;
            engine.frozen_until = Tick(0);
            engine.load_time = self.settings.load_time;
            if !engine.up {
                engine.restart();
                engine.up = true;
            }
        }
        let last = self.owners.len() - 1;
        if self.owners[last].frozen {
            self.add_owner();
        }
    }
}
