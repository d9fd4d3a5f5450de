//! The known state of the server list, which tolerates outages of the store.

use {
    crate::{
        peers::LeavingNotice,
        ports::{ServerChange, ServerEntry, ServerStanding, WatchPage, WatchPosition},
    },
    base::{Epoch, GroupId, StoreEra, Tick},
    plan::staged::{GroupDeparture, Membership},
    relay::ServerId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tracing::info,
};

/// Time within which servers that are alive register again after the store has come back. What is still
/// missing then is gone.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_000);

/// Longest time from the last failed read of the store to the next one, which shows that it is back.
const RETRY_MARGIN: Duration = Duration::from_millis(500);

/// Time after an outage in which a server may still leave the list whose leave the outage hid: its
/// entry expires after three missing heartbeats.
const UNSEEN_LEAVE_SPAN: Duration = Duration::from_secs(6);

/// How long an entry is remembered after the server was removed from the list; above the time for
/// which a live server may be unable to reach the store.
const DELISTED_RETENTION: Duration = Duration::from_secs(60);

/// How long the leaving of a server is remembered; above the time that a leaving server may serve
/// on, and above the age of the copy from which the store may come back.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// How long the leaving of a group is remembered; above the time that members of a head which is out
/// of reach wait.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// A server in the list.
#[derive(Clone, Debug)]
struct ListedServer {
    entry: ServerEntry,
    /// Set while the store no longer lists the server: when the entry is removed unless the server
    /// registers again.
    kept_until: Option<Tick>,
}

/// A server that is known to be leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingServer {
    boot_id: Option<u64>,
    since: Tick,
}

/// The last composition that each engine left, as its entries showed.
#[derive(Debug, Default)]
struct DepartureLog {
    departures: BTreeMap<ServerId, GroupDeparture>,
}

impl DepartureLog {
    /// Compares an engine's entry with the one before it.
    fn note(&mut self, before: &ServerEntry, after: &ServerEntry, now: Tick) {
        let left = membership(before).filter(|left| !is_in(after, &left.group, left.epoch));
        if let Some(left) = left {
            let (group, epoch) = (left.group.clone(), left.epoch);
            self.departures.insert(after.id.clone(), GroupDeparture { group, epoch, seen: now });
        }
        if self.of(&after.id).is_some_and(|left| is_in(after, &left.group, left.epoch)) {
            self.departures.remove(&after.id);
        }
    }

    fn of(&self, id: &ServerId) -> Option<&GroupDeparture> {
        self.departures.get(id)
    }

    fn expire(&mut self, now: Tick) {
        self.departures.retain(|_, left| now.since(left.seen) < DEPARTURE_RETENTION);
    }
}

fn membership(entry: &ServerEntry) -> Option<&Membership> {
    entry.facts.as_ref()?.membership.as_ref()
}

fn is_in(entry: &ServerEntry, group: &GroupId, epoch: Epoch) -> bool {
    membership(entry).is_some_and(|present| present.group == *group && present.epoch == epoch)
}

/// The servers that count as listed, and those that were removed recently.
#[derive(Debug, Default)]
pub struct ServerList {
    listed: BTreeMap<ServerId, ListedServer>,
    /// Entries of servers that were removed from the list, with the time of the removal.
    delisted: BTreeMap<ServerId, (ServerEntry, Tick)>,
    /// Servers that are leaving or left. An entry that says otherwise is out of date, unless the
    /// server was started again.
    leaving: BTreeMap<ServerId, LeavingServer>,
    departures: DepartureLog,
    /// When the store last failed to answer.
    failed_at: Option<Tick>,
    /// The era of the last page.
    era: StoreEra,
    /// Up to where the store's history is known.
    read_to: WatchPosition,
    /// Whether a page was applied.
    loaded: bool,
}

impl ServerList {
    /// Records that the store does not answer. Live servers that it drops meanwhile are kept until
    /// `OUTAGE_GRACE` after it has come back.
    pub fn note_outage(&mut self, now: Tick) {
        self.failed_at = Some(now);
    }

