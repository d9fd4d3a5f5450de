//! Tells whether an answer that ended with its connection is whole.
//!
//! Without a length or chunks the end of the connection is all that says so, and the operating system
//! ends the connections of a killed process in order too. Such an answer counts as whole only if its
//! server is sound afterwards: it accepts a new connection. That proves something only of an end that was
//! read when it came; later another start of the server, or another server, may listen at the address.

use {
    crate::{
        answer_body::RelayBody,
        buffered::collect_answer,
        codec::RequestCodec,
        loss::LossCause,
        send::LiveAnswer,
        server::BackendServer,
        service::{CallContext, RelayService},
        short_reads::ReadTimes,
    },
    base::Tick,
    http::Response,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// How long after the end of its connection a server is asked. The sockets of a killed process are closed
/// one after the other, and its listener, which may be the last one, takes connections until then.
const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Time after a pause of this process in which it may read what came during the pause.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

impl<C: RequestCodec> RelayService<C> {
    /// Reads an answer that is not a stream, within the time of its request. Fails also if it ended with
    /// its connection and may be incomplete.
    pub(crate) async fn collect_whole(
        &self,
        ctx: &CallContext,
        answer: Box<LiveAnswer>,
    ) -> Result<Response<RelayBody>, LossCause> {
        let remaining = ctx.expires_at.since(self.shared.clock.now());
        let (server, is_framed) = (answer.server.clone(), answer.is_framed());
        let reads = answer.reads.clone();
        let response = collect_answer(&self.codec, &self.shared, answer, remaining).await?;
        if !is_framed {
            self.check_sound(ctx, &server, &reads).await?;
        }
        Ok(response)
    }

    /// Checks the end of a stream that came after a complete event. Fails if it came with the connection
    /// and the stream may be incomplete.
    pub(crate) async fn check_end(
        &self,
        ctx: &CallContext,
        answer: &LiveAnswer,
    ) -> Result<(), LossCause> {
        if answer.is_framed() {
            return Ok(());
        }
        self.check_sound(ctx, &answer.server, &answer.reads).await
    }

    /// Checks, within the time of the request, that a server whose connection has just ended is sound.
    async fn check_sound(
        &self,
        ctx: &CallContext,
        server: &BackendServer,
        reads: &ReadTimes,
    ) -> Result<(), LossCause> {
        let read_at = self.shared.clock.now();
        let is_prompt = reads.are_prompt();
        let was_in_service = self.is_in_service(server);
        let remaining = ctx.expires_at.since(self.shared.clock.now());
        let connecting = async {
            if !is_prompt {
                return false;
            }
            sleep(SETTLE_TIME).await;
            self.shared.paths.connect(server.target(&ctx.id.0)).await.is_ok()
        };
        let accepts = timeout(remaining, connecting).await.unwrap_or(false);
        let knows_crash = self.shared.poison.knows_crash(&server.id);
        let is_late = self.has_paused_around(read_at);
        let is_sound = accepts && !is_late && !knows_crash && !self.is_replaced(server);
        self.shared.metrics.note_end_check(is_sound);
        if is_sound {
            Ok(())
        } else if knows_crash || was_in_service {
            Err(LossCause::DoubtfulEnd)
        } else {
            Err(LossCause::LeavingEnd)
        }
    }

    /// Whether this process stood still shortly before `read_at`, so that what was read then may have come
    /// long before, or since.
    fn has_paused_around(&self, read_at: Tick) -> bool {
        let now = self.shared.clock.now();
        let from = read_at.back(CATCH_UP_TIME);
        self.shared.pauses.as_ref().is_some_and(|pauses| pauses.has_paused_since(from, now))
    }

    /// Whether a server is listed and has not said that it is leaving.
    fn is_in_service(&self, server: &BackendServer) -> bool {
        !server.counters.is_leaving()
            && self.shared.servers.load().all().any(|listed| listed.id == server.id)
    }

    /// Whether another incarnation is listed with the address of a server, and the server no longer.
    fn is_replaced(&self, server: &BackendServer) -> bool {
        let table = self.shared.servers.load();
        let mut at_address = table.all().filter(|other| other.address == server.address).peekable();
        at_address.peek().is_some() && at_address.all(|other| other.id != server.id)
    }
}
