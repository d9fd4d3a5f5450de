//! What happened at engines and services, for checkers.

use {
    base::{AttemptId, Epoch, GroupId, HostId, IdempotencyKey},
    engine::{EngineOrder, OrderAnswer},
    parking_lot::Mutex,
    smol_str::SmolStr,
    std::collections::VecDeque,
};

base::value_type!(
    /// How a run ended.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum RunEnd {
        /// Every token was made.
        Whole,
        /// It was cancelled, or its connection dropped.
        Cancelled,
        /// The group broke or was released in the middle.
        Cut,
    }
);

base::value_type!(
    /// One run of a completion at the first member of a group.
    pub struct EngineRun {
        /// The host.
        pub host: HostId,
        /// The attempt.
        pub attempt: AttemptId,
        /// The group.
        pub group: GroupId,
        /// The group's epoch.
        pub epoch: Epoch,
        /// The caller's key, when it came along.
        pub idempotency_key: Option<IdempotencyKey>,
        /// The prompt's digest, in hexadecimal digits.
        pub prompt: SmolStr,
        /// Tokens that the caller already had.
        pub offset: u64,
        /// Priority, 0 to 9.
        pub priority: u8,
        /// When it got its slot, in milliseconds since the start of the process.
        pub started_ms: u64,
        /// When it ended; none while it runs.
        pub ended_ms: Option<u64>,
        /// How it ended.
        pub end: Option<RunEnd>,
        /// Tokens made.
        pub tokens: u64,
        /// Whether every member was present when it started.
        pub complete_at_start: bool,
        /// For how long a member had been missing when it started, in milliseconds.
        pub missing_ms: u64,
    }
);

base::value_type!(
    /// One order to an engine.
    pub struct OrderEntry {
        /// The host.
        pub host: HostId,
        /// When it came, in milliseconds since the start of the process.
        pub at_ms: u64,
        /// The order.
        pub order: EngineOrder,
        /// The answer.
        pub answer: OrderAnswer,
        /// Whether the answer was kept from the caller.
        pub answer_lost: bool,
    }
);

base::value_type!(
    /// A time during which a host was a member of a group.
    pub struct GroupInterval {
        /// The host.
        pub host: HostId,
        /// The group.
        pub group: GroupId,
        /// The epoch.
        pub epoch: Epoch,
        /// Begin, in milliseconds since the start of the process.
        pub from_ms: u64,
        /// End; none while it lasts.
        pub until_ms: Option<u64>,
        /// Whether a load for another group ended it, without a release in between.
        pub replaced: bool,
    }
);

base::value_type!(
    /// One run of a call at a plain service.
    pub struct ServiceRun {
        /// The host.
        pub host: HostId,
        /// The attempt.
        pub attempt: Option<AttemptId>,
        /// The caller's key.
        pub idempotency_key: Option<IdempotencyKey>,
        /// The caller's workspace.
        pub workspace: Option<SmolStr>,
        /// Method and path.
        pub call: String,
        /// When it started, in milliseconds since the start of the process.
        pub started_ms: u64,
        /// When it ended; none while it runs.
        pub ended_ms: Option<u64>,
    }
);

base::value_type!(
    /// A refusal that an engine or service gave without running anything.
    pub struct RefusalEntry {
        /// The host.
        pub host: HostId,
        /// The attempt.
        pub attempt: Option<AttemptId>,
        /// When, in milliseconds since the start of the process.
        pub at_ms: u64,
        /// Why.
        pub reason: SmolStr,
    }
);

base::value_type!(
    /// Everything that happened, oldest first.
    #[derive(Default)]
    pub struct HistoryView {
        /// The present time, in milliseconds since the start of the process.
        pub now_ms: u64,
        /// Entries dropped because there were too many.
        pub dropped: u64,
        /// Runs of completions.
        pub runs: Vec<EngineRun>,
        /// Orders.
        pub orders: Vec<OrderEntry>,
        /// Memberships of hosts in groups.
        pub intervals: Vec<GroupInterval>,
        /// Runs of plain services.
        pub service_runs: Vec<ServiceRun>,
        /// Refusals.
        pub refusals: Vec<RefusalEntry>,
    }
);

