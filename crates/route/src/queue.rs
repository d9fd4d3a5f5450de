//! Bounded queue for requests that wait for capacity, fair between workspaces.
//!
//! Workspaces are served in proportion to their weights (start-time fair queueing). Within a
//! workspace, a higher priority is served first. Each priority level counts as a fixed waiting
//! time, so that low priorities are not starved. When the queue is full, an entry is displaced from
//! the workspace with the most entries relative to its weight.

use {
    base::{Tick, Weight, WorkspaceId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Settings of a [`FairQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of entries over all workspaces.
    pub capacity: usize,
    /// Waiting time that one priority level counts as.
    pub priority_step: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { capacity: 1_024, priority_step: Duration::from_millis(500) }
    }
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry<T> {
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Time from which on [`FairQueue::expire`] removes the entry.
    pub deadline: Tick,
    /// The caller's data for this entry.
    pub item: T,
}

/// Identifies an entry of a queue, for its removal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    workspace: WorkspaceId,
    key: EntryKey,
}

/// The result of [`FairQueue::push`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The entry was queued.
    Waits(QueuePlace),
    /// The entry was queued and displaced another one. The displaced request must be refused with
    /// the outcome [`NotRun`](crate::FinalOutcome::NotRun).
    Displaced(QueuePlace, QueueEntry<T>),
    /// The queue is full and the new entry is the one to displace. Its request must be refused with
    /// the outcome [`NotRun`](crate::FinalOutcome::NotRun).
    Refused(QueueEntry<T>),
}

/// Order of the entries of one workspace, lowest first: arrival time minus the priority's waiting
/// time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    rank_nanos: i128,
    sequence: u64,
}

/// The entries of one workspace and its state in start-time fair queueing.
#[derive(Debug)]
struct WorkspaceQueue<T> {
    weight: f64,
    virtual_start: f64,
    entries: BTreeMap<EntryKey, QueueEntry<T>>,
}

/// Bounded fair queue with priorities and deadlines; see the module documentation.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    workspace_queues: BTreeMap<WorkspaceId, WorkspaceQueue<T>>,
    deadlines: BTreeSet<(Tick, QueuePlace)>,
    virtual_time: f64,
    sequence: u64,
    len: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            workspace_queues: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            virtual_time: 0.0,
            sequence: 0,
            len: 0,
        }
    }

    /// Number of entries, including those whose deadline has passed.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an entry; `weight` is the current weight of its workspace, above 0.
    pub fn push(&mut self, entry: QueueEntry<T>, weight: Weight, now: Tick) -> PushOutcome<T> {
        let key = self.next_key(entry.priority, now);
        let place = QueuePlace { workspace: entry.workspace.clone(), key };
        self.insert(place.clone(), entry, weight, now);
        if self.len <= self.settings.capacity {
            return PushOutcome::Waits(place);
        }
        let victim = self.last_of_longest_queue();
        let displaced = self.remove(&victim).expect("the victim is in the queue");
        match victim == place {
            true => PushOutcome::Refused(displaced),
            false => PushOutcome::Displaced(place, displaced),
        }
    }

    /// Removes and returns the next entry.
    ///
    /// Call [`FairQueue::expire`] first: expired entries are not skipped here and would be charged
    /// to their workspace.
    pub fn pop(&mut self) -> Option<QueueEntry<T>> {
        let place = self.next_place()?;
        let queue = self.workspace_queues.get_mut(&place.workspace)?;
        let start = queue.virtual_start;
        queue.virtual_start = start + 1.0 / queue.weight;
        self.virtual_time = self.virtual_time.max(start);
        self.remove(&place)
    }

    /// Removes all entries whose deadline has passed. Their requests must be refused with the
    /// outcome [`NotRun`](crate::FinalOutcome::NotRun).
    pub fn expire(&mut self, now: Tick) -> Vec<QueueEntry<T>> {
        let mut expired = Vec::new();
        while let Some((deadline, place)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(&place));
        }
        expired
    }

    /// Removes the entry of a caller that disconnected, or returns `None` if it is no longer
    /// queued.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<QueueEntry<T>> {
        let queue = self.workspace_queues.get_mut(&place.workspace)?;
        let entry = queue.entries.remove(&place.key)?;
        self.deadlines.remove(&(entry.deadline, place.clone()));
        self.len -= 1;
        if queue.entries.is_empty() && queue.virtual_start <= self.virtual_time {
            self.workspace_queues.remove(&place.workspace);
        }
        Some(entry)
    }

    fn next_key(&mut self, priority: u8, now: Tick) -> EntryKey {
        self.sequence += 1;
        let priority_credit = self.settings.priority_step.as_nanos() as i128 * i128::from(priority);
        EntryKey { rank_nanos: i128::from(now.0) - priority_credit, sequence: self.sequence }
    }

    fn insert(&mut self, place: QueuePlace, entry: QueueEntry<T>, weight: Weight, now: Tick) {
        let virtual_time = self.virtual_time;
        let queue = self.workspace_queues.entry(place.workspace.clone()).or_insert_with(|| {
            WorkspaceQueue {
                weight: weight.0,
                virtual_start: virtual_time,
                entries: BTreeMap::new(),
            }
        });
        queue.weight = weight.0;
        // A workspace gets no credit for the time in which it had no live entries, which are those
        // whose deadline has not passed.
        if queue.entries.values().all(|entry| entry.deadline <= now) {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        self.deadlines.insert((entry.deadline, place.clone()));
        queue.entries.insert(place.key, entry);
        self.len += 1;
    }

    fn next_place(&self) -> Option<QueuePlace> {
        let first_entries = self.workspace_queues.iter().filter_map(|(workspace, queue)| {
            let (key, _) = queue.entries.first_key_value()?;
            Some((queue.virtual_start, workspace, key))
        });
        let (_, workspace, key) = first_entries.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(QueuePlace { workspace: workspace.clone(), key: *key })
    }

    fn last_of_longest_queue(&self) -> QueuePlace {
        let length = |queue: &WorkspaceQueue<T>| queue.entries.len() as f64 / queue.weight;
        let longest =
            self.workspace_queues.iter().max_by(|(_, a), (_, b)| length(a).total_cmp(&length(b)));
        let (workspace, queue) = longest.expect("a full queue has a workspace");
        let (key, _) = queue.entries.last_key_value().expect("the longest queue has entries");
        QueuePlace { workspace: workspace.clone(), key: *key }
    }
}
