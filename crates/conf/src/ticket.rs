//! Change tickets, and the desired state that results from the accepted ones.
//!
//! A ticket contains the complete new state of each object that it sets. The desired state is the
//! result of all accepted tickets: a later ticket replaces what earlier ones set.

use {
    base::{
        AdapterName, CallerName, FabricDomainId, GroupSetName, ModelName, ModelVersion,
        RatePerSecond, ServiceName, SubmissionId, TicketNumber, Weight, WorkspaceId,
    },
    smol_str::SmolStr,
    std::{collections::BTreeMap, fmt},
};

base::value_type!(
    /// A change of the desired state, as an operator submits it.
    #[serde(deny_unknown_fields)]
    pub struct ChangeTicket {
        /// Identifies resubmissions of the same ticket; `gfctl` generates it if the file has none.
        #[serde(default)]
        pub submission: Option<SubmissionId>,
        /// Reason for the change, shown to operators; at most 4 KiB.
        #[serde(default)]
        pub note: SmolStr,
        /// Group sets to create or replace.
        #[serde(default)]
        pub group_sets: Vec<GroupSetSpec>,
        /// Workspaces to create or replace, including all their callers.
        #[serde(default)]
        pub workspaces: Vec<WorkspaceSpec>,
        /// Services to create or replace.
        #[serde(default)]
        pub services: Vec<ServiceSpec>,
        /// Replaces all deployment flags; absent flags in it get their defaults.
        #[serde(default)]
        pub flags: Option<DeploymentFlags>,
        /// Objects to remove; removing the flags resets them to their defaults.
        #[serde(default)]
        pub removed: Vec<ObjectName>,
    }
);

base::value_type!(
    /// Reference to an object that tickets can set or remove.
    #[derive(Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum ObjectName {
        /// Refers to an entry of `group_sets`.
        GroupSet(GroupSetName),
        /// Refers to an entry of `workspaces`.
        Workspace(WorkspaceId),
        /// Refers to an entry of `services`.
        Service(ServiceName),
        /// The deployment flags, which always exist.
        Flags,
    }
);

base::value_type!(
    /// A set of serving groups with the same model and size.
    #[serde(deny_unknown_fields)]
    pub struct GroupSetSpec {
        /// Unique among group sets.
        pub name: GroupSetName,
        /// The model that its groups serve; callers put it in the `model` field of requests.
        pub model: ModelName,
        /// Version of the weights that engines load.
        pub version: ModelVersion,
        /// Adapter loaded with the weights; absent for the plain model.
        #[serde(default)]
        pub adapter: Option<AdapterName>,
        /// Fabric domains in which its groups may be placed; empty means all.
        #[serde(default)]
        pub fabric_domains: Vec<FabricDomainId>,
        /// Desired number of groups in all fabric domains together.
        pub replicas: u32,
        /// Number of hosts in each group.
        pub hosts_per_group: u32,
        /// Value of one group relative to groups of other sets: the highest value gets hosts first,
        /// and the lowest is dissolved first. Default 1.
        #[serde(default = "default_weight")]
        pub value: Weight,
        /// Hosts kept free as spares in each fabric domain that has a group of the set.
        #[serde(default)]
        pub spares: u32,
        /// Maximum number of concurrent requests per group. Default 8.
        #[serde(default = "default_slots")]
        pub slots_per_group: u32,
        /// Workspaces that may use the set; empty means all.
        #[serde(default)]
        pub workspaces: Vec<WorkspaceId>,
    }
);

base::value_type!(
    /// A workspace, its callers and its limits.
    #[serde(deny_unknown_fields)]
    pub struct WorkspaceSpec {
        /// Unique among workspaces.
        pub name: WorkspaceId,
        /// The API clients that may send requests, at most 1000.
        #[serde(default)]
        pub callers: Vec<CallerSpec>,
        /// Limits that apply to all gateways together.
        #[serde(default)]
        pub limits: WorkspaceLimits,
        /// Weight when scarce capacity is shared between workspaces. Default 1.
        #[serde(default = "default_weight")]
        pub share: Weight,
    }
);

base::value_type!(
    /// An API client of a workspace.
    #[serde(deny_unknown_fields)]
    pub struct CallerSpec {
        /// Unique within the workspace.
        pub name: CallerName,
        /// SHA-256 of the caller's bearer token, as 64 lower-case hexadecimal digits.
        pub key_sha256: SmolStr,
    }
);

base::value_type!(
    /// Limits of a workspace for all gateways together.
    #[serde(default, deny_unknown_fields)]
    pub struct WorkspaceLimits {
        /// Maximum request rate. Default 100/s.
        pub requests_per_second: RatePerSecond,
        /// Maximum number of requests in flight. Default 200.
        pub in_flight: u32,
    }
);

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self { requests_per_second: RatePerSecond(100.0), in_flight: 200 }
    }
}

