//! Backend servers, what is known of their load, and how they did lately.

use {
    base::{FailureDomainId, HostId, ModelName, ServiceName, Tick},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// The id of one start of a server.
pub type ServerId = HostId;

/// What a server says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadWord {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How a server did lately, as this process saw it.
#[derive(Debug, Default)]
pub struct ServerCounters {
    in_flight: AtomicU32,
    reported: AtomicU32,
    reported_at: AtomicU64,
    slots: AtomicU32,
    sent_since: AtomicU32,
    progressed_at: AtomicU64,
    shunned_until: AtomicU64,
    failures: AtomicU32,
    /// Moving mean of the time to a first byte, in microseconds.
    first_byte_us: AtomicU64,
}

/// Time after which half of a load word is forgotten; requests last about a second, and words come
/// several times a second.
const WORD_HALF_LIFE_MS: f64 = 2_000.0;
/// Part of a server's slots up to which it gets more work. What waits beyond its slots is answered
/// late, and so is what comes after it; words lag, so that some of it is over already.
const FULL_PART: f64 = 1.1;
/// Part of a new sample in the moving mean of first bytes: one in this many.
const MEAN_PARTS: u64 = 8;

impl ServerCounters {
    /// Counts a request that is sent.
    pub fn start(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.sent_since.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Takes in a load word.
    pub fn note_load(&self, word: LoadWord, now: Tick) {
        self.reported.store(word.running + 2 * word.waiting, Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.slots.store(word.slots, Ordering::Relaxed);
        self.sent_since.store(0, Ordering::Relaxed);
    }

    /// Takes in that bytes of an answer came.
    pub fn note_progress(&self, now: Tick) {
        self.progressed_at.store(now.0, Ordering::Relaxed);
    }

    /// Takes in a whole answer or a first event after `wait`.
    pub fn note_success(&self, wait: Duration) {
        let sample = wait.as_micros() as u64;
        let mean = self.first_byte_us.load(Ordering::Relaxed);
        let next = if mean == 0 { sample } else { mean + sample / MEAN_PARTS - mean / MEAN_PARTS };
        self.first_byte_us.store(next, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Takes in a failure and shuns the server for `span`, doubled with each failure in a row.
    pub fn note_failure(&self, now: Tick, span: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        let until = now + span * (1 << failures);
        self.shunned_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Whether the server is shunned.
    pub fn is_shunned(&self, now: Tick) -> bool {
        self.shunned_until.load(Ordering::Relaxed) > now.0
    }

    /// Whether any answer moved within `span`.
    pub fn progressed_within(&self, now: Tick, span: Duration) -> bool {
        now.since(Tick(self.progressed_at.load(Ordering::Relaxed))) <= span
    }

    /// Requests of this process at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests at the server, as far as can be told: the last word, fading, and what was sent
    /// since, but at least this process's own.
    pub fn load(&self, now: Tick) -> f64 {
        let age = now.since(Tick(self.reported_at.load(Ordering::Relaxed)));
        let faded = 0.5_f64.powf(age.as_secs_f64() * 1_000.0 / WORD_HALF_LIFE_MS);
        let reported = f64::from(self.reported.load(Ordering::Relaxed)) * faded;
        let since = f64::from(self.sent_since.load(Ordering::Relaxed).min(self.in_flight()));
        (reported + since).max(f64::from(self.in_flight()))
    }

    /// Whether the server has as much work as it can run at once, as far as can be told.
    pub fn is_full(&self, now: Tick) -> bool {
        let slots = self.slots.load(Ordering::Relaxed);
        slots > 0 && self.load(now) >= f64::from(slots) * FULL_PART
    }

    /// Requests that it runs at once; none if it has not told.
    pub fn slots(&self) -> Option<u32> {
        Some(self.slots.load(Ordering::Relaxed)).filter(|slots| *slots > 0)
    }

    /// Moving mean of the time to a first byte.
    pub fn first_byte(&self) -> Duration {
        Duration::from_micros(self.first_byte_us.load(Ordering::Relaxed))
    }
}

/// Doublings of the time for which a failing server is shunned.
const MAX_DOUBLINGS: u32 = 3;

/// A request at a server; counted until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<ServerCounters>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A backend server that may be given requests.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// The id of this start of it.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// The model that its group serves; none for servers of plain services.
    pub model: Option<ModelName>,
    /// How it did lately.
    pub counters: Arc<ServerCounters>,
}

/// The servers of each service that take requests now.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    services: BTreeMap<ServiceName, Vec<BackendServer>>,
}

impl ServerTable {
    /// A table of these servers.
    pub fn new(services: BTreeMap<ServiceName, Vec<BackendServer>>) -> Self {
        Self { services }
    }

    /// The servers of a service that serve `model`, where one is asked for.
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

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &BackendServer> {
        self.services.values().flatten()
    }
}
