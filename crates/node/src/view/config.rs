//! The configuration and the evacuated failure domains in the local view, and how recent they are known to
//! be.

use {
    super::{NodeView, ViewState},
    crate::{
        config_share::KnownConfig,
        config_tracker::{ConfigClaim, ConfigOrigin},
        evacuation::{EvacuationChange, EvacuationSet},
        ports::{ConfigStamp, ConfigUpdate, OperatorChange, WatchPage},
    },
    base::{FailureDomainId, HostId, Tick},
    relay::ConfigStanding,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tracing::info,
};

impl NodeView {
    /// Records where the next answer about the configuration comes from.
    pub fn set_config_origin(&self, origin: ConfigOrigin) {
        self.state.lock().tracker.set_origin(origin);
    }

    /// Applies an answer about the configuration and the evacuated domains, which may have neither.
    pub fn apply_config_page(&self, page: WatchPage<OperatorChange>) {
        let mut state = self.state.lock();
        let mut evacuations = Vec::new();
        for change in page.changes {
            match change {
                OperatorChange::Config(update) => self.take_config(&mut state, *update),
                OperatorChange::Evacuation(change) => evacuations.push(change),
            }
        }
        let (position, is_snapshot) = (page.position, page.is_snapshot);
        let changes = state.evacuations.apply_page(evacuations, position, is_snapshot);
        self.note_evacuations(&mut state, &changes);
        if let Some(age) = page.age {
            let now = self.now();
            if let Some(highest) = state.tracker.age(now).filter(|highest| age < *highest) {
                self.config_ages.note(highest);
            }
            state.tracker.confirm(now.back(age));
        }
        let (confirmed_at, depth) = (state.tracker.confirmed_at(), state.tracker.origin().depth);
        self.offer.confirm(confirmed_at, depth, state.evacuations.clone());
        self.publish_standing(&state);
    }

    /// Takes over the evacuated domains that another process knows, if it read them later. Called before
    /// the confirmation of that process is applied, which is about them as well.
    pub fn adopt_evacuations(&self, set: EvacuationSet) {
        let mut state = self.state.lock();
        let changes = state.evacuations.adopt(set);
        self.note_evacuations(&mut state, &changes);
    }

    /// The evacuated domains, each with the number of its listed servers.
    pub fn evacuated_servers(&self) -> BTreeMap<FailureDomainId, usize> {
        self.with(|state| {
            let count = |domain: &FailureDomainId| {
                state.servers.entries().filter(|entry| entry.failure_domain == *domain).count()
            };
            state.evacuations.domains().map(|domain| (domain.clone(), count(domain))).collect()
        })
    }

    /// Keeps requests away from the servers of evacuated domains, and lets them go to those of domains
    /// that were taken back.
    fn note_evacuations(&self, state: &mut ViewState, changes: &[EvacuationChange]) {
        if changes.is_empty() {
            return;
        }
        let origin = state.tracker.origin();
        let source = origin.peer.as_deref().unwrap_or("store");
        for change in changes {
            let (decision, domain) = match change {
                EvacuationChange::Evacuated(domain) => ("domain-evacuated", domain),
                EvacuationChange::Restored(domain) => ("domain-restored", domain),
            };
            info!(decision, %domain, source, depth = origin.depth, "state");
            if let EvacuationChange::Restored(domain) = change {
                self.presume_cold(state, domain);
            }
        }
        self.rebuild(state);
        self.changed.notify_one();
    }

    /// Applies a configuration and rebuilds the server table, unless it is at or below the known
    /// one in the order of [`ConfigStamp`].
    pub fn apply_config(&self, update: ConfigUpdate) {
        self.take_config(&mut self.state.lock(), update);
    }

    fn take_config(&self, state: &mut ViewState, update: ConfigUpdate) {
        let known = state.config.as_ref().map(|config| config.stamp());
        let stamp = update.stamp();
        if known.is_some_and(|known| known >= stamp) {
            return;
        }
        let origin = state.tracker.origin();
        info!(
            decision = "config-taken",
            version = stamp.version,
            era = stamp.era.0,
            before = known.map(|known| known.version),
            routes = update.relay.route_count(),
            source = origin.peer.as_deref().unwrap_or("store"),
            depth = origin.depth,
            age_ms = state.tracker.claim(self.now()).age_ms,
            "state"
        );
        self.shared.config.store(Some(Arc::new(update.relay.clone())));
        let update = Arc::new(update);
        self.offer.publish(update.clone());
        state.config = Some(update);
        if known.is_none() {
            self.take_cold(state, state.cold_entries(), "server list");
        }
        state.tracker.set_own(stamp);
        self.publish_standing(state);
        self.rebuild(state);
        self.changed.notify_one();
    }

    /// Records what the peer at `address` says about its configuration.
    pub fn note_peer_config(&self, address: SocketAddr, claim: ConfigClaim) {
        let mut state = self.state.lock();
        state.tracker.note_claim(address, claim, self.now());
        self.check_config(&mut state);
    }

    /// Ignores what a peer says about its configuration for a while.
    pub fn distrust_peer(&self, address: SocketAddr) {
        let mut state = self.state.lock();
        state.tracker.distrust(address, self.now());
        self.publish_standing(&state);
    }

    /// Notifies [`Self::outdated`] if a better source of the configuration should be looked for.
    pub(super) fn check_config(&self, state: &mut ViewState) {
        if state.tracker.take_attempt(self.now()) {
            self.outdated.notify_one();
        }
        self.publish_standing(state);
    }

    fn publish_standing(&self, state: &ViewState) {
        let standing = state.tracker.standing(self.now());
        self.shared.standing.send_if_modified(|known: &mut ConfigStanding| {
            let is_new = *known != standing;
            *known = standing;
            is_new
        });
    }

    /// The version of the newest configuration; 0 before one is known.
    pub fn config_version(&self) -> u64 {
        self.shared.config.load().as_ref().map_or(0, |config| config.version)
    }

    /// What this process tells others about its configuration.
    pub fn config_claim(&self) -> ConfigClaim {
        let now = self.now();
        self.with(|state| state.tracker.claim(now))
    }

    /// What this process has when it asks another one for something newer.
    pub(crate) fn known_config(&self) -> KnownConfig {
        let now = self.now();
        self.with(|state| KnownConfig {
            config: state.tracker.claim(now),
            evacuations: state.evacuations.claim(),
        })
    }

    /// The newest configuration's place in the order; zero before one is known.
    pub fn config_stamp(&self) -> ConfigStamp {
        self.config_claim().stamp
    }

    /// Time since the configuration was last known to be the newest one.
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.now();
        self.with(|state| state.tracker.age(now))
    }

    /// Peers that have a newer or a more recently confirmed configuration, the best first.
    pub fn better_peers(&self) -> Vec<SocketAddr> {
        let now = self.now();
        self.with(|state| state.tracker.better_peers(now))
    }

    /// Whether it is this process's turn to read the configuration from the store although its
    /// sources answer.
    pub fn take_store_turn(&self) -> bool {
        let now: Tick = self.now();
        self.with(|state| {
            let processes = state.members.listed().count();
            state.tracker.take_store_turn(processes, rand::random(), now)
        })
    }

    /// The process from which to read the configuration, except those to avoid; `None` if this
    /// process should read it from the store.
    pub fn config_source(
        &self,
        is_avoided: &dyn Fn(&HostId) -> bool,
    ) -> Option<(HostId, SocketAddr)> {
        let now = self.now();
        self.with(|state| state.members.config_source(now, is_avoided))
    }
}
