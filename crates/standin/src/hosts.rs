//! The host list: the truth, and the lagging picture that callers get.

use {
    crate::fault::HostListFaults,
    base::HostId,
    infra::{HostEntry, HostStanding},
    parking_lot::Mutex,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

struct HostCore {
    truth: Vec<HostEntry>,
    /// Earlier states of the truth, oldest first, each with the time it came about.
    states: VecDeque<(Instant, Vec<HostEntry>)>,
    faults: HostListFaults,
    frozen: Option<Vec<HostEntry>>,
}

/// The hosts and the lag of the list.
pub struct HostLedger {
    core: Mutex<HostCore>,
}

impl HostLedger {
    /// A list that shows `hosts` from the start.
    pub fn new(hosts: Vec<HostEntry>, faults: HostListFaults) -> Self {
        let states = VecDeque::from([(Instant::now(), hosts.clone())]);
        Self { core: Mutex::new(HostCore { truth: hosts, states, faults, frozen: None }) }
    }

    /// What callers see now.
    pub fn shown(&self) -> Vec<HostEntry> {
        self.core.lock().shown()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: HostListFaults) {
        let mut core = self.core.lock();
        core.frozen = match faults.frozen {
            true => Some(core.shown()),
            false => None,
        };
        core.faults = faults;
    }

    /// The faults.
    pub fn faults(&self) -> HostListFaults {
        self.core.lock().faults
    }

    /// Adds a host or replaces its line.
    pub fn put(&self, entry: HostEntry) {
        self.change(|truth| {
            truth.retain(|other| other.host != entry.host);
            truth.push(entry);
        });
    }

    /// Removes hosts.
    pub fn remove(&self, hosts: &[HostId]) {
        self.change(|truth| truth.retain(|entry| !hosts.contains(&entry.host)));
    }

    /// Marks hosts as leaving or as live.
    pub fn set_standing(&self, hosts: &[HostId], standing: HostStanding) {
        self.change(|truth| {
            for entry in truth.iter_mut().filter(|entry| hosts.contains(&entry.host)) {
                entry.standing = standing;
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut core = self.core.lock();
        change(&mut core.truth);
        let state = (Instant::now(), core.truth.clone());
        core.states.push_back(state);
        core.forget();
    }
}

impl HostCore {
    fn shown(&self) -> Vec<HostEntry> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let lag = Duration::from_millis(self.faults.lag_ms);
        let seen = self.states.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        seen.or(self.states.front()).map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Drops states that nobody will see any more.
    fn forget(&mut self) {
        let lag = Duration::from_millis(self.faults.lag_ms);
        while self.states.len() > 1 && self.states[1].0.elapsed() >= lag {
            self.states.pop_front();
        }
    }
}
