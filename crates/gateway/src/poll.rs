//! Polls controllers for updates of the state and for share grants.

use {
    crate::{
        controller::ControllerPort, core::GatewayCore, shares::ShareRequesters,
        snapshot::RoutingSnapshot,
    },
    peer::{
        GatewayPoll,
        message::{LOAD_DRAINING, LOAD_FULL},
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, timeout},
    tokio_util::sync::CancellationToken,
};

/// Maximum number of controllers polled in one round.
const MAX_POLLS_PER_ROUND: usize = 3;
/// Number of runs at which the gateway reports full load.
const FULL_LOAD_RUNS: usize = 2_000;

/// Polls the controller from the settings, and other controllers while that one is down or
/// isolated.
pub struct StatePoller {
    core: Arc<GatewayCore>,
    port: Arc<dyn ControllerPort>,
    hosts_seen: HashMap<SocketAddr, u64>,
    shares: ShareRequesters,
    round: usize,
    current: bool,
}

impl StatePoller {
    /// Creates a poller for the controllers in the settings and in the view.
    pub fn new(core: Arc<GatewayCore>, port: Arc<dyn ControllerPort>) -> Self {
        Self {
            core,
            port,
            hosts_seen: HashMap::new(),
            shares: ShareRequesters::default(),
            round: 0,
            current: false,
        }
    }

    /// Polls at the interval from the settings until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let period = Duration::from_millis(self.core.settings.controller_poll_ms);
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.poll_round().await,
            }
        }
    }

    /// Polls the candidates in order until one has evidence that this gateway's state head is the
    /// newest.
    pub async fn poll_round(&mut self) {
        for address in self.candidates() {
            if self.poll_one(address).await {
                break;
            }
        }
        self.round = self.round.wrapping_add(1);
        self.log_currency_change();
    }

    /// Returns the controllers to poll in this round: first the one from the settings, then others,
    /// starting at a different one in each round.
    fn candidates(&self) -> Vec<SocketAddr> {
        let settings = &self.core.settings;
        let snapshot = self.core.state.load();
        let mut others: Vec<SocketAddr> = settings.other_controllers.clone();
        others.extend(snapshot.cluster.view.members.iter().map(|row| row.peer_address));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != settings.controller);
        if !others.is_empty() {
            let start = self.round % others.len();
            others.rotate_left(start);
        }
        std::iter::once(settings.controller).chain(others).take(MAX_POLLS_PER_ROUND).collect()
    }

    /// Polls one controller and applies its answer. Returns whether the controller has evidence that
    /// this gateway's state head, after the update, is the newest.
    async fn poll_one(&mut self, address: SocketAddr) -> bool {
        let poll = self.poll_message(address);
        // The age of the evidence in the answer counts from the time of sending, because the answer
        // may be delayed.
        let sent = self.core.now();
        let limit = Duration::from_millis(self.core.settings.freshness.window_ms / 3);
        let Ok(Ok(update)) = timeout(limit, self.port.poll(address, poll)).await else {
            self.hosts_seen.remove(&address);
            self.core.meters.failed_polls.inc();
            return false;
        };
        if let Some(hosts) = &update.hosts {
            // Each controller numbers its host lists independently, so numbers from other
            // controllers do not apply to this list.
            self.hosts_seen.clear();
            self.hosts_seen.insert(address, hosts.number);
        }
        self.core.meters.polls.inc();
        self.core.state.apply(sent, &update);
        self.shares.apply_grants(&self.core.state.load(), &update.shares);
        self.core.shares_updated.notify_waiters();
        update.age_ms.is_some() && update.head.number == self.core.state.load().head()
    }

    fn poll_message(&mut self, address: SocketAddr) -> GatewayPoll {
        let snapshot: Arc<RoutingSnapshot> = self.core.state.load();
        let demands = self.shares.demands(&snapshot, self.core.now());
        GatewayPoll {
            host: self.core.settings.host.clone(),
            address: self.core.settings.listen,
            load: self.load(),
            head: snapshot.head(),
            digests: snapshot.digests(),
            hosts_seen: self.hosts_seen.get(&address).copied().unwrap_or(0),
            demands,
        }
    }

    fn load(&self) -> u8 {
        if self.core.stop.is_stopping() {
            return LOAD_DRAINING;
        }
        let runs = self.core.runs.len().min(FULL_LOAD_RUNS);
        u8::try_from(runs * usize::from(LOAD_FULL) / FULL_LOAD_RUNS).unwrap_or(LOAD_FULL)
    }

    fn log_currency_change(&mut self) {
        let current = self.core.current_state().is_ok();
        if current == self.current {
            return;
        }
        self.current = current;
        if current {
            let head = self.core.state.load().head();
            tracing::info!(%head, "the state is current");
        } else {
            tracing::warn!(
                "isolated: no controller has evidence for the newest state head; refusing new work"
            );
        }
    }
}
