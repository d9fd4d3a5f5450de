//! Determines the order that each host needs to reach the state that the planner wants for it.

use {
    crate::{
        group::{ActiveGroup, GroupPlan},
        host::HostTrack,
        planner::{DomainPlanner, PlanInput},
        types::{HostCommand, HostOrder, HostPhase, LifecyclePhase, OrderOutcome},
    },
    base::{Epoch, GroupId, HostId, OrderSequence},
    conf::ticket::FencingMode,
};

/// Number of copies of an unanswered order; after these, its outcome is read from the host's
/// reports.
const MAX_COPIES: u32 = 3;

/// A command to send, as a new order or as another copy of the last one.
enum DueCommand {
    Fresh(HostCommand),
    Repeat(HostCommand, OrderSequence),
}

impl DomainPlanner {
    pub(crate) fn due_orders(&mut self, input: &PlanInput<'_>) -> Vec<HostOrder> {
        let mut loads_allowed = self.pacer.available_permits();
        let mut due: Vec<(HostId, DueCommand)> = Vec::new();
        for (host, track) in &self.hosts {
            if track.in_flight || !track.is_reachable(input.now, &self.settings) {
                continue;
            }
            let Some(command) = self.due_command(track, input) else { continue };
            if let DueCommand::Fresh(HostCommand::Load(_)) = &command {
                if loads_allowed == 0 {
                    continue;
                }
                loads_allowed -= 1;
            }
            due.push((host.clone(), command));
        }
        due.into_iter().map(|(host, command)| self.assign_sequence(host, command)).collect()
    }

    fn assign_sequence(&mut self, host: HostId, due: DueCommand) -> HostOrder {
        let (command, sequence) = match due {
            DueCommand::Fresh(command) => (command, self.next_sequence()),
            DueCommand::Repeat(command, sequence) => (command, sequence),
        };
        let address = self.hosts[&host].entry.address;
        HostOrder { host, address, term: self.term, sequence, command }
    }

    fn due_command(&self, track: &HostTrack, input: &PlanInput<'_>) -> Option<DueCommand> {
        let group = track.group.as_ref().and_then(|group| self.groups.get(group));
        let wanted = match group {
            Some(group) => self.command_in_group(track, group),
            None => self.command_without_group(track, input),
        };
        match wanted {
            Some(command) => self.fresh_or_repeat(track, command, input),
            None => self.fence_command(track, input).map(DueCommand::Fresh),
        }
    }

    fn command_in_group(&self, track: &HostTrack, group: &ActiveGroup) -> Option<HostCommand> {
        let plan = group.plan();
        let joined = track.report().is_some_and(|report| report.load.as_ref() == Some(&plan.load));
        match group.phase() {
            LifecyclePhase::Forming | LifecyclePhase::Loading => {
                (!joined).then(|| HostCommand::Load(plan.load.clone()))
            }
            LifecyclePhase::Draining => {
                let drains =
                    track.report().is_some_and(|report| report.phase == HostPhase::Draining);
                (joined && !drains).then(|| drain(plan))
            }
            LifecyclePhase::Serving => None,
        }
    }

    /// Returns the release from a group that a host without assignment belongs to or may have
    /// joined.
    fn command_without_group(
        &self,
        track: &HostTrack,
        input: &PlanInput<'_>,
    ) -> Option<HostCommand> {
        if !self.safeguards.release_leftovers {
            return None;
        }
        if let Some(report) = track.settled_report(input.fencing()) {
            return report
                .load
                .as_ref()
                .map(|load| HostCommand::Release { group: load.group.clone(), epoch: load.epoch });
        }
        let last_order = track.last_order.as_ref()?;
        match (&last_order.order.command, &last_order.answer) {
            (_, Some((OrderOutcome::Refused | OrderOutcome::Outdated { .. }, _))) => None,
            (HostCommand::Load(load), _) => {
                Some(HostCommand::Release { group: load.group.clone(), epoch: load.epoch })
            }
            (HostCommand::Drain { group, epoch }, _) => {
                Some(HostCommand::Release { group: group.clone(), epoch: *epoch })
            }
            (HostCommand::Release { .. }, Some(_)) => None,
            (release @ HostCommand::Release { .. }, None) => Some(release.clone()),
        }
    }

    /// Returns the command as a new order if it differs from the last one. Otherwise it returns
    /// another copy of the last order, at most once per retry time and [`MAX_COPIES`] times in all,
    /// or a new order once the last one can no longer take effect.
    ///
    /// `None` if the retry time has not passed; if the last order may still take effect and has
    /// been answered or sent in all copies; or if it is a load that has been answered, because the
    /// review of the group acts on that answer.
    fn fresh_or_repeat(
        &self,
        track: &HostTrack,
        command: HostCommand,
        input: &PlanInput<'_>,
    ) -> Option<DueCommand> {
        let Some(last_order) =
            track.last_order.as_ref().filter(|last_order| last_order.order.command == command)
        else {
            return Some(DueCommand::Fresh(command));
        };
        if input.now.since(last_order.sent_at) < self.settings.order_retry {
            return None;
        }
        let settled = track.settled_report(input.fencing()).is_some();
        match &last_order.answer {
            None if settled => Some(DueCommand::Fresh(command)),
            None if last_order.copies < MAX_COPIES => {
                Some(DueCommand::Repeat(command, last_order.order.sequence))
            }
            None => None,
            Some(_) if matches!(command, HostCommand::Load(_)) => None,
            Some(_) => settled.then_some(DueCommand::Fresh(command)),
        }
    }

    /// Returns an order without any other effect than to raise the fencing number of an engine that
    /// checks it to this owner's term.
    fn fence_command(&self, track: &HostTrack, input: &PlanInput<'_>) -> Option<HostCommand> {
        let needed = self.safeguards.fence_engines
            && input.fencing() == FencingMode::Checked
            && track.fenced_at.is_none();
        if !needed {
            return None;
        }
        let due = track.last_order.as_ref().is_none_or(|last_order| {
            input.now.since(last_order.sent_at) >= self.settings.order_retry
        });
        let group = GroupId::new("fence").expect("a valid literal");
        due.then_some(HostCommand::Release { group, epoch: Epoch(0) })
    }
}

fn drain(plan: &GroupPlan) -> HostCommand {
    HostCommand::Drain { group: plan.load.group.clone(), epoch: plan.load.epoch }
}
