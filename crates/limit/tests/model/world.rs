//! Processes, servers with limits, callers and lost messages, without a network.

use {
    base::{HostId, RatePerSecond, Tick},
    limit::{AskOutcome, LimitNotice, LimitSettings, LimitTracker, NamedLimit, ServerRoom},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
    std::{collections::VecDeque, time::Duration},
};

const STEP_MS: u64 = 10;
/// Time from a request to the head of its answer.
const ANSWER_MS: u64 = 50;
/// Time of a datagram.
const TRANSIT_MS: u64 = 10;
const GOSSIP_MS: u64 = 300;
const PEERS_PER_ROUND: usize = 2;
/// Time after which a request no longer waits for a process that was asked.
const ASK_TIMEOUT_MS: u64 = 60;
/// Denials after which a request is refused.
const MAX_DENIALS: u32 = 3;
/// Time after which the others notice that a process is down or back.
const NOTICE_MS: u64 = 2_000;
/// Time after its first naming in which a limit need not be kept.
const GRACE_MS: u64 = 3_000;
/// Time after which a process that was told of a limit is counted.
const TOLD_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
/// The same for cold servers.
const COLD_WINDOW_MS: u64 = 1_000;
/// Time for which servers that return are cold.
const COLD_MS: u64 = 3_000;
/// Longest time until a process learns that servers are back.
const RETURN_KNOWN_MS: u64 = 1_000;
/// When limits begin and end, and the end of the run.
const LIMITS_FROM_MS: u64 = 3_000;
const LIMITS_UNTIL_MS: u64 = 18_000;
const END_MS: u64 = 26_000;

/// What disturbs the processes while servers have limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    Nothing,
    /// Some processes are killed and start again, one after the other.
    Kills,
    /// Some processes stand still for four seconds.
    Freezes,
    /// The processes are divided into two halves for four seconds.
    Partition,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) processes: usize,
    pub(crate) limited: usize,
    /// Lowest and highest limit, in requests per second.
    pub(crate) rates: (f64, f64),
    /// Share of all requests that arrive at the first process; the others share the rest.
    pub(crate) hot_share: f64,
    /// Share of lost datagrams.
    pub(crate) loss: f64,
    pub(crate) disturbance: Disturbance,
    /// Whether each process keeps the limit by itself, as far as it was told by answers.
    pub(crate) alone: bool,
    /// Whether all servers return cold at once, instead of naming limits. No process sends to them
    /// before it learns of the return.
    pub(crate) returns: bool,
}

struct Process {
    name: HostId,
    tracker: LimitTracker,
    /// When it runs again; at most now if it runs.
    stands_until: u64,
    restarted_at: u64,
    /// When an answer of each server first named its limit to this process.
    told_at: Vec<Option<u64>>,
    /// When it learns that the servers are back.
    learns_at: u64,
    inbox: VecDeque<(u64, usize, Message)>,
    disturbed: bool,
}

enum Message {
    Notices(Vec<LimitNotice>),
    Digest(u64),
    Ask(RequestAsk),
    Reply(RequestAsk, AskOutcome),
}

/// A request that waits for a process which shares the limit of a server.
#[derive(Clone, Copy)]
struct RequestAsk {
    server: usize,
    asked_at: u64,
    /// Denials that it met before.
    denials: u32,
}

struct Answer {
    at: u64,
    process: usize,
    server: usize,
    sent_at: u64,
    /// When the process was last restarted as it sent the request.
    life: u64,
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Requests in the fullest window over what the users' pages allow, of counted processes.
    pub(crate) fullest: f64,
    /// Requests of all processes in the fullest window above the rate times its length.
    pub(crate) above_rate: f64,
    /// Part of the named rates that was used from two seconds after the limits began.
    pub(crate) used: f64,
    /// Time from the first naming until the last process knew, in milliseconds.
    pub(crate) known_after_ms: u64,
    /// Longest time from the first answer that showed the end of a limit until the last process
    /// knew, in milliseconds.
    pub(crate) ended_after_ms: u64,
    /// Datagrams other than checksums, for each limited server.
    pub(crate) datagrams: f64,
}

pub(crate) struct World {
    scenario: Scenario,
    random: Pcg64Mcg,
    now: u64,
    names: Vec<HostId>,
    rates: Vec<f64>,
    processes: Vec<Process>,
    answers: VecDeque<Answer>,
    /// Requests at each server: time and process, and whether it counts for the rule.
    arrivals: Vec<Vec<(u64, bool)>>,
    datagrams: u64,
    /// When an answer first showed the end of each limit.
    end_shown_at: Vec<Option<u64>>,
    known_after_ms: u64,
    ended_after_ms: u64,
}

fn tick(millis: u64) -> Tick {
    Tick(1_000_000_000_000) + Duration::from_millis(millis)
}

