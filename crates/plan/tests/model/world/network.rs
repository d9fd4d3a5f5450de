//! Simulates the network between owners and engines.

use {
    crate::model::{
        engine::OrderEffect,
        history::HistoryEvent,
        world::{Delivery, ORDER_TIMEOUT, World},
    },
    base::{HostId, Term, Tick},
    plan::{HostOrder, OrderOutcome},
    rand::Rng,
    std::time::Duration,
};

impl World {
    pub(super) fn is_partitioned(&self, host: &HostId) -> bool {
        self.partitioned_until.get(host).is_some_and(|until| *until > self.now)
    }

    pub(super) fn network_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..20))
    }

    pub(super) fn note_sent(&mut self, owner: usize, order: &HostOrder) -> u64 {
        self.serial += 1;
        let (copy, now) = (self.serial, self.now);
        self.owners[owner].planner.note_sent(order, now);
        self.owners[owner].waiting.insert(order.host.clone(), (copy, order.clone()));
        copy
    }

    pub(super) fn probe_all(&mut self, owner: usize) {
        let hosts: Vec<HostId> = self.engines.keys().cloned().collect();
        for host in hosts {
            let lost = self.now < self.lossy_until && self.rng.random_bool(0.3);
            let network_delay = self.network_delay();
            if !lost && !self.is_partitioned(&host) {
                let probed_at = self.now;
                self.push(network_delay, Delivery::ProbeArrives { owner, host, probed_at });
            }
        }
    }

    pub(super) fn answer_probe(&mut self, owner: usize, host: HostId, probed_at: Tick) {
        let engine = &self.engines[&host];
        if engine.answers(self.now) {
            let report = engine.report(self.now);
            let network_delay = self.network_delay();
            self.push(network_delay, Delivery::Report { owner, host, probed_at, report });
        } else if !engine.up && !engine.machine_lost {
            let network_delay = self.network_delay();
            self.push(network_delay, Delivery::Refusal { owner, host, probed_at });
        }
    }

    /// Sends one copy of an order; during network faults it may be lost, delayed or duplicated.
    pub(super) fn send(&mut self, owner: usize, copy: u64, order: HostOrder) {
        let lossy = self.now < self.lossy_until;
        let duplicated = self.now < self.duplicates_until && self.rng.random_bool(0.5);
        let lost = lossy && self.rng.random_bool(0.3);
        let answer_lost = lossy && self.rng.random_bool(0.4);
        let late = lossy && self.rng.random_bool(0.3);
        let network_delay = match late {
            true => Duration::from_millis(self.rng.random_range(100..900)),
            false => self.network_delay(),
        };
        if !lost {
            let order = order.clone();
            self.push(
                network_delay,
                Delivery::OrderArrives { owner, copy, order, answered: !answer_lost },
            );
        }
        if duplicated {
            let network_delay = Duration::from_millis(self.rng.random_range(1..900));
            let order = order.clone();
            self.push(
                network_delay,
                Delivery::OrderArrives { owner, copy, order, answered: false },
            );
        }
        let outcome = OrderOutcome::Unknown;
        self.push(ORDER_TIMEOUT, Delivery::Outcome { owner, copy, order, outcome });
    }

    pub(super) fn order_arrives(
        &mut self,
        owner: usize,
        copy: u64,
        order: HostOrder,
        answered: bool,
    ) {
        let now = self.now;
        if self.is_partitioned(&order.host) {
            return;
        }
        let Some(engine) = self.engines.get_mut(&order.host) else { return };
        if !engine.answers(now) {
            return;
        }
        let member_term = engine.load_term;
        let (outcome, effect) = engine.handle_order(&order, now);
        let host = order.host.clone();
        let joined = matches!(effect, OrderEffect::Joined(_) | OrderEffect::Moved(..));
        if joined && order.term < Term(self.owners.len() as u64) {
            self.foreign_joins += 1;
            self.foreign_since.insert(host.clone(), now);
        }
        match effect {
            OrderEffect::Nothing => {}
            OrderEffect::Joined(load) => {
                self.joins += 1;
                self.note(HistoryEvent::Joined { host, load });
            }
            OrderEffect::Left(_) => {
                if let Some(since) = self.foreign_since.remove(&host) {
                    self.foreign_released_after.push(now.since(since));
                }
                self.note(HistoryEvent::Left { host });
            }
            OrderEffect::Moved(from, to) => {
                self.moved += 1;
                // With different terms, this is the order of an earlier owner, which is expected
                // when engines ignore fencing numbers.
                if self.settings.checked || member_term == order.term {
                    self.note(HistoryEvent::Moved { host, from, to });
                }
            }
        }
        if answered {
            let network_delay = self.network_delay();
            self.push(network_delay, Delivery::Outcome { owner, copy, order, outcome });
        }
    }

    pub(super) fn outcome(
        &mut self,
        owner: usize,
        copy: u64,
        order: &HostOrder,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        let owner = &mut self.owners[owner];
        if owner.frozen {
            return;
        }
        let awaited = owner.waiting.get(&order.host).is_some_and(|waiting| waiting.0 == copy);
        if awaited {
            owner.waiting.remove(&order.host);
            owner.planner.note_outcome(order, outcome, now);
        }
    }
}
