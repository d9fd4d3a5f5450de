//! Retries: none, unbounded, within the budget, while a third of the groups fail.
//!
//! The arrivals use the whole capacity, so that with a third of it gone the rest is overloaded.
//! A failing group refuses at once or takes a request and never answers; a full group refuses.

use {
    crate::{
        report::{CurveAxes, CurveLine, Spread, draw_curve, write_table},
        traffic::{Draws, EventQueue, MILLISECOND, Micros, SECOND, group_target},
    },
    base::Tick,
    route::{
        AttemptEnd, BoundedAffinity, ChoiceRequest, GroupChoice, InFlightGuard, LoadReport,
        NextStep, PrefixTable, RequestFacts, RetryBudget, RouteTarget,
        budget::{DEFAULT_BURST, DEFAULT_PERCENT},
        choose_target, next_step,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write,
        sync::Arc,
        time::Duration,
    },
};

const GATEWAYS: usize = 12;
const GROUPS: usize = 24;
const SLOTS: u32 = 8;
/// Requests that wait inside a group before it refuses.
const GROUP_QUEUE: usize = 8;
const SERVICE: f64 = 2.0 * SECOND as f64;
/// Arrivals against the capacity of all groups.
const LOAD: f64 = 1.0;
const FAIL_FROM: Micros = 20 * SECOND;
const FAIL_UNTIL: Micros = 80 * SECOND;
const RUN_TIME: Micros = 100 * SECOND;
const DEADLINE: Micros = 8 * SECOND;
/// Time until a refusal or an error is seen.
const ROUND_TRIP: Micros = 3 * MILLISECOND;
/// Time until silence is taken for a failure.
const SILENCE: Micros = 2 * SECOND;
/// Part of the failing groups' requests that are taken and never answered.
const SILENT_PART: f64 = 0.3;
const REPORT_INTERVAL: Micros = SECOND;
/// How long a group that failed is avoided.
const SUSPICION: Duration = Duration::from_secs(2);
const NANOS_PER_MICRO: u64 = 1_000;
/// Time between two attempts of a caller's gateway that retries without bound.
const UNBOUNDED_PAUSE: Micros = 20 * MILLISECOND;

/// The ways that were weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryWay {
    /// One attempt.
    Never,
    /// Again and again until the deadline.
    Unbounded,
    /// Within the usual budget of a workspace.
    Budgeted,
}

impl RetryWay {
    pub(crate) const ALL: [Self; 3] = [Self::Never, Self::Unbounded, Self::Budgeted];

    fn name(self) -> &'static str {
        match self {
            Self::Never => "none",
            Self::Unbounded => "unbounded",
            Self::Budgeted => "budgeted (chosen)",
        }
    }
}

/// What one run came to, over the time that groups fail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryResult {
    /// Attempts a request.
    pub(crate) attempts: f64,
    /// Answers in time against what the surviving groups can give.
    pub(crate) goodput: f64,
    /// Part of the requests that were answered in time.
    pub(crate) answered: f64,
}

struct RequestSim {
    arrived: Micros,
    gateway: usize,
    attempts: u32,
    tried: Vec<usize>,
    may_have_run: bool,
    service: Micros,
    guard: Option<InFlightGuard>,
}

#[derive(Default)]
struct GroupSim {
    failing: bool,
    running: u32,
    queue: VecDeque<u64>,
}

struct GatewaySim {
    targets: Vec<Arc<RouteTarget>>,
    budget: RetryBudget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Attempt(u64),
    Finish { group: usize, request: u64 },
    Failed { group: usize, request: u64, not_run: bool },
    Report,
    Break,
    Mend,
}

struct RetrySim {
    way: RetryWay,
    /// Every so many groups, one fails.
    failing_every: usize,
    now: Micros,
    draws: Draws,
    policy: BoundedAffinity,
    gateways: Vec<GatewaySim>,
    groups: Vec<GroupSim>,
    requests: BTreeMap<u64, RequestSim>,
    events: EventQueue<Event>,
    first_attempts: u64,
    attempts: u64,
    answered: u64,
}

