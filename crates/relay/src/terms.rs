//! What callers are promised: goals of routes, and the priorities of routes and workspaces.

use {
    base::WorkspaceId,
    scarce::PriorityLevel,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{collections::HashMap, time::Duration},
};

/// What callers of one route are promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTerms {
    /// Time from a request to the first event of its answer within which the answer is in time.
    pub goal: Duration,
    /// Priority of its requests; that of a workspace goes before it.
    pub level: PriorityLevel,
}

/// The goals and priorities of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingTerms {
    /// By name of the route; a route without a goal is not listed.
    routes: HashMap<SmolStr, RouteTerms>,
    /// Workspaces that have a priority of their own.
    workspaces: HashMap<WorkspaceId, PriorityLevel>,
}

impl ServingTerms {
    /// Indexes the terms of routes by their names, and the priorities of workspaces.
    pub fn new(
        routes: impl IntoIterator<Item = (SmolStr, RouteTerms)>,
        workspaces: impl IntoIterator<Item = (WorkspaceId, PriorityLevel)>,
    ) -> Self {
        Self { routes: routes.into_iter().collect(), workspaces: workspaces.into_iter().collect() }
    }

    /// The terms for a request of `workspace`; `None` if its route has no goal.
    pub fn find(&self, route: &str, workspace: Option<&WorkspaceId>) -> Option<RouteTerms> {
        let terms = *self.routes.get(route)?;
        let level = workspace.and_then(|name| self.workspaces.get(name));
        Some(RouteTerms { level: level.copied().unwrap_or(terms.level), ..terms })
    }
}
