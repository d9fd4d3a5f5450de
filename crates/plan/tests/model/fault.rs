//! Faults, and random schedules of them.

use {
    proptest::{collection, prelude::*},
    std::time::Duration,
};

/// A failure, or a change by an operator. Times are in milliseconds; `back_ms` is how long the host
/// stays down.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An engine process ends; it restarts without its state.
    Kill { host: u32, back_ms: u64 },
    /// A machine goes down without refusing connections; its engine restarts without its state.
    LoseMachine { host: u32, back_ms: u64 },
    /// An engine process restarts with a new boot id and still reports its old group as ready.
    RestartWithState { host: u32 },
    /// An engine process stalls, then continues with its state.
    Freeze { host: u32, ms: u64 },
    /// No message passes between a host and the owners.
    Partition { host: u32, ms: u64 },
    /// Loads on a host take `ms` from now on.
    SlowLoads { host: u32, ms: u64 },
    /// All hosts of the fabric domain become unreachable, then return with or without their state.
    DomainOutage { ms: u64, restart: bool },
    /// Orders, their answers and probes are lost at random; orders also arrive late.
    Lossy { ms: u64 },
    /// Orders are duplicated at random.
    Duplicate { ms: u64 },
    /// The owner stalls just before it sends its orders.
    FreezeOwner { ms: u64 },
    /// Another node takes over the fabric domain.
    TakeOver,
    /// A host is about to leave, or no longer is.
    Leave { host: u32, leaving: bool },
    /// A ticket requests another model version.
    ChangeVersion { number: u32 },
}

/// A fault, and the time between the previous one and this one.
#[derive(Clone, Debug)]
pub struct FaultStep {
    pub after: Duration,
    pub fault: Fault,
}

/// A random schedule: faults, the number of hosts and the seed of the simulation.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub hosts: u32,
    pub steps: Vec<FaultStep>,
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0_u32..16;
    prop_oneof![
        3 => (host.clone(), 200_u64..12_000).prop_map(|(host, back_ms)| Fault::Kill { host, back_ms }),
        1 => (host.clone(), 200_u64..12_000).prop_map(|(host, back_ms)| Fault::LoseMachine { host, back_ms }),
        1 => host.clone().prop_map(|host| Fault::RestartWithState { host }),
        3 => (host.clone(), 200_u64..9_000).prop_map(|(host, ms)| Fault::Freeze { host, ms }),
        2 => (host.clone(), 200_u64..6_000).prop_map(|(host, ms)| Fault::Partition { host, ms }),
        1 => (host.clone(), 100_u64..30_000).prop_map(|(host, ms)| Fault::SlowLoads { host, ms }),
        1 => (200_u64..8_000, any::<bool>()).prop_map(|(ms, restart)| Fault::DomainOutage { ms, restart }),
        4 => (500_u64..8_000).prop_map(|ms| Fault::Lossy { ms }),
        2 => (500_u64..8_000).prop_map(|ms| Fault::Duplicate { ms }),
        3 => (200_u64..9_000).prop_map(|ms| Fault::FreezeOwner { ms }),
        3 => Just(Fault::TakeOver),
        2 => (host, any::<bool>()).prop_map(|(host, leaving)| Fault::Leave { host, leaving }),
        1 => (1_u32..4).prop_map(|number| Fault::ChangeVersion { number }),
    ]
}

/// Generates schedules of up to 11 faults, many of them close together.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let gap = prop_oneof![0_u64..300, 300_u64..4_000];
    let step = (gap, fault())
        .prop_map(|(ms, fault)| FaultStep { after: Duration::from_millis(ms), fault });
    (any::<u64>(), 5_u32..11, collection::vec(step, 1..12))
        .prop_map(|(seed, hosts, steps)| Schedule { seed, hosts, steps })
}
