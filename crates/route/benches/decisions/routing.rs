//! Simulates random routing, least reported load, two choices, pure affinity and the default
//! policy.
//!
//! Gateways receive delayed load reports and delayed cache events, some of which are lost. Groups
//! run requests in slots, queue the rest in order of arrival and cache a few prefixes; a prefix
//! that is not cached takes longer to prefill.

use {
    crate::{
        report::{ChartAxes, Curve, Spread, draw_chart, write_table},
        routing_strategy::RoutingStrategy,
        traffic::{
            EventQueue, MILLISECOND, Micros, SECOND, SimRng, ZipfDistribution, group_target,
            quantile,
        },
    },
    base::Tick,
    route::{
        ChoicePolicy, ChoiceRequest, InFlightGuard, LoadReport, PrefixKey, PrefixTable,
        RouteTarget, TargetChoice, choose_target,
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
/// Fraction of the capacity that the arrivals use if every prefix is cached.
const LOAD: f64 = 0.7;
const DECODE_MEAN: f64 = 1.6 * SECOND as f64;
const DECODE_MIN: f64 = 0.4 * SECOND as f64;
const PREFILL_COLD: Micros = 400 * MILLISECOND;
const PREFILL_CACHED: Micros = 40 * MILLISECOND;
const PREFIXES: usize = 400;
const CACHED_PREFIXES: usize = 40;
const RUN_TIME: Micros = 90 * SECOND;
/// Requests that arrive before this time are not measured.
const WARM_UP: Micros = 15 * SECOND;
const POLL_INTERVAL: Micros = 100 * MILLISECOND;
const EVENT_LAG: Micros = 300 * MILLISECOND;
const EVENT_LOSS: f64 = 0.05;
/// One of this many groups is a straggler, whose requests take [`STRAGGLER_SLOWDOWN`] times as
/// long.
const STRAGGLER_EVERY: usize = 12;
const STRAGGLER_SLOWDOWN: f64 = 1.5;
/// Time between tokens of a group that is not a straggler.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
const NANOS_PER_MICRO: u64 = 1_000;

/// Measurements of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutingResult {
    pub(crate) p95_ms: f64,
    pub(crate) p99_ms: f64,
    /// Time average of the most loaded group's requests divided by the mean over all groups.
    pub(crate) imbalance: f64,
    /// Fraction of the requests whose prefix was cached.
    pub(crate) hits: f64,
}

struct QueuedRequest {
    arrived: Micros,
    gateway: usize,
    prefix: usize,
    decode: Micros,
    guard: InFlightGuard,
}

struct GroupSim {
    slowdown: f64,
    running: u32,
    queue: VecDeque<QueuedRequest>,
    cache: VecDeque<usize>,
    /// Running and queued requests at each poll.
    work_history: Vec<u32>,
}

impl GroupSim {
    fn work(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Looks up a prefix in the cache and inserts it if absent. Returns whether it was cached and
    /// which prefix was evicted.
    fn read(&mut self, prefix: usize) -> (bool, Option<usize>) {
        let cached = self.cache.iter().position(|other| *other == prefix);
        if let Some(position) = cached {
            self.cache.remove(position);
        }
        self.cache.push_back(prefix);
        let full = self.cache.len() > CACHED_PREFIXES;
        (cached.is_some(), full.then(|| self.cache.pop_front()).flatten())
    }
}

struct GatewaySim {
    targets: Vec<Arc<RouteTarget>>,
    prefixes: Arc<PrefixTable>,
    policy: Box<dyn ChoicePolicy>,
}

impl GatewaySim {
    fn new(strategy: RoutingStrategy) -> Self {
        let prefixes = Arc::new(PrefixTable::new(4 * PREFIXES));
        let policy = strategy.policy(&prefixes);
        Self {
            targets: (0..GROUPS).map(|group| group_target(group, SLOTS)).collect(),
            prefixes,
            policy,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish { group: usize, number: u64 },
    Poll,
    CacheChange { group: usize, prefix: usize, stored: bool },
}

struct RoutingSim {
    strategy: RoutingStrategy,
    report_lag: Micros,
    now: Micros,
    rng: SimRng,
    prefix_distribution: ZipfDistribution,
    gateways: Vec<GatewaySim>,
    groups: Vec<GroupSim>,
    /// In-flight guards of running requests by event number.
    guards: BTreeMap<u64, InFlightGuard>,
    events: EventQueue<Event>,
    first_tokens: Vec<Micros>,
    hits: u64,
    imbalance: Vec<f64>,
}

/// Simulates one seed with load reports delayed by `report_lag`.
pub(crate) fn run(strategy: RoutingStrategy, report_lag: Micros, seed: u64) -> RoutingResult {
    let group = |index| GroupSim {
        slowdown: if index % STRAGGLER_EVERY == 0 { STRAGGLER_SLOWDOWN } else { 1.0 },
        running: 0,
        queue: VecDeque::new(),
        cache: VecDeque::new(),
        work_history: Vec::new(),
    };
    let mut sim = RoutingSim {
        strategy,
        report_lag,
        now: 0,
        rng: SimRng::new(seed),
        prefix_distribution: ZipfDistribution::new(PREFIXES),
        gateways: (0..GATEWAYS).map(|_| GatewaySim::new(strategy)).collect(),
        groups: (0..GROUPS).map(group).collect(),
        guards: BTreeMap::new(),
        events: EventQueue::new(),
        first_tokens: Vec::new(),
        hits: 0,
        imbalance: Vec::new(),
    };
    sim.run();
    sim.result()
}

impl RoutingSim {
    fn run(&mut self) {
        self.events.schedule(0, Event::Poll);
        self.events.schedule(0, Event::Arrival);
        while let Some((event_time, event)) = self.events.next_until(RUN_TIME) {
            self.now = event_time;
            match event {
                Event::Arrival => self.arrive(),
                Event::Finish { group, number } => self.finish(group, number),
                Event::Poll => self.poll(),
                Event::CacheChange { group, prefix, stored } => {
                    self.apply_cache_change(group, prefix, stored);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let service = DECODE_MEAN + PREFILL_CACHED as f64;
        let rate = LOAD * (GROUPS as f64) * f64::from(SLOTS) / service;
        let gap = self.rng.exponential(1.0 / rate) as Micros;
        self.events.schedule(self.now + gap, Event::Arrival);
        let gateway = self.rng.below(GATEWAYS);
        let prefix = self.prefix_distribution.sample(&mut self.rng);
        let decode = DECODE_MIN + self.rng.exponential(DECODE_MEAN - DECODE_MIN);
        let random_number = self.rng.bits();
        let group = self.choose(gateway, prefix, random_number);
        let guard = self.gateways[gateway].targets[group].counters.start();
        let request =
            QueuedRequest { arrived: self.now, gateway, prefix, decode: decode as Micros, guard };
        self.groups[group].queue.push_back(request);
        self.start_next(group);
    }

    fn choose(&self, gateway: usize, prefix: usize, random_number: u64) -> usize {
        let gateway = &self.gateways[gateway];
        let key = [prefix_key(prefix)];
        let now = Tick(self.now * NANOS_PER_MICRO);
        let request = ChoiceRequest { prefixes: &key, tried: &[], random_number, now };
        match choose_target(gateway.policy.as_ref(), &request, &gateway.targets) {
            TargetChoice::Target(group) => {
                // The gateway does not wait for the cache event of a request that it sent itself.
                gateway.prefixes.note_stored(key[0], gateway.targets[group].tag);
                group
            }
            // The gateway's own requests fill every group, so any group is as good as another.
            TargetChoice::Full | TargetChoice::Nothing => (random_number % GROUPS as u64) as usize,
        }
    }

    fn start_next(&mut self, group: usize) {
        if self.groups[group].running >= SLOTS {
            return;
        }
        let Some(request) = self.groups[group].queue.pop_front() else { return };
        let (hit, evicted) = self.groups[group].read(request.prefix);
        if !hit {
            self.publish(group, request.prefix, true);
        }
        if let Some(prefix) = evicted {
            self.publish(group, prefix, false);
        }
        let slowdown = self.groups[group].slowdown;
        let prefill = if hit { PREFILL_CACHED } else { PREFILL_COLD };
        let prefill = (prefill as f64 * slowdown) as Micros;
        let decode = (request.decode as f64 * slowdown) as Micros;
        if request.arrived >= WARM_UP {
            self.first_tokens.push(self.now + prefill - request.arrived);
            self.hits += u64::from(hit);
        }
        let token_interval = Duration::from_secs_f64(TOKEN_INTERVAL.as_secs_f64() * slowdown);
        if self.strategy != RoutingStrategy::NoTokenInterval {
            self.gateways[request.gateway].targets[group]
                .counters
                .note_token_interval(token_interval);
        }
        self.groups[group].running += 1;
        let end = self.now + prefill + decode;
        let number = self.events.scheduled();
        self.events.schedule(end, Event::Finish { group, number });
        self.guards.insert(number, request.guard);
    }

    fn finish(&mut self, group: usize, number: u64) {
        self.guards.remove(&number);
        self.groups[group].running -= 1;
        self.start_next(group);
    }

    /// Schedules a cache event with a delay; some events are lost.
    fn publish(&mut self, group: usize, prefix: usize, stored: bool) {
        if self.rng.fraction() >= EVENT_LOSS {
            self.events
                .schedule(self.now + EVENT_LAG, Event::CacheChange { group, prefix, stored });
        }
    }

    fn apply_cache_change(&mut self, group: usize, prefix: usize, stored: bool) {
        for gateway in &self.gateways {
            let tag = gateway.targets[group].tag;
            match stored {
                true => gateway.prefixes.note_stored(prefix_key(prefix), tag),
                false => gateway.prefixes.note_evicted(prefix_key(prefix), tag),
            }
        }
    }

    /// Reports to every gateway the load that each group had `report_lag` ago.
    fn poll(&mut self) {
        self.events.schedule(self.now + POLL_INTERVAL, Event::Poll);
        let polls_back = (self.report_lag / POLL_INTERVAL) as usize;
        let now = Tick(self.now * NANOS_PER_MICRO + 1);
        for (index, group) in self.groups.iter_mut().enumerate() {
            group.work_history.push(group.work());
            let Some(position) = group.work_history.len().checked_sub(polls_back + 1) else {
                continue;
            };
            let report = LoadReport { running: group.work_history[position], queued: 0 };
            for gateway in &self.gateways {
                let counters = &gateway.targets[index].counters;
                let own = if self.strategy.excludes_own_load() { counters.in_flight() } else { 0 };
                counters.apply_report(report, own, now);
            }
        }
        if self.now >= WARM_UP {
            let work = || self.groups.iter().map(|group| f64::from(group.work()));
            let mean = work().sum::<f64>() / GROUPS as f64;
            self.imbalance.push(work().fold(0.0, f64::max) / mean.max(1.0));
        }
    }

    fn result(mut self) -> RoutingResult {
        self.first_tokens.sort_unstable();
        let quantile_ms =
            |fraction| quantile(&self.first_tokens, fraction) as f64 / MILLISECOND as f64;
        RoutingResult {
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            imbalance: self.imbalance.iter().sum::<f64>() / self.imbalance.len().max(1) as f64,
            hits: self.hits as f64 / self.first_tokens.len().max(1) as f64,
        }
    }
}

fn prefix_key(prefix: usize) -> PrefixKey {
    PrefixKey::of(&prefix.to_le_bytes())
}

/// Results of one strategy at one report lag over all seeds.
pub(crate) struct RoutingSummary {
    pub(crate) p95_ms: Spread,
    pub(crate) p99_ms: Spread,
    pub(crate) imbalance: Spread,
    pub(crate) hits: Spread,
}

pub(crate) fn measure(strategy: RoutingStrategy, report_lag: Micros, seeds: u64) -> RoutingSummary {
    let results: Vec<_> = (1..=seeds).map(|seed| run(strategy, report_lag, seed)).collect();
    RoutingSummary {
        p95_ms: Spread::of_costs(results.iter().map(|result| result.p95_ms)),
        p99_ms: Spread::of_costs(results.iter().map(|result| result.p99_ms)),
        imbalance: Spread::of_costs(results.iter().map(|result| result.imbalance)),
        hits: Spread::of_gains(results.iter().map(|result| result.hits * 100.0)),
    }
}

/// Report lags in the table.
const LAGS: [Micros; 5] = [100 * MILLISECOND, 500 * MILLISECOND, SECOND, 2 * SECOND, 5 * SECOND];

/// Prints and writes the table and draws the chart.
pub(crate) fn report(seeds: u64) {
    let mut text = format!(
        "Median (worst) of {seeds} seeds; {GATEWAYS} gateways, {GROUPS} groups of {SLOTS} slots, \
         load {LOAD}.\n\n| report lag | way | first token p95 ms | p99 ms | most loaded against \
         mean | prefix hits % |\n|---|---|---|---|---|---|\n"
    );
    let mut curves: Vec<_> = RoutingStrategy::ALL
        .iter()
        .map(|strategy| Curve { name: strategy.name().to_owned(), points: Vec::new() })
        .collect();
    for lag in LAGS {
        let seconds = lag as f64 / SECOND as f64;
        for (position, strategy) in RoutingStrategy::ALL.iter().enumerate() {
            let summary = measure(*strategy, lag, seeds);
            curves[position].points.push((seconds, summary.p99_ms.median));
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {seconds} s | {} | {} | {} | {} | {} |",
                strategy.name(),
                summary.p95_ms.text(0),
                summary.p99_ms.text(0),
                summary.imbalance.text(2),
                summary.hits.text(1)
            );
        }
    }
    write_table("routing", &text);
    let axes =
        ChartAxes { title: "First token, 99th percentile", x: "report lag, s", y: "milliseconds" };
    draw_chart("routing", &axes, &curves);
}
