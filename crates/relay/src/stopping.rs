//! What a planned stop of this process means for a request.

use {
    crate::{
        codec::RequestCodec,
        request::{Refusal, RefusalKind},
        service::{CallContext, CallProgress, RelayService},
    },
    std::{sync::atomic::Ordering, time::Duration},
    stop::StopPhase,
};

impl<C: RequestCodec> RelayService<C> {
    /// Whether the request is sure to end before this process does. Its own time limit decides: a
    /// shorter time that others of its kind took does not hold when servers turn slow.
    pub(crate) fn can_finish(&self, ctx: &CallContext) -> bool {
        self.shared.stop.covers(ctx.expires_at)
    }

    /// Waits until what still runs must get its last answer.
    pub(crate) async fn ending(&self) {
        self.shared.stop.reached(StopPhase::Ending).await;
    }

    /// The refusal of a request that has not been sent.
    pub(crate) fn stop_refusal(&self) -> Refusal {
        // Another process can take it at once.
        Refusal::until(RefusalKind::Stopping, Duration::ZERO)
    }

    /// The refusal of a request that this process can't finish.
    pub(crate) fn cut_short(&self, progress: &CallProgress) -> Refusal {
        if progress.may_have_run || progress.is_sending.load(Ordering::Relaxed) {
            Refusal::new(RefusalKind::CutShort)
        } else {
            self.stop_refusal()
        }
    }
}
