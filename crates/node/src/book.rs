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
const LAPSE_SPAN: Duration = Duration::from_millis(2_000);

/// How long an entry is remembered after the server is no longer believed in; above the time for
/// which a live server may be cut off from the store.
const GHOST_SPAN: Duration = Duration::from_secs(60);

/// One server and whether its entry may only have lapsed.
#[derive(Clone, Debug)]
struct BookLine {
    entry: ServerEntry,
    /// Until when the server is believed in although it is not listed.
    lapses_at: Option<Tick>,
}

/// The server list.
#[derive(Debug, Default)]
pub struct ServerBook {
    lines: BTreeMap<ServerId, BookLine>,
    /// Entries of servers that are no longer believed in, and since when.
    ghosts: BTreeMap<ServerId, (ServerEntry, Tick)>,
    /// When the store last failed to answer.
    failed_at: Option<Tick>,
}

impl ServerBook {
    /// Notes that the store does not answer.
    pub fn note_outage(&mut self, now: Tick) {
        self.failed_at = Some(now);
    }

    /// Takes changes in; gives back the servers that are new and those that are gone.
    pub fn apply(&mut self, page: WatchPage<ServerChange>, now: Tick) -> BookNews {
        let mut news = BookNews::default();
        let mut seen = BTreeSet::new();
        for change in page.changes {
            match change {
                ServerChange::Listed(entry) => {
                    seen.insert(entry.id.clone());
                    self.list(*entry, &mut news);
                }
                ServerChange::Dropped(id) => self.drop_entry(&id, now, &mut news),
            }
        }
        if page.whole {
            let missing: Vec<ServerId> =
                self.lines.keys().filter(|id| !seen.contains(*id)).cloned().collect();
            for id in missing {
                self.drop_entry(&id, now, &mut news);
            }
        }
        news
    }

    /// Ends the belief in servers whose entries did not come back.
    pub fn expire(&mut self, now: Tick) -> BookNews {
        let over = |line: &BookLine| line.lapses_at.is_some_and(|at| at <= now);
        let gone: Vec<ServerId> =
            self.lines.iter().filter(|(_, line)| over(line)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.bury(id, now);
        }
        self.ghosts.retain(|_, (_, since)| now.since(*since) < GHOST_SPAN);
        BookNews { added: Vec::new(), gone }
    }

    /// All servers that are believed in.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.lines.values().map(|line| &line.entry)
    }

    /// Entries of servers that were believed in until a while ago. They may live on, cut off from the
    /// store.
    pub fn ghosts(&self) -> impl Iterator<Item = &ServerEntry> {
        self.ghosts.values().map(|(entry, _)| entry)
    }

    fn bury(&mut self, id: &ServerId, now: Tick) {
        if let Some(line) = self.lines.remove(id) {
            self.ghosts.insert(id.clone(), (line.entry, now));
        }
    }

    fn list(&mut self, entry: ServerEntry, news: &mut BookNews) {
        let id = entry.id.clone();
        self.ghosts.remove(&id);
        let added = self.lines.insert(id.clone(), BookLine { entry, lapses_at: None }).is_none();
        if added {
            news.added.push(id);
        }
    }

    fn drop_entry(&mut self, id: &ServerId, now: Tick, news: &mut BookNews) {
        let after_outage = self.failed_at.is_some_and(|at| now.since(at) <= LAPSE_SPAN);
        let Some(line) = self.lines.get_mut(id) else { return };
        if after_outage && line.entry.standing == ServerStanding::Live {
            line.lapses_at.get_or_insert(now + LAPSE_SPAN);
        } else {
            self.bury(id, now);
            news.gone.push(id.clone());
        }
    }
}

/// What changed in the belief.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BookNews {
    /// Servers that were not known.
    pub added: Vec<ServerId>,
    /// Servers that are no longer believed in.
    pub gone: Vec<ServerId>,
}
