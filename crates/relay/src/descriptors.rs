//! How many descriptors callers may take.

/// Descriptors that the platform sets aside for files.
const FILE_DESCRIPTORS: usize = 200;
/// Least number kept for the program's own connections and ports: the store, peers, probes, addresses,
/// readiness and metrics.
const LEAST_OWN_DESCRIPTORS: usize = 64;
/// Part of all that is kept for them.
const OWN_PART: usize = 10;
/// Ports for addresses, readiness and metrics.
const OWN_PORTS: usize = 3;

/// The descriptors that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorSettings {
    /// Open descriptors beyond which the operating system gives no more.
    pub limit: usize,
}

impl Default for DescriptorSettings {
    fn default() -> Self {
        Self { limit: 2_870 }
    }
}

impl DescriptorSettings {
    /// Open connections beyond which the older ones of one of the program's own ports are closed. All
    /// these ports together take half of what is kept.
    pub fn for_own_port(self) -> usize {
        (self.own() / (2 * OWN_PORTS)).max(1)
    }

    /// Descriptors for callers, for the servers that work for them, and for peers' forwards.
    pub fn for_callers(self) -> usize {
        self.limit.saturating_sub(FILE_DESCRIPTORS + self.own()).max(1)
    }

    fn own(self) -> usize {
        LEAST_OWN_DESCRIPTORS.max(self.limit / OWN_PART)
    }
}
