//! A gateway without sockets, for tests with paused time.

use {
    super::{
        client::{CallerAnswer, CallerRequest},
        controller::FakeController,
        models::ScriptedModels,
        platform_fake::MemoryTable,
        ports_with, settings,
    },
    base::{Tick, TickClock},
    conf::settings::GatewaySettings,
    dropshot::Body,
    engine::{CompletionKind, HttpBackend},
    gateway::{core::GatewayCore, poll::StatePoller, ports::WallClock, serve::serve_completion},
    http::{Request, Response},
    http_body_util::BodyExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// The tokio runtime's clock, which tests pause, plus the time of simulated freezes of the process.
pub struct RuntimeClock {
    start: Instant,
    frozen_nanos: AtomicU64,
}

impl Default for RuntimeClock {
    fn default() -> Self {
        Self { start: Instant::now(), frozen_nanos: AtomicU64::new(0) }
    }
}

impl RuntimeClock {
    /// Simulates a frozen process: this clock advances by `span`, while tokio's timers do not.
    pub fn freeze(&self, span: Duration) {
        self.frozen_nanos.fetch_add(span.as_nanos() as u64, Ordering::SeqCst);
    }
}

impl TickClock for RuntimeClock {
    fn now(&self) -> Tick {
        let nanos = self.start.elapsed().as_nanos() as u64;
        Tick(1 + nanos + self.frozen_nanos.load(Ordering::SeqCst))
    }
}

impl WallClock for RuntimeClock {
    fn unix_ms(&self) -> u64 {
        1_700_000_000_000 + self.now().0 / 1_000_000
    }
}

/// A gateway with fake engines, table service and controller.
pub struct TestGateway {
    pub core: Arc<GatewayCore>,
    pub clock: Arc<RuntimeClock>,
    pub models: Arc<ScriptedModels>,
    pub table: Arc<MemoryTable>,
    pub controller: Arc<FakeController>,
    pub polling: CancellationToken,
}

impl TestGateway {
    /// Creates a gateway that is current and has the serving groups `g1` and `g2`.
    pub async fn new() -> Self {
        Self::with(settings(), Arc::default(), Arc::default(), FakeController::new()).await
    }

    pub async fn with(
        settings: GatewaySettings,
        models: Arc<ScriptedModels>,
        table: Arc<MemoryTable>,
        controller: Arc<FakeController>,
    ) -> Self {
        let clock = Arc::new(RuntimeClock::default());
        let services = Arc::new(HttpBackend::new(clock.clone(), Duration::from_secs(1)));
        let ports =
            ports_with(clock.clone(), clock.clone(), models.clone(), services, table.clone());
        let core = Arc::new(GatewayCore::new(settings, ports));
        if controller.poll_count() == 0 {
            controller.add_group("g1", ([127, 0, 0, 1], 1).into());
            controller.add_group("g2", ([127, 0, 0, 1], 2).into());
        }
        let polling = CancellationToken::new();
        let mut poller = StatePoller::new(core.clone(), controller.clone());
        poller.poll_round().await;
        tokio::spawn(poller.run(polling.clone()));
        Self { core, clock, models, table, controller, polling }
    }

    /// Sends a completion request and waits for the response headers.
    pub async fn open(&self, request: CallerRequest) -> Response<Body> {
        let request = request.into_request();
        serve_completion(&self.core, CompletionKind::Chat, request).await
    }

    /// Sends a completion request and reads the answer to its end.
    pub async fn call(&self, request: CallerRequest) -> CallerAnswer {
        read(self.open(request).await).await
    }

    /// Stops polling the controller, so that the evidence expires.
    pub fn stop_polling(&self) {
        self.polling.cancel();
    }
}

/// Reads a response to its end.
pub async fn read(response: Response<Body>) -> CallerAnswer {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    CallerAnswer { status: parts.status, headers: parts.headers, body }
}

impl CallerRequest {
    pub fn into_request(self) -> Request<Body> {
        self.builder.body(Body::from(self.body)).unwrap()
    }
}
