//! Backend servers with their estimated load and recent failures.

use {
    crate::backlog::{RequestWork, ServerBacklog},
    base::{FailureDomainId, HostId, ModelName, ServiceName, Tick},
    reach::ServerTarget,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Id of one incarnation of a server; a restarted server has another id. It has the type of a host
/// id because the planner treats each server as a host.
pub type ServerId = HostId;

/// Load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued at the server.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Load, latency and failures of a server as this process sees them.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Requests of this process that are in flight at the server.
    in_flight: AtomicU32,
    /// Load in the last report, in requests: the running ones plus twice the waiting ones.
    reported_load: AtomicU32,
    /// Tick at which the last load report was received, in nanoseconds; 0 before the first.
    reported_at: AtomicU64,
    /// Requests that the server can run at once; 0 before the first report.
    slots: AtomicU32,
    /// Requests that this process has sent since the last load report.
    sent_since_report: AtomicU32,
    /// Tick at which data of an answer was last received, in nanoseconds.
    progressed_at: AtomicU64,
    /// Tick at which the back-off ends, in nanoseconds.
    backoff_until: AtomicU64,
    /// Failures in a row.
    failures: AtomicU32,
    /// Whether the server has said that it is leaving.
    leaving: AtomicBool,
    /// Tick until which the server wants no requests from this process, in nanoseconds.
    quiet_until: AtomicU64,
    /// Moving mean of the time from a request to the first event of its stream or to its complete
    /// answer, in microseconds; 0 before the first sample.
    response_time_us: AtomicU64,
    /// What is left to do there, for model engines.
    pub(crate) backlog: ServerBacklog,
}

/// Half-life of a load report in the estimated load. Requests last about a second, and reports
/// arrive several times a second.
const LOAD_REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Ratio of estimated load to slots from which a server counts as full. Requests queued beyond the
/// slots delay all later ones; slightly more than 1 because load reports lag, so that some of the
/// reported requests have already ended.
const FULL_RATIO: f64 = 1.1;
/// A new sample enters the moving mean of response times with a weight of 1/8.
const MEAN_DIVISOR: u64 = 8;

impl BackendServer {
    /// The server as a target of connections; `purpose` is for logs.
    pub(crate) fn target<'a>(&'a self, purpose: &'a str) -> ServerTarget<'a> {
        ServerTarget { server: &self.id, address: self.address, purpose }
    }
}

