//! Logs the limits that servers name.

use {
    crate::server::ServerId, base::RatePerSecond, limit::NamedLimit, parking_lot::Mutex,
    std::collections::BTreeMap, tracing::info,
};

/// What this process knows about the limits of servers.
#[derive(Debug, Default)]
pub struct LimitWatch {
    rates: Mutex<BTreeMap<ServerId, RatePerSecond>>,
}

impl LimitWatch {
    /// Applies what an answer of a server says about its limit. `source` says in logs what the
    /// answer was for.
    pub fn note_answer(&self, server: &ServerId, named: NamedLimit, source: &'static str) {
        let mut rates = self.rates.lock();
        let before = rates.get(server).copied();
        match (named, before) {
            (NamedLimit::Rate(rate), before) if before != Some(rate) => {
                info!(decision = "server-limited", %server, %rate, source, "limits");
                rates.insert(server.clone(), rate);
            }
            (NamedLimit::Absent, Some(before)) => {
                info!(decision = "limit-ended", %server, %before, source, "limits");
                rates.remove(server);
            }
            _ => {}
        }
    }
}
