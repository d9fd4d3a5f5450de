//! The port to the platform's transactional table service.

use {
    crate::PlatformError,
    async_trait::async_trait,
    base::{RowVersion, StoreEra},
    smol_str::SmolStr,
};

/// Key of a row: path-like, with `/` as separator; scans select rows by a prefix of it.
pub type RowKey = SmolStr;

base::value_type!(
    /// A row with its version at the time of the read.
    pub struct StoredRow {
        /// Unique in the table.
        pub key: RowKey,
        /// Grows by at least 1 with each committed write of the row.
        pub version: RowVersion,
        /// JSON text; the writer defines its structure.
        pub value: String,
    }
);

base::value_type!(
    /// A row version that must be current for a transaction to commit.
    pub struct Condition {
        /// The row that is checked; it need not be written.
        pub key: RowKey,
        /// The version required; 0 means that the row must be absent.
        pub version: RowVersion,
    }
);

base::value_type!(
    /// A row to write or delete in a transaction.
    pub struct RowWrite {
        /// The row to write; created when absent.
        pub key: RowKey,
        /// The new value; `None` deletes the row.
        pub value: Option<String>,
    }
);

base::value_type!(
    /// Writes that take effect atomically if every condition holds at commit.
    #[derive(Default)]
    pub struct Transaction {
        /// Checked together at commit; without any, the writes are unconditional.
        pub conditions: Vec<Condition>,
        /// Applied all together or not at all.
        pub writes: Vec<RowWrite>,
    }
);

impl Transaction {
    /// Adds the condition that `key` has `version`.
    pub fn expect(mut self, key: impl Into<RowKey>, version: RowVersion) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds the condition that `key` is absent.
    pub fn expect_absent(self, key: impl Into<RowKey>) -> Self {
        self.expect(key, RowVersion(0))
    }

    /// Adds a write of `value` to `key`, which creates the row when absent.
    pub fn put(mut self, key: impl Into<RowKey>, value: impl Into<String>) -> Self {
        self.writes.push(RowWrite { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds the deletion of the row at `key`.
    pub fn delete(mut self, key: impl Into<RowKey>) -> Self {
        self.writes.push(RowWrite { key: key.into(), value: None });
        self
    }
}

base::value_type!(
    /// Result of a transaction that the service decided.
    #[serde(rename_all = "snake_case")]
    pub enum CommitOutcome {
        /// All writes took effect.
        Committed {
            /// The new version of every written row.
            version: RowVersion,
            /// The era of the service in which they took effect; 0 if it never comes back from an
            /// older copy of its data.
            #[serde(default)]
            era: StoreEra,
        },
        /// A condition did not hold; nothing took effect.
        Conflict {
            /// Current contents of the rows whose condition failed.
            rows: Vec<StoredRow>,
            /// The keys of failed conditions whose row is absent.
            absent: Vec<RowKey>,
        },
    }
);

/// The platform's transactional table service.
///
/// After [`PlatformError::Unknown`] a commit may have taken effect, or may still do so later.
/// Callers make a retry safe by conditions, and by values that identify the writer.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads rows from one consistent snapshot. Returns one entry per key, in the order of `keys`;
    /// `None` for an absent row.
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError>;

    /// Reads all rows whose key starts with `prefix` from one consistent snapshot, sorted by key.
    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError>;

    /// Commits a transaction. A condition that does not hold is [`CommitOutcome::Conflict`], not an
    /// error.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError>;
}
