//! Counters and limits of each workspace, which persist when a new snapshot replaces the old one.

use {
    base::{Tick, WorkspaceId},
    conf::ticket::WorkspaceLimits,
    peer::message::BASE_SHARE_PERCENT,
    route::{RetryBudget, Share, ShareGate},
    std::sync::Arc,
};

/// Maximum number of retries in a workspace's budget.
const MAX_SAVED_RETRIES: u32 = 10;

/// Counters and limits of one workspace in this process.
#[derive(Debug)]
pub struct WorkspaceState {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Budget for retries, which grows with first attempts.
    pub retries: RetryBudget,
    /// Admits requests under this gateway's share of the workspace's limit.
    pub gate: Arc<ShareGate>,
}

impl WorkspaceState {
    /// Creates the state of a new workspace, whose share is zero until [`Self::set_limits`]. Each
    /// first attempt adds `retry_percent` hundredths of a retry to the budget.
    pub fn new(id: WorkspaceId, retry_percent: u32, now: Tick) -> Self {
        Self {
            id,
            retries: RetryBudget::new(retry_percent, MAX_SAVED_RETRIES),
            gate: Arc::new(ShareGate::new(Share::default(), now)),
        }
    }

    /// Sets the share that this gateway has without a grant: an equal part for each of `members`
    /// nodes of [`BASE_SHARE_PERCENT`] hundredths of the limit.
    pub fn set_limits(&self, limits: &WorkspaceLimits, members: usize) {
        let limit =
            Share { requests_per_second: limits.requests_per_second, in_flight: limits.in_flight };
        self.gate.set_base(Share::base_part(limit, BASE_SHARE_PERCENT, members));
    }
}
