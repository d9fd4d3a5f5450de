//! The steps of a planned stop, from SIGTERM to the end of the process.

use {
    crate::{membership::MemberRemoval, run::NodeRuntime},
    base::Tick,
    infra::TableStore,
    relay::{StopEffect, log_stop_effect},
    std::time::Duration,
    stop::{Draining, Ending, Leaving, PlannedStop, Running, StopSettings, WorkCounts},
    tokio::{
        sync::oneshot,
        task::JoinHandle,
        time::{Instant, sleep_until, timeout_at},
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Least time for which the process goes on after it has given its last answers.
const LAST_WRITE_TIME: Duration = Duration::from_millis(100);

/// The tasks that a stop ends or waits for.
pub(crate) struct StoppedTasks<T> {
    /// Serves callers until all their connections have ended.
    pub(crate) serving: JoinHandle<()>,
    /// Writes the member row until `leaving` is cancelled.
    pub(crate) joining: JoinHandle<MemberRemoval<T>>,
    pub(crate) leaving: CancellationToken,
    /// Owns fabric domains until `control_stop` is cancelled and they are handed over.
    pub(crate) control: JoinHandle<()>,
    pub(crate) control_stop: CancellationToken,
}

/// When the steps of a stop are due.
struct StopDeadlines {
    signalled_at: Tick,
    port_closes: Instant,
    answers_due: Instant,
    exit: Instant,
}

impl StopDeadlines {
    /// The moments that follow from a signal at `signalled_at`, which is `received_at` or earlier.
    fn new(settings: &StopSettings, signalled_at: Tick, received_at: Tick) -> Self {
        let now = Instant::now();
        let late = received_at.since(signalled_at);
        let due = |after: Duration| now + after.saturating_sub(late);
        Self {
            signalled_at,
            port_closes: due(settings.port_closes_after),
            answers_due: due(settings.answers_due_after),
            exit: due(settings.exits_after),
        }
    }
}

impl NodeRuntime {
    /// Stops the process: callers and peers go elsewhere, what has begun ends, and what has not ended
    /// shortly before the kill is told so.
    pub(crate) async fn stop_in_order<T: TableStore + 'static>(
        &self,
        planned: PlannedStop<Running>,
        settings: &StopSettings,
        tasks: StoppedTasks<T>,
    ) {
        let StoppedTasks { mut serving, joining, leaving, control, control_stop } = tasks;
        let received_at = self.shared.clock.now();
        let signalled_at = self.pauses.signal_time(received_at);
        let deadlines = StopDeadlines::new(settings, signalled_at, received_at);
        let ended_before = self.shared.work.ended();
        let planned = planned.leave(settings, signalled_at);
        let grace_ms = settings.grace.as_millis() as u64;
        info!(decision = "stopping", requests = self.shared.work.len(), grace_ms, "process");
        self.view.with(|state| state.members.leave());
        leaving.cancel();
        control_stop.cancel();
        self.send_to_all(&self.message());
        let draining = self.leave(planned, &deadlines, control, joining).await;
        self.drain(draining, &deadlines, &mut serving).await;
        self.log_end(&deadlines, self.shared.work.ended() - ended_before);
    }

    /// Hands over what this process owns while callers learn of other processes.
    async fn leave<T: TableStore + 'static>(
        &self,
        leaving: PlannedStop<Leaving>,
        deadlines: &StopDeadlines,
        control: JoinHandle<()>,
        joining: JoinHandle<MemberRemoval<T>>,
    ) -> PlannedStop<Draining> {
        // Goes on until the process ends.
        let (sender, deleted) = oneshot::channel();
        tokio::spawn(async move {
            let removal = match joining.await {
                Ok(removal) => removal,
                Err(error) => return warn!(%error, "the member row is not deleted"),
            };
            removal.delete_row().await;
            let _ = sender.send(());
            removal.keep_deleted().await;
        });
        let handover = async {
            let work = async { tokio::join!(deleted, control) };
            if timeout_at(deadlines.port_closes, work).await.is_err() {
                warn!(decision = "handover-incomplete", "process");
            }
        };
        tokio::join!(handover, sleep_until(deadlines.port_closes));
        leaving.drain()
    }

    /// Waits until all requests have ended, and ends the others when their answers are due.
    async fn drain(
        &self,
        draining: PlannedStop<Draining>,
        deadlines: &StopDeadlines,
        serving: &mut JoinHandle<()>,
    ) {
        let work = async { tokio::join!(&mut *serving, self.shared.paths.finish_forwards()) };
        if timeout_at(deadlines.answers_due, work).await.is_ok() {
            return;
        }
        let _ending: PlannedStop<Ending> = draining.end();
        // The connections end once the last answers are written. A process that was paused until now
        // gives them the time for that, too.
        let exit = deadlines.exit.max(Instant::now() + LAST_WRITE_TIME);
        if !serving.is_finished() && timeout_at(exit, serving).await.is_err() {
            self.log_open_requests();
        }
    }

    /// Logs each request that has no end, although its answer is overdue.
    fn log_open_requests(&self) {
        let now = self.shared.clock.now();
        for request in self.shared.work.snapshot() {
            log_stop_effect(&self.shared.stop, &request, StopEffect::OpenAtExit, now);
        }
    }

    fn log_end(&self, deadlines: &StopDeadlines, ended: WorkCounts) {
        let took_ms = self.shared.clock.now().since(deadlines.signalled_at).as_millis() as u64;
        let open = self.shared.work.len();
        let WorkCounts { whole, refused, unknown, cut, abandoned } = ended;
        if unknown == 0 && cut == 0 && open == 0 {
            info!(
                decision = "stopped",
                took_ms, whole, refused, unknown, cut, abandoned, open, "process"
            );
        } else {
            warn!(
                decision = "stopped",
                took_ms, whole, refused, unknown, cut, abandoned, open, "process"
            );
        }
    }
}
