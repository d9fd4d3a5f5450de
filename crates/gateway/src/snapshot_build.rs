//! Builds a snapshot from the previous one and an update from a controller.

use {
    crate::{
        admission_queue::AdmissionQueue,
        evidence::HeadEvidence,
        snapshot::{CallerIdentity, KeyDigest, RoutingSnapshot, service_class},
        workspace::WorkspaceState,
    },
    base::{Epoch, GroupId, HostId, ModelName, SharedClock, WorkspaceId},
    conf::ticket::ServiceSpec,
    peer::{ClusterState, DomainRecord, GatewayUpdate, GroupPhase, GroupRecord, HostLine},
    route::{RouteTable, TargetSpec},
    std::{collections::BTreeSet, sync::Arc},
};

/// Builds snapshots; holds the settings for workspaces and queues that are new in an update.
pub struct SnapshotBuilder {
    /// Clock of the share gates and admission queues.
    pub clock: SharedClock,
    /// Retries that a first attempt adds to the workspace's budget, in hundredths.
    pub retry_percent: u32,
}

impl SnapshotBuilder {
    /// Returns the state of `previous` with the update applied.
    ///
    /// Durable state and domain records in the update are ignored unless they are newer than the
    /// known ones. Counters, gates and queues of workspaces and classes that still exist are taken
    /// from `previous`.
    pub fn build(&self, previous: &RoutingSnapshot, update: &GatewayUpdate) -> RoutingSnapshot {
        let mut next = RoutingSnapshot {
            cluster: previous.cluster.clone(),
            evidence: previous.evidence.clone(),
            records: previous.records.clone(),
            hosts: previous.hosts.clone(),
            gateways: previous.gateways.clone(),
            ..RoutingSnapshot::default()
        };
        apply_update(&mut next, update);
        self.index_callers(&mut next, previous);
        index_targets(&mut next, previous);
        self.index_queues(&mut next, previous);
        next
    }

    fn index_callers(&self, next: &mut RoutingSnapshot, previous: &RoutingSnapshot) {
        let cluster = next.cluster.clone();
        let members = cluster.view.members.len();
        for spec in cluster.desired.workspaces.values() {
            let workspace = match previous.workspaces.get(&spec.name) {
                Some(workspace) => workspace.clone(),
                None => Arc::new(self.new_workspace(&spec.name)),
            };
            workspace.set_limits(&spec.limits, members);
            next.workspaces.insert(spec.name.clone(), workspace.clone());
            for caller in &spec.callers {
                let Some(digest) = parse_digest(&caller.key_sha256) else { continue };
                let identity =
                    CallerIdentity { caller: caller.name.clone(), workspace: workspace.clone() };
                next.callers.insert(digest, identity);
            }
        }
    }

    fn new_workspace(&self, name: &WorkspaceId) -> WorkspaceState {
        WorkspaceState::new(name.clone(), self.retry_percent, self.clock.now())
    }

    fn index_queues(&self, next: &mut RoutingSnapshot, previous: &RoutingSnapshot) {
        for class in class_names(&next.cluster) {
            let queue = match previous.queues.get(&class) {
                Some(queue) => queue.clone(),
                None => Arc::new(AdmissionQueue::new(self.clock.clone())),
            };
            next.queues.insert(class, queue);
        }
    }
}

fn class_names(cluster: &ClusterState) -> BTreeSet<ModelName> {
    let models = cluster.desired.group_sets.values().map(|set| set.model.clone());
    models.chain(cluster.desired.services.keys().map(service_class)).collect()
}

fn apply_update(next: &mut RoutingSnapshot, update: &GatewayUpdate) {
    if let Some(state) = &update.state
        && state.head.number > next.head()
    {
        next.cluster = Arc::new((**state).clone());
        next.evidence = Arc::new(HeadEvidence::new(state.head.number));
    }
    for record in &update.records {
        insert_if_newer(next, record);
    }
    if let Some(hosts) = &update.hosts {
        next.hosts = Arc::new(hosts.clone());
    }
    if !update.gateways.is_empty() {
        next.gateways = Arc::new(update.gateways.clone());
    }
}

fn insert_if_newer(next: &mut RoutingSnapshot, record: &DomainRecord) {
    let known = next.records.get(&record.domain);
    if known.is_none_or(|known| record.replaces(known)) {
        next.records.insert(record.domain.clone(), Arc::new(record.clone()));
    }
}

fn index_targets(next: &mut RoutingSnapshot, previous: &RoutingSnapshot) {
    let workspaces: BTreeSet<WorkspaceId> = next.workspaces.keys().cloned().collect();
    let groups = group_specs(next);
    next.groups = Arc::new(RouteTable::build(groups, &workspaces, Some(&previous.groups)));
    let servers = server_specs(next);
    next.servers = Arc::new(RouteTable::build(servers, &workspaces, Some(&previous.servers)));
}

fn group_specs(next: &RoutingSnapshot) -> Vec<TargetSpec> {
    let leaving: BTreeSet<&HostId> =
        next.hosts.hosts.iter().filter(|line| line.leaving).map(|line| &line.host).collect();
    let groups = next.records.values().flat_map(|record| &record.groups);
    groups.filter_map(|group| group_spec(next, group, &leaving)).collect()
}

/// Returns the routing target of a group, or `None` if its group set was removed or it has no
/// members.
///
/// A group with a leaving host is not serving, so that it gets no new requests.
fn group_spec(
    next: &RoutingSnapshot,
    group: &GroupRecord,
    leaving: &BTreeSet<&HostId>,
) -> Option<TargetSpec> {
    let set = next.cluster.desired.group_sets.get(&group.set)?;
    let no_host_leaving = !group.members.iter().any(|member| leaving.contains(&member.host));
    Some(TargetSpec {
        group: group.group.clone(),
        epoch: group.epoch,
        model: group.model.clone(),
        address: group.members.first()?.address,
        slots: group.slots,
        workspaces: set.workspaces.iter().cloned().collect(),
        serving: group.phase == GroupPhase::Serving && no_host_leaving,
    })
}

fn server_specs(next: &RoutingSnapshot) -> Vec<TargetSpec> {
    let lines = &next.hosts.hosts;
    let services = next.cluster.desired.services.values();
    services
        .flat_map(|spec| {
            let own = lines.iter().filter(|line| line.service.as_ref() == Some(&spec.name));
            own.filter_map(|line| server_spec(line, spec))
        })
        .collect()
}

fn server_spec(line: &HostLine, spec: &ServiceSpec) -> Option<TargetSpec> {
    Some(TargetSpec {
        group: GroupId::new(line.host.as_str()).ok()?,
        epoch: Epoch(0),
        model: service_class(&spec.name),
        address: line.address,
        slots: spec.slots_per_server,
        workspaces: spec.workspaces.iter().cloned().collect(),
        serving: !line.leaving,
    })
}

/// Decodes a SHA-256 digest from 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<KeyDigest> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut digest = KeyDigest::default();
    for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
