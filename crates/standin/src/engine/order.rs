//! Orders to an engine: fencing, loading, draining, releasing.

use {
    crate::{
        engine::{EngineCore, StandinEngine},
        history::{OrderEntry, RunEnd},
    },
    engine::{EngineOrder, EnginePhase, LoadOrder, OrderAnswer, OrderCommand, ReleaseOrder},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Step in which a load counts its time, so that it stands still while the engine is paused.
const LOAD_STEP: Duration = Duration::from_millis(20);

/// What becomes of an order's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderFate {
    /// It is sent.
    Answered(OrderAnswer),
    /// It is never sent.
    Lost,
}

impl StandinEngine {
    /// Takes an order, now or late, and says what becomes of the answer.
    pub fn take_order(self: &Arc<Self>, order: EngineOrder) -> OrderFate {
        let mut core = self.core.lock();
        if core.order_faults.late > 0 {
            core.order_faults.late -= 1;
            let late = Duration::from_millis(core.order_faults.late_ms);
            let engine = self.clone();
            tokio::spawn(async move {
                sleep(late).await;
                engine.follow(order, true);
            });
            return OrderFate::Lost;
        }
        let lost = core.order_faults.lose_answers > 0;
        core.order_faults.lose_answers = core.order_faults.lose_answers.saturating_sub(1);
        drop(core);
        let answer = self.follow(order, lost);
        match lost {
            true => OrderFate::Lost,
            false => OrderFate::Answered(answer),
        }
    }

    fn follow(self: &Arc<Self>, order: EngineOrder, answer_lost: bool) -> OrderAnswer {
        let mut core = self.core.lock();
        let answer = self.decide(&mut core, &order);
        drop(core);
        self.shared.history.add_order(OrderEntry {
            host: self.host.clone(),
            at_ms: self.shared.clock.now_ms(),
            order,
            answer: answer.clone(),
            answer_lost,
        });
        answer
    }

    fn decide(self: &Arc<Self>, core: &mut EngineCore, order: &EngineOrder) -> OrderAnswer {
        let number = (order.term, order.sequence);
        if self.shared.settings.check_fencing {
            if number < core.newest {
                return OrderAnswer::Outdated { term: core.newest.0 };
            }
            if let (true, Some(answer)) = (number == core.newest, &core.newest_answer) {
                return answer.clone();
            }
        }
        let answer = match &order.command {
            OrderCommand::Load(load) => self.load(core, load),
            OrderCommand::Drain(release) => drain(core, release),
            OrderCommand::Release(release) => self.release(core, release),
        };
        core.newest = core.newest.max(number);
        core.newest_answer = Some(answer.clone());
        answer
    }

    fn load(self: &Arc<Self>, core: &mut EngineCore, load: &LoadOrder) -> OrderAnswer {
        if !load.members.iter().any(|member| member.host == self.host) {
            let reason = format!("{} is no member of {}", self.host, load.group);
            return OrderAnswer::Refused { reason };
        }
        if core.phase != EnginePhase::Draining && core.order.as_ref() == Some(load) {
            return OrderAnswer::Accepted;
        }
        let in_other = core.order.as_ref().is_some_and(|own| own.group != load.group);
        if let (true, Some(interval)) = (in_other, core.interval) {
            self.shared.history.replace_interval(interval);
        }
        self.leave(core);
        core.order = Some(load.clone());
        core.phase = EnginePhase::Loading;
        self.begin_interval(core);
        self.resume_load(core);
        OrderAnswer::Accepted
    }

    /// Starts the load that the engine is in, from its beginning.
    pub(super) fn resume_load(self: &Arc<Self>, core: &mut EngineCore) {
        if let (EnginePhase::Loading, Some(load)) = (&core.phase, &core.order) {
            core.loads += 1;
            tokio::spawn(self.clone().finish_load(load.clone(), core.loads));
        }
    }

    fn release(&self, core: &mut EngineCore, release: &ReleaseOrder) -> OrderAnswer {
        match &core.order {
            None => OrderAnswer::Accepted,
            Some(order) if names(release, order) => {
                self.leave(core);
                OrderAnswer::Accepted
            }
            Some(order) => refuse_other(order),
        }
    }

    /// Leaves the group; runs in flight are cut.
    fn leave(&self, core: &mut EngineCore) {
        self.end_work(core, RunEnd::Cut);
        core.left_ms = self.shared.clock.now_ms();
        if let Some(interval) = core.interval.take() {
            self.shared.history.end_interval(interval, core.left_ms);
        }
        core.order = None;
        core.phase = EnginePhase::Idle;
        core.loads += 1;
        core.cache.clear();
    }

    async fn finish_load(self: Arc<Self>, load: LoadOrder, number: u64) {
        self.shared.weights.admit().await;
        let mut left = Duration::from_millis(self.shared.settings.load_ms);
        while !left.is_zero() {
            let step = left.min(LOAD_STEP);
            sleep(step * self.pace_percent() / super::USUAL_PACE_PERCENT).await;
            if !self.is_frozen() {
                left -= step;
            }
        }
        if self.mark_ready(&load, number) {
            self.shared.site.bond(&load);
        }
    }

    fn mark_ready(&self, load: &LoadOrder, number: u64) -> bool {
        let mut core = self.core.lock();
        if core.loads != number || !core.alive {
            return false;
        }
        core.phase = EnginePhase::Ready;
        self.slots.set_slots(load.slots);
        true
    }
}

fn drain(core: &mut EngineCore, release: &ReleaseOrder) -> OrderAnswer {
    match &core.order {
        Some(order) if names(release, order) => {
            // A load that is still running must not end in a ready engine.
            core.loads += 1;
            core.phase = EnginePhase::Draining;
            OrderAnswer::Accepted
        }
        Some(order) => refuse_other(order),
        None => OrderAnswer::Refused { reason: "member of no group".to_owned() },
    }
}

fn names(release: &ReleaseOrder, order: &LoadOrder) -> bool {
    release.group == order.group && release.epoch == order.epoch
}

fn refuse_other(order: &LoadOrder) -> OrderAnswer {
    OrderAnswer::Refused { reason: format!("member of {} epoch {}", order.group, order.epoch) }
}
