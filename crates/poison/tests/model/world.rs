//! The events of the model.

use {
    base::{HostId, Tick},
    poison::{
        CrashNotice, PoisonSettings, PoisonTracker, PoisonUpdate, PromptParts, RequestSuspects,
        SuspectId, SuspectVerdict, turn_giver,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::Duration,
    },
};

/// Time by which an answer has gone on past its beginning.
const SOUND_AFTER: Duration = Duration::from_millis(250);
/// Requests that a process sends within this time of a restart do not count as arrivals.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// Interval at which processes decide without a request.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which processes compare what they refuse, and with how many peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
const GOSSIP_PEERS: usize = 2;
/// Longest delay before suspects are announced to be sound.
const ANNOUNCE_DELAY_MS: u64 = 40;
/// Ids of bad parts begin here.
const BAD_PARTS: u64 = 1 << 40;
/// Ids of bad requests begin here.
const BAD_REQUESTS: u128 = 1 << 100;
/// Time to answer a request of a plain service, in milliseconds.
const PLAIN_ANSWER_MS: std::ops::Range<u64> = 30..90;
/// Ids of last parts begin here.
const OWN_PARTS: u64 = 1 << 50;

/// What a run is like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorldSettings {
    pub(crate) processes: usize,
    pub(crate) servers: usize,
    /// Different first parts of prompts.
    pub(crate) first_parts: u64,
    /// Sound requests per second.
    pub(crate) sound_rate: f64,
    /// Requests with each bad part per second.
    pub(crate) bad_rate: f64,
    /// When requests with each bad part begin.
    pub(crate) bad_parts: &'static [Duration],
    /// Whether a server that crashes for another reason takes eight others with it.
    pub(crate) domains_fail: bool,
    /// Other crashes per second.
    pub(crate) other_crashes: f64,
    /// Processes that are killed per second; they forget everything.
    pub(crate) kills: f64,
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    /// Whether the service is a plain one: requests without parts and short answers, of which each bad
    /// one is always the same.
    pub(crate) plain: bool,
    /// Processes at which each bad request arrives at the same moment.
    pub(crate) copies: usize,
    /// Whether crashes are reported and suspects refused.
    pub(crate) tracks: bool,
    pub(crate) span: Duration,
}

/// One part, from the fourth second on.
const ONE_PART: &[Duration] = &[Duration::from_secs(4)];

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            processes: 12,
            servers: 16,
            first_parts: 60,
            sound_rate: 100.0,
            bad_rate: 8.0,
            bad_parts: ONE_PART,
            domains_fail: false,
            other_crashes: 0.0,
            kills: 0.0,
            loss: 0.01,
            plain: false,
            copies: 1,
            tracks: true,
            span: Duration::from_secs(20),
        }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunReport {
    /// Crashes by each bad part, in order.
    pub(crate) crashes: BTreeMap<SuspectId, Vec<Tick>>,
    /// Arrivals of requests with each bad part at servers.
    pub(crate) arrivals: BTreeMap<SuspectId, Vec<Tick>>,
    /// Sound requests that were refused for one of their suspects, or held back.
    pub(crate) wrongly_refused: usize,
    pub(crate) held_back: usize,
    /// Time in which no server was up.
    pub(crate) without_server: Duration,
    /// Sound requests of the last seconds, and those that began at the first attempt.
    pub(crate) late_sound: usize,
    pub(crate) late_begun: usize,
}

impl RunReport {
    /// Arrivals later than 3 s after the crash of the number `allowed`, most of one bad part or request.
    pub(crate) fn late_arrivals(&self, allowed: usize) -> usize {
        let late = |part: &SuspectId, crashes: &Vec<Tick>| {
            let Some(last) = crashes.get(allowed - 1) else { return 0 };
            let limit = *last + Duration::from_secs(3);
            self.arrivals[part].iter().filter(|at| **at > limit).count()
        };
        self.crashes.iter().map(|(part, crashes)| late(part, crashes)).max().unwrap_or(0)
    }