impl ServerCounters {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.sent_since_report.fetch_add(1, Ordering::Relaxed);
        InFlight { counters: self.clone(), work: None }
    }

    /// Records a load report that was received at `now`.
    pub fn note_load(&self, report: ServerLoad, now: Tick) {
        let load = report.running.saturating_add(report.waiting.saturating_mul(2));
        self.reported_load.store(load, Ordering::Relaxed);
        self.backlog.note_report(report.running.saturating_add(report.waiting));
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.slots.store(report.slots, Ordering::Relaxed);
        self.sent_since_report.store(0, Ordering::Relaxed);
    }

    /// Records that data of an answer was received from the server.
    pub fn note_progress(&self, now: Tick) {
        self.progressed_at.store(now.0, Ordering::Relaxed);
    }

    /// Records a complete answer or a first event that came `wait` after its request, and resets the
    /// count of failures.
    pub fn note_success(&self, wait: Duration) {
        let sample = wait.as_micros() as u64;
        let mean = self.response_time_us.load(Ordering::Relaxed);
        let next =
            if mean == 0 { sample } else { mean + sample / MEAN_DIVISOR - mean / MEAN_DIVISOR };
        self.response_time_us.store(next, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Records a failure and puts the server in back-off for `backoff`, doubled with each further
    /// failure in a row.
    pub fn note_failure(&self, now: Tick, backoff: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_BACKOFF_DOUBLINGS);
        let until = now + backoff * (1 << failures);
        self.backoff_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Whether the server is in back-off after a failure.
    pub fn in_backoff(&self, now: Tick) -> bool {
        self.backoff_until.load(Ordering::Relaxed) > now.0
    }

    /// Records that the server said that it is leaving; it gets no further requests.
    pub fn note_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the server said that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records that the server wants no requests from this process for `span`.
    pub fn note_quiet(&self, now: Tick, span: Duration) {
        self.quiet_until.fetch_max((now + span).0, Ordering::Relaxed);
    }

    /// How long the server still wants no requests; zero if it accepts them.
    pub fn quiet_left(&self, now: Tick) -> Duration {
        Tick(self.quiet_until.load(Ordering::Relaxed)).since(now)
    }

    /// Whether the server accepts requests: it neither leaves nor wants none for a while. Unlike
    /// one in back-off, a server that does not is never tried.
    pub fn accepts(&self, now: Tick) -> bool {
        !self.is_leaving() && self.quiet_left(now).is_zero()
    }

    /// Whether data of any answer was received from the server within the last `span`.
    pub fn progressed_within(&self, now: Tick, span: Duration) -> bool {
        now.since(Tick(self.progressed_at.load(Ordering::Relaxed))) <= span
    }

    /// Requests of this process that are in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Estimated load of the server, in requests: the last load report, decayed by its age, plus
    /// the requests sent since, but at least those of this process that are in flight.
    pub fn load(&self, now: Tick) -> f64 {
        let age = self.report_age(now);
        let decay = 0.5_f64.powf(age.as_secs_f64() * 1_000.0 / LOAD_REPORT_HALF_LIFE_MS);
        let reported = f64::from(self.reported_load.load(Ordering::Relaxed)) * decay;
        let sent = f64::from(self.sent_since_report());
        (reported + sent).max(f64::from(self.in_flight()))
    }

    /// Time since the last load report was received.
    pub(crate) fn report_age(&self, now: Tick) -> Duration {
        now.since(Tick(self.reported_at.load(Ordering::Relaxed)))
    }

    /// Requests of this process that were sent since the last load report and are in flight.
    pub(crate) fn sent_since_report(&self) -> u32 {
        self.sent_since_report.load(Ordering::Relaxed).min(self.in_flight())
    }

    /// Whether the estimated load reaches `FULL_RATIO`; false if the server has not reported its
    /// slots.
    pub fn is_full(&self, now: Tick) -> bool {
        let slots = self.slots.load(Ordering::Relaxed);
        slots > 0 && self.load(now) >= f64::from(slots) * FULL_RATIO
    }

    /// Requests that the server can run at once; `None` until it has reported them.
    pub fn slots(&self) -> Option<u32> {
        Some(self.slots.load(Ordering::Relaxed)).filter(|slots| *slots > 0)
    }

    /// Moving mean of the time from a request to the first event of its stream, or to its complete
    /// answer; zero before the first sample.
    pub fn mean_response_time(&self) -> Duration {
        Duration::from_micros(self.response_time_us.load(Ordering::Relaxed))
    }
}

/// Maximum number of times that a server's back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Guard that counts a request as in flight at a server until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    counters: Arc<ServerCounters>,
    /// Only at model engines of known speed.
    work: Option<Box<RequestWork>>,
}

impl InFlight {
    /// Counts the work of the request as well.
    pub(crate) fn with_work(mut self, work: RequestWork) -> Self {
        self.work = Some(Box::new(work));
        self
    }

    /// The request's part in the work of the server, if it is known.
    pub(crate) fn work(&mut self) -> Option<&mut RequestWork> {
        self.work.as_deref_mut()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A backend server that accepts requests. A model engine accepts them for its serving group: a set
/// of hosts that run one model together, of which only the head takes requests.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Id of this incarnation of the server.
    pub id: ServerId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: FailureDomainId,
    /// Model that its serving group runs; `None` for servers of services without models.
    pub model: Option<ModelName>,
    /// Load and failures; shared by all copies of this entry.
    pub counters: Arc<ServerCounters>,
}

/// The servers of each service that accept requests now.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    services: BTreeMap<ServiceName, Vec<BackendServer>>,
}

impl ServerTable {
    /// Creates a table from the servers of each service.
    pub fn new(services: BTreeMap<ServiceName, Vec<BackendServer>>) -> Self {
        Self { services }
    }

    /// The servers of a service that serve `model`, and those that are not bound to a model.
    pub fn candidates<'a>(
        &'a self,
        service: &ServiceName,
        model: Option<&'a ModelName>,
    ) -> impl Iterator<Item = &'a BackendServer> {
        let servers = self.services.get(service).map_or(&[][..], Vec::as_slice);
        servers
            .iter()
            .filter(move |server| server.model.is_none() || server.model.as_ref() == model)
    }

    /// The servers of all services.
    pub fn all(&self) -> impl Iterator<Item = &BackendServer> {
        self.services.values().flatten()
    }
}
