//! Batches conditional writes of single rows into transactions.

use {
    base::RowVersion,
    infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    std::{
        collections::HashSet,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
        time::{Instant, sleep, timeout_at},
    },
};

/// Limit of concurrent transactions.
const MAX_COMMITS: usize = 4;
/// Limit of the total size of the values in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Time that a non-urgent change waits for others, in batch windows.
const NON_URGENT_WINDOWS: u32 = 4;
/// Time that an urgent change waits if the last batch closed less than a window ago, in batch
/// windows.
const BUSY_WINDOWS: u32 = 2;
/// Capacity of the channel to the batching task; senders wait when it is full.
const MAX_PENDING: usize = 4_096;
/// Number of sends of an unanswered transaction, including the first.
const MAX_SENDS: u32 = 3;
/// Delay before the first retry of a transaction; the second retry waits twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a batch in time and size.
#[derive(Clone, Copy, Debug)]
pub struct BatchRules {
    /// Time that an urgent change waits for others when the batcher is not busy.
    pub window: Duration,
    /// Number of changes that closes a batch.
    pub max_changes: usize,
}

/// A conditional write of one row.
///
/// Values must be unique to their writer: a conflict with a row of the same value means that an
/// earlier send of this change was committed.
#[derive(Clone, Debug)]
pub struct RowChange {
    /// Key of the row to write.
    pub key: RowKey,
    /// Version that the row must have; 0 if it must not exist.
    pub expect: RowVersion,
    /// Value to write.
    pub value: String,
    /// Whether a caller waits for the result. Other changes may be batched for longer.
    pub urgent: bool,
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// The row was written and now has this version.
    Committed(RowVersion),
    /// The row had another version. Holds the row, or `None` if it does not exist.
    Conflict(Option<StoredRow>),
    /// The change had no effect and will have none.
    NotWritten,
    /// The change may have been committed, or may still be.
    Unknown,
}

struct PendingChange {
    change: RowChange,
    reply: oneshot::Sender<ChangeEnd>,
}

/// Commits changes in batches. A change whose condition fails does not affect the others of its
/// batch.
#[derive(Clone)]
pub struct RowBatcher {
    queue: mpsc::Sender<PendingChange>,
    commits: Arc<AtomicU64>,
}

impl RowBatcher {
    /// Starts the batching task, which ends when the last handle is dropped.
    pub fn start(table: Arc<dyn TableStore>, rules: BatchRules) -> Self {
        let (queue, pending) = mpsc::channel(MAX_PENDING);
        let commits = Arc::new(AtomicU64::new(0));
        let worker = BatchWorker { table, rules, commits: commits.clone() };
        tokio::spawn(worker.run(pending));
        Self { queue, commits }
    }

    /// Submits a change and waits for its result.
    pub async fn change(&self, change: RowChange) -> ChangeEnd {
        let (reply, end) = oneshot::channel();
        if self.queue.send(PendingChange { change, reply }).await.is_err() {
            return ChangeEnd::NotWritten;
        }
        end.await.unwrap_or(ChangeEnd::Unknown)
    }

    /// Number of transactions sent, including retries.
    pub fn commits(&self) -> u64 {
        self.commits.load(Ordering::Relaxed)
    }
}

#[derive(Clone)]
struct BatchWorker {
    table: Arc<dyn TableStore>,
    rules: BatchRules,
    commits: Arc<AtomicU64>,
}

impl BatchWorker {
    async fn run(self, mut pending: mpsc::Receiver<PendingChange>) {
        let slots = Arc::new(Semaphore::new(MAX_COMMITS));
        let mut deferred = None;
        let mut last_flush: Option<Instant> = None;
        while let Some(first) = next_change(&mut deferred, &mut pending).await {
            let busy =
                last_flush.is_some_and(|last_flush| last_flush.elapsed() < self.rules.window);
            let batch = self.gather(first, busy, &mut deferred, &mut pending).await;
            last_flush = Some(Instant::now());
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            tokio::spawn(self.clone().commit(batch, slot));
        }
    }

    /// Collects changes for one batch, starting with `first`.
    ///
    /// A second change of the same row starts the next batch, because both expect the same version
    /// and at most one can succeed.
    async fn gather(
        &self,
        first: PendingChange,
        busy: bool,
        deferred: &mut Option<PendingChange>,
        pending: &mut mpsc::Receiver<PendingChange>,
    ) -> Vec<PendingChange> {
        let mut flush_at = self.flush_at(&first.change, busy);
        let mut keys = HashSet::from([first.change.key.clone()]);
        let mut bytes = first.change.value.len();
        let mut batch = vec![first];
        while batch.len() < self.rules.max_changes {
            let Ok(Some(next)) = timeout_at(flush_at, pending.recv()).await else { break };
            flush_at = flush_at.min(self.flush_at(&next.change, busy));
            bytes += next.change.value.len();
            if bytes > MAX_BATCH_BYTES || !keys.insert(next.change.key.clone()) {
                *deferred = Some(next);
                break;
            }
            batch.push(next);
        }
        batch
    }

