//! A pool of servers that share their time among their requests, and processes that send to them.

use {
    base::{Tick, WorkspaceId},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    scarce::{
        Occupancy, PriorityLevel, RoomDecision, RoomGate, RoomRequest, RoomSample, RoomSettings,
    },
    std::{collections::VecDeque, time::Duration},
};

const STEP_MS: u64 = 5;
const PROCESSES: usize = 29;
const SLOTS: usize = 34;
/// Age of the load reports on which processes decide.
const REPORT_AGE_STEPS: usize = 60;
/// Time of one token step, and what each request adds to it, in ms.
const TOKEN_MS: f64 = 4.6;
const TOKEN_MS_PER_REQUEST: f64 = 0.18;
/// Time before the first token that does not depend on the load.
const BASE_MS: u64 = 150;
const TOKENS_PER_EVENT: f64 = 5.0;
/// Callers leave when they have waited this long for the first event.
const PATIENCE_MS: u64 = 2_000;
/// Callers wait no longer than this before they return.
const MAX_RETURN_MS: u64 = 2_000;
const TENANTS: usize = 8;

/// A kind of request.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) part: f64,
    pub(crate) level: u8,
    pub(crate) tokens: f64,
    pub(crate) goal_ms: u64,
}

/// A load, and what disturbs the servers.
#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) servers: usize,
    pub(crate) per_s: f64,
    pub(crate) kinds: Vec<Kind>,
    /// From, to and what it does to the demand.
    pub(crate) burst: (u64, u64, f64),
    /// From, to and how many servers are down.
    pub(crate) dark: (u64, u64, usize),
    /// Part of the demand in the burst that one tenant sends.
    pub(crate) hot: f64,
    /// Part of the callers that repeat at once, three times.
    pub(crate) hasty: f64,
    /// Whether the gate decides; otherwise all are admitted.
    pub(crate) gated: bool,
}

/// What became of the requests that were first sent in a span, by some of their traits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    pub(crate) late: f64,
}

impl Served {
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time / self.asked
    }

    pub(crate) fn served_share(&self) -> f64 {
        (self.in_time + self.late) / self.asked
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) first_ms: u64,
    pub(crate) kind: usize,
    pub(crate) tenant: usize,
    pub(crate) is_hasty: bool,
    pub(crate) wait_ms: Option<u64>,
    process: usize,
    sent_ms: u64,
    attempts: u32,
    occupancy: f64,
    tokens: f64,
    is_over: bool,
}

pub(crate) struct World {
    load: Load,
    random: Pcg64Mcg,
    gates: Vec<RoomGate>,
    calls: Vec<Call>,
    servers: Vec<VecDeque<usize>>,
    reports: VecDeque<Vec<usize>>,
    returns: Vec<(u64, usize)>,
    now_ms: u64,
}

