//! The port to the transactional table service.

use {crate::PlatformError, async_trait::async_trait, base::RowVersion, smol_str::SmolStr};

/// The key of a row; `/` separates its parts.
pub type RowKey = SmolStr;

base::value_type!(
    /// A row as read.
    pub struct StoredRow {
        /// Its key.
        pub key: RowKey,
        /// Its version; each committed write of the row adds at least one.
        pub version: RowVersion,
        /// Its value, a JSON text of the writer's making.
        pub value: String,
    }
);

base::value_type!(
    /// What a row must look like for a transaction to commit.
    pub struct Condition {
        /// The row.
        pub key: RowKey,
        /// Its version; 0 means that the row must be absent.
        pub version: RowVersion,
    }
);

base::value_type!(
    /// One write of a transaction.
    pub struct RowWrite {
        /// The row.
        pub key: RowKey,
        /// Its new value; none deletes the row.
        pub value: Option<String>,
    }
);

base::value_type!(
    /// Writes that take effect together, if every condition holds at that moment.
    #[derive(Default)]
    pub struct Transaction {
        /// What must hold.
        pub conditions: Vec<Condition>,
        /// What is written then.
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

    /// Adds a write of `value` to `key`.
    pub fn put(mut self, key: impl Into<RowKey>, value: impl Into<String>) -> Self {
        self.writes.push(RowWrite { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds the deletion of `key`.
    pub fn delete(mut self, key: impl Into<RowKey>) -> Self {
        self.writes.push(RowWrite { key: key.into(), value: None });
        self
    }
}

base::value_type!(
    /// What became of a transaction whose answer arrived.
    #[serde(rename_all = "snake_case")]
    pub enum CommitOutcome {
        /// Every write took effect; each written row has this version now.
        Committed {
            /// The version given to each written row.
            version: RowVersion,
        },
        /// A condition did not hold; nothing took effect.
        Conflict {
            /// The rows whose condition failed, as they are.
            rows: Vec<StoredRow>,
            /// The keys of failed conditions whose row is absent.
            absent: Vec<RowKey>,
        },
    }
);

/// The transactional table service.
///
/// Every call may fail with [`PlatformError`]; after [`PlatformError::Unknown`] a commit may have
/// taken effect, or may still do so later. Callers make a retry harmless by conditions and by
/// values that name the writer.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads rows; the answer has one entry for each key, in order, from one moment in time.
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError>;

    /// Reads all rows whose key starts with `prefix`, in the order of their keys, from one moment.
    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError>;

    /// Commits a transaction or finds that a condition does not hold.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError>;
}
