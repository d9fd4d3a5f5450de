//! What the engines of the process know of each other, as the members of a real group do.
//!
//! Members that became ready together form a bond by their boots. A member that restarted is not
//! part of the bond any more: its group makes no token until a load with a new epoch.

use {
    crate::engine::StandinEngine,
    base::{Epoch, GroupId, HostId},
    engine::LoadOrder,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Whether a group's members are all there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPresence {
    /// Every member is there.
    Whole,
    /// A member does not answer since then; it may come back.
    Missing {
        /// Since when, in milliseconds since the start of the process.
        since_ms: u64,
    },
    /// A member left or restarted then; the epoch never works again.
    Broken {
        /// Since when, in milliseconds since the start of the process.
        since_ms: u64,
    },
}

#[derive(Clone)]
struct BondedMember {
    engine: Arc<StandinEngine>,
    boot: u64,
}

/// All engines of the process and the bonds between them.
#[derive(Default)]
pub struct EngineSite {
    engines: OnceLock<HashMap<HostId, Arc<StandinEngine>>>,
    bonds: Mutex<HashMap<(GroupId, Epoch), Arc<Vec<BondedMember>>>>,
}

impl EngineSite {
    /// Sets the engines, once.
    pub fn set_engines(&self, engines: HashMap<HostId, Arc<StandinEngine>>) {
        // The world sets them once, right after building them.
        let _ = self.engines.set(engines);
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<StandinEngine>> {
        self.engines.get().into_iter().flat_map(HashMap::values)
    }

    /// Forms the bond of a group once every member is ready.
    pub fn bond(&self, order: &LoadOrder) {
        let mut members = Vec::with_capacity(order.members.len());
        for member in &order.members {
            let engine = self.engines.get().and_then(|engines| engines.get(&member.host));
            let ready = engine.and_then(|engine| Some((engine, engine.ready_boot(order)?)));
            let Some((engine, boot)) = ready else { return };
            members.push(BondedMember { engine: engine.clone(), boot });
        }
        let key = (order.group.clone(), order.epoch);
        self.bonds.lock().entry(key).or_insert_with(|| Arc::new(members));
    }

    /// Whether the members of a group are all there.
    pub fn presence(&self, order: &LoadOrder, now_ms: u64) -> GroupPresence {
        let Some(members) = self.members(order) else {
            return GroupPresence::Missing { since_ms: now_ms };
        };
        let mut presence = GroupPresence::Whole;
        for member in members.iter() {
            match member.engine.presence(order, member.boot) {
                GroupPresence::Whole => {}
                GroupPresence::Missing { since_ms } => {
                    presence = GroupPresence::Missing { since_ms };
                }
                broken => return broken,
            }
        }
        presence
    }

    /// The slowest member's time for a step, in percent of the usual time.
    pub fn pace_percent(&self, order: &LoadOrder) -> u32 {
        let members = self.members(order);
        let paces = members.iter().flat_map(|members| members.iter());
        paces.map(|member| member.engine.pace_percent()).max().unwrap_or(100)
    }

    fn members(&self, order: &LoadOrder) -> Option<Arc<Vec<BondedMember>>> {
        self.bonds.lock().get(&(order.group.clone(), order.epoch)).cloned()
    }
}

/// The rate-limited store that weights are loaded from.
pub struct WeightStore {
    core: Mutex<WeightCore>,
}

struct WeightCore {
    loads_per_second: u32,
    next_free: Instant,
}

impl WeightStore {
    /// A store that sustains this many loads a second; 0 for no bound.
    pub fn new(loads_per_second: u32) -> Self {
        let core = WeightCore { loads_per_second, next_free: Instant::now() };
        Self { core: Mutex::new(core) }
    }

    /// Changes the rate for loads that come later.
    pub fn set_rate(&self, loads_per_second: u32) {
        self.core.lock().loads_per_second = loads_per_second;
    }

    /// Waits for a turn.
    pub async fn admit(&self) {
        let turn = self.core.lock().next_turn();
        tokio::time::sleep_until(turn).await;
    }
}

impl WeightCore {
    fn next_turn(&mut self) -> Instant {
        let turn = self.next_free.max(Instant::now());
        let gap = match self.loads_per_second {
            0 => Duration::ZERO,
            rate => Duration::from_secs(1) / rate,
        };
        self.next_free = turn + gap;
        turn
    }
}
