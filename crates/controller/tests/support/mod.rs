//! An in-memory platform into which tests inject faults, and controllers that run in the test process.

#![allow(dead_code, unreachable_pub)]

pub mod sim;

use {
    async_trait::async_trait,
    base::{
        BootClock, FabricDomainId, FailureDomainId, HostId, RegionId, RowVersion, SubmissionId,
    },
    conf::{
        settings::{ControllerSettings, FreshnessSettings},
        ticket::{ChangeTicket, WorkspaceSpec},
    },
    controller::{
        run::{Controller, ControllerPorts},
        state::node::NodeCore,
    },
    engine::{EngineControl, EngineError, EngineOrder, EngineState, OrderAnswer},
    infra::{
        CommitOutcome, HostDirectory, HostEntry, HostRole, HostStanding, PlatformError, RowKey,
        StoredRow, TableStore, Transaction,
    },
    peer::{MemberRow, MessageCodec},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time limit for a condition that must come true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct TableRows {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
}

/// An in-memory table service with faults that tests inject.
#[derive(Default)]
pub struct FakeTable {
    rows: Mutex<TableRows>,
    /// Makes every call fail.
    pub unavailable: AtomicBool,
    /// Number of further commits that take effect but whose answer is lost.
    pub lose_answers: AtomicU32,
    /// Number of further commits that get no answer and take effect only at [`FakeTable::land`].
    pub hold_commits: AtomicU32,
    /// Delayed commits, in the order of their arrival.
    held: Mutex<Vec<Transaction>>,
    /// Number of commits that took effect.
    pub commits: AtomicU64,
    /// Number of read and scan calls.
    pub reads: AtomicU64,
}

impl FakeTable {
    fn check(&self) -> Result<(), PlatformError> {
        match self.unavailable.load(SeqCst) {
            true => Err(unreachable("table service")),
            false => Ok(()),
        }
    }

    /// Applies the delayed commits and returns how many took effect.
    pub fn land(&self) -> usize {
        let held = std::mem::take(&mut *self.held.lock().unwrap());
        let outcomes = held.into_iter().map(|transaction| self.apply(transaction));
        outcomes.filter(|outcome| matches!(outcome, CommitOutcome::Committed { .. })).count()
    }

    fn apply(&self, transaction: Transaction) -> CommitOutcome {
        let mut table = self.rows.lock().unwrap();
        let version = |key: &RowKey| table.rows.get(key).map_or(RowVersion(0), |row| row.version);
        let failed: Vec<RowKey> = transaction
            .conditions
            .iter()
            .filter(|condition| version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let (present, absent) =
                failed.into_iter().partition(|key| table.rows.contains_key(key));
            let present: Vec<RowKey> = present;
            let rows = present.iter().map(|key| table.rows[key].clone()).collect();
            return CommitOutcome::Conflict { rows, absent };
        }
        table.version += 1;
        let version = RowVersion(table.version);
        for write in transaction.writes {
            let key = write.key;
            match write.value {
                Some(value) => {
                    drop(table.rows.insert(key.clone(), StoredRow { key, version, value }));
                }
                None => drop(table.rows.remove(&key)),
            }
        }
        self.commits.fetch_add(1, SeqCst);
        CommitOutcome::Committed { version, era: base::StoreEra(0) }
    }
}

#[async_trait]
impl TableStore for FakeTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        self.check()?;
        self.reads.fetch_add(1, SeqCst);
        let table = self.rows.lock().unwrap();
        Ok(keys.iter().map(|key| table.rows.get(key).cloned()).collect())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        self.check()?;
        self.reads.fetch_add(1, SeqCst);
        let table = self.rows.lock().unwrap();
        let rows = table.rows.values().filter(|row| row.key.starts_with(prefix));
        Ok(rows.cloned().collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        self.check()?;
        let use_one = |remaining: u32| remaining.checked_sub(1);
        if self.hold_commits.fetch_update(SeqCst, SeqCst, use_one).is_ok() {
            self.held.lock().unwrap().push(transaction);
            let detail = "no answer in time".to_owned();
            return Err(PlatformError::Unknown { service: "table service", detail });
        }
        let outcome = self.apply(transaction);
        if self.lose_answers.fetch_update(SeqCst, SeqCst, use_one).is_ok() {
            let detail = "the answer was lost".to_owned();
            return Err(PlatformError::Unknown { service: "table service", detail });
        }
        Ok(outcome)
    }
}

/// One node's connection to the table service.
pub struct TableLink {
    table: Arc<FakeTable>,
    /// Makes every call fail.
    pub cut: AtomicBool,
    /// Makes every call hang until the process is resumed.
    pub frozen: watch::Sender<bool>,
}

#[async_trait]
impl TableStore for TableLink {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        self.check().await?;
        let answer = self.table.read(keys).await;
        self.check().await?;
        answer
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        self.check().await?;
        let answer = self.table.scan(prefix).await;
        self.check().await?;
        answer
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        self.check().await?;
        let answer = self.table.commit(transaction).await;
        self.check().await?;
        answer
    }
}

impl TableLink {
    /// Creates a connection without faults.
    pub fn new(table: Arc<FakeTable>) -> Self {
        Self { table, cut: AtomicBool::new(false), frozen: watch::Sender::new(false) }
    }

