//! The planner's inputs, the orders it returns, and its settings.

use {
    base::{Epoch, GroupId, HostId, ModelName, OrderCount, Tick},
    std::{net::SocketAddr, time::Duration},
};

base::value_type!(
    /// A composition that a host is no longer in, as this process saw in the host list.
    pub struct GroupDeparture {
        /// Group that the host was in.
        pub group: GroupId,
        /// Epoch of the composition.
        pub epoch: Epoch,
        /// When the list first showed the host outside the composition; later than it left.
        pub seen: Tick,
    }
);

base::value_type!(
    /// A backend server host as the host list shows it, or showed it before the host was delisted.
    pub struct StagedHost {
        /// Key of the entry. A restarted engine may come back under a new id at the same address.
        pub host: HostId,
        /// Address at which the host's engine accepts probes and orders.
        pub address: SocketAddr,
        /// Whether the host has announced that it is about to leave. Its group is closed, and the
        /// host joins no other.
        pub leaving: bool,
        /// Whether the host list holds the host now. False for a host that was delisted recently.
        pub listed: bool,
        /// Whether the host may have announced its leave without the list showing it, because the
        /// list was out of date until a short time ago.
        pub may_leave_unseen: bool,
        /// The last composition that the host left, unless it is in it again. An owner that takes over
        /// counts from it how long a head has lacked the host.
        pub left: Option<GroupDeparture>,
    }
);

/// Expected work of one model, relative to that of the other models.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct DemandWeight(pub f64);

/// A model that groups may serve, with the inputs that decide how many of its groups are formed.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedModel {
    /// Name that engines report and that orders carry.
    pub name: ModelName,
    /// Number of hosts in one group. A model with size 0 gets no group.
    pub size: usize,
    /// The model's share of the work of all hosts; not its share of the groups, which differ in
    /// size.
    pub demand: DemandWeight,
    /// Time to load the weights onto one host while the weight store is idle.
    pub load_time: Duration,
    /// Number of the model's groups that serve or are being formed in other fabric domains.
    pub elsewhere: u32,
}

impl StagedModel {
    /// Demand per host if the model gets one more group in addition to `groups`.
    ///
    /// The divisor is that of the Sainte-Laguë method, `groups + 0.5`: it is never zero and ranks a
    /// model without any group ahead.
    pub(super) fn need(&self, groups: u32) -> f64 {
        self.demand.0 / self.size as f64 / (f64::from(groups) + 0.5)
    }
}

base::value_type!(
    /// Phase of a group as one of its members reports it.
    #[derive(Copy)]
    pub enum MemberPhase {
        /// The member is loading or initialising the model.
        Joining,
        /// The member has loaded the model. The group does not serve: its head has not been opened
        /// yet, or has finished closing.
        Ready,
        /// The group accepts requests; reported by the head only.
        Open,
        /// The group finishes its running requests; reported by the head only.
        Closing,
        /// The group has lost a member and has aborted its requests.
        Broken,
    }
);

base::value_type!(
    /// An engine's membership in a group, as the engine reports it.
    pub struct Membership {
        /// Group that the engine is a member of. Each composition that a planner forms has a new
        /// one.
        pub group: GroupId,
        /// Epoch of the composition, from the join that the engine accepted last.
        pub epoch: Epoch,
        /// Position in the group's list of members; the head has 0.
        pub rank: u32,
        /// Phase of the group, as far as this member knows it.
        pub phase: MemberPhase,
    }
);

impl Membership {
    /// Whether a request may be running in the group. Meaningful for the head's membership only.
    pub fn may_run(&self) -> bool {
        matches!(self.phase, MemberPhase::Open | MemberPhase::Closing)
    }
}

base::value_type!(
    /// State that an engine reports of itself.
    pub struct EngineState {
        /// Boot id: grows with every start of the engine process; `None` if the engine reports
        /// none.
        pub boot_id: Option<u64>,
        /// Membership in a group, if the engine is in one.
        pub membership: Option<Membership>,
        /// Model of that group; `None` while the engine is in no group.
        pub model: Option<ModelName>,
        /// Models whose weights are staged on the engine's host, so that a join needs no load. May
        /// be empty.
        pub staged: Vec<ModelName>,
        /// Number of orders that the engine had accepted then; `None` if the report, as those of the host
        /// list, does not say.
        pub accepted_orders: Option<OrderCount>,
    }
);

