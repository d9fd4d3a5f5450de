//! Compares ways to divide a workspace's limit over gateways: a static split, grants by demand, a
//! mix of both, and, as the ideal, one central gate.
//!
//! Callers keep the address of a gateway for a while, so a few gateways get most of the requests:
//! 80 % go to three neighbours of the twelve, drawn anew every 10 s, and the rest to any of them.

use {
    crate::{
        report::{ChartAxes, Curve, Spread, draw_chart, write_table},
        traffic::{EventQueue, MILLISECOND, Micros, SECOND, SimRng},
    },
    base::{RatePerSecond, Tick, ViewNumber, WorkspaceId},
    route::{
        Share, ShareGate, ShareGrantor, ShareRequest, ShareRequester, ShareSettings, StartGuard,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write,
        sync::Arc,
    },
};

const GATEWAYS: usize = 12;
const LIMIT: Share = Share { requests_per_second: RatePerSecond(200.0), in_flight: 120 };
/// Mean of the exponentially distributed service time, in microseconds.
const MEAN_SERVICE_TIME: f64 = 0.4 * SECOND as f64;
/// Arrival rates as multiples of the limit's rate.
const LOADS: [f64; 4] = [0.4, 0.6, 0.8, 1.2];
/// Time for which the same gateways get most of the load.
const SHIFT_INTERVAL: Micros = 10 * SECOND;
/// Number of gateways that get most of the load at a time, and their fraction of it.
const HOT_GATEWAYS: usize = 3;
const HOT_FRACTION: f64 = 0.8;
const RUN_TIME: Micros = 120 * SECOND;
const WARM_UP: Micros = 10 * SECOND;
const POLL_INTERVAL: Micros = 250 * MILLISECOND;
/// Minimum time between a gateway's last share request and an early one after a refusal.
const MIN_REQUEST_INTERVAL: Micros = 50 * MILLISECOND;
/// One-way delay of share requests and answers.
const MESSAGE_DELAY: Micros = 5 * MILLISECOND;
/// Fraction of the share requests, and of the answers, that are lost.
const LOSS_FRACTION: f64 = 0.01;
/// Time for which a gate accumulates unused starts; see [`ShareGate`].
const BURST: Micros = SECOND;
const NANOS_PER_MICRO: u64 = 1_000;

/// The compared strategies; the table column "way" shows their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitStrategy {
    /// Each gateway has the same fixed part of the limit.
    Static,
    /// The whole limit is granted by demand.
    Granted,
    /// A fifth is divided evenly, the rest is granted by demand. Gateways use this strategy.
    Default,
    /// One gate shared by all gateways, which a real system cannot have. Its refusals are the lower
    /// bound.
    Central,
}

impl LimitStrategy {
    pub(crate) const ALL: [Self; 4] = [Self::Static, Self::Granted, Self::Default, Self::Central];

    fn name(self) -> &'static str {
        match self {
            Self::Static => "static split",
            Self::Granted => "all by demand",
            Self::Default => "a fifth split, the rest by demand (chosen)",
            Self::Central => "one central gate (not to be had)",
        }
    }

    fn base_percent(self) -> u32 {
        match self {
            Self::Static | Self::Central => 100,
            Self::Granted => 0,
            Self::Default => 20,
        }
    }
}

/// Measurements of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitResult {
    /// Fraction of the arrivals that were refused.
    pub(crate) refused: f64,
    /// Maximum number of requests in flight above the limit.
    pub(crate) in_flight_over: u32,
    /// Maximum number of starts within a second above the limit's rate and the allowed burst.
    pub(crate) starts_over: u64,
}

struct GatewaySim {
    gate: Arc<ShareGate>,
    requester: ShareRequester,
    last_request_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(u64),
    Shift,
    Poll(usize),
    Request(usize),
    Answer(usize),
}

struct LimitSim {
    central: bool,
    now: Micros,
    load: f64,
    rng: SimRng,
    workspace: WorkspaceId,
    settings: ShareSettings,
    grantor: ShareGrantor<usize>,
    gateways: Vec<GatewaySim>,
    first_hot_gateway: usize,
    requests: BTreeMap<usize, VecDeque<ShareRequest>>,
    answers: BTreeMap<usize, VecDeque<(u64, Share)>>,
    running: BTreeMap<u64, StartGuard>,
    starts: VecDeque<Micros>,
    events: EventQueue<Event>,
    arrived: u64,
    refused: u64,
    in_flight_over: u32,
    starts_over: u64,
}

