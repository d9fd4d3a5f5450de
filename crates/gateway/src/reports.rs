//! Reads engines' load and cache events, a few of them at a time.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);
/// Backend servers asked in one round, so that the traffic of a gateway does not grow with them.
const ASKED_IN_ROUND: usize = 5;
/// Longest wait for a report.
const REPORT_LIMIT: Duration = Duration::from_millis(200);
const HEX: u32 = 16;

/// Asks backend servers in turn.
pub struct ReportReader {
    core: Arc<GatewayCore>,
    port: Arc<dyn EngineReports>,
    /// The last cache event seen of each group.
    seen: HashMap<(GroupId, Epoch), u64>,
    turn: usize,
}

/// What one backend server said.
struct ReportAnswer {
    target: Arc<RouteTarget>,
    events: Vec<CacheEvent>,
}

impl ReportReader {
    /// A reader that has asked nobody yet.
    pub fn new(core: Arc<GatewayCore>, port: Arc<dyn EngineReports>) -> Self {
        Self { core, port, seen: HashMap::new(), turn: 0 }
    }

    /// Reads until cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(ROUND);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.read_round().await,
            }
        }
    }

    /// Asks the next few backend servers.
    pub async fn read_round(&mut self) {
        let snapshot = self.core.state.load();
        let asked = self.next_targets(&snapshot);
        let answers = join_all(asked.iter().map(|target| self.ask(target.clone()))).await;
        for answer in answers {
            self.take_events(&answer.target, &answer.events);
        }
        let groups = snapshot.tables()[0].targets();
        self.seen.retain(|(group, epoch), _| {
            groups.iter().any(|one| one.spec.group == *group && one.spec.epoch == *epoch)
        });
    }

    fn next_targets(&mut self, snapshot: &RoutingSnapshot) -> Vec<Arc<RouteTarget>> {
        let all: Vec<_> = snapshot.tables().iter().flat_map(|table| table.targets()).collect();
        let count = ASKED_IN_ROUND.min(all.len());
        let start = self.turn;
        self.turn = self.turn.wrapping_add(count);
        (0..count).map(|step| all[(start + step) % all.len()].clone()).collect()
    }

    async fn ask(&self, target: Arc<RouteTarget>) -> ReportAnswer {
        let address = target.spec.address;
        let own_then = target.counters.in_flight();
        let sent = self.core.now();
        // An epoch of 0 marks a server of a plain service, which has no prefix cache.
        let is_group = target.spec.epoch > Epoch(0);
        let load = async {
            match is_group {
                true => self.port.load(address).await,
                false => self.port.service_load(address).await,
            }
        };
        if let Ok(Ok(load)) = timeout(REPORT_LIMIT, load).await {
            let report = LoadReport { running: load.running, queued: load.queued };
            target.counters.apply_report(report, own_then, sent);
        }
        let events = if is_group { self.ask_events(&target).await } else { Vec::new() };
        ReportAnswer { target, events }
    }

    async fn ask_events(&self, target: &RouteTarget) -> Vec<CacheEvent> {
        let after = self.seen.get(&key(target)).copied().unwrap_or(0);
        let asking = self.port.cache_events(target.spec.address, after);
        match timeout(REPORT_LIMIT, asking).await {
            Ok(Ok(page)) => page.events,
            _ => Vec::new(),
        }
    }

    fn take_events(&mut self, target: &RouteTarget, events: &[CacheEvent]) {
        let seen = self.seen.entry(key(target)).or_insert(0);
        for event in events.iter().filter(|event| event.number > 0) {
            if *seen > 0 && event.number > *seen + 1 {
                // What was evicted meanwhile is not known.
                self.core.prefixes.forget(target.tag);
            }
            *seen = event.number.max(*seen);
            let Ok(hash) = u64::from_str_radix(&event.prefix, HEX) else { continue };
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

fn key(target: &RouteTarget) -> (GroupId, Epoch) {
    (target.spec.group.clone(), target.spec.epoch)
}
