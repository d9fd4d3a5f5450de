//! Gathers changes of single rows into one transaction.

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

/// Transactions that may be under way at once.
const MAX_COMMITS: usize = 4;
/// Most bytes of the values of one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// How much longer a change waits that is not urgent, in windows.
const PATIENT_WINDOWS: u32 = 4;
/// How much longer a change waits that follows close upon another batch, in windows.
const BUSY_WINDOWS: u32 = 2;
/// Changes that may wait to be gathered.
const MAX_WAITING: usize = 4_096;
/// How often a transaction without answer is sent in all.
const MAX_SENDS: u32 = 3;
/// Wait before a transaction is sent again.
const RESEND_WAIT: Duration = Duration::from_millis(50);

/// How changes are gathered.
#[derive(Clone, Copy, Debug)]
pub struct BatchRules {
    /// How long the first change of a batch waits for others.
    pub window: Duration,
    /// Most changes of a batch.
    pub max_changes: usize,
}

/// A conditional write of one row. The value names its writer, so that the writer knows its own
/// row again.
#[derive(Clone, Debug)]
pub struct RowChange {
    /// The row.
    pub key: RowKey,
    /// The version that it must have.
    pub expect: RowVersion,
    /// Its new value.
    pub value: String,
    /// Whether somebody waits for its end; others may be gathered for longer.
    pub urgent: bool,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// The row has the new value, with this version.
    Committed(RowVersion),
    /// The row had another version; this is it, none when absent.
    Conflict(Option<StoredRow>),
    /// Nothing was written and nothing will be.
    NotWritten,
    /// It may have been written, or may still be.
    Unknown,
}

struct Waiting {
    change: RowChange,
    reply: oneshot::Sender<ChangeEnd>,
}

/// Takes changes and commits them in batches; a change whose condition fails does not fail the
/// others of its batch.
#[derive(Clone)]
pub struct RowBatcher {
    queue: mpsc::Sender<Waiting>,
    commits: Arc<AtomicU64>,
}

impl RowBatcher {
    /// Starts the task that gathers changes; it ends with the last handle.
    pub fn start(table: Arc<dyn TableStore>, rules: BatchRules) -> Self {
        let (queue, waiting) = mpsc::channel(MAX_WAITING);
        let commits = Arc::new(AtomicU64::new(0));
        let worker = BatchWorker { table, rules, commits: commits.clone() };
        tokio::spawn(worker.run(waiting));
        Self { queue, commits }
    }

    /// Makes a change and waits for its end.
    pub async fn change(&self, change: RowChange) -> ChangeEnd {
        let (reply, end) = oneshot::channel();
        if self.queue.send(Waiting { change, reply }).await.is_err() {
            return ChangeEnd::NotWritten;
        }
        end.await.unwrap_or(ChangeEnd::Unknown)
    }

    /// Transactions sent so far.
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
    async fn run(self, mut waiting: mpsc::Receiver<Waiting>) {
        let slots = Arc::new(Semaphore::new(MAX_COMMITS));
        let mut held = None;
        let mut flushed: Option<Instant> = None;
        while let Some(first) = next_change(&mut held, &mut waiting).await {
            let busy = flushed.is_some_and(|flushed| flushed.elapsed() < self.rules.window);
            let batch = self.gather(first, busy, &mut held, &mut waiting).await;
            flushed = Some(Instant::now());
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            tokio::spawn(self.clone().commit(batch, slot));
        }
    }

    /// Two changes of one row never share a batch: only one of them can hold.
    async fn gather(
        &self,
        first: Waiting,
        busy: bool,
        held: &mut Option<Waiting>,
        waiting: &mut mpsc::Receiver<Waiting>,
    ) -> Vec<Waiting> {
        let mut flush_at = self.flush_at(&first.change, busy);
        let mut keys = HashSet::from([first.change.key.clone()]);
        let mut bytes = first.change.value.len();
        let mut batch = vec![first];
        while batch.len() < self.rules.max_changes {
            let Ok(Some(next)) = timeout_at(flush_at, waiting.recv()).await else { break };
            flush_at = flush_at.min(self.flush_at(&next.change, busy));
            bytes += next.change.value.len();
            if bytes > MAX_BATCH_BYTES || !keys.insert(next.change.key.clone()) {
                *held = Some(next);
                break;
            }
            batch.push(next);
        }
        batch
    }

