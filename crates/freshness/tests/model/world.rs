//! Simulates a deployment under one schedule, and checks the guarantee at every step.

mod checks;
mod fault_injection;

use {
    crate::model::{
        faults::{Fault, Schedule},
        process::{Host, Message, Process, Timer},
        queue::EventQueue,
        table::{Change, Table, Write},
    },
    base::{HeadNumber, HostId, MemberId, Tick},
    freshness::{HeldHead, RulePolicy},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
    std::{fmt, sync::Arc},
};

/// When all faults end.
const HEAL_MS: u64 = 16_000;
/// When the last change is requested, which must be in force within [`FORCE_LIMIT_MS`].
const LAST_CHANGE_MS: u64 = HEAL_MS + 6_000;
/// Maximum time until a change is in force on every host.
const FORCE_LIMIT_MS: u64 = 9_000;
/// When the run ends and the recovery is checked.
const END_MS: u64 = LAST_CHANGE_MS + FORCE_LIMIT_MS;
/// Interval at which all trackers compute which head is in force.
const SETTLE_PERIOD_MS: u64 = 50;
/// Mean time between two queries of a process to a peer.
const ASK_PERIOD_MS: u64 = 400;
/// Mean time between two reads of the table by a process.
const READ_PERIOD_MS: u64 = 1_000;
/// Upper bound of a message's latency during a fault that slows the network.
const MAX_LATENCY_MS: u64 = 4_000;
/// Number of hosts whose processes never join and never read the table.
const OBSERVERS: usize = 2;
/// Maximum relative error of the rate of a host's clock.
const RATE_ERROR: f64 = 0.01;

enum Event {
    Deliver { to: usize, message: Message },
    TableRead { from: usize, process_id: u64, nonce: u64 },
    TableWrite { from: usize, process_id: u64, nonce: u64, write: Write, answer_lost: bool },
    Timer { host: usize, process_id: u64, timer: Timer },
    Settle,
    Fault(Fault),
    Thaw { host: usize },
    StartAgain { host: usize },
    Heal,
    LastChange,
}

/// A violation that a run has found.
#[derive(Clone, Debug)]
pub(crate) enum Finding {
    /// A node acted on an older head than one declared in force.
    Stale(String),
    /// The deployment did not recover after all faults had ended.
    NotRecovered(String),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Stale(detail) => write!(f, "stale: {detail}"),
            Finding::NotRecovered(detail) => write!(f, "not recovered: {detail}"),
        }
    }
}

/// A simulated deployment with the faults in effect and the heads found in force so far.
pub(crate) struct World<P> {
    policy: P,
    /// Whether a restarted process keeps the member id of its predecessor instead of joining anew.
    same_member: bool,
    now_ms: u64,
    random: Pcg64Mcg,
    events: EventQueue<Event>,
    hosts: Vec<Host<P>>,
    table: Table,
    /// Processes that joined, with the member that each became.
    joined: Vec<(u64, MemberId)>,
    /// The last number given to a process or as a nonce.
    last_id: u64,
    /// The partition in effect: the sides of the hosts, the side of the table, and when it ends.
    sides: Option<(u16, bool, u64)>,
    table_outage_until: u64,
    unreachable_until: Vec<u64>,
    slow_until: u64,
    lose_next_answer: Vec<bool>,
    /// The newest head that any node found in force.
    in_force: HeadNumber,
    /// The head of the last change; 0 until its commit is known.
    last_change: HeadNumber,
    /// How often a newer head was found in force during the run.
    pub(crate) in_force_changes: u64,
}

