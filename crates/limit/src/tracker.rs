//! The limits that are known, and this process's part of each.

use {
    crate::{
        notice::{AskOutcome, LimitChange, LimitNotice, NamedLimit},
        pace::RequestPace,
        settings::LimitSettings,
        sharers::{MAX_INTERVAL, select_sharers, sharer_interval},
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

/// The limit that one server named, or that it has none any more.
#[derive(Clone, Debug)]
struct LimitRecord {
    /// `None` once the limit has ended.
    rate: Option<RatePerSecond>,
    /// When the last answer that showed this was received.
    shown_at: Tick,
    /// When the rate last changed.
    changed_at: Tick,
}

/// The time in which one server is cold.
#[derive(Clone, Copy, Debug)]
struct ColdSpell {
    /// The requests per second that it tolerates meanwhile.
    rate: RatePerSecond,
    until: Tick,
}

/// How the rate of one server is divided; the lower one of a named limit and that of a cold spell.
#[derive(Clone, Debug)]
struct RateShare {
    rate: RatePerSecond,
    /// The processes that share the rate.
    sharers: Vec<LimitSharer>,
    /// The pace of this process's part; `None` if it is not one of them.
    pace: Option<RequestPace>,
}

impl RateShare {
    fn note_ask_from(&mut self, node: &HostId, ask_from: Tick) {
        for sharer in self.sharers.iter_mut().filter(|sharer| sharer.node == *node) {
            sharer.ask_from = ask_from;
        }
    }
}

/// A process that shares the rate of a server.
#[derive(Clone, Debug)]
struct LimitSharer {
    node: HostId,
    /// When it may be asked for a request.
    ask_from: Tick,
}

/// Whether a server has room for a request below its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerRoom {
    /// It has no limit.
    Unlimited,
    /// This process may send it a request.
    Own,
    /// This process may be asked for a request.
    Ask(HostId),
    /// There is none, as far as is known.
    Full,
}

/// The limit of one server, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    /// Id of the server.
    pub server: HostId,
    /// Requests per second from all processes together.
    pub rate: RatePerSecond,
    /// Requests per second that this process may send or grant to others; 0 if it does not share the
    /// rate.
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
    /// Cold servers. Unlike named limits, these are not told to others: each process learns of them from
    /// the list of servers.
    cold: BTreeMap<HostId, ColdSpell>,
    /// The rates that are in force.
    shares: BTreeMap<HostId, RateShare>,
    /// `None` while this process is the only one.
    processes: Option<ProcessList>,
    /// Servers whose limits are to be told to the other processes.
    untold: BTreeSet<HostId>,
    digest: u64,
}

