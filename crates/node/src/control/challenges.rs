//! Asks silent owners through the store whether they still run, and removes those that do not answer.
//!
//! Silence can't tell a dead owner from a cut. The process that would follow it writes a challenge, which an
//! owner that reaches the store answers by writing its member row again. The removal of the member row
//! expects the challenge as it was written: an answer that comes before it, in the order of the store,
//! prevents it, however late it is carried out.

use {
    super::{ControlEvent, ControlLoop, claims::mark_era},
    crate::{
        ports::EngineAccess,
        presence::Vantage,
        rows::{ChallengeRow, RowName, RowOwner, read_value},
    },
    base::{HostId, Incarnation, RowVersion, StoreEra, Tick},
    infra::{CommitOutcome, StoredRow, TableStore, Transaction},
    std::time::Duration,
    tracing::{info, warn},
};

/// How long a challenged process has to answer, from the store's response on, where most processes hear one
/// another and not this one. It reads the challenge and writes its answer within a fraction of this while
/// its watch of the rows works.
const MAJORITY_ANSWER_TIME: Duration = Duration::from_millis(800);
/// The same where most processes are silent, so that the process that asks may be the one that is cut off. A
/// watch of the rows that has to be opened again answers within this time.
const MINORITY_ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a write without a response, which may still take effect.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause after an answer: the process runs, and only the way between it and this one is cut.
const ANSWERED_PAUSE: Duration = Duration::from_secs(10);

/// A challenge that this process has sent, or found in the store.
#[derive(Debug)]
pub(super) struct SentChallenge {
    incarnation: Incarnation,
    phase: ChallengePhase,
}

#[derive(Clone, Copy, Debug)]
enum ChallengePhase {
    /// A write is under way, or the next one has to wait.
    Paused { until: Tick },
    /// The store has the challenge.
    Standing { version: RowVersion, since: Tick },
}

/// The end of a write.
pub(super) enum ChallengeEvent {
    /// The store has a challenge.
    Standing { process: RowOwner, version: RowVersion },
    /// A process that did not answer was removed.
    Removed { process: RowOwner },
    /// The store has no challenge any more.
    Answered { process: RowOwner },
}

