//! Requests that have begun and not ended.

use {
    base::Tick,
    parking_lot::Mutex,
    smol_str::SmolStr,
    std::{collections::BTreeMap, fmt, sync::Arc},
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

/// The open requests of a process.
#[derive(Debug, Default)]
pub struct OpenWork {
    table: Mutex<WorkTable>,
}

#[derive(Debug, Default)]
struct WorkTable {
    requests: BTreeMap<u64, OpenRequest>,
    next_key: u64,
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

    /// A copy of the request.
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
        self.work.table.lock().requests.remove(&self.key);
    }
}
