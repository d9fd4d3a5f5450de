//! Requests shares of the workspaces' limits and applies the grants.

use {
    crate::snapshot::RoutingSnapshot,
    base::{Tick, WorkspaceId},
    peer::{ShareDemand, ShareGrant},
    route::{Share, ShareRequest, ShareRequester},
    std::{collections::HashMap, time::Duration},
};

/// The share requesters of this gateway, one for each workspace. Owned by the polling task.
#[derive(Debug, Default)]
pub struct ShareRequesters {
    requesters: HashMap<WorkspaceId, ShareRequester>,
}

impl ShareRequesters {
    /// Returns the share requests to send with a poll: at most one for each workspace, and none for
    /// a workspace that is idle and whose last request was answered.
    pub fn demands(&mut self, snapshot: &RoutingSnapshot, now: Tick) -> Vec<ShareDemand> {
        self.requesters.retain(|id, _| snapshot.workspaces.contains_key(id));
        let view = snapshot.cluster.view.number;
        let mut demands = Vec::new();
        for (id, workspace) in &snapshot.workspaces {
            let requester =
                self.requesters.entry(id.clone()).or_insert_with(|| ShareRequester::new(now));
            // Requests in the admission queue have passed the gate, which counts them as in flight, so
            // none are added as waiting.
            if let Some(request) = requester.next_request(&workspace.gate, 0, view, now) {
                demands.push(demand(id, &request));
            }
        }
        demands
    }

    /// Applies grants to the workspaces' gates. A grant's validity starts at the time at which its
    /// request was first sent.
    pub fn apply_grants(&mut self, snapshot: &RoutingSnapshot, grants: &[ShareGrant]) {
        for grant in grants {
            let Some(workspace) = snapshot.workspaces.get(&grant.workspace) else { continue };
            let Some(requester) = self.requesters.get_mut(&grant.workspace) else { continue };
            let share = Share {
                requests_per_second: grant.requests_per_second,
                in_flight: grant.in_flight,
            };
            let validity = Duration::from_millis(u64::from(grant.valid_ms));
            requester.apply_grant(&workspace.gate, grant.order, share, validity);
        }
    }
}

fn demand(workspace: &WorkspaceId, request: &ShareRequest) -> ShareDemand {
    ShareDemand {
        workspace: workspace.clone(),
        requests_per_second: request.demand.requests_per_second,
        in_flight: request.demand.in_flight,
        holding_per_second: request.holding.requests_per_second,
        holding_in_flight: request.holding.in_flight,
        order: request.order,
        view: request.view,
    }
}
