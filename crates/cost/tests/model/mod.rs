//! Model engines and processes that choose among them, in steps of one millisecond and without a network.

use {
    base::{RatePerSecond, Tick, TokenCount},
    cost::{EngineSpeed, PaceMean, PaceReport, ServerWork, UsualSize, pick_candidate},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const START: Tick = Tick(1_000_000_000_000);
/// Time between two load reports of a server.
const REPORT_INTERVAL_MS: usize = 400;
/// Age of the load in a report when it is received.
const REPORT_AGE_MS: usize = 200;
/// Some servers turn slow at this time.
const SLOW_FROM_MS: usize = 4_000;
/// First events count from this time on.
const COUNTED_FROM_MS: usize = 5_000;
const SPAN_MS: usize = 14_000;
/// Callers come in waves, this much above and below the mean.
const SWING: f64 = 0.55;
const WAVE_MS: f64 = 15_000.0;

/// How a process chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChoiceRule {
    /// Any server.
    Random,
    /// By the number of requests and the mean response time, as for servers without engines.
    Requests,
    /// By the expected time to the first event.
    Work,
    /// The best server by its true state at the moment.
    Clairvoyant,
}

/// A load, and the servers that bear it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelLoad {
    pub(crate) processes: usize,
    pub(crate) servers: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) mean_prompt: f64,
    pub(crate) mean_events: f64,
    pub(crate) speed: fn() -> EngineSpeed,
    /// Share of servers that turn slow, and how much.
    pub(crate) slow: (f64, f64),
}

#[derive(Clone, Copy)]
struct ModelRequest {
    process: usize,
    sent_at: f64,
    prompt: f64,
    unread: f64,
    events: f64,
    last_event: Option<f64>,
}

#[derive(Default)]
struct ModelEngine {
    queue: VecDeque<ModelRequest>,
    running: Vec<ModelRequest>,
    pass_end: Option<f64>,
    pace: f64,
}

/// What one process knows of one server.
#[derive(Default)]
struct ServerView {
    reported: (f64, f64),
    reported_at: f64,
    sent: f64,
    in_flight: f64,
    unread: f64,
    response_ms: f64,
    pace: PaceMean,
    reported_pace: PaceReport,
}

pub(crate) struct LoadModel {
    load: ModelLoad,
    rule: ChoiceRule,
    speed: EngineSpeed,
    random: Pcg64Mcg,
    engines: Vec<ModelEngine>,
    views: Vec<Vec<ServerView>>,
    history: VecDeque<Vec<(f64, f64)>>,
    waits: Vec<f64>,
}

/// Engines whose steps hardly grow with their streams: what makes requests wait is a full engine.
pub(crate) fn level_engines() -> EngineSpeed {
    EngineSpeed {
        step: Duration::from_micros(5_950),
        step_per_stream: Duration::from_micros(45),
        step_per_context: Duration::from_micros(8),
        read_rate: RatePerSecond(50_700.0),
        stride: 7,
        slots: 26,
        usual: UsualSize { prompt: TokenCount(720), answer: TokenCount(220) },
        ..steep_engines()
    }
}

