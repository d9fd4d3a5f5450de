//! Fake load reports, states and cache events of backend servers.

use {
    async_trait::async_trait,
    engine::{CacheEvent, CacheEventPage, EngineError, EngineReports, EngineState, LoadReport},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::atomic::{AtomicUsize, Ordering},
    },
};

/// Returns what the test has set. Requests for other loads and states fail.
#[derive(Default)]
pub struct ScriptedReports {
    loads: Mutex<HashMap<SocketAddr, LoadReport>>,
    events: Mutex<HashMap<SocketAddr, Vec<CacheEvent>>>,
    states: Mutex<HashMap<SocketAddr, EngineState>>,
    unreachable: Mutex<HashSet<SocketAddr>>,
    state_probes: AtomicUsize,
}

impl ScriptedReports {
    pub fn set_load(&self, address: SocketAddr, running: u32, queued: u32) {
        let report = LoadReport { running, queued, slots: 8, kv_free_permille: 500 };
        self.loads.lock().insert(address, report);
    }

    pub fn set_state(&self, address: SocketAddr, state: EngineState) {
        self.states.lock().insert(address, state);
    }

    /// Makes a host unreachable, or reachable again.
    pub fn set_unreachable(&self, address: SocketAddr, unreachable: bool) {
        match unreachable {
            true => self.unreachable.lock().insert(address),
            false => self.unreachable.lock().remove(&address),
        };
    }

    /// Number of requests for an engine's state.
    pub fn state_probe_count(&self) -> usize {
        self.state_probes.load(Ordering::SeqCst)
    }

    pub fn event_count(&self, address: SocketAddr) -> u64 {
        self.events.lock().get(&address).map_or(0, |events| events.len() as u64)
    }

    pub fn add_event(&self, address: SocketAddr, event: CacheEvent) {
        self.events.lock().entry(address).or_default().push(event);
    }
}

#[async_trait]
impl EngineReports for ScriptedReports {
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        let load = self.loads.lock().get(&address).copied();
        load.ok_or_else(|| EngineError::Unreachable { address, detail: "no report".to_owned() })
    }

    async fn service_load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        self.load(address).await
    }

    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        self.state_probes.fetch_add(1, Ordering::SeqCst);
        if self.unreachable.lock().contains(&address) {
            return Err(EngineError::Unreachable { address, detail: "unreachable".to_owned() });
        }
        let state = self.states.lock().get(&address).cloned();
        state.ok_or_else(|| EngineError::Unreadable { address, detail: "no state".to_owned() })
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEventPage, EngineError> {
        let events = self.events.lock().get(&address).cloned().unwrap_or_default();
        let events = events.into_iter().filter(|event| event.number > after).collect();
        Ok(CacheEventPage { events })
    }
}
