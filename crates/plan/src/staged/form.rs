//! Selects the hosts of new groups and the models to stage on the remaining hosts.

use {
    super::{
        composition::{Composition, CompositionPhase, FormingProgress},
        host::{HostRecord, RunningLoad},
        planner::{StagedInput, StagedPlanner},
        types::{StagedCommand, StagedModel},
    },
    base::{HostId, ModelName, Tick},
    std::cmp::Ordering,
};

impl StagedPlanner {
    /// Usable hosts that are in no composition, not even in one that is dissolved and whose head may be
    /// open.
    pub(super) fn free_hosts(&self, input: &StagedInput<'_>) -> Vec<HostId> {
        self.only_free(self.unassigned_hosts(input), input.now)
    }

    /// Those of unassigned hosts that can be ordered into a group now.
    fn only_free(&self, mut hosts: Vec<HostId>, now: Tick) -> Vec<HostId> {
        hosts.retain(|host| !self.must_leave_first(host) && !self.awaits_order_count(host, now));
        hosts
    }

    /// Usable hosts that belong to no composition that still exists, and have not left one.
    fn unassigned_hosts(&self, input: &StagedInput<'_>) -> Vec<HostId> {
        let free = |host: &HostId, record: &HostRecord| {
            let holds = |composition: &Composition| {
                composition.has(host)
                    || record.left(&composition.group, composition.epoch).is_some()
            };
            !self.compositions.values().any(holds)
        };
        self.hosts
            .iter()
            .filter(|(host, record)| {
                record.is_usable(input.now, &self.settings) && free(host, record)
            })
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Groups of a model that serve or are being formed, in this fabric domain and the others.
    fn group_count(&self, model: &StagedModel) -> u32 {
        model.elsewhere + self.groups_in_domain(model) as u32
    }

    fn groups_in_domain(&self, model: &StagedModel) -> usize {
        self.compositions
            .values()
            .filter(|composition| composition.is_forming_or_serving())
            .filter(|composition| composition.model.as_ref() == Some(&model.name))
            .count()
    }

    /// The models in descending order of [`StagedModel::need`].
    fn models_by_need<'a>(&self, input: &StagedInput<'a>) -> Vec<&'a StagedModel> {
        let need = |model: &StagedModel| model.need(self.group_count(model));
        let mut models: Vec<&StagedModel> = input.models.iter().collect();
        models.sort_by(|a, b| need(b).partial_cmp(&need(a)).unwrap_or(Ordering::Equal));
        models
    }

    /// Forms as many groups as the free hosts allow. Hosts with the model staged come first; before
    /// traffic, when loads are fast, other hosts are used too.
    pub(super) fn form_groups(&mut self, input: &StagedInput<'_>) {
        if !input.in_traffic && input.list_incomplete {
            // Groups formed before all hosts are listed may divide them badly.
            return;
        }
        loop {
            let free = self.free_hosts(input);
            let models = self.formable_models(input);
            let choice = models.iter().find_map(|model| {
                self.choose_members(model, &free, input).map(|members| (*model, members))
            });
            let Some((model, members)) = choice else { break };
            self.start_group(model, members, input);
        }
        self.retry_open(input);
    }

    /// The models of which a group may be formed now, the one with the greatest need first. Before
    /// traffic these are the models that still lack some of [`StagedInput::first_groups`].
    fn formable_models<'a>(&self, input: &StagedInput<'a>) -> Vec<&'a StagedModel> {
        let mut models = self.models_by_need(input);
        if !input.in_traffic {
            models.retain(|model| {
                let wanted = input.first_groups.iter().filter(|first| **first == model.name);
                wanted.count() > self.groups_in_domain(model)
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
        let is_prewarmed =
            |host: &&HostId| self.hosts[*host].last_group_model.as_ref() == Some(&model.name);
        // Prewarmed hosts go first: the group is ready only when its slowest member is.
        let (prewarmed, not_prewarmed): (Vec<&HostId>, Vec<&HostId>) =
            free.iter().filter(has_staged).partition(|host| is_prewarmed(host));
        let warm = prewarmed.into_iter().chain(not_prewarmed);
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
        let (group, epoch) = self.next_group();
        let boot_id =
            |host: &HostId| self.hosts[host].state.as_ref().and_then(|state| state.boot_id);
        let boot_ids = members.iter().map(boot_id).collect();
        let command = StagedCommand::Join {
            group: group.clone(),
            epoch,
            model: model.name.clone(),
            members: members.clone(),
        };
        for host in &members {
            self.order(host, command.clone(), input.now);
        }
        let composition = Composition {
            group: group.clone(),
            epoch,
            model: Some(model.name.clone()),
            phase: CompositionPhase::Forming(FormingProgress {
                since: input.now,
                joined: vec![false; members.len()],
            }),
            members: members.into_iter().map(Some).collect(),
            boot_ids,
            loss: None,
        };
        self.compositions.insert((group, epoch), composition);
    }

    /// Orders heads to open again if their composition serves and they do not report an open group.
    fn retry_open(&mut self, input: &StagedInput<'_>) {
        let waiting: Vec<Composition> = self
            .compositions
            .values()
            .filter(|composition| matches!(composition.phase, CompositionPhase::Serving))
            .filter(|composition| !self.head_may_run(composition))
            .cloned()
            .collect();
        for composition in waiting {
            self.open_head(&composition, input.now);
        }
    }

    /// Whether the head reports an open or closing group, so that requests may run.
    pub(super) fn head_may_run(&self, composition: &Composition) -> bool {
        let state = composition.head().and_then(|head| self.hosts.get(head)?.state.as_ref());
        let membership = state.and_then(|state| state.membership.as_ref());
        membership.is_some_and(|membership| membership.may_run())
    }

    /// Stages models on free hosts: first the models that complete further groups out of the free
    /// hosts, then one model on each host that has none, so that it can repair a group quickly.
    pub(super) fn stage_models(&mut self, input: &StagedInput<'_>) {
        let unassigned = self.unassigned_hosts(input);
        let free = self.only_free(unassigned.clone(), input.now);
        self.remove_stale_members(&unassigned, input.now);
        let forming =
            |composition: &Composition| matches!(composition.phase, CompositionPhase::Forming(_));
        if !input.in_traffic && (input.list_incomplete || self.compositions.values().any(forming)) {
            // The weight store is left to the members of the first groups.
            return;
        }
        let mut spare = free.clone();
        spare.extend(self.waiting_members(input));
        let available = spare.clone();
        // Before traffic only the first groups are considered; all other hosts are spares.
        let mut models = self.formable_models(input);
        models.sort_by(|a, b| {
            let benefit = |model: &StagedModel| {
                let missing = model.size - self.count_hosts_with(&spare, model).min(model.size);
                let time = 1.0 + missing as f64 * model.load_time.as_secs_f64();
                model.need(self.group_count(model)) / time
            };
            benefit(b).total_cmp(&benefit(a))
        });
        for model in models {
            self.stage_for_group(model, &mut spare, input);
        }
        for host in &spare {
            let has_model = input.models.iter().any(|model| self.will_have(host, &model.name));
            if has_model || self.hosts[host].staging.is_some() {
                continue;
            }
            let Some(model) = self.model_to_stage(&available, input) else { return };
            self.stage(host, model, input);
        }
    }

    /// Members with the weights of their model that will be free once their head is broken. They count
    /// for the models of other hosts, so that a load which their next group needs begins at once.
    fn waiting_members(&self, input: &StagedInput<'_>) -> Vec<HostId> {
        let is_ready = |host: &&HostId, model: &ModelName| {
            self.hosts.get(*host).is_some_and(|record| {
                record.is_usable(input.now, &self.settings) && record.has_staged(model)
            })
        };
        let waiting = self.compositions.values().filter(|composition| composition.loss.is_some());
        waiting
            .filter_map(|composition| Some((composition, composition.model.as_ref()?)))
            .filter(|(_, model)| input.models.iter().any(|known| known.name == **model))
            .flat_map(|(composition, model)| {
                let members = composition.members.iter().flatten();
                members.filter(move |host| is_ready(host, model)).cloned()
            })
            .collect()
    }

    /// Removes the hosts of one more group of a model from `spare`, if there are enough of them,
    /// and stages the model on those that lack it. Hosts that have the model come first, then hosts
    /// without any model.
    fn stage_for_group(
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
        let candidates =
            spare.iter().filter(|host| self.will_have(host, &model.name) || empty(host));
        if candidates.count() < model.size {
            // Hosts with another model keep it as spares, because groups of that model lose members
            // too.
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

    /// Whether a model is staged on a host, or will be once its running load has ended.
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

    fn count_hosts_with(&self, hosts: &[HostId], model: &StagedModel) -> usize {
        hosts.iter().filter(|host| self.will_have(host, &model.name)).count()
    }

    /// The model to stage on a host that has none.
    ///
    /// It is the model whose free hosts make up the largest part of an incomplete group. If there
    /// is no such part, it is the model with the most group members in this domain per free host
    /// that has it. Ties go to the model with the greatest need.
    fn model_to_stage(&self, free: &[HostId], input: &StagedInput<'_>) -> Option<ModelName> {
        let rank = |model: &StagedModel| {
            let with = self.count_hosts_with(free, model) as f64;
            let part = if with < model.size as f64 { with / model.size as f64 } else { 0.0 };
            let members = self.groups_in_domain(model) * model.size;
            (part, members as f64 / (with + 0.5))
        };
        let mut models = self.models_by_need(input);
        models.sort_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1))
        });
        models.first().map(|model| model.name.clone())
    }
}
