//! The list of servers for the paths to them.

use {
    super::NodeView,
    crate::ports::ServerEntry,
    base::{HostId, ServiceName},
    rand::seq::IteratorRandom,
    reach::{ListedServer, ServerDirectory},
    std::sync::{Arc, Weak},
};

/// Looks servers up in the local view.
#[derive(Debug)]
pub struct ViewDirectory {
    /// Weak because the view holds the paths.
    view: Weak<NodeView>,
}

impl ViewDirectory {
    /// Looks servers up in `view`.
    pub fn new(view: &Arc<NodeView>) -> Self {
        Self { view: Arc::downgrade(view) }
    }
}

fn listed_server(entry: &ServerEntry) -> ListedServer {
    ListedServer { id: entry.id.clone(), address: entry.address, service: entry.service.clone() }
}

impl ServerDirectory for ViewDirectory {
    fn find(&self, server: &HostId) -> Option<ListedServer> {
        let view = self.view.upgrade()?;
        view.with(|state| {
            let entry = state.servers.known_entry(server)?;
            Some(listed_server(entry))
        })
    }

    fn sample(&self, service: &ServiceName, except: &HostId) -> Option<ListedServer> {
        let view = self.view.upgrade()?;
        view.with(|state| {
            let entries = state.servers.entries();
            let others = entries.filter(|entry| entry.service == *service && entry.id != *except);
            others.choose(&mut rand::rng()).map(listed_server)
        })
    }
}
