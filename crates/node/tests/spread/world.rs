//! The events of the model and the two policies.

use {
    super::{
        Millis,
        process::{Parked, Process, Reach, address, index_of, tick},
    },
    base::StoreEra,
    node::{
        ConfigStamp,
        config_tracker::{ConfigClaim, ConfigOrigin},
    },
    rand::{Rng, SeedableRng, seq::IteratorRandom},
    rand_pcg::Pcg64,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

const GOSSIP_MS: Millis = 300;
const TICK_MS: Millis = 100;
const HOP_MS: Millis = 1;
const AVOID_MS: Millis = 5_000;
const RESPONSE_MARGIN_MS: Millis = 400;
/// Time until the others agree that a process is down.
const VIEW_MS: Millis = 2_400;
/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.03;

/// How processes learn of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Answers say only whether there is something newer; one peer that is ahead is remembered.
    Previous,
    /// Answers and gossip say how old the sender's configuration is.
    Aged,
}

impl Policy {
    fn query_wait(self) -> Millis {
        match self {
            Self::Previous => 4_000,
            Self::Aged => 1_800,
        }
    }

    /// Time after which a peer that was asked directly counts as silent.
    fn fetch_limit(self) -> Millis {
        match self {
            Self::Previous => 800,
            Self::Aged => 250,
        }
    }
}

/// A change of what a process can do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Store(Reach),
    Freeze { until: Millis },
    Die,
    Cut(bool),
}

pub(super) enum Event {
    Version(u64),
    Fault { process: usize, fault: Fault },
    Gossip(usize),
    Heard { by: usize, from: usize, claim: ConfigClaim },
    Check(usize),
    Read { by: usize, read: u64 },
    Query { at: usize, parked: Parked },
    Expire { at: usize },
    Answer { to: usize, read: u64, sent_at: Millis, answer: Answer },
    Silence { of: usize, to: usize, read: u64 },
    StoreExpire { to: usize, read: u64 },
    StoreAnswer { to: usize, read: u64, version: Option<u64>, age: Millis },
    Fetch { by: usize, peers: Vec<usize>, asked: usize },
    Fetched { by: usize, peers: Vec<usize>, asked: usize, answer: Option<Answer>, sent_at: Millis },
}

#[derive(Clone, Copy)]
pub(super) struct Answer {
    claim: ConfigClaim,
    held: Millis,
    /// Whether it has the configuration.
    is_newer: bool,
}

/// The processes, the store and the events to come.
pub(crate) struct SpreadWorld {
    policy: Policy,
    pub(crate) processes: Vec<Process>,
    /// Versions with the time of their acknowledgement.
    pub(super) acked: BTreeMap<u64, Millis>,
    pub(super) config_bytes: u64,
    /// When the processes agree on another set of live ones.
    views: Vec<Millis>,
    /// Watches that the store holds until a change, each with its process and read.
    pub(super) held_by_store: Vec<(usize, u64)>,
    pub(super) now: Millis,
    order: u64,
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    pending: BTreeMap<u64, Event>,
    rng: Pcg64,
    pub(crate) store_calls: u64,
}

impl SpreadWorld {
    pub(crate) fn new(policy: Policy, count: usize, seed: u64, config_bytes: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let processes = (0..count).map(|own| {
            // Some processes have not heard of some others yet.
            let is_late = rng.random_bool(0.1);
            let unknown: Vec<usize> =
                (0..count).filter(|_| is_late && rng.random_bool(0.1)).collect();
            Process::new(own, count, &unknown)
        });
        let processes: Vec<Process> = processes.collect();
        let mut world = Self {
            policy,
            processes,
            acked: BTreeMap::from([(1, 0)]),
            config_bytes,
            views: Vec::new(),
            held_by_store: Vec::new(),
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            rng,
            store_calls: 0,
        };
        for by in 0..count {
            let start = world.rng.random_range(0..GOSSIP_MS);
            world.push(start, Event::Read { by, read: 0 });
            world.push(start, Event::Gossip(by));
            world.push(start, Event::Check(by));
        }
        world
    }

    /// The processes that read the store for others.
    pub(crate) fn watchers(&mut self) -> Vec<usize> {
        let alive = vec![true; self.processes.len()];
        let processes = self.processes.iter_mut().enumerate();
        let watchers = processes
            .filter_map(|(index, process)| process.source(0, &alive, 0).is_none().then_some(index));
        watchers.collect()
    }

