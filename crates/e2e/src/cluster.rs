//! A cluster of real processes.

use {
    crate::{
        caller::Caller,
        http::{TestClient, call_json, get_json, is_ok, new_client},
        process::ChildProcess,
        shape::{ClusterShape, NodeAddresses},
        wait::wait_for,
    },
    admin::{GroupsView, StateView, SubmitRequest, TicketStatus},
    base::{
        CallerName, FabricDomainId, GroupSetName, ModelName, ModelVersion, SubmissionId,
        TicketNumber, Weight, WorkspaceId,
    },
    conf::ticket::{
        CallerSpec, ChangeTicket, GroupSetSpec, ServiceSpec, WorkspaceLimits, WorkspaceSpec,
    },
    http::Method,
    peer::{ClusterState, GroupPhase, GroupRecord},
    sha2::{Digest, Sha256},
    standin::{
        BoundAddresses,
        fault::{Fault, FaultRequest},
        history::HistoryView,
    },
    std::{
        fs,
        path::PathBuf,
        sync::{Arc, LazyLock},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Clusters that run at once in one test program, so that they leave each other time to run.
const CLUSTERS_AT_ONCE: usize = 2;

static CLUSTERS: LazyLock<Arc<Semaphore>> =
    LazyLock::new(|| Arc::new(Semaphore::new(CLUSTERS_AT_ONCE)));

/// The bearer key of the test's caller.
pub const CALLER_KEY: &str = "test-key";
/// The workspace of the test's caller.
pub const WORKSPACE: &str = "test-workspace";
/// The model of the test's groups.
pub const MODEL: &str = "test-model";

/// One entry host.
pub struct EntryNode {
    /// Its addresses.
    pub addresses: NodeAddresses,
    /// Its controller; none while it is down.
    pub controller: Option<ChildProcess>,
    /// Its gateway; none while it is down.
    pub gateway: Option<ChildProcess>,
}

/// All processes of a test; they end with it.
pub struct TestCluster {
    /// What it is made of.
    pub shape: ClusterShape,
    /// Where the stand-ins listen.
    pub standin: BoundAddresses,
    /// The entry hosts.
    pub nodes: Vec<EntryNode>,
    /// For calls of operators and of the control address.
    pub client: TestClient,
    standin_process: ChildProcess,
    // Behind the processes, so that their logs are there when they end.
    directory: TestDirectory,
    _turn: OwnedSemaphorePermit,
}

impl TestCluster {
    /// Starts every process.
    pub async fn start(shape: ClusterShape) -> Self {
        let turn = CLUSTERS.clone().acquire_owned().await.expect("never closed");
        let directory = std::env::temp_dir().join(format!("gf-e2e-{}", uuid::Uuid::new_v4()));
        fs::create_dir(&directory).expect("the temporary directory can be written");
        let addresses: Vec<NodeAddresses> =
            (0..shape.entry_hosts).map(|number| shape.node(number)).collect();
        let settings = yaml(&shape.standin(&addresses));
        let standin_process =
            ChildProcess::start("gf-standin", "standin", &settings, &directory).expect("started");
        let standin = wait_for("the stand-ins' addresses", async || {
            serde_json::from_str(&standin_process.output()).ok()
        })
        .await;
        let nodes = addresses
            .into_iter()
            .map(|addresses| EntryNode { addresses, controller: None, gateway: None })
            .collect();
        let client = new_client();
        let mut cluster = Self {
            shape,
            standin,
            nodes,
            client,
            standin_process,
            directory: TestDirectory(directory),
            _turn: turn,
        };
        for number in 0..cluster.nodes.len() {
            cluster.start_controller(number);
            cluster.start_gateway(number);
        }
        cluster
    }

    /// Starts the controller of an entry host.
    pub fn start_controller(&mut self, number: usize) {
        let node = &self.nodes[number].addresses;
        let settings = yaml(&self.shape.controller(node, &self.standin));
        let name = format!("controller-{}", node.host);
        let process = ChildProcess::start("gf-controller", &name, &settings, &self.directory.0);
        self.nodes[number].controller = Some(process.expect("the controller starts"));
    }

    /// Starts the gateway of an entry host.
    pub fn start_gateway(&mut self, number: usize) {
        let own = &self.nodes[number].addresses;
        let others = self.nodes.iter().map(|node| node.addresses.peer);
        let others = others.filter(|peer| *peer != own.peer).collect();
        let settings = yaml(&self.shape.gateway(own, others, &self.standin));
        let name = format!("gateway-{}", own.host);
        let process = ChildProcess::start("gf-gateway", &name, &settings, &self.directory.0);
        self.nodes[number].gateway = Some(process.expect("the gateway starts"));
    }

    /// Waits until every running controller is ready.
    pub async fn wait_ready(&self) {
        for node in self.nodes.iter().filter(|node| node.controller.is_some()) {
            let admin = node.addresses.admin;
            wait_for("a ready controller", async || {
                is_ok(&self.client, admin, "/readyz").await.then_some(())
            })
            .await;
        }
    }

    /// Starts every process, submits the base ticket and waits until its groups serve callers.
    pub async fn start_serving(shape: ClusterShape, replicas: u32, hosts: u32) -> Self {
        let cluster = Self::start(shape).await;
        cluster.wait_ready().await;
        cluster.submit(&cluster.base_ticket(replicas, hosts)).await;
        cluster.wait_serving(replicas as usize).await;
        cluster.wait_answers().await;
        cluster
    }

    /// Writes a file beside the settings.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.0.join(name);
        fs::write(&path, text).expect("the temporary directory can be written");
        path
    }

    /// The ticket that all tests start from: a workspace with one caller, `replicas` groups of
    /// `hosts` hosts, and the plain service when the shape has servers.
    pub fn base_ticket(&self, replicas: u32, hosts: u32) -> ChangeTicket {
        let workspace = WorkspaceSpec {
            name: WorkspaceId::new(WORKSPACE).expect("a valid literal"),
            callers: vec![CallerSpec {
                name: CallerName::new("test").expect("a valid literal"),
                key_sha256: sha256_hex(CALLER_KEY).into(),
            }],
            limits: WorkspaceLimits {
                requests_per_second: base::RatePerSecond(10_000.0),
                in_flight: 10_000,
            },
            share: Weight(1.0),
        };
        ChangeTicket {
            submission: Some(new_submission()),
            note: "test".into(),
            group_sets: vec![group_set(replicas, hosts)],
            workspaces: vec![workspace],
            services: self.services(),
            flags: None,
            removed: Vec::new(),
        }
    }

    fn services(&self) -> Vec<ServiceSpec> {
        if self.shape.service_servers == 0 {
            return Vec::new();
        }
        vec![ServiceSpec {
            name: crate::shape::SERVICE.parse().expect("a valid literal"),
            workspaces: Vec::new(),
            slots_per_server: 64,
            idempotent: false,
        }]
    }

    /// Submits a ticket and waits until it is in force; gives its number.
    pub async fn submit(&self, ticket: &ChangeTicket) -> TicketNumber {
        let request = SubmitRequest { ticket: ticket.clone(), expect: None };
        wait_for("the ticket to be in force", async || {
            for node in self.nodes.iter().filter(|node| node.controller.is_some()) {
                let admin = node.addresses.admin;
                let path = "/v1/tickets";
                let status: Result<TicketStatus, String> =
                    call_json(&self.client, Method::POST, admin, path, Some(&request)).await;
                match status {
                    Ok(TicketStatus::Accepted { number }) => return Some(number),
                    Ok(TicketStatus::Refused { reason, .. }) => panic!("refused: {reason}"),
                    // It is committed; another node could not tell more.
                    Ok(TicketStatus::Pending { .. }) => return None,
                    Ok(TicketStatus::Unknown { .. }) | Err(_) => {}
                }
            }
            None
        })
        .await
    }

    /// Every group that some controller knows of; a controller that is down is passed over.
    pub async fn groups(&self) -> Vec<GroupRecord> {
        let mut records: Vec<peer::DomainRecord> = Vec::new();
        for node in self.nodes.iter().filter(|node| node.controller.is_some()) {
            let view = get_json(&self.client, node.addresses.admin, "/v1/groups").await;
            let Ok(GroupsView { domains }) = view else { continue };
            for record in domains {
                match records.iter_mut().find(|known| known.domain == record.domain) {
                    Some(known) if record.replaces(known) => *known = record,
                    Some(_) => {}
                    None => records.push(record),
                }
            }
        }
        records.into_iter().flat_map(|record| record.groups).collect()
    }

    /// The groups that serve.
    pub async fn serving_groups(&self) -> Vec<GroupRecord> {
        let groups = self.groups().await.into_iter();
        groups.filter(|group| group.phase == GroupPhase::Serving).collect()
    }

    /// Waits until `count` groups serve.
    pub async fn wait_serving(&self, count: usize) -> Vec<GroupRecord> {
        wait_for("serving groups", async || {
            let groups = self.serving_groups().await;
            (groups.len() == count).then_some(groups)
        })
        .await
    }

    /// A caller that knows the gateways.
    pub fn caller(&self) -> Caller {
        Caller::new(self.nodes.iter().map(|node| node.addresses.gateway).collect(), CALLER_KEY)
    }

    /// Waits until every running gateway takes a completion to a whole answer.
    pub async fn wait_answers(&self) {
        for node in self.nodes.iter().filter(|node| node.gateway.is_some()) {
            let caller = Caller::new(vec![node.addresses.gateway], CALLER_KEY);
            wait_for("a whole answer", async || {
                let completion = caller.new_completion("warm-up", 2);
                let end = caller.complete(node.addresses.gateway, &completion).await;
                end.is_whole().then_some(())
            })
            .await;
        }
    }

    /// Switches a fault that stays until it is taken back.
    pub async fn switch(&self, fault: Fault) {
        let request = FaultRequest { fault, for_ms: None };
        let control = self.standin.control;
        let switched: Result<serde_json::Value, String> =
            call_json(&self.client, Method::POST, control, "/faults", Some(&request)).await;
        switched.expect("the stand-ins switch the fault");
    }

    /// The entry host whose controller owns a fabric domain, by the newest state that any of the
    /// running controllers tells.
    pub async fn owner_of(&self, domain: &FabricDomainId) -> Option<usize> {
        let mut newest: Option<ClusterState> = None;
        for node in self.nodes.iter().filter(|node| node.controller.is_some()) {
            let view = get_json(&self.client, node.addresses.admin, "/v1/state").await;
            let Ok(StateView { state, .. }) = view else { continue };
            if newest.as_ref().is_none_or(|known| known.head.number < state.head.number) {
                newest = Some(state);
            }
        }
        let owners = newest?.owners;
        let owner = owners.iter().find(|owner| owner.domain == *domain)?;
        let host = &owner.owner.host;
        self.nodes.iter().position(|node| node.addresses.host == *host)
    }

    /// What happened at engines and services so far.
    pub async fn history(&self) -> HistoryView {
        let history = get_json(&self.client, self.standin.control, "/history").await;
        history.expect("the stand-ins tell their history")
    }

    /// The end of a stand-in's log.
    pub fn standin_log(&self) -> String {
        self.standin_process.log_end()
    }

    /// Stops every daemon gracefully; gives the names of those that did not exit with success.
    pub fn stop_daemons(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        for node in &mut self.nodes {
            let daemons =
                [("gateway", node.gateway.take()), ("controller", node.controller.take())];
            for (name, process) in daemons {
                let Some(mut process) = process else { continue };
                if !process.stop().success() {
                    failed.push(format!(
                        "{name} of {}:\n{}",
                        node.addresses.host,
                        process.log_end()
                    ));
                }
            }
        }
        failed
    }
}

/// The files of a cluster; removed when dropped.
struct TestDirectory(PathBuf);

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // Files left behind are only untidy.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A set of groups of the test's model.
pub fn group_set(replicas: u32, hosts: u32) -> GroupSetSpec {
    GroupSetSpec {
        name: GroupSetName::new("test-set").expect("a valid literal"),
        model: ModelName::new(MODEL).expect("a valid literal"),
        version: ModelVersion::new("v1").expect("a valid literal"),
        adapter: None,
        fabric_domains: Vec::new(),
        replicas,
        hosts_per_group: hosts,
        value: Weight(1.0),
        spares: 0,
        slots_per_group: 64,
        workspaces: Vec::new(),
    }
}

/// A submission id that was never used.
pub fn new_submission() -> SubmissionId {
    SubmissionId::new(uuid::Uuid::new_v4().to_string()).expect("digits are allowed")
}

/// SHA-256 in hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn yaml<T: serde::Serialize>(settings: &T) -> String {
    serde_yaml_ng::to_string(settings).expect("settings can be written")
}