impl<T, E> ControlLoop<T, E>
where
    T: TableStore + 'static,
    E: EngineAccess,
{
    /// Challenges a silent owner, or removes it once it has not answered in time.
    pub(super) fn challenge(
        &mut self,
        owner: &RowOwner,
        vantage: Vantage,
        era: StoreEra,
        now: Tick,
    ) {
        let answer_time = match vantage {
            Vantage::Majority => MAJORITY_ANSWER_TIME,
            Vantage::Minority => MINORITY_ANSWER_TIME,
        };
        let sent = self.challenges.get(&owner.node);
        let phase =
            sent.filter(|sent| sent.incarnation == owner.incarnation).map(|sent| sent.phase);
        match phase {
            Some(ChallengePhase::Paused { until }) if now < until => {}
            Some(ChallengePhase::Standing { since, .. }) if now.since(since) < answer_time => {}
            Some(ChallengePhase::Standing { version, .. }) => {
                self.set_phase(owner, ChallengePhase::Paused { until: now + RETRY_PAUSE });
                self.remove_process(owner, version, era);
            }
            Some(ChallengePhase::Paused { .. }) | None => {
                match self.view.with(|state| state.challenge_of(owner)) {
                    // Another process asks the same.
                    Some(version) => {
                        let phase = ChallengePhase::Standing { version, since: now };
                        self.set_phase(owner, phase);
                    }
                    None => {
                        self.set_phase(owner, ChallengePhase::Paused { until: now + RETRY_PAUSE });
                        self.write_challenge(owner, era);
                    }
                }
            }
        }
    }

    /// Applies the end of a write, unless the owner was heard meanwhile.
    pub(super) fn handle_challenge(&mut self, event: ChallengeEvent) {
        let now = self.clock.now();
        match event {
            ChallengeEvent::Standing { process, version } => {
                if self.challenges.contains_key(&process.node) {
                    let phase = ChallengePhase::Standing { version, since: now };
                    self.set_phase(&process, phase);
                }
            }
            ChallengeEvent::Removed { process } => {
                info!(decision = "process-removed", node = %process.node, "state");
                self.view.with(|state| state.remove_process(&process));
            }
            ChallengeEvent::Answered { process } => {
                info!(decision = "challenge-answered", node = %process.node, "state");
                let phase = ChallengePhase::Paused { until: now + ANSWERED_PAUSE };
                self.set_phase(&process, phase);
            }
        }
    }

    fn set_phase(&mut self, process: &RowOwner, phase: ChallengePhase) {
        let sent = SentChallenge { incarnation: process.incarnation, phase };
        self.challenges.insert(process.node.clone(), sent);
    }

    /// Starts the write of a challenge, unless there is one. Replaces that of an earlier incarnation.
    fn write_challenge(&self, process: &RowOwner, era: StoreEra) {
        info!(decision = "process-challenged", node = %process.node, "state");
        let row = ChallengeRow { incarnation: process.incarnation, asked_by: self.own.clone() };
        let value = serde_json::to_string(&row).expect("a row of plain values always serializes");
        let key = RowName::Challenge(process.node.clone()).key();
        let known =
            self.view.with(|state| state.challenges.get(&process.node).map(|row| row.version));
        let expected = known.unwrap_or(RowVersion(0));
        let transaction = Transaction::default().expect(key.clone(), expected).put(key, value);
        self.commit(process, transaction, era, |process, version| ChallengeEvent::Standing {
            process,
            version,
        });
    }

    /// Starts the removal of a process whose challenge stands unanswered.
    fn remove_process(&self, process: &RowOwner, challenge: RowVersion, era: StoreEra) {
        let question = RowName::Challenge(process.node.clone()).key();
        let member = RowName::Member(process.node.clone()).key();
        let mut transaction = Transaction::default().expect(question.clone(), challenge);
        if let Some(version) = self.member_version(&process.node) {
            transaction = transaction.expect(member.clone(), version);
        }
        let transaction = mark_era(transaction.delete(member).delete(question), era);
        self.commit(process, transaction, era, |process, _| ChallengeEvent::Removed { process });
    }

    fn member_version(&self, node: &HostId) -> Option<RowVersion> {
        self.view.with(|state| state.members.expected_version(node))
    }

    /// Starts a transaction about a process. `event` makes the event of its success from the version of
    /// the written rows. After a conflict the challenge that the store has stands from then on; if it has
    /// none, the process has answered.
    fn commit(
        &self,
        process: &RowOwner,
        transaction: Transaction,
        era: StoreEra,
        event: impl FnOnce(RowOwner, RowVersion) -> ChallengeEvent + Send + 'static,
    ) {
        let (table, events, process) = (self.table.clone(), self.events.clone(), process.clone());
        tokio::spawn(async move {
            let end = match table.commit(transaction).await {
                Ok(CommitOutcome::Committed { version, era: at }) if at == era => {
                    event(process, version)
                }
                // The store came back from an older copy in between.
                Ok(CommitOutcome::Committed { .. }) => return,
                Ok(CommitOutcome::Conflict { rows, .. }) => {
                    match rows.iter().find_map(|row| read_challenge(row, &process.node)) {
                        Some((row, version)) if row.incarnation == process.incarnation => {
                            ChallengeEvent::Standing { process, version }
                        }
                        // Of an earlier incarnation; the row watch will show it.
                        Some(_) => return,
                        None => ChallengeEvent::Answered { process },
                    }
                }
                Err(error) => {
                    warn!(node = %process.node, why = %error, "failed to write about a silent process");
                    return;
                }
            };
            // Sending fails only after the control loop has ended.
            let _ = events.send(ControlEvent::Challenge(end));
        });
    }
}

/// Decodes a row that is the challenge of a process.
fn read_challenge(row: &StoredRow, node: &HostId) -> Option<(ChallengeRow, RowVersion)> {
    if row.key != RowName::Challenge(node.clone()).key() {
        return None;
    }
    Some((read_value(&row.key, &row.value)?, row.version))
}
