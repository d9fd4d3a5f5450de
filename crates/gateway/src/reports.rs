//! Polls backend servers for load reports and cache events, a few servers in each round.

use {
    crate::{core::GatewayCore, snapshot::RoutingSnapshot},
    base::{Epoch, GroupId},
    engine::{CacheEvent, CacheEventKind, EngineReports},
    futures::future::join_all,
    route::{LoadReport, PrefixKey, RouteTarget},
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, timeout},
    tokio_util::sync::CancellationToken,
};

/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Backend servers polled in each round. The number is fixed so that a gateway's polling traffic
/// does not grow with the number of servers.
const TARGETS_PER_ROUND: usize = 5;
/// Timeout of one request to a backend server.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
const HEX_RADIX: u32 = 16;

/// Polls backend servers in rotation. Load reports update the servers' counters, and cache events
/// the prefix table.
pub struct ReportReader {
    core: Arc<GatewayCore>,
    port: Arc<dyn EngineReports>,
    /// Number of the last cache event received from each group.
    last_events: HashMap<(GroupId, Epoch), u64>,
    next_index: usize,
}

/// The cache events received from one backend server.
struct TargetEvents {
    target: Arc<RouteTarget>,
    events: Vec<CacheEvent>,
}

impl ReportReader {
    /// Creates a reader that polls the backend servers in the latest snapshot through `port`.
    pub fn new(core: Arc<GatewayCore>, port: Arc<dyn EngineReports>) -> Self {
        Self { core, port, last_events: HashMap::new(), next_index: 0 }
    }

    /// Polls at a fixed interval until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.read_round().await,
            }
        }
    }

    /// Polls the next few backend servers, and removes the event numbers of groups that no longer
    /// exist.
    pub async fn read_round(&mut self) {
        let snapshot = self.core.state.load();
        let polled = self.next_targets(&snapshot);
        let answers = join_all(polled.iter().map(|target| self.poll_target(target.clone()))).await;
        for answer in answers {
            self.apply_events(&answer.target, &answer.events);
        }
        let groups = snapshot.tables()[0].targets();
        self.last_events.retain(|(group, epoch), _| {
            groups.iter().any(|one| one.spec.group == *group && one.spec.epoch == *epoch)
        });
    }

    fn next_targets(&mut self, snapshot: &RoutingSnapshot) -> Vec<Arc<RouteTarget>> {
        let all: Vec<_> = snapshot.tables().iter().flat_map(|table| table.targets()).collect();
        let count = TARGETS_PER_ROUND.min(all.len());
        let start = self.next_index;
        self.next_index = self.next_index.wrapping_add(count);
        (0..count).map(|step| all[(start + step) % all.len()].clone()).collect()
    }

    async fn poll_target(&self, target: Arc<RouteTarget>) -> TargetEvents {
        let address = target.spec.address;
        let own_in_flight = target.counters.in_flight();
        let sent = self.core.now();
        // Servers of plain services have epoch 0. They have no prefix cache.
        let is_group = target.spec.epoch > Epoch(0);
        let load = async {
            match is_group {
                true => self.port.load(address).await,
                false => self.port.service_load(address).await,
            }
        };
        if let Ok(Ok(load)) = timeout(REPORT_TIMEOUT, load).await {
            let report = LoadReport { running: load.running, queued: load.queued };
            target.counters.apply_report(report, own_in_flight, sent);
        }
        let events = if is_group { self.poll_events(&target).await } else { Vec::new() };
        TargetEvents { target, events }
    }

    async fn poll_events(&self, target: &RouteTarget) -> Vec<CacheEvent> {
        let after = self.last_events.get(&target_key(target)).copied().unwrap_or(0);
        let asking = self.port.cache_events(target.spec.address, after);
        match timeout(REPORT_TIMEOUT, asking).await {
            Ok(Ok(page)) => page.events,
            _ => Vec::new(),
        }
    }

    fn apply_events(&mut self, target: &RouteTarget, events: &[CacheEvent]) {
        let last_events = self.last_events.entry(target_key(target)).or_insert(0);
        for event in events.iter().filter(|event| event.number > 0) {
            if *last_events > 0 && event.number > *last_events + 1 {
                // The missed events may have been evictions.
                self.core.prefixes.forget(target.tag);
            }
            *last_events = event.number.max(*last_events);
            let Ok(hash) = u64::from_str_radix(&event.prefix, HEX_RADIX) else { continue };
            match event.kind {
                CacheEventKind::Stored => {
                    self.core.prefixes.note_stored(PrefixKey(hash), target.tag);
                }
                CacheEventKind::Evicted => {
                    self.core.prefixes.note_evicted(PrefixKey(hash), target.tag);
                }
            }
        }
    }
}

fn target_key(target: &RouteTarget) -> (GroupId, Epoch) {
    (target.spec.group.clone(), target.spec.epoch)
}
