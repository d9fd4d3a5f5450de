//! Which processes share the rate of a server.

use {
    crate::settings::LimitSettings,
    base::{HostId, RatePerSecond, placement_weight},
    std::time::Duration,
};

/// Longest interval between two requests, for rates close to zero.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// The place of this process among those that share the rate of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SharerPlace {
    /// Rank among the sharers, from 0.
    pub(crate) rank: usize,
    /// Number of sharers.
    pub(crate) sharers: usize,
}

impl SharerPlace {
    /// The place of `own` for `server`, or `None` if other processes share its rate. All processes
    /// select the same ones as long as they agree on which are alive; a process that joins or leaves
    /// changes one sharer at most.
    pub(crate) fn find(
        server: &HostId,
        rate: RatePerSecond,
        own: &HostId,
        live: &[HostId],
        settings: &LimitSettings,
    ) -> Option<Self> {
        if !live.contains(own) {
            return None;
        }
        let wanted = if rate.0 < settings.single_sharer_below { 1 } else { settings.sharers };
        let key = place_key(server);
        let own_place = (placement_weight(&key, own), own);
        let before = |node: &&HostId| (placement_weight(&key, node), *node) > own_place;
        let rank = live.iter().filter(before).take(wanted).count();
        (rank < wanted).then(|| Self { rank, sharers: wanted.min(live.len()) })
    }

    /// Time between two requests of one sharer.
    pub(crate) fn interval(&self, rate: RatePerSecond, settings: &LimitSettings) -> Duration {
        let rate = rate.0.max(settings.least_rate);
        Duration::try_from_secs_f64(self.sharers as f64 / rate)
            .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
    }

    /// When the first request of this sharer is due, counted from the start of its share: those of
    /// the sharers are spread over one interval.
    pub(crate) fn first_after(&self, interval: Duration) -> Duration {
        interval.mul_f64((self.rank + 1) as f64 / self.sharers as f64)
    }
}

fn place_key(server: &HostId) -> String {
    format!("limit/{server}")
}
