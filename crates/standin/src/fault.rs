//! The faults that can be switched over HTTP, each bounded by a time or cleared by another call.

use {
    base::{FabricDomainId, FailureDomainId, HostId},
    infra::{HostEntry, HostStanding},
    std::time::Duration,
};

base::value_type!(
    /// What a network fault strikes.
    #[serde(rename_all = "snake_case")]
    pub enum FaultTarget {
        /// The table service.
        Table,
        /// The object store.
        Objects,
        /// The host list.
        HostList,
        /// These engines and servers.
        Hosts(Vec<HostId>),
        /// Every engine of a fabric domain.
        FabricDomain(FabricDomainId),
        /// Every engine and server of a failure domain.
        FailureDomain(FailureDomainId),
    }
);

base::value_type!(
    /// State of the network in front of a target.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum NetworkState {
        /// It passes everything.
        Open,
        /// It passes nothing and keeps connections.
        Silent,
        /// Connections are refused and closed.
        Refused,
    }
);

base::value_type!(
    /// Faults of the table service; a new set replaces the old one.
    #[derive(Copy, Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct TableFaults {
        /// Time that each call takes, in milliseconds.
        pub delay_ms: u64,
        /// The next commits, this many, are answered with 503 and never run.
        pub fail_commits: u32,
        /// The next commits, this many, run and are never answered.
        pub lose_answers: u32,
        /// Share of commits that run and are never answered, in percent, chosen by the seed.
        pub lose_percent: u32,
        /// The next commits, this many, are never answered and run late.
        pub late_commits: u32,
        /// How late they run, in milliseconds.
        pub late_ms: u64,
    }
);

base::value_type!(
    /// Faults of the host list; a new set replaces the old one.
    #[derive(Copy, Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct HostListFaults {
        /// How far the list lags, in milliseconds.
        pub lag_ms: u64,
        /// Whether the list stays as it is now.
        pub frozen: bool,
    }
);

base::value_type!(
    /// Faults of an engine's streams; a new set replaces the old one. A share is in percent of the
    /// frames, chosen by the seed.
    #[derive(Copy, Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct FrameFaults {
        /// Streams that this applies to, the next ones; none for all.
        pub streams: Option<u32>,
        /// Break the connection behind this many frames.
        pub cut_after: Option<u64>,
        /// Fall silent for good behind this many frames, on a connection that stays.
        pub silent_after: Option<u64>,
        /// Share of frames that come twice.
        pub duplicate_percent: u32,
        /// Share of frames that change places with the next one.
        pub swap_percent: u32,
        /// Share of frames that come late.
        pub late_percent: u32,
        /// How late they come, in milliseconds.
        pub late_ms: u64,
        /// Share of frames behind which a frame of an earlier attempt follows.
        pub foreign_percent: u32,
    }
);

base::value_type!(
    /// What an engine remembers when it returns.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ReturnState {
        /// Everything, as if nothing had happened, but in a new life of the process.
        Old,
        /// Nothing.
        Empty,
    }
);

