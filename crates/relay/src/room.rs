//! Holds back requests that would make others late, before they are sent for the first time.
//!
//! Applies to streams that need a model, on routes with a goal. What is decided rests on the load
//! reports of the servers and on the answers that this process has seen; see `scarce`.

use {
    crate::{
        codec::RequestCodec,
        progress::CallProgress,
        request::{Refusal, RefusalKind},
        service::{CallContext, RelayService},
        terms::RouteTerms,
    },
    base::{ModelName, ServiceName, Tick},
    parking_lot::Mutex,
    scarce::{
        Occupancy, RoomDecision, RoomGate, RoomRequest, RoomSample, RoomSettings, RoomVerdict,
        SpellCount,
    },
    std::{collections::BTreeMap, fmt, time::Duration},
    tracing::info,
};

/// The servers of a service that serve one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoomPool {
    pub(crate) service: ServiceName,
    pub(crate) model: ModelName,
}

impl fmt::Display for RoomPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.model)
    }
}

/// The room that a request asks for, and what its caller is promised.
#[derive(Clone, Debug)]
pub(crate) struct RoomDemand {
    pub(crate) pool: RoomPool,
    pub(crate) terms: RouteTerms,
    /// Whether the caller has had a part of the answer.
    pub(crate) is_resumed: bool,
}

/// What this process knows of the room in each pool.
#[derive(Debug, Default)]
pub(crate) struct RoomWatch {
    gates: Mutex<BTreeMap<RoomPool, RoomGate>>,
}

impl RoomWatch {
    fn decide(
        &self,
        pool: &RoomPool,
        request: &RoomRequest<'_>,
        occupancy: Occupancy,
        now: Tick,
    ) -> RoomVerdict {
        let [surge, admission, spread] = rand::random();
        let sample = RoomSample { surge, admission, spread };
        let mut gates = self.gates.lock();
        if let Some(gate) = gates.get_mut(pool) {
            return gate.decide(request, occupancy, sample, now);
        }
        let mut gate = RoomGate::new(RoomSettings::default());
        let verdict = gate.decide(request, occupancy, sample, now);
        gates.insert(pool.clone(), gate);
        verdict
    }

    fn note_answer(&self, demand: &RoomDemand, occupancy: Occupancy, wait: Duration) {
        if let Some(gate) = self.gates.lock().get_mut(&demand.pool) {
            gate.note_answer(occupancy, wait, demand.terms.goal);
        }
    }

    fn is_scarce(&self, pool: &RoomPool, now: Tick) -> bool {
        self.gates.lock().get(pool).is_some_and(|gate| gate.is_scarce(now))
    }

    fn retry_after(&self, pool: &RoomPool, now: Tick) -> Option<Duration> {
        let gates = self.gates.lock();
        let gate = gates.get(pool).filter(|gate| gate.is_scarce(now))?;
        Some(gate.retry_after(rand::random(), now))
    }
}

impl<C: RequestCodec> RelayService<C> {
    /// Refuses a request that is not sent so that others are answered in time.
    pub(crate) fn check_room(
        &self,
        ctx: &CallContext,
        progress: &mut CallProgress,
    ) -> Result<(), Refusal> {
        let is_first = progress.record.reached_count() == 0 && progress.last_event.is_none();
        let Some(demand) = ctx.room.as_ref().filter(|_| is_first) else { return Ok(()) };
        let now = self.shared.clock.now();
        let Some(occupancy) = self.occupancy(&demand.pool, now) else { return Ok(()) };
        progress.occupancy = Some(occupancy);
        let request = RoomRequest {
            level: demand.terms.level,
            workspace: ctx.workspace.as_ref(),
            is_resumed: demand.is_resumed,
        };
        let verdict = self.shared.room.decide(&demand.pool, &request, occupancy, now);
        if let Some(ended) = verdict.ended {
            log_end(&demand.pool, ended, now);
        }
        let estimate = &verdict.estimate;
        if verdict.begins {
            info!(decision = "scarce", pool = %demand.pool, occupancy = %estimate.occupancy,
                knee = %estimate.knee, share = %estimate.share, "room");
        }
        let RoomDecision::HeldBack { retry_after } = verdict.decision else { return Ok(()) };
        self.shared.metrics.note_held_back(&ctx.route, demand.terms.level);
        info!(id = %ctx.id, decision = "room-denied", route = %ctx.route, pool = %demand.pool,
            level = %demand.terms.level, occupancy = %estimate.occupancy, knee = %estimate.knee,
            share = %estimate.share, class_share = %estimate.class_share,
            surplus = estimate.is_surplus, retry_after_ms = retry_after.as_millis() as u64,
            "request");
        Err(Refusal::until(RefusalKind::RoomScarce, retry_after))
    }

    /// Records that an answer has begun, `wait` after its request.
    pub(crate) fn note_begun(&self, ctx: &CallContext, progress: &CallProgress, wait: Duration) {
        let Some(demand) = &ctx.room else { return };
        // A server that failed says nothing about the room at the others.
        let Some(occupancy) = progress.occupancy.filter(|_| !progress.is_disturbed) else { return };
        self.shared.room.note_answer(demand, occupancy, wait);
    }

    /// Whether room is scarce where the request can be served.
    pub(crate) fn has_scarce_room(&self, ctx: &CallContext) -> bool {
        let now = self.shared.clock.now();
        ctx.room.as_ref().is_some_and(|demand| self.shared.room.is_scarce(&demand.pool, now))
    }

    /// When the caller should return; `None` if room is not scarce.
    pub(crate) fn room_retry_after(&self, ctx: &CallContext, now: Tick) -> Option<Duration> {
        self.shared.room.retry_after(&ctx.room.as_ref()?.pool, now)
    }

    /// Mean load per slot of the servers of a pool that take requests; `None` if none of them has
    /// reported its slots.
    fn occupancy(&self, pool: &RoomPool, now: Tick) -> Option<Occupancy> {
        let table = self.shared.servers.load();
        let loads: Vec<f64> = table
            .candidates(&pool.service, Some(&pool.model))
            .filter(|server| server.model.is_some())
            .map(|server| &server.counters)
            .filter(|counters| counters.accepts(now) && !counters.in_backoff(now))
            .filter_map(|counters| Some(counters.load(now) / f64::from(counters.slots()?)))
            .collect();
        (!loads.is_empty()).then(|| Occupancy(loads.iter().sum::<f64>() / loads.len() as f64))
    }
}

fn log_end(pool: &RoomPool, spell: SpellCount, now: Tick) {
    let SpellCount { began, admitted, held_back } = spell;
    let lasted_ms = now.since(began).as_millis() as u64;
    info!(decision = "enough", %pool, lasted_ms, admitted, held_back, "room");
}