    /// Whether the list was out of date until a short time ago, so that servers may have announced
    /// their leave, and stopped listening, without it.
    pub fn was_out_of_date(&self, now: Tick) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) <= UNSEEN_LEAVE_SPAN)
    }

    /// Records that a server is leaving, also one that is not listed yet. Returns whether that was
    /// not known.
    pub fn note_leaving(&mut self, notice: &LeavingNotice, now: Tick) -> bool {
        let LeavingNotice { server, boot_id } = notice;
        if self.leaving.get(server).is_some_and(|known| known.boot_id >= *boot_id) {
            return false;
        }
        self.leaving.insert(server.clone(), LeavingServer { boot_id: *boot_id, since: now });
        let listed = self.listed.get_mut(server).map(|listed| &mut listed.entry);
        if let Some(entry) = listed.filter(|entry| entry.boot_id == *boot_id) {
            entry.standing = ServerStanding::Leaving;
        }
        true
    }

    /// The entry of a listed server.
    pub fn entry(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.listed.get(id).map(|server| &server.entry)
    }

    /// Applies a page of changes and returns the added and removed servers.
    pub fn apply(&mut self, page: WatchPage<ServerChange>, now: Tick) -> ServerListChanges {
        let restored = self.loaded && page.is_snapshot && page.position.era > self.era;
        self.loaded = true;
        self.era = self.era.max(page.position.era);
        self.note_read(page.position);
        if restored {
            // Entries that are missing from the older copy are kept until they are written again.
            info!(decision = "servers-restored", era = self.era.0, "state");
            self.note_outage(now);
        }
        let mut delta = ServerListChanges::default();
        let mut seen = BTreeSet::new();
        for change in page.changes {
            match change {
                ServerChange::Listed(entry) => {
                    seen.insert(entry.id.clone());
                    if !restored || self.is_unknown(&entry) {
                        self.insert_entry(*entry, now, &mut delta);
                    }
                }
                ServerChange::Dropped(id) => self.remove_entry(&id, now, &mut delta),
            }
        }
        if page.is_snapshot {
            let missing: Vec<ServerId> =
                self.listed.keys().filter(|id| !seen.contains(*id)).cloned().collect();
            for id in missing {
                self.remove_entry(&id, now, &mut delta);
            }
        }
        delta
    }

    /// Records that the list is known up to a position.
    pub fn note_read(&mut self, position: WatchPosition) {
        self.read_to = self.read_to.max(position);
    }

    /// The position up to which the list is known.
    pub fn read_to(&self) -> WatchPosition {
        self.read_to
    }

    /// Whether this start of a server was never listed here. The entry of any other one that comes
    /// from an older copy of the store is older than what is known.
    fn is_unknown(&self, entry: &ServerEntry) -> bool {
        let listed = self.listed.get(&entry.id).map(|server| &server.entry);
        let known = listed.or_else(|| self.delisted.get(&entry.id).map(|(entry, _)| entry));
        known.is_none_or(|known| known.boot_id < entry.boot_id)
    }

    /// Removes servers that did not register again in time after an outage, and forgets old
    /// delisted entries.
    pub fn expire(&mut self, now: Tick) -> ServerListChanges {
        let expired = |server: &ListedServer| server.kept_until.is_some_and(|at| at <= now);
        let removed: Vec<ServerId> = self
            .listed
            .iter()
            .filter(|(_, server)| expired(server))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &removed {
            self.delist(id, now);
        }
        self.delisted.retain(|_, (_, since)| now.since(*since) < DELISTED_RETENTION);
        self.leaving.retain(|_, server| now.since(server.since) < LEAVING_RETENTION);
        self.departures.expire(now);
        ServerListChanges { added: Vec::new(), removed }
    }

    /// All servers that count as listed.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.listed.values().map(|server| &server.entry)
    }

    /// A server that is listed or was removed from the list recently.
    pub fn known_entry(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.entry(id).or_else(|| self.delisted.get(id).map(|(entry, _)| entry))
    }

    /// The last group that an engine left, unless it is in it again.
    pub fn departure(&self, id: &ServerId) -> Option<&GroupDeparture> {
        self.departures.of(id)
    }

    /// Servers that were removed from the list recently. They may still be alive without access to
    /// the store.
    pub fn delisted(&self) -> impl Iterator<Item = &ServerEntry> {
        self.delisted.values().map(|(entry, _)| entry)
    }

    fn delist(&mut self, id: &ServerId, now: Tick) {
        if let Some(server) = self.listed.remove(id) {
            self.delisted.insert(id.clone(), (server.entry, now));
        }
    }

    fn insert_entry(&mut self, mut entry: ServerEntry, now: Tick, delta: &mut ServerListChanges) {
        let id = entry.id.clone();
        let known = self.leaving.get(&id).filter(|known| known.boot_id == entry.boot_id);
        if known.is_some() {
            entry.standing = ServerStanding::Leaving;
        } else if entry.standing == ServerStanding::Leaving {
            let server = LeavingServer { boot_id: entry.boot_id, since: now };
            self.leaving.insert(id.clone(), server);
        }
        self.delisted.remove(&id);
        let boot_id = entry.boot_id;
        if let Some(before) = self.listed.get(&id) {
            self.departures.note(&before.entry, &entry, now);
        }
        let before = self.listed.insert(id.clone(), ListedServer { entry, kept_until: None });
        let restarted = before.as_ref().is_some_and(|before| before.entry.boot_id != boot_id);
        if restarted {
            // What is known of the earlier start does not hold for this one.
            delta.removed.push(id.clone());
        }
        if restarted || before.is_none() {
            delta.added.push(id);
        }
    }

    fn remove_entry(&mut self, id: &ServerId, now: Tick, delta: &mut ServerListChanges) {
        // Counted from the outage: an entry that is dropped later, by a server that leaves, is kept for
        // the rest of that time only.
        let kept_until = self.failed_at.map(|at| at + OUTAGE_GRACE + RETRY_MARGIN);
        let kept_until = kept_until.filter(|until| now < *until);
        let Some(server) = self.listed.get_mut(id) else { return };
        if kept_until.is_some() && server.entry.standing == ServerStanding::Live {
            server.kept_until = server.kept_until.or(kept_until);
        } else {
            self.delist(id, now);
            delta.removed.push(id.clone());
        }
    }
}

/// The servers added and removed by an update of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerListChanges {
    /// Servers that were not in the list before.
    pub added: Vec<ServerId>,
    /// Servers that are no longer in the list.
    pub removed: Vec<ServerId>,
}
