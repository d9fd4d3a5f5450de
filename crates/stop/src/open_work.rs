//! Requests that have begun and not ended, and how the others ended.

use {
    base::Tick,
    parking_lot::Mutex,
    smol_str::SmolStr,
    std::{collections::BTreeMap, fmt, ops::Sub, sync::Arc},
};

/// How far the answer to a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkStage {
    /// No part of an answer was passed on to the caller.
    Waiting,
    /// The caller receives the answer as it arrives.
    Streaming,
}

impl fmt::Display for WorkStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Waiting => "waiting",
            Self::Streaming => "streaming",
        })
    }
}

/// How a request ended, as far as its caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// With the whole answer of a server.
    Whole,
    /// With an answer that it did not run, or that it is not allowed.
    Refused,
    /// With an answer that leaves open whether it ran.
    Unknown,
    /// In the middle of its answer.
    Cut,
    /// The caller left before its end.
    Abandoned,
}

/// Numbers of requests by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// See [`WorkEnd::Whole`].
    pub whole: u64,
    /// See [`WorkEnd::Refused`].
    pub refused: u64,
    /// See [`WorkEnd::Unknown`].
    pub unknown: u64,
    /// See [`WorkEnd::Cut`].
    pub cut: u64,
    /// See [`WorkEnd::Abandoned`].
    pub abandoned: u64,
}

impl Sub for WorkCounts {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            whole: self.whole - earlier.whole,
            refused: self.refused - earlier.refused,
            unknown: self.unknown - earlier.unknown,
            cut: self.cut - earlier.cut,
            abandoned: self.abandoned - earlier.abandoned,
        }
    }
}

/// A request that has begun and not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// The caller's id of the request.
    pub id: SmolStr,
    /// Label of its kind in logs and metrics; "any" until its route is known.
    pub kind: &'static str,
    /// When its head was received.
    pub began: Tick,
    /// How far its answer has come.
    pub stage: WorkStage,
}

/// The requests of a process.
#[derive(Debug, Default)]
pub struct OpenWork {
    table: Mutex<WorkTable>,
}

#[derive(Debug, Default)]
struct WorkTable {
    requests: BTreeMap<u64, OpenRequest>,
    next_key: u64,
    ended: WorkCounts,
}

impl OpenWork {
    /// Adds a request until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, id: SmolStr, began: Tick) -> WorkGuard {
        let request = OpenRequest { id, kind: "any", began, stage: WorkStage::Waiting };
        let mut table = self.table.lock();
        let key = table.next_key;
        table.next_key += 1;
        table.requests.insert(key, request);
        WorkGuard { work: self.clone(), key }
    }

    /// Copies of all open requests, in the order in which they began.
    pub fn snapshot(&self) -> Vec<OpenRequest> {
        self.table.lock().requests.values().cloned().collect()
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.table.lock().requests.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of open requests of a kind.
    pub fn count(&self, kind: &str) -> usize {
        self.table.lock().requests.values().filter(|request| request.kind == kind).count()
    }

    /// How many requests have ended in which way.
    pub fn ended(&self) -> WorkCounts {
        self.table.lock().ended
    }
}

/// Keeps a request in [`OpenWork`] until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    work: Arc<OpenWork>,
    key: u64,
}

impl WorkGuard {
    /// Sets the label of the request's kind, once it is known.
    pub fn set_kind(&self, kind: &'static str) {
        self.update(|request| request.kind = kind);
    }

    /// Records that parts of the answer are passed on from now on.
    pub fn start_streaming(&self) {
        self.update(|request| request.stage = WorkStage::Streaming);
    }

    /// Ends the request; the first end counts.
    pub fn end(&self, end: WorkEnd) {
        let mut table = self.work.table.lock();
        if table.requests.remove(&self.key).is_none() {
            return;
        }
        let ended = &mut table.ended;
        *match end {
            WorkEnd::Whole => &mut ended.whole,
            WorkEnd::Refused => &mut ended.refused,
            WorkEnd::Unknown => &mut ended.unknown,
            WorkEnd::Cut => &mut ended.cut,
            WorkEnd::Abandoned => &mut ended.abandoned,
        } += 1;
    }

    /// A copy of the request; `None` once it has ended.
    pub fn request(&self) -> Option<OpenRequest> {
        self.work.table.lock().requests.get(&self.key).cloned()
    }

    fn update(&self, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.work.table.lock().requests.get_mut(&self.key) {
            change(request);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.end(WorkEnd::Abandoned);
    }
}
