//! Cold servers in the local view.

use {
    super::{NodeView, ViewState},
    crate::{
        cold_servers::{ColdNotice, ColdRule},
        ports::{ServerChange, ServerEntry, WatchPage},
    },
    base::FailureDomainId,
    tracing::info,
};

impl NodeView {
    /// Paces the requests to cold servers. `source` says in logs where it was said that they are cold.
    pub(super) fn take_cold(
        &self,
        state: &ViewState,
        notices: Vec<ColdNotice>,
        source: &'static str,
    ) {
        let is_news = |notice: &&ColdNotice| {
            let entry = state.servers.entry(&notice.server);
            let rule = entry.and_then(|entry| state.cold_rule(entry));
            rule.is_some_and(|rule| {
                self.shared.limits.note_cold(&notice.server, rule.rate, notice.left)
            })
        };
        let count = notices.iter().filter(is_news).count();
        if count > 0 {
            info!(decision = "servers-cold", count, source, "limits");
        }
    }

    /// Takes the servers of a domain that the operator took back for cold. They may be, and before
    /// they say so the traffic of all processes would turn to them, since they are idle.
    pub(super) fn presume_cold(&self, state: &ViewState, domain: &FailureDomainId) {
        let entries = state.servers.entries().filter(|entry| entry.failure_domain == *domain);
        let notices = entries.filter_map(|entry| {
            let left = state.cold_rule(entry)?.span;
            Some(ColdNotice { server: entry.id.clone(), left })
        });
        self.take_cold(state, notices.collect(), "restored domain");
    }
}

impl ViewState {
    /// The rule of a server's service, if it has one.
    fn cold_rule(&self, entry: &ServerEntry) -> Option<&ColdRule> {
        let rules = &self.config.as_ref()?.cold;
        rules.iter().find(|rule| rule.service == entry.service)
    }

    /// What the listed servers say about being cold.
    pub(super) fn cold_entries(&self) -> Vec<ColdNotice> {
        self.servers.entries().filter_map(cold_notice).collect()
    }

    /// What the entries of a page say about being cold that the known ones did not say. An entry that
    /// was read before tells nothing about now.
    pub(super) fn cold_news(&self, page: &WatchPage<ServerChange>) -> Vec<ColdNotice> {
        let is_news = |entry: &&ServerEntry| {
            let known = self.servers.entry(&entry.id);
            known.is_none_or(|known| {
                (known.boot_id, known.cold_left) != (entry.boot_id, entry.cold_left)
            })
        };
        let entries = page.changes.iter().filter_map(|change| match change {
            ServerChange::Listed(entry) => Some(&**entry),
            ServerChange::Dropped(_) => None,
        });
        entries.filter(is_news).filter_map(cold_notice).collect()
    }
}

fn cold_notice(entry: &ServerEntry) -> Option<ColdNotice> {
    let left = entry.cold_left;
    (!left.is_zero()).then(|| ColdNotice { server: entry.id.clone(), left })
}
