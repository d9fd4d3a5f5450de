//! How recent the configuration of this process is known to be, and which peers know better.
//!
//! An answer without a newer configuration only means that its sender has none. So each answer says
//! when its sender's configuration was last confirmed: the store confirms it by an answer, and each
//! process passes the time on to those that read from it. Ages add up along a chain; in a subtree that
//! is cut off from the store, or in a circle of sources, they grow.

use {
    crate::ports::ConfigStamp,
    base::Tick,
    relay::{CONFIG_TRUST, ConfigStanding},
    smol_str::{SmolStr, ToSmolStr},
    std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration},
};

/// How long a peer may have a newer configuration before this process turns to other sources. It
/// exceeds the time the store needs to notify all watches and is below the time in which a change
/// must take effect.
const OUTDATED_TOLERANCE: Duration = Duration::from_millis(500);
/// Time between two attempts to find a better source.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(500);
/// How long a peer's claim counts; several gossip rounds.
const CLAIM_TTL: Duration = Duration::from_secs(3);
/// How long the claims of a peer that did not hold to one are ignored.
const DISTRUST_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of claims kept, the newest ones.
const MAX_CLAIMS: usize = 64;
/// While nobody's configuration is confirmed, each process reads the store about once in this time
/// for each process of the system, so that all together read it a few times per second.
pub(crate) const READ_SPREAD: Duration = Duration::from_millis(250);

base::value_type!(
    /// What a process says about its own configuration.
    #[derive(Copy, Default)]
    pub struct ConfigClaim {
        /// The configuration that it has; zero before it knows one.
        pub stamp: ConfigStamp,
        /// Time since that was last known to be the newest one, in milliseconds; `None` if it never
        /// was.
        pub age_ms: Option<u32>,
    }
);

impl ConfigClaim {
    /// The claim of a process whose configuration was last confirmed this time ago.
    pub fn new(stamp: ConfigStamp, age: Option<Duration>) -> Self {
        Self { stamp, age_ms: age.map(millis) }
    }

    /// Time since the configuration was last known to be the newest one.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(|age_ms| Duration::from_millis(age_ms.into()))
    }
}

/// A time span in the milliseconds of messages; the longest one if it is above that.
pub(crate) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Where a configuration came from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigOrigin {
    /// The process that it was read from; `None` for the store.
    pub peer: Option<SmolStr>,
    /// Number of processes between the store and this one.
    pub depth: u8,
}

