//! Chooses the backend server for a request.

use {
    crate::{core::GatewayCore, snapshot::RoutingSnapshot},
    base::{Epoch, GroupId},
    route::{
        BoundedAffinity, ChoiceRequest, PrefixKey, RouteTarget, TargetChoice, TargetList,
        choose_target,
    },
    std::sync::Arc,
};

/// Targets that a request must not be sent to again, by group and epoch.
#[derive(Clone, Debug, Default)]
pub struct AvoidedTargets(Vec<(GroupId, Epoch)>);

impl AvoidedTargets {
    /// Excludes the target's current epoch; a later epoch of the same group stays eligible.
    pub fn add(&mut self, target: &RouteTarget) {
        self.0.push((target.spec.group.clone(), target.spec.epoch));
    }

    fn positions(&self, targets: &TargetList) -> Vec<usize> {
        if self.0.is_empty() {
            return Vec::new();
        }
        let avoided = |target: &RouteTarget| {
            self.0
                .iter()
                .any(|(group, epoch)| *group == target.spec.group && *epoch == target.spec.epoch)
        };
        let all = targets.iter().enumerate();
        all.filter(|(_, target)| avoided(target)).map(|(position, _)| position).collect()
    }
}

/// The result of a choice among the targets of a class.
#[derive(Debug)]
pub enum ChosenTarget {
    /// The chosen target, and the snapshot whose list it is from.
    Target(Arc<RouteTarget>, Arc<RoutingSnapshot>),
    /// Every open target is at its limit of requests in flight.
    Full,
    /// No target is open, apart from those that the request avoids.
    Nothing,
}

/// Whether a request for one of `targets` need not stay queued: either a target has a free slot, or
/// none is open and the request is refused. Reserves nothing.
pub fn can_choose_now(targets: Option<&TargetList>, avoided: &AvoidedTargets) -> bool {
    let Some(targets) = targets else { return true };
    let avoided_positions = avoided.positions(targets);
    let open = |(position, target): &(usize, &Arc<RouteTarget>)| {
        target.is_open() && !avoided_positions.contains(position)
    };
    let mut open = targets.iter().enumerate().filter(open).peekable();
    let nothing = open.peek().is_none();
    nothing || open.any(|(_, target)| target.counters.in_flight() < target.spec.slots)
}

/// Chooses one of `targets`, which must be a list of `snapshot`.
pub fn choose(
    core: &GatewayCore,
    snapshot: &Arc<RoutingSnapshot>,
    targets: Option<&TargetList>,
    prefixes: &[PrefixKey],
    avoided: &AvoidedTargets,
) -> ChosenTarget {
    let Some(targets) = targets else { return ChosenTarget::Nothing };
    let gateways = snapshot.gateways.len().max(1);
    let policy = BoundedAffinity {
        recent_choice_weight: gateways as f64,
        ..BoundedAffinity::new(core.prefixes.clone())
    };
    let avoided_positions = avoided.positions(targets);
    let request = ChoiceRequest {
        prefixes,
        tried: &avoided_positions,
        random_number: rand::random(),
        now: core.now(),
    };
    match choose_target(&policy, &request, targets) {
        TargetChoice::Target(position) => {
            ChosenTarget::Target(targets[position].clone(), snapshot.clone())
        }
        TargetChoice::Full => ChosenTarget::Full,
        TargetChoice::Nothing => ChosenTarget::Nothing,
    }
}
