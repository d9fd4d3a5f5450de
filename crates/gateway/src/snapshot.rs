//! An immutable copy of the state by which requests are authorised and routed.

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

/// SHA-256 digest of a caller's bearer key. The keys themselves are not part of the state.
pub type KeyDigest = [u8; 32];

/// The sender of a request, identified by its bearer key.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// Name of the caller, from the workspace's entry in the desired state.
    pub caller: CallerName,
    /// The workspace whose limits and permissions apply.
    pub workspace: Arc<WorkspaceState>,
}

/// The known state at one time, with indexes for lookups by requests.
///
/// An update from a controller creates a new snapshot; existing ones do not change, apart from the
/// counters and the evidence that they share.
#[derive(Debug, Default)]
pub struct RoutingSnapshot {
    /// The durable state: desired state, view and ownership.
    pub cluster: Arc<ClusterState>,
    /// Evidence that the head of `cluster` is the newest; new work is refused after it expires.
    pub evidence: Arc<HeadEvidence>,
    /// The newest known record of each fabric domain, which lists its serving groups.
    pub records: BTreeMap<FabricDomainId, Arc<DomainRecord>>,
    /// The host list as the controller last read it: servers of plain services and leaving hosts.
    pub hosts: Arc<HostTable>,
    /// Gateways whose addresses are given to callers.
    pub gateways: Arc<Vec<GatewayEntry>>,
    pub(crate) callers: HashMap<KeyDigest, CallerIdentity>,
    pub(crate) groups: Arc<RouteTable>,
    pub(crate) servers: Arc<RouteTable>,
    pub(crate) queues: HashMap<ModelName, Arc<AdmissionQueue>>,
    pub(crate) workspaces: HashMap<WorkspaceId, Arc<WorkspaceState>>,
}

impl RoutingSnapshot {
    /// Number of the state head of [`Self::cluster`].
    pub fn head(&self) -> HeadNumber {
        self.cluster.head.number
    }

    /// Finds the caller whose bearer key has this digest.
    pub fn caller(&self, digest: &KeyDigest) -> Option<&CallerIdentity> {
        self.callers.get(digest)
    }

    /// Whether the desired state has a group set for `model` that the workspace may use. Its groups
    /// may all be down.
    pub fn has_model(&self, model: &ModelName, workspace: &WorkspaceId) -> bool {
        self.cluster
            .desired
            .group_sets
            .values()
            .any(|set| set.model == *model && is_allowed(&set.workspaces, workspace))
    }

    /// The serving groups that the workspace may use for `model`, or `None` if there are none.
    pub fn group_list(&self, model: &ModelName, workspace: &WorkspaceId) -> Option<&TargetList> {
        self.groups.list(model, workspace)
    }

    /// The servers of a plain service that the workspace may use, or `None` if there are none.
    /// `class` is the result of [`service_class`].
    pub fn server_list(&self, class: &ModelName, workspace: &WorkspaceId) -> Option<&TargetList> {
        self.servers.list(class, workspace)
    }

    /// The table of serving groups and the table of plain services' servers, in this order.
    pub fn tables(&self) -> [&RouteTable; 2] {
        [&self.groups, &self.servers]
    }

    /// The admission queue of a model or a service.
    pub fn queue(&self, class: &ModelName) -> Option<&Arc<AdmissionQueue>> {
        self.queues.get(class)
    }

    /// Returns the specification of a service if the workspace may call it.
    pub fn service(&self, name: &ServiceName, workspace: &WorkspaceId) -> Option<&ServiceSpec> {
        let spec = self.cluster.desired.services.get(name)?;
        is_allowed(&spec.workspaces, workspace).then_some(spec)
    }

    /// Term and sequence number of each record, by which a controller finds the records to send.
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

/// Whether a list of allowed workspaces contains `workspace`. An empty list allows all.
fn is_allowed(allowed: &[WorkspaceId], workspace: &WorkspaceId) -> bool {
    allowed.is_empty() || allowed.contains(workspace)
}

/// The class name of a plain service: `service/` and its name, or just `service` if that is too long.
/// Models are assumed not to have such names.
pub fn service_class(name: &ServiceName) -> ModelName {
    let class = format!("service/{name}");
    ModelName::new(&class).unwrap_or_else(|_| ModelName::new("service").expect("a literal"))
}