    async fn check(&self) -> Result<(), PlatformError> {
        let mut frozen = self.frozen.subscribe();
        frozen.wait_for(|frozen| !frozen).await.expect("the link owns the sender");
        match self.cut.load(SeqCst) {
            true => Err(unreachable("table service")),
            false => Ok(()),
        }
    }
}

/// A host list that tests set.
#[derive(Default)]
pub struct FakeHosts {
    /// Entries of the list.
    pub entries: Mutex<Vec<HostEntry>>,
}

impl FakeHosts {
    /// Creates a list with one engine host in each of the named fabric domains.
    pub fn with_domains(names: &[&str]) -> Self {
        Self { entries: Mutex::new(names.iter().map(|name| engine_host(name)).collect()) }
    }
}

#[async_trait]
impl HostDirectory for FakeHosts {
    async fn list(&self) -> Result<Vec<HostEntry>, PlatformError> {
        Ok(self.entries.lock().unwrap().clone())
    }
}

/// Engine control for which every engine is unreachable.
pub struct NoEngines;

#[async_trait]
impl EngineControl for NoEngines {
    async fn order(
        &self,
        address: SocketAddr,
        _order: EngineOrder,
    ) -> Result<OrderAnswer, EngineError> {
        Err(EngineError::Unreachable { address, detail: "no engine".into() })
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        Err(EngineError::Unreachable { address, detail: "no engine".into() })
    }
}

fn unreachable(service: &'static str) -> PlatformError {
    PlatformError::Unreachable { service, detail: "cut".into() }
}

/// A controller that runs as a task of the test.
pub struct TestNode {
    /// The node's state and evidence.
    pub node: Arc<NodeCore>,
    /// Its member row, with the addresses that are bound.
    pub row: MemberRow,
    /// Its connection to the table service.
    pub table_link: Arc<TableLink>,
    /// Starts a planned stop when cancelled.
    pub stop: CancellationToken,
    /// Main task; ends with the planned stop.
    pub task: JoinHandle<()>,
}

/// Controllers that share one fake platform.
#[derive(Default)]
pub struct TestCluster {
    /// Table service that all controllers use.
    pub table: Arc<FakeTable>,
    /// Host list that all controllers read.
    pub hosts: Arc<FakeHosts>,
}

impl TestCluster {
    /// Creates a platform with one engine host in each of the named fabric domains.
    pub fn with_domains(names: &[&str]) -> Self {
        Self { hosts: Arc::new(FakeHosts::with_domains(names)), ..Self::default() }
    }

    /// Starts a controller with the test [`settings`], on free ports.
    pub async fn start(&self, name: &str) -> TestNode {
        self.start_with(settings(name)).await
    }

    /// Starts a controller with given settings.
    pub async fn start_with(&self, settings: ControllerSettings) -> TestNode {
        self.start_as(settings, MessageCodec::default()).await
    }

    /// Starts a controller that supports the message versions of `codec`.
    pub async fn start_as(&self, settings: ControllerSettings, codec: MessageCodec) -> TestNode {
        let table_link = Arc::new(TableLink::new(self.table.clone()));
        let ports = ControllerPorts {
            table: table_link.clone(),
            hosts: self.hosts.clone(),
            engine: Arc::new(NoEngines),
            clock: Arc::new(BootClock),
        };
        let controller = Controller::bind_as(settings, ports, codec).await.unwrap();
        let node = controller.node().clone();
        let row = controller.row().clone();
        let stop = CancellationToken::new();
        let task = tokio::spawn(controller.run(stop.clone()));
        TestNode { node, row, table_link, stop, task }
    }
}

/// A ticket that creates one workspace with default limits.
pub fn workspace_ticket(submission: &str, workspace: &str) -> ChangeTicket {
    let spec = serde_json::from_value::<WorkspaceSpec>(serde_json::json!({ "name": workspace }));
    ChangeTicket {
        submission: Some(SubmissionId::new(submission).unwrap()),
        note: Default::default(),
        group_sets: Vec::new(),
        workspaces: vec![spec.unwrap()],
        services: Vec::new(),
        flags: None,
        removed: Vec::new(),
    }
}

/// Settings with a short freshness window, so that tests finish within seconds.
pub fn settings(name: &str) -> ControllerSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ControllerSettings {
        host: HostId::new(name).unwrap(),
        peer_listen: any,
        admin_listen: any,
        freshness: FreshnessSettings { window_ms: 600, margin_ms: 100, order_flight_ms: 200 },
        head_poll_ms: 100,
        host_poll_ms: 100,
        peer_poll_ms: 50,
        ..ControllerSettings::default()
    }
}

/// Entry hosts with the simulation's names and addresses, and one engine host in each fabric domain.
pub fn entry_hosts(count: usize, domains: &[&str]) -> Vec<HostEntry> {
    let entries = (0..count).map(|index| HostEntry {
        host: HostId::new(format!("entry-{index}")).unwrap(),
        address: sim::peer_address(index),
        role: HostRole::Entry,
        ..engine_host("none")
    });
    entries.chain(domains.iter().map(|domain| engine_host(domain))).collect()
}

fn engine_host(domain: &str) -> HostEntry {
    HostEntry {
        host: HostId::new(format!("{domain}-host")).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: FailureDomainId::new("fd-1").unwrap(),
        region: RegionId::new("local").unwrap(),
        role: HostRole::Engine {
            fabric_domain: FabricDomainId::new(domain).unwrap(),
            accelerators: 8,
        },
        standing: HostStanding::Live,
    }
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "never happened: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}
