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

/// The part of the history that the cached pages cover without a gap.
#[derive(Clone, Copy, Debug)]
struct CachedSpan {
    start: WatchPosition,
    end: WatchPosition,
}

#[derive(Debug)]
struct CacheState<T> {
    /// Positions before the first page and after the last one; `None` before the table was read.
    span: Option<CachedSpan>,
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
        let state = CacheState { span: None, pages: VecDeque::new(), last_answer_at: None };
        Self { state: Mutex::new(state), updated: Notify::new() }
    }
}

impl<T: Clone> PageCache<T> {
    /// Adds a page that the store returned for a watch from `after`. A snapshot replaces everything
    /// cached before, and so does a page that does not continue the last one: this process read what
    /// lies between from another process.
    pub fn insert(&self, after: Option<WatchPosition>, page: &WatchPage<T>, now: Tick) {
        let mut state = self.state.lock();
        state.last_answer_at = Some(now);
        let start = after.filter(|_| !page.is_snapshot).unwrap_or(page.position);
        let known = state.span.filter(|span| !page.is_snapshot && span.end == start);
        if known.is_none() {
            state.pages.clear();
        }
        let mut span = known.unwrap_or(CachedSpan { start, end: start });
        span.end = span.end.max(page.position);
        if !page.is_snapshot && !page.changes.is_empty() {
            state.pages.push_back(CachedPage { changes: page.changes.clone(), end: page.position });
            if state.pages.len() > MAX_PAGES
                && let Some(dropped) = state.pages.pop_front()
            {
                span.start = dropped.end;
            }
        }
        state.span = Some(span);
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
        let is_covered = |span: &CachedSpan| span.start.era == after.era && after >= span.start;
        let Some(span) = state.span.filter(is_covered) else { return CacheLookup::Miss };
        let Some(age) = age.filter(|age| *age < MAX_STALENESS) else {
            return CacheLookup::Unreachable;
        };
        let since = state.pages.iter().filter(|page| page.end > after);
        let changes: Vec<T> = since.flat_map(|page| page.changes.clone()).collect();
        let end = span.end.max(after);
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
