//! Stand-in model engines.
//!
//! An engine is a member of at most one group. The first member of a group runs its completions,
//! and makes tokens only while every member is there; see [`site`].

pub mod api;
pub mod cache;
pub mod generate;
pub mod order;
pub mod request;
pub mod shape;
pub mod site;
pub mod slots;

use {
    crate::{
        engine::{
            cache::PrefixCache,
            site::{EngineSite, GroupPresence, WeightStore},
            slots::SlotQueue,
        },
        fault::{FrameFaults, ReturnState},
        history::{EntryNumber, HistoryBook, RunEnd},
        settings::EngineSettings,
        time::HistoryClock,
    },
    base::{AttemptId, HostId, OrderSequence, Term, Weight},
    engine::{CacheEventPage, EnginePhase, EngineState, LoadOrder, LoadReport, OrderAnswer},
    parking_lot::Mutex,
    rand_pcg::Pcg64Mcg,
    smol_str::SmolStr,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::watch,
};

const USUAL_PACE_PERCENT: u32 = 100;
const FULL_PERMILLE: u32 = 1_000;

/// What all engines of the process share.
#[derive(Clone)]
pub struct EngineShared {
    /// How engines behave.
    pub settings: EngineSettings,
    /// The engines and their bonds.
    pub site: Arc<EngineSite>,
    /// The store of weights.
    pub weights: Arc<WeightStore>,
    /// The histories.
    pub history: Arc<HistoryBook>,
    /// The clock of the histories.
    pub clock: HistoryClock,
}

/// How an engine's faults stand.
#[derive(Clone, Copy, Debug, Default)]
struct OrderFaults {
    lose_answers: u32,
    late: u32,
    late_ms: u64,
}

/// A run that can be stopped from outside.
struct ActiveRun {
    attempt: AttemptId,
    stop: watch::Sender<Option<RunEnd>>,
}

struct EngineCore {
    boot: u64,
    alive: bool,
    frozen: bool,
    /// When the engine last died or froze, in milliseconds since the start of the process.
    absent_ms: u64,
    /// When the engine last left a group, in milliseconds since the start of the process.
    left_ms: u64,
    pace_percent: u32,
    leaving: bool,
    newest: (Term, OrderSequence),
    newest_answer: Option<OrderAnswer>,
    phase: EnginePhase,
    order: Option<LoadOrder>,
    /// Counts loads, so that a load that was overtaken does not end another one.
    loads: u64,
    interval: Option<EntryNumber>,
    runs: HashMap<u64, ActiveRun>,
    next_run: u64,
    last_attempt: Option<AttemptId>,
    cache: PrefixCache,
    frame_faults: FrameFaults,
    order_faults: OrderFaults,
    random: Pcg64Mcg,
}

/// One stand-in engine.
pub struct StandinEngine {
    host: HostId,
    shared: EngineShared,
    slots: Arc<SlotQueue>,
    core: Mutex<EngineCore>,
}

impl StandinEngine {
    /// An idle engine; `seed` decides its random choices.
    pub fn new(host: HostId, shared: EngineShared, seed: u64, boot: u64) -> Self {
        let settings = &shared.settings;
        let slots = Arc::new(SlotQueue::new(
            settings.queue_limit,
            Duration::from_millis(settings.load_report_lag_ms),
        ));
        let cache = PrefixCache::new(
            settings.cache_blocks,
            Duration::from_millis(settings.cache_event_lag_ms),
            Weight(f64::from(settings.cache_event_loss_percent) / 100.0),
            seed,
        );
        let core = EngineCore {
            boot,
            alive: true,
            frozen: false,
            absent_ms: 0,
            left_ms: 0,
            pace_percent: USUAL_PACE_PERCENT,
            leaving: false,
            newest: (Term(0), OrderSequence(0)),
            newest_answer: None,
            phase: EnginePhase::Idle,
            order: None,
            loads: 0,
            interval: None,
            runs: HashMap::new(),
            next_run: 0,
            last_attempt: None,
            cache,
            frame_faults: FrameFaults::default(),
            order_faults: OrderFaults::default(),
            random: Pcg64Mcg::new(u128::from(seed)),
        };
        Self { host, shared, slots, core: Mutex::new(core) }
    }

    /// Its host.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Tokens of an answer whose request names no number.
    pub fn default_tokens(&self) -> u64 {
        self.shared.settings.default_tokens
    }

    /// What it says of itself.
    pub fn state(&self) -> EngineState {
        let load = self.slots.load();
        let core = self.core.lock();
        let term = if self.shared.settings.check_fencing { core.newest.0 } else { Term(0) };
        EngineState {
            host: self.host.clone(),
            boot: core.boot,
            term,
            phase: core.phase.clone(),
            order: core.order.clone(),
            in_flight: load.running + load.queued,
            leaving: core.leaving,
        }
    }

    /// Its load report, which lags.
    pub fn load_report(&self) -> LoadReport {
        let load = self.slots.reported();
        let free = FULL_PERMILLE * load.slots.saturating_sub(load.running) / load.slots.max(1);
        LoadReport {
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            kv_free_permille: free,
        }
    }