impl World {
    pub(crate) fn new(load: Load, seed: u64) -> Self {
        let servers = vec![VecDeque::new(); load.servers];
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            gates: vec![RoomGate::new(RoomSettings::default()); PROCESSES],
            calls: Vec::new(),
            reports: VecDeque::from([vec![0; load.servers]]),
            servers,
            returns: Vec::new(),
            now_ms: 0,
            load,
        }
    }

    /// Plays the load and returns all calls.
    pub(crate) fn play(mut self, span_ms: u64) -> Vec<Call> {
        while self.now_ms < span_ms {
            self.arrive();
            let (due, later) = self.returns.iter().partition(|(at, _)| *at <= self.now_ms);
            self.returns = later;
            let due: Vec<(u64, usize)> = due;
            due.into_iter().for_each(|(_, call)| self.send(call));
            (0..self.servers.len()).for_each(|server| self.work(server));
            self.reports.push_back(self.servers.iter().map(VecDeque::len).collect());
            if self.reports.len() > REPORT_AGE_STEPS {
                self.reports.pop_front();
            }
            self.now_ms += STEP_MS;
        }
        self.calls
    }

    fn arrive(&mut self) {
        let (from, to, factor) = self.load.burst;
        let bursts = (from..to).contains(&self.now_ms);
        let per_s = self.load.per_s * if bursts { factor } else { 1.0 };
        let mut due = per_s * STEP_MS as f64 / 1_000.0;
        while due > 0.0 && self.random.random_bool(due.min(1.0)) {
            let is_hot = bursts && self.random.random_bool(self.load.hot);
            let mut sample: f64 = self.random.random();
            let kinds = &self.load.kinds;
            let kind = kinds.iter().position(|kind| {
                sample -= kind.part;
                sample < 0.0
            });
            self.calls.push(Call {
                first_ms: self.now_ms,
                kind: kind.unwrap_or(0),
                tenant: if is_hot { 0 } else { self.random.random_range(0..TENANTS) },
                is_hasty: self.random.random_bool(self.load.hasty),
                wait_ms: None,
                process: 0,
                sent_ms: 0,
                attempts: 0,
                occupancy: 0.0,
                tokens: 0.0,
                is_over: false,
            });
            self.send(self.calls.len() - 1);
            due -= 1.0;
        }
    }

    fn is_dark(&self, server: usize) -> bool {
        let (from, to, count) = self.load.dark;
        server < count && (from..to).contains(&self.now_ms)
    }

    fn send(&mut self, index: usize) {
        let report = &self.reports[0];
        let live: Vec<usize> = (0..report.len()).filter(|server| !self.is_dark(*server)).collect();
        let total: usize = live.iter().map(|server| report[*server]).sum();
        let occupancy = total as f64 / (live.len() * SLOTS) as f64;
        let pick = [0, 1].map(|_| live[self.random.random_range(0..live.len())]);
        let server = pick.into_iter().min_by_key(|server| report[*server]).unwrap();
        let process = self.random.random_range(0..PROCESSES);
        let [surge, admission, spread] = self.random.random();
        let size = self.random.random_range(0.2..1.8);
        let call = &mut self.calls[index];
        let kind = self.load.kinds[call.kind];
        let workspace = WorkspaceId::new(format!("t{}", call.tenant)).unwrap();
        let level = PriorityLevel(kind.level);
        let request = RoomRequest { level, workspace: Some(&workspace), is_resumed: false };
        let now = Tick(0) + Duration::from_millis(self.now_ms + 100_000);
        let sample = RoomSample { surge, admission, spread };
        let verdict = self.gates[process].decide(&request, Occupancy(occupancy), sample, now);
        call.attempts += 1;
        match verdict.decision {
            RoomDecision::HeldBack { retry_after } if self.load.gated => {
                let return_ms = if call.is_hasty {
                    20
                } else {
                    MAX_RETURN_MS.min(retry_after.as_millis() as u64)
                };
                if call.attempts < if call.is_hasty { 4 } else { 2 } {
                    self.returns.push((self.now_ms + return_ms, index));
                }
            }
            _ => {
                (call.process, call.sent_ms, call.occupancy) = (process, self.now_ms, occupancy);
                call.tokens = kind.tokens * size;
                self.servers[server].push_back(index);
            }
        }
    }

    fn work(&mut self, server: usize) {
        if self.is_dark(server) {
            return;
        }
        let running = self.servers[server].len().min(SLOTS);
        let tokens = STEP_MS as f64 / (TOKEN_MS + TOKEN_MS_PER_REQUEST * running as f64);
        let now_ms = self.now_ms;
        for (place, index) in self.servers[server].iter().enumerate() {
            let call = &mut self.calls[*index];
            let waited_ms = now_ms - call.sent_ms;
            if call.wait_ms.is_none() && waited_ms > PATIENCE_MS {
                call.is_over = true;
            } else if place < SLOTS {
                call.tokens -= tokens;
                call.is_over = call.tokens <= 0.0;
                let kind = self.load.kinds[call.kind];
                if call.wait_ms.is_none() {
                    // The first event comes when its tokens are made; the rest of the answer follows.
                    let wait_ms =
                        waited_ms + BASE_MS + (TOKENS_PER_EVENT / tokens) as u64 * STEP_MS;
                    call.wait_ms = Some(wait_ms + call.sent_ms - call.first_ms);
                    let [wait, goal] = [wait_ms, kind.goal_ms].map(Duration::from_millis);
                    self.gates[call.process].note_answer(Occupancy(call.occupancy), wait, goal);
                }
            }
        }
        let calls = &self.calls;
        self.servers[server].retain(|index| !calls[*index].is_over);
    }
}

/// Sums up the calls that `fits` selects.
pub(crate) fn served(load: &Load, calls: &[Call], fits: impl Fn(&Call) -> bool) -> Served {
    calls.iter().filter(|call| fits(call)).fold(Served::default(), |sum, call| {
        let in_time = call.wait_ms.is_some_and(|wait| wait <= load.kinds[call.kind].goal_ms);
        let late = call.wait_ms.is_some() && !in_time;
        let count = |is: bool| f64::from(u8::from(is));
        Served {
            asked: sum.asked + 1.0,
            in_time: sum.in_time + count(in_time),
            late: sum.late + count(late),
        }
    })
}