impl LimitTracker {
    /// Knows no limit, and no other process.
    pub fn new(settings: LimitSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Whether no limit is known, nor the end of one, and no server is cold.
    pub fn is_idle(&self) -> bool {
        self.records.is_empty() && self.cold.is_empty()
    }

    /// Records that a server is cold for `left` and tolerates only `rate` meanwhile, from all processes
    /// together. News never shorten that time: what says less is as likely to be older. Returns whether
    /// the server stays cold for longer than was known.
    pub fn note_cold(
        &mut self,
        server: &HostId,
        rate: RatePerSecond,
        left: Duration,
        now: Tick,
    ) -> bool {
        let is_full = !self.cold.contains_key(server) && self.cold.len() >= MAX_SERVERS;
        if is_full || left.is_zero() || !is_usable(Some(rate)) {
            return false;
        }
        let spell = self.cold.entry(server.clone()).or_insert(ColdSpell { rate, until: now });
        let is_new = now + left > spell.until + self.settings.cold_tolerance;
        *spell = ColdSpell { rate, until: spell.until.max(now + left) };
        self.update_rate(server, now);
        is_new
    }

    /// Number of servers that are cold.
    pub fn cold_count(&self, now: Tick) -> usize {
        self.cold.values().filter(|spell| spell.until > now).count()
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
        let rate = match (named, known) {
            (NamedLimit::Unreadable, _) | (NamedLimit::Absent, None) => return None,
            (NamedLimit::Absent, Some(record)) => {
                if record.rate.is_none() || sent_at <= record.shown_at {
                    return None;
                }
                None
            }
            (NamedLimit::Rate(rate), known) => {
                let before = known.and_then(|record| record.rate);
                let is_higher = before.is_some_and(|before| rate > before);
                if is_higher && known.is_some_and(|record| sent_at <= record.shown_at) {
                    return None;
                }
                Some(rate)
            }
        };
        let change = self.set(server, rate, now, now);
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
        let servers: Vec<HostId> = self.shares.keys().cloned().collect();
        for server in servers {
            self.update_share(&server, now, self.settings.handover);
        }
    }

    /// Whether the server has room for a request of this process. `sample` is a random number, which
    /// selects one of the processes that may be asked.
    pub fn room(&self, server: &HostId, sample: u64, now: Tick) -> ServerRoom {
        let Some(share) = self.shares.get(server) else { return ServerRoom::Unlimited };
        if share.pace.is_some_and(|pace| pace.is_due(now)) {
            return ServerRoom::Own;
        }
        let own = self.processes.as_ref().map(|list| &list.own);
        let others = || {
            let sharers = share.sharers.iter();
            sharers.filter(|sharer| Some(&sharer.node) != own && sharer.ask_from <= now)
        };
        let count = others().count() as u64;
        let chosen = (count > 0).then(|| others().nth((sample % count) as usize)).flatten();
        chosen.map_or(ServerRoom::Full, |sharer| ServerRoom::Ask(sharer.node.clone()))
    }

    /// Answers another process that asks to send the server a request.
    pub fn answer_ask(&mut self, server: &HostId, now: Tick) -> AskOutcome {
        let LimitSettings { catch_up, ask_again, .. } = self.settings;
        match self.shares.get_mut(server) {
            Some(RateShare { pace: Some(pace), .. }) => match pace.try_take(now, catch_up) {
                true => AskOutcome::Granted,
                false => AskOutcome::Denied(pace.wait(now)),
            },
            // The limit has ended.
            None if self.records.contains_key(server) => AskOutcome::Granted,
            // The processes disagree about who shares the rate, or this one has not heard of it.
            Some(RateShare { pace: None, .. }) | None => AskOutcome::Denied(ask_again),
        }
    }

    /// Records that a process did not grant a request to the server, and is not to be asked for
    /// `wait`, a minute at most.
    pub fn note_denied(&mut self, server: &HostId, sharer: &HostId, wait: Duration, now: Tick) {
        if let Some(share) = self.shares.get_mut(server) {
            share.note_ask_from(sharer, now + wait.min(MAX_INTERVAL));
        }
    }

    /// Records that a process did not answer. It may be gone, so that it is not asked for any server
    /// for a while.
    pub fn note_silent(&mut self, sharer: &HostId, now: Tick) {
        let ask_from = now + self.settings.ask_silent_again;
        for share in self.shares.values_mut() {
            share.note_ask_from(sharer, ask_from);
        }
    }

    /// The rate in force for a server, if it has a limit or is cold.
    pub fn rate(&self, server: &HostId) -> Option<RatePerSecond> {
        self.shares.get(server).map(|share| share.rate)
    }

    /// Counts a request to the server that is sent without asking, or returns false if none is
    /// allowed now.
    pub fn try_take(&mut self, server: &HostId, now: Tick) -> bool {
        let catch_up = self.settings.catch_up;
        match self.shares.get_mut(server) {
            Some(RateShare { pace, .. }) => {
                pace.as_mut().is_some_and(|pace| pace.try_take(now, catch_up))
            }
            None => true,
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

    /// What to tell a peer that knows other limits, as its [`Self::digest`] says. Recent changes are
    /// left out.
    pub fn settled_notices(&self, now: Tick) -> Vec<LimitNotice> {
        let settled_after = self.settings.settled_after;
        let is_settled = |record: &LimitRecord| now.since(record.changed_at) >= settled_after;
        let settled = self.records.iter().filter(|(_, record)| is_settled(record));
        settled.filter_map(|(server, _)| self.notice(server, now)).collect()
    }

    /// The rates in force.
    pub fn limits(&self) -> Vec<KnownLimit> {
        let mut limits = Vec::new();
        for (server, RateShare { rate, sharers, pace }) in &self.shares {
            let rate = *rate;
            let own = pace.map_or(0.0, |_| rate.0 / sharers.len().max(1) as f64);
            let own = RatePerSecond(own);
            limits.push(KnownLimit { server: server.clone(), rate, own });
        }
        limits
    }

    /// Ends cold spells that are over. Forgets ends of limits, and limits of servers that are not
    /// listed, after a while.
    pub fn expire(&mut self, is_listed: impl Fn(&HostId) -> bool, now: Tick) {
        let memory = self.settings.end_memory;
        self.records.retain(|server, record| {
            now.since(record.shown_at) < memory || (record.rate.is_some() && is_listed(server))
        });
        self.digest = self.compute_digest();
        self.cold.retain(|_, spell| spell.until > now);
        let servers: Vec<HostId> = self.shares.keys().cloned().collect();
        for server in servers {
            self.update_rate(&server, now);
        }
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
        let fresh = LimitRecord { rate: None, shown_at, changed_at: now };
        let record = self.records.entry(server.clone()).or_insert(fresh);
        let before = record.rate;
        record.shown_at = record.shown_at.max(shown_at);
        record.rate = rate;
        if before == rate {
            return None;
        }
        record.changed_at = now;
        self.digest = self.compute_digest();
        self.update_share(server, now, Duration::ZERO);
        Some(LimitChange { server: server.clone(), before, after: rate })
    }

    /// The lower one of the limit that a server named and of what it tolerates while it is cold.
    fn rate_in_force(&self, server: &HostId, now: Tick) -> Option<RatePerSecond> {
        let named = self.records.get(server).and_then(|record| record.rate);
        let cold = self.cold.get(server).filter(|spell| spell.until > now).map(|spell| spell.rate);
        let rates = named.into_iter().chain(cold);
        rates.reduce(|a, b| if b < a { b } else { a })
    }

    /// Divides the rate of a server anew if it is another one than before.
    fn update_rate(&mut self, server: &HostId, now: Tick) {
        if self.rate_in_force(server, now) != self.rate(server) {
            self.update_share(server, now, Duration::ZERO);
        }
    }

    /// Selects anew who shares a server's rate. A part that this process did not have begins after
    /// `handover`, without a saved request.
    fn update_share(&mut self, server: &HostId, now: Tick, handover: Duration) {
        let Some(rate) = self.rate_in_force(server, now) else {
            self.shares.remove(server);
            return;
        };
        let Self { settings, shares, processes, .. } = self;
        let fresh = RateShare { rate, sharers: Vec::new(), pace: None };
        let share = shares.entry(server.clone()).or_insert(fresh);
        share.rate = rate;
        // The only process shares the rate with nobody.
        let (rank, sharers) = match processes {
            None => (Some(0), 1),
            Some(ProcessList { own, live }) => {
                let nodes = select_sharers(server, rate, live, settings);
                let rank = nodes.iter().position(|node| node == own);
                let sharers = nodes.len();
                share.sharers = rebuild_sharers(&share.sharers, nodes, now);
                (rank, sharers)
            }
        };
        let Some(rank) = rank else {
            share.pace = None;
            return;
        };
        let interval = sharer_interval(rate, sharers, settings);
        match &mut share.pace {
            Some(pace) => pace.set_interval(interval, now),
            None => {
                // The first requests of the sharers are spread over one interval.
                let first_after = interval.mul_f64((rank + 1) as f64 / sharers as f64);
                share.pace = Some(RequestPace::new(interval, now + handover + first_after));
            }
        }
    }
}

/// The sharers with these names; those that were known keep when they may be asked.
fn rebuild_sharers(known: &[LimitSharer], nodes: Vec<HostId>, now: Tick) -> Vec<LimitSharer> {
    let ask_from = |node: &HostId| {
        known.iter().find(|sharer| sharer.node == *node).map_or(now, |sharer| sharer.ask_from)
    };
    nodes.into_iter().map(|node| LimitSharer { ask_from: ask_from(&node), node }).collect()
}

fn is_usable(rate: Option<RatePerSecond>) -> bool {
    rate.is_none_or(|rate| rate.0.is_finite() && rate.0 >= 0.0)
}
