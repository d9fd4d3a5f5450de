//! The limits that are known, and this process's part of each.

use {
    crate::{
        notice::{LimitChange, LimitNotice, NamedLimit},
        pace::RequestPace,
        settings::LimitSettings,
        sharers::SharerPlace,
    },
    base::{HostId, RatePerSecond, Tick},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash, Hasher},
        time::Duration,
    },
    twox_hash::XxHash64,
};

/// Maximum number of servers whose limits are kept; further ones are ignored. Bounds the memory that
/// messages with invented servers can take.
const MAX_SERVERS: usize = 4_096;

/// The limit of one server, or that it has none any more.
#[derive(Clone, Debug)]
struct LimitRecord {
    /// `None` once the limit has ended.
    rate: Option<RatePerSecond>,
    /// When the last answer that named the rate was received. For a limit that has ended, when the
    /// request was sent whose answer named none, which is the earliest time at which it was given.
    shown_at: Tick,
    /// This process's part; `None` if other processes share the rate.
    share: Option<LimitShare>,
}

/// This process's part of a server's rate.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    place: SharerPlace,
    pace: RequestPace,
}

/// The limit of one server, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    /// Id of the server.
    pub server: HostId,
    /// Requests per second from all processes together.
    pub rate: RatePerSecond,
    /// Requests per second that this process may send; 0 if other processes share the rate.
    pub own: RatePerSecond,
}

/// The processes that are alive, as this one sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ProcessList {
    own: HostId,
    live: Vec<HostId>,
}

/// Knows the limits of servers and paces the requests of this process to them.
#[derive(Debug, Default)]
pub struct LimitTracker {
    settings: LimitSettings,
    records: BTreeMap<HostId, LimitRecord>,
    /// `None` while this process is the only one.
    processes: Option<ProcessList>,
    /// Servers whose limits are to be told to the other processes.
    untold: BTreeSet<HostId>,
    changed_at: Option<Tick>,
    digest: u64,
}

