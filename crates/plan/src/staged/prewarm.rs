//! Prewarms spare hosts, so that they join groups quickly.
//!
//! An engine joins faster if its last group had the same model. The planner orders a spare that has
//! not been in a group of its staged model into a group of its own, which never serves, and out of
//! it again.

use {
    super::{
        composition::{Composition, CompositionPhase, FormingProgress},
        host::HostRecord,
        planner::{StagedInput, StagedPlanner},
        types::{MemberPhase, StagedCommand},
    },
    base::{HostId, ModelName},
};

impl StagedPlanner {
    /// Starts to prewarm spares, once all groups serve: all spares before traffic, one at a time
    /// under traffic, so that the others remain free to repair a group.
    pub(super) fn prewarm_spares(&mut self, input: &StagedInput<'_>) {
        if !self.all_groups_serve() || (!input.in_traffic && input.list_incomplete) {
            return;
        }
        let limit = if input.in_traffic { 1 } else { usize::MAX };
        let spares: Vec<(HostId, ModelName)> = self
            .free_hosts(input)
            .into_iter()
            .filter_map(|host| model_to_prewarm(&self.hosts[&host]).map(|model| (host, model)))
            .take(limit)
            .collect();
        for (host, model) in spares {
            self.start_prewarm(host, model, input);
        }
    }

    fn start_prewarm(&mut self, host: HostId, model: ModelName, input: &StagedInput<'_>) {
        let (group, epoch) = self.next_group();
        let members = vec![host.clone()];
        let join =
            StagedCommand::Join { group: group.clone(), epoch, model: model.clone(), members };
        self.order(&host, join, input.now);
        let boot_id = self.hosts[&host].state.as_ref().and_then(|state| state.boot_id);
        let progress = FormingProgress { since: input.now, joined: vec![false] };
        let composition = Composition {
            group: group.clone(),
            epoch,
            model: Some(model),
            members: vec![Some(host)],
            boot_ids: vec![boot_id],
            phase: CompositionPhase::Prewarming(progress),
            loss: None,
        };
        self.compositions.insert((group, epoch), composition);
    }

    /// Dissolves the spare's group once the engine is ready or the time limit has passed.
    pub(super) fn review_prewarm(
        &mut self,
        composition: &mut Composition,
        mut progress: FormingProgress,
        input: &StagedInput<'_>,
    ) {
        let Some(host) = composition.head().cloned() else {
            composition.dissolve();
            return;
        };
        let phase = self.membership(&host, composition).map(|membership| membership.phase);
        progress.joined[0] |= phase.is_some();
        let timed_out = input.now.since(progress.since) >= self.settings.prewarm_limit;
        if timed_out || phase == Some(MemberPhase::Ready) {
            if let Some(record) = self.hosts.get_mut(&host) {
                // A spare that exceeded the limit counts as prewarmed too, so it is not tried
                // again.
                record.last_group_model.clone_from(&composition.model);
            }
            composition.dissolve();
            return;
        }
        composition.phase = CompositionPhase::Prewarming(progress);
    }
}

/// A staged model other than that of the engine's last group; `None` while a load runs.
fn model_to_prewarm(record: &HostRecord) -> Option<ModelName> {
    if record.staging.is_some() {
        return None;
    }
    let staged = &record.state.as_ref()?.staged;
    staged.iter().find(|model| record.last_group_model.as_ref() != Some(model)).cloned()
}
