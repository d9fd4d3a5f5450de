//! The prefix cache of an engine and its late, gappy events.

use {
    base::Weight,
    engine::{CacheEvent, CacheEventKind, CacheEventPage, prompt::prefix_name},
    rand::Rng,
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Events that the engine still has; older ones are lost.
const MAX_EVENTS: usize = 16_384;
/// Events in one answer.
const MAX_PAGE_EVENTS: usize = 1_024;

/// Which prompt blocks are cached, least recently used first.
pub struct PrefixCache {
    capacity: usize,
    event_lag: Duration,
    event_loss: Weight,
    uses: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    random: Pcg64Mcg,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks whose events come `event_lag` late; the share
    /// `event_loss` of them never comes.
    pub fn new(capacity: usize, event_lag: Duration, event_loss: Weight, seed: u64) -> Self {
        Self {
            capacity,
            event_lag,
            event_loss,
            uses: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            next_event: 1,
            events: VecDeque::new(),
            random: Pcg64Mcg::new(u128::from(seed)),
        }
    }

    /// Reads a prompt: says how many of its leading blocks were cached, and caches all of them.
    pub fn read(&mut self, hashes: &[u64]) -> usize {
        let hits = hashes.iter().take_while(|hash| self.last_use.contains_key(hash)).count();
        // The longest prefix is touched first, so that the shortest stays longest.
        for hash in hashes.iter().rev() {
            self.touch(*hash);
        }
        self.evict();
        hits
    }

    /// Forgets every block, as a process does that loses its memory.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
        self.events.clear();
    }

    /// Published events with a number above `after`.
    pub fn events_after(&self, after: u64) -> CacheEventPage {
        let published = self.events.iter().take_while(|(at, _)| at.elapsed() >= self.event_lag);
        let events = published
            .map(|(_, event)| event)
            .filter(|event| event.number > after)
            .take(MAX_PAGE_EVENTS)
            .cloned()
            .collect();
        CacheEventPage { events }
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        match self.last_use.insert(hash, self.uses) {
            Some(earlier) => drop(self.by_use.remove(&earlier)),
            None => self.record(hash, CacheEventKind::Stored),
        }
        self.by_use.insert(self.uses, hash);
    }

    fn evict(&mut self) {
        while self.last_use.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else { return };
            self.last_use.remove(&hash);
            self.record(hash, CacheEventKind::Evicted);
        }
    }

    fn record(&mut self, hash: u64, kind: CacheEventKind) {
        let number = self.next_event;
        self.next_event += 1;
        if self.random.random::<f64>() < self.event_loss.0 {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { number, prefix: prefix_name(hash).into(), kind };
        self.events.push_back((Instant::now(), event));
    }
}