/// Simulates one seed with arrivals at `load` times the limit's rate.
pub(crate) fn run(strategy: LimitStrategy, load: f64, seed: u64) -> LimitResult {
    let percent = strategy.base_percent();
    let now = Tick(1);
    let central = strategy == LimitStrategy::Central;
    let base = Share::base_part(LIMIT, percent, if central { 1 } else { GATEWAYS });
    let gateway = |_| GatewaySim {
        gate: Arc::new(ShareGate::new(base, now)),
        requester: ShareRequester::new(now),
        last_request_at: 0,
    };
    let settings = ShareSettings::default();
    let mut grantor = ShareGrantor::new(settings.clone());
    let workspace = WorkspaceId::new("workspace").expect("a valid id");
    let granted = Share::granted_part(LIMIT, percent);
    grantor.take_over(&workspace, ViewNumber(1), granted, 0..GATEWAYS, now);
    let mut sim = LimitSim {
        central,
        now: 0,
        load,
        rng: SimRng::new(seed),
        workspace,
        settings,
        grantor,
        gateways: (0..GATEWAYS).map(gateway).collect(),
        first_hot_gateway: 0,
        requests: BTreeMap::new(),
        answers: BTreeMap::new(),
        running: BTreeMap::new(),
        starts: VecDeque::new(),
        events: EventQueue::new(),
        arrived: 0,
        refused: 0,
        in_flight_over: 0,
        starts_over: 0,
    };
    sim.run();
    LimitResult {
        refused: sim.refused as f64 / sim.arrived as f64,
        in_flight_over: sim.in_flight_over,
        starts_over: sim.starts_over,
    }
}

impl LimitSim {
    fn run(&mut self) {
        self.events.schedule(0, Event::Arrival);
        self.events.schedule(0, Event::Shift);
        for gateway in 0..GATEWAYS {
            let offset = gateway as Micros * POLL_INTERVAL / GATEWAYS as Micros;
            self.events.schedule(offset, Event::Poll(gateway));
        }
        while let Some((event_time, event)) = self.events.next_until(RUN_TIME) {
            self.now = event_time;
            match event {
                Event::Arrival => self.arrive(),
                Event::Finish(number) => drop(self.running.remove(&number)),
                Event::Shift => self.shift(),
                Event::Poll(gateway) => self.poll(gateway),
                Event::Request(gateway) => self.answer(gateway),
                Event::Answer(gateway) => self.apply_answer(gateway),
            }
        }
    }

    fn tick(&self) -> Tick {
        Tick(self.now * NANOS_PER_MICRO + 1)
    }

    fn shift(&mut self) {
        self.events.schedule(self.now + SHIFT_INTERVAL, Event::Shift);
        self.first_hot_gateway = self.rng.below(GATEWAYS);
    }

    fn arrive(&mut self) {
        let rate = self.load * LIMIT.requests_per_second.0 / SECOND as f64;
        let gap = self.rng.exponential(1.0 / rate) as Micros;
        self.events.schedule(self.now + gap, Event::Arrival);
        let gateway = match self.rng.fraction() < HOT_FRACTION {
            true => (self.first_hot_gateway + self.rng.below(HOT_GATEWAYS)) % GATEWAYS,
            false => self.rng.below(GATEWAYS),
        };
        let gateway = if self.central { 0 } else { gateway };
        let is_counted = self.now >= WARM_UP;
        self.arrived += u64::from(is_counted);
        let started = self.gateways[gateway].gate.try_start(self.tick());
        match started {
            Ok(guard) => self.start(guard),
            Err(_) => {
                self.refused += u64::from(is_counted);
                self.request_early(gateway);
            }
        }
    }

    fn start(&mut self, guard: StartGuard) {
        let service_time = self.rng.exponential(MEAN_SERVICE_TIME) as Micros;
        let number = self.events.scheduled();
        self.events.schedule(self.now + service_time, Event::Finish(number));
        self.running.insert(number, guard);
        self.starts.push_back(self.now);
        self.remove_old_starts();
        let over = (self.running.len() as u32).saturating_sub(LIMIT.in_flight);
        self.in_flight_over = self.in_flight_over.max(over);
        let burst = BURST as f64 / SECOND as f64;
        let allowed = LIMIT.requests_per_second.0 * (1.0 + burst) + GATEWAYS as f64;
        let starts_over = (self.starts.len() as u64).saturating_sub(allowed as u64);
        self.starts_over = self.starts_over.max(starts_over);
    }

