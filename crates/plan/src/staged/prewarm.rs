//! Makes spare hosts quick to join.
//!
//! An engine joins within a moment if its last group had the same model. A spare that was never a
//! member is made one of a group of its own that never serves, and leaves it again.

use {
    super::{
        composition::{FormingLife, GroupInstance, InstanceLife},
        host::HostRecord,
        planner::{StagedInput, StagedPlanner},
        types::{MemberPhase, StagedCommand},
    },
    base::{HostId, ModelName},
};

impl StagedPlanner {
    /// Starts to prime spares: all of them before traffic, one at a time under traffic, so that the
    /// others can mend a group meanwhile. Groups come first.
    pub(super) fn prime_spares(&mut self, input: &StagedInput<'_>) {
        if !self.is_calm() || (!input.in_traffic && input.gathering) {
            return;
        }
        let most = if input.in_traffic { 1 } else { usize::MAX };
        let spares: Vec<(HostId, ModelName)> = self
            .free_hosts(input)
            .into_iter()
            .filter_map(|host| unprimed_model(&self.hosts[&host]).map(|model| (host, model)))
            .take(most)
            .collect();
        for (host, model) in spares {
            self.start_priming(host, model, input);
        }
    }

    fn start_priming(&mut self, host: HostId, model: ModelName, input: &StagedInput<'_>) {
        let (group, epoch) = self.next_name();
        let members = vec![host.clone()];
        let join =
            StagedCommand::Join { group: group.clone(), epoch, model: model.clone(), members };
        self.order(&host, join, input.now);
        let born = self.hosts[&host].facts.as_ref().and_then(|facts| facts.born);
        let life = FormingLife { since: input.now, joined: vec![false] };
        let instance = GroupInstance {
            group: group.clone(),
            epoch,
            model: Some(model),
            members: vec![Some(host)],
            borns: vec![born],
            life: InstanceLife::Priming(life),
        };
        self.instances.insert((group, epoch), instance);
    }

    /// Ends it once the engine is ready, or when it takes too long.
    pub(super) fn review_priming(
        &mut self,
        instance: &mut GroupInstance,
        mut life: FormingLife,
        input: &StagedInput<'_>,
    ) {
        let Some(host) = instance.head().cloned() else {
            instance.retire();
            return;
        };
        let phase = self.membership(&host, instance).map(|membership| membership.phase);
        life.joined[0] |= phase.is_some();
        let late = input.now.since(life.since) >= self.settings.prime_limit;
        if late || phase == Some(MemberPhase::Ready) {
            if let Some(record) = self.hosts.get_mut(&host) {
                // One that took too long is not tried again.
                record.primed.clone_from(&instance.model);
            }
            instance.retire();
            return;
        }
        instance.life = InstanceLife::Priming(life);
    }
}

/// The model at hand, if the engine was not in a group of it yet.
fn unprimed_model(record: &HostRecord) -> Option<ModelName> {
    if record.staging.is_some() {
        return None;
    }
    let staged = &record.facts.as_ref()?.staged;
    staged.iter().find(|model| record.primed.as_ref() != Some(model)).cloned()
}
