//! How requests end: refusals, last log lines and metrics.

use {
    crate::{
        answer_body::RelayBody,
        codec::RequestCodec,
        obstacle::SendObstacle,
        request::{Refusal, RefusalKind, RequestId},
        service::{CallContext, RelayService},
        stopping::StopEffect,
        trace::RequestTrace,
    },
    http::Response,
    stop::WorkEnd,
    tracing::info,
};

impl<C: RequestCodec> RelayService<C> {
    /// Builds the answer to a refused request; `trace` is `None` if its head could not be decoded.
    pub(crate) fn refuse(
        &self,
        trace: Option<&RequestTrace>,
        refusal: Refusal,
    ) -> Response<RelayBody> {
        self.shared.metrics.note_refusal(refusal.kind.code());
        if let Some(trace) = trace {
            let (id, took_ms) = (&trace.id, trace.took_ms());
            if refusal.kind.rests_on_config() {
                self.log_config_refusal(id, refusal.kind, took_ms);
            } else if let Some(effect) = StopEffect::of_refusal(refusal.kind) {
                self.log_stopped(trace, effect);
            } else {
                let obstacle = refusal.obstacle.map(SendObstacle::label);
                info!(id = %id, decision = "refused", why = refusal.kind.code(), obstacle, took_ms,
                    "request");
            }
            trace.end(if refusal.kind.may_have_run() {
                WorkEnd::Unknown
            } else {
                WorkEnd::Refused
            });
        }
        let id = trace.map(|trace| &trace.id);
        let response = self.codec.refuse(id, &refusal).map(RelayBody::Own);
        if refusal.kind.leaves_body() {
            // The body is not read, so that the connection can't be used again.
            return with_close(response);
        }
        self.close_if_leaving(response)
    }

    /// Logs what a refusal rests on, so that one on an outdated configuration can be told from others.
    fn log_config_refusal(&self, id: &RequestId, kind: RefusalKind, took_ms: u64) {
        let version = self.shared.config.load().as_ref().map_or(0, |config| config.version);
        let standing = self.shared.standing.borrow().clone();
        let now = self.shared.clock.now();
        let age_ms = standing.confirmed_at.map(|at| now.since(at).as_millis() as u64);
        info!(id = %id, decision = "refused", why = kind.code(), took_ms, version, age_ms,
            source = %standing.source, newest_told = standing.newest_told, "request");
    }

    /// Counts and logs the end of a request whose answer has begun. `outcome` is a metric label and
    /// a log value. `status` is 0 for a stream that ended early, unless a server answered the request
    /// to resume it with an error status.
    pub(crate) fn note_end(
        &self,
        ctx: &CallContext,
        end: WorkEnd,
        outcome: &'static str,
        status: u16,
    ) {
        let took = self.shared.clock.now().since(ctx.began);
        self.shared.metrics.note_end(ctx.kind, outcome, took);
        let took_ms = took.as_millis() as u64;
        let left_for_ms = ctx.trace.presence.left_for_ms();
        info!(id = %ctx.id, decision = "ended", outcome, status, took_ms, left_for_ms, "request");
        ctx.trace.end(end);
    }

    /// Adds `connection: close` to a response if this process is about to stop, so that the caller
    /// opens its next connection to another process.
    pub(crate) fn close_if_leaving<B>(&self, response: Response<B>) -> Response<B> {
        if self.shared.stop.is_stopping() { with_close(response) } else { response }
    }
}

fn with_close<B>(mut response: Response<B>) -> Response<B> {
    let close = http::HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
    response
}
