//! Knows which servers this process does not reach although others do.

use {
    base::{HostId, Tick},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Times of a [`PathTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackerSettings {
    /// Time after which a detoured server is dialed directly again, doubled with each further try.
    pub recheck: Duration,
    /// Upper bound of that time.
    pub max_recheck: Duration,
    /// A server without a connection for this long is forgotten.
    pub forget_after: Duration,
    /// Longest time since a direct connection for which the own links count as sound.
    pub sound_for: Duration,
    /// Number of servers whose direct connections failed one after the other from which on the links
    /// count as doubtful.
    pub doubtful_failures: usize,
}

impl Default for TrackerSettings {
    fn default() -> Self {
        Self {
            recheck: Duration::from_millis(250),
            max_recheck: Duration::from_secs(1),
            forget_after: Duration::from_secs(10),
            sound_for: Duration::from_millis(300),
            doubtful_failures: 2,
        }
    }
}

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChoice {
    /// Directly; peers are asked if that takes long.
    Direct,
    /// Directly and, a moment later, through a peer: the direct path is in doubt.
    Both,
    /// Through a peer.
    Peer,
}

/// A server that a peer reaches and this process does not.
#[derive(Clone, Copy, Debug)]
struct Detour {
    used_at: Tick,
    recheck_at: Tick,
    rechecks: u32,
}

/// Remembers the outcomes of connections. It decides nothing about the servers themselves: one that no
/// peer reaches either is not detoured.
#[derive(Debug, Default)]
pub struct PathTracker {
    settings: TrackerSettings,
    detours: BTreeMap<HostId, Detour>,
    /// Servers whose direct connections failed since one was made.
    failed: BTreeSet<HostId>,
    connected_at: Option<Tick>,
}

impl PathTracker {
    /// A tracker without any outcome.
    pub fn new(settings: TrackerSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// How to connect to a server now. A detoured server is dialed directly now and then, so that a
    /// link which works again is used.
    pub fn choose(&mut self, server: &HostId, now: Tick) -> PathChoice {
        self.forget_unused(now);
        let is_doubtful = self.failed.len() >= self.settings.doubtful_failures;
        let Some(detour) = self.detours.get_mut(server) else {
            return if is_doubtful { PathChoice::Both } else { PathChoice::Direct };
        };
        detour.used_at = now;
        if now < detour.recheck_at {
            return PathChoice::Peer;
        }
        let pause = self.settings.recheck * (1 << detour.rechecks.min(MAX_DOUBLINGS));
        detour.recheck_at = now + pause.min(self.settings.max_recheck);
        detour.rechecks += 1;
        PathChoice::Both
    }

    /// Records a direct connection. Returns whether the server had been detoured.
    pub fn note_direct(&mut self, server: &HostId, now: Tick) -> bool {
        self.connected_at = Some(now);
        self.failed.clear();
        self.detours.remove(server).is_some()
    }

    /// Records that a direct connection failed or takes too long.
    pub fn note_failed(&mut self, server: &HostId) {
        if !self.failed.contains(server) {
            self.failed.insert(server.clone());
        }
    }

    /// Records that a peer reached a server which this process did not. Returns whether it was not
    /// detoured before.
    pub fn note_detour(&mut self, server: &HostId, now: Tick) -> bool {
        if let Some(detour) = self.detours.get_mut(server) {
            detour.used_at = now;
            return false;
        }
        let recheck_at = now + self.settings.recheck;
        self.detours.insert(server.clone(), Detour { used_at: now, recheck_at, rechecks: 0 });
        true
    }

    /// Whether the server is detoured.
    pub fn is_detoured(&self, server: &HostId) -> bool {
        self.detours.contains_key(server)
    }

    /// Number of detoured servers.
    pub fn detoured(&self) -> usize {
        self.detours.len()
    }

    /// Whether a failed connection is rather the server's fault than that of the own links: no server
    /// is detoured, and one was reached a moment ago.
    pub fn is_sound(&self, now: Tick) -> bool {
        let is_recent = |at: Tick| now.since(at) <= self.settings.sound_for;
        self.detours.is_empty() && self.connected_at.is_some_and(is_recent)
    }

    fn forget_unused(&mut self, now: Tick) {
        let forget_after = self.settings.forget_after;
        self.detours.retain(|_, detour| now.since(detour.used_at) < forget_after);
    }
}

/// Keeps the factor of the time between two rechecks within its type.
const MAX_DOUBLINGS: u32 = 8;
