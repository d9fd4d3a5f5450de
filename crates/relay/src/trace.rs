//! Makes sure that each request has a last line in the log.

use {
    crate::request::{RequestId, RequestKind},
    base::{SharedClock, Tick},
    caller::PresenceGuard,
    std::sync::Arc,
    stop::{OpenRequest, OpenWork, WorkEnd, WorkGuard},
    tracing::info,
};

/// One request from its head to its last log line. Dropped before that, because its caller left or
/// the process ends, it logs that.
pub(crate) struct RequestTrace {
    pub(crate) id: RequestId,
    pub(crate) began: Tick,
    clock: SharedClock,
    guard: WorkGuard,
    pub(crate) presence: PresenceGuard,
}

impl RequestTrace {
    pub(crate) fn begin(
        work: &Arc<OpenWork>,
        clock: SharedClock,
        id: RequestId,
        began: Tick,
        presence: PresenceGuard,
    ) -> Self {
        let guard = work.begin(id.0.clone(), began);
        Self { id, began, clock, guard, presence }
    }

    pub(crate) fn set_kind(&self, kind: RequestKind) {
        self.guard.set_kind(kind.label());
    }

    pub(crate) fn start_streaming(&self) {
        self.guard.start_streaming();
    }

    /// Whole milliseconds since the head was received.
    pub(crate) fn took_ms(&self) -> u64 {
        self.clock.now().since(self.began).as_millis() as u64
    }

    /// The request as it is now; `None` once it has ended.
    pub(crate) fn request(&self) -> Option<OpenRequest> {
        self.guard.request()
    }

    /// Records that the request's last line was logged.
    pub(crate) fn end(&self, end: WorkEnd) {
        self.guard.end(end);
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let Some(request) = self.guard.request() else { return };
        let left_for_ms = self.presence.left_for_ms();
        info!(id = %self.id, decision = "dropped", kind = request.kind, stage = %request.stage,
            took_ms = self.took_ms(), left_for_ms, "request");
    }
}
