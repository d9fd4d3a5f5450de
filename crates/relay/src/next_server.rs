//! Finds a place for the next send of a request, and when its caller should return if there is none.

use {
    crate::{
        backlog::RequestWork,
        choose::{ChoiceFacts, ServerChoice, choose_beside_limits},
        codec::RequestCodec,
        costs::{WorkFacts, usual_pace},
        obstacle::SendObstacle,
        place::{PlaceError, ServerPlace},
        progress::CallProgress,
        retry::RetryPermit,
        server::{BackendServer, ServerId},
        service::{CallContext, DEFAULT_RETRY_AFTER, MIN_REMAINING, RelayService},
    },
    base::Tick,
    limit::ServerRoom,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Shortest span over which callers return after all servers have asked for quiet.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(300);
/// How often a request may be denied a place below a limit before it goes elsewhere or is refused.
const MAX_DENIALS: u32 = 3;
/// Longest mean time after which callers return that no server has room for below its limit.
const MAX_LIMIT_RETURN: Duration = Duration::from_secs(5);

impl<C: RequestCodec> RelayService<C> {
    /// Takes a place for the next send, if there is one and the request is sure to end in time. Asks
    /// other processes first where they share the limit of a server. `waiting` are the servers to which
    /// the request is being sent.
    pub(crate) async fn take_place(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        waiting: &[BackendServer],
    ) -> Result<ServerPlace, PlaceError> {
        self.check_time(ctx)?;
        let place = self.find_place(ctx, progress, waiting).await?;
        self.check_suspects(ctx, progress).await.map_err(PlaceError::HeldBack)?;
        // It may have run out while another process was asked.
        self.check_time(ctx)?;
        Ok(place)
    }

    /// Whether the request has time left, also until this process ends.
    fn check_time(&self, ctx: &CallContext) -> Result<(), SendObstacle> {
        if ctx.expires_at.since(self.shared.clock.now()) < MIN_REMAINING {
            return Err(SendObstacle::Time);
        }
        if self.can_finish(ctx) { Ok(()) } else { Err(SendObstacle::Stop) }
    }

    async fn find_place(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        waiting: &[BackendServer],
    ) -> Result<ServerPlace, SendObstacle> {
        let is_retry = progress.record.reached_count() > 0 || !waiting.is_empty();
        let work = self.work_facts(ctx, progress.last_event.is_none());
        let mut permit = None;
        let mut denials = 0;
        loop {
            let now = self.shared.clock.now();
            let (server, room) =
                self.choose(ctx, progress, waiting, work.as_ref(), denials < MAX_DENIALS, now)?;
            if is_retry && permit.is_none() {
                let processes = self.shared.processes.load(Ordering::Relaxed);
                permit = self.shared.budget.take_permit(&ctx.service, processes, now);
                if permit.is_none() {
                    return Err(SendObstacle::RetryBudget);
                }
            }
            let limits = &self.shared.limits;
            let may_send = match room {
                ServerRoom::Unlimited => true,
                ServerRoom::Own => limits.try_take(&server.id, now),
                ServerRoom::Ask(sharer) => limits.ask(&server.id, &sharer).await,
                ServerRoom::Full => false,
            };
            if may_send {
                if let Some(work) = work.as_ref().filter(|_| !is_retry) {
                    self.shared.metrics.note_work(work.route(), work.cost().total());
                }
                return Ok(match work {
                    Some(work) => self.take_with_work(ctx, server, permit, work, now),
                    None => ServerPlace::take(server, permit),
                });
            }
            denials += 1;
        }
    }

    /// Takes a place and counts the work of the request at its server.
    fn take_with_work(
        &self,
        ctx: &CallContext,
        server: BackendServer,
        permit: Option<RetryPermit>,
        work: WorkFacts,
        now: Tick,
    ) -> ServerPlace {
        let costs = &self.shared.costs;
        let table = self.shared.servers.load();
        let servers = table.candidates(&ctx.service, ctx.model.as_ref());
        // Before the request counts as one of the server's.
        let expected = work.first_event(&server, usual_pace(servers, now), now);
        let estimate = costs.estimate(&work, expected);
        let counters = server.counters.clone();
        let work = RequestWork::begin(counters, costs.clone(), work, expected, now);
        ServerPlace::take(server, permit).with_work(work, estimate)
    }

    /// Chooses a server that has room for a request. `may_ask` says whether that of other processes
    /// counts.
    fn choose(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        waiting: &[BackendServer],
        work: Option<&WorkFacts>,
        may_ask: bool,
        now: Tick,
    ) -> Result<(BackendServer, ServerRoom), SendObstacle> {
        let table = self.shared.servers.load();
        let sample = rand::random();
        let record = &progress.record;
        let departing = waiting.iter().filter(|server| !record.has_reached(&server.id)).count();
        // The attempts of a route are servers: one that was sent to and left may be sent to again.
        let is_used_up = record.reached_count() + departing >= ctx.attempts as usize;
        let may_reach = |server: &BackendServer| !is_used_up || record.has_reached(&server.id);
        let waiting = waiting.iter().map(|server| server.id.clone());
        let tried: Vec<ServerId> =
            progress.tried.iter().cloned().chain(waiting).chain(record.unreached()).collect();
        let facts = ChoiceFacts { tried: &tried, sample, now, work };
        let room = |server: &BackendServer| self.shared.limits.room(&server.id, sample, now);
        let candidates = || {
            table.candidates(&ctx.service, ctx.model.as_ref()).filter(|server| may_reach(server))
        };
        let unlimited = candidates().filter(|server| room(server) == ServerRoom::Unlimited);
        let limited = candidates().filter(|server| match room(server) {
            ServerRoom::Own => true,
            ServerRoom::Ask(_) => may_ask,
            ServerRoom::Unlimited | ServerRoom::Full => false,
        });
        match choose_beside_limits(unlimited, limited, &facts) {
            ServerChoice::Server(server) => Ok((server.clone(), room(server))),
            ServerChoice::Full => Err(SendObstacle::Full),
            // The candidates of the choice leave out those at their limits.
            ServerChoice::NoCandidate if candidates().any(|server| facts.allows(server)) => {
                Err(SendObstacle::Limit)
            }
            ServerChoice::NoCandidate if is_used_up => Err(SendObstacle::Attempts),
            ServerChoice::NoCandidate => Err(SendObstacle::NoServer),
        }
    }

    /// When the caller should return if every server that accepts requests has a limit: a random time
    /// around the one in which one process may send them one more request. `None` if some server
    /// has no limit or none accepts requests.
    pub(crate) fn limit_retry_after(&self, ctx: &CallContext, now: Tick) -> Option<Duration> {
        let table = self.shared.servers.load();
        let servers = table.candidates(&ctx.service, ctx.model.as_ref());
        let accepting = servers.filter(|server| server.counters.accepts(now));
        let rates: Option<Vec<f64>> =
            accepting.map(|server| Some(self.shared.limits.rate(&server.id)?.0)).collect();
        let total: f64 = rates.filter(|rates| !rates.is_empty())?.iter().sum();
        let processes = self.shared.processes.load(Ordering::Relaxed).max(1) as f64;
        let longest = MAX_LIMIT_RETURN.as_secs_f64();
        let mean = (processes / total).clamp(DEFAULT_RETRY_AFTER.as_secs_f64(), longest);
        let spread = 0.5 + rand::random::<f64>();
        Some(Duration::from_secs_f64(mean * spread))
    }

    /// When the caller should return if every server that could take the request wants none for a
    /// while: a random time after the first of them accepts requests again, so that callers do not
    /// return together. `None` if some server accepts requests or there is none.
    pub(crate) fn quiet_retry_after(&self, ctx: &CallContext, now: Tick) -> Option<Duration> {
        let table = self.shared.servers.load();
        let servers = table.candidates(&ctx.service, ctx.model.as_ref());
        let first = servers.map(|server| server.counters.quiet_left(now)).min()?;
        let spread = MIN_RETURN_SPREAD.max(first / 2).mul_f64(rand::random());
        (!first.is_zero()).then(|| first + spread)
    }
}
