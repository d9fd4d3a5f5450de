//! Tracks which targets probably cache which prompt prefixes.

use {
    crate::load::DecayingCount,
    base::{Epoch, GroupId, Tick},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    twox_hash::XxHash64,
};

/// Time in which the count of requests for a prefix decays by a factor of e.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(10);
/// A prefix with a lower decayed request count is treated as having no demand.
const MIN_DEMAND_COUNT: f32 = 1.5;

/// Entries per hash bucket; at most this many targets are recorded for a prefix.
const BUCKET_ENTRIES: usize = 4;

/// Hash of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// Hashes the bytes of a prefix.
    pub fn of(prefix: &[u8]) -> Self {
        Self(XxHash64::oneshot(0, prefix))
    }
}

/// Hash that identifies a group and epoch in a [`PrefixTable`]. A hash of 0 becomes 1, as 0 marks
/// empty entries. Two targets with the same tag cause only cache misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetTag(u32);

impl TargetTag {
    /// Computes the tag of a group and epoch.
    pub fn of(group: &GroupId, epoch: Epoch) -> Self {
        let hash = XxHash64::oneshot(epoch.0, group.as_str().as_bytes());
        Self((hash as u32).max(1))
    }

    /// Score of this target for a prefix in rendezvous hashing. For each `home_index`, the target
    /// with the highest score is one of the prefix's homes; see [`crate::choose`].
    pub fn rendezvous_score(self, prefix: PrefixKey, home_index: u64) -> u64 {
        let salted = u64::from(self.0) ^ home_index << 32;
        mix(prefix.0 ^ salted.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Lock-free table of the prefixes that targets cache, and of the demand for them.
///
/// Cache events arrive late or not at all, so the table is approximate. It has a fixed size; an
/// entry is one number that identifies a prefix and a target, and new entries may overwrite old
/// ones. A wrong entry causes a cache miss, never a wrong answer.
#[derive(Debug)]
pub struct PrefixTable {
    entries: Box<[AtomicU64]>,
    buckets: u64,
    /// Decaying request counts, one per bucket.
    demand: Box<[DecayingCount]>,
    /// Decaying count of all requests.
    total: DecayingCount,
}

impl PrefixTable {
    /// Creates a table for `entries` pairs of prefix and target, rounded up to whole buckets.
    pub fn new(entries: usize) -> Self {
        let buckets = entries.div_ceil(BUCKET_ENTRIES).max(1);
        let entries = (0..buckets * BUCKET_ENTRIES).map(|_| AtomicU64::new(0)).collect();
        let demand = (0..buckets).map(|_| DecayingCount::default()).collect();
        Self { entries, buckets: buckets as u64, demand, total: DecayingCount::default() }
    }

    /// Records that a target caches a prefix, after a cache event or a request sent to it.
    pub fn note_stored(&self, prefix: PrefixKey, tag: TargetTag) {
        let entry = entry(prefix, tag);
        let bucket = self.bucket(prefix);
        let empty = |cell: &&AtomicU64| matches!(cell.load(Ordering::Relaxed), 0);
        let same = |cell: &&AtomicU64| cell.load(Ordering::Relaxed) == entry;
        if bucket.iter().any(|cell| same(&cell)) {
            return;
        }
        let victim = (mix(entry) % BUCKET_ENTRIES as u64) as usize;
        let cell = bucket.iter().find(empty).unwrap_or(&bucket[victim]);
        cell.store(entry, Ordering::Relaxed);
    }

    /// Records that a target evicted a prefix from its cache.
    pub fn note_evicted(&self, prefix: PrefixKey, tag: TargetTag) {
        let entry = entry(prefix, tag);
        for cell in self.bucket(prefix) {
            let _ = cell.compare_exchange(entry, 0, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Removes all entries of a target, after cache events were lost.
    pub fn forget(&self, tag: TargetTag) {
        for cell in &self.entries {
            let entry = cell.load(Ordering::Relaxed);
            if entry as u32 == tag.0 {
                let _ = cell.compare_exchange(entry, 0, Ordering::Relaxed, Ordering::Relaxed);
            }
        }
    }

    /// Returns the targets that probably cache the prefix, at most four.
    pub fn targets_caching(&self, prefix: PrefixKey) -> impl Iterator<Item = TargetTag> {
        let cells = self.bucket(prefix).iter();
        let entries = cells.map(|cell| cell.load(Ordering::Relaxed));
        let wanted = (prefix.0 >> 32) as u32;
        entries
            .filter(move |entry| *entry != 0 && (entry >> 32) as u32 == wanted)
            .map(|entry| TargetTag(entry as u32))
    }

    /// Records a request with this prefix.
    pub fn note_request(&self, prefix: PrefixKey, now: Tick) {
        self.demand[self.bucket_index(prefix)].add(now, DEMAND_DECAY_TIME);
        self.total.add(now, DEMAND_DECAY_TIME);
    }

    /// Returns the fraction of recent requests with this prefix, 0 to 1; 0 for a rare prefix.
    ///
    /// Prefixes in the same bucket are counted together.
    pub fn demand(&self, prefix: PrefixKey, now: Tick) -> f64 {
        let own = self.demand[self.bucket_index(prefix)].value(now, DEMAND_DECAY_TIME);
        let total = self.total.value(now, DEMAND_DECAY_TIME);
        if own < MIN_DEMAND_COUNT { 0.0 } else { f64::from(own / total.max(own)) }
    }

    fn bucket_index(&self, prefix: PrefixKey) -> usize {
        (mix(prefix.0) % self.buckets) as usize
    }

    fn bucket(&self, prefix: PrefixKey) -> &[AtomicU64] {
        let bucket = self.bucket_index(prefix);
        &self.entries[bucket * BUCKET_ENTRIES..(bucket + 1) * BUCKET_ENTRIES]
    }
}

/// Combines the upper half of the prefix hash with the tag.
fn entry(prefix: PrefixKey, tag: TargetTag) -> u64 {
    (prefix.0 >> 32) << 32 | u64::from(tag.0)
}
