//! The table service: rows in memory, conditional transactions, and its faults.

use {
    crate::fault::TableFaults,
    base::RowVersion,
    infra::{
        CommitOutcome, Condition, RowKey, StoredRow, Transaction,
        http::{ScanAnswer, ScanBody},
    },
    parking_lot::Mutex,
    rand::Rng,
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, ops::Bound},
};

/// Largest value of a row, in bytes.
const MAX_VALUE_BYTES: usize = 256 * 1024;

base::value_type!(
    /// Calls that the table service has met.
    #[derive(Copy, Default)]
    pub struct TableCounters {
        /// Rows read by key.
        pub rows_read: u64,
        /// Read calls, scans included.
        pub reads: u64,
        /// Commit calls.
        pub commits: u64,
        /// Commits that took effect.
        pub committed: u64,
        /// Rows written.
        pub rows_written: u64,
    }
);

/// What becomes of the next commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFate {
    /// It runs and is answered.
    Answered,
    /// It runs and the answer is lost.
    AnswerLost,
    /// No answer comes, and it runs after this many milliseconds.
    Late(u64),
    /// It is answered with an error and never runs.
    Failed,
}

struct TableCore {
    rows: BTreeMap<RowKey, (RowVersion, String)>,
    last: RowVersion,
    counters: TableCounters,
    faults: TableFaults,
    random: Pcg64Mcg,
}

/// The rows and the faults of the table service.
pub struct TableRows {
    core: Mutex<TableCore>,
}

impl TableRows {
    /// An empty table whose random choices come from `seed`.
    pub fn new(seed: u64, faults: TableFaults) -> Self {
        let core = TableCore {
            rows: BTreeMap::new(),
            last: RowVersion(0),
            counters: TableCounters::default(),
            faults,
            random: Pcg64Mcg::new(u128::from(seed)),
        };
        Self { core: Mutex::new(core) }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TableFaults) {
        self.core.lock().faults = faults;
    }

    /// The faults, with the counts that are left.
    pub fn faults(&self) -> TableFaults {
        self.core.lock().faults
    }

    /// What the service has met so far.
    pub fn counters(&self) -> TableCounters {
        self.core.lock().counters
    }

    /// Reads rows by key.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<StoredRow>> {
        let mut core = self.core.lock();
        core.counters.reads += 1;
        core.counters.rows_read += keys.len() as u64;
        keys.iter().map(|key| core.stored(key)).collect()
    }

    /// Reads rows by prefix.
    pub fn scan(&self, body: &ScanBody) -> ScanAnswer {
        let mut core = self.core.lock();
        core.counters.reads += 1;
        let start = match &body.after {
            Some(after) if after.as_str() >= body.prefix.as_str() => Bound::Excluded(after.clone()),
            _ => Bound::Included(body.prefix.clone()),
        };
        let limit = body.limit.max(1) as usize;
        let mut rows: Vec<StoredRow> = core
            .rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(body.prefix.as_str()))
            .take(limit + 1)
            .map(|(key, (version, value))| StoredRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        core.counters.rows_read += rows.len() as u64;
        ScanAnswer { rows, more }
    }

    /// Why a transaction cannot be taken at all; none when it can.
    pub fn refusal(transaction: &Transaction) -> Option<String> {
        transaction
            .writes
            .iter()
            .find(|write| write.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES))
            .map(|write| format!("the value of `{}` exceeds {MAX_VALUE_BYTES} bytes", write.key))
    }

    /// Commits a transaction or names the conditions that do not hold.
    pub fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut core = self.core.lock();
        let failed: Vec<RowKey> = transaction
            .conditions
            .iter()
            .filter(|condition| !core.holds(condition))
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return core.conflict(failed);
        }
        core.last = core.last.next();
        let version = core.last;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => drop(core.rows.insert(write.key.clone(), (version, value.clone()))),
                None => drop(core.rows.remove(&write.key)),
            }
        }
        core.counters.committed += 1;
        core.counters.rows_written += transaction.writes.len() as u64;
        CommitOutcome::Committed { version, era: base::StoreEra(0) }
    }

    /// Decides what becomes of the next commit, and counts it.
    pub fn next_fate(&self) -> CommitFate {
        let mut core = self.core.lock();
        core.counters.commits += 1;
        if take_one(&mut core.faults.fail_commits) {
            return CommitFate::Failed;
        }
        if take_one(&mut core.faults.late_commits) {
            return CommitFate::Late(core.faults.late_ms);
        }
        if take_one(&mut core.faults.lose_answers) {
            return CommitFate::AnswerLost;
        }
        let percent = core.faults.lose_percent;
        match core.random.random_range(0..100) < percent {
            true => CommitFate::AnswerLost,
            false => CommitFate::Answered,
        }
    }
}

fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

impl TableCore {
    fn stored(&self, key: &RowKey) -> Option<StoredRow> {
        let (version, value) = self.rows.get(key)?;
        Some(StoredRow { key: key.clone(), version: *version, value: value.clone() })
    }

    fn holds(&self, condition: &Condition) -> bool {
        let version = self.rows.get(&condition.key).map_or(RowVersion(0), |(version, _)| *version);
        version == condition.version
    }

    fn conflict(&self, failed: Vec<RowKey>) -> CommitOutcome {
        let rows: Vec<StoredRow> = failed.iter().filter_map(|key| self.stored(key)).collect();
        let absent = failed.into_iter().filter(|key| !self.rows.contains_key(key)).collect();
        CommitOutcome::Conflict { rows, absent }
    }
}
