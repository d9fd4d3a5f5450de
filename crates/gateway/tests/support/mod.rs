//! Fakes of the controllers, engines, services and the table service for tests of the gateway.
#![allow(dead_code, unreachable_pub)]

pub mod client;
pub mod controller;
pub mod models;
pub mod reports;
pub mod stop_probe;
pub mod test_gateway;
pub mod wire_server;

use {
    base::{BootClock, HostId, SharedClock},
    conf::settings::GatewaySettings,
    controller::FakeController,
    engine::{HttpBackend, ModelBackend, ServiceBackend},
    gateway::{
        daemon::RunningGateway,
        ports::{GatewayPorts, SystemWallClock, WallClock},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The bearer key of the workspace `alpha`.
pub const KEY: &str = "alpha-key";

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings for a test gateway, with ports assigned by the operating system.
pub fn settings() -> GatewaySettings {
    GatewaySettings {
        host: HostId::new("entry-1").unwrap(),
        listen: any_port(),
        admin_listen: any_port(),
        controller_poll_ms: 20,
        silence_ms: 300,
        ..GatewaySettings::default()
    }
}

/// Ports with the system clocks and real HTTP connections, but with fake reports and a table in
/// memory.
pub fn http_ports() -> GatewayPorts {
    let clock: SharedClock = Arc::new(BootClock);
    let backend = Arc::new(HttpBackend::new(clock.clone(), Duration::from_secs(1)));
    GatewayPorts {
        clock,
        wall: Arc::new(SystemWallClock),
        models: backend.clone(),
        services: backend,
        reports: Arc::new(reports::ScriptedReports::default()),
        table: Arc::new(platform_fake::MemoryTable::default()),
    }
}

/// Ports with the given clocks, engines, services and table, and with fake reports.
pub fn ports_with(
    clock: SharedClock,
    wall: Arc<dyn WallClock>,
    models: Arc<dyn ModelBackend>,
    services: Arc<dyn ServiceBackend>,
    table: Arc<platform_fake::MemoryTable>,
) -> GatewayPorts {
    let reports = Arc::new(reports::ScriptedReports::default());
    GatewayPorts { clock, wall, models, services, reports, table }
}

/// Starts a gateway and waits until it is current.
pub async fn start(
    settings: GatewaySettings,
    ports: GatewayPorts,
    controller: &Arc<FakeController>,
) -> RunningGateway {
    let gateway = RunningGateway::start(settings, ports, controller.clone()).unwrap();
    until(|| gateway.core.current_state().is_ok()).await;
    gateway
}

/// Waits until a condition is true; panics after about 10 s.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition was not met in time");
}

pub mod platform_fake {
    //! A fake table service in memory, with injected faults.

    use {
        async_trait::async_trait,
        base::RowVersion,
        infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
        parking_lot::Mutex,
        std::{
            collections::{BTreeMap, VecDeque},
            time::Duration,
        },
    };

    /// A fault injected into one commit.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CommitFault {
        /// The commit takes effect but its answer is lost.
        AnswerLost,
        /// The request is lost. The client cannot distinguish this from a lost answer.
        RequestLost,
        /// The client gets no answer, and the commit takes effect only at the next call of
        /// [`MemoryTable::release_late`].
        Late,
    }

    #[derive(Default)]
    struct TableState {
        rows: BTreeMap<RowKey, (RowVersion, String)>,
        version: u64,
        faults: VecDeque<CommitFault>,
        late: Vec<Transaction>,
        down: bool,
        delay: Duration,
        commits: u64,
        rows_written: u64,
        reads: u64,
    }

    /// A versioned table in memory, which counts commits and reads.
    #[derive(Default)]
    pub struct MemoryTable {
        state: Mutex<TableState>,
    }

    impl MemoryTable {
        /// Injects one fault into each of the next commits.
        pub fn plan(&self, faults: impl IntoIterator<Item = CommitFault>) {
            self.state.lock().faults.extend(faults);
        }

        /// Removes the faults that no commit has used yet.
        pub fn clear_faults(&self) {
            self.state.lock().faults.clear();
        }

        /// Sets the delay of each commit.
        pub fn set_delay(&self, delay: Duration) {
            self.state.lock().delay = delay;
        }

        /// Makes all calls fail, or succeed again.
        pub fn set_down(&self, down: bool) {
            self.state.lock().down = down;
        }

        /// Applies the delayed commits now. Returns how many of them had no conflict.
        pub fn release_late(&self) -> usize {
            let mut state = self.state.lock();
            let late = std::mem::take(&mut state.late);
            late.into_iter()
                .filter(|transaction| {
                    matches!(state.commit(transaction), CommitOutcome::Committed { .. })
                })
                .count()
        }

        pub fn commits(&self) -> u64 {
            self.state.lock().commits
        }

        pub fn reads(&self) -> u64 {
            self.state.lock().reads
        }

        pub fn row(&self, key: &str) -> Option<String> {
            self.state.lock().rows.get(key).map(|(_, value)| value.clone())
        }

        pub fn rows(&self) -> Vec<(RowKey, String)> {
            let state = self.state.lock();
            state.rows.iter().map(|(key, (_, value))| (key.clone(), value.clone())).collect()
        }
    }

    impl TableState {
        fn stored(&self, key: &RowKey) -> Option<StoredRow> {
            let (version, value) = self.rows.get(key)?;
            Some(StoredRow { key: key.clone(), version: *version, value: value.clone() })
        }

        fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
            let mut rows = Vec::new();
            let mut absent = Vec::new();
            for condition in &transaction.conditions {
                let stored = self.stored(&condition.key);
                let version = stored.as_ref().map_or(RowVersion(0), |row| row.version);
                if version != condition.version {
                    match stored {
                        Some(row) => rows.push(row),
                        None => absent.push(condition.key.clone()),
                    }
                }
            }
            if !rows.is_empty() || !absent.is_empty() {
                return CommitOutcome::Conflict { rows, absent };
            }
            self.version += 1;
            let version = RowVersion(self.version);
            for write in &transaction.writes {
                match &write.value {
                    Some(value) => {
                        self.rows.insert(write.key.clone(), (version, value.clone()));
                    }
                    None => drop(self.rows.remove(&write.key)),
                }
                self.rows_written += 1;
            }
            CommitOutcome::Committed { version, era: base::StoreEra(0) }
        }
    }

    fn no_answer() -> PlatformError {
        PlatformError::Unknown { service: "table", detail: "injected fault".to_owned() }
    }

    #[async_trait]
    impl TableStore for MemoryTable {
        async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
            tokio::task::yield_now().await;
            let mut state = self.state.lock();
            state.reads += 1;
            if state.down {
                return Err(no_answer());
            }
            Ok(keys.iter().map(|key| state.stored(key)).collect())
        }

        async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
            tokio::task::yield_now().await;
            let state = self.state.lock();
            if state.down {
                return Err(no_answer());
            }
            let keys = state.rows.keys().filter(|key| key.starts_with(prefix));
            Ok(keys.filter_map(|key| state.stored(key)).collect())
        }

        async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
            let delay = self.state.lock().delay;
            tokio::time::sleep(delay).await;
            let mut state = self.state.lock();
            state.commits += 1;
            if state.down {
                return Err(no_answer());
            }
            match state.faults.pop_front() {
                None => Ok(state.commit(&transaction)),
                Some(CommitFault::AnswerLost) => {
                    state.commit(&transaction);
                    Err(no_answer())
                }
                Some(CommitFault::RequestLost) => Err(no_answer()),
                Some(CommitFault::Late) => {
                    state.late.push(transaction);
                    Err(no_answer())
                }
            }
        }
    }
}
