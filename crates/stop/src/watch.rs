//! What a planned stop means for the work of a process.

use {
    crate::settings::StopSettings,
    base::Tick,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Phases of a process that is stopped, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Serves without restrictions.
    #[default]
    Running,
    /// Serves requests that are sure to end in time, and asks callers to connect to another process.
    Leaving,
    /// The same, but accepts no new connections and closes idle ones.
    Draining,
    /// Gives what still runs its last answer.
    Ending,
}

/// The present phase, and when answers are due.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StopNotice {
    pub(crate) phase: StopPhase,
    signalled_at: Option<Tick>,
    answers_due: Option<Tick>,
}

impl StopNotice {
    pub(crate) fn begin(settings: &StopSettings, now: Tick) -> Self {
        let answers_due = Some(now + settings.answers_due_after);
        Self { phase: StopPhase::Leaving, signalled_at: Some(now), answers_due }
    }
}

/// Tells whether the process is stopping; all copies show the same.
#[derive(Clone, Debug, Default)]
pub struct StopWatch {
    pub(crate) notice: Arc<watch::Sender<StopNotice>>,
}

impl StopWatch {
    /// The present phase.
    pub fn phase(&self) -> StopPhase {
        self.notice.borrow().phase
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.phase() != StopPhase::Running
    }

    /// Time since the process was told to stop; `None` before that.
    pub fn since_signal(&self, now: Tick) -> Option<Duration> {
        self.notice.borrow().signalled_at.map(|at| now.since(at))
    }

    /// Time until the last answers are given; `None` before the process was told to stop.
    pub fn time_left(&self, now: Tick) -> Option<Duration> {
        self.notice.borrow().answers_due.map(|due| due.since(now))
    }

    /// Whether work that may last until `ends_at` ends before the last answers are given.
    pub fn covers(&self, ends_at: Tick) -> bool {
        self.notice.borrow().answers_due.is_none_or(|due| ends_at <= due)
    }

    /// Returns once the stop has reached `phase`.
    pub async fn reached(&self, phase: StopPhase) {
        let mut notices = self.notice.subscribe();
        // The sender lives as long as this watch.
        let _ = notices.wait_for(|notice| notice.phase >= phase).await;
    }
}