impl ConfigOrigin {
    /// The origin of what a process answers whose own configuration passed through `depth` others.
    pub fn peer(peer: impl fmt::Display, depth: u8) -> Self {
        Self { peer: Some(peer.to_smolstr()), depth: depth.saturating_add(1) }
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerClaim {
    stamp: ConfigStamp,
    confirmed_at: Option<Tick>,
    heard_at: Tick,
    distrusted_until: Option<Tick>,
}

/// Peers that have been ahead of this process without a break.
#[derive(Clone, Copy, Debug)]
struct AheadSpan {
    /// The newest configuration that they had at first.
    stamp: ConfigStamp,
    since: Tick,
}

/// Tracks the age of the configuration and what peers say about theirs. Does no I/O.
#[derive(Debug, Default)]
pub struct ConfigTracker {
    own: ConfigStamp,
    confirmed_at: Option<Tick>,
    origin: ConfigOrigin,
    claims: BTreeMap<SocketAddr, PeerClaim>,
    ahead: Option<AheadSpan>,
    /// When a better source may be looked for again.
    next_attempt_at: Tick,
    /// When this process reads the store itself if its configuration is still unconfirmed.
    read_at: Option<Tick>,
}

impl ConfigTracker {
    /// Records that this process has a newer configuration.
    pub fn set_own(&mut self, stamp: ConfigStamp) {
        self.own = stamp;
    }

    /// Records where the next answer comes from.
    pub fn set_origin(&mut self, origin: ConfigOrigin) {
        self.origin = origin;
    }

    /// Records that this process's configuration was the newest one at `at`.
    pub fn confirm(&mut self, at: Tick) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Where the configuration came from.
    pub fn origin(&self) -> &ConfigOrigin {
        &self.origin
    }

    /// When the configuration was last known to be the newest one.
    pub fn confirmed_at(&self) -> Option<Tick> {
        self.confirmed_at
    }

    /// Time since the configuration was last known to be the newest one.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// What this process tells others about its configuration.
    pub fn claim(&self, now: Tick) -> ConfigClaim {
        ConfigClaim::new(self.own, self.age(now))
    }

    /// Records what the peer at `address` says about its configuration.
    pub fn note_claim(&mut self, address: SocketAddr, claim: ConfigClaim, now: Tick) {
        self.claims.retain(|_, known| now.since(known.heard_at) < CLAIM_TTL);
        let distrusted_until = self.claims.get(&address).and_then(|known| known.distrusted_until);
        let known = PeerClaim {
            stamp: claim.stamp,
            confirmed_at: claim.age().map(|age| now.back(age)),
            heard_at: now,
            distrusted_until,
        };
        self.claims.insert(address, known);
        if self.claims.len() > MAX_CLAIMS {
            let oldest = self.claims.iter().min_by_key(|(_, claim)| claim.heard_at);
            let oldest = oldest.map(|(address, _)| *address);
            self.claims.retain(|address, _| Some(*address) != oldest);
        }
        self.note_ahead(now);
    }

    /// Ignores a peer's claims for a while, because it did not answer or did not have what it claimed.
    pub fn distrust(&mut self, address: SocketAddr, now: Tick) {
        if let Some(known) = self.claims.get_mut(&address) {
            known.distrusted_until = Some(now + DISTRUST_PERIOD);
        }
        self.note_ahead(now);
    }

    /// The claims that count now.
    fn trusted(&self, now: Tick) -> impl Iterator<Item = (SocketAddr, &PeerClaim)> {
        let counts = move |claim: &PeerClaim| {
            now.since(claim.heard_at) < CLAIM_TTL
                && claim.distrusted_until.is_none_or(|until| until <= now)
        };
        self.claims.iter().filter(move |(_, claim)| counts(claim)).map(|(to, claim)| (*to, claim))
    }

    /// The newest configuration that a peer is known to have; zero if none has any.
    fn newest_told(&self, now: Tick) -> ConfigStamp {
        self.trusted(now).map(|(_, claim)| claim.stamp).max().unwrap_or_default()
    }

    fn note_ahead(&mut self, now: Tick) {
        let newest = self.newest_told(now);
        // Once this process has what peers were ahead with, it has kept up so far.
        self.ahead = self.ahead.filter(|ahead| ahead.stamp > self.own && newest > self.own);
        if newest > self.own {
            self.ahead.get_or_insert(AheadSpan { stamp: newest, since: now });
        }
    }

    /// How recent the configuration is known to be, for the request path.
    pub fn standing(&self, now: Tick) -> ConfigStanding {
        let newest = self.newest_told(now);
        ConfigStanding {
            is_behind: newest > self.own,
            confirmed_at: self.confirmed_at,
            source: self.origin.peer.clone().unwrap_or_else(|| SmolStr::new_static("store")),
            newest_told: newest.version,
        }
    }

    /// Whether this process has a configuration that is no longer trusted, or never was confirmed.
    fn is_stale(&self, now: Tick) -> bool {
        self.own > ConfigStamp::default() && self.age(now).is_none_or(|age| age >= CONFIG_TRUST)
    }

    /// Whether this process should look for a better source now: peers have been ahead for
    /// `OUTDATED_TOLERANCE`, or its configuration is no longer trusted. True at most once in
    /// `ATTEMPT_PAUSE`.
    pub fn take_attempt(&mut self, now: Tick) -> bool {
        let is_outdated =
            self.ahead.is_some_and(|ahead| now.since(ahead.since) >= OUTDATED_TOLERANCE);
        if now < self.next_attempt_at || !(is_outdated || self.is_stale(now)) {
            return false;
        }
        self.next_attempt_at = now + ATTEMPT_PAUSE;
        true
    }

    /// Peers with a newer configuration, or with a trusted one where this process's is not; the best
    /// first.
    pub fn better_peers(&self, now: Tick) -> Vec<SocketAddr> {
        let is_stale = self.is_stale(now);
        let is_recent =
            |claim: &PeerClaim| claim.confirmed_at.is_some_and(|at| now.since(at) < CONFIG_TRUST);
        let is_better = |claim: &PeerClaim| {
            claim.stamp > self.own || (is_stale && claim.stamp == self.own && is_recent(claim))
        };
        let mut better: Vec<(SocketAddr, &PeerClaim)> =
            self.trusted(now).filter(|(_, claim)| is_better(claim)).collect();
        better.sort_by_key(|(_, claim)| std::cmp::Reverse((claim.stamp, claim.confirmed_at)));
        better.into_iter().map(|(address, _)| address).collect()
    }

    /// Whether it is this process's turn to read the store although its sources answer, because its
    /// configuration is not trusted and no peer knows better. `sample` is a random number from 0 to 1,
    /// by which the turns of `processes` processes are spread.
    pub fn take_store_turn(&mut self, processes: usize, sample: f64, now: Tick) -> bool {
        if !self.is_stale(now) {
            self.read_at = None;
            return false;
        }
        let wait = READ_SPREAD.mul_f64(processes as f64 * sample);
        let is_due = *self.read_at.get_or_insert(now + wait) <= now;
        if is_due {
            self.read_at = None;
        }
        is_due
    }
}
