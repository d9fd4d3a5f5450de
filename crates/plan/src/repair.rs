//! Policies that decide how to repair a group that has an unresponsive member.

use {
    base::{GroupId, Weight},
    std::{fmt, time::Duration},
};

/// A group that could be dissolved so that its hosts repair a broken group of another set.
#[derive(Clone, Debug, PartialEq)]
pub struct DissolveCandidate {
    /// Value of a group of this set, from the ticket.
    pub value: Weight,
    /// Number of its members; all of them become available once it is dissolved.
    pub hosts: u32,
}

/// A broken group, and the resources available to repair it.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenCase {
    /// Id of the broken group, by which a policy can recognize it in later steps.
    pub group: GroupId,
    /// Time since the group stopped serving or, if it was loading, since a member became
    /// unresponsive.
    pub broken_for: Duration,
    /// Estimated time to load a group: the moving average of observed loads.
    pub load_time: Duration,
    /// Value of a group of this set, from the ticket.
    pub value: Weight,
    /// Number of members of a complete group.
    pub hosts: u32,
    /// Number of unresponsive members.
    pub missing_members: u32,
    /// Whether every unresponsive member may resume with its state. False once the address of a
    /// member refuses connections, because its engine process has ended.
    pub may_resume: bool,
    /// Number of free hosts in the fabric domain: usable, in no group, and with no order on the
    /// way.
    pub free_host_count: u32,
    /// Number of responsive members of all other broken groups.
    pub other_responsive_members: u32,
    /// Whether the free hosts and this group's responsive members are enough for a missing group of
    /// another set.
    pub fits_other_set: bool,
    /// Group to dissolve first, of the least costly set with more groups than the packing allows;
    /// none if that group is broken itself or belongs to the same set.
    pub candidate: Option<DissolveCandidate>,
    /// Mean number of accelerators per host, over all hosts of the fabric domain.
    pub accelerators_per_host: f64,
    /// Weight of a second of group downtime, from 0 to 1. A second of a stranded accelerator weighs
    /// one minus this.
    pub downtime_weight: Weight,
}

/// Action for a broken group, chosen anew in each step until the group is released or complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairChoice {
    /// Keep the group and wait for the unresponsive members.
    Wait,
    /// Release the group; free hosts replace the missing members in a new group.
    Spare,
    /// Release the group; responsive members of other broken groups replace the missing members.
    Merge,
    /// Release the group; hosts of the dissolved candidate replace the missing members.
    Dissolve,
}

/// Decides how broken groups are repaired, and which hosts are kept free for that.
pub trait RepairPolicy: fmt::Debug + Send + Sync {
    /// Chooses the action for one broken group. Called in each step for as long as it is broken.
    fn choose(&self, case: &BrokenCase) -> RepairChoice;

    /// How long to wait for a member that may resume even though a replacement is available.
    fn wait_limit(&self, _load_time: Duration) -> Duration {
        Duration::ZERO
    }

    /// Whether a serving group may be drained to free hosts for a group of a costlier set.
    fn may_dissolve(&self) -> bool {
        true
    }

    /// Number of hosts to keep free for repairs, out of the `spares` that a ticket requests for a
    /// set. The packing withholds them from less costly sets.
    fn held_spares(&self, spares: u32, _downtime_weight: Weight) -> u32 {
        spares
    }
}

/// Always waits for the unresponsive members, however long they take.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitRepair;

impl RepairPolicy for WaitRepair {
    fn may_dissolve(&self) -> bool {
        false
    }

    fn choose(&self, _case: &BrokenCase) -> RepairChoice {
        RepairChoice::Wait
    }
}

/// Uses free hosts immediately, and waits when there are too few.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpareRepair;

impl RepairPolicy for SpareRepair {
    fn may_dissolve(&self) -> bool {
        false
    }

    fn choose(&self, case: &BrokenCase) -> RepairChoice {
        if case.free_host_count >= case.missing_members {
            RepairChoice::Spare
        } else {
            RepairChoice::Wait
        }
    }
}

/// Like [`SpareRepair`], but also uses responsive members of other broken groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct MergeRepair;

impl RepairPolicy for MergeRepair {
    fn may_dissolve(&self) -> bool {
        false
    }

    fn choose(&self, case: &BrokenCase) -> RepairChoice {
        match SpareRepair.choose(case) {
            RepairChoice::Wait
                if case.free_host_count + case.other_responsive_members >= case.missing_members =>
            {
                RepairChoice::Merge
            }
            choice => choice,
        }
    }
}

