//! A store whose transactions may be lost or carried out late.

use {
    super::links::Links,
    async_trait::async_trait,
    base::{FabricDomainId, RowVersion, SharedClock, StoreEra, Tick},
    infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    node::{
        RowChange,
        rows::{OwnerRow, RowName, RowOwner},
    },
    parking_lot::Mutex,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long a process waits for the store's response.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// A transaction that the store carries out later, if its conditions hold then.
struct LateCommit {
    due: Tick,
    transaction: Transaction,
}

struct StoreState {
    version: u64,
    /// The rows; those without a value were deleted.
    rows: BTreeMap<RowKey, (RowVersion, Option<String>)>,
    late: Vec<LateCommit>,
    writes: u64,
    random: Pcg64Mcg,
}

/// The rows of all processes.
pub(crate) struct SimulatedStore {
    state: Mutex<StoreState>,
}

impl SimulatedStore {
    pub(crate) fn new(seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let state =
            StoreState { version: 1, rows: BTreeMap::new(), late: Vec::new(), writes: 0, random };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Number of transactions that took effect.
    pub(crate) fn writes(&self) -> u64 {
        self.state.lock().writes
    }

    /// Counts a write of another writer, such as a server's entry.
    pub(crate) fn note_other_write(&self) {
        self.state.lock().version += 1;
    }

    /// The owner of a domain, as its row says.
    pub(crate) fn owner(&self, domain: &FabricDomainId) -> Option<RowOwner> {
        self.row(domain)?.1.owner
    }

    /// The owner row of a domain with its version.
    pub(crate) fn row(&self, domain: &FabricDomainId) -> Option<(RowVersion, OwnerRow)> {
        let key = RowName::Domain(domain.clone()).key();
        let (version, value) = self.state.lock().rows.get(&key)?.clone();
        Some((version, serde_json::from_str(&value?).unwrap()))
    }

    pub(crate) fn changes_after(&self, version: u64) -> Vec<RowChange> {
        let state = self.state.lock();
        let mut changed: Vec<_> = state.rows.iter().filter(|(_, (at, _))| at.0 > version).collect();
        changed.sort_by_key(|(_, (at, _))| *at);
        let change = |(key, (version, value)): (&RowKey, &(RowVersion, Option<String>))| match value
        {
            Some(value) => RowChange::Written(StoredRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            }),
            None => RowChange::Deleted(key.clone()),
        };
        changed.into_iter().map(change).collect()
    }

    /// Carries out the transactions that are due.
    pub(crate) fn advance(&self, now: Tick) {
        let mut state = self.state.lock();
        let (due, late) = std::mem::take(&mut state.late).into_iter().partition(|c| c.due <= now);
        state.late = late;
        let due: Vec<LateCommit> = due;
        for commit in due {
            state.apply(commit.transaction);
        }
    }

    fn commit(&self, transaction: Transaction) -> CommitOutcome {
        self.state.lock().apply(transaction)
    }

    /// Loses a transaction, or keeps it for later.
    fn delay(&self, transaction: Transaction, now: Tick) {
        let mut state = self.state.lock();
        if state.random.random_bool(0.5) {
            let delay = Duration::from_millis(state.random.random_range(100..9_000));
            state.late.push(LateCommit { due: now + delay, transaction });
        }
    }
}

impl StoreState {
    fn apply(&mut self, transaction: Transaction) -> CommitOutcome {
        let version = |key: &RowKey| match self.rows.get(key) {
            Some((version, Some(_))) => *version,
            _ => RowVersion(0),
        };
        let holds = |condition: &infra::Condition| version(&condition.key) == condition.version;
        if !transaction.conditions.iter().all(holds) {
            let keys = transaction.conditions.into_iter().map(|condition| condition.key);
            let row = |key: RowKey| {
                let (version, value) = self.rows.get(&key)?;
                let (version, value) = (*version, value.clone()?);
                Some(StoredRow { key, version, value })
            };
            return CommitOutcome::Conflict {
                rows: keys.filter_map(row).collect(),
                absent: Vec::new(),
            };
        }
        self.version += 1;
        self.writes += 1;
        let version = RowVersion(self.version);
        for write in transaction.writes {
            self.rows.insert(write.key, (version, write.value));
        }
        CommitOutcome::Committed { version, era: StoreEra(0) }
    }
}

/// The store as one process reaches it.
pub(crate) struct ProcessTable {
    pub(crate) store: Arc<SimulatedStore>,
    pub(crate) links: Arc<Links>,
    pub(crate) process: usize,
    pub(crate) clock: SharedClock,
}

#[async_trait]
impl TableStore for ProcessTable {
    async fn read(&self, _keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        unreachable!("processes read rows through their watch")
    }

    async fn scan(&self, _prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        unreachable!("processes read rows through their watch")
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        if !self.links.reaches_store(self.process) {
            self.store.delay(transaction, self.clock.now());
            sleep(CALL_LIMIT).await;
            let detail = "no response".to_owned();
            return Err(PlatformError::Unknown { service: "store", detail });
        }
        let outcome = self.store.commit(transaction);
        sleep(Duration::from_millis(5)).await;
        Ok(outcome)
    }
}
