//! When suspects were last sound.

use {
    crate::suspect::SuspectId,
    base::Tick,
    std::{collections::HashMap, mem},
};

/// When suspects were last sound, bounded for callers that never repeat one: two generations, of which
/// the older one is dropped when the newer one is full.
#[derive(Debug)]
pub(crate) struct SoundLog {
    /// Suspects in one generation.
    capacity: usize,
    newer: HashMap<SuspectId, Tick>,
    older: HashMap<SuspectId, Tick>,
}

impl SoundLog {
    /// Keeps the last `capacity` different suspects, and up to as many before them.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, newer: HashMap::new(), older: HashMap::new() }
    }

    pub(crate) fn note(&mut self, suspect: SuspectId, at: Tick) {
        let latest = self.last(suspect).map_or(at, |known| known.max(at));
        if self.newer.len() >= self.capacity && !self.newer.contains_key(&suspect) {
            self.older = mem::take(&mut self.newer);
        }
        self.newer.insert(suspect, latest);
    }

    pub(crate) fn last(&self, suspect: SuspectId) -> Option<Tick> {
        self.newer.get(&suspect).or_else(|| self.older.get(&suspect)).copied()
    }
}
