//! What the planner is told of engines, what it orders, and its settings.

use {
    base::{Epoch, GroupId, HostId, ModelName},
    std::{net::SocketAddr, time::Duration},
};

base::value_type!(
    /// A backend server host as the host list shows it.
    pub struct StagedHost {
        /// The host.
        pub host: HostId,
        /// Where its engine listens.
        pub address: SocketAddr,
        /// Whether the host is about to leave.
        pub leaving: bool,
        /// Whether the host list shows it now; if not, it did a while ago.
        pub listed: bool,
    }
);

/// How much one model is asked for, against the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct DemandWeight(pub f64);

/// A model that groups may serve.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedModel {
    /// The model.
    pub name: ModelName,
    /// Hosts of one group.
    pub size: usize,
    /// Its share of the work, in hosts.
    pub demand: DemandWeight,
    /// Time to load it onto a host, while the weight store is not busy.
    pub load_time: Duration,
    /// Groups of it that serve or are being formed in other fabric domains.
    pub elsewhere: u32,
}

impl StagedModel {
    /// Work that each host of the model's groups would carry with one more group than `groups`;
    /// half a group keeps the first of a model finite and ahead.
    pub(super) fn need(&self, groups: u32) -> f64 {
        self.demand.0 / self.size as f64 / (f64::from(groups) + 0.5)
    }
}

base::value_type!(
    /// Where a member is in the life of its group.
    #[derive(Copy)]
    pub enum MemberPhase {
        /// Makes the model ready.
        Joining,
        /// Ready; the group does not serve yet, or no longer.
        Ready,
        /// The group serves; only the head says so.
        Open,
        /// The group finishes its work; only the head says so.
        Closing,
        /// The group lost a member and has given up its work.
        Broken,
    }
);

base::value_type!(
    /// The group an engine says it is a member of.
    pub struct Membership {
        /// The group.
        pub group: GroupId,
        /// The epoch of its composition.
        pub epoch: Epoch,
        /// Place among the members; the head has 0.
        pub rank: u32,
        /// Where it is in the group's life.
        pub phase: MemberPhase,
    }
);

impl Membership {
    /// Whether a request may be running in the group, as far as its head can tell.
    pub fn may_run(&self) -> bool {
        matches!(self.phase, MemberPhase::Open | MemberPhase::Closing)
    }
}

base::value_type!(
    /// What an engine said of itself.
    pub struct EngineFacts {
        /// Changes with every start of the engine; none when the engine did not say.
        pub born: Option<u64>,
        /// Its group.
        pub membership: Option<Membership>,
        /// The model of its group.
        pub model: Option<ModelName>,
        /// Models that lie on its host.
        pub staged: Vec<ModelName>,
    }
);

/// Where an observation came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// The host list, which engines write to right after a change.
    HostList,
    /// The engine's answer to a question; its content lags behind.
    Engine,
}

/// A sign, other than an unanswered question, that a host does no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossMark {
    /// Its address refused a connection.
    Refused,
    /// A question was not answered in time.
    Silent,
}

base::value_type!(
    /// What an order asks of an engine.
    pub enum StagedCommand {
        /// Become a member of a group; the first member is the head.
        Join {
            /// The group.
            group: GroupId,
            /// The epoch of its composition.
            epoch: Epoch,
            /// The model to serve.
            model: ModelName,
            /// All members.
            members: Vec<HostId>,
        },
        /// Serve; for the head.
        Open {
            /// The group.
            group: GroupId,
            /// The epoch of its composition.
            epoch: Epoch,
        },
        /// Finish the work at hand and take no more; for the head.
        Close {
            /// The group.
            group: GroupId,
            /// The epoch of its composition.
            epoch: Epoch,
        },
        /// Leave the group at once.
        Leave {
            /// The group.
            group: GroupId,
            /// The epoch of its composition.
            epoch: Epoch,
        },
        /// Load a model onto the host without joining a group.
        Stage {
            /// The model.
            model: ModelName,
        },
    }
);

base::value_type!(
    /// One order to one engine.
    pub struct StagedOrder {
        /// The host.
        pub host: HostId,
        /// Where its engine listens.
        pub address: SocketAddr,
        /// What to do.
        pub command: StagedCommand,
    }
);

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine follows it, or its state was as asked for already.
    Accepted,
    /// The engine's state does not allow it; nothing took effect.
    Refused,
    /// The engine follows an owner with a higher term.
    Outdated,
    /// It did not reach the engine; nothing took effect.
    NotSent,
    /// No answer came; it may take effect later.
    Unknown,
}

/// Times of the planner.
#[derive(Clone, Copy, Debug)]
pub struct StagedSettings {
    /// A host that answered nothing for this long, and at least two questions, is lost. Two
    /// questions that follow each other with the node's time limit fit into it.
    pub lost_after: Duration,
    /// A lost host that the host list no longer shows is gone for good after this long without an
    /// answer. Longer than the host list needs to drop a dead host.
    pub gone_after: Duration,
    /// The same for a host that left in order. It stops listening first and finishes its work for up
    /// to ten seconds.
    pub linger_after: Duration,
    /// A composition without a known head may have one that the host list dropped before this
    /// process began to read it. It is given up only when the process has read the list for this
    /// long; above the time for which a live host may be cut off from the list.
    pub headless_wait: Duration,
    /// An order without effect is given again after this long; above the time an engine needs to
    /// show the effect in the host list.
    pub order_retry: Duration,
    /// An engine's own answer counts for its group only this long after an order or a change in the
    /// host list; above the lag of such answers.
    pub answer_lag: Duration,
    /// A group that finishes its work for a leaving member is given up after this long; under the
    /// time a leaving member stays.
    pub close_limit: Duration,
    /// A group whose members do not get ready within this time is given up; above a load that
    /// shares the weight store with others.
    pub form_limit: Duration,
    /// A spare that does not get ready within this time is left as it is; several joins of a model at
    /// hand.
    pub prime_limit: Duration,
    /// Loads of one fabric domain at the same time. The weight store shares its rate between all
    /// loads, so that with more of them each of them ends later.
    pub loads_at_once: usize,
    /// A load that did not show its effect after this long is taken as failed; well above the time
    /// of a load that shares the weight store.
    pub load_limit: Duration,
    /// Loads that one fabric domain may start each second.
    pub loads_per_s: f64,
    /// Loads that may start at once after a pause.
    pub load_burst: f64,
}

impl Default for StagedSettings {
    fn default() -> Self {
        Self {
            lost_after: Duration::from_millis(290),
            gone_after: Duration::from_millis(1_500),
            linger_after: Duration::from_secs(11),
            headless_wait: Duration::from_secs(12),
            order_retry: Duration::from_millis(500),
            answer_lag: Duration::from_millis(1_000),
            close_limit: Duration::from_secs(4),
            form_limit: Duration::from_secs(60),
            prime_limit: Duration::from_secs(5),
            loads_at_once: 1,
            load_limit: Duration::from_secs(60),
            loads_per_s: 0.7,
            load_burst: 1.0,
        }
    }
}
