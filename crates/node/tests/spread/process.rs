//! One process of the model.

use {
    super::Millis,
    base::{FailureDomainId, HostId, Incarnation, Tick},
    node::{
        config_tracker::{ConfigClaim, ConfigTracker},
        members::MemberTable,
        peers::PeerHeartbeat,
        rows::MemberRow,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// How the store treats a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Serves,
    /// It refuses at once.
    Refuses,
    /// It takes calls and never answers.
    Silent,
    /// Its answers are some seconds old.
    Stale,
}

/// A query that waits for news.
pub(crate) struct Parked {
    pub(crate) reader: usize,
    pub(crate) read: u64,
    pub(crate) known: ConfigClaim,
    pub(crate) received_at: Millis,
    pub(crate) until: Millis,
}

/// One process and what it knows.
pub(crate) struct Process {
    pub(crate) tracker: ConfigTracker,
    pub(crate) members: MemberTable,
    pub(crate) reach: Reach,
    pub(crate) is_dead: bool,
    pub(crate) frozen_until: Millis,
    /// Whether it is cut off from the other processes.
    pub(crate) is_cut: bool,
    /// When its own trouble last ended.
    pub(crate) well_since: Millis,
    /// Bytes that its link carries in a millisecond.
    pub(crate) bytes_per_ms: u64,
    pub(crate) avoided: BTreeMap<usize, Millis>,
    /// The source as last computed, with what it was computed from.
    known_source: Option<(usize, Vec<usize>, Option<usize>)>,
    pub(crate) parked: Vec<Parked>,
    /// Number of the present read; answers to earlier ones are dropped.
    pub(crate) read: u64,
    pub(crate) failures: u32,
    pub(crate) reads_store_next: bool,
    pub(crate) is_catching_up: bool,
    /// The peer that told a newer version first, for the previous policy.
    pub(crate) ahead: Option<(u64, usize, Millis)>,
    /// When it took each version.
    pub(crate) taken: BTreeMap<u64, Millis>,
}

pub(crate) fn tick(now: Millis) -> Tick {
    Tick(now * 1_000_000)
}

pub(crate) fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 256) as u8, (index % 256) as u8], 1).into()
}

pub(crate) fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("the model uses IPv4"),
    }
}

fn name(index: usize) -> HostId {
    HostId::new(format!("n{index}")).unwrap()
}

impl Process {
    /// A process that knows all others but those in `unknown`.
    pub(crate) fn new(own: usize, count: usize, unknown: &[usize]) -> Self {
        let mut members = MemberTable::new(name(own));
        for index in (0..count).filter(|index| *index == own || !unknown.contains(index)) {
            let row = MemberRow {
                incarnation: Incarnation(index as u64),
                peers: address(index),
                callers: address(index),
                failure_domain: FailureDomainId::new(format!("z{}", index % 3)).unwrap(),
            };
            members.insert_row(name(index), row, Tick(0));
        }
        Self {
            tracker: ConfigTracker::default(),
            members,
            reach: Reach::Serves,
            is_dead: false,
            frozen_until: 0,
            is_cut: false,
            well_since: 0,
            bytes_per_ms: 2_500,
            avoided: BTreeMap::new(),
            known_source: None,
            parked: Vec::new(),
            read: 0,
            failures: 0,
            reads_store_next: false,
            is_catching_up: false,
            ahead: None,
            taken: BTreeMap::new(),
        }
    }

    pub(crate) fn is_well(&self, now: Millis) -> bool {
        !self.is_dead && !self.is_cut && self.frozen_until <= now
    }

    /// The process to read the configuration from; `None` for the store. `view` numbers the sets of
    /// processes `alive` that the members agree on.
    pub(crate) fn source(&mut self, view: usize, alive: &[bool], now: Millis) -> Option<usize> {
        self.avoided.retain(|_, until| *until > now);
        let avoided: Vec<usize> = self.avoided.keys().copied().collect();
        if let Some((known_view, known_avoided, source)) = &self.known_source
            && (*known_view, known_avoided) == (view, &avoided)
        {
            return *source;
        }
        self.see(view, alive);
        let is_avoided = |node: &HostId| avoided.contains(&node.as_str()[1..].parse().unwrap());
        let source = self.members.config_source(view_tick(view), &is_avoided);
        let source = source.map(|(_, address)| index_of(address));
        self.known_source = Some((view, avoided, source));
        source
    }

    /// Records heartbeats of the processes that are alive.
    fn see(&mut self, view: usize, alive: &[bool]) {
        let now = view_tick(view);
        self.members.record_contact(now);
        for (index, _) in alive.iter().enumerate().filter(|(_, is_alive)| **is_alive) {
            let incarnation = Incarnation(index as u64);
            let counter = view as u64 + 1;
            let heartbeat = PeerHeartbeat { incarnation, counter, leaving: false };
            self.members.record_heartbeat(&heartbeat, now);
        }
    }
}

/// A time at which only heartbeats of the same view are recent.
fn view_tick(view: usize) -> Tick {
    tick((view as Millis + 1) * 60_000)
}