    /// Its cache events above `after`.
    pub fn cache_events(&self, after: u64) -> CacheEventPage {
        self.core.lock().cache.events_after(after)
    }

    /// Cancels the runs of an attempt; says whether there was one.
    pub fn cancel(&self, attempt: &AttemptId) -> bool {
        let core = self.core.lock();
        let mut found = false;
        for run in core.runs.values().filter(|run| run.attempt == *attempt) {
            run.stop.send_replace(Some(RunEnd::Cancelled));
            found = true;
        }
        found
    }

    /// Dies: what it runs is lost.
    pub fn kill(&self) {
        let mut core = self.core.lock();
        core.alive = false;
        core.absent_ms = self.shared.clock.now_ms();
        self.end_work(&mut core, RunEnd::Cut);
        if let Some(interval) = core.interval.take() {
            self.shared.history.end_interval(interval, core.absent_ms);
        }
    }

    /// Returns in a new life of the process; a load that was interrupted starts again.
    pub fn revive(self: &Arc<Self>, state: ReturnState) {
        let mut core = self.core.lock();
        if core.alive {
            return;
        }
        core.alive = true;
        core.frozen = false;
        core.boot += 1;
        core.cache.clear();
        match state {
            ReturnState::Old => {
                self.begin_interval(&mut core);
                self.resume_load(&mut core);
            }
            ReturnState::Empty => {
                core.newest = (Term(0), OrderSequence(0));
                core.newest_answer = None;
                core.phase = EnginePhase::Idle;
                core.order = None;
                core.loads += 1;
            }
        }
    }

    /// Pauses or goes on.
    pub fn set_frozen(&self, frozen: bool) {
        let mut core = self.core.lock();
        if frozen && !core.frozen {
            core.absent_ms = self.shared.clock.now_ms();
        }
        core.frozen = frozen;
    }

    /// Sets its time for a step, in percent of the usual time.
    pub fn set_pace(&self, pace_percent: u32) {
        self.core.lock().pace_percent = pace_percent.max(1);
    }

    /// Sets whether it says that it is about to leave.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.lock().leaving = leaving;
    }

    /// Sets the faults of its streams.
    pub fn set_frame_faults(&self, faults: FrameFaults) {
        self.core.lock().frame_faults = faults;
    }

    /// Sets how many of the next orders are never answered.
    pub fn lose_order_answers(&self, count: u32) {
        self.core.lock().order_faults.lose_answers = count;
    }

    /// Sets how many of the next orders take effect late, and how late.
    pub fn delay_orders(&self, count: u32, late_ms: u64) {
        let mut core = self.core.lock();
        core.order_faults.late = count;
        core.order_faults.late_ms = late_ms;
    }

    /// Its time for a step, in percent of the usual time.
    pub fn pace_percent(&self) -> u32 {
        self.core.lock().pace_percent
    }

    /// Its boot, when it is ready for exactly this order.
    pub fn ready_boot(&self, order: &LoadOrder) -> Option<u64> {
        let core = self.core.lock();
        let ready = core.alive && core.phase == EnginePhase::Ready;
        (ready && core.order.as_ref() == Some(order)).then_some(core.boot)
    }

    /// Whether it is there as the member it was when the bond was formed.
    pub fn presence(&self, order: &LoadOrder, boot: u64) -> GroupPresence {
        let core = self.core.lock();
        if core.boot != boot {
            return GroupPresence::Broken { since_ms: core.absent_ms };
        }
        if !core.belongs_to(order) {
            return GroupPresence::Broken { since_ms: core.left_ms };
        }
        if !core.alive || core.frozen {
            return GroupPresence::Missing { since_ms: core.absent_ms };
        }
        GroupPresence::Whole
    }

    fn is_frozen(&self) -> bool {
        self.core.lock().frozen
    }

    /// Stops every run and refuses everything that waits.
    fn end_work(&self, core: &mut EngineCore, end: RunEnd) {
        for run in core.runs.values() {
            run.stop.send_replace(Some(end));
        }
        self.slots.empty();
    }

    fn begin_interval(&self, core: &mut EngineCore) {
        let Some(order) = &core.order else { return };
        let interval = crate::history::GroupInterval {
            host: self.host.clone(),
            group: order.group.clone(),
            epoch: order.epoch,
            from_ms: self.shared.clock.now_ms(),
            until_ms: None,
            replaced: false,
        };
        core.interval = Some(self.shared.history.add_interval(interval));
    }

    fn refuse(&self, attempt: Option<AttemptId>, reason: &str) {
        self.shared.history.add_refusal(crate::history::RefusalEntry {
            host: self.host.clone(),
            attempt,
            at_ms: self.shared.clock.now_ms(),
            reason: SmolStr::new(reason),
        });
    }
}

impl EngineCore {
    /// Whether the engine loaded this order's group and epoch and has not left.
    fn belongs_to(&self, order: &LoadOrder) -> bool {
        let loaded = matches!(self.phase, EnginePhase::Ready | EnginePhase::Draining);
        let same = self
            .order
            .as_ref()
            .is_some_and(|own| own.group == order.group && own.epoch == order.epoch);
        loaded && same
    }
}