/// Like [`MergeRepair`], but dissolves the candidate when the other hosts are too few.
#[derive(Clone, Copy, Debug, Default)]
pub struct DissolveRepair;

impl RepairPolicy for DissolveRepair {
    fn choose(&self, case: &BrokenCase) -> RepairChoice {
        match MergeRepair.choose(case) {
            RepairChoice::Wait if case.candidate.is_some() => RepairChoice::Dissolve,
            choice => choice,
        }
    }
}

/// The default policy, based on estimated costs.
///
/// Waits for unresponsive members that may resume, for a fraction of the load time, and uses
/// available hosts immediately when a member cannot resume. If they are too few, it releases the
/// group anyway when its hosts fit a missing group of another set. Otherwise it dissolves the
/// candidate, but only once the outage reaches `break_even_factor` times the outage from which on
/// dissolving costs less than waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostBasedRepair {
    /// Longest wait for members that may resume while replacements are available, as a fraction of
    /// the load time.
    pub wait_factor: f64,
    /// The candidate is dissolved once the outage reaches this multiple of the break-even outage.
    pub break_even_factor: f64,
}

/// Downtime weight up to which no spare is held; from here to weight 1 the share of held spares
/// rises linearly to all. At lower weights, dissolving a group for a costlier one is cheaper than
/// free hosts that wait for a failure.
const HOLD_SPARES_ABOVE_WEIGHT: f64 = 0.9;

impl Default for CostBasedRepair {
    fn default() -> Self {
        Self { wait_factor: 0.7, break_even_factor: 1.0 }
    }
}

impl CostBasedRepair {
    fn should_wait(&self, case: &BrokenCase) -> bool {
        case.may_resume && case.broken_for < self.wait_limit(case.load_time)
    }

    /// Whether the outage has lasted so long that dissolving the candidate is considered cheaper
    /// than waiting.
    ///
    /// Rates are costs per second. While the broken group is loaded on its new hosts, both groups
    /// are down. After that the candidate is down until the missing hosts are back and it has been
    /// loaded again. Waiting also costs a load if the members cannot resume.
    fn is_dissolving_cheaper(&self, case: &BrokenCase, candidate: &DissolveCandidate) -> bool {
        let weight = case.downtime_weight.0;
        let stranded_rate = |hosts: f64| (1.0 - weight) * case.accelerators_per_host * hosts;
        let (own_value, candidate_value) = (weight * case.value.0, weight * candidate.value.0);
        let (hosts, candidate_hosts) = (f64::from(case.hosts), f64::from(candidate.hosts));
        let responsive_members = f64::from(case.hosts.saturating_sub(case.missing_members));
        let waiting_rate = own_value + stranded_rate(responsive_members);
        let dissolved_rate =
            candidate_value + stranded_rate(responsive_members + candidate_hosts - hosts);
        if waiting_rate <= dissolved_rate {
            return false;
        }
        let transition_rate =
            own_value + candidate_value + stranded_rate(responsive_members + candidate_hosts);
        let restore_rate = candidate_value + stranded_rate(candidate_hosts);
        let reload_rate = if case.may_resume { 0.0 } else { own_value + stranded_rate(hosts) };
        let switching_cost = (transition_rate - dissolved_rate + restore_rate - reload_rate)
            * case.load_time.as_secs_f64();
        let break_even_s = switching_cost / (waiting_rate - dissolved_rate);
        case.broken_for.as_secs_f64() >= self.break_even_factor * break_even_s
    }
}

impl RepairPolicy for CostBasedRepair {
    fn choose(&self, case: &BrokenCase) -> RepairChoice {
        if self.should_wait(case) {
            return RepairChoice::Wait;
        }
        if case.free_host_count >= case.missing_members {
            return RepairChoice::Spare;
        }
        if case.fits_other_set
            || case.free_host_count + case.other_responsive_members >= case.missing_members
        {
            return RepairChoice::Merge;
        }
        match &case.candidate {
            Some(candidate) if self.is_dissolving_cheaper(case, candidate) => {
                RepairChoice::Dissolve
            }
            _ => RepairChoice::Wait,
        }
    }

    fn wait_limit(&self, load_time: Duration) -> Duration {
        load_time.mul_f64(self.wait_factor)
    }

    fn held_spares(&self, spares: u32, downtime_weight: Weight) -> u32 {
        let share =
            (downtime_weight.0 - HOLD_SPARES_ABOVE_WEIGHT) / (1.0 - HOLD_SPARES_ABOVE_WEIGHT);
        let share = share.clamp(0.0, 1.0);
        (f64::from(spares) * share).round() as u32
    }
}