/// The number of an entry, by which it is completed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryNumber(u64);

/// A bounded list whose entries can be completed later.
#[derive(Debug)]
struct EntryList<T> {
    first: u64,
    entries: VecDeque<T>,
    limit: usize,
}

impl<T: Clone> EntryList<T> {
    fn new(limit: usize) -> Self {
        Self { first: 0, entries: VecDeque::new(), limit }
    }

    fn add(&mut self, entry: T) -> EntryNumber {
        if self.entries.len() >= self.limit {
            self.entries.pop_front();
            self.first += 1;
        }
        self.entries.push_back(entry);
        EntryNumber(self.first + self.entries.len() as u64 - 1)
    }

    fn change(&mut self, number: EntryNumber, change: impl FnOnce(&mut T)) {
        let Some(at) = number.0.checked_sub(self.first) else { return };
        if let Some(entry) = self.entries.get_mut(at as usize) {
            change(entry);
        }
    }

    fn view(&self) -> Vec<T> {
        self.entries.iter().cloned().collect()
    }
}

/// The histories of all engines and services of the process.
#[derive(Debug)]
pub struct HistoryBook {
    runs: Mutex<EntryList<EngineRun>>,
    orders: Mutex<EntryList<OrderEntry>>,
    intervals: Mutex<EntryList<GroupInterval>>,
    service_runs: Mutex<EntryList<ServiceRun>>,
    refusals: Mutex<EntryList<RefusalEntry>>,
}

impl HistoryBook {
    /// A book that keeps at most `limit` entries of each kind.
    pub fn new(limit: usize) -> Self {
        Self {
            runs: Mutex::new(EntryList::new(limit)),
            orders: Mutex::new(EntryList::new(limit)),
            intervals: Mutex::new(EntryList::new(limit)),
            service_runs: Mutex::new(EntryList::new(limit)),
            refusals: Mutex::new(EntryList::new(limit)),
        }
    }

    /// Adds a run that starts.
    pub fn add_run(&self, run: EngineRun) -> EntryNumber {
        self.runs.lock().add(run)
    }

    /// Changes a run.
    pub fn change_run(&self, number: EntryNumber, change: impl FnOnce(&mut EngineRun)) {
        self.runs.lock().change(number, change);
    }

    /// Adds an order with its answer.
    pub fn add_order(&self, entry: OrderEntry) {
        self.orders.lock().add(entry);
    }

    /// Adds a membership that begins.
    pub fn add_interval(&self, interval: GroupInterval) -> EntryNumber {
        self.intervals.lock().add(interval)
    }

    /// Ends a membership.
    pub fn end_interval(&self, number: EntryNumber, now_ms: u64) {
        self.intervals.lock().change(number, |interval| interval.until_ms = Some(now_ms));
    }

    /// Notes that a load for another group ends a membership.
    pub fn replace_interval(&self, number: EntryNumber) {
        self.intervals.lock().change(number, |interval| interval.replaced = true);
    }

    /// Adds a service's run that starts.
    pub fn add_service_run(&self, run: ServiceRun) -> EntryNumber {
        self.service_runs.lock().add(run)
    }

    /// Ends a service's run.
    pub fn end_service_run(&self, number: EntryNumber, now_ms: u64) {
        self.service_runs.lock().change(number, |run| run.ended_ms = Some(now_ms));
    }

    /// Adds a refusal.
    pub fn add_refusal(&self, entry: RefusalEntry) {
        self.refusals.lock().add(entry);
    }

    /// Everything kept.
    pub fn view(&self, now_ms: u64) -> HistoryView {
        let (runs, orders) = (self.runs.lock(), self.orders.lock());
        let (intervals, service_runs) = (self.intervals.lock(), self.service_runs.lock());
        let refusals = self.refusals.lock();
        let dropped =
            runs.first + orders.first + intervals.first + service_runs.first + refusals.first;
        HistoryView {
            now_ms,
            dropped,
            runs: runs.view(),
            orders: orders.view(),
            intervals: intervals.view(),
            service_runs: service_runs.view(),
            refusals: refusals.view(),
        }
    }
}
