//! Requests that are sent although servers have crashed under them.

use {base::Tick, std::time::Duration};

/// Time after which a server that crashed is taken to be back.
const DOWN_TIME: Duration = Duration::from_secs(4);

/// A request that may be the cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTrial {
    /// When servers crashed under it.
    crashes: Vec<Tick>,
}

impl RequestTrial {
    /// A trial of a request under which servers crashed at these times.
    pub(crate) fn new(crashes: Vec<Tick>) -> Self {
        Self { crashes }
    }

    /// Whether it may be sent to a server of a service with `healthy` servers. It may take down at most
    /// half of the servers of a service at a time, and not the last one of several.
    ///
    /// `listed` also counts those that are not healthy.
    pub fn may_be_sent(&self, healthy: usize, listed: usize, now: Tick) -> bool {
        let down = self.crashes.iter().filter(|at| now.since(**at) < DOWN_TIME).count();
        let most_down = ((healthy + down) / 2).max(1);
        down < most_down && (healthy > 1 || listed == 1)
    }

    /// When the first of the servers that it crashed may be back.
    pub fn wait(&self, now: Tick) -> Duration {
        let waits = self.crashes.iter().map(|at| (*at + DOWN_TIME).since(now));
        waits.filter(|wait| !wait.is_zero()).min().unwrap_or_default()
    }
}