    fn remove_old_starts(&mut self) {
        while self.starts.front().is_some_and(|start| start + SECOND <= self.now) {
            self.starts.pop_front();
        }
    }

    /// Sends a share request after a refusal, before the next poll is due.
    fn request_early(&mut self, gateway: usize) {
        if self.now >= self.gateways[gateway].last_request_at + MIN_REQUEST_INTERVAL {
            self.request(gateway);
        }
    }

    fn poll(&mut self, gateway: usize) {
        self.events.schedule(self.now + POLL_INTERVAL, Event::Poll(gateway));
        self.request(gateway);
    }

    fn request(&mut self, gateway: usize) {
        let now = self.tick();
        let state = &mut self.gateways[gateway];
        state.last_request_at = self.now;
        let Some(request) = state.requester.next_request(&state.gate, 0, ViewNumber(1), now) else {
            return;
        };
        if self.rng.fraction() >= LOSS_FRACTION {
            self.requests.entry(gateway).or_default().push_back(request);
            self.events.schedule(self.now + MESSAGE_DELAY, Event::Request(gateway));
        }
    }

    fn answer(&mut self, gateway: usize) {
        let now = self.tick();
        let Some(request) = self.requests.get_mut(&gateway).and_then(VecDeque::pop_front) else {
            return;
        };
        let granted = self.grantor.grant(&self.workspace, &gateway, request, now);
        if let Some(granted) = granted.filter(|_| self.rng.fraction() >= LOSS_FRACTION) {
            self.answers.entry(gateway).or_default().push_back((request.order, granted));
            self.events.schedule(self.now + MESSAGE_DELAY, Event::Answer(gateway));
        }
    }

    fn apply_answer(&mut self, gateway: usize) {
        let answers = self.answers.get_mut(&gateway);
        let Some((order, granted)) = answers.and_then(VecDeque::pop_front) else { return };
        let state = &mut self.gateways[gateway];
        state.requester.apply_grant(&state.gate, order, granted, self.settings.validity);
    }
}

/// Results of one strategy at one load over all seeds.
pub(crate) struct LimitSummary {
    pub(crate) refused: Spread,
    pub(crate) in_flight_over: Spread,
    pub(crate) starts_over: Spread,
}

pub(crate) fn measure(strategy: LimitStrategy, load: f64, seeds: u64) -> LimitSummary {
    let results: Vec<_> = (1..=seeds).map(|seed| run(strategy, load, seed)).collect();
    let refused = results.iter().map(|result| result.refused * 100.0);
    LimitSummary {
        refused: Spread::of_costs(refused),
        in_flight_over: Spread::of_costs(results.iter().map(|r| f64::from(r.in_flight_over))),
        starts_over: Spread::of_costs(results.iter().map(|result| result.starts_over as f64)),
    }
}

/// Prints and writes the table and draws the chart.
pub(crate) fn report(seeds: u64) {
    let mut text = format!(
        "Median (worst) of {seeds} seeds; {GATEWAYS} gateways, {HOT_GATEWAYS} of them with 80 % \
         of the load, others every 10 s; 1 % of asks and of answers lost.\n\n| load against the \
         limit | way | refused % | in flight over | starts over |\n\
         |---|---|---|---|---|\n"
    );
    let mut curves: Vec<_> = LimitStrategy::ALL
        .iter()
        .map(|strategy| Curve { name: strategy.name().to_owned(), points: Vec::new() })
        .collect();
    for load in LOADS {
        for (position, strategy) in LimitStrategy::ALL.iter().enumerate() {
            let summary = measure(*strategy, load, seeds);
            curves[position].points.push((load, summary.refused.median));
            let _ = writeln!(
                text,
                "| {load} | {} | {} | {} | {} |",
                strategy.name(),
                summary.refused.text(2),
                summary.in_flight_over.text(0),
                summary.starts_over.text(0)
            );
        }
    }
    write_table("limits", &text);
    let axes = ChartAxes {
        title: "Requests refused by the limit",
        x: "load against the limit",
        y: "% of the requests",
    };
    draw_chart("limits", &axes, &curves);
}
