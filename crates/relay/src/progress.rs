//! What one request has been through, over all of its sends.

use {
    crate::server::ServerId,
    parking_lot::Mutex,
    scarce::Occupancy,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

/// State of one request that changes with each send.
#[derive(Default)]
pub(crate) struct CallProgress {
    /// Servers that can't take the request any more: they have answered, refused or failed it, or no
    /// connection could be made. One that lost a race is none of them.
    pub(crate) tried: Vec<ServerId>,
    /// Whether a server may have run the request.
    pub(crate) may_have_run: bool,
    /// Id of the last event that was forwarded to the caller; set when a stream is resumed.
    pub(crate) last_event: Option<u64>,
    /// Occupancy of its pool when the request was admitted; `None` if it asked for no room.
    pub(crate) occupancy: Option<Occupancy>,
    /// Whether a server failed it, or stood still, before its answer began.
    pub(crate) is_disturbed: bool,
    /// Shared with the sends that are under way.
    pub(crate) record: Arc<SendRecord>,
}

/// What sends have done, also those that were dropped before their outcome was known.
#[derive(Debug, Default)]
pub(crate) struct SendRecord {
    attempted: Mutex<Vec<ServerId>>,
    reached: Mutex<Vec<ServerId>>,
    is_open: AtomicBool,
    crashes: AtomicU32,
}

impl SendRecord {
    /// Records that a connection to a server is about to be made.
    pub(crate) fn note_attempt(&self, server: &ServerId) {
        self.attempted.lock().push(server.clone());
    }

    /// Servers to which no connection was made, so far or before the send was dropped.
    pub(crate) fn unreached(&self) -> Vec<ServerId> {
        let reached = self.reached.lock();
        let attempted = self.attempted.lock();
        attempted.iter().filter(|server| !reached.contains(server)).cloned().collect()
    }

    /// Records that the request leaves this process for a server.
    pub(crate) fn note_departure(&self, server: &ServerId) {
        self.is_open.store(true, Ordering::Relaxed);
        let mut reached = self.reached.lock();
        if !reached.contains(server) {
            reached.push(server.clone());
        }
    }

    /// Records whether a send that may have reached its server has no known outcome.
    pub(crate) fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::Relaxed);
    }

    /// Whether a request has left this process and its outcome is not known.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Whether the request was sent to the server.
    pub(crate) fn has_reached(&self, server: &ServerId) -> bool {
        self.reached.lock().contains(server)
    }

    /// Number of servers to which the request was sent.
    pub(crate) fn reached_count(&self) -> usize {
        self.reached.lock().len()
    }

    /// Counts a connection that broke before the server had answered.
    pub(crate) fn note_break(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether such a connection broke.
    pub(crate) fn has_break(&self) -> bool {
        self.crashes.load(Ordering::Relaxed) > 0
    }
}
