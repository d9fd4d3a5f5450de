//! Knows which servers this process does not reach although others do.

use {
    base::{HostId, ServiceName, Tick},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Keeps the factor of the time between two rechecks within its type.
const MAX_DOUBLINGS: u32 = 8;

/// Times of a [`PathTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackerSettings {
    /// Time after which a detoured server is dialed directly again, doubled with each further try.
    pub recheck: Duration,
    /// Upper bound of that time.
    pub max_recheck: Duration,
    /// How long peers are not asked for a server that is down.
    pub down_for: Duration,
    /// How long after its last use a detour makes the links to its service doubtful.
    pub doubt_for: Duration,
    /// A server without a connection for this long is forgotten.
    pub forget_after: Duration,
    /// Number of servers of a service whose direct connections failed one after the other from which on
    /// the links to it count as doubtful.
    pub doubtful_failures: usize,
}

impl Default for TrackerSettings {
    fn default() -> Self {
        Self {
            recheck: Duration::from_millis(250),
            max_recheck: Duration::from_secs(1),
            down_for: Duration::from_secs(2),
            doubt_for: Duration::from_secs(1),
            forget_after: Duration::from_secs(10),
            doubtful_failures: 2,
        }
    }
}

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChoice {
    /// Directly, and on no other path: no process reaches the server.
    DirectOnly,
    /// Directly; peers are asked if that takes long.
    Direct,
    /// Directly and, a moment later, through a peer: the direct path is in doubt.
    Both,
    /// Through a peer.
    Peer,
}

/// A server that a peer reaches and this process does not.
#[derive(Clone, Debug)]
struct Detour {
    service: Option<ServiceName>,
    used_at: Tick,
    recheck_at: Tick,
    rechecks: u32,
}

/// The links to the servers of one service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// Servers whose direct connections failed since one was made.
    failed: BTreeSet<HostId>,
    /// When a direct connection was last made.
    connected_at: Option<Tick>,
    /// When a server was last reached, on whichever path.
    reached_at: Option<Tick>,
}

/// Remembers the outcomes of connections. It decides nothing about the servers themselves: one that no
/// peer reaches either is not detoured. The service of a server is `None` where it is not known.
#[derive(Debug, Default)]
pub struct PathTracker {
    settings: TrackerSettings,
    detours: BTreeMap<HostId, Detour>,
    /// Servers that no process reaches, each with the time until which peers are not asked again.
    down: BTreeMap<HostId, Tick>,
    links: BTreeMap<Option<ServiceName>, ServiceLinks>,
}

impl PathTracker {
    /// A tracker without any outcome.
    pub fn new(settings: TrackerSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// How to connect to a server now. A detoured server is dialed directly now and then, so that a
    /// link which works again is used.
    pub fn choose(
        &mut self,
        server: &HostId,
        service: Option<&ServiceName>,
        now: Tick,
    ) -> PathChoice {
        self.forget_unused(now);
        if self.down.contains_key(server) {
            return PathChoice::DirectOnly;
        }
        let Some(detour) = self.detours.get_mut(server) else {
            let failed = self.links(service).failed.len();
            let is_doubtful = failed >= self.settings.doubtful_failures;
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
    pub fn note_direct(
        &mut self,
        server: &HostId,
        service: Option<&ServiceName>,
        now: Tick,
    ) -> bool {
        let links = self.links(service);
        links.connected_at = Some(now);
        links.reached_at = Some(now);
        links.failed.clear();
        self.down.remove(server);
        self.detours.remove(server).is_some()
    }

    /// Records that a direct connection failed or takes too long.
    pub fn note_failed(&mut self, server: &HostId, service: Option<&ServiceName>) {
        let links = self.links(service);
        if !links.failed.contains(server) {
            links.failed.insert(server.clone());
        }
    }

    /// Records that a peer reached a server which this process did not. Returns whether it was not
    /// detoured before.
    pub fn note_detour(
        &mut self,
        server: &HostId,
        service: Option<&ServiceName>,
        now: Tick,
    ) -> bool {
        self.note_answer(service, now);
        if let Some(detour) = self.detours.get_mut(server) {
            detour.used_at = now;
            return false;
        }
        let service = service.cloned();
        let recheck_at = now + self.settings.recheck;
        let detour = Detour { service, used_at: now, recheck_at, rechecks: 0 };
        self.detours.insert(server.clone(), detour);
        true
    }

    /// Records that a server of a service answered, on whichever path.
    pub fn note_answer(&mut self, service: Option<&ServiceName>, now: Tick) {
        self.links(service).reached_at = Some(now);
    }

    /// Records that peers do not reach a server either. Returns whether that is new.
    pub fn note_down(&mut self, server: &HostId, now: Tick) -> bool {
        self.detours.remove(server);
        self.down.insert(server.clone(), now + self.settings.down_for).is_none()
    }

    /// Number of detoured servers.
    pub fn detoured(&self) -> usize {
        self.detours.len()
    }

    /// Whether a connection that failed since `at` did so for the server's sake: the own links to its
    /// service are sound. One of its servers was connected to directly since, none is detoured, and no
    /// other has failed.
    pub fn is_sound_since(&self, service: Option<&ServiceName>, at: Tick) -> bool {
        self.connects_since(service, at)
            && self.links.get(&service.cloned()).is_some_and(|links| links.failed.len() <= 1)
    }

    /// Whether a direct connection to a server of the service was made since `at`, and none of its
    /// servers is detoured.
    pub fn connects_since(&self, service: Option<&ServiceName>, at: Tick) -> bool {
        let links = self.links.get(&service.cloned());
        let connected = links.and_then(|links| links.connected_at);
        connected.is_some_and(|connected| connected >= at) && !self.has_detour(service, at)
    }

    /// Whether a server of the service answered since `at`, and none is detoured. Connections that are
    /// kept may live on while no new one can be made.
    pub fn works_since(&self, service: Option<&ServiceName>, at: Tick) -> bool {
        let links = self.links.get(&service.cloned());
        let reached = links.and_then(|links| links.reached_at);
        reached.is_some_and(|reached| reached >= at) && !self.has_detour(service, at)
    }

    /// Whether a server of the service was detoured shortly before `at`.
    pub fn has_detour(&self, service: Option<&ServiceName>, at: Tick) -> bool {
        self.detours.values().any(|detour| {
            detour.service.as_ref() == service && detour.used_at + self.settings.doubt_for >= at
        })
    }

    fn links(&mut self, service: Option<&ServiceName>) -> &mut ServiceLinks {
        self.links.entry(service.cloned()).or_default()
    }

    fn forget_unused(&mut self, now: Tick) {
        self.down.retain(|_, until| *until > now);
        let forget_after = self.settings.forget_after;
        self.detours.retain(|_, detour| now.since(detour.used_at) < forget_after);
    }
}
