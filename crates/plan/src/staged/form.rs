//! Which hosts form new groups, and which models lie ready on the others.

use {
    super::{
        composition::{FormingLife, GroupInstance, InstanceLife},
        host::RunningLoad,
        planner::{StagedInput, StagedPlanner},
        types::{StagedCommand, StagedModel},
    },
    base::{HostId, ModelName},
    std::cmp::Ordering,
};

impl StagedPlanner {
    /// Hosts that may be given to a new group.
    pub(super) fn free_hosts(&self, input: &StagedInput<'_>) -> Vec<HostId> {
        let free = |host: &HostId| !self.instances.values().any(|instance| instance.has(host));
        self.hosts
            .iter()
            .filter(|(host, record)| record.is_usable(input.now, &self.settings) && free(host))
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Groups of a model that serve or come about, here and elsewhere.
    fn supply(&self, model: &StagedModel) -> u32 {
        model.elsewhere + self.groups_here(model) as u32
    }

    fn groups_here(&self, model: &StagedModel) -> usize {
        self.instances
            .values()
            .filter(|instance| instance.is_for_service())
            .filter(|instance| instance.model.as_ref() == Some(&model.name))
            .count()
    }

    /// The models, the one whose groups carry the most work each first.
    fn by_need<'a>(&self, input: &StagedInput<'a>) -> Vec<&'a StagedModel> {
        let need = |model: &StagedModel| model.need(self.supply(model));
        let mut models: Vec<&StagedModel> = input.models.iter().collect();
        models.sort_by(|a, b| need(b).partial_cmp(&need(a)).unwrap_or(Ordering::Equal));
        models
    }

    /// Forms groups while hosts are free. Hosts with the model at hand come first; without traffic,
    /// when loads are quick, any host will do.
    pub(super) fn form_groups(&mut self, input: &StagedInput<'_>) {
        if !input.in_traffic && input.gathering {
            // A choice made before the hosts are known would fix a poor division of them.
            return;
        }
        loop {
            let free = self.free_hosts(input);
            let models = self.formable(input);
            let choice = models.iter().find_map(|model| {
                self.choose_members(model, &free, input).map(|members| (*model, members))
            });
            let Some((model, members)) = choice else { break };
            self.start_group(model, members, input);
        }
        self.keep_heads_open(input);
    }

    /// The models of which a group may be formed now, most wanted first. Without traffic only those
    /// that the domain should begin with.
    fn formable<'a>(&self, input: &StagedInput<'a>) -> Vec<&'a StagedModel> {
        let mut models = self.by_need(input);
        if !input.in_traffic {
            models.retain(|model| {
                let wanted = input.first_groups.iter().filter(|first| **first == model.name);
                wanted.count() > self.groups_here(model)
            });
        }
        models
    }

    fn choose_members(
        &self,
        model: &StagedModel,
        free: &[HostId],
        input: &StagedInput<'_>,
    ) -> Option<Vec<HostId>> {
        let has_staged = |host: &&HostId| self.hosts[*host].has_staged(&model.name);
        let is_primed = |host: &&HostId| self.hosts[*host].primed.as_ref() == Some(&model.name);
        // The slowest member decides when the group is ready.
        let (primed, unprimed): (Vec<&HostId>, Vec<&HostId>) =
            free.iter().filter(has_staged).partition(|host| is_primed(host));
        let warm = primed.into_iter().chain(unprimed);
        let cold = free.iter().filter(|host| !has_staged(host));
        let members: Vec<HostId> = if input.in_traffic {
            warm.filter(|host| self.hosts[*host].staging.is_none())
                .take(model.size)
                .cloned()
                .collect()
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

    pub(super) fn head_serves(&self, instance: &GroupInstance) -> bool {
        let facts = instance.head().and_then(|head| self.hosts.get(head)?.facts.as_ref());
        let membership = facts.and_then(|facts| facts.membership.as_ref());
        membership.is_some_and(|membership| membership.may_run())
    }

    /// Loads models onto free hosts: first what lacks for a group of the hosts that are free, then
    /// something onto each host that has nothing at hand, so that it can mend a group quickly.
    pub(super) fn stage_models(&mut self, input: &StagedInput<'_>) {
        let free = self.free_hosts(input);
        self.clear_leftovers(&free, input.now);
        let forming = |instance: &GroupInstance| matches!(instance.life, InstanceLife::Forming(_));
        if !input.in_traffic && (input.gathering || self.instances.values().any(forming)) {
            // Groups come first while the weight store is busy with them.
            return;
        }
        let mut spare = free.clone();
        // Before traffic, hosts beyond the first groups are spares.
        let mut models = self.formable(input);
        models.sort_by(|a, b| {
            let worth = |model: &StagedModel| {
                let lacking = model.size - self.count_with(&spare, model).min(model.size);
                let time = 1.0 + lacking as f64 * model.load_time.as_secs_f64();
                model.need(self.supply(model)) / time
            };
            worth(b).total_cmp(&worth(a))
        });
        for model in models {
            self.complete_group(model, &mut spare, input);
        }
        for host in &spare {
            let at_hand = input.models.iter().any(|model| self.will_have(host, &model.name));
            if at_hand || self.hosts[host].staging.is_some() {
                continue;
            }
            let Some(model) = self.scarcest(&free, input) else { return };
            self.stage(host, model, input);
        }
    }

    /// Takes the hosts of one more group of a model out of `spare`, if there are enough, and loads
    /// the model onto those of them that lack it. Hosts with nothing at hand go first.
    fn complete_group(
        &mut self,
        model: &StagedModel,
        spare: &mut Vec<HostId>,
        input: &StagedInput<'_>,
    ) {
        if model.size == 0 || spare.len() < model.size {
            return;
        }
        let empty = |host: &HostId| {
            let staged = |known: &StagedModel| self.will_have(host, &known.name);
            !input.models.iter().any(staged)
        };
        let able = spare.iter().filter(|host| self.will_have(host, &model.name) || empty(host));
        if able.count() < model.size {
            // A host with another model at hand keeps it: that model's groups will lose members too.
            return;
        }
        spare.sort_by_key(|host| (!self.will_have(host, &model.name), !empty(host)));
        let chosen: Vec<HostId> = spare.drain(..model.size).collect();
        for host in chosen {
            let loads = self.hosts[&host].staging.is_some();
            if !loads && !self.will_have(&host, &model.name) {
                self.stage(&host, model.name.clone(), input);
            }
        }
    }

    /// Whether a model lies on a host or is being loaded onto it.
    fn will_have(&self, host: &HostId, model: &ModelName) -> bool {
        let record = &self.hosts[host];
        match &record.staging {
            Some(load) => load.model == *model,
            None => record.has_staged(model),
        }
    }

    fn stage(&mut self, host: &HostId, model: ModelName, input: &StagedInput<'_>) {
        let loads = self.hosts.values().filter(|record| record.staging.is_some()).count();
        let full = self.load_tokens < 1.0 || loads >= self.settings.loads_at_once;
        if input.in_traffic && full {
            return;
        }
        if self.order(host, StagedCommand::Stage { model: model.clone() }, input.now) {
            self.load_tokens -= 1.0;
            if let Some(record) = self.hosts.get_mut(host) {
                record.staging = Some(RunningLoad { model, since: input.now });
            }
        }
    }

    fn count_with(&self, hosts: &[HostId], model: &StagedModel) -> usize {
        hosts.iter().filter(|host| self.will_have(host, &model.name)).count()
    }

    /// The model that a host with nothing at hand should get: one of which a part of a group is free
    /// already, the largest part first, or else the one with the most members in this domain for
    /// each free host with it; on a tie the one whose groups carry the most work.
    fn scarcest(&self, free: &[HostId], input: &StagedInput<'_>) -> Option<ModelName> {
        let rank = |model: &StagedModel| {
            let with = self.count_with(free, model) as f64;
            let part = if with < model.size as f64 { with / model.size as f64 } else { 0.0 };
            let members = self.groups_here(model) * model.size;
            (part, members as f64 / (with + 0.5))
        };
        let mut models = self.by_need(input);
        models.sort_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1))
        });
        models.first().map(|model| model.name.clone())
    }
}
