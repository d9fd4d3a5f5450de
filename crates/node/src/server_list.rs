//! The server list as it is believed, also around outages of the store.

use {
    crate::ports::{ServerChange, ServerEntry, ServerStanding, WatchPage},
    base::Tick,
    relay::ServerId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// After an outage of the store, entries of live servers that it dropped meanwhile are back within
/// this time.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_000);

/// How long an entry is remembered after the server is no longer believed in; above the time for
/// which a live server may be cut off from the store.
const DELISTED_RETENTION: Duration = Duration::from_secs(60);

/// One server and whether its entry may only have lapsed.
#[derive(Clone, Debug)]
struct ListedServer {
    entry: ServerEntry,
    /// Until when the server is believed in although it is not listed.
    kept_until: Option<Tick>,
}

/// The server list.
#[derive(Debug, Default)]
pub struct ServerList {
    lines: BTreeMap<ServerId, ListedServer>,
    /// Entries of servers that are no longer believed in, and since when.
    delisted: BTreeMap<ServerId, (ServerEntry, Tick)>,
    /// When the store last failed to answer.
    failed_at: Option<Tick>,
}

impl ServerList {
    /// Notes that the store does not answer.
    pub fn note_outage(&mut self, now: Tick) {
        self.failed_at = Some(now);
    }

    /// Takes changes in; gives back the servers that are new and those that are gone.
    pub fn apply(&mut self, page: WatchPage<ServerChange>, now: Tick) -> ServerListChanges {
        let mut delta = ServerListChanges::default();
        let mut seen = BTreeSet::new();
        for change in page.changes {
            match change {
                ServerChange::Listed(entry) => {
                    seen.insert(entry.id.clone());
                    self.insert_entry(*entry, &mut delta);
                }
                ServerChange::Dropped(id) => self.remove_entry(&id, now, &mut delta),
            }
        }
        if page.whole {
            let missing: Vec<ServerId> =
                self.lines.keys().filter(|id| !seen.contains(*id)).cloned().collect();
            for id in missing {
                self.remove_entry(&id, now, &mut delta);
            }
        }
        delta
    }

    /// Ends the belief in servers whose entries did not come back.
    pub fn expire(&mut self, now: Tick) -> ServerListChanges {
        let over = |line: &ListedServer| line.kept_until.is_some_and(|at| at <= now);
        let removed: Vec<ServerId> =
            self.lines.iter().filter(|(_, line)| over(line)).map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.delist(id, now);
        }
        self.delisted.retain(|_, (_, since)| now.since(*since) < DELISTED_RETENTION);
        ServerListChanges { added: Vec::new(), removed }
    }

    /// All servers that are believed in.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.lines.values().map(|line| &line.entry)
    }

    /// Entries of servers that were believed in until a while ago. They may live on, cut off from the
    /// store.
    pub fn delisted(&self) -> impl Iterator<Item = &ServerEntry> {
        self.delisted.values().map(|(entry, _)| entry)
    }

    fn delist(&mut self, id: &ServerId, now: Tick) {
        if let Some(line) = self.lines.remove(id) {
            self.delisted.insert(id.clone(), (line.entry, now));
        }
    }

    fn insert_entry(&mut self, entry: ServerEntry, delta: &mut ServerListChanges) {
        let id = entry.id.clone();
        self.delisted.remove(&id);
        let added =
            self.lines.insert(id.clone(), ListedServer { entry, kept_until: None }).is_none();
        if added {
            delta.added.push(id);
        }
    }

    fn remove_entry(&mut self, id: &ServerId, now: Tick, delta: &mut ServerListChanges) {
        let after_outage = self.failed_at.is_some_and(|at| now.since(at) <= OUTAGE_GRACE);
        let Some(line) = self.lines.get_mut(id) else { return };
        if after_outage && line.entry.standing == ServerStanding::Live {
            line.kept_until.get_or_insert(now + OUTAGE_GRACE);
        } else {
            self.delist(id, now);
            delta.removed.push(id.clone());
        }
    }
}

/// What changed in the belief.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerListChanges {
    /// Servers that were not known.
    pub added: Vec<ServerId>,
    /// Servers that are no longer believed in.
    pub removed: Vec<ServerId>,
}