/// Engines whose steps take more than twice as long with all streams.
pub(crate) fn steep_engines() -> EngineSpeed {
    EngineSpeed {
        step: Duration::from_micros(6_070),
        step_per_stream: Duration::from_micros(241),
        step_per_context: Duration::from_micros(5),
        read_rate: RatePerSecond(46_000.0),
        read_pairs: Duration::from_micros(700),
        stride: 5,
        slots: 34,
        usual: UsualSize { prompt: TokenCount(915), answer: TokenCount(108) },
        paces: BTreeMap::new(),
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn tick(ms: f64) -> Tick {
    START + Duration::from_secs_f64(ms / 1_000.0)
}

impl LoadModel {
    /// Times to the first event in milliseconds, sorted.
    pub(crate) fn play(load: ModelLoad, rule: ChoiceRule, seed: u64) -> Vec<f64> {
        let engine = || ModelEngine { pace: 1.0, ..ModelEngine::default() };
        let views = || (0..load.servers).map(|_| ServerView::default()).collect();
        let mut model = Self {
            load,
            rule,
            speed: (load.speed)(),
            random: Pcg64Mcg::seed_from_u64(seed),
            engines: (0..load.servers).map(|_| engine()).collect(),
            views: (0..load.processes).map(|_| views()).collect(),
            history: VecDeque::new(),
            waits: Vec::new(),
        };
        (0..SPAN_MS).for_each(|ms| model.step(ms));
        model.waits.sort_by(f64::total_cmp);
        model.waits
    }

    fn step(&mut self, ms: usize) {
        let now = ms as f64;
        if ms == SLOW_FROM_MS {
            let slow = (self.load.slow.0 * self.load.servers as f64).round() as usize;
            self.engines.iter_mut().take(slow).for_each(|engine| engine.pace = self.load.slow.1);
        }
        (0..self.engines.len()).for_each(|server| self.run_engine(server, now));
        self.report(ms);
        let wave = 1.0 + SWING * (now / WAVE_MS * std::f64::consts::TAU).sin();
        let mut due = self.load.requests_per_s / 1_000.0 * wave;
        while due > 0.0 {
            if self.random.random_bool(due.min(1.0)) {
                self.send(now);
            }
            due -= 1.0;
        }
    }

    fn run_engine(&mut self, server: usize, now: f64) {
        let engine = &mut self.engines[server];
        while engine.pass_end.is_none_or(|end| end <= now) {
            if let Some(end) = engine.pass_end.take() {
                let views = &mut self.views;
                let waits = &mut self.waits;
                let speed = &self.speed;
                let streams = engine.running.iter().filter(|request| request.unread <= 0.0).count();
                let usual = millis(speed.pass(streams as f64));
                engine.running.retain_mut(|request| {
                    if request.unread > 0.0 {
                        return true;
                    }
                    let view = &mut views[request.process][server];
                    match request.last_event.replace(end) {
                        Some(last) => view.pace.note((end - last) / usual, tick(end)),
                        None => {
                            let wait = end - request.sent_at;
                            view.unread -= request.prompt;
                            view.response_ms += (wait - view.response_ms) / 8.0;
                            if now >= COUNTED_FROM_MS as f64 {
                                waits.push(wait);
                            }
                        }
                    }
                    request.events -= 1.0;
                    let goes_on = request.events > 0.0;
                    if !goes_on {
                        view.in_flight -= 1.0;
                    }
                    goes_on
                });
            }
            let free = self.speed.slots as usize - engine.running.len();
            let admitted = free.min(engine.queue.len());
            engine.running.extend(engine.queue.drain(..admitted));
            if engine.running.is_empty() {
                return;
            }
            let mut read = 0.0;
            for request in &mut engine.running {
                read += std::mem::take(&mut request.unread);
            }
            let pass = self.speed.pass(engine.running.len() as f64);
            let took = millis(pass + self.speed.read_some(read)) * engine.pace;
            engine.pass_end = Some(now + took);
        }
    }

    fn report(&mut self, ms: usize) {
        let loads = |engine: &ModelEngine| (engine.running.len() as f64, engine.queue.len() as f64);
        self.history.push_back(self.engines.iter().map(loads).collect());
        if self.history.len() > REPORT_AGE_MS {
            self.history.pop_front();
        }
        for server in 0..self.engines.len() {
            let turn = ms + server * REPORT_INTERVAL_MS / self.engines.len();
            if turn.is_multiple_of(REPORT_INTERVAL_MS) {
                for view in &mut self.views {
                    let view = &mut view[server];
                    view.reported = self.history[0][server];
                    view.reported_at = ms as f64;
                    view.sent = 0.0;
                    view.reported_pace.note(self.engines[server].pace, tick(ms as f64));
                }
            }
        }
    }

    fn send(&mut self, now: f64) {
        let process = self.random.random_range(0..self.views.len());
        let prompt = self.long_tailed(self.load.mean_prompt, 0.9, 3.5 * self.load.mean_prompt);
        let events = self.long_tailed(self.load.mean_events, 1.2, 58.0).ceil();
        let server = self.choose(process, prompt, now);
        let view = &mut self.views[process][server];
        view.sent += 1.0;
        view.in_flight += 1.0;
        view.unread += prompt;
        let request = ModelRequest {
            process,
            sent_at: now,
            prompt,
            unread: prompt,
            events,
            last_event: None,
        };
        self.engines[server].queue.push_back(request);
    }

    /// A log-normal number.
    fn long_tailed(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let normal = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        (mean.ln() - spread * spread / 2.0 + spread * normal).exp().clamp(1.0, most)
    }

    fn choose(&mut self, process: usize, prompt: f64, now: f64) -> usize {
        let sample = self.random.random();
        let servers = self.engines.len();
        let prompt = TokenCount(prompt as u64);
        match self.rule {
            ChoiceRule::Random => (sample % servers as u64) as usize,
            ChoiceRule::Requests => self.choose_by_requests(process, sample, now),
            ChoiceRule::Work => {
                let views = &self.views[process];
                let paces: Vec<f64> =
                    views.iter().filter_map(|view| view.pace.recent(tick(now))).collect();
                let usual_pace = paces.iter().sum::<f64>() / paces.len().max(1) as f64;
                let usual_pace = if paces.is_empty() { 1.0 } else { usual_pace };
                let works: Vec<ServerWork> =
                    views.iter().map(|view| self.work(view, usual_pace, now)).collect();
                let paces: Vec<f64> = works.iter().map(|work| work.pace).collect();
                let wait = |index: usize| works[index].first_event(&self.speed, 1.0, prompt);
                pick_candidate(&paces, wait, sample).unwrap()
            }
            ChoiceRule::Clairvoyant => {
                let wait = |server: &usize| self.true_wait(*server, prompt, now);
                (0..servers).min_by(|a, b| wait(a).total_cmp(&wait(b))).unwrap()
            }
        }
    }

    fn choose_by_requests(&mut self, process: usize, sample: u64, now: f64) -> usize {
        let servers = self.engines.len() as u64;
        let first = sample % servers;
        let second = (first + 1 + (sample / servers) % (servers - 1)) % servers;
        let (first, second) = (first as usize, second as usize);
        let slots = f64::from(self.speed.slots);
        let cost = |server: usize| {
            let view = &self.views[process][server];
            let decay = 0.5_f64.powf((now - view.reported_at) / 2_000.0);
            let (running, waiting) = view.reported;
            let load = ((running + 2.0 * waiting) * decay + view.sent).max(view.in_flight);
            load + view.response_ms / 40.0
        };
        let difference = cost(second) - cost(first);
        let probability = 1.0 / (1.0 + (-difference / (0.2 * slots)).exp());
        if self.random.random::<f64>() < probability { first } else { second }
    }

    fn work(&self, view: &ServerView, usual_pace: f64, now: f64) -> ServerWork {
        let stay = self.load.mean_events * millis(self.speed.pass(10.0));
        let (running, waiting) = view.reported;
        let seen = view.pace.value(usual_pace, tick(now));
        let aged = (running + waiting) * (-(now - view.reported_at) / stay).exp();
        ServerWork {
            requests: (aged + view.sent).max(view.in_flight),
            unread: view.unread,
            pace: seen.max(view.reported_pace.value(tick(now))),
            ..ServerWork::default()
        }
    }

    fn true_wait(&self, server: usize, prompt: TokenCount, now: f64) -> f64 {
        let engine = &self.engines[server];
        let requests = (engine.running.len() + engine.queue.len()) as f64;
        let unread = engine.queue.iter().map(|request| request.unread).sum();
        let work = ServerWork { requests, unread, pace: engine.pace, ..ServerWork::default() };
        let wait = work.first_event(&self.speed, 1.0, prompt);
        millis(wait) + engine.pass_end.map_or(0.0, |end| end - now)
    }
}