base::value_type!(
    /// One change of the faults or of the hosts.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Fault {
        /// Sets the network in front of a target.
        Network {
            /// What it strikes.
            target: FaultTarget,
            /// The new state.
            state: NetworkState,
        },
        /// Makes the connections that exist silent for good, while new ones work.
        SilenceConnections {
            /// What it strikes.
            target: FaultTarget,
        },
        /// Closes the connections that exist.
        CloseConnections {
            /// What it strikes.
            target: FaultTarget,
        },
        /// Sets the faults of the table service.
        Table(TableFaults),
        /// Sets the faults of the host list.
        HostList(HostListFaults),
        /// Adds a host to the list or replaces its line.
        PutHost(HostEntry),
        /// Removes hosts from the list.
        RemoveHosts(Vec<HostId>),
        /// Sets how hosts stand in the list.
        Standing {
            /// The hosts.
            hosts: Vec<HostId>,
            /// How they stand.
            standing: HostStanding,
        },
        /// Engines or servers die; what they ran is lost.
        Kill {
            /// What dies.
            target: FaultTarget,
        },
        /// Engines or servers that died return.
        Return {
            /// What returns.
            target: FaultTarget,
            /// What engines remember.
            state: ReturnState,
        },
        /// Engines pause, and keep everything; a fabric domain gone dark is the same.
        Freeze {
            /// What pauses.
            target: FaultTarget,
        },
        /// Paused engines go on.
        Thaw {
            /// What goes on.
            target: FaultTarget,
        },
        /// Engines become stragglers.
        Straggle {
            /// What becomes slow.
            target: FaultTarget,
            /// Time for a step, in percent of the usual time; 100 clears it.
            pace_percent: u32,
        },
        /// Engines say that they are about to leave.
        Leaving {
            /// Which engines.
            target: FaultTarget,
            /// Whether they say so.
            leaving: bool,
        },
        /// Sets the faults of engines' streams.
        Frames {
            /// Which engines.
            target: FaultTarget,
            /// The faults.
            faults: FrameFaults,
        },
        /// The next orders to engines take effect and are never answered.
        LoseOrderAnswers {
            /// Which engines.
            target: FaultTarget,
            /// How many orders of each.
            count: u32,
        },
        /// The next orders to engines are never answered and take effect late.
        LateOrders {
            /// Which engines.
            target: FaultTarget,
            /// How many orders of each.
            count: u32,
            /// How late, in milliseconds.
            late_ms: u64,
        },
        /// The next calls of plain services run and are never answered.
        LoseServiceAnswers {
            /// Which servers.
            target: FaultTarget,
            /// How many calls of each.
            count: u32,
        },
        /// Sets the loads that the weight store sustains a second; 0 for no bound.
        WeightStore {
            /// Loads a second over all hosts.
            loads_per_second: u32,
        },
    }
);

base::value_type!(
    /// A fault and how long it lasts.
    #[serde(deny_unknown_fields)]
    pub struct FaultRequest {
        /// The fault.
        pub fault: Fault,
        /// Time after which it is taken back, in milliseconds; without, it stays until cleared.
        #[serde(default)]
        pub for_ms: Option<u64>,
    }
);

impl FaultRequest {
    /// How long the fault lasts; none when it stays.
    pub fn duration(&self) -> Option<Duration> {
        self.for_ms.map(Duration::from_millis)
    }
}

impl Fault {
    /// What a fault of engines and servers strikes; none for the other faults.
    pub fn node_target(&self) -> Option<&FaultTarget> {
        match self {
            Self::Kill { target }
            | Self::Return { target, .. }
            | Self::Freeze { target }
            | Self::Thaw { target }
            | Self::Straggle { target, .. }
            | Self::Leaving { target, .. }
            | Self::Frames { target, .. }
            | Self::LoseOrderAnswers { target, .. }
            | Self::LateOrders { target, .. }
            | Self::LoseServiceAnswers { target, .. } => Some(target),
            _ => None,
        }
    }

    /// The change that takes this one back; none when there is nothing to take back.
    pub fn inverse(&self) -> Option<Fault> {
        match self.clone() {
            Self::Network { target, .. } => {
                Some(Self::Network { target, state: NetworkState::Open })
            }
            Self::Kill { target } => Some(Self::Return { target, state: ReturnState::Empty }),
            Self::Freeze { target } => Some(Self::Thaw { target }),
            Self::Straggle { target, .. } => Some(Self::Straggle { target, pace_percent: 100 }),
            Self::Leaving { target, leaving } => Some(Self::Leaving { target, leaving: !leaving }),
            Self::Frames { target, .. } => {
                Some(Self::Frames { target, faults: FrameFaults::default() })
            }
            Self::LoseOrderAnswers { target, .. } => {
                Some(Self::LoseOrderAnswers { target, count: 0 })
            }
            Self::LateOrders { target, .. } => {
                Some(Self::LateOrders { target, count: 0, late_ms: 0 })
            }
            Self::LoseServiceAnswers { target, .. } => {
                Some(Self::LoseServiceAnswers { target, count: 0 })
            }
            Self::Table(_) => Some(Self::Table(TableFaults::default())),
            Self::HostList(_) => Some(Self::HostList(HostListFaults::default())),
            Self::Standing { hosts, .. } => {
                Some(Self::Standing { hosts, standing: HostStanding::Live })
            }
            Self::SilenceConnections { .. }
            | Self::CloseConnections { .. }
            | Self::PutHost(_)
            | Self::RemoveHosts(_)
            | Self::Return { .. }
            | Self::Thaw { .. }
            | Self::WeightStore { .. } => None,
        }
    }
}
