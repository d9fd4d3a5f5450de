//! A fake controller that answers polls from a state set by the test.

use {
    async_trait::async_trait,
    base::{
        CallerName, Epoch, FabricDomainId, FailureDomainId, GroupId, GroupSetName, HeadNumber,
        HostId, Incarnation, MemberId, ModelName, ModelVersion, RatePerSecond, RecordSequence,
        RegionId, ServiceName, Term, TicketNumber, ViewNumber, Weight, WorkspaceId,
    },
    conf::ticket::{
        CallerSpec, DesiredState, GroupSetSpec, ServiceSpec, WorkspaceLimits, WorkspaceSpec,
    },
    gateway::controller::{ControllerPort, PollError},
    parking_lot::Mutex,
    peer::{
        ClusterState, DomainRecord, GatewayEntry, GatewayPoll, GatewayUpdate, GroupMember,
        GroupPhase, GroupRecord, Head, HostLine, HostTable, MemberRow, ShareGrant,
    },
    sha2::{Digest, Sha256},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

struct ControllerState {
    cluster: ClusterState,
    record: DomainRecord,
    hosts: HostTable,
    gateways: Vec<GatewayEntry>,
    shares: Vec<ShareGrant>,
    age_ms: Option<u32>,
    down: bool,
    delay: Duration,
    polls: Vec<GatewayPoll>,
}

/// A controller of one fabric domain. It sends the state, the domain record and the host list only
/// if they are newer than those in the poll.
pub struct FakeController {
    state: Mutex<ControllerState>,
}

impl FakeController {
    /// Creates a controller without serving groups. The workspace `alpha` may use the model `tiny`;
    /// all workspaces may use the services `notices` and `quotes` (idempotent).
    pub fn new() -> Arc<Self> {
        let state = ControllerState {
            cluster: cluster(),
            record: record(),
            hosts: HostTable::default(),
            gateways: Vec::new(),
            shares: Vec::new(),
            age_ms: Some(10),
            down: false,
            delay: Duration::ZERO,
            polls: Vec::new(),
        };
        Arc::new(Self { state: Mutex::new(state) })
    }

    /// Adds a group of one host, in the phase serving.
    pub fn add_group(&self, name: &str, address: SocketAddr) {
        let mut state = self.state.lock();
        state.record.sequence = state.record.sequence.next();
        state.record.groups.push(group(name, address));
    }

    /// Sets the phase of a group, in a new version of the domain record.
    pub fn set_phase(&self, name: &str, phase: GroupPhase) {
        let mut state = self.state.lock();
        state.record.sequence = state.record.sequence.next();
        let group = state.record.groups.iter_mut().find(|group| group.group.as_str() == name);
        group.unwrap().phase = phase;
    }

    /// Adds a server of a plain service to the host list.
    pub fn add_server(&self, service: &str, host: &str, address: SocketAddr) {
        let mut state = self.state.lock();
        state.hosts.number += 1;
        state.hosts.hosts.push(HostLine {
            host: HostId::new(host).unwrap(),
            address,
            service: Some(ServiceName::new(service).unwrap()),
            leaving: false,
        });
    }

    /// Marks a host in the host list as leaving.
    pub fn set_leaving(&self, host: &str) {
        let mut state = self.state.lock();
        state.hosts.number += 1;
        let line = state.hosts.hosts.iter_mut().find(|line| line.host.as_str() == host);
        line.unwrap().leaving = true;
    }

    /// Changes the desired state and increments the number of the state head.
    pub fn change(&self, change: impl FnOnce(&mut DesiredState)) {
        let mut state = self.state.lock();
        change(&mut state.cluster.desired);
        state.cluster.head.number = state.cluster.head.number.next();
    }

    /// Sets the members of the view without a new state head, so gateways that already have the state
    /// do not receive them.
    pub fn set_members(&self, members: Vec<MemberRow>) {
        self.state.lock().cluster.view.members = members;
    }

    pub fn set_gateways(&self, gateways: Vec<GatewayEntry>) {
        self.state.lock().gateways = gateways;
    }

    pub fn set_shares(&self, shares: Vec<ShareGrant>) {
        self.state.lock().shares = shares;
    }

    /// Sets the age of the evidence in answers. `None` means that the controller is isolated.
    pub fn set_age(&self, age_ms: Option<u32>) {
        self.state.lock().age_ms = age_ms;
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Sets the delay of each answer.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    pub fn last_poll(&self) -> Option<GatewayPoll> {
        self.state.lock().polls.last().cloned()
    }

    pub fn poll_count(&self) -> usize {
        self.state.lock().polls.len()
    }
}

#[async_trait]
impl ControllerPort for FakeController {
    async fn poll(
        &self,
        address: SocketAddr,
        poll: GatewayPoll,
    ) -> Result<GatewayUpdate, PollError> {
        let (update, delay) = self.answer(address, poll)?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(update)
    }
}

impl FakeController {
    fn answer(
        &self,
        address: SocketAddr,
        poll: GatewayPoll,
    ) -> Result<(GatewayUpdate, Duration), PollError> {
        let mut state = self.state.lock();
        if state.down {
            return Err(PollError::NoAnswer { address, detail: "injected fault".to_owned() });
        }
        let newer_state = poll.head < state.cluster.head.number;
        let known = poll.digests.iter().any(|digest| {
            digest.domain == state.record.domain && digest.sequence >= state.record.sequence
        });
        let newer_hosts = poll.hosts_seen < state.hosts.number;
        let update = GatewayUpdate {
            from: MemberId { host: HostId::new("entry-1").unwrap(), incarnation: Incarnation(1) },
            head: state.cluster.head,
            age_ms: state.age_ms,
            state: newer_state.then(|| Box::new(state.cluster.clone())),
            records: if known { Vec::new() } else { vec![state.record.clone()] },
            hosts: newer_hosts.then(|| state.hosts.clone()),
            gateways: state.gateways.clone(),
            shares: state.shares.clone(),
        };
        state.polls.push(poll);
        Ok((update, state.delay))
    }
}

/// A gateway in the region `local`, for the list of gateways in updates.
pub fn gateway_entry(host: &str, domain: &str, port: u16, load: u8) -> GatewayEntry {
    GatewayEntry {
        host: HostId::new(host).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        failure_domain: FailureDomainId::new(domain).unwrap(),
        region: RegionId::new("local").unwrap(),
        load,
    }
}

pub fn workspace(name: &str, key: &str) -> WorkspaceSpec {
    let digest = Sha256::digest(key.as_bytes());
    let key_sha256 = digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into();
    let caller = CallerSpec { name: CallerName::new("office").unwrap(), key_sha256 };
    WorkspaceSpec {
        name: WorkspaceId::new(name).unwrap(),
        callers: vec![caller],
        limits: WorkspaceLimits { requests_per_second: RatePerSecond(10_000.0), in_flight: 10_000 },
        share: Weight(1.0),
    }
}

fn service(name: &str, idempotent: bool) -> ServiceSpec {
    ServiceSpec {
        name: ServiceName::new(name).unwrap(),
        workspaces: Vec::new(),
        slots_per_server: 8,
        idempotent,
    }
}

fn cluster() -> ClusterState {
    let mut desired = DesiredState { ticket: TicketNumber(1), ..DesiredState::default() };
    let set = GroupSetSpec {
        name: GroupSetName::new("tiny-set").unwrap(),
        model: ModelName::new("tiny").unwrap(),
        version: ModelVersion::new("1").unwrap(),
        adapter: None,
        fabric_domains: Vec::new(),
        replicas: 2,
        hosts_per_group: 1,
        value: Weight(1.0),
        spares: 0,
        slots_per_group: 8,
        workspaces: vec![WorkspaceId::new("alpha").unwrap()],
    };
    desired.group_sets.insert(set.name.clone(), set);
    for (name, key) in [("alpha", super::KEY), ("beta", "beta-key")] {
        let workspace = workspace(name, key);
        desired.workspaces.insert(workspace.name.clone(), workspace);
    }
    for service in [service("notices", false), service("quotes", true)] {
        desired.services.insert(service.name.clone(), service);
    }
    let head =
        Head { number: HeadNumber(1), ticket: TicketNumber(1), view: ViewNumber(1), ownership: 1 };
    ClusterState { head, desired, ..ClusterState::default() }
}

fn record() -> DomainRecord {
    DomainRecord {
        domain: FabricDomainId::new("fabric-1").unwrap(),
        term: Term(1),
        sequence: RecordSequence(1),
        groups: Vec::new(),
    }
}

fn group(name: &str, address: SocketAddr) -> GroupRecord {
    GroupRecord {
        group: GroupId::new(name).unwrap(),
        set: GroupSetName::new("tiny-set").unwrap(),
        model: ModelName::new("tiny").unwrap(),
        version: ModelVersion::new("1").unwrap(),
        adapter: None,
        epoch: Epoch(1),
        phase: GroupPhase::Serving,
        members: vec![GroupMember { host: HostId::new(format!("host-{name}")).unwrap(), address }],
        slots: 8,
    }
}