/// Runs one seed with one of each `failing_every` groups failing.
pub(crate) fn run(way: RetryWay, failing_every: usize, seed: u64) -> RetryResult {
    let gateway = |_| GatewaySim {
        targets: (0..GROUPS).map(|group| group_target(group, SLOTS)).collect(),
        budget: RetryBudget::new(DEFAULT_PERCENT, DEFAULT_BURST),
    };
    let mut sim = RetrySim {
        way,
        failing_every,
        now: 0,
        draws: Draws::new(seed),
        policy: BoundedAffinity::new(Arc::new(PrefixTable::new(1))),
        gateways: (0..GATEWAYS).map(gateway).collect(),
        groups: (0..GROUPS).map(|_| GroupSim::default()).collect(),
        requests: BTreeMap::new(),
        events: EventQueue::new(),
        first_attempts: 0,
        attempts: 0,
        answered: 0,
    };
    sim.run();
    sim.result()
}

impl RetrySim {
    fn run(&mut self) {
        self.events.schedule(0, Event::Arrival);
        self.events.schedule(0, Event::Report);
        self.events.schedule(FAIL_FROM, Event::Break);
        self.events.schedule(FAIL_UNTIL, Event::Mend);
        while let Some((at, event)) = self.events.next_until(RUN_TIME) {
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Attempt(request) => self.attempt(request),
                Event::Finish { group, request } => self.finish(group, request),
                Event::Failed { group, request, not_run } => self.fail(group, request, not_run),
                Event::Report => self.report(),
                Event::Break => self.set_failing(true),
                Event::Mend => self.set_failing(false),
            }
        }
    }

    fn set_failing(&mut self, failing: bool) {
        for group in self.groups.iter_mut().step_by(self.failing_every) {
            group.failing = failing;
        }
    }

    fn tick(&self) -> Tick {
        Tick(self.now * NANOS_PER_MICRO + 1)
    }

    fn counts(&self, request: &RequestSim) -> bool {
        (FAIL_FROM..FAIL_UNTIL).contains(&request.arrived)
    }

    fn arrive(&mut self) {
        let rate = LOAD * GROUPS as f64 * f64::from(SLOTS) / SERVICE;
        let gap = self.draws.exponential(1.0 / rate) as Micros;
        self.events.schedule(self.now + gap, Event::Arrival);
        let gateway = self.draws.below(GATEWAYS);
        let service = self.draws.exponential(SERVICE) as Micros;
        let request = RequestSim {
            arrived: self.now,
            gateway,
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
            service,
            guard: None,
        };
        self.gateways[gateway].budget.note_first_attempt();
        self.first_attempts += u64::from(self.counts(&request));
        let number = self.events.scheduled();
        self.requests.insert(number, request);
        self.attempt(number);
    }

    fn attempt(&mut self, number: u64) {
        let now = self.tick();
        let draw = self.draws.bits();
        let request = &self.requests[&number];
        let gateway = &self.gateways[request.gateway];
        let choice_request = ChoiceRequest { prefixes: &[], tried: &request.tried, draw, now };
        let choice = choose_target(&self.policy, &choice_request, &gateway.targets);
        let GroupChoice::Target(group) = choice else {
            self.requests.remove(&number);
            return;
        };
        let guard = gateway.targets[group].counters.start();
        let counts = self.counts(request);
        self.attempts += u64::from(counts);
        let request = self.requests.get_mut(&number).expect("the request is known");
        request.guard = Some(guard);
        request.attempts += 1;
        self.dispatch(group, number);
    }

    fn dispatch(&mut self, group: usize, request: u64) {
        let state = &mut self.groups[group];
        if state.failing {
            let not_run = self.draws.part() >= SILENT_PART;
            let wait = if not_run { ROUND_TRIP } else { SILENCE };
            self.events.schedule(self.now + wait, Event::Failed { group, request, not_run });
            return;
        }
        if state.queue.len() >= GROUP_QUEUE {
            let failed = Event::Failed { group, request, not_run: true };
            self.events.schedule(self.now + ROUND_TRIP, failed);
            return;
        }
        state.queue.push_back(request);
        self.start_next(group);
    }

    fn start_next(&mut self, group: usize) {
        if self.groups[group].running >= SLOTS {
            return;
        }
        let Some(number) = self.groups[group].queue.pop_front() else { return };
        self.groups[group].running += 1;
        let service = self.requests.get(&number).map_or(0, |request| request.service);
        self.events.schedule(self.now + service, Event::Finish { group, request: number });
    }

    fn finish(&mut self, group: usize, number: u64) {
        self.groups[group].running -= 1;
        if let Some(request) = self.requests.remove(&number) {
            let in_time = self.now <= request.arrived + DEADLINE;
            self.answered += u64::from(in_time && self.counts(&request));
            let counters = &self.gateways[request.gateway].targets[group].counters;
            counters.clear_suspicion();
        }
        self.start_next(group);
    }

    fn fail(&mut self, group: usize, number: u64, not_run: bool) {
        let now = self.tick();
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.guard = None;
        request.tried.push(group);
        let gateway = &self.gateways[request.gateway];
        gateway.targets[group].counters.suspect(now + SUSPICION);
        let end = if not_run { AttemptEnd::RefusedNotRun } else { AttemptEnd::NoAnswer };
        let facts = RequestFacts {
            idempotent: true,
            resumable: true,
            shown: 0,
            attempts: request.attempts,
            may_have_run: request.may_have_run,
            deadline: Tick((request.arrived + DEADLINE) * NANOS_PER_MICRO),
        };
        request.may_have_run |= !not_run;
        let again = match self.way {
            RetryWay::Never => false,
            RetryWay::Unbounded => self.now < request.arrived + DEADLINE,
            RetryWay::Budgeted => {
                matches!(next_step(end, &facts, &gateway.budget, now), NextStep::Retry)
            }
        };
        if !again {
            self.requests.remove(&number);
            return;
        }
        if self.way == RetryWay::Unbounded {
            request.tried.clear();
            self.events.schedule(self.now + UNBOUNDED_PAUSE, Event::Attempt(number));
        } else {
            self.attempt(number);
        }
    }

    fn report(&mut self) {
        self.events.schedule(self.now + REPORT_INTERVAL, Event::Report);
        let now = self.tick();
        for (index, group) in self.groups.iter().enumerate() {
            let report = LoadReport { running: group.running, queued: group.queue.len() as u32 };
            for gateway in &self.gateways {
                let counters = &gateway.targets[index].counters;
                counters.take_report(report, counters.in_flight(), now);
            }
        }
    }

    fn result(&self) -> RetryResult {
        let surviving = GROUPS - GROUPS.div_ceil(self.failing_every);
        let seconds = (FAIL_UNTIL - FAIL_FROM) as f64;
        let capacity = surviving as f64 * f64::from(SLOTS) * seconds / SERVICE;
        let requests = self.first_attempts as f64;
        RetryResult {
            attempts: self.attempts as f64 / requests,
            goodput: self.answered as f64 / capacity,
            answered: self.answered as f64 / requests,
        }
    }
}

