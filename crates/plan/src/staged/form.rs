//! Which hosts form new groups, and which models lie ready on the others.

use {
    super::{
        instance::{FormingLife, GroupInstance, InstanceLife},
        planner::{StagedInput, StagedPlanner},
        types::{StagedCommand, StagedModel},
    },
    base::{HostId, ModelName},
    std::cmp::Ordering,
};

impl StagedPlanner {
    /// Hosts that may be given to a new group.
    fn free_hosts(&self, input: &StagedInput<'_>) -> Vec<HostId> {
        let free = |host: &HostId| !self.instances.values().any(|instance| instance.has(host));
        self.hosts
            .iter()
            .filter(|(host, record)| record.is_usable(input.now, &self.settings) && free(host))
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Groups of a model that serve or come about, here and elsewhere.
    fn supply(&self, model: &StagedModel) -> u32 {
        let here = self
            .instances
            .values()
            .filter(|instance| !instance.is_ending())
            .filter(|instance| instance.model.as_ref() == Some(&model.name))
            .count();
        model.elsewhere + here as u32
    }

    /// The models, the one whose groups carry the most work each first.
    fn by_need<'a>(&self, input: &StagedInput<'a>) -> Vec<&'a StagedModel> {
        let need = |model: &StagedModel| {
            model.demand.0 / model.size as f64 / (f64::from(self.supply(model)) + 0.5)
        };
        let mut models: Vec<&StagedModel> = input.models.iter().collect();
        models.sort_by(|a, b| need(b).partial_cmp(&need(a)).unwrap_or(Ordering::Equal));
        models
    }

    /// Forms groups while hosts are free. Hosts with the model at hand come first; without traffic,
    /// when loads are quick, any host will do.
    pub(super) fn form_groups(&mut self, input: &StagedInput<'_>) {
        let growing = input.now.since(self.grown_at) < self.settings.gather_time;
        if !input.in_traffic && growing {
            // A choice made before the hosts are known would fix a poor division of them.
            return;
        }
        loop {
            let free = self.free_hosts(input);
            let models = self.by_need(input);
            let choice = models.iter().find_map(|model| {
                self.choose_members(model, &free, input).map(|members| (*model, members))
            });
            let Some((model, members)) = choice else { break };
            self.start_group(model, members, input);
        }
        self.keep_heads_open(input);
    }

    fn choose_members(
        &self,
        model: &StagedModel,
        free: &[HostId],
        input: &StagedInput<'_>,
    ) -> Option<Vec<HostId>> {
        let has_staged = |host: &&HostId| self.hosts[*host].has_staged(&model.name);
        let warm = free.iter().filter(has_staged);
        let cold = free.iter().filter(|host| !has_staged(host));
        let members: Vec<HostId> = if input.in_traffic {
            warm.take(model.size).cloned().collect()
        } else {
            warm.chain(cold).take(model.size).cloned().collect()
        };
        (members.len() == model.size && model.size > 0).then_some(members)
    }

    fn start_group(&mut self, model: &StagedModel, members: Vec<HostId>, input: &StagedInput<'_>) {
        let (group, epoch) = self.next_name();
        let born = |host: &HostId| self.hosts[host].facts.as_ref().and_then(|facts| facts.born);
        let borns = members.iter().map(born).collect();
        let command = StagedCommand::Join {
            group: group.clone(),
            epoch,
            model: model.name.clone(),
            members: members.clone(),
        };
        for host in &members {
            self.order(host, command.clone(), input.now);
        }
        let instance = GroupInstance {
            group: group.clone(),
            epoch,
            model: Some(model.name.clone()),
            life: InstanceLife::Forming(FormingLife {
                since: input.now,
                joined: vec![false; members.len()],
            }),
            members: members.into_iter().map(Some).collect(),
            borns,
        };
        self.instances.insert((group, epoch), instance);
    }

    /// Repeats the order to open where it had no effect.
    fn keep_heads_open(&mut self, input: &StagedInput<'_>) {
        let waiting: Vec<GroupInstance> = self
            .instances
            .values()
            .filter(|instance| matches!(instance.life, InstanceLife::Serving))
            .filter(|instance| !self.head_serves(instance))
            .cloned()
            .collect();
        for instance in waiting {
            self.open_head(&instance, input.now);
        }
    }

    fn head_serves(&self, instance: &GroupInstance) -> bool {
        let facts = instance.head().and_then(|head| self.hosts.get(head)?.facts.as_ref());
        let membership = facts.and_then(|facts| facts.membership.as_ref());
        membership.is_some_and(|membership| membership.may_run())
    }

    /// Loads a model onto free hosts that have none at hand, so that they can mend a group quickly.
    pub(super) fn stage_models(&mut self, input: &StagedInput<'_>) {
        let free = self.free_hosts(input);
        let forming = |instance: &GroupInstance| matches!(instance.life, InstanceLife::Forming(_));
        let growing = input.now.since(self.grown_at) < self.settings.gather_time;
        if !input.in_traffic && (growing || self.instances.values().any(forming)) {
            // Groups come first while the weight store is busy with them.
            return;
        }
        for host in &free {
            let record = &self.hosts[host];
            let at_hand = input.models.iter().any(|model| record.has_staged(&model.name));
            if at_hand || record.staging.is_some() {
                continue;
            }
            if input.in_traffic && self.load_tokens < 1.0 {
                return;
            }
            let Some(model) = self.scarcest(&free, input) else { return };
            if self.order(host, StagedCommand::Stage { model: model.clone() }, input.now) {
                self.load_tokens -= 1.0;
                if let Some(record) = self.hosts.get_mut(host) {
                    record.staging = Some(model);
                }
            }
        }
    }

    /// The model of which the fewest free hosts have, or get, the weights; on a tie the one whose
    /// groups carry the most work.
    fn scarcest(&self, free: &[HostId], input: &StagedInput<'_>) -> Option<ModelName> {
        let count = |model: &&StagedModel| {
            let holds = |host: &&HostId| {
                let record = &self.hosts[*host];
                record.has_staged(&model.name) || record.staging.as_ref() == Some(&model.name)
            };
            free.iter().filter(holds).count()
        };
        self.by_need(input).into_iter().min_by_key(count).map(|model| model.name.clone())
    }
}
