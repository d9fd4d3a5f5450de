//! What is known of one host.

use {
    super::types::{
        EngineFacts, LossMark, MemberPhase, Membership, ObservationSource, OrderEnd, StagedCommand,
        StagedHost, StagedSettings,
    },
    base::{Epoch, GroupId, ModelName, Tick},
    std::time::Duration,
};

/// An order and what became of it.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) command: StagedCommand,
    /// When this command was sent first, of the copies in a row.
    pub(super) first: Tick,
    pub(super) sent: Tick,
    pub(super) end: Option<OrderEnd>,
}

/// A model on its way onto a host.
#[derive(Clone, Debug)]
pub(super) struct RunningLoad {
    pub(super) model: ModelName,
    pub(super) since: Tick,
}

/// One host with what it said and what it was told.
#[derive(Clone, Debug)]
pub(super) struct HostRecord {
    pub(super) entry: StagedHost,
    /// Whether it still answered when the list announced or showed its end. Then it finishes its work
    /// after it has stopped listening.
    leaves_in_order: bool,
    pub(super) facts: Option<EngineFacts>,
    /// When the facts on its group were taken in.
    facts_at: Tick,
    /// When it last answered, counted from the question.
    pub(super) answered: Option<Tick>,
    /// When the first of the questions was sent that it left unanswered since.
    silent_since: Option<Tick>,
    silences: u32,
    refused: bool,
    pub(super) last: Option<SentOrder>,
    /// The model of its last group, which it makes ready again within a moment.
    pub(super) primed: Option<ModelName>,
    /// A load that was ordered and has not been seen to end.
    pub(super) staging: Option<RunningLoad>,
}

/// Unanswered questions in a row before a host counts as lost; one may be lost on the way.
const LOST_QUESTIONS: u32 = 2;

impl HostRecord {
    pub(super) fn new(entry: StagedHost) -> Self {
        Self {
            leaves_in_order: !entry.listed || entry.leaving,
            entry,
            facts: None,
            facts_at: Tick(0),
            answered: None,
            silent_since: None,
            silences: 0,
            refused: false,
            last: None,
            primed: None,
            staging: None,
        }
    }

    /// Takes in what the host list shows of the host.
    pub(super) fn note_listing(&mut self, entry: Option<&StagedHost>) {
        let stays = entry.is_some_and(|entry| entry.listed && !entry.leaving);
        let stayed = self.entry.listed && !self.entry.leaving;
        if stays {
            self.leaves_in_order = false;
        } else if stayed {
            self.leaves_in_order = self.silences == 0;
        }
        match entry {
            Some(entry) => self.entry = entry.clone(),
            None => self.entry.listed = false,
        }
    }

    /// Takes in what the engine said; facts on the group only where they cannot be older than what
    /// is known.
    pub(super) fn observe(
        &mut self,
        source: ObservationSource,
        asked: Tick,
        facts: EngineFacts,
        settings: &StagedSettings,
    ) {
        if source == ObservationSource::Engine {
            self.answered = self.answered.max(Some(asked));
            if self.silent_since.is_none_or(|since| asked >= since) {
                self.hear();
            }
        }
        let reborn = self.facts.as_ref().is_some_and(|known| known.born < facts.born);
        let outdated = self.facts.as_ref().is_some_and(|known| facts.born < known.born);
        if outdated {
            return;
        }
        if reborn {
            self.last = None;
            self.primed = None;
            self.staging = None;
            self.hear();
        }
        let lagging = source == ObservationSource::Engine
            && !reborn
            && self.facts.is_some()
            && !self.is_quiet(asked, settings.answer_lag);
        if lagging {
            return;
        }
        if self.staging.as_ref().is_some_and(|load| facts.staged.contains(&load.model)) {
            self.staging = None;
        }
        if self.facts.as_ref() != Some(&facts) {
            self.facts_at = asked;
        }
        let joined = |membership: &Membership| membership.phase != MemberPhase::Joining;
        if facts.membership.as_ref().is_some_and(joined) {
            self.primed.clone_from(&facts.model);
        }
        self.facts = Some(facts);
    }

    /// Notes that the host has left its group, before it says so itself.
    pub(super) fn forget_membership(&mut self) {
        if let Some(facts) = &mut self.facts {
            facts.membership = None;
            facts.model = None;
        }
    }

    /// Forgets that the host was told to leave a composition, so that it is told again.
    pub(super) fn forget_leave(&mut self, group: &GroupId, epoch: Epoch) {
        let leave = StagedCommand::Leave { group: group.clone(), epoch };
        if self.last.as_ref().is_some_and(|last| last.command == leave) {
            self.last = None;
        }
    }

    /// Whether nothing was ordered and nothing changed for `span` before `at`.
    fn is_quiet(&self, at: Tick, span: Duration) -> bool {
        let ordered = self.last.as_ref().is_some_and(|order| at.since(order.first) < span);
        !ordered && at.since(self.facts_at) >= span
    }

    fn hear(&mut self) {
        self.silent_since = None;
        self.silences = 0;
        self.refused = false;
    }

    pub(super) fn note_loss(&mut self, asked: Tick, mark: LossMark) {
        if self.answered.is_some_and(|answered| asked < answered) {
            return;
        }
        self.silent_since.get_or_insert(asked);
        self.silences += 1;
        self.refused |= mark == LossMark::Refused;
    }

    /// Whether the engine is taken as lost.
    pub(super) fn is_lost(&self, now: Tick, settings: &StagedSettings) -> bool {
        let silent = self.silent_since.is_some_and(|since| {
            self.silences >= LOST_QUESTIONS && now.since(since) >= settings.lost_after
        });
        silent || (self.refused && self.silences >= LOST_QUESTIONS)
    }

    /// Whether the engine's process has certainly ended: nobody reaches it and the host list has
    /// dropped it.
    pub(super) fn is_gone(&self, now: Tick, settings: &StagedSettings) -> bool {
        let after = if self.leaves_in_order { settings.linger_after } else { settings.gone_after };
        let silent = self.silent_since.is_some_and(|since| now.since(since) >= after);
        !self.entry.listed && silent && self.silences >= LOST_QUESTIONS
    }

    /// Whether the engine may be given to a new group.
    pub(super) fn is_usable(&self, now: Tick, settings: &StagedSettings) -> bool {
        self.entry.listed
            && !self.entry.leaving
            && self.facts.is_some()
            && self.answered.is_some()
            && self.silences == 0
            && !self.is_lost(now, settings)
    }

    pub(super) fn has_staged(&self, model: &ModelName) -> bool {
        self.facts.as_ref().is_some_and(|facts| facts.staged.contains(model))
    }

    /// Whether `command` should be sent now: it was not sent last, or had no effect for too long.
    pub(super) fn is_due(
        &self,
        command: &StagedCommand,
        now: Tick,
        settings: &StagedSettings,
    ) -> bool {
        let Some(last) = &self.last else { return true };
        if last.command != *command {
            return true;
        }
        match last.end {
            Some(OrderEnd::NotSent | OrderEnd::Refused) => {
                now.since(last.sent) >= settings.order_retry / 4
            }
            _ => now.since(last.sent) >= settings.order_retry,
        }
    }
}
