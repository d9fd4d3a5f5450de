//! A model of an engine: its boots, its group and its answers to orders, without requests.

use {
    base::{OrderSequence, Term, Tick},
    plan::{HostCommand, HostOrder, HostPhase, HostReport, LoadCommand, OrderOutcome},
    std::time::Duration,
};

/// An engine that executes a load even while it belongs to another group, so that the history
/// checker detects a planner that gives such an order.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    pub boot_id: u64,
    pub up: bool,
    /// Whether the whole machine is down, so that connections time out instead of being refused.
    /// Only valid while the engine is down.
    pub machine_lost: bool,
    pub frozen_until: Tick,
    pub leaving: bool,
    pub checks_fencing: bool,
    pub load: Option<LoadCommand>,
    pub ready_at: Tick,
    pub draining: bool,
    pub load_time: Duration,
    /// Time from the start of a drain until its requests in flight are finished.
    pub drain_time: Duration,
    drained_at: Tick,
    /// Term of the order that made the engine a member of its group.
    pub load_term: Term,
    highest_seen: (Term, OrderSequence),
    answer: Option<OrderOutcome>,
}

/// Effect of an order on the engine's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    Nothing,
    Joined(LoadCommand),
    /// The engine belonged to the first group when it executed the load of the second.
    Moved(LoadCommand, LoadCommand),
    Left(LoadCommand),
}

impl ModelEngine {
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            boot_id: 1,
            up: true,
            machine_lost: false,
            frozen_until: Tick(0),
            leaving: false,
            checks_fencing,
            load: None,
            ready_at: Tick(0),
            draining: false,
            load_time: Duration::from_millis(2_000),
            drain_time: Duration::ZERO,
            drained_at: Tick(0),
            load_term: Term(0),
            highest_seen: (Term(0), OrderSequence(0)),
            answer: None,
        }
    }

    pub fn restart(&mut self) {
        *self = Self {
            boot_id: self.boot_id + 1,
            leaving: self.leaving,
            load_time: self.load_time,
            drain_time: self.drain_time,
            ..Self::new(self.checks_fencing)
        };
    }

    /// Restarts the process with a new boot id, but keeps its group membership and its ready state.
    pub fn restart_with_state(&mut self) {
        self.boot_id += 1;
    }

    pub fn answers(&self, now: Tick) -> bool {
        self.up && now >= self.frozen_until
    }

    pub fn is_ready(&self, now: Tick) -> bool {
        self.load.is_some() && now >= self.ready_at && !self.draining
    }

    pub fn report(&self, now: Tick) -> HostReport {
        let phase = match &self.load {
            None => HostPhase::Idle,
            Some(_) if self.draining => HostPhase::Draining,
            Some(_) if now >= self.ready_at => HostPhase::Ready,
            Some(_) => HostPhase::Loading,
        };
        let term = if self.checks_fencing { self.highest_seen.0 } else { Term(0) };
        HostReport {
            boot: self.boot_id,
            term,
            phase,
            load: self.load.clone(),
            in_flight: u32::from(self.draining && now < self.drained_at),
            leaving: self.leaving,
        }
    }

    pub fn handle_order(&mut self, order: &HostOrder, now: Tick) -> (OrderOutcome, OrderEffect) {
        let number = (order.term, order.sequence);
        if self.checks_fencing {
            if number < self.highest_seen {
                return (
                    OrderOutcome::Outdated { term: self.highest_seen.0 },
                    OrderEffect::Nothing,
                );
            }
            if number == self.highest_seen
                && let Some(answer) = &self.answer
            {
                return (answer.clone(), OrderEffect::Nothing);
            }
            self.highest_seen = number;
        }
        let (answer, effect) = self.execute(&order.command, now);
        if matches!(effect, OrderEffect::Joined(_) | OrderEffect::Moved(..)) {
            self.load_term = order.term;
        }
        self.answer = Some(answer.clone());
        (answer, effect)
    }

    fn execute(&mut self, command: &HostCommand, now: Tick) -> (OrderOutcome, OrderEffect) {
        match command {
            HostCommand::Load(load) if self.load.as_ref() == Some(load) => {
                (OrderOutcome::Accepted, OrderEffect::Nothing)
            }
            HostCommand::Load(load) => {
                let before = self.load.replace(load.clone());
                self.ready_at = now + self.load_time;
                self.draining = false;
                let effect = match before {
                    Some(before) => OrderEffect::Moved(before, load.clone()),
                    None => OrderEffect::Joined(load.clone()),
                };
                (OrderOutcome::Accepted, effect)
            }
            HostCommand::Drain { group, epoch } if self.is_in(group, *epoch) => {
                self.draining = true;
                self.drained_at = now + self.drain_time;
                (OrderOutcome::Accepted, OrderEffect::Nothing)
            }
            HostCommand::Release { group, epoch } if self.is_in(group, *epoch) => {
                let before = self.load.take().expect("is_in found a load");
                self.draining = false;
                (OrderOutcome::Accepted, OrderEffect::Left(before))
            }
            HostCommand::Release { .. } if self.load.is_none() => {
                (OrderOutcome::Accepted, OrderEffect::Nothing)
            }
            HostCommand::Drain { .. } | HostCommand::Release { .. } => {
                (OrderOutcome::Refused, OrderEffect::Nothing)
            }
        }
    }

    fn is_in(&self, group: &base::GroupId, epoch: base::Epoch) -> bool {
        self.load.as_ref().is_some_and(|load| load.group == *group && load.epoch == epoch)
    }
}
