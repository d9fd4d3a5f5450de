//! How far the configuration in force can be trusted.

use {base::Tick, smol_str::SmolStr, std::time::Duration};

/// How long a request waits for a configuration that a peer is known to have, before it is refused as
/// not run. A fetch from a peer takes less unless the first peers asked are silent.
pub(crate) const NEWER_CONFIG_WAIT: Duration = Duration::from_millis(400);
/// How long a configuration is trusted after it was last confirmed. Confirmations come several times
/// within it, and a change must take effect within two to four seconds.
pub const CONFIG_TRUST: Duration = Duration::from_millis(2_500);

/// Why the configuration in force may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigDoubt {
    /// A peer has a newer one.
    Behind,
    /// Nothing has confirmed for [`CONFIG_TRUST`] that there is no newer one.
    Unconfirmed,
}

base::value_type!(
    /// How recent the configuration in force is known to be.
    #[derive(Default)]
    pub struct ConfigStanding {
        /// Whether a peer has a newer one.
        pub is_behind: bool,
        /// The latest time at which it is known to have been the newest one; `None` if that is not
        /// followed.
        pub confirmed_at: Option<Tick>,
        /// Where it came from, for logs.
        pub source: SmolStr,
        /// The newest version that peers have told.
        pub newest_told: u64,
    }
);

impl ConfigStanding {
    /// Whether the configuration may be out of date.
    pub fn doubt(&self, now: Tick) -> Option<ConfigDoubt> {
        if self.is_behind {
            return Some(ConfigDoubt::Behind);
        }
        let is_old = self.confirmed_at.is_some_and(|at| now.since(at) >= CONFIG_TRUST);
        is_old.then_some(ConfigDoubt::Unconfirmed)
    }
}
