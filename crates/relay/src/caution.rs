//! Holds back requests that may crash the next server too.

use {
    crate::{
        codec::RequestCodec,
        obstacle::SendObstacle,
        progress::CallProgress,
        request::{Refusal, RefusalKind},
        server::BackendServer,
        service::{CallContext, RelayService},
    },
    base::Tick,
    std::time::Duration,
    tracing::info,
};

/// Shortest span over which callers return whose requests were held back.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(300);

impl<C: RequestCodec> RelayService<C> {
    /// Refuses to send a request that may crash the next server, or leave too few.
    pub(crate) async fn check_suspects(
        &self,
        ctx: &CallContext,
        progress: &CallProgress,
    ) -> Result<(), Refusal> {
        if progress.record.reached_count() > 0 {
            self.check_resend(ctx, progress)?;
        }
        let Some(trial) = self.shared.poison.trial(&ctx.suspects) else { return Ok(()) };
        let now = self.shared.clock.now();
        let (healthy, listed) = self.count_servers(ctx, now);
        if trial.may_be_sent(healthy, listed, now)
            && self.shared.poison.take_turn(&ctx.suspects).await
        {
            info!(id = %ctx.id, decision = "tried-again", suspect = %ctx.suspects.request(),
                healthy, "request");
            return Ok(());
        }
        info!(id = %ctx.id, decision = "held-back", suspect = %ctx.suspects.request(), healthy,
            listed, "request");
        if progress.may_have_run {
            return Err(self.final_refusal(ctx, progress, SendObstacle::Suspect));
        }
        let wait = trial.wait(now);
        let spread = MIN_RETURN_SPREAD.max(wait / 4).mul_f64(rand::random());
        Err(Refusal::until(RefusalKind::OnTrial, wait + spread))
    }

    fn check_resend(&self, ctx: &CallContext, progress: &CallProgress) -> Result<(), Refusal> {
        let poison = &self.shared.poison;
        let refused = poison.refused(&ctx.suspects);
        let is_likely = progress.record.has_break() && poison.has_likely_part(&ctx.suspects);
        if refused.is_none() && !is_likely {
            return Ok(());
        }
        info!(id = %ctx.id, decision = "not-sent-again", suspects = %ctx.suspects, "request");
        Err(match refused {
            Some(refused) if !progress.may_have_run => {
                Refusal::until(refused.suspect.kind().into(), refused.left)
            }
            _ => self.final_refusal(ctx, progress, SendObstacle::Suspect),
        })
    }

    /// The servers that could take the request and seem to be up, and all that are listed.
    fn count_servers(&self, ctx: &CallContext, now: Tick) -> (usize, usize) {
        let table = self.shared.servers.load();
        let servers: Vec<&BackendServer> =
            table.candidates(&ctx.service, ctx.model.as_ref()).collect();
        let is_healthy = |server: &&&BackendServer| {
            server.counters.accepts(now)
                && !server.counters.in_backoff(now)
                && !self.shared.poison.knows_crash(&server.id)
        };
        (servers.iter().filter(is_healthy).count(), servers.len())
    }
}
