//! Which processes reach each other, the store and the servers.

use {parking_lot::Mutex, std::collections::BTreeSet};

#[derive(Default)]
struct LinkState {
    /// Ways between processes, from the first to the second, that deliver nothing.
    peers: BTreeSet<(usize, usize)>,
    /// Processes that do not reach the store.
    store: BTreeSet<usize>,
    /// Processes that do not reach the servers.
    servers: BTreeSet<usize>,
    store_is_down: bool,
}

/// The ways that are cut.
#[derive(Default)]
pub(crate) struct Links {
    state: Mutex<LinkState>,
}

impl Links {
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        !self.state.lock().peers.contains(&(from, to))
    }

    pub(crate) fn reaches_store(&self, process: usize) -> bool {
        let state = self.state.lock();
        !state.store_is_down && !state.store.contains(&process)
    }

    pub(crate) fn reaches_servers(&self, process: usize) -> bool {
        !self.state.lock().servers.contains(&process)
    }

    /// Cuts what one process sends to another.
    pub(crate) fn cut(&self, from: usize, to: usize) {
        self.state.lock().peers.insert((from, to));
    }

    pub(crate) fn cut_store(&self, process: usize) {
        self.state.lock().store.insert(process);
    }

    pub(crate) fn cut_servers(&self, process: usize) {
        self.state.lock().servers.insert(process);
    }

    pub(crate) fn set_store_down(&self, is_down: bool) {
        self.state.lock().store_is_down = is_down;
    }

    pub(crate) fn heal(&self) {
        *self.state.lock() = LinkState::default();
    }
}
