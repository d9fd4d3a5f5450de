//! The newest known group record of each fabric domain.

use {
    base::FabricDomainId,
    parking_lot::Mutex,
    peer::{DomainDigest, DomainRecord},
    std::collections::{BTreeMap, BTreeSet},
    tokio::sync::Notify,
};

#[derive(Default)]
struct RecordsInner {
    records: BTreeMap<FabricDomainId, DomainRecord>,
    /// Fabric domains whose record has not been offered to peers yet.
    unoffered: BTreeSet<FabricDomainId>,
    /// Fabric domain of the last digest that [`GroupRecords::next_digests`] returned.
    rotation: Option<FabricDomainId>,
}

/// The record with the highest (term, sequence) of each fabric domain.
#[derive(Default)]
pub struct GroupRecords {
    inner: Mutex<RecordsInner>,
    changed: Notify,
}

impl GroupRecords {
    /// Stores a record if it is newer than the known one. Returns whether it was stored.
    pub fn apply(&self, record: DomainRecord) -> bool {
        let mut inner = self.inner.lock();
        let known = inner.records.get(&record.domain);
        if known.is_some_and(|known| !record.replaces(known)) {
            return false;
        }
        inner.unoffered.insert(record.domain.clone());
        inner.records.insert(record.domain.clone(), record);
        self.changed.notify_one();
        true
    }

    /// The newest known record of a fabric domain, `None` if there is none.
    pub fn get(&self, domain: &FabricDomainId) -> Option<DomainRecord> {
        self.inner.lock().records.get(domain).cloned()
    }

    /// All records, ordered by fabric domain.
    pub fn all(&self) -> Vec<DomainRecord> {
        self.inner.lock().records.values().cloned().collect()
    }

    /// Digests of all records, ordered by fabric domain.
    pub fn digests(&self) -> Vec<DomainDigest> {
        self.inner.lock().records.values().map(digest).collect()
    }

    /// Digests of the next `count` records in rotation, so that repeated calls cover all records.
    pub fn next_digests(&self, count: usize) -> Vec<DomainDigest> {
        let mut inner = self.inner.lock();
        let last = inner.rotation.take();
        let after_last = inner.records.iter().filter(|(domain, _)| Some(*domain) > last.as_ref());
        let up_to_last = inner.records.iter().filter(|(domain, _)| Some(*domain) <= last.as_ref());
        let next: Vec<DomainDigest> =
            after_last.chain(up_to_last).map(|(_, record)| digest(record)).take(count).collect();
        inner.rotation = next.last().map(|digest| digest.domain.clone());
        next
    }

    /// Records that are newer than the requester's; `held` lists all records that it holds.
    pub fn newer_than(&self, held: &[DomainDigest]) -> Vec<DomainRecord> {
        let inner = self.inner.lock();
        let unknown_or_newer = |record: &&DomainRecord| {
            let known = held.iter().find(|digest| digest.domain == record.domain);
            known.is_none_or(|known| is_newer(record, known))
        };
        inner.records.values().filter(unknown_or_newer).cloned().collect()
    }

    /// Records that are newer than those listed; fabric domains that are not listed are skipped.
    pub fn newer_among(&self, named: &[DomainDigest]) -> Vec<DomainRecord> {
        let inner = self.inner.lock();
        let newer = |digest: &DomainDigest| {
            inner.records.get(&digest.domain).filter(|record| is_newer(record, digest)).cloned()
        };
        named.iter().filter_map(newer).collect()
    }

    /// Waits for records that were not yet offered to peers, and marks them as offered.
    pub async fn unoffered(&self) -> Vec<DomainRecord> {
        loop {
            let records = self.drain_unoffered();
            if !records.is_empty() {
                return records;
            }
            self.changed.notified().await;
        }
    }

    fn drain_unoffered(&self) -> Vec<DomainRecord> {
        let mut inner = self.inner.lock();
        let domains = std::mem::take(&mut inner.unoffered);
        domains.iter().filter_map(|domain| inner.records.get(domain).cloned()).collect()
    }
}

fn digest(record: &DomainRecord) -> DomainDigest {
    DomainDigest { domain: record.domain.clone(), term: record.term, sequence: record.sequence }
}

fn is_newer(record: &DomainRecord, than: &DomainDigest) -> bool {
    (record.term, record.sequence) > (than.term, than.sequence)
}
