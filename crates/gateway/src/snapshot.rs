//! The state a request is decided on: one consistent copy, replaced as a whole.

use {
    crate::{admission_queue::AdmissionQueue, evidence::HeadEvidence, workspace::WorkspaceState},
    base::{CallerName, FabricDomainId, HeadNumber, ModelName, ServiceName, WorkspaceId},
    conf::ticket::ServiceSpec,
    peer::{ClusterState, DomainDigest, DomainRecord, GatewayEntry, HostTable},
    route::{RouteTable, TargetList},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// SHA-256 of a bearer key.
pub type KeyDigest = [u8; 32];

/// Who sends a request.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// The caller.
    pub caller: CallerName,
    /// The caller's workspace.
    pub workspace: Arc<WorkspaceState>,
}

/// One copy of everything that requests are decided on.
#[derive(Debug, Default)]
pub struct RoutingSnapshot {
    /// The durable state.
    pub cluster: Arc<ClusterState>,
    /// How long that state may be acted on.
    pub evidence: Arc<HeadEvidence>,
    /// The newest record of each fabric domain.
    pub records: BTreeMap<FabricDomainId, Arc<DomainRecord>>,
    /// The host list, as the controller last read it.
    pub hosts: Arc<HostTable>,
    /// Gateways that callers may be sent to.
    pub gateways: Arc<Vec<GatewayEntry>>,
    pub(crate) callers: HashMap<KeyDigest, CallerIdentity>,
    pub(crate) groups: Arc<RouteTable>,
    pub(crate) servers: Arc<RouteTable>,
    pub(crate) rooms: HashMap<ModelName, Arc<AdmissionQueue>>,
    pub(crate) workspaces: HashMap<WorkspaceId, Arc<WorkspaceState>>,
}

impl RoutingSnapshot {
    /// The head whose state this is.
    pub fn head(&self) -> HeadNumber {
        self.cluster.head.number
    }

    /// Who has the key with this digest.
    pub fn caller(&self, digest: &KeyDigest) -> Option<&CallerIdentity> {
        self.callers.get(digest)
    }

    /// Whether any set of groups for `model` may serve the workspace.
    pub fn knows_model(&self, model: &ModelName, workspace: &WorkspaceId) -> bool {
        self.cluster
            .desired
            .group_sets
            .values()
            .any(|set| set.model == *model && may_use(&set.workspaces, workspace))
    }

    /// The groups that take requests of the workspace for `model`.
    pub fn group_list(&self, model: &ModelName, workspace: &WorkspaceId) -> Option<&TargetList> {
        self.groups.list(model, workspace)
    }

    /// The servers that take calls of a plain service; see [`service_class`].
    pub fn server_list(&self, class: &ModelName, workspace: &WorkspaceId) -> Option<&TargetList> {
        self.servers.list(class, workspace)
    }

    /// Every group and server that takes requests.
    pub fn tables(&self) -> [&RouteTable; 2] {
        [&self.groups, &self.servers]
    }

    /// Where requests for a model or a service wait.
    pub fn room(&self, class: &ModelName) -> Option<&Arc<AdmissionQueue>> {
        self.rooms.get(class)
    }

    /// The service, if the workspace may call it.
    pub fn service(&self, name: &ServiceName, workspace: &WorkspaceId) -> Option<&ServiceSpec> {
        let spec = self.cluster.desired.services.get(name)?;
        may_use(&spec.workspaces, workspace).then_some(spec)
    }

    /// How new each record is, as told to a controller.
    pub fn digests(&self) -> Vec<DomainDigest> {
        self.records
            .values()
            .map(|record| DomainDigest {
                domain: record.domain.clone(),
                term: record.term,
                sequence: record.sequence,
            })
            .collect()
    }
}

/// An empty list means all workspaces.
fn may_use(allowed: &[WorkspaceId], workspace: &WorkspaceId) -> bool {
    allowed.is_empty() || allowed.contains(workspace)
}

/// The class of a plain service; no model has such a name.
pub fn service_class(name: &ServiceName) -> ModelName {
    let class = format!("service/{name}");
    ModelName::new(&class).unwrap_or_else(|_| ModelName::new("service").expect("a literal"))
}