/// One way over all seeds.
pub(crate) struct RetryLine {
    pub(crate) attempts: Spread,
    pub(crate) goodput: Spread,
    pub(crate) answered: Spread,
}

pub(crate) fn measure(way: RetryWay, failing_every: usize, seeds: u64) -> RetryLine {
    let results: Vec<_> = (1..=seeds).map(|seed| run(way, failing_every, seed)).collect();
    RetryLine {
        attempts: Spread::of_costs(results.iter().map(|result| result.attempts)),
        goodput: Spread::of_gains(results.iter().map(|result| result.goodput * 100.0)),
        answered: Spread::of_gains(results.iter().map(|result| result.answered * 100.0)),
    }
}

/// One of so many groups fails, in the table's lines.
const FAILING_EVERY: [usize; 4] = [6, 4, 3, 2];

/// Prints the table and draws the curve.
pub(crate) fn report(seeds: u64) {
    let mut text = format!(
        "Median (worst) of {seeds} seeds; some of {GROUPS} groups fail for 60 s while the \
         arrivals need the capacity of all.\n\n| failing | retries | attempts a request | \
         goodput, % of the surviving capacity | answered in time % |\n|---|---|---|---|---|\n"
    );
    let mut lines: Vec<_> = RetryWay::ALL
        .iter()
        .map(|way| CurveLine { name: way.name().to_owned(), points: Vec::new() })
        .collect();
    for every in FAILING_EVERY {
        for (position, way) in RetryWay::ALL.iter().enumerate() {
            let line = measure(*way, every, seeds);
            lines[position].points.push((100.0 / every as f64, line.goodput.median));
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| 1 of {every} | {} | {} | {} | {} |",
                way.name(),
                line.attempts.text(2),
                line.goodput.text(1),
                line.answered.text(1)
            );
        }
    }
    write_table("retries", &text);
    let axes = CurveAxes {
        title: "Goodput while groups fail",
        x: "failing groups, %",
        y: "% of the surviving capacity",
    };
    draw_curve("retries", &axes, &lines);
}
