//! Time limits of the freshness rule.

use std::time::Duration;

/// Time limits of the freshness rule; must be the same on every node of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshTiming {
    /// Maximum age of evidence on which a node may act.
    pub window: Duration,
    /// Added to the window before a head is in force; covers the drift between clocks.
    pub margin: Duration,
}

impl Default for FreshTiming {
    fn default() -> Self {
        Self { window: Duration::from_secs(3), margin: Duration::from_millis(500) }
    }
}