impl LimitTracker {
    /// Knows no limit, and no other process.
    pub fn new(settings: LimitSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Whether no limit is known, nor the end of one.
    pub fn is_idle(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies an answer that was received at `now` to a request that was sent at `sent_at`.
    ///
    /// Answers overtake each other on the way. A limit therefore ends, or rises, only by the answer
    /// to a request that was sent after the last answer that named it had been received; a lower
    /// limit counts at once.
    pub fn note_answer(
        &mut self,
        server: &HostId,
        named: NamedLimit,
        sent_at: Tick,
        now: Tick,
    ) -> Option<LimitChange> {
        let known = self.records.get(server);
        let (rate, shown_at) = match (named, known) {
            (NamedLimit::Unreadable, _) | (NamedLimit::Absent, None) => return None,
            (NamedLimit::Absent, Some(record)) => {
                if record.rate.is_none() || sent_at <= record.shown_at {
                    return None;
                }
                (None, sent_at)
            }
            (NamedLimit::Rate(rate), known) => {
                let before = known.and_then(|record| record.rate);
                let is_higher = before.is_some_and(|before| rate > before);
                if is_higher && known.is_some_and(|record| sent_at <= record.shown_at) {
                    return None;
                }
                (Some(rate), now)
            }
        };
        let change = self.set(server, rate, shown_at, now);
        if change.is_some() {
            self.untold.insert(server.clone());
        }
        change
    }

    /// Applies what another process says; the newer of two different limits counts.
    pub fn receive(&mut self, notices: &[LimitNotice], now: Tick) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for notice in notices {
            let shown_at = now.back(notice.age);
            let known = self.records.get(&notice.server);
            let is_known = known
                .is_some_and(|record| record.rate != notice.rate && record.shown_at >= shown_at);
            let is_useless = known.is_none() && notice.rate.is_none();
            if is_known || is_useless || !is_usable(notice.rate) {
                continue;
            }
            changes.extend(self.set(&notice.server, notice.rate, shown_at, now));
            self.untold.remove(&notice.server);
        }
        changes
    }

    /// Replaces the list of live processes. `own` is this process, which shares no rate while it is
    /// not listed.
    pub fn set_processes(&mut self, own: &HostId, live: Vec<HostId>, now: Tick) {
        let processes = Some(ProcessList { own: own.clone(), live });
        if self.processes == processes {
            return;
        }
        self.processes = processes;
        let servers: Vec<HostId> = self.records.keys().cloned().collect();
        for server in servers {
            self.update_share(&server, now, self.settings.handover);
        }
    }

    /// Time until this process may send a request to the server: zero if the server has no limit,
    /// `None` if other processes share its rate.
    pub fn wait(&self, server: &HostId, now: Tick) -> Option<Duration> {
        match self.records.get(server) {
            Some(LimitRecord { rate: Some(_), share, .. }) => {
                share.as_ref().map(|share| share.pace.wait(now))
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// The limit of a server, if it has one.
    pub fn rate(&self, server: &HostId) -> Option<RatePerSecond> {
        self.records.get(server)?.rate
    }

    /// Counts a request to the server, or returns false if none is allowed now.
    pub fn try_take(&mut self, server: &HostId, now: Tick) -> bool {
        let catch_up = self.settings.catch_up;
        match self.records.get_mut(server) {
            Some(LimitRecord { rate: Some(_), share, .. }) => {
                share.as_mut().is_some_and(|share| share.pace.try_take(now, catch_up))
            }
            _ => true,
        }
    }

    /// Changes that this process found, for the other processes; each is returned once.
    pub fn take_update(&mut self, now: Tick) -> Vec<LimitNotice> {
        let untold = std::mem::take(&mut self.untold);
        untold.iter().filter_map(|server| self.notice(server, now)).collect()
    }

    /// All limits that are known, and the remembered ends of limits.
    pub fn notices(&self, now: Tick) -> Vec<LimitNotice> {
        self.records.keys().filter_map(|server| self.notice(server, now)).collect()
    }

    /// A checksum of what is known. Equal on processes that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn compute_digest(&self) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        let mut hasher = XxHash64::default();
        for (server, record) in &self.records {
            server.hash(&mut hasher);
            record.rate.map(|rate| rate.0.to_bits()).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Time since the last change; `None` before the first one.
    pub fn unchanged_for(&self, now: Tick) -> Option<Duration> {
        self.changed_at.map(|at| now.since(at))
    }

    /// The limits in force.
    pub fn limits(&self) -> Vec<KnownLimit> {
        let mut limits = Vec::new();
        for (server, record) in &self.records {
            let Some(rate) = record.rate else { continue };
            let share = |share: LimitShare| rate.0 / share.place.sharers as f64;
            let own = RatePerSecond(record.share.map_or(0.0, share));
            limits.push(KnownLimit { server: server.clone(), rate, own });
        }
        limits
    }

    /// Forgets ends of limits, and limits of servers that are not listed, after a while.
    pub fn expire(&mut self, is_listed: impl Fn(&HostId) -> bool, now: Tick) {
        let memory = self.settings.end_memory;
        self.records.retain(|server, record| {
            now.since(record.shown_at) < memory || (record.rate.is_some() && is_listed(server))
        });
        self.digest = self.compute_digest();
    }

    fn notice(&self, server: &HostId, now: Tick) -> Option<LimitNotice> {
        let LimitRecord { rate, shown_at, .. } = *self.records.get(server)?;
        Some(LimitNotice { server: server.clone(), rate, age: now.since(shown_at) })
    }

    fn set(
        &mut self,
        server: &HostId,
        rate: Option<RatePerSecond>,
        shown_at: Tick,
        now: Tick,
    ) -> Option<LimitChange> {
        if !self.records.contains_key(server) && self.records.len() >= MAX_SERVERS {
            return None;
        }
        let fresh = LimitRecord { rate: None, shown_at, share: None };
        let record = self.records.entry(server.clone()).or_insert(fresh);
        let before = record.rate;
        record.shown_at = record.shown_at.max(shown_at);
        record.rate = rate;
        if before == rate {
            return None;
        }
        self.changed_at = Some(now);
        self.digest = self.compute_digest();
        self.update_share(server, now, Duration::ZERO);
        Some(LimitChange { server: server.clone(), before, after: rate })
    }

    /// Computes this process's part of a server's rate anew. A part that it did not have begins
    /// after `handover`, without a saved request.
    fn update_share(&mut self, server: &HostId, now: Tick, handover: Duration) {
        let Self { settings, records, processes, .. } = self;
        let Some(record) = records.get_mut(server) else { return };
        let Some(rate) = record.rate else {
            record.share = None;
            return;
        };
        let place = match processes {
            None => Some(SharerPlace { rank: 0, sharers: 1 }),
            Some(ProcessList { own, live }) => SharerPlace::find(server, rate, own, live, settings),
        };
        let Some(place) = place else {
            record.share = None;
            return;
        };
        let interval = place.interval(rate, settings);
        match &mut record.share {
            Some(share) => {
                share.place = place;
                share.pace.set_interval(interval, now);
            }
            None => {
                let first_at = now + handover + place.first_after(interval);
                let pace = RequestPace::new(interval, first_at);
                record.share = Some(LimitShare { place, pace });
            }
        }
    }
}

fn is_usable(rate: Option<RatePerSecond>) -> bool {
    rate.is_none_or(|rate| rate.0.is_finite() && rate.0 >= 0.0)
}