base::value_type!(
    /// A service other than the model engines; its servers come from the host list.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Name in the request path and in the host list.
        pub name: ServiceName,
        /// Workspaces that may call the service; empty means all.
        #[serde(default)]
        pub workspaces: Vec<WorkspaceId>,
        /// Maximum number of concurrent requests per server. Default 8.
        #[serde(default = "default_slots")]
        pub slots_per_server: u32,
        /// Whether calls without an idempotency key may be retried. Default false.
        #[serde(default)]
        pub idempotent: bool,
    }
);

base::value_type!(
    /// Deployment-wide settings that operators change by ticket.
    #[serde(default, deny_unknown_fields)]
    pub struct DeploymentFlags {
        /// Whether the engines check the fencing number of orders. Default `checked`.
        pub fencing: FencingMode,
        /// Weight of a second of group downtime against a second of an idle accelerator, 0 to 1.
        /// Default 0.5.
        pub downtime_weight: Weight,
        /// Rate of model loads that the weight store sustains, divided among the fabric
        /// domains. Default 20/s.
        pub weight_loads_per_second: RatePerSecond,
    }
);

impl Default for DeploymentFlags {
    fn default() -> Self {
        Self {
            fencing: FencingMode::Checked,
            downtime_weight: Weight(0.5),
            weight_loads_per_second: RatePerSecond(20.0),
        }
    }
}

base::value_type!(
    /// How engines treat an order with an outdated fencing number.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum FencingMode {
        /// Engines refuse the order.
        Checked,
        /// Engines accept the order without checking the number.
        Ignored,
    }
);

base::value_type!(
    /// A ticket that passed validation and got its number.
    pub struct AcceptedTicket {
        /// Position in the order of accepted tickets.
        pub number: TicketNumber,
        /// The submission id under which the ticket was accepted.
        pub submission: SubmissionId,
        /// The change as submitted.
        pub ticket: ChangeTicket,
    }
);

base::value_type!(
    /// The state of each object after all accepted tickets.
    #[derive(Default)]
    pub struct DesiredState {
        /// Number of the latest ticket applied; 0 before the first.
        pub ticket: TicketNumber,
        /// The group sets that exist, by name.
        pub group_sets: BTreeMap<GroupSetName, GroupSetSpec>,
        /// The workspaces that exist, by name.
        pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
        /// The services that exist, by name.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// The defaults until a ticket sets them.
        pub flags: DeploymentFlags,
    }
);

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GroupSet(name) => write!(f, "group set `{name}`"),
            Self::Workspace(name) => write!(f, "workspace `{name}`"),
            Self::Service(name) => write!(f, "service `{name}`"),
            Self::Flags => f.write_str("deployment flags"),
        }
    }
}

impl DesiredState {
    /// Returns whether the object exists; the deployment flags always do.
    pub fn has(&self, name: &ObjectName) -> bool {
        match name {
            ObjectName::GroupSet(name) => self.group_sets.contains_key(name),
            ObjectName::Workspace(name) => self.workspaces.contains_key(name),
            ObjectName::Service(name) => self.services.contains_key(name),
            ObjectName::Flags => true,
        }
    }

    /// Applies the next accepted ticket; ignores a ticket that is not newer than the last.
    pub fn apply(&mut self, accepted: &AcceptedTicket) {
        if accepted.number <= self.ticket {
            return;
        }
        self.ticket = accepted.number;
        let ticket = &accepted.ticket;
        for name in &ticket.removed {
            self.remove(name);
        }
        for spec in &ticket.group_sets {
            self.group_sets.insert(spec.name.clone(), spec.clone());
        }
        for spec in &ticket.workspaces {
            self.workspaces.insert(spec.name.clone(), spec.clone());
        }
        for spec in &ticket.services {
            self.services.insert(spec.name.clone(), spec.clone());
        }
        if let Some(flags) = &ticket.flags {
            self.flags = flags.clone();
        }
    }

    fn remove(&mut self, name: &ObjectName) {
        match name {
            ObjectName::GroupSet(name) => drop(self.group_sets.remove(name)),
            ObjectName::Workspace(name) => drop(self.workspaces.remove(name)),
            ObjectName::Service(name) => drop(self.services.remove(name)),
            ObjectName::Flags => self.flags = DeploymentFlags::default(),
        }
    }
}

fn default_weight() -> Weight {
    Weight(1.0)
}

fn default_slots() -> u32 {
    8
}
