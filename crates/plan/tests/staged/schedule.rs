//! Random events for the rig of a fabric domain.

use {
    super::{DomainRig, HostCondition, STEP},
    base::HostId,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
};

/// How much trouble a schedule has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduleTrouble {
    /// Number of random events.
    pub(crate) events: u32,
    /// Probability that an order is delivered late, at the levels that have late orders.
    pub(crate) late_orders: f64,
    /// Delay after which the host list shows a change of an engine's state.
    pub(crate) list_lag: Duration,
    /// Age of what engines answer to probes.
    pub(crate) report_lag: Duration,
}

impl Default for ScheduleTrouble {
    fn default() -> Self {
        Self { events: 10, late_orders: 0.3, list_lag: STEP, report_lag: Duration::ZERO }
    }
}

impl ScheduleTrouble {
    /// Long schedules in which half of the orders are late, and what is known of engines is old.
    pub(crate) fn heavy() -> Self {
        Self {
            events: 22,
            late_orders: 0.5,
            list_lag: Duration::from_millis(350),
            report_lag: Duration::from_millis(300),
        }
    }
}

impl DomainRig {
    /// Plays random events, up to 4 s apart, on nine hosts at first. The level sets which
    /// faults occur:
    ///
    /// - 0: hosts crash, restart, are added and leave;
    /// - 1: also, some of the orders are delivered 2 to 12 s late, and the owner learns no outcome
    ///   of them;
    /// - 2: as 0, and the owner changes;
    /// - 3: as 1, the owner changes, and hosts are cut off from the host list or from the owner;
    /// - 4: as 2, and hosts are cut off from the host list, from the owner, or from both;
    /// - 5: as 4, with the late orders of 1.
    ///
    /// A late order is dropped only if its host is dead when it is due.
    pub(crate) fn run_schedule(&mut self, seed: u64, level: u32, trouble: ScheduleTrouble) {
        self.random = Pcg64Mcg::seed_from_u64(seed);
        self.add_hosts(9);
        self.run(Duration::from_secs(6));
        self.in_traffic = true;
        self.list_lag = trouble.list_lag;
        self.report_lag = trouble.report_lag;
        if matches!(level, 1 | 3 | 5) {
            self.late_order_probability = trouble.late_orders;
        }
        for _ in 0..trouble.events {
            self.random_event(level);
            let pause = self.random.random_range(100..4_000);
            self.run(Duration::from_millis(pause));
        }
    }

    /// Ends all trouble but that hosts which have ended stay so, and runs until late orders have arrived and
    /// the hosts that are left can have loaded their models and formed their groups.
    pub(crate) fn end_trouble(&mut self) {
        self.late_order_probability = 0.0;
        let (now, mut ended) = (self.now, Vec::new());
        for (id, host) in &mut self.hosts {
            match host.condition {
                HostCondition::Dead | HostCondition::Crashed => {}
                HostCondition::Leaving | HostCondition::LeavingUnseen | HostCondition::Draining => {
                    ended.push(id.clone());
                }
                _ => {
                    host.condition = HostCondition::Healthy;
                    host.condition_since = now;
                }
            }
            host.condition_ends = None;
        }
        for id in ended {
            self.set_condition(&id, HostCondition::Dead);
        }
        self.run(Duration::from_secs(75));
    }

    /// Number of hosts that run.
    pub(crate) fn healthy_hosts(&self) -> usize {
        self.hosts.values().filter(|host| host.condition == HostCondition::Healthy).count()
    }

    fn random_event(&mut self, level: u32) {
        let index = self.random.random_range(0..self.hosts.len());
        let host = self.host(index);
        match self.random.random_range(0..10_u32) {
            0..=3 => self.set_condition(&host, HostCondition::Dead),
            4 => self.restart_host(&host),
            5 if self.random.random_bool(0.5) => self.add_hosts(1),
            5 => self.set_temporary_condition(&host, HostCondition::Leaving),
            6 | 7 if level >= 2 => self.replace_owner(),
            8 if level >= 4 => self.cut_off(&host),
            9 if level >= 4 => self.cut_off_in_steps(&host),
            8 if level == 3 => self.set_temporary_condition(&host, HostCondition::CutFromList),
            9 if level == 3 => self.set_temporary_condition(&host, HostCondition::CutFromOwner),
            _ => {}
        }
    }

    /// Cuts a host off from the list and the owner.
    fn cut_off(&mut self, host: &HostId) {
        self.set_temporary_condition(host, HostCondition::CutOff);
    }

    /// Cuts a host off from the list, and some time later from the owner too.
    fn cut_off_in_steps(&mut self, host: &HostId) {
        self.set_temporary_condition(host, HostCondition::CutFromList);
        let pause = self.random.random_range(100..4_000);
        self.run(Duration::from_millis(pause));
        if self.hosts[host].condition == HostCondition::CutFromList {
            // The host stays delisted from when its first cut began.
            self.hosts.get_mut(host).unwrap().condition = HostCondition::CutOff;
        }
    }

    fn restart_host(&mut self, host: &HostId) {
        let now = self.now;
        let host = self.hosts.get_mut(host).unwrap();
        if host.condition == HostCondition::Dead {
            host.engine = host.engine.restarted();
            host.condition = HostCondition::Healthy;
            host.condition_since = now;
            host.has_announced = false;
        }
    }

    fn set_temporary_condition(&mut self, host: &HostId, condition: HostCondition) {
        if self.hosts[host].condition == HostCondition::Healthy {
            let condition_ends =
                self.now + Duration::from_millis(self.random.random_range(500..9_000));
            self.set_condition(host, condition);
            self.hosts.get_mut(host).unwrap().condition_ends = Some(condition_ends);
        }
    }
}