impl World {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<HostId> =
            (0..scenario.limited).map(|i| HostId::new(format!("i-{seed}-{i}")).unwrap()).collect();
        let (low, high) = scenario.rates;
        let rates = names.iter().map(|_| random.random_range(low..=high)).collect();
        let process = |index: usize| Process {
            name: HostId::new(format!("front-{index}")).unwrap(),
            tracker: LimitTracker::new(LimitSettings::default()),
            stands_until: 0,
            restarted_at: 0,
            told_at: vec![None; scenario.limited],
            learns_at: LIMITS_FROM_MS,
            inbox: VecDeque::new(),
            disturbed: false,
        };
        let mut world = Self {
            random,
            now: 0,
            rates,
            processes: (0..scenario.processes).map(process).collect(),
            answers: VecDeque::new(),
            arrivals: vec![Vec::new(); scenario.limited],
            names,
            scenario,
            datagrams: 0,
            end_shown_at: vec![None; scenario.limited],
            known_after_ms: 0,
            ended_after_ms: 0,
        };
        for process in &mut world.processes {
            process.learns_at += world.random.random_range(0..RETURN_KNOWN_MS);
        }
        world.refresh_lists();
        world
    }

    pub(crate) fn run(mut self) -> Outcome {
        while self.now < END_MS {
            self.now += STEP_MS;
            self.disturb();
            if self.now.is_multiple_of(100) {
                self.refresh_lists();
            }
            self.learn_returns();
            self.deliver_answers();
            self.deliver_messages();
            self.send_requests();
            self.send_messages();
            self.note_knowledge();
        }
        self.outcome()
    }

    fn has_limits(&self) -> bool {
        (LIMITS_FROM_MS..LIMITS_UNTIL_MS).contains(&self.now)
    }

    fn runs(&self, process: usize) -> bool {
        self.processes[process].stands_until <= self.now
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let is_parted = self.scenario.disturbance == Disturbance::Partition
            && (8_000..12_000).contains(&self.now);
        is_parted && a.is_multiple_of(2) != b.is_multiple_of(2)
    }

    /// Each second one process is hit, or all at once by a partition.
    fn disturb(&mut self) {
        if !(6_000..14_000).contains(&self.now) || !self.now.is_multiple_of(1_000) {
            return;
        }
        let hit = self.random.random_range(0..self.processes.len());
        let now = self.now;
        let servers = self.scenario.limited;
        match self.scenario.disturbance {
            Disturbance::Nothing => {}
            Disturbance::Partition => {
                self.processes.iter_mut().for_each(|process| process.disturbed = now >= 8_000);
            }
            Disturbance::Freezes => {
                let process = &mut self.processes[hit];
                (process.stands_until, process.disturbed) = (now + 4_000, true);
            }
            Disturbance::Kills => {
                let process = &mut self.processes[hit];
                process.tracker = LimitTracker::new(LimitSettings::default());
                process.inbox.clear();
                process.told_at = vec![None; servers];
                (process.stands_until, process.restarted_at) = (now + 1_000, now);
                process.disturbed = true;
            }
        }
    }

    /// Each process takes the servers for cold as it learns that they are back, and ends that by its
    /// own clock.
    fn learn_returns(&mut self) {
        let now = self.now;
        let learns = |process: &&mut Process| process.learns_at / STEP_MS == now / STEP_MS;
        let returns = self.scenario.returns;
        for process in self.processes.iter_mut().filter(learns).filter(|_| returns) {
            process.told_at.fill(Some(now));
            for (name, rate) in self.names.iter().zip(&self.rates) {
                let left = Duration::from_millis(COLD_MS);
                process.tracker.note_cold(name, RatePerSecond(*rate), left, tick(now));
            }
        }
        for process in
            self.processes.iter_mut().filter(|_| returns && now.is_multiple_of(GOSSIP_MS))
        {
            process.tracker.expire(|_| true, tick(now));
        }
    }

    /// Gives each process the others that it takes for alive.
    fn refresh_lists(&mut self) {
        let alone = self.scenario.alone;
        for own in 0..self.processes.len() {
            if !self.runs(own) || alone {
                continue;
            }
            let settled = self.now < NOTICE_MS;
            let knows = self.now >= self.processes[own].restarted_at + NOTICE_MS || settled;
            let is_live = |other: usize| {
                let process = &self.processes[other];
                let is_down =
                    process.stands_until > self.now && process.stands_until < self.now + NOTICE_MS;
                (own == other || (!is_down && !self.is_cut(own, other))) && knows
            };
            let live = (0..self.processes.len()).filter(|other| is_live(*other));
            let live = live.map(|other| self.processes[other].name.clone()).collect();
            let (name, now) = (self.processes[own].name.clone(), tick(self.now));
            self.processes[own].tracker.set_processes(&name, live, now);
        }
    }

    /// Callers want twice of what all servers with limits together accept.
    fn send_requests(&mut self) {
        let total: f64 = 2.0 * self.rates.iter().sum::<f64>().max(2.0);
        let per_step = total * STEP_MS as f64 / 1_000.0;
        let hot = self.scenario.hot_share;
        let even = (1.0 - hot) * per_step / self.processes.len() as f64;
        for index in 0..self.processes.len() {
            let mut wanted = even + if index == 0 { hot * per_step } else { 0.0 };
            while wanted > 0.0 {
                if self.random.random_bool(wanted.min(1.0)) {
                    self.send_request(index, 0);
                }
                wanted -= 1.0;
            }
        }
    }

    /// Sends a request to a random server that has room, if there is one.
    fn send_request(&mut self, index: usize, denials: u32) {
        if !self.runs(index) {
            return;
        }
        let now = tick(self.now);
        let sample = self.random.random();
        let process = &mut self.processes[index];
        let room = |server: usize| process.tracker.room(&self.names[server], sample, now);
        let returns = self.scenario.returns;
        let is_back = |server: &usize| !returns || process.told_at[*server].is_some();
        let rooms = (0..self.names.len()).filter(is_back).map(|server| (server, room(server)));
        let open: Vec<(usize, ServerRoom)> =
            rooms.filter(|(_, room)| *room != ServerRoom::Full).collect();
        let Some((server, room)) = open.choose(&mut self.random).cloned() else { return };
        if let ServerRoom::Ask(sharer) = room {
            let sharer = self.processes.iter().position(|process| process.name == sharer).unwrap();
            let ask = RequestAsk { server, asked_at: self.now, denials };
            self.send(index, sharer, Message::Ask(ask));
            return;
        }
        process.tracker.try_take(&self.names[server], now);
        self.note_arrival(index, server);
    }

    fn note_arrival(&mut self, index: usize, server: usize) {
        let process = &self.processes[index];
        let was_told = process.told_at[server].is_some_and(|at| at + TOLD_MS <= self.now);
        self.arrivals[server].push((self.now, was_told && !process.disturbed));
        let (at, life) = (self.now + ANSWER_MS, process.restarted_at);
        self.answers.push_back(Answer { at, process: index, server, sent_at: self.now, life });
    }

    fn deliver_answers(&mut self) {
        while self.answers.front().is_some_and(|answer| answer.at <= self.now) {
            let Some(answer) = self.answers.pop_front() else { return };
            if !self.runs(answer.process) {
                continue;
            }
            let named = match self.has_limits() && !self.scenario.returns {
                true => NamedLimit::Rate(RatePerSecond(self.rates[answer.server])),
                false => NamedLimit::Absent,
            };
            let process = &mut self.processes[answer.process];
            if process.restarted_at != answer.life {
                continue;
            }
            if self.now > LIMITS_UNTIL_MS && named == NamedLimit::Absent {
                self.end_shown_at[answer.server].get_or_insert(self.now);
            }
            if named != NamedLimit::Absent {
                process.told_at[answer.server].get_or_insert(self.now);
            }
            let (server, sent_at) = (&self.names[answer.server], tick(answer.sent_at));
            process.tracker.note_answer(server, named, sent_at, tick(self.now));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !matches!(message, Message::Digest(_)) {
            self.datagrams += 1;
        }
        if !self.is_cut(from, to) && !self.random.random_bool(self.scenario.loss) {
            self.processes[to].inbox.push_back((self.now + TRANSIT_MS, from, message));
        }
    }

    fn send_messages(&mut self) {
        if self.scenario.alone {
            return;
        }
        let now = tick(self.now);
        for own in 0..self.processes.len() {
            if !self.runs(own) {
                continue;
            }
            let update = self.processes[own].tracker.take_update(now);
            if !update.is_empty() {
                for other in (0..self.processes.len()).filter(|other| *other != own) {
                    self.send(own, other, Message::Notices(update.clone()));
                }
            }
            if (self.now + own as u64 * STEP_MS).is_multiple_of(GOSSIP_MS) {
                for _ in 0..PEERS_PER_ROUND {
                    let other = self.random.random_range(0..self.processes.len());
                    let digest = self.processes[own].tracker.digest();
                    self.send(own, other, Message::Digest(digest));
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now = tick(self.now);
        for own in 0..self.processes.len() {
            while self.runs(own)
                && self.processes[own].inbox.front().is_some_and(|(at, ..)| *at <= self.now)
            {
                let Some((_, from, message)) = self.processes[own].inbox.pop_front() else { break };
                let tracker = &mut self.processes[own].tracker;
                match message {
                    Message::Notices(notices) => {
                        tracker.receive(&notices, now);
                    }
                    Message::Ask(ask) => {
                        let outcome = tracker.answer_ask(&self.names[ask.server], now);
                        self.send(own, from, Message::Reply(ask, outcome));
                    }
                    Message::Reply(ask, _) if ask.asked_at + ASK_TIMEOUT_MS < self.now => {}
                    Message::Reply(ask, AskOutcome::Granted) => self.note_arrival(own, ask.server),
                    Message::Reply(ask, AskOutcome::Denied(wait)) => {
                        let sharer = self.processes[from].name.clone();
                        let tracker = &mut self.processes[own].tracker;
                        tracker.note_denied(&self.names[ask.server], &sharer, wait, now);
                        if ask.denials < MAX_DENIALS {
                            self.send_request(own, ask.denials + 1);
                        }
                    }
                    Message::Digest(digest) => {
                        let notices = tracker.settled_notices(now);
                        if digest != tracker.digest() && !notices.is_empty() {
                            self.send(own, from, Message::Notices(notices));
                        }
                    }
                }
            }
        }
    }

    fn note_knowledge(&mut self) {
        if self.scenario.returns {
            return;
        }
        if self.has_limits() {
            if !self.all_know(|_| true, true) {
                self.known_after_ms = self.now - LIMITS_FROM_MS;
            }
        } else {
            let shown: Vec<Option<u64>> = self.end_shown_at.clone();
            for (server, shown_at) in shown.into_iter().enumerate() {
                let Some(shown_at) = shown_at else { continue };
                if !self.all_know(|other| other == server, false) {
                    self.ended_after_ms = self.ended_after_ms.max(self.now - shown_at);
                }
            }
        }
    }

    /// Whether all undisturbed processes know of these servers that they have limits, or none.
    fn all_know(&self, is_asked: impl Fn(usize) -> bool, has_limit: bool) -> bool {
        let knows = |process: &Process| {
            let names = self.names.iter().enumerate().filter(|(server, _)| is_asked(*server));
            let mut limits = names.map(|(_, name)| process.tracker.rate(name).is_some());
            limits.all(|known| known == has_limit)
        };
        self.processes.iter().filter(|process| !process.disturbed).all(knows)
    }

    /// What arrived at cold servers, from all processes.
    fn cold_outcome(self) -> Outcome {
        let cold = LIMITS_FROM_MS..LIMITS_FROM_MS + COLD_MS;
        let (mut fullest, mut sent) = (0.0_f64, 0);
        for (rate, arrivals) in self.rates.iter().zip(&self.arrivals) {
            let times: Vec<u64> =
                arrivals.iter().map(|(at, _)| *at).filter(|at| cold.contains(at)).collect();
            for start in &times {
                let end = start + COLD_WINDOW_MS;
                let count = times.iter().filter(|at| (*start..end).contains(at)).count();
                fullest = fullest.max(count as f64 / (1.5 * rate + 5.0));
            }
            sent += times.len();
        }
        let tolerated: f64 = self.rates.iter().map(|rate| rate * COLD_MS as f64 / 1_000.0).sum();
        Outcome { fullest, used: sent as f64 / tolerated, ..Default::default() }
    }

    fn outcome(self) -> Outcome {
        if self.scenario.returns {
            return self.cold_outcome();
        }
        let (mut fullest, mut above_rate) = (0.0_f64, 0.0_f64);
        let (mut sent, mut named) = (0.0, 0.0);
        let counted_from = LIMITS_FROM_MS + GRACE_MS;
        for (rate, arrivals) in self.rates.iter().zip(&self.arrivals) {
            let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + 5.0;
            let inside = |at: &u64| (counted_from..LIMITS_UNTIL_MS).contains(at);
            for (start, _) in arrivals.iter().filter(|(at, _)| inside(at)) {
                let end = (start + WINDOW_MS).min(LIMITS_UNTIL_MS);
                let window = arrivals.iter().filter(|(at, _)| (*start..end).contains(at));
                let count = window.clone().count() as f64;
                let counted = window.filter(|(_, counts)| *counts).count() as f64;
                fullest = fullest.max(counted / allowed);
                above_rate = above_rate.max(count - rate * WINDOW_MS as f64 / 1_000.0);
            }
            sent += arrivals.iter().filter(|(at, _)| inside(at)).count() as f64;
            named += rate * (LIMITS_UNTIL_MS - counted_from) as f64 / 1_000.0;
        }
        Outcome {
            fullest,
            above_rate,
            used: sent / named,
            known_after_ms: self.known_after_ms,
            ended_after_ms: self.ended_after_ms,
            datagrams: self.datagrams as f64 / self.names.len() as f64,
        }
    }
}