    /// Most crashes by one bad part.
    pub(crate) fn most_crashes(&self) -> usize {
        self.crashes.values().map(Vec::len).max().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    SendSound,
    SendBad {
        part: SuspectId,
    },
    Begin {
        request: usize,
        server: usize,
    },
    Sound {
        request: usize,
        server: usize,
    },
    End {
        request: usize,
        server: usize,
    },
    OtherCrash,
    Kill,
    Deliver {
        message: usize,
        process: usize,
    },
    Announce {
        process: usize,
    },
    Evaluate {
        process: usize,
    },
    /// The process sends its digest to peers, which answer with what they refuse.
    Gossip {
        process: usize,
    },
}

struct ModelRequest {
    process: usize,
    suspects: RequestSuspects,
    bad_part: Option<SuspectId>,
    sends: u32,
    is_sound: bool,
    counts_late: bool,
}

/// One incarnation of a server. Gone ones are kept, so that late events can be announced.
struct ModelServer {
    is_up: bool,
    in_flight: BTreeSet<usize>,
}

pub(crate) struct ModelWorld {
    settings: WorldSettings,
    random: Pcg64Mcg,
    now: Tick,
    queue: BinaryHeap<Reverse<(Tick, u64, ModelEvent)>>,
    scheduled: u64,
    names: Vec<HostId>,
    trackers: Vec<PoisonTracker>,
    /// When each process was last restarted.
    started: Vec<Option<Tick>>,
    /// Whether each process is about to announce which suspects are sound.
    announcing: Vec<bool>,
    servers: Vec<ModelServer>,
    /// When crashed servers are back.
    back: BinaryHeap<Reverse<Tick>>,
    requests: Vec<ModelRequest>,
    messages: Vec<PoisonUpdate>,
    report: RunReport,
}

impl ModelWorld {
    pub(crate) fn run(seed: u64, settings: WorldSettings) -> RunReport {
        let mut world = Self {
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Tick(0),
            queue: BinaryHeap::new(),
            scheduled: 0,
            names: Vec::new(),
            trackers: Vec::new(),
            started: vec![None; settings.processes],
            announcing: vec![false; settings.processes],
            servers: Vec::new(),
            back: BinaryHeap::new(),
            requests: Vec::new(),
            messages: Vec::new(),
            report: RunReport::default(),
        };
        world.prepare();
        world.play();
        world.report
    }

    fn prepare(&mut self) {
        for process in 0..self.settings.processes {
            let tracker = self.new_tracker();
            self.trackers.push(tracker);
            self.names.push(HostId::new(format!("n-{process}")).unwrap());
            let after = self.random_ms(1..300);
            self.schedule(after, ModelEvent::Evaluate { process });
            self.schedule(after, ModelEvent::Gossip { process });
        }
        for _ in 0..self.settings.servers {
            self.start_server();
        }
        self.schedule(Duration::ZERO, ModelEvent::SendSound);
        for (number, began) in self.settings.bad_parts.iter().enumerate() {
            let part = match self.settings.plain {
                true => SuspectId::request(BAD_REQUESTS + number as u128),
                false => SuspectId::part(BAD_PARTS + number as u64),
            };
            self.report.arrivals.insert(part, Vec::new());
            self.report.crashes.insert(part, Vec::new());
            self.schedule(*began, ModelEvent::SendBad { part });
        }
        self.schedule_next(self.settings.other_crashes, ModelEvent::OtherCrash);
        self.schedule_next(self.settings.kills, ModelEvent::Kill);
    }