    pub(crate) fn push_version(&mut self, at: Millis, version: u64) {
        self.push(at, Event::Version(version));
    }

    pub(crate) fn push_fault(&mut self, at: Millis, process: usize, fault: Fault) {
        let seen_at = match fault {
            Fault::Store(_) => None,
            Fault::Die | Fault::Cut(true) => Some(at + VIEW_MS),
            Fault::Cut(false) => Some(at + GOSSIP_MS),
            Fault::Freeze { until } => {
                self.views.push(at + VIEW_MS);
                Some(until + GOSSIP_MS)
            }
        };
        self.views.extend(seen_at);
        self.push(at, Event::Fault { process, fault });
    }

    pub(super) fn push(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at.max(self.now), self.order)));
        self.pending.insert(self.order, event);
    }

    pub(crate) fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, order))) = self.events.pop() {
            let event = self.pending.remove(&order).unwrap();
            if at > end {
                break;
            }
            self.now = at;
            let process = event.process();
            let thaws_at = process.map_or(0, |process| self.processes[process].frozen_until);
            if thaws_at > at {
                self.push(thaws_at, event);
            } else if process.is_none_or(|process| !self.processes[process].is_dead) {
                self.handle(event);
            }
        }
    }

    /// The delays of all processes that are well at the end, for versions from `first` on.
    pub(crate) fn delays(&self, first: u64, end: Millis) -> Vec<Millis> {
        let well = self.processes.iter().filter(|process| process.is_well(end));
        let of_process = |process: &Process| {
            let delay = |(version, acked): (&u64, &Millis)| {
                let taken = process.taken.range(version..).map(|(_, at)| *at).min().unwrap_or(end);
                taken.saturating_sub((*acked).max(process.well_since).max(process.frozen_until))
            };
            self.acked.range(first..).map(delay).collect::<Vec<_>>()
        };
        well.flat_map(of_process).collect()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Version(version) => {
                self.acked.insert(version, now);
                self.answer_held(version);
            }
            Event::StoreExpire { to, read } => self.expire_held(to, read),
            Event::Fault { process, fault } => self.apply(process, fault),
            Event::Gossip(from) => self.gossip(from),
            Event::Heard { by, from, claim } => self.hear(by, from, claim),
            Event::Check(by) => {
                self.check(by);
                self.push(now + TICK_MS, Event::Check(by));
            }
            Event::Read { by, read } if self.processes[by].read == read => self.read(by),
            Event::Read { .. } => {}
            Event::Query { at, parked } => {
                self.push(parked.until, Event::Expire { at });
                self.processes[at].parked.push(parked);
                self.answer_parked(at);
            }
            Event::Expire { at } => self.answer_parked(at),
            Event::Answer { to, read, sent_at, answer } => {
                if self.processes[to].read == read {
                    self.take(to, sent_at, answer);
                    self.next_read(to, if answer.is_newer { 100 } else { 0 });
                }
            }
            Event::Silence { of, to, read } => {
                if self.processes[to].read == read {
                    self.processes[to].avoided.insert(of, now + AVOID_MS);
                    self.next_read(to, 0);
                }
            }
            Event::StoreAnswer { to, read, version, age } => {
                if self.processes[to].read == read {
                    self.take_from_store(to, version, age);
                }
            }
            Event::Fetch { by, peers, asked } => self.fetch(by, peers, asked),
            Event::Fetched { by, peers, asked, answer, sent_at } => {
                self.end_fetch(by, peers, asked, answer, sent_at);
            }
        }
    }

    fn apply(&mut self, process: usize, fault: Fault) {
        let now = self.now;
        let state = &mut self.processes[process];
        match fault {
            Fault::Store(reach) => state.reach = reach,
            Fault::Freeze { until } => {
                state.frozen_until = until;
                state.well_since = now;
            }
            Fault::Die => {
                state.is_dead = true;
                state.well_since = now;
            }
            Fault::Cut(is_cut) => {
                state.is_cut = is_cut;
                state.well_since = now;
            }
        }
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        !self.processes[one].is_cut && !self.processes[other].is_cut
    }

    fn claim(&self, of: usize) -> ConfigClaim {
        self.processes[of].tracker.claim(tick(self.now))
    }

    fn gossip(&mut self, from: usize) {
        let now = self.now;
        let claim = self.claim(from);
        for by in (0..self.processes.len()).choose_multiple(&mut self.rng, 2) {
            if by != from && self.is_linked(from, by) && !self.rng.random_bool(DATAGRAM_LOSS) {
                self.push(now + HOP_MS, Event::Heard { by, from, claim });
            }
        }
        self.push(now + GOSSIP_MS, Event::Gossip(from));
    }

    fn hear(&mut self, by: usize, from: usize, claim: ConfigClaim) {
        let now = self.now;
        let process = &mut self.processes[by];
        if self.policy == Policy::Aged {
            process.tracker.note_claim(address(from), claim, tick(now));
            return;
        }
        let own = process.tracker.claim(tick(now)).stamp.version;
        let told = claim.stamp.version;
        process.ahead = process.ahead.filter(|(version, ..)| *version > own);
        if told > own {
            let known = process.ahead.get_or_insert((told, from, now));
            if told > known.0 {
                (known.0, known.1) = (told, from);
            }
            if now - known.2 >= 500 {
                known.2 = now;
                let peer = known.1;
                self.catch_up(by, vec![peer]);
            }
        }
    }

    fn check(&mut self, by: usize) {
        if self.policy == Policy::Previous {
            return;
        }
        let now = tick(self.now);
        let processes = self.processes.len();
        let sample = self.rng.random();
        let process = &mut self.processes[by];
        if !process.tracker.take_attempt(now) {
            return;
        }
        let peers: Vec<usize> =
            process.tracker.better_peers(now).into_iter().map(index_of).take(4).collect();
        if peers.is_empty() {
            process.reads_store_next |= process.tracker.take_store_turn(processes, sample, now);
        } else {
            self.catch_up(by, peers);
        }
    }

    fn catch_up(&mut self, by: usize, peers: Vec<usize>) {
        let now = self.now;
        if std::mem::replace(&mut self.processes[by].is_catching_up, true) {
            return;
        }
        if let Some(source) = self.source(by) {
            self.processes[by].avoided.insert(source, now + AVOID_MS);
        }
        self.push(now, Event::Fetch { by, peers, asked: 0 });
    }

    fn fetch(&mut self, by: usize, peers: Vec<usize>, asked: usize) {
        let now = self.now;
        let Some(peer) = peers.get(asked).copied() else {
            self.processes[by].is_catching_up = false;
            return;
        };
        let known = self.claim(by);
        let state = &self.processes[peer];
        let answers = state.is_well(now) && self.is_linked(by, peer);
        let answer = answers.then(|| self.make_answer(peer, known, now));
        let after = match answer {
            Some(answer) => 2 * HOP_MS + self.transfer(by, answer),
            None if state.is_dead => 2 * HOP_MS,
            None => self.policy.fetch_limit(),
        };
        self.push(now + after, Event::Fetched { by, peers, asked, answer, sent_at: now });
    }

    fn end_fetch(
        &mut self,
        by: usize,
        peers: Vec<usize>,
        asked: usize,
        answer: Option<Answer>,
        sent_at: Millis,
    ) {
        let known = self.claim(by);
        let is_better = |answer: &Answer| {
            answer.is_newer || answer.claim.age_ms.is_some_and(|age_ms| age_ms < 2_500)
        };
        match answer.filter(is_better) {
            Some(answer) if answer.claim.stamp >= known.stamp => {
                self.take(by, sent_at, answer);
                self.processes[by].is_catching_up = false;
            }
            _ => {
                let now = tick(self.now);
                self.processes[by].tracker.distrust(address(peers[asked]), now);
                self.push(self.now, Event::Fetch { by, peers, asked: asked + 1 });
            }
        }
    }

    fn source(&mut self, by: usize) -> Option<usize> {
        let now = self.now;
        let view = self.views.iter().filter(|at| **at <= now).count();
        // A change of liveness is seen by the others some time after it.
        let is_alive = |state: &Process| state.is_well(now) || state.well_since + VIEW_MS > now;
        let alive: Vec<bool> = self.processes.iter().map(is_alive).collect();
        self.processes[by].source(view, &alive, now)
    }

    pub(super) fn next_read(&mut self, by: usize, pause: Millis) {
        self.processes[by].read += 1;
        let read = self.processes[by].read;
        self.push(self.now + pause, Event::Read { by, read });
    }

    fn read(&mut self, by: usize) {
        let now = self.now;
        let read = self.processes[by].read;
        let reads_store = std::mem::take(&mut self.processes[by].reads_store_next);
        let is_first = self.processes[by].taken.is_empty();
        let source = self.source(by).filter(|_| !reads_store && !is_first);
        let Some(source) = source else { return self.read_store(by, is_first || reads_store) };
        let wait = self.policy.query_wait();
        let limit = wait + RESPONSE_MARGIN_MS;
        let refused = self.processes[source].is_dead;
        let after = if refused { 2 * HOP_MS } else { limit };
        self.push(now + after, Event::Silence { of: source, to: by, read });
        if !refused && self.is_linked(by, source) {
            let received_at = now + HOP_MS;
            let until = received_at + wait;
            let known = self.claim(by);
            let parked = Parked { reader: by, read, known, received_at, until };
            self.push(received_at, Event::Query { at: source, parked });
        }
    }

    fn make_answer(&self, of: usize, known: ConfigClaim, received_at: Millis) -> Answer {
        let claim = self.claim(of);
        Answer { claim, held: self.now - received_at, is_newer: claim.stamp > known.stamp }
    }

    fn transfer(&self, to: usize, answer: Answer) -> Millis {
        if answer.is_newer { self.config_bytes / self.processes[to].bytes_per_ms } else { 0 }
    }

    pub(super) fn answer_parked(&mut self, at: usize) {
        let now = self.now;
        let is_aged = self.policy == Policy::Aged;
        let parked = std::mem::take(&mut self.processes[at].parked);
        let claim = self.claim(at);
        for query in parked {
            let known_age = query.known.age_ms.map(Millis::from);
            let own_age = claim.age_ms.map(Millis::from);
            let gain = match (known_age, own_age) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some(known), Some(own)) => own + 300 < known + (now - query.received_at),
            };
            if claim.stamp > query.known.stamp || (is_aged && gain) || query.until <= now {
                let answer = self.make_answer(at, query.known, query.received_at);
                let Parked { reader: to, read, received_at, .. } = query;
                let sent_at = received_at - HOP_MS;
                let arrives_at = now + HOP_MS + self.transfer(to, answer);
                if self.is_linked(at, to) {
                    self.push(arrives_at, Event::Answer { to, read, sent_at, answer });
                }
            } else {
                self.processes[at].parked.push(query);
            }
        }
    }

    fn take(&mut self, by: usize, sent_at: Millis, answer: Answer) {
        let now = self.now;
        let process = &mut self.processes[by];
        let own = process.tracker.claim(tick(now)).stamp;
        process.tracker.set_origin(ConfigOrigin::default());
        if let Some(age_ms) = answer.claim.age_ms.filter(|_| answer.claim.stamp >= own) {
            let at = (sent_at + answer.held).saturating_sub(age_ms.into());
            process.tracker.confirm(tick(at));
        }
        if answer.claim.stamp > own {
            self.set_version(by, answer.claim.stamp.version);
        }
        self.answer_parked(by);
    }

    pub(super) fn set_version(&mut self, by: usize, version: u64) {
        let process = &mut self.processes[by];
        process.tracker.set_own(ConfigStamp { version, era: StoreEra(0) });
        process.taken.insert(version, self.now);
    }
}

impl Event {
    /// The process that handles the event.
    fn process(&self) -> Option<usize> {
        match self {
            Self::Version(_) | Self::Fault { .. } => None,
            Self::Gossip(process) | Self::Check(process) => Some(*process),
            Self::Heard { by, .. }
            | Self::Read { by, .. }
            | Self::Fetch { by, .. }
            | Self::Fetched { by, .. } => Some(*by),
            Self::Query { at, .. } | Self::Expire { at } => Some(*at),
            Self::Answer { to, .. }
            | Self::Silence { to, .. }
            | Self::StoreExpire { to, .. }
            | Self::StoreAnswer { to, .. } => Some(*to),
        }
    }
}
