//! The planned stop of a controller.

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

/// Time between two looks at whether the hand-over is in force.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Time kept back for leaving the view.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Hands this node's fabric domains to `able` members, waits until that is in force, falls silent
/// and leaves the view; gives up on what cannot be done within `limit`.
pub async fn stop_member(
    writer: &ChangeWriter,
    able: Vec<MemberId>,
    limit: Duration,
    answers: &CancellationToken,
) {
    let node = writer.sync().node();
    if !node.is_member() {
        return;
    }
    let me = node.me();
    let deadline = node.now() + limit.saturating_sub(LEAVE_LIMIT);
    let proposal = HandoverProposal { me: me.clone(), able };
    let left = deadline.since(node.now());
    match writer.commit(proposal, left).await {
        Ok(()) => wait_in_force(writer, deadline).await,
        Err(error) => tracing::warn!(%error, "fabric domains were not handed over"),
    }
    // A member that left must never answer again, so it falls silent first.
    answers.cancel();
    let goodbye = LeftMember { member: me, reason: LeaveReason::Stopped };
    if let Err(error) = writer.commit(LeaveProposal::new(vec![goodbye]), LEAVE_LIMIT).await {
        tracing::warn!(%error, "left without leaving the view; others will take this member out");
    }
}

async fn wait_in_force(writer: &ChangeWriter, deadline: Tick) {
    let node = writer.sync().node();
    let head = node.state().head.number;
    while node.outlook(head) != ForceOutlook::InForce {
        if node.now() >= deadline {
            tracing::warn!(%head, "the hand-over is not in force yet");
            return;
        }
        sleep(LOOK_PERIOD).await;
    }
}
