//! Starts the servers and background tasks of the gateway, and stops them in a planned stop.

use {
    crate::{
        callers::CallerServer,
        controller::ControllerPort,
        core::GatewayCore,
        members::MemberProber,
        poll::StatePoller,
        ports::GatewayPorts,
        reports::ReportReader,
        server::{CallersSnafu, ServerContext, ServerError, start_admin},
    },
    conf::settings::GatewaySettings,
    dropshot::HttpServer,
    snafu::ResultExt,
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    stop::{Draining, Ending, PlannedStop, StopSettings, WorkCounts},
    tokio::time::{Instant, sleep_until, timeout_at},
    tokio_util::sync::CancellationToken,
};

/// A gateway whose servers and background tasks are running.
pub struct RunningGateway {
    /// State shared with the servers and background tasks.
    pub core: Arc<GatewayCore>,
    callers: CallerServer,
    admin: HttpServer<ServerContext>,
    background_stop: CancellationToken,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// All requests ended within the time limit.
    Drained,
    /// Requests or writes of claims had not ended by then; requests were told so.
    TimedOut,
}

impl RunningGateway {
    /// Starts the servers and background tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start(
        settings: GatewaySettings,
        ports: GatewayPorts,
        controller: Arc<dyn ControllerPort>,
    ) -> Result<Self, ServerError> {
        let core = Arc::new(GatewayCore::new(settings, ports));
        let address = core.settings.listen;
        let callers = CallerServer::start(core.clone()).context(CallersSnafu { address })?;
        let admin = start_admin(&core)?;
        let stop = CancellationToken::new();
        let poller = StatePoller::new(core.clone(), controller);
        tokio::spawn(poller.run(stop.clone()));
        let reader = ReportReader::new(core.clone(), core.ports.reports.clone());
        tokio::spawn(reader.run(stop.clone()));
        let prober = MemberProber::new(core.clone(), core.ports.reports.clone());
        tokio::spawn(prober.run(stop.clone()));
        tracing::info!(listen = %callers.local_addr(), admin = %admin.local_addr(), "serving");
        Ok(Self { core, callers, admin, background_stop: stop })
    }

    /// Bound address of the server for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Bound address of the server for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Performs a planned stop, which lets open requests finish.
    ///
    /// The gateway first removes itself from the address answers. Until the answers that callers
    /// already have are expired, it accepts the requests that are sure to end within the
    /// `stop_limit_ms` setting. Then it waits for open requests. Those that are open shortly before
    /// the limit get their last answer, and the stop ends before the limit whatever is still open.
    pub async fn stop(mut self) -> StopResult {
        let signalled_at = self.core.now();
        let ended_before = self.core.work.ended();
        let settings = stop_settings(&self.core.settings);
        let deadlines = StopDeadlines::new(&settings);
        let leaving = PlannedStop::new(self.core.stop.clone()).leave(&settings, signalled_at);
        let (requests, limit_ms) = (self.core.work.len(), settings.grace.as_millis() as u64);
        tracing::info!(
            requests,
            limit_ms,
            "planned stop: removing this gateway from address answers"
        );
        sleep_until(deadlines.port_closes).await;
        let requests_ended = self.drain(leaving.drain(), &deadlines).await;
        let tasks_ended = self.end_background_tasks(deadlines.exit).await;
        let took = self.core.now().since(signalled_at);
        self.log_end(took, self.core.work.ended() - ended_before);
        self.background_stop.cancel();
        if !matches!(timeout_at(deadlines.exit, self.admin.close()).await, Ok(Ok(()))) {
            tracing::warn!("planned stop: the server for operators has not ended");
        }
        match requests_ended && tasks_ended {
            true => StopResult::Drained,
            false => StopResult::TimedOut,
        }
    }

    /// Waits until all requests have ended, and ends the others when their answers are due. Returns
    /// whether all of them ended by themselves.
    async fn drain(&mut self, draining: PlannedStop<Draining>, deadlines: &StopDeadlines) -> bool {
        let Self { core, callers, .. } = self;
        core.runs.close();
        let ended = async { tokio::join!(&mut callers.serving, core.runs.wait()) };
        let mut ended = pin!(ended);
        if timeout_at(deadlines.answers_due, ended.as_mut()).await.is_ok() {
            return true;
        }
        let all_answered = core.work.is_empty();
        let _ending: PlannedStop<Ending> = draining.end();
        // Connections end once the last answers are written.
        let all_written = timeout_at(deadlines.exit, ended).await.is_ok();
        if !all_written {
            core.log_open_requests();
        }
        all_answered && all_written
    }

    /// Waits for the writes of claims. Returns whether they ended in time.
    async fn end_background_tasks(&self, exit: Instant) -> bool {
        let tasks = &self.core.background_tasks;
        tasks.close();
        let ended = timeout_at(exit, tasks.wait()).await.is_ok();
        if !ended {
            // A claim that is not written is answered as running until its deadline, then as unknown.
            tracing::warn!(
                tasks = tasks.len(),
                "planned stop: the writes of claims have not ended"
            );
        }
        ended
    }

    fn log_end(&self, took: Duration, ended: WorkCounts) {
        let WorkCounts { whole, refused, unknown, cut, abandoned } = ended;
        let took_ms = took.as_millis() as u64;
        let (open, connections) = (self.core.work.len(), self.callers.open_connections());
        tracing::info!(
            took_ms,
            whole,
            refused,
            unknown,
            cut,
            abandoned,
            open,
            connections,
            "planned stop: ended"
        );
    }
}

/// When the steps of a stop are due.
struct StopDeadlines {
    port_closes: Instant,
    answers_due: Instant,
    exit: Instant,
}

impl StopDeadlines {
    fn new(settings: &StopSettings) -> Self {
        let now = Instant::now();
        Self {
            port_closes: now + settings.port_closes_after,
            answers_due: now + settings.answers_due_after,
            exit: now + settings.exits_after,
        }
    }
}

/// The times of a stop: the `stop_limit_ms` setting takes the place of the grace time, and the port
/// is open until all address answers that contain this gateway have expired.
pub fn stop_settings(settings: &GatewaySettings) -> StopSettings {
    let within = StopSettings::within(Duration::from_millis(settings.stop_limit_ms));
    let port_closes_after = address_expiry_time(settings).min(within.answers_due_after);
    StopSettings { port_closes_after, ..within }
}

/// Time until all address answers that contain this gateway have expired.
///
/// Other gateways list this one until they learn that it is draining, or until they become isolated
/// because their state is too old; callers may then still use the answer for `address_keep_ms`.
fn address_expiry_time(settings: &GatewaySettings) -> Duration {
    let max_staleness_ms = settings.freshness.window_ms + settings.controller_poll_ms;
    Duration::from_millis(max_staleness_ms + settings.address_keep_ms)
}