impl EngineState {
    /// Whether another report says the same of the engine, whatever number of orders it has accepted.
    pub(super) fn is_like(&self, other: &Self) -> bool {
        self.boot_id == other.boot_id
            && self.membership == other.membership
            && self.model == other.model
            && self.staged == other.staged
    }
}

/// Source of a reported engine state, which decides whether the report may be stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// The host list, to which an engine writes right after its state changes.
    HostList,
    /// The engine's answer to a probe, which lags behind the engine's actual state.
    Engine,
}

/// How a probe of an engine failed. After several failures in a row the host is considered down: at
/// once if one of them was a refusal, else after [`StagedSettings::down_after`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The engine's address refused the connection: no process listens there.
    Refused,
    /// The probe got no answer in time.
    Silent,
    /// The owner's own links may be the cause. The host is not down, and joins no new group until it
    /// answers.
    Inconclusive,
    /// A later start of an engine answered at the host's address, maybe that of another host: the engine
    /// of before has ended.
    Replaced,
}

base::value_type!(
    /// The action that an order demands of an engine. Commands other than `Stage` name the
    /// composition that they apply to; an engine that is in another one does not carry them out,
    /// except for `Join`.
    pub enum StagedCommand {
        /// Join a group. The first of `members` is the head.
        Join {
            /// Group to join, which is new unless the order is a repetition.
            group: GroupId,
            /// Epoch of the composition, higher than those of all earlier compositions of the
            /// fabric domain.
            epoch: Epoch,
            /// Model to serve; the join loads it first unless it is staged.
            model: ModelName,
            /// All members, by rank. Every member gets the same list.
            members: Vec<HostId>,
        },
        /// Accept requests; sent to the head only, once every member has reported ready.
        Open {
            /// Group to open.
            group: GroupId,
            /// Epoch of the composition to open; the order does not apply to any other.
            epoch: Epoch,
        },
        /// Finish the running requests and accept no new ones; sent to the head only.
        Close {
            /// Group to close.
            group: GroupId,
            /// Epoch of the composition to close; the order does not apply to any other.
            epoch: Epoch,
        },
        /// Leave the group at once, without finishing its requests.
        Leave {
            /// Group to leave.
            group: GroupId,
            /// Epoch of the composition to leave; the order does not apply to any other.
            epoch: Epoch,
        },
        /// Load a model onto the host without joining a group, so that a later join needs no load.
        Stage {
            /// Model to load; listed among the staged models once its load has ended.
            model: ModelName,
        },
    }
);

impl StagedCommand {
    pub(super) fn is_join(&self) -> bool {
        matches!(self, Self::Join { .. })
    }

    /// The composition that the command applies to; `None` for a load outside any group.
    pub(super) fn composition(&self) -> Option<(&GroupId, Epoch)> {
        match self {
            Self::Join { group, epoch, .. }
            | Self::Open { group, epoch }
            | Self::Close { group, epoch }
            | Self::Leave { group, epoch } => Some((group, *epoch)),
            Self::Stage { .. } => None,
        }
    }
}

base::value_type!(
    /// An order that the caller sends to the engine of one host. The caller reports the outcome
    /// with [`super::StagedPlanner::note_end`].
    pub struct StagedOrder {
        /// Host whose engine carries out the order.
        pub host: HostId,
        /// Address of that engine in the host list when the order was made.
        pub address: SocketAddr,
        /// Demanded action; repeated orders carry the same one.
        pub command: StagedCommand,
        /// The number of orders that the engine must have accepted before; it refuses the order if that
        /// differs. `None` demands nothing.
        pub expected: Option<OrderCount>,
    }
);

