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
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// A gateway whose servers and background tasks are running.
pub struct RunningGateway {
    /// State shared with the servers and background tasks.
    pub core: Arc<GatewayCore>,
    callers: CallerServer,
    admin: HttpServer<ServerContext>,
    stop: CancellationToken,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// All requests ended within the time limit.
    Drained,
    /// Requests were still open at the time limit.
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
        Ok(Self { core, callers, admin, stop })
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
    /// The gateway first removes itself from the address answers, then accepts requests until the
    /// answers that callers already have are expired, and then waits for open requests. Only the
    /// `stop_limit_ms` setting ends the stop earlier.
    pub async fn stop(self) -> StopResult {
        tracing::info!("planned stop: removing this gateway from address answers");
        self.core.draining.cancel();
        let settings = &self.core.settings;
        let limit = Duration::from_millis(settings.stop_limit_ms);
        let drain = async {
            sleep(address_expiry_time(settings)).await;
            // All address answers with this gateway have expired, so no more requests are accepted.
            self.core.runs.close();
            let ((), ()) = tokio::join!(self.callers.close(), self.core.runs.wait());
            self.core.background_tasks.close();
            self.core.background_tasks.wait().await;
        };
        let drained = timeout(limit, drain).await.is_ok();
        self.stop.cancel();
        let _ = self.admin.close().await;
        if drained {
            tracing::info!("planned stop: all requests have ended");
            return StopResult::Drained;
        }
        tracing::warn!("planned stop: requests were still open at the time limit");
        StopResult::TimedOut
    }
}

/// Time until all address answers that contain this gateway have expired.
///
/// Other gateways list this one until they learn that it is draining, or until they become isolated
/// because their state is too old; callers may then still use the answer for `address_keep_ms`.
fn address_expiry_time(settings: &GatewaySettings) -> Duration {
    let max_staleness_ms = settings.freshness.window_ms + settings.controller_poll_ms;
    Duration::from_millis(max_staleness_ms + settings.address_keep_ms)
}
