//! Finds the server for the next send of a request, and when its caller should return if there is
//! none.

use {
    crate::{
        choose::{ChoiceFacts, ServerChoice, choose_beside_limits},
        codec::RequestCodec,
        obstacle::SendObstacle,
        server::{BackendServer, ServerTable},
        service::{CallContext, CallProgress, DEFAULT_RETRY_AFTER, MIN_REMAINING, RelayService},
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
    /// Whether a server other than `server` is neither tried nor in back-off.
    pub(crate) fn has_other_server(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        server: &BackendServer,
    ) -> bool {
        let table = self.shared.servers.load();
        let now = self.shared.clock.now();
        let mut others = self.open_candidates(&table, ctx, now);
        self.can_finish(ctx)
            && others.any(|other| {
                other.id != server.id
                    && !progress.tried.contains(&other.id)
                    && other.counters.accepts(now)
                    && !other.counters.in_backoff(now)
            })
    }

    /// The server for the next send, or why there is none. Asks other processes first where they share
    /// the limit of the server.
    pub(crate) async fn next_server(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
    ) -> Result<BackendServer, SendObstacle> {
        if progress.sends >= ctx.attempts {
            return Err(SendObstacle::Attempts);
        }
        let mut is_paid = progress.sends == 0;
        let mut denials = 0;
        loop {
            let now = self.shared.clock.now();
            let (server, room) = self.choose(ctx, progress, denials < MAX_DENIALS, now)?;
            let processes = self.shared.processes.load(Ordering::Relaxed);
            if !is_paid && !self.shared.budget.try_take(&ctx.service, processes, now) {
                return Err(SendObstacle::RetryBudget);
            }
            is_paid = true;
            let limits = &self.shared.limits;
            let may_send = match room {
                ServerRoom::Unlimited => true,
                ServerRoom::Own => limits.try_take(&server.id, now),
                ServerRoom::Ask(sharer) => limits.ask(&server.id, &sharer).await,
                ServerRoom::Full => false,
            };
            if may_send {
                return Ok(server);
            }
            denials += 1;
        }
    }

    /// Chooses a server that has room for a request. `may_ask` says whether that of other processes
    /// counts.
    fn choose(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
        may_ask: bool,
        now: Tick,
    ) -> Result<(BackendServer, ServerRoom), SendObstacle> {
        let table = self.shared.servers.load();
        let sample = rand::random();
        let facts = ChoiceFacts { tried: &progress.tried, sample, now };
        let room = |server: &BackendServer| self.shared.limits.room(&server.id, sample, now);
        let candidates = || table.candidates(&ctx.service, ctx.model.as_ref());
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
            ServerChoice::NoCandidate => Err(SendObstacle::NoServer),
        }
    }

    /// The candidates for a request that have room for it below their limits.
    fn open_candidates<'a>(
        &'a self,
        table: &'a ServerTable,
        ctx: &'a CallContext,
        now: Tick,
    ) -> impl Iterator<Item = &'a BackendServer> {
        let servers = table.candidates(&ctx.service, ctx.model.as_ref());
        // Which process would be asked does not matter, so the sample may be any number.
        servers
            .filter(move |server| self.shared.limits.room(&server.id, 0, now) != ServerRoom::Full)
    }

    /// Whether a retry is possible: the route allows a further send, enough time remains, also until
    /// this process ends, and some server is neither tried nor in back-off.
    /// Does not consult the retry budget.
    pub(crate) fn has_retry_target(&self, ctx: &CallContext, progress: &CallProgress) -> bool {
        let table = self.shared.servers.load();
        let now = self.shared.clock.now();
        let mut servers = self.open_candidates(&table, ctx, now);
        progress.sends < ctx.attempts
            && self.can_finish(ctx)
            && ctx.expires_at.since(now) >= MIN_REMAINING
            && servers.any(|server| {
                let counters = &server.counters;
                let tried = progress.tried.contains(&server.id);
                !tried && counters.accepts(now) && !counters.in_backoff(now)
            })
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
