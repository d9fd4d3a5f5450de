//! What a planned stop of this gateway means for its requests.

use {
    crate::{
        core::GatewayCore,
        refusal::{Outcome, Refusal, RefusalKind},
        request_context::RequestContext,
    },
    base::{Tick, WorkspaceId},
    peer::{GatewayEntry, message::LOAD_FULL},
    smol_str::format_smolstr,
    std::{future::Future, sync::Arc, time::Duration},
    stop::{StopPhase, WorkEnd, WorkGuard},
};

impl Outcome {
    /// How the request ended, in the list of open requests.
    pub fn work_end(self) -> WorkEnd {
        match self {
            Self::NotRun => WorkEnd::Refused,
            Self::Unknown => WorkEnd::Unknown,
            Self::Cut => WorkEnd::Cut,
        }
    }
}

impl GatewayCore {
    /// Adds a request to the list of open ones. Its id is that of its workspace and its idempotency
    /// key, or a number if it has none.
    pub fn begin_work(&self, workspace: &WorkspaceId, context: &RequestContext) -> Arc<WorkGuard> {
        let id = match &context.key {
            Some(key) => format_smolstr!("{workspace}/{key}"),
            None => format_smolstr!("{workspace}/#{}", self.next_request_number()),
        };
        Arc::new(self.work.begin(id, context.arrived))
    }

    /// Whether the request is sure to end before this process does. Its deadline decides: a shorter
    /// time that others of its class took does not hold when backend servers turn slow.
    pub fn can_finish(&self, deadline: Tick) -> bool {
        !self.is_ending() && self.stop.covers(deadline)
    }

    /// Checks that a request that has not been dispatched can be finished.
    ///
    /// # Errors
    ///
    /// Refuses it as not run if this process may end before its deadline.
    pub fn check_stop(&self, deadline: Tick) -> Result<(), Refusal> {
        if self.can_finish(deadline) { Ok(()) } else { Err(self.stop_refusal()) }
    }

    /// Waits for `step`, which comes before a dispatch.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run as soon as this process may end before its deadline.
    pub async fn wait_unless_stopped<T>(
        &self,
        deadline: Tick,
        step: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        let stopped = async {
            self.stop.reached(StopPhase::Leaving).await;
            if self.can_finish(deadline) {
                self.ending().await;
            }
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            () = stopped => Err(self.stop_refusal()),
        }
    }

    /// Whether what still runs must get its last answer.
    pub fn is_ending(&self) -> bool {
        self.stop.phase() == StopPhase::Ending
    }

    /// Waits until what still runs must get its last answer.
    pub async fn ending(&self) {
        self.stop.reached(StopPhase::Ending).await;
    }

    /// The refusal of a request that has not been dispatched, with the addresses of other gateways,
    /// which can take it at once.
    pub fn stop_refusal(&self) -> Refusal {
        let snapshot = self.state.load();
        let others = snapshot.gateways.iter().filter(|entry| entry.load <= LOAD_FULL);
        let others = others.filter(|entry| entry.host != self.settings.host);
        let others: Vec<GatewayEntry> = others.cloned().collect();
        let detail = "this gateway is stopping and may not finish the request; use another address";
        Refusal::not_run(RefusalKind::Draining, detail)
            .retry_after(Duration::ZERO)
            .with_addresses(&others)
    }

    /// The last answer to a request that this process can't finish.
    pub fn cut_short(&self, may_have_run: bool) -> Refusal {
        if !may_have_run {
            return self.stop_refusal();
        }
        let detail = "this gateway stopped before the answer was whole";
        Refusal::unknown(RefusalKind::Draining, detail)
    }

    /// Ends a request without a whole answer in the list of open ones. Logs it if the stop is why.
    pub fn end_refused(&self, work: &WorkGuard, refusal: &Refusal, outcome: Outcome) {
        if refusal.kind == RefusalKind::Draining {
            self.log_stopped(work, outcome);
        }
        work.end(outcome.work_end());
    }

    /// Logs each request that has no end, although its answer is overdue.
    pub fn log_open_requests(&self) {
        let now = self.now();
        for request in self.work.snapshot() {
            let took_ms = now.since(request.began).as_millis() as u64;
            tracing::warn!(id = %request.id, decision = "open-at-exit", kind = request.kind,
                stage = %request.stage, took_ms, "request");
        }
    }

    fn log_stopped(&self, work: &WorkGuard, outcome: Outcome) {
        let Some(request) = work.request() else { return };
        let now = self.now();
        let millis = |span: Duration| span.as_millis() as u64;
        tracing::info!(id = %request.id, decision = "ended-by-stop", kind = request.kind,
            outcome = outcome.as_str(), took_ms = millis(now.since(request.began)),
            left_ms = self.stop.time_left(now).map(millis), "request");
    }
}
