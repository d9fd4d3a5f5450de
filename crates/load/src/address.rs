//! Which gateways to use: asked of the system, kept as long as it says.

use {
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// The answer to `GET /v1/addresses`, as far as it matters here.
#[derive(Clone, Debug, Deserialize)]
pub struct AddressAnswer {
    /// The gateways in the order to try.
    pub addresses: Vec<AddressLine>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One gateway.
#[derive(Clone, Debug, Deserialize)]
pub struct AddressLine {
    /// Where it listens.
    pub address: SocketAddr,
}

/// What one caller knows of addresses.
#[derive(Debug)]
pub struct AddressBook {
    seeds: Vec<SocketAddr>,
    kept: Mutex<KeptAddresses>,
}

#[derive(Debug, Default)]
struct KeptAddresses {
    addresses: Vec<SocketAddr>,
    until: Option<Instant>,
}

impl AddressBook {
    /// A book that knows only whom to ask.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, kept: Mutex::default() }
    }

    /// The kept addresses; none when they have to be asked for.
    pub fn kept(&self, now: Instant) -> Option<Vec<SocketAddr>> {
        let kept = self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let valid = kept.until.is_some_and(|until| now < until) && !kept.addresses.is_empty();
        valid.then(|| kept.addresses.clone())
    }

    /// Keeps an answer that was asked for at `asked_at`.
    pub fn keep(&self, answer: &AddressAnswer, asked_at: Instant) {
        let mut kept = self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        kept.addresses = answer.addresses.iter().map(|line| line.address).collect();
        kept.until = Some(asked_at + Duration::from_millis(answer.keep_ms));
    }

    /// Whom to ask for addresses: the gateways known last, then the seeds.
    pub fn askable(&self) -> Vec<SocketAddr> {
        let kept = self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        kept.addresses.iter().chain(&self.seeds).copied().collect()
    }
}