    fn play(&mut self) {
        let end = Tick(0) + self.settings.span;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                return;
            }
            if self.servers.iter().all(|server| !server.is_up) {
                self.report.without_server += at.since(self.now);
            }
            self.now = at;
            while self.back.peek().is_some_and(|Reverse(due)| *due <= at) {
                self.back.pop();
                self.start_server();
            }
            self.handle(event);
        }
    }

    fn new_tracker(&mut self) -> PoisonTracker {
        PoisonTracker::new(PoisonSettings::default(), self.random.random())
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::SendSound => {
                self.send_sound();
                self.schedule_next(self.settings.sound_rate, event);
            }
            ModelEvent::SendBad { part } => {
                for _ in 0..self.settings.copies {
                    let shared = [self.first_part(), part];
                    self.send(&shared, Some(part));
                }
                self.schedule_next(self.settings.bad_rate, event);
            }
            ModelEvent::Begin { request, server } => self.begin(request, server),
            ModelEvent::Sound { request, server } => {
                if self.servers[server].in_flight.contains(&request) {
                    self.requests[request].is_sound = true;
                    let process = self.requests[request].process;
                    let suspects = self.requests[request].suspects.clone();
                    self.trackers[process].note_sound(&suspects, self.now);
                    self.publish(process);
                }
            }
            ModelEvent::End { request, server } => {
                self.servers[server].in_flight.remove(&request);
            }
            ModelEvent::OtherCrash => {
                let count = if self.settings.domains_fail { 9 } else { 1 };
                for _ in 0..count {
                    if let Some(server) = self.pick_server() {
                        self.crash(server);
                    }
                }
                self.schedule_next(self.settings.other_crashes, event);
            }
            ModelEvent::Kill => {
                let process = self.random.random_range(0..self.settings.processes);
                self.trackers[process] = self.new_tracker();
                self.started[process] = Some(self.now);
                self.schedule_next(self.settings.kills, event);
            }
            ModelEvent::Deliver { message, process } => {
                let update = self.messages[message].clone();
                let is_new = self.trackers[process].receive(&update, self.now);
                if is_new && !update.crashes.is_empty() {
                    self.announce_later(process);
                }
                self.publish(process);
            }
            ModelEvent::Announce { process } => {
                self.announcing[process] = false;
                self.trackers[process].announce_sound(self.now);
                self.publish(process);
            }
            ModelEvent::Gossip { process } => {
                for _ in 0..GOSSIP_PEERS {
                    let peer = self.random.random_range(0..self.settings.processes);
                    let refused = self.trackers[peer].refusals(self.now);
                    if self.trackers[peer].digest(self.now)
                        != self.trackers[process].digest(self.now)
                    {
                        let update = PoisonUpdate { refused, ..Default::default() };
                        self.send_update(update, &[process]);
                    }
                    let evidence = self.trackers[process].evidence_to_repeat(self.now);
                    if self.settings.tracks && !evidence.is_empty() {
                        self.send_update(evidence, &[peer]);
                    }
                }
                self.schedule(GOSSIP_INTERVAL, event);
            }
            ModelEvent::Evaluate { process } => {
                self.evaluate(process);
                self.schedule(EVALUATE_INTERVAL, event);
            }
        }
    }

    fn send_sound(&mut self) {
        let first = self.first_part();
        // A third of the prompts continue a session, a few of which are busy.
        let session = self.random.random_bool(0.3).then(|| {
            let session = self.random.random_range(0..40_u64) * self.random.random_range(0..40_u64);
            SuspectId::part(1_000 + session)
        });
        let shared: Vec<SuspectId> = [first].into_iter().chain(session).collect();
        self.send(&shared, None);
    }

    /// Few of the first parts are frequent.
    fn first_part(&mut self) -> SuspectId {
        let sample: f64 = self.random.random();
        SuspectId::part(1 + (sample * sample * self.settings.first_parts as f64) as u64)
    }

    fn send(&mut self, shared: &[SuspectId], bad_part: Option<SuspectId>) {
        let process = self.random.random_range(0..self.settings.processes);
        let own = SuspectId::part(OWN_PARTS + self.requests.len() as u64);
        let identity = SuspectId::request(self.requests.len() as u128);
        let suspects = if self.settings.plain {
            RequestSuspects::new(&PromptParts::default(), bad_part.unwrap_or(identity))
        } else {
            let parts = PromptParts::new(shared.iter().copied().chain([own]));
            RequestSuspects::new(&parts, identity)
        };
        self.evaluate(process);
        let counts_late = bad_part.is_none()
            && self.now > Tick(0) + self.settings.span.mul_f64(0.75)
            && self.now < Tick(0) + self.settings.span.saturating_sub(Duration::from_secs(1));
        self.report.late_sound += usize::from(counts_late);
        let verdict = self.trackers[process].admit(&suspects, self.now);
        if self.settings.tracks && matches!(verdict, SuspectVerdict::Refused(_)) {
            self.report.wrongly_refused += usize::from(bad_part.is_none());
            return;
        }
        let request =
            ModelRequest { process, suspects, bad_part, sends: 0, is_sound: false, counts_late };
        self.requests.push(request);
        self.dispatch(self.requests.len() - 1);
    }

    /// Whether a request that crashed servers may not be tried again now.
    fn is_held_back(&mut self, request: usize) -> bool {
        let ModelRequest { process, ref suspects, .. } = self.requests[request];
        let suspect = suspects.request();
        let healthy = self.servers.iter().filter(|server| server.is_up).count();
        let listed = healthy + self.back.len();
        let Some(trial) = self.trackers[process].trial(suspect) else { return false };
        !trial.may_be_sent(healthy, listed, self.now) || !self.take_turn(suspect, process)
    }

    /// Asks the process that gives the turns at a request. The way there and back takes no time here.
    fn take_turn(&mut self, request: SuspectId, process: usize) -> bool {
        let giver = turn_giver(request, &self.names).unwrap();
        let giver = self.names.iter().position(|name| name == giver).unwrap();
        let loss = if giver == process { 0.0 } else { 2.0 * self.settings.loss };
        let holder = self.names[process].clone();
        !self.random.random_bool(loss) && self.trackers[giver].give_turn(request, &holder, self.now)
    }

    fn dispatch(&mut self, request: usize) {
        if self.settings.tracks && self.is_held_back(request) {
            let is_sound = self.requests[request].bad_part.is_none();
            self.report.held_back += usize::from(is_sound);
            return;
        }
        let Some(server) = self.pick_server() else { return };
        self.requests[request].sends += 1;
        let started = self.started[self.requests[request].process];
        if let Some(part) = self.requests[request].bad_part
            && started.is_none_or(|started| self.now.since(started) > IN_TOUCH_AFTER)
            && let Some(arrivals) = self.report.arrivals.get_mut(&part)
        {
            arrivals.push(self.now);
        }
        self.servers[server].in_flight.insert(request);
        let load = self.servers[server].in_flight.len() as u64;
        let wait = match self.settings.plain {
            true => self.random_ms(PLAIN_ANSWER_MS),
            false => self.random_ms(30..90 + 8 * load),
        };
        self.schedule(wait, ModelEvent::Begin { request, server });
    }

    fn begin(&mut self, request: usize, server: usize) {
        if !self.servers[server].is_up || !self.servers[server].in_flight.contains(&request) {
            return;
        }
        let ModelRequest { bad_part, sends, counts_late, .. } = self.requests[request];
        if let Some(part) = bad_part {
            if let Some(crashes) = self.report.crashes.get_mut(&part) {
                crashes.push(self.now);
            }
            self.crash(server);
            return;
        }
        self.report.late_begun += usize::from(counts_late && sends == 1);
        if self.settings.plain {
            // It is answered as it begins.
            self.schedule(Duration::ZERO, ModelEvent::Sound { request, server });
            self.schedule(Duration::from_millis(1), ModelEvent::End { request, server });
            return;
        }
        self.schedule(SOUND_AFTER, ModelEvent::Sound { request, server });
        let length = self.random_ms(260..2_500);
        self.schedule(length, ModelEvent::End { request, server });
    }

    fn crash(&mut self, server: usize) {
        self.servers[server].is_up = false;
        let back = self.random_ms(1_200..4_000);
        self.back.push(Reverse(self.now + back));
        let id = HostId::new(format!("i-{server}")).unwrap();
        let broken = std::mem::take(&mut self.servers[server].in_flight);
        for request in &broken {
            let ModelRequest { process, is_sound, ref suspects, .. } = self.requests[*request];
            if is_sound || !self.settings.tracks {
                continue;
            }
            let notice = CrashNotice {
                server: id.clone(),
                prompt: suspects.prompt(),
                suspects: suspects.all().to_vec(),
                age: Duration::ZERO,
            };
            self.trackers[process].note_crash(notice, self.now);
            self.publish(process);
            self.announce_later(process);
        }
        for request in broken {
            let ModelRequest { process, sends, is_sound, ref suspects, .. } =
                self.requests[request];
            let tracker = &self.trackers[process];
            let may_be_cause = tracker.refused(suspects, self.now).is_some()
                || (!is_sound && tracker.has_likely_part(suspects));
            if sends < 2 && !(self.settings.tracks && may_be_cause) {
                self.dispatch(request);
            }
        }
    }

    fn evaluate(&mut self, process: usize) {
        self.trackers[process].evaluate(self.now);
        self.publish(process);
    }

    /// Sends a process's update to all others.
    fn publish(&mut self, process: usize) {
        let update = self.trackers[process].take_update();
        if self.settings.tracks && !update.is_empty() {
            let others: Vec<usize> =
                (0..self.settings.processes).filter(|other| *other != process).collect();
            self.send_update(update, &others);
        }
    }

    fn send_update(&mut self, update: PoisonUpdate, to: &[usize]) {
        self.messages.push(update);
        let message = self.messages.len() - 1;
        for process in to {
            if !self.random.random_bool(self.settings.loss) {
                let delay = self.random_ms(1..6);
                self.schedule(delay, ModelEvent::Deliver { message, process: *process });
            }
        }
    }

    fn announce_later(&mut self, process: usize) {
        if !self.announcing[process] {
            self.announcing[process] = true;
            let delay = self.random_ms(0..ANNOUNCE_DELAY_MS);
            self.schedule(delay, ModelEvent::Announce { process });
        }
    }

    fn pick_server(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.servers.len()).filter(|at| self.servers[*at].is_up).collect();
        (!up.is_empty()).then(|| up[self.random.random_range(0..up.len())])
    }

    fn start_server(&mut self) {
        self.servers.push(ModelServer { is_up: true, in_flight: BTreeSet::new() });
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled, event)));
    }

    /// Schedules the next of events that come at random, `rate` times a second on average.
    fn schedule_next(&mut self, rate: f64, event: ModelEvent) {
        if rate > 0.0 {
            let sample: f64 = self.random.random_range(1e-9..1.0);
            self.schedule(Duration::from_secs_f64(-sample.ln() / rate), event);
        }
    }

    fn random_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }
}
