//! Suspects that are refused, and when one request with one of them is sent as a probe.

use {
    crate::{
        settings::PoisonSettings,
        suspect::{RequestSuspects, SuspectId, SuspectKind},
        update::RefusalNotice,
    },
    base::Tick,
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of refused parts. More of them at once are taken for a failure of the servers.
const MAX_REFUSED_PARTS: usize = 32;
/// Maximum number of refused requests. Each has crashed several servers; the oldest goes first.
const MAX_REFUSED_REQUESTS: usize = 128;

/// A suspect that is or was refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspectRefusal {
    pub(crate) since: Tick,
    pub(crate) until: Tick,
    pub(crate) term: Duration,
    pub(crate) was_sound: bool,
    /// See [`RefusalNotice::probe_rank`].
    pub(crate) probe_rank: u64,
    /// When this process sends one request with the suspect; `None` if another process does.
    pub(crate) probe_at: Option<Tick>,
}

impl SuspectRefusal {
    pub(crate) fn is_active(&self, now: Tick) -> bool {
        self.until > now
    }

    /// Whether the refusal has ended but one crash renews it.
    pub(crate) fn is_on_probation(&self, now: Tick) -> bool {
        !self.is_active(now) && self.until + self.term > now
    }
}

/// A refused suspect of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedSuspect {
    /// The suspect.
    pub suspect: SuspectId,
    /// How long it is still refused.
    pub left: Duration,
}

/// All suspects that are or were refused.
#[derive(Debug, Default)]
pub(crate) struct RefusalList {
    refusals: BTreeMap<SuspectId, SuspectRefusal>,
}

impl RefusalList {
    pub(crate) fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Whether the suspect is refused or on probation.
    pub(crate) fn contains(&self, suspect: SuspectId) -> bool {
        self.refusals.contains_key(&suspect)
    }

    pub(crate) fn get(&self, suspect: SuspectId) -> Option<&SuspectRefusal> {
        self.refusals.get(&suspect)
    }

    pub(crate) fn is_active(&self, suspect: SuspectId, now: Tick) -> bool {
        self.get(suspect).is_some_and(|refusal| refusal.is_active(now))
    }

    /// Ends a refusal. Returns whether it was active.
    pub(crate) fn remove(&mut self, suspect: SuspectId, now: Tick) -> bool {
        self.refusals.remove(&suspect).is_some_and(|refusal| refusal.is_active(now))
    }

    pub(crate) fn retain(&mut self, keeps: impl Fn(SuspectId, &SuspectRefusal) -> bool) {
        self.refusals.retain(|suspect, refusal| keeps(*suspect, refusal));
    }

    /// Adds a refusal. Returns false where no more parts may be refused.
    pub(crate) fn insert(
        &mut self,
        suspect: SuspectId,
        refusal: SuspectRefusal,
        now: Tick,
    ) -> bool {
        if !self.has_room(suspect.kind(), now) {
            return false;
        }
        if suspect.kind() == SuspectKind::Request {
            self.drop_oldest_request();
        }
        self.refusals.insert(suspect, refusal);
        true
    }

    /// Whether one more suspect of a kind may be refused.
    pub(crate) fn has_room(&self, kind: SuspectKind, now: Tick) -> bool {
        let is_active_part = |(suspect, refusal): &(&SuspectId, &SuspectRefusal)| {
            suspect.kind() == SuspectKind::Part && refusal.is_active(now)
        };
        kind == SuspectKind::Request
            || self.refusals.iter().filter(is_active_part).count() < MAX_REFUSED_PARTS
    }

    fn drop_oldest_request(&mut self) {
        let requests =
            || self.refusals.iter().filter(|(suspect, _)| suspect.kind() == SuspectKind::Request);
        if requests().count() >= MAX_REFUSED_REQUESTS
            && let Some((oldest, _)) = requests().min_by_key(|(_, refusal)| refusal.since)
        {
            let oldest = *oldest;
            self.refusals.remove(&oldest);
        }
    }

    /// Applies that another process refuses a suspect too: the one with the lowest rank probes it.
    pub(crate) fn yield_probe(&mut self, suspect: SuspectId, probe_rank: u64) {
        if let Some(known) = self.refusals.get_mut(&suspect)
            && probe_rank < known.probe_rank
        {
            known.probe_rank = probe_rank;
            known.probe_at = None;
        }
    }

    /// Whether this process sends one request with the suspect now. True once for each probe.
    pub(crate) fn take_probe(
        &mut self,
        suspect: SuspectId,
        settings: &PoisonSettings,
        now: Tick,
    ) -> bool {
        let Some(refusal) = self.refusals.get_mut(&suspect) else { return false };
        if refusal.probe_at.is_none_or(|at| at > now) {
            return false;
        }
        let wait = settings.probe_interval.max(now.since(refusal.since) * 2);
        refusal.probe_at = Some(now + wait);
        true
    }

    /// The first refused suspect of a request, if any.
    pub(crate) fn first_of(&self, suspects: &RequestSuspects, now: Tick) -> Option<RefusedSuspect> {
        suspects.all().iter().find_map(|suspect| {
            let refusal = self.get(*suspect).filter(|refusal| refusal.is_active(now))?;
            Some(RefusedSuspect { suspect: *suspect, left: refusal.until.since(now) })
        })
    }

    /// All active refusals.
    pub(crate) fn notices(&self, now: Tick) -> Vec<RefusalNotice> {
        let active = self.refusals.iter().filter(|(_, refusal)| refusal.is_active(now));
        active.map(|(suspect, refusal)| notice_of(*suspect, refusal, now)).collect()
    }

    /// A checksum of the refused suspects, 0 if there are none.
    pub(crate) fn digest(&self, now: Tick) -> u64 {
        let active = self.refusals.iter().filter(|(_, refusal)| refusal.is_active(now));
        active.fold(0, |sum, (suspect, _)| sum ^ suspect.folded().wrapping_add(1))
    }
}

pub(crate) fn notice_of(suspect: SuspectId, refusal: &SuspectRefusal, now: Tick) -> RefusalNotice {
    RefusalNotice {
        suspect,
        age: now.since(refusal.since),
        left: refusal.until.since(now),
        term: refusal.term,
        was_sound: refusal.was_sound,
        probe_rank: refusal.probe_rank,
    }
}
