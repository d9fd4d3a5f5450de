//! Planned stop: handover of the fabric domains, then leaving the view.

use {
    crate::{
        groups::port::DomainAuthority,
        member::{leave::LeaveProposal, ownership::HandoverProposal},
        state::writer::ChangeWriter,
    },
    base::{MemberId, Tick},
    freshness::ForceOutlook,
    peer::{LeaveReason, LeftMember},
    std::time::Duration,
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Interval at which the node checks whether the handover is in force.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// Part of the stop's time limit that is reserved for leaving the view.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Hands this node's fabric domains over to `eligible` members, waits until that is in force, cancels
/// `answers` and leaves the view. A step that does not succeed in time is logged and skipped, so that
/// the stop ends within `limit`.
pub async fn stop_member(
    writer: &ChangeWriter,
    eligible: Vec<MemberId>,
    limit: Duration,
    answers: &CancellationToken,
) {
    let node = writer.sync().node();
    if !node.is_member() {
        return;
    }
    let me = node.me();
    let deadline = node.now() + limit.saturating_sub(LEAVE_TIMEOUT);
    let proposal = HandoverProposal { me: me.clone(), eligible };
    let remaining = deadline.since(node.now());
    match writer.commit(proposal, remaining).await {
        Ok(()) => wait_in_force(writer, deadline).await,
        Err(error) => tracing::warn!(%error, "fabric domains were not handed over"),
    }
    // A member that has left must never answer again, so answers end before it leaves.
    answers.cancel();
    let stopped = LeftMember { member: me, reason: LeaveReason::Stopped };
    if let Err(error) = writer.commit(LeaveProposal::new(vec![stopped]), LEAVE_TIMEOUT).await {
        tracing::warn!(%error, "could not leave the view before the stop; other members will remove this one");
    }
}

async fn wait_in_force(writer: &ChangeWriter, deadline: Tick) {
    let node = writer.sync().node();
    let head = node.state().head.number;
    while node.outlook(head) != ForceOutlook::InForce {
        if node.now() >= deadline {
            tracing::warn!(%head, "the handover is not in force yet; stopping anyway");
            return;
        }
        sleep(POLL_PERIOD).await;
    }
}