    /// The latest time to close a batch that contains `change`.
    ///
    /// A single urgent change waits one window. Under load the wait is longer, so that batches are
    /// larger and fewer.
    fn flush_at(&self, change: &RowChange, busy: bool) -> Instant {
        let windows = match (change.urgent, busy) {
            (true, false) => 1,
            (true, true) => BUSY_WINDOWS,
            (false, _) => NON_URGENT_WINDOWS,
        };
        Instant::now() + self.rules.window * windows
    }

    async fn commit(self, mut batch: Vec<PendingChange>, _slot: OwnedSemaphorePermit) {
        let mut sends = 0;
        while !batch.is_empty() {
            self.commits.fetch_add(1, Ordering::Relaxed);
            match self.table.commit(transaction(&batch)).await {
                Ok(CommitOutcome::Committed { version, .. }) => {
                    return reply_all(batch, &ChangeEnd::Committed(version));
                }
                Ok(CommitOutcome::Conflict { rows, absent }) => {
                    let before = batch.len();
                    batch = split_conflicts(batch, &rows, &absent);
                    if batch.len() == before {
                        return reply_all(batch, &ChangeEnd::Unknown);
                    }
                }
                Err(PlatformError::Refused { .. }) if batch.len() > 1 => {
                    return self.commit_one_by_one(batch).await;
                }
                Err(PlatformError::Refused { .. }) => {
                    return reply_all(batch, &refused_end(sends));
                }
                Err(PlatformError::Unreachable { .. }) if sends == 0 => {
                    return reply_all(batch, &ChangeEnd::NotWritten);
                }
                Err(_) => {
                    sends += 1;
                    if sends >= MAX_SENDS {
                        return reply_all(batch, &ChangeEnd::Unknown);
                    }
                    sleep(RETRY_DELAY * sends).await;
                }
            }
        }
    }

    /// Commits each change in its own transaction, so that one which the table service refuses (for
    /// example because it is too large) does not fail the others.
    async fn commit_one_by_one(&self, batch: Vec<PendingChange>) {
        for pending in batch {
            self.commits.fetch_add(1, Ordering::Relaxed);
            let change = &pending.change;
            let end = match self.table.commit(transaction(std::slice::from_ref(&pending))).await {
                Ok(CommitOutcome::Committed { version, .. }) => ChangeEnd::Committed(version),
                Ok(CommitOutcome::Conflict { rows, .. }) => conflict_end(change, &rows),
                // An earlier send of the whole batch may still be committed.
                Err(_) => ChangeEnd::Unknown,
            };
            let _ = pending.reply.send(end);
        }
    }
}

async fn next_change(
    deferred: &mut Option<PendingChange>,
    pending: &mut mpsc::Receiver<PendingChange>,
) -> Option<PendingChange> {
    match deferred.take() {
        Some(change) => Some(change),
        None => pending.recv().await,
    }
}

/// The result of a refused transaction. Earlier sends of it may still be committed.
fn refused_end(sends: u32) -> ChangeEnd {
    if sends == 0 { ChangeEnd::NotWritten } else { ChangeEnd::Unknown }
}

fn transaction(batch: &[PendingChange]) -> Transaction {
    batch.iter().map(|pending| &pending.change).fold(Transaction::default(), |all, change| {
        all.expect(change.key.clone(), change.expect).put(change.key.clone(), change.value.clone())
    })
}

/// Replies to the changes whose condition failed and returns the others.
fn split_conflicts(
    batch: Vec<PendingChange>,
    rows: &[StoredRow],
    absent: &[RowKey],
) -> Vec<PendingChange> {
    let (failed, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|pending| {
        let key = &pending.change.key;
        absent.contains(key) || rows.iter().any(|row| row.key == *key)
    });
    for pending in failed {
        let end = conflict_end(&pending.change, rows);
        let _ = pending.reply.send(end);
    }
    rest
}

/// The result of a change whose condition failed. If the row has the new value, an earlier send of
/// this change was committed and its response was lost.
fn conflict_end(change: &RowChange, rows: &[StoredRow]) -> ChangeEnd {
    match rows.iter().find(|row| row.key == change.key) {
        Some(row) if row.value == change.value => ChangeEnd::Committed(row.version),
        row => ChangeEnd::Conflict(row.cloned()),
    }
}

fn reply_all(batch: Vec<PendingChange>, end: &ChangeEnd) {
    for pending in batch {
        let _ = pending.reply.send(end.clone());
    }
}
