//! What a planned stop of this process means for a request.

use {
    crate::{
        codec::RequestCodec,
        progress::CallProgress,
        request::{Refusal, RefusalKind},
        service::{CallContext, RelayService},
        trace::RequestTrace,
    },
    base::Tick,
    std::time::Duration,
    stop::{OpenRequest, StopPhase, StopWatch},
    tracing::{info, warn},
};

/// What a planned stop did to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEffect {
    /// It was answered that it did not run.
    Refused,
    /// It was answered that it may have run.
    CutShort,
    /// Its stream was cut.
    Cut {
        /// Id of the last event that was passed on; `None` if there is none.
        last_event: Option<u64>,
    },
    /// It has no end, although its answer is overdue.
    OpenAtExit,
}

impl StopEffect {
    /// The effect of a refusal, if it is one of a stop.
    pub(crate) fn of_refusal(kind: RefusalKind) -> Option<Self> {
        match kind {
            RefusalKind::Stopping => Some(Self::Refused),
            RefusalKind::CutShort => Some(Self::CutShort),
            _ => None,
        }
    }

    fn decision(self) -> &'static str {
        match self {
            Self::Refused | Self::CutShort => "refused",
            Self::Cut { .. } => "cut-by-stop",
            Self::OpenAtExit => "open-at-exit",
        }
    }

    fn why(self) -> Option<&'static str> {
        match self {
            Self::Refused => Some(RefusalKind::Stopping.code()),
            Self::CutShort => Some(RefusalKind::CutShort.code()),
            Self::Cut { .. } | Self::OpenAtExit => None,
        }
    }
}

/// Logs what a stop did to a request. The fields are the same for every effect: how long the request
/// took, when it came relative to the signal, and what was left until the last answers. The line of a
/// request that is not known to have run counts against the budget of the log, the others never do.
pub fn log_stop_effect(stop: &StopWatch, request: &OpenRequest, effect: StopEffect, now: Tick) {
    let millis = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    let took_ms = millis(now.since(request.began));
    let after_signal_ms = stop.since_signal(now).map(|span| millis(span) - took_ms);
    let stop_left_ms = stop.time_left(now).map(millis);
    let after = match effect {
        StopEffect::Cut { last_event } => last_event,
        _ => None,
    };
    let (decision, why) = (effect.decision(), effect.why());
    macro_rules! log_at {
        ($level:ident) => {
            $level!(id = %request.id, decision, why, kind = request.kind, stage = %request.stage,
                after, took_ms, after_signal_ms, stop_left_ms, "request")
        };
    }
    match effect {
        StopEffect::Refused => log_at!(info),
        _ => log_at!(warn),
    }
}

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

    /// Logs what the stop did to a request that has not ended.
    pub(crate) fn log_stopped(&self, trace: &RequestTrace, effect: StopEffect) {
        if let Some(request) = trace.request() {
            log_stop_effect(&self.shared.stop, &request, effect, self.shared.clock.now());
        }
    }

    /// The refusal of a request that has not been sent.
    pub(crate) fn stop_refusal(&self) -> Refusal {
        // Another process can take it at once.
        Refusal::until(RefusalKind::Stopping, Duration::ZERO)
    }

    /// The refusal of a request that this process can't finish.
    pub(crate) fn cut_short(&self, progress: &CallProgress) -> Refusal {
        if progress.may_have_run || progress.record.is_open() {
            Refusal::new(RefusalKind::CutShort)
        } else {
            self.stop_refusal()
        }
    }
}