/// Outcome of an order, from the engine's answer or the failure to get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carries the order out, or was in the demanded state already.
    Accepted,
    /// The engine's state does not allow the order; it has no effect.
    Refused,
    /// The engine has accepted a newer order: one of an owner with a higher term, or a join under a
    /// higher epoch.
    Outdated,
    /// The order did not reach the engine and has no effect.
    NotSent,
    /// No answer came; the order may still take effect later.
    Unknown,
}

/// Added to the engines' stall time before a head counts as broken. The owner counts from the answer of
/// the member that left, which is later than its leave, so that this covers only how finely engines
/// look at their members.
const BREAK_MARGIN: Duration = Duration::from_millis(300);

/// Time limits and load limits of the planner.
#[derive(Clone, Copy, Debug)]
pub struct StagedSettings {
    /// A host is considered down after at least two unanswered probes, the first of them this long
    /// ago. Two consecutive probes, each with the node's probe timeout, fit into this time.
    pub down_after: Duration,
    /// A delisted host that refuses connections has ended once its engine has answered no probe for
    /// this long; the members of the group that it heads are free then. The time counts from the
    /// first unanswered probe, which may be sent before the host is delisted.
    pub removed_after: Duration,
    /// Replaces `removed_after` for a host that leaves gracefully: it stops listening first and
    /// then finishes its requests for up to ten seconds. A head that may be leaving is not broken
    /// before this either.
    pub removed_after_leave: Duration,
    /// Whether engines refuse orders under a lower term than one that they have seen. Where they do not,
    /// orders of an earlier owner may be carried out late, beside those of its successor.
    pub terms_checked: bool,
    /// Time after which a group that has lost a member is broken, as engines keep it. The members of
    /// a head that nobody can order to leave are free this long, and a margin, after another
    /// member has left.
    pub stall_time: Duration,
    /// A composition whose head is not known is broken only after this process has read the host
    /// list for this long, because the head may come back to the list and go on serving. Longer
    /// than live hosts take to come back after an outage of the list.
    pub headless_wait: Duration,
    /// An order without visible effect is repeated after this long. Longer than an engine takes to
    /// show the effect in the host list.
    pub order_retry: Duration,
    /// For this long after an order or a change of an engine's state, the state in its answers to
    /// probes is ignored, because it may be stale. Longer than the lag of such answers.
    pub answer_lag: Duration,
    /// Longest time for which a group with a leaving member may finish its requests before it is
    /// dissolved: that for which a leaving member stays, after which nothing runs on anyway.
    pub close_limit: Duration,
    /// A group whose members do not all get ready within this time is dissolved. Longer than a load
    /// that shares the weight store with others.
    pub form_limit: Duration,
    /// Prewarming of a spare is abandoned after this long. Several times the duration of a join of
    /// a staged model.
    pub prewarm_limit: Duration,
    /// Most loads that one fabric domain runs at the same time once it serves traffic. The weight
    /// store divides its bandwidth between all loads, so more of them make each slower.
    pub loads_at_once: usize,
    /// A load without visible effect after this long counts as failed. Well above the duration of a
    /// load that shares the weight store.
    pub load_limit: Duration,
    /// Rate at which one fabric domain may start loads, per second.
    pub loads_per_s: f64,
    /// Most loads that may start at once after a pause.
    pub load_burst: f64,
}

impl StagedSettings {
    /// How long after the loss of a member a head counts as broken.
    pub(super) fn break_time(&self) -> Duration {
        self.stall_time + BREAK_MARGIN
    }
}

impl Default for StagedSettings {
    fn default() -> Self {
        Self {
            down_after: Duration::from_millis(290),
            removed_after: Duration::from_millis(1_500),
            removed_after_leave: Duration::from_secs(11),
            terms_checked: false,
            stall_time: Duration::from_secs(6),
            headless_wait: Duration::from_secs(6),
            order_retry: Duration::from_millis(500),
            answer_lag: Duration::from_millis(1_000),
            close_limit: Duration::from_secs(10),
            form_limit: Duration::from_secs(60),
            prewarm_limit: Duration::from_secs(5),
            loads_at_once: 1,
            load_limit: Duration::from_secs(60),
            loads_per_s: 0.7,
            load_burst: 1.0,
        }
    }
}