impl<P: RulePolicy + Copy> World<P> {
    pub(crate) fn new(schedule: &Schedule, policy: P, same_member: bool) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(schedule.seed);
        let count = schedule.hosts + OBSERVERS;
        let hosts: Vec<Host<P>> = (0..count)
            .map(|index| {
                let id = HostId::new(format!("h{index}")).unwrap();
                let rate = 1.0 + random.random_range(-RATE_ERROR..RATE_ERROR);
                Host::new(id, index >= schedule.hosts, random.random_range(0.0..1e6), rate)
            })
            .collect();
        let ids: Vec<HostId> =
            hosts.iter().filter(|host| !host.observer).map(|host| host.id.clone()).collect();
        let mut world = Self {
            policy,
            same_member,
            now_ms: 0,
            random,
            events: EventQueue::new(),
            table: Table::new(&ids),
            joined: Vec::new(),
            last_id: 0,
            sides: None,
            table_outage_until: 0,
            unreachable_until: vec![0; count],
            slow_until: 0,
            lose_next_answer: vec![false; count],
            in_force: HeadNumber(0),
            last_change: HeadNumber(0),
            in_force_changes: 0,
            hosts,
        };
        world.begin(schedule);
        world
    }

    /// Runs the schedule. Returns how often a newer head was found in force, or the first finding.
    pub(crate) fn run(mut self) -> Result<u64, Finding> {
        while let Some((at_ms, event)) = self.events.pop() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            self.step(event)?;
        }
        self.check_end()?;
        Ok(self.in_force_changes)
    }

    fn begin(&mut self, schedule: &Schedule) {
        let members = self.table.state().view.members.clone();
        for host in 0..self.hosts.len() {
            let me = members.get(host).cloned();
            self.start(host, me);
        }
        for timed in &schedule.faults {
            self.events.push(timed.at_ms, Event::Fault(timed.fault));
        }
        self.events.push(0, Event::Settle);
        self.events.push(HEAL_MS, Event::Heal);
        self.events.push(LAST_CHANGE_MS, Event::LastChange);
    }

    fn start(&mut self, host: usize, me: Option<MemberId>) {
        let process_id = self.next_id();
        let me = me.unwrap_or_else(|| self.hosts[host].unjoined_id());
        self.hosts[host].process = Some(Process::new(process_id, me, self.policy));
        self.hosts[host].frozen = false;
        self.hosts[host].queued_messages.clear();
        self.hosts[host].queued_timers.clear();
        for timer in [Timer::Ask, Timer::Read] {
            let at = self.now_ms + self.random.random_range(0..300);
            self.events.push(at, Event::Timer { host, process_id, timer });
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn step(&mut self, event: Event) -> Result<(), Finding> {
        match event {
            Event::Deliver { to, message } => self.deliver(to, message)?,
            Event::TableRead { from, process_id, nonce } => {
                self.handle_table_read(from, process_id, nonce);
            }
            Event::TableWrite { from, process_id, nonce, write, answer_lost } => {
                self.handle_table_write(from, process_id, nonce, &write, answer_lost);
            }
            Event::Timer { host, process_id, timer } => self.timer(host, process_id, timer)?,
            Event::Settle => self.settle()?,
            Event::Fault(fault) => self.fault(fault),
            Event::Thaw { host } => self.thaw(host)?,
            Event::StartAgain { host } => self.start_again(host),
            Event::Heal => self.heal()?,
            Event::LastChange => self.request_change(0, Change::Ticket),
        }
        Ok(())
    }

    fn deliver(&mut self, to: usize, message: Message) -> Result<(), Finding> {
        if self.hosts[to].frozen {
            self.hosts[to].queued_messages.push(message);
            return Ok(());
        }
        let now = self.hosts[to].tick(self.now_ms);
        match message {
            Message::Question { from, nonce, member, head } => {
                let Some(process) = self.hosts[to].running() else { return Ok(()) };
                process.tracker.record_acknowledgement(now, &member, head);
                let peer_report = Arc::new(process.tracker.own_report(now));
                self.send(to, from, Message::Answer { from: to, nonce, peer_report });
            }
            Message::Answer { from, nonce, peer_report } => {
                self.receive_answer(to, from, nonce, &peer_report, now);
            }
            Message::FetchState { from, at_least } => {
                let Some(process) = self.hosts[to].running() else { return Ok(()) };
                let state = Arc::new(process.tracker.held().clone());
                if state.number >= at_least {
                    self.send(to, from, Message::State { state });
                }
            }
            Message::State { state } => {
                let Some(process) = self.hosts[to].running() else { return Ok(()) };
                process.tracker.hold(now, HeldHead::clone(&state));
            }
            Message::TableState { nonce, state, joined } => {
                self.receive_table_state(to, nonce, &state, joined, now);
            }
            Message::WriteResult { nonce, committed } => {
                self.receive_write_result(to, nonce, committed);
            }
        }
        self.check(to)
    }

    fn receive_answer(
        &mut self,
        to: usize,
        from: usize,
        nonce: u64,
        peer_report: &freshness::PeerReport,
        now: Tick,
    ) {
        let Some(process) = self.hosts[to].running() else { return };
        let Some(sent) = process.remove_sent(nonce) else { return };
        process.tracker.apply_report(sent, now, peer_report);
        if peer_report.head > process.held() {
            let at_least = peer_report.head;
            self.send(to, from, Message::FetchState { from: to, at_least });
        }
    }

    fn receive_table_state(
        &mut self,
        to: usize,
        nonce: u64,
        state: &HeldHead,
        joined: Option<MemberId>,
        now: Tick,
    ) {
        let (policy, same_member, now_ms) = (self.policy, self.same_member, self.now_ms);
        let unjoined_id = self.hosts[to].unjoined_id();
        let host = self.hosts[to].id.clone();
        let Some(process) = self.hosts[to].running() else { return };
        let Some(sent) = process.remove_sent(nonce) else { return };
        process.tracker.hold(now, state.clone());
        if let Some(me) = joined.filter(|me| me != process.tracker.me())
            && state.view.position(&me).is_some()
        {
            process.become_member(me, policy, now);
            process.pending_changes.retain(|change| !matches!(change, Change::Join { .. }));
        }
        process.tracker.record_read(sent, now, state.number);
        let not_in_view = process.tracker.held().view.position(process.tracker.me()).is_none();
        let join_pending =
            process.pending_changes.iter().any(|change| matches!(change, Change::Join { .. }));
        if not_in_view && !join_pending && !same_member {
            // A process that asks to join anew never answers under its old identity again.
            process.become_member(unjoined_id, policy, now);
            process.pending_changes.insert(0, Change::Join { host });
        }
        if state.number != process.held() {
            return;
        }
        if let Some(write) = process.next_write(state, now_ms) {
            self.send_write(to, write);
        }
    }

    fn receive_write_result(&mut self, to: usize, nonce: u64, committed: bool) {
        let Some(process) = self.hosts[to].running() else { return };
        if process.remove_sent(nonce).is_none() {
            return;
        }
        process.write_sent_ms = None;
        if committed && !process.pending_changes.is_empty() {
            let done = process.pending_changes.remove(0);
            let is_last = self.now_ms >= LAST_CHANGE_MS && matches!(done, Change::Ticket);
            if is_last {
                self.last_change = self.table.state().number;
            }
        }
        self.read_table(to);
    }

    fn timer(&mut self, host: usize, process_id: u64, timer: Timer) -> Result<(), Finding> {
        if self.hosts[host].process.as_ref().is_none_or(|process| process.process_id != process_id)
        {
            return Ok(());
        }
        if self.hosts[host].frozen {
            self.hosts[host].queued_timers.push((process_id, timer));
            return Ok(());
        }
        let period = match timer {
            Timer::Ask => {
                self.ask(host);
                ASK_PERIOD_MS
            }
            Timer::Read => {
                self.read_table(host);
                READ_PERIOD_MS
            }
        };
        let at = self.now_ms + self.random.random_range(period * 9 / 10..period * 11 / 10);
        self.events.push(at, Event::Timer { host, process_id, timer });
        self.check(host)
    }

    fn ask(&mut self, host: usize) {
        let members = self.hosts.len() - OBSERVERS;
        let others: Vec<usize> = (0..members).filter(|other| *other != host).collect();
        let to = *others.choose(&mut self.random).expect("several hosts");
        let nonce = self.next_id();
        let sent = self.hosts[host].tick(self.now_ms);
        let Some(process) = self.hosts[host].running() else { return };
        process.record_sent(nonce, sent);
        let (member, head) = (process.tracker.me().clone(), process.held());
        self.send(host, to, Message::Question { from: host, nonce, member, head });
    }

    fn read_table(&mut self, host: usize) {
        if self.hosts[host].observer || !self.reaches_table(host) {
            return;
        }
        let nonce = self.next_id();
        let sent = self.hosts[host].tick(self.now_ms);
        let Some(process) = self.hosts[host].running() else { return };
        process.record_sent(nonce, sent);
        let process_id = process.process_id;
        let at = self.now_ms + self.latency();
        self.events.push(at, Event::TableRead { from: host, process_id, nonce });
    }

    fn handle_table_read(&mut self, from: usize, process_id: u64, nonce: u64) {
        let state = self.table.state().clone();
        let joined = self.joined.iter().rev().find(|(joiner, _)| *joiner == process_id);
        let joined = joined.map(|(_, member)| member.clone());
        self.answer(from, Message::TableState { nonce, state, joined });
    }

    fn send_write(&mut self, host: usize, write: Write) {
        if !self.reaches_table(host) {
            return;
        }
        let nonce = self.next_id();
        let sent = self.hosts[host].tick(self.now_ms);
        let answer_lost = std::mem::take(&mut self.lose_next_answer[host]);
        let Some(process) = self.hosts[host].running() else { return };
        process.record_sent(nonce, sent);
        let process_id = process.process_id;
        let at = self.now_ms + self.latency();
        self.events
            .push(at, Event::TableWrite { from: host, process_id, nonce, write, answer_lost });
    }

    fn handle_table_write(
        &mut self,
        from: usize,
        process_id: u64,
        nonce: u64,
        write: &Write,
        lost: bool,
    ) {
        let outcome = self.table.commit(write);
        if let Some(Some(member)) = &outcome {
            self.joined.push((process_id, member.clone()));
        }
        if !lost {
            let committed = outcome.is_some();
            self.answer(from, Message::WriteResult { nonce, committed });
        }
    }

    fn answer(&mut self, to: usize, message: Message) {
        if self.reaches_table(to) {
            let at = self.now_ms + self.latency();
            self.events.push(at, Event::Deliver { to, message });
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.reaches(from, to) {
            let at = self.now_ms + self.latency();
            self.events.push(at, Event::Deliver { to, message });
        }
    }

    fn latency(&mut self) -> u64 {
        if self.now_ms < self.slow_until && self.random.random_bool(0.5) {
            return self.random.random_range(1..MAX_LATENCY_MS);
        }
        self.random.random_range(1..20)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        match self.sides {
            Some((sides, _, until)) if self.now_ms < until => sides >> from & 1 == sides >> to & 1,
            _ => true,
        }
    }

    fn reaches_table(&self, host: usize) -> bool {
        let partitioned = match self.sides {
            Some((sides, side, until)) if self.now_ms < until => (sides >> host & 1 == 1) != side,
            _ => false,
        };
        !partitioned
            && self.now_ms >= self.table_outage_until
            && self.now_ms >= self.unreachable_until[host]
    }
}
