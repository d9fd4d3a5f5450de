//! A cache of watch pages that this process read from the store and serves to other processes.

use {
    crate::ports::{WatchPage, WatchPosition},
    base::Tick,
    parking_lot::Mutex,
    std::{collections::VecDeque, time::Duration},
    tokio::sync::Notify,
};

/// Pages are served only if the store has answered within this time. It exceeds the time in which a
/// short-poll watch either returns or is found to be stalled.
const MAX_STALENESS: Duration = Duration::from_millis(2_500);
/// Maximum number of cached pages; about half a minute of changes at the usual rate.
const MAX_PAGES: usize = 64;

/// Result of a lookup at a reader's position.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheLookup<T> {
    /// The changes since the position.
    Changes(WatchPage<T>),
    /// Nothing has changed since the reader's position.
    UpToDate {
        /// The position to continue from, which is the same or a later one.
        position: WatchPosition,
        /// Time since the store last answered.
        age: Duration,
    },
    /// The pages since the position are not cached: the reader has to query the store.
    Miss,
    /// The store has not answered recently: the reader should query another process.
    Unreachable,
}

#[derive(Debug)]
struct CachedPage<T> {
    changes: Vec<T>,
    /// Position after the changes.
    end: WatchPosition,
}

#[derive(Debug)]
struct CacheState<T> {
    /// Position before the first page; `None` before the table was read.
    start: Option<WatchPosition>,
    pages: VecDeque<CachedPage<T>>,
    /// When the store last answered a watch; `None` since its last failure.
    last_answer_at: Option<Tick>,
}

/// Cached pages of one table, shared by the watch of the store and the requests of other processes.
/// No method waits while it holds the lock.
#[derive(Debug)]
pub struct PageCache<T> {
    state: Mutex<CacheState<T>>,
    /// Notified when a page is added or the store becomes unreachable.
    pub updated: Notify,
}

impl<T> Default for PageCache<T> {
    fn default() -> Self {
        let state = CacheState { start: None, pages: VecDeque::new(), last_answer_at: None };
        Self { state: Mutex::new(state), updated: Notify::new() }
    }
}

impl<T: Clone> PageCache<T> {
    /// Adds a page from the store. A snapshot replaces everything cached before.
    pub fn insert(&self, page: &WatchPage<T>, now: Tick) {
        let mut state = self.state.lock();
        state.last_answer_at = Some(now);
        if page.is_snapshot {
            state.start = Some(page.position);
            state.pages.clear();
        } else if page.changes.is_empty() {
            if let Some(last) = state.pages.back_mut() {
                last.end = last.end.max(page.position);
            }
        } else {
            state.pages.push_back(CachedPage { changes: page.changes.clone(), end: page.position });
            if state.pages.len() > MAX_PAGES {
                state.start = state.pages.pop_front().map(|dropped| dropped.end);
            }
        }
        drop(state);
        self.updated.notify_waiters();
    }

    /// Records that the store answered another watch.
    pub fn mark_reachable(&self, now: Tick) {
        self.state.lock().last_answer_at = Some(now);
    }

    /// Records that the store did not answer; it counts as unreachable until it answers again.
    pub fn mark_unreachable(&self) {
        self.state.lock().last_answer_at = None;
        self.updated.notify_waiters();
    }

    /// Looks up the changes for a reader that knows everything up to `after`.
    pub fn lookup(&self, after: WatchPosition, now: Tick) -> CacheLookup<T> {
        let state = self.state.lock();
        let age = state.last_answer_at.map(|at| now.since(at));
        // A reader of another era may know rows that this era does not have.
        let covered = state.start.is_some_and(|start| start.era == after.era && after >= start);
        if !covered {
            return CacheLookup::Miss;
        }
        let Some(age) = age.filter(|age| *age < MAX_STALENESS) else {
            return CacheLookup::Unreachable;
        };
        let since = state.pages.iter().filter(|page| page.end > after);
        let changes: Vec<T> = since.flat_map(|page| page.changes.clone()).collect();
        let end = state.pages.back().map_or(after, |page| page.end.max(after));
        if changes.is_empty() {
            return CacheLookup::UpToDate { position: end, age };
        }
        CacheLookup::Changes(WatchPage {
            changes,
            position: end,
            is_snapshot: false,
            age: Some(age),
        })
    }
}
