//! Asks for shares of the workspaces' limits and takes the grants in.

use {
    crate::snapshot::RoutingSnapshot,
    base::{Tick, WorkspaceId},
    peer::{ShareDemand, ShareGrant},
    route::{Share, ShareRequest, ShareRequester},
    std::{collections::HashMap, time::Duration},
};

/// The asks of this gateway; owned by the task that polls.
#[derive(Debug, Default)]
pub struct ShareBook {
    askers: HashMap<WorkspaceId, ShareRequester>,
}

impl ShareBook {
    /// One line for each workspace that has something to ask now.
    pub fn demands(&mut self, snapshot: &RoutingSnapshot, now: Tick) -> Vec<ShareDemand> {
        self.askers.retain(|id, _| snapshot.workspaces.contains_key(id));
        let view = snapshot.cluster.view.number;
        let mut demands = Vec::new();
        for (id, workspace) in &snapshot.workspaces {
            let asker = self.askers.entry(id.clone()).or_insert_with(|| ShareRequester::new(now));
            if let Some(ask) = asker.next_request(&workspace.gate, 0, view, now) {
                demands.push(demand(id, &ask));
            }
        }
        demands
    }

    /// Takes grants in; each lasts from the moment its ask was first sent.
    pub fn take(&mut self, snapshot: &RoutingSnapshot, grants: &[ShareGrant]) {
        for grant in grants {
            let Some(workspace) = snapshot.workspaces.get(&grant.workspace) else { continue };
            let Some(asker) = self.askers.get_mut(&grant.workspace) else { continue };
            let share = Share {
                requests_per_second: grant.requests_per_second,
                in_flight: grant.in_flight,
            };
            let validity = Duration::from_millis(u64::from(grant.lasts_ms));
            asker.apply_grant(&workspace.gate, grant.order, share, validity);
        }
    }
}

fn demand(workspace: &WorkspaceId, ask: &ShareRequest) -> ShareDemand {
    ShareDemand {
        workspace: workspace.clone(),
        requests_per_second: ask.demand.requests_per_second,
        in_flight: ask.demand.in_flight,
        holding_per_second: ask.holding.requests_per_second,
        holding_in_flight: ask.holding.in_flight,
        order: ask.order,
        view: ask.view,
    }
}
