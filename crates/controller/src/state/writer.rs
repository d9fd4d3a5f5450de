//! Commits changes of the durable state, and finds out whether one took effect when the answer of the
//! table service is lost.

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

/// Upper bound of the random wait after the first attempt; it doubles with each further attempt.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Upper bound of the random wait between any two attempts.
const MAX_BACKOFF_MS: u64 = 1_600;

/// Why the writer stopped before a proposal was complete.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The change did not take effect and cannot do so later.
    #[snafu(display("nothing was written: {detail}"))]
    NotWritten {
        /// Error of the last attempt.
        detail: String,
    },
    /// The change may have taken effect, or may still take effect.
    #[snafu(display("whether it was written is not known: {detail}"))]
    Unknown {
        /// Error of the last attempt.
        detail: String,
    },
}

/// Decision of a proposal, based on the newest state.
#[derive(Debug)]
pub enum ProposalDecision<T> {
    /// Commit this change, which is based on that state.
    Commit(Box<StateChange>),
    /// The state shows that the change took effect or must not be made.
    Done(T),
}

/// An intended change. The writer has it computed again for each newer state, until the state shows
/// that it took effect.
#[async_trait]
pub trait ChangeProposal: Send {
    /// Result that the writer returns to its caller.
    type Outcome: Send;

    /// Decides, based on the newest state, whether there is a change to commit or what the outcome is.
    async fn decide(
        &mut self,
        state: &ClusterState,
    ) -> Result<ProposalDecision<Self::Outcome>, ReadError>;
}

/// Commits proposals one at a time.
///
/// Every transaction expects the version of the head row that its change is based on. When an answer
/// is lost, the writer reads the head row again. If the row is unchanged, the change is sent again,
/// since at most one of the copies can take effect. If the row has changed, the proposal decides from
/// the new state whether its change took effect.
#[derive(Clone)]
pub struct ChangeWriter {
    sync: TableSync,
    /// Lets one commit run at a time, also among clones of this writer.
    permit: Arc<Semaphore>,
}

/// Result of one attempt to commit a proposal.
enum AttemptOutcome<T> {
    Done(T),
    Committed,
    Conflict,
    NotWritten(String),
    /// The answer was lost. The change may have taken effect, or may still do so while the head row has
    /// this version.
    Unknown(RowVersion, String),
}

impl ChangeWriter {
    /// Creates a writer that updates the node's copy with `sync` before each attempt.
    pub fn new(sync: TableSync) -> Self {
        Self { sync, permit: Arc::new(Semaphore::new(1)) }
    }

    /// Access to the reader and the node that this writer uses.
    pub fn sync(&self) -> &TableSync {
        &self.sync
    }

    /// Commits a proposal, with repeated attempts until it is done or `limit` has passed.
    pub async fn commit<P: ChangeProposal>(
        &self,
        mut proposal: P,
        limit: Duration,
    ) -> Result<P::Outcome, WriteError> {
        let _permit = self.permit.acquire().await.expect("the semaphore is never closed");
        let node = self.sync.node();
        let deadline = node.now() + limit;
        // Head row version that a change with a lost answer expected. The change can still take
        // effect while the row has this version.
        let mut undecided = None;
        let mut max_pause_ms = INITIAL_BACKOFF_MS;
        loop {
            let detail = match self.attempt(&mut proposal, &mut undecided).await {
                AttemptOutcome::Done(outcome) => return Ok(outcome),
                AttemptOutcome::Committed => continue,
                AttemptOutcome::Conflict => "others kept changing the state".to_owned(),
                AttemptOutcome::NotWritten(detail) => detail,
                AttemptOutcome::Unknown(version, detail) => {
                    undecided = Some(version);
                    detail
                }
            };
            if node.now() >= deadline {
                return match undecided {
                    Some(_) => UnknownSnafu { detail }.fail(),
                    None => NotWrittenSnafu { detail }.fail(),
                };
            }
            let pause_ms = rand::rng().random_range(1..=max_pause_ms);
            max_pause_ms = (max_pause_ms * 2).min(MAX_BACKOFF_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn attempt<P: ChangeProposal>(
        &self,
        proposal: &mut P,
        undecided: &mut Option<RowVersion>,
    ) -> AttemptOutcome<P::Outcome> {
        let read = match self.sync.refresh().await {
            Ok(read) => read,
            Err(error) => return AttemptOutcome::NotWritten(error.to_string()),
        };
        // A transaction that expects an older version can no longer take effect.
        *undecided = undecided.filter(|version| *version == read.version);
        let state = self.sync.node().state();
        if state.head.number != read.head.number {
            return AttemptOutcome::Conflict;
        }
        match proposal.decide(&state).await {
            Ok(ProposalDecision::Done(outcome)) => AttemptOutcome::Done(outcome),
            Ok(ProposalDecision::Commit(change)) => self.send(*change, read).await,
            Err(error) => AttemptOutcome::NotWritten(error.to_string()),
        }
    }

    async fn send<T>(&self, mut change: StateChange, read: HeadRead) -> AttemptOutcome<T> {
        let node = self.sync.node();
        let transaction = change.transaction(read.version, node.in_force());
        let sent = node.now();
        match self.sync.reader().table().commit(transaction).await {
            Ok(CommitOutcome::Committed { .. }) => {
                let number = change.next.head.number;
                node.hold(Arc::new(change.next));
                node.record_read(sent, number);
                AttemptOutcome::Committed
            }
            Ok(CommitOutcome::Conflict { .. }) => AttemptOutcome::Conflict,
            Err(error @ (PlatformError::Unknown { .. } | PlatformError::Unreadable { .. })) => {
                AttemptOutcome::Unknown(read.version, error.to_string())
            }
            Err(error) => AttemptOutcome::NotWritten(error.to_string()),
        }
    }
}
