//! Adds this node to the members of the deployment.

use {
    crate::state::{
        change::StateChange,
        reader::{ReadError, StateReader},
        rows::{IncarnationRow, incarnation_key, parse_row},
        writer::{ChangeProposal, ProposalDecision},
    },
    async_trait::async_trait,
    base::{Incarnation, MemberId, RowVersion},
    peer::{ClusterState, MemberRow},
    smol_str::SmolStr,
    uuid::Uuid,
};

/// Adds this process to the view under the host's next incarnation.
///
/// The proposal writes a random nonce into the host's incarnation row. If the answer to a commit is
/// lost, the nonce shows whether this process or another one wrote the row.
pub struct JoinProposal {
    reader: StateReader,
    row: MemberRow,
    nonce: SmolStr,
}

impl JoinProposal {
    /// Creates a proposal to join with `row`. Its incarnation is ignored and set from the table's row
    /// on each attempt.
    pub fn new(reader: StateReader, row: MemberRow) -> Self {
        Self { reader, row, nonce: SmolStr::new(Uuid::new_v4().simple().to_string()) }
    }
}

#[async_trait]
impl ChangeProposal for JoinProposal {
    type Outcome = MemberId;

    async fn decide(
        &mut self,
        state: &ClusterState,
    ) -> Result<ProposalDecision<MemberId>, ReadError> {
        let key = incarnation_key(&self.row.member.host);
        let found = self.reader.table().read(&[key]).await?.pop().flatten();
        let version = found.as_ref().map_or(RowVersion(0), |row| row.version);
        let last: Option<IncarnationRow> = found.as_ref().map(parse_row).transpose()?;
        if let Some(last) = &last
            && last.nonce == self.nonce
        {
            let host = self.row.member.host.clone();
            return Ok(ProposalDecision::Done(MemberId { host, incarnation: last.incarnation }));
        }
        let last = last.map_or(Incarnation(0), |last| last.incarnation);
        self.row.member.incarnation = last.next();
        let mut change = StateChange::on(state);
        change.join(self.row.clone(), &self.nonce, version);
        Ok(ProposalDecision::Commit(Box::new(change)))
    }
}
