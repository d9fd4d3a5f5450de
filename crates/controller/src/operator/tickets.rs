//! Submission of tickets, and the status of accepted ones.

use {
    crate::{
        groups::port::DomainAuthority,
        state::{
            change::StateChange,
            node::NodeCore,
            reader::{ReadError, StateReader},
            rows::{parse_row, submission_key},
            writer::{ChangeProposal, ChangeWriter, ProposalDecision, WriteError},
        },
    },
    admin::{SubmitRequest, TicketPage, TicketStatus, TicketView},
    async_trait::async_trait,
    base::{HeadNumber, TicketNumber},
    conf::{check_ticket, ticket::ChangeTicket},
    freshness::ForceOutlook,
    peer::ClusterState,
    std::{sync::Arc, time::Duration},
};

/// Longest time for which a submission is retried before the outcome so far is returned.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of tickets on one page.
pub const MAX_PAGE: u64 = 100;

/// Definite result of a submission; an uncertain one is a [`WriteError::Unknown`].
enum SubmitOutcome {
    Committed(TicketNumber),
    Refused { reason: String, latest: Option<TicketNumber> },
}

/// Submits tickets and reports their status.
pub struct TicketService {
    node: Arc<NodeCore>,
    writer: ChangeWriter,
}

impl TicketService {
    /// Creates a service that commits through `writer`.
    pub fn new(writer: ChangeWriter) -> Self {
        Self { node: writer.sync().node().clone(), writer }
    }

    /// Submits a ticket. A ticket that is submitted again with the same submission id keeps its number.
    pub async fn submit(&self, request: SubmitRequest) -> TicketStatus {
        let Some(submission) = request.ticket.submission.clone() else {
            let reason = "the ticket has no submission id".to_owned();
            return TicketStatus::Refused { reason, latest: None };
        };
        let reader = self.writer.sync().reader().clone();
        let proposal = TicketProposal { reader, request };
        match self.writer.commit(proposal, SUBMIT_TIMEOUT).await {
            Ok(SubmitOutcome::Committed(number)) => self.status(number),
            Ok(SubmitOutcome::Refused { reason, latest }) => {
                TicketStatus::Refused { reason, latest }
            }
            Err(error @ WriteError::NotWritten { .. }) => {
                TicketStatus::Refused { reason: error.to_string(), latest: None }
            }
            Err(error @ WriteError::Unknown { .. }) => {
                TicketStatus::Unknown { submission, reason: error.to_string() }
            }
        }
    }

    /// Status of a committed ticket: accepted once its head is in force, pending until then.
    pub fn status(&self, number: TicketNumber) -> TicketStatus {
        let Some(head) = self.node.head_of_ticket(number) else {
            let missing = self.members();
            return TicketStatus::Pending { number, missing, remaining_ms: self.wait_ms() };
        };
        match self.node.outlook(head) {
            ForceOutlook::InForce => TicketStatus::Accepted { number },
            ForceOutlook::Waiting { remaining } => TicketStatus::Pending {
                number,
                missing: self.missing(head),
                remaining_ms: remaining.as_millis() as u64,
            },
            ForceOutlook::Unacknowledged => TicketStatus::Pending {
                number,
                missing: self.missing(head),
                remaining_ms: self.wait_ms(),
            },
        }
    }

    /// Reads one accepted ticket, with its status; `None` if the number is not used.
    pub async fn show(&self, number: TicketNumber) -> Result<Option<TicketView>, ReadError> {
        let accepted = self.writer.sync().reader().ticket(number).await?;
        Ok(accepted.map(|accepted| TicketView { status: self.status(accepted.number), accepted }))
    }

    /// Reads the accepted tickets with the next numbers after `after`, at most [`MAX_PAGE`].
    pub async fn list(&self, after: TicketNumber, limit: u64) -> Result<TicketPage, ReadError> {
        let limit = limit.clamp(1, MAX_PAGE);
        let range = after.0.saturating_add(1)..after.0.saturating_add(limit + 1);
        let accepted = self.writer.sync().reader().tickets(range).await?;
        let views = accepted
            .into_iter()
            .map(|accepted| TicketView { status: self.status(accepted.number), accepted });
        Ok(TicketPage { tickets: views.collect() })
    }

    fn missing(&self, head: HeadNumber) -> Vec<base::MemberId> {
        self.node.with_tracker(|tracker| tracker.missing(head))
    }

    fn members(&self) -> Vec<base::MemberId> {
        self.node.state().view.members.iter().map(|row| row.member.clone()).collect()
    }

    fn wait_ms(&self) -> u64 {
        let timing = &self.node.timing().fresh;
        (timing.window + timing.margin).as_millis() as u64
    }
}

struct TicketProposal {
    reader: StateReader,
    request: SubmitRequest,
}

impl TicketProposal {
    async fn number(&self) -> Result<Option<TicketNumber>, ReadError> {
        let Some(submission) = &self.request.ticket.submission else { return Ok(None) };
        let rows = self.reader.table().read(&[submission_key(submission)]).await?;
        Ok(rows.iter().flatten().next().map(parse_row).transpose()?)
    }

    fn refusal(&self, state: &ClusterState) -> Option<SubmitOutcome> {
        let latest = state.head.ticket;
        if self.request.expect.is_some_and(|expect| expect < latest) {
            let reason = format!("ticket {latest} was accepted meanwhile; look at it first");
            return Some(SubmitOutcome::Refused { reason, latest: Some(latest) });
        }
        let reason = ticket_errors(&self.request.ticket, state)?;
        Some(SubmitOutcome::Refused { reason, latest: None })
    }
}

#[async_trait]
impl ChangeProposal for TicketProposal {
    type Outcome = SubmitOutcome;

    async fn decide(
        &mut self,
        state: &ClusterState,
    ) -> Result<ProposalDecision<SubmitOutcome>, ReadError> {
        if let Some(number) = self.number().await? {
            return Ok(ProposalDecision::Done(SubmitOutcome::Committed(number)));
        }
        if let Some(refused) = self.refusal(state) {
            return Ok(ProposalDecision::Done(refused));
        }
        let mut change = StateChange::on(state);
        change.accept_ticket(self.request.ticket.clone());
        Ok(ProposalDecision::Commit(Box::new(change)))
    }
}

/// Checks a ticket against the desired state. Returns the report of the errors, if there are any.
fn ticket_errors(ticket: &ChangeTicket, state: &ClusterState) -> Option<String> {
    check_ticket(ticket, Some(&state.desired)).err().map(|report| report.to_string())
}
