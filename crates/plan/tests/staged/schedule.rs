//! Random events for a domain.

use {
    super::{DomainRig, HostFate},
    base::HostId,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
};

impl DomainRig {
    /// Plays random events for half a minute.
    pub(crate) fn run_schedule(&mut self, seed: u64, level: u32) {
        self.random = Pcg64Mcg::seed_from_u64(seed);
        self.add_hosts(9);
        self.run(Duration::from_secs(6));
        self.in_traffic = true;
        if level == 1 || level == 3 {
            self.lost_orders = 0.3;
        }
        for _ in 0..10 {
            self.random_event(level);
            let pause = self.random.random_range(100..4_000);
            self.run(Duration::from_millis(pause));
        }
    }

    fn random_event(&mut self, level: u32) {
        let place = self.random.random_range(0..self.hosts.len());
        let host = self.host(place);
        match self.random.random_range(0..10_u32) {
            0..=3 => self.set_fate(&host, HostFate::Dead),
            4 => self.bear_again(&host),
            5 if self.random.random_bool(0.5) => self.add_hosts(1),
            5 => self.cut(&host, HostFate::Lingers),
            6 | 7 if level >= 2 => self.replace_owner(),
            8 if level == 3 => self.cut(&host, HostFate::CutFromList),
            9 if level == 3 => self.cut(&host, HostFate::CutFromOwner),
            _ => {}
        }
    }

    fn bear_again(&mut self, host: &HostId) {
        let now = self.now;
        let host = self.hosts.get_mut(host).unwrap();
        if host.fate == HostFate::Dead {
            host.engine = host.engine.reborn();
            host.fate = HostFate::Well;
            host.fate_since = now;
        }
    }

    fn cut(&mut self, host: &HostId, fate: HostFate) {
        if self.hosts[host].fate == HostFate::Well {
            let heals = self.now + Duration::from_millis(self.random.random_range(500..9_000));
            self.set_fate(host, fate);
            self.hosts.get_mut(host).unwrap().heals = Some(heals);
        }
    }
}
