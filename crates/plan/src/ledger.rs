//! Accumulates group downtime and stranded accelerator time.

use {
    base::{GroupSetName, Tick},
    std::collections::BTreeMap,
};

/// Costs accumulated since the planner was created.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostTotals {
    /// Group downtime by set, in group seconds: only groups that the capacity allows count.
    pub downtime_seconds: BTreeMap<GroupSetName, f64>,
    /// Accelerator seconds of listed, reachable hosts outside serving groups.
    pub stranded_seconds: f64,
}

/// Accumulates costs: the state recorded after each step counts until the next record.
#[derive(Clone, Debug, Default)]
pub struct CostLedger {
    totals: CostTotals,
    missing: BTreeMap<GroupSetName, u32>,
    stranded: u32,
    recorded_at: Tick,
}

impl CostLedger {
    /// Creates a ledger that starts at `now` with no missing groups and no stranded accelerators.
    pub fn new(now: Tick) -> Self {
        Self { recorded_at: now, ..Self::default() }
    }

    /// Adds the costs of the time since the last call, and records the missing groups and stranded
    /// accelerators that count from `now` on.
    pub fn record(&mut self, now: Tick, missing: BTreeMap<GroupSetName, u32>, stranded: u32) {
        let span = now.since(self.recorded_at).as_secs_f64();
        for (set, count) in &self.missing {
            if *count > 0 {
                *self.totals.downtime_seconds.entry(set.clone()).or_default() +=
                    span * f64::from(*count);
            }
        }
        self.totals.stranded_seconds += span * f64::from(self.stranded);
        self.missing = missing;
        self.stranded = stranded;
        self.recorded_at = now;
    }

    /// Costs up to the last call of [`CostLedger::record`].
    pub fn totals(&self) -> &CostTotals {
        &self.totals
    }

    /// Missing groups by set, from the last call of [`CostLedger::record`]: those that the capacity
    /// allows and that do not serve.
    pub fn missing(&self) -> &BTreeMap<GroupSetName, u32> {
        &self.missing
    }

    /// Accelerators of listed, reachable hosts outside serving groups, from the last call of
    /// [`CostLedger::record`].
    pub fn stranded(&self) -> u32 {
        self.stranded
    }
}
