//! Removes members from the view.

use {
    crate::state::{
        change::StateChange,
        reader::ReadError,
        writer::{ChangeProposal, ProposalDecision},
    },
    async_trait::async_trait,
    peer::{ClusterState, LeftMember},
};

/// Removes members from the view, and ignores those that are not in it any more.
pub struct LeaveProposal {
    left: Vec<LeftMember>,
}

impl LeaveProposal {
    /// Creates a proposal to remove these members, each with the reason in its entry of `left`.
    pub fn new(left: Vec<LeftMember>) -> Self {
        Self { left }
    }
}

#[async_trait]
impl ChangeProposal for LeaveProposal {
    type Outcome = ();

    async fn decide(&mut self, state: &ClusterState) -> Result<ProposalDecision<()>, ReadError> {
        let in_view = |left: &&LeftMember| state.view.position(&left.member).is_some();
        let left: Vec<LeftMember> = self.left.iter().filter(in_view).cloned().collect();
        if left.is_empty() {
            return Ok(ProposalDecision::Done(()));
        }
        let mut change = StateChange::on(state);
        change.remove(left);
        Ok(ProposalDecision::Commit(Box::new(change)))
    }
}