    /// A change that comes alone waits one window; under load batches are larger and fewer.
    fn flush_at(&self, change: &RowChange, busy: bool) -> Instant {
        let windows = match (change.urgent, busy) {
            (true, false) => 1,
            (true, true) => BUSY_WINDOWS,
            (false, _) => PATIENT_WINDOWS,
        };
        Instant::now() + self.rules.window * windows
    }

    async fn commit(self, mut batch: Vec<Waiting>, _slot: OwnedSemaphorePermit) {
        let mut sends = 0;
        while !batch.is_empty() {
            self.commits.fetch_add(1, Ordering::Relaxed);
            match self.table.commit(transaction(&batch)).await {
                Ok(CommitOutcome::Committed { version }) => {
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
                    return self.commit_singly(batch).await;
                }
                Err(PlatformError::Refused { .. }) => {
                    return reply_all(batch, &end_without_effect(sends));
                }
                Err(PlatformError::Unreachable { .. }) if sends == 0 => {
                    return reply_all(batch, &ChangeEnd::NotWritten);
                }
                Err(_) => {
                    sends += 1;
                    if sends >= MAX_SENDS {
                        return reply_all(batch, &ChangeEnd::Unknown);
                    }
                    sleep(RESEND_WAIT * sends).await;
                }
            }
        }
    }

    /// One change that the service refuses, a too large one say, must not refuse the others.
    async fn commit_singly(&self, batch: Vec<Waiting>) {
        for waiting in batch {
            self.commits.fetch_add(1, Ordering::Relaxed);
            let change = &waiting.change;
            let end = match self.table.commit(transaction(std::slice::from_ref(&waiting))).await {
                Ok(CommitOutcome::Committed { version }) => ChangeEnd::Committed(version),
                Ok(CommitOutcome::Conflict { rows, .. }) => conflict_end(change, &rows),
                // An earlier send of the whole batch may still land.
                Err(_) => ChangeEnd::Unknown,
            };
            let _ = waiting.reply.send(end);
        }
    }
}

async fn next_change(
    held: &mut Option<Waiting>,
    waiting: &mut mpsc::Receiver<Waiting>,
) -> Option<Waiting> {
    match held.take() {
        Some(change) => Some(change),
        None => waiting.recv().await,
    }
}

/// A refusal says nothing about an earlier send of the same transaction.
fn end_without_effect(sends: u32) -> ChangeEnd {
    if sends == 0 { ChangeEnd::NotWritten } else { ChangeEnd::Unknown }
}

fn transaction(batch: &[Waiting]) -> Transaction {
    batch.iter().map(|waiting| &waiting.change).fold(Transaction::default(), |all, change| {
        all.expect(change.key.clone(), change.expect).put(change.key.clone(), change.value.clone())
    })
}

/// Answers the changes whose condition failed and gives the others back.
fn split_conflicts(batch: Vec<Waiting>, rows: &[StoredRow], absent: &[RowKey]) -> Vec<Waiting> {
    let (failed, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|waiting| {
        let key = &waiting.change.key;
        absent.contains(key) || rows.iter().any(|row| row.key == *key)
    });
    for waiting in failed {
        let end = conflict_end(&waiting.change, rows);
        let _ = waiting.reply.send(end);
    }
    rest
}

/// A row that has the value already was written by this change, whose answer got lost.
fn conflict_end(change: &RowChange, rows: &[StoredRow]) -> ChangeEnd {
    match rows.iter().find(|row| row.key == change.key) {
        Some(row) if row.value == change.value => ChangeEnd::Committed(row.version),
        row => ChangeEnd::Conflict(row.cloned()),
    }
}

fn reply_all(batch: Vec<Waiting>, end: &ChangeEnd) {
    for waiting in batch {
        let _ = waiting.reply.send(end.clone());
    }
}
