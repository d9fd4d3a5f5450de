//! Committing changes of the durable state, also when answers are lost.

use {
    crate::{
        groups::port::DomainAuthority,
        state::{
            change::StateChange,
            reader::{HeadRead, ReadError},
            sync::TableSync,
        },
    },
    async_trait::async_trait,
    base::RowVersion,
    infra::{CommitOutcome, PlatformError},
    peer::ClusterState,
    rand::Rng,
    snafu::Snafu,
    std::{sync::Arc, time::Duration},
    tokio::{sync::Semaphore, time::sleep},
};

/// Longest wait after the first try, in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest wait between two tries, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_600;

/// Why a change was given up.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// Nothing of the change took effect, and nothing will.
    #[snafu(display("nothing was written: {detail}"))]
    NotWritten {
        /// What went wrong.
        detail: String,
    },
    /// The change may have taken effect or may still do so.
    #[snafu(display("whether it was written is not known: {detail}"))]
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

/// What a proposal wants, given the newest state.
#[derive(Debug)]
pub enum Draft<T> {
    /// Commit this.
    Commit(Box<StateChange>),
    /// Nothing is left to do.
    Done(T),
}

/// A change that is worked out anew on each newer state until the state shows it.
#[async_trait]
pub trait ChangeProposal: Send {
    /// What the writer learns in the end.
    type Outcome: Send;

    /// Looks at the newest state: either the change to commit on top of it, or, when the state shows
    /// that the change took effect or must not be made, the outcome.
    async fn draft(&mut self, state: &ClusterState) -> Result<Draft<Self::Outcome>, ReadError>;
}

/// Commits changes one after another.
///
/// Every transaction expects the version of the head row that its draft was made from. When an
/// answer is lost, the head is read again: while it stands still the same change is sent again, for
/// at most one of them can take effect; once it has moved, the draft sees whether the change did.
#[derive(Clone)]
pub struct ChangeWriter {
    sync: TableSync,
    turn: Arc<Semaphore>,
}

/// What became of one try.
enum TryOutcome<T> {
    Done(T),
    Committed,
    Conflict,
    NotWritten(String),
    /// It may take effect as long as the head row has this version.
    Unknown(RowVersion, String),
}

impl ChangeWriter {
    /// A writer that reads through `sync`.
    pub fn new(sync: TableSync) -> Self {
        Self { sync, turn: Arc::new(Semaphore::new(1)) }
    }

    /// The reader and the node's copy.
    pub fn sync(&self) -> &TableSync {
        &self.sync
    }

    /// Brings a proposal about, trying for at most `limit`.
    pub async fn commit<P: ChangeProposal>(
        &self,
        mut proposal: P,
        limit: Duration,
    ) -> Result<P::Outcome, WriteError> {
        let _turn = self.turn.acquire().await.expect("the semaphore is never closed");
        let node = self.sync.node();
        let deadline = node.now() + limit;
        let mut doubt = None;
        let mut longest_ms = FIRST_PAUSE_MS;
        loop {
            let detail = match self.attempt(&mut proposal, &mut doubt).await {
                TryOutcome::Done(outcome) => return Ok(outcome),
                TryOutcome::Committed => continue,
                TryOutcome::Conflict => "others kept changing the state".to_owned(),
                TryOutcome::NotWritten(detail) => detail,
                TryOutcome::Unknown(version, detail) => {
                    doubt = Some(version);
                    detail
                }
            };
            if node.now() >= deadline {
                return match doubt {
                    Some(_) => UnknownSnafu { detail }.fail(),
                    None => NotWrittenSnafu { detail }.fail(),
                };
            }
            let pause_ms = rand::rng().random_range(1..=longest_ms);
            longest_ms = (longest_ms * 2).min(LONGEST_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn attempt<P: ChangeProposal>(
        &self,
        proposal: &mut P,
        doubt: &mut Option<RowVersion>,
    ) -> TryOutcome<P::Outcome> {
        let read = match self.sync.refresh().await {
            Ok(read) => read,
            Err(error) => return TryOutcome::NotWritten(error.to_string()),
        };
        // A transaction that expects an older version can no longer take effect.
        *doubt = doubt.filter(|version| *version == read.version);
        let state = self.sync.node().state();
        if state.head.number != read.head.number {
            return TryOutcome::Conflict;
        }
        match proposal.draft(&state).await {
            Ok(Draft::Done(outcome)) => TryOutcome::Done(outcome),
            Ok(Draft::Commit(change)) => self.send(*change, read).await,
            Err(error) => TryOutcome::NotWritten(error.to_string()),
        }
    }

    async fn send<T>(&self, mut change: StateChange, read: HeadRead) -> TryOutcome<T> {
        let node = self.sync.node();
        let transaction = change.transaction(read.version, node.in_force());
        let sent = node.now();
        match self.sync.reader().table().commit(transaction).await {
            Ok(CommitOutcome::Committed { .. }) => {
                let number = change.next.head.number;
                node.hold(Arc::new(change.next));
                node.record_read(sent, number);
                TryOutcome::Committed
            }
            Ok(CommitOutcome::Conflict { .. }) => TryOutcome::Conflict,
            Err(error @ (PlatformError::Unknown { .. } | PlatformError::Unreadable { .. })) => {
                TryOutcome::Unknown(read.version, error.to_string())
            }
            Err(error) => TryOutcome::NotWritten(error.to_string()),
        }
    }
}
