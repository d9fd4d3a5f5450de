//! Loads of the gateways, and the list of gateways that accept callers.

use {
    base::{HostId, Tick},
    parking_lot::Mutex,
    peer::{
        GatewayEntry, MemberView,
        message::{LOAD_FULL, LOAD_NONE},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Age after which a load from a gateway's own poll is ignored and the gateway considered down.
const DIRECT_LOAD_MAX_AGE: Duration = Duration::from_secs(3);
/// Age after which a load that a peer reported is ignored.
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy)]
struct LoadEntry {
    load: u8,
    tick: Tick,
    /// True for a load from the gateway's own poll, false for one that a peer reported.
    direct: bool,
}

/// The newest known load of each host's gateway, from polls and from peers' answers.
#[derive(Default)]
pub struct LoadTable {
    entries: Mutex<BTreeMap<HostId, LoadEntry>>,
}

impl LoadTable {
    /// Records the load from a gateway's poll. A load that a peer reports replaces it only if it
    /// was measured at least `DIRECT_LOAD_MAX_AGE` later.
    pub fn record_poll(&self, host: &HostId, load: u8, now: Tick) {
        self.insert_newer(host, LoadEntry { load, tick: now, direct: true });
    }

    /// Records a load that a peer reported and that was measured no earlier than `tick`.
    pub fn record_report(&self, host: &HostId, load: u8, tick: Tick) {
        self.insert_newer(host, LoadEntry { load, tick, direct: false });
    }

    /// Load of a host's gateway, or [`LOAD_NONE`] if no load is known or the last one is too old.
    pub fn load(&self, host: &HostId, now: Tick) -> u8 {
        let entries = self.entries.lock();
        entries.get(host).map_or(LOAD_NONE, |entry| entry.load_at(now))
    }

    /// Loads of all members of a view, in the order of its members.
    pub fn loads(&self, view: &MemberView, now: Tick) -> Vec<u8> {
        let entries = self.entries.lock();
        let members = view.members.iter();
        members
            .map(|row| entries.get(&row.member.host).map_or(LOAD_NONE, |e| e.load_at(now)))
            .collect()
    }

    /// Gateways of a view that accept callers: those with a known load of at most [`LOAD_FULL`].
    pub fn gateways(&self, view: &MemberView, now: Tick) -> Vec<GatewayEntry> {
        let loads = self.loads(view, now);
        let members = view.members.iter().zip(loads).filter(|(_, load)| *load <= LOAD_FULL);
        members
            .map(|(row, load)| GatewayEntry {
                host: row.member.host.clone(),
                address: row.gateway_address,
                failure_domain: row.failure_domain.clone(),
                region: row.region.clone(),
                load,
            })
            .collect()
    }

    fn insert_newer(&self, host: &HostId, entry: LoadEntry) {
        let mut entries = self.entries.lock();
        let known = entries.get(host);
        let outdated = known.is_some_and(|known| {
            let has_fresh_poll =
                known.direct && !entry.direct && entry.tick.since(known.tick) < DIRECT_LOAD_MAX_AGE;
            has_fresh_poll || known.tick > entry.tick
        });
        if !outdated {
            entries.insert(host.clone(), entry);
        }
    }
}

impl LoadEntry {
    fn load_at(&self, now: Tick) -> u8 {
        let limit = if self.direct { DIRECT_LOAD_MAX_AGE } else { REPORTED_LOAD_MAX_AGE };
        if now.since(self.tick) > limit { LOAD_NONE } else { self.load }
    }
}
