//! Decides which suspects are refused.

use {
    crate::{
        crash_log::{CrashLog, CrashSighting},
        evidence::{CrashEvidence, distinct_moments},
        refusal::{RefusalList, RefusedSuspect, SuspectRefusal, notice_of},
        settings::{EvidenceThreshold, PoisonSettings},
        sound_log::SoundLog,
        suspect::{RequestSuspects, SuspectId, SuspectKind},
        trial::RequestTrial,
        turn::TurnList,
        update::{CrashNotice, PoisonUpdate, RefusalNotice, SoundNotice},
        verdict::{NewRefusal, SuspectVerdict},
    },
    base::{HostId, Tick},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        mem,
        time::Duration,
    },
};

/// What makes a part likely to crash servers, so that requests with it are not sent again.
const LIKELY_PART: EvidenceThreshold = EvidenceThreshold {
    crashes: 2,
    prompts: 2,
    share: 0.34,
    prompts_per_crash: 2.5,
    span: Duration::ZERO,
};
/// Requests at crashed servers that are repeated at a time, and sound suspects of them. Both fit into
/// one datagram.
const REPEATED_CRASHES: usize = 2;
const REPEATED_SUSPECTS: usize = 12;
/// Suspects of each kind that are known to be sound, at least.
const SOUND_PARTS: usize = 4_096;
const SOUND_REQUESTS: usize = 2_048;
/// How long a crash is repeated; it counts for longer where it is known.
const REPEATED_FOR: Duration = Duration::from_secs(120);
/// What one process knows about crashes and suspects.
#[derive(Debug)]
pub struct PoisonTracker {
    settings: PoisonSettings,
    /// A number that tells this process from others.
    probe_rank: u64,
    crashes: CrashLog,
    /// When parts were sound, and when requests were: callers that never repeat a request must not
    /// make parts forgotten.
    sound_parts: SoundLog,
    sound_requests: SoundLog,
    /// When this process first saw any suspect to be sound.
    baseline_since: Option<Tick>,
    refusals: RefusalList,
    /// Suspects that an operator has excluded from refusal.
    admitted: BTreeSet<SuspectId>,
    /// Suspects named by crashes, with the time at which some process has last told all others that they
    /// are sound.
    announced: BTreeMap<SuspectId, Tick>,
    turns: TurnList,
    update: PoisonUpdate,
    /// When the last crash became known that was not evaluated yet.
    unevaluated: Option<Tick>,
    /// How many of the unexplained requests at crashed servers have been repeated.
    repeated: usize,
}

impl PoisonTracker {
    /// Knows nothing yet. `probe_rank` is a random number of this process.
    pub fn new(settings: PoisonSettings, probe_rank: u64) -> Self {
        Self {
            settings,
            probe_rank,
            crashes: CrashLog::default(),
            sound_parts: SoundLog::new(SOUND_PARTS),
            sound_requests: SoundLog::new(SOUND_REQUESTS),
            baseline_since: None,
            refusals: RefusalList::default(),
            admitted: BTreeSet::new(),
            announced: BTreeMap::new(),
            turns: TurnList::default(),
            update: PoisonUpdate::default(),
            unevaluated: None,
            repeated: 0,
        }
    }

    /// Replaces the suspects that are never refused. Ends refusals of them.
    pub fn set_admitted(&mut self, admitted: BTreeSet<SuspectId>) {
        self.refusals.retain(|suspect, _| !admitted.contains(&suspect));
        self.admitted = admitted;
    }

    /// Whether no crash is known and nothing refused.
    pub fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.refusals.is_empty()
    }

    /// Whether a crash of the server was reported just now.
    pub fn knows_crash(&self, server: &HostId, now: Tick) -> bool {
        self.crashes.has_recent(server, now)
    }

    /// Records that a server answered a request that was sent at `sent_at`, which refutes crashes of it
    /// before. Returns whether there were any.
    pub fn note_answer(&mut self, server: &HostId, sent_at: Tick) -> bool {
        self.crashes.note_answer(server, sent_at)
    }

    /// Records a request of this process at a server that crashed. Returns whether it is new.
    pub fn note_crash(&mut self, notice: CrashNotice, now: Tick) -> bool {
        let is_new = self.insert_crash(&notice, now);
        if is_new {
            self.update.crashes.push(notice);
        }
        is_new
    }

    fn insert_crash(&mut self, notice: &CrashNotice, now: Tick) -> bool {
        let is_new =
            !notice.suspects.is_empty() && self.crashes.insert(notice, now.back(notice.age));
        if is_new {
            self.unevaluated = Some(now);
            notice.suspects.iter().for_each(|suspect| self.turns.end(*suspect));
        }
        is_new
    }

    /// Records that the suspects of a request of this process are sound. Returns those of them that
    /// were refused until now.
    pub fn note_sound(&mut self, suspects: &RequestSuspects, now: Tick) -> Vec<SuspectId> {
        self.baseline_since.get_or_insert(now);
        let freed = suspects.all().iter().filter(|suspect| self.learn_sound(**suspect, now, now));
        let freed = freed.copied().collect();
        for suspect in suspects.all() {
            self.announce_if_sound(*suspect, now);
        }
        freed
    }

    /// Returns whether this ends a refusal.
    fn learn_sound(&mut self, suspect: SuspectId, at: Tick, now: Tick) -> bool {
        match suspect.kind() {
            SuspectKind::Part => self.sound_parts.note(suspect, at),
            SuspectKind::Request => self.sound_requests.note(suspect, at),
        }
        self.turns.end(suspect);
        let Some(refusal) = self.refusals.get(suspect) else { return false };
        if !self.contradicts(suspect, refusal.since, refusal.was_sound) {
            return false;
        }
        self.refusals.remove(suspect, now)
    }

    fn last_sound(&self, suspect: SuspectId) -> Option<Tick> {
        match suspect.kind() {
            SuspectKind::Part => self.sound_parts.last(suspect),
            SuspectKind::Request => self.sound_requests.last(suspect),
        }
    }

    /// Whether the suspect was sound after a refusal, or before it when the refusal did not take that
    /// into account.
    fn contradicts(&self, suspect: SuspectId, since: Tick, was_sound: bool) -> bool {
        let limit = if was_sound { since } else { since.back(self.settings.sound_memory) };
        self.last_sound(suspect).is_some_and(|at| at > limit)
    }

    /// Tells the other processes that a suspect is sound if crashes name it and they may not know. One
    /// crash is enough to hold back a request, see [`Self::trial`], while parts need several.
    fn announce_if_sound(&mut self, suspect: SuspectId, now: Tick) {
        let Some(at) = self.last_sound(suspect) else { return };
        if now.since(at) > self.settings.sound_memory {
            return;
        }
        let needed = if suspect.kind() == SuspectKind::Request { 1 } else { 2 };
        let times: Vec<Tick> = self.crashes.times(suspect).collect();
        let Some(last) = times.iter().max().filter(|_| times.len() >= needed).copied() else {
            return;
        };
        // Told again after each crash, since processes may have been restarted.
        if self.announced.get(&suspect).is_none_or(|announced| last > *announced) {
            self.announced.insert(suspect, now);
            self.update.sound.push(SoundNotice { suspect, age: now.since(at) });
        }
    }

    /// Tells the other processes which of the suspects are sound. Called a short random time after
    /// crashes were reported, so that one process answers for all.
    pub fn announce_sound(&mut self, now: Tick) {
        for suspect in self.crashes.suspects() {
            self.announce_if_sound(suspect, now);
        }
    }

    /// Applies an update of another process. Returns whether any of it was new. There may be an update
    /// for the others afterwards, also if it was not.
    pub fn receive(&mut self, update: &PoisonUpdate, now: Tick) -> bool {
        self.expire(now);
        let mut any_new = false;
        for notice in &update.crashes {
            any_new |= self.insert_crash(notice, now);
        }
        for notice in &update.sound {
            let at = now.back(notice.age);
            any_new |= self.learn_sound(notice.suspect, at, now);
            self.announced.insert(notice.suspect, now);
        }
        for notice in &update.refused {
            any_new |= self.adopt_refusal(notice, now);
        }
        any_new
    }

    fn adopt_refusal(&mut self, notice: &RefusalNotice, now: Tick) -> bool {
        let RefusalNotice { suspect, was_sound, probe_rank, .. } = *notice;
        let since = now.back(notice.age);
        if self.contradicts(suspect, since, was_sound) {
            if let Some(at) = self.last_sound(suspect) {
                self.update.sound.push(SoundNotice { suspect, age: now.since(at) });
            }
            return false;
        }
        if self.refusals.is_active(suspect, now) {
            self.refusals.yield_probe(suspect, probe_rank);
            return false;
        }
        if self.admitted.contains(&suspect) {
            return false;
        }
        let term = notice.term.min(self.settings.longest_refusal);
        let until = now + notice.left.min(term);
        let refusal = SuspectRefusal { since, until, term, was_sound, probe_rank, probe_at: None };
        self.refusals.insert(suspect, refusal, now)
    }

    /// Some of the crashes that are not explained, each time others, with the suspects of them that
    /// are sound. For processes that have missed them or were started since.
    pub fn evidence_to_repeat(&mut self, now: Tick) -> PoisonUpdate {
        let explains = |suspect| self.refusals.contains(suspect);
        let next = |from| -> Vec<CrashNotice> {
            let notices = self.crashes.unexplained(explains, from, REPEATED_FOR, now);
            notices.take(REPEATED_CRASHES).collect()
        };
        let mut crashes = next(self.repeated);
        if crashes.is_empty() {
            self.repeated = 0;
            crashes = next(0);
        }
        self.repeated += crashes.len();
        let suspects: BTreeSet<SuspectId> =
            crashes.iter().flat_map(|notice| notice.suspects.iter().copied()).collect();
        let notice_of = |suspect| {
            let age = now.since(self.last_sound(suspect)?);
            (age <= self.settings.sound_memory).then_some(SoundNotice { suspect, age })
        };
        let sound = suspects.into_iter().filter_map(notice_of).take(REPEATED_SUSPECTS).collect();
        PoisonUpdate { crashes, sound, refused: Vec::new() }
    }

    /// Decides on the suspects that crashes name. Returns those that are refused from now on; the other
    /// processes are told of them.
    pub fn evaluate(&mut self, now: Tick) -> Vec<NewRefusal> {
        let mut decided = Vec::new();
        let Some(known_at) = self.unevaluated else { return decided };
        self.expire(now);
        // Each refused suspect explains crashes, so that the others in flight there are cleared.
        while let Some(refusal) = self.next_refusal(now) {
            self.refuse(&refusal, now);
            decided.push(refusal);
        }
        if now.since(known_at) >= self.settings.objection_window {
            self.unevaluated = None;
        }
        decided
    }

    fn expire(&mut self, now: Tick) {
        self.crashes.expire(now.back(self.settings.crash_memory));
        self.refusals.retain(|_, refusal| refusal.is_active(now) || refusal.is_on_probation(now));
        let named = self.crashes.suspects();
        self.announced.retain(|suspect, _| named.contains(suspect));
    }

    /// The suspect with the most crashes of those that are to be refused. Of two with equally many,
    /// the later one in the requests: fewer requests have it.
    fn next_refusal(&self, now: Tick) -> Option<NewRefusal> {
        let cases = self.evidence_by_suspect(now);
        let candidates = cases.iter().filter(|(suspect, evidence)| {
            self.refusals.has_room(suspect.kind(), now)
                && self.meets_threshold(**suspect, evidence, now)
                && !self.is_ambiguous(**suspect, evidence, &cases)
        });
        let worst = candidates.max_by_key(|(_, evidence)| (evidence.moments.len(), evidence.depth));
        let (suspect, evidence) = worst.map(|(suspect, evidence)| (*suspect, evidence))?;
        let term = self.refusals.get(suspect).map_or(self.settings.refusal, |known| known.term * 2);
        Some(NewRefusal {
            suspect,
            crashes: evidence.moments.len(),
            prompts: evidence.prompts,
            term: term.min(self.settings.longest_refusal),
            was_sound: self.was_sound(suspect, evidence),
            has_other_crashes: evidence.moments_of_all > evidence.moments.len(),
        })
    }

    /// Only crashes after this count against a suspect.
    fn evidence_start(&self, suspect: SuspectId) -> Option<Tick> {
        let ended = self.refusals.get(suspect).map(|refusal| refusal.until);
        self.last_sound(suspect).max(ended)
    }

    fn evidence(&self, suspect: SuspectId) -> CrashEvidence {
        let after = self.evidence_start(suspect);
        let all: Vec<CrashSighting> = self.sightings().collect();
        let counts = |sighting: &&CrashSighting| {
            sighting.suspect == suspect && after.is_none_or(|after| sighting.at > after)
        };
        let own: Vec<CrashSighting> = all.iter().filter(counts).copied().collect();
        let moment = self.settings.moment_of(suspect.kind());
        CrashEvidence::new(&own, &self.distinct_moments(&all), moment)
    }

    fn sightings(&self) -> impl Iterator<Item = CrashSighting> {
        self.crashes.sightings(|suspect| self.refusals.contains(suspect))
    }

    fn distinct_moments(&self, sightings: &[CrashSighting]) -> Vec<Tick> {
        distinct_moments(sightings.iter().map(|sighting| sighting.at), self.settings.moment)
    }

    /// The evidence against all suspects that may be refused.
    fn evidence_by_suspect(&self, now: Tick) -> BTreeMap<SuspectId, CrashEvidence> {
        let all: Vec<CrashSighting> = self.sightings().collect();
        let all_moments = self.distinct_moments(&all);
        let mut cases: BTreeMap<SuspectId, Vec<CrashSighting>> = BTreeMap::new();
        for sighting in all {
            cases.entry(sighting.suspect).or_default().push(sighting);
        }
        cases.retain(|suspect, sightings| {
            let after = self.evidence_start(*suspect);
            sightings.retain(|sighting| after.is_none_or(|after| sighting.at > after));
            let is_refused = self.refusals.is_active(*suspect, now);
            !sightings.is_empty() && !is_refused && !self.admitted.contains(suspect)
        });
        let sum_up = |(suspect, list): (SuspectId, Vec<CrashSighting>)| {
            let moment = self.settings.moment_of(suspect.kind());
            (suspect, CrashEvidence::new(&list, &all_moments, moment))
        };
        cases.into_iter().map(sum_up).collect()
    }

    /// Whether the suspect was sound shortly before the first of the crashes.
    fn was_sound(&self, suspect: SuspectId, evidence: &CrashEvidence) -> bool {
        let (Some(sound), Some(first)) = (self.last_sound(suspect), evidence.moments.first())
        else {
            return false;
        };
        first.since(sound) <= self.settings.sound_memory
    }

    fn meets_threshold(&self, suspect: SuspectId, evidence: &CrashEvidence, now: Tick) -> bool {
        let settings = &self.settings;
        if self.refusals.get(suspect).is_some_and(|refusal| refusal.is_on_probation(now)) {
            return !evidence.moments.is_empty();
        }
        let baseline_since = self.baseline_since;
        let has_baseline =
            baseline_since.is_some_and(|since| now.since(since) >= settings.baseline_after);
        let was_sound = self.was_sound(suspect, evidence);
        let bounds = match (suspect.kind(), was_sound, has_baseline) {
            (SuspectKind::Part, true, _) => &settings.sound_before,
            (SuspectKind::Part, false, true) => &settings.never_sound,
            (SuspectKind::Part, false, false) => &settings.without_baseline,
            (SuspectKind::Request, true, _) => &settings.sound_request,
            (SuspectKind::Request, false, _) => &settings.unsound_request,
        };
        bounds.iter().any(|bound| {
            let decisive = evidence.moments.get(bound.crashes.saturating_sub(1));
            let is_settled = decisive.is_some_and(|at| now.since(*at) >= settings.objection_window);
            is_settled && bound.is_met(evidence)
        })
    }

    /// Whether other suspects that were never sound may have caused all of the crashes that name this
    /// one. More crashes will tell them apart; from a certain number of them on that does not count.
    fn is_ambiguous(
        &self,
        suspect: SuspectId,
        evidence: &CrashEvidence,
        cases: &BTreeMap<SuspectId, CrashEvidence>,
    ) -> bool {
        if evidence.moments.len() >= self.settings.max_ambiguous_crashes {
            return false;
        }
        let was_sound = self.was_sound(suspect, evidence);
        let others = cases
            .iter()
            .filter(|(other, known)| **other != suspect && !self.was_sound(**other, known));
        let moment = self.settings.moment_of(suspect.kind());
        match suspect.kind() {
            SuspectKind::Request => {
                let mut requests = others.filter(|(other, _)| other.kind() == SuspectKind::Request);
                requests
                    .any(|(_, known)| evidence.moments.iter().all(|at| known.includes(*at, moment)))
            }
            SuspectKind::Part => {
                let rarity = |known: &CrashEvidence| (known.prompts, Reverse(known.depth));
                let rivals: Vec<&CrashEvidence> = others
                    .filter(|(_, known)| known.moments.len() >= LIKELY_PART.crashes)
                    .filter(|(_, known)| was_sound || rarity(known) < rarity(evidence))
                    .map(|(_, known)| known)
                    .collect();
                let is_covered = |at: &Tick| rivals.iter().any(|known| known.includes(*at, moment));
                evidence.moments.iter().all(is_covered)
            }
        }
    }

    fn refuse(&mut self, new: &NewRefusal, now: Tick) {
        let NewRefusal { suspect, term, was_sound, has_other_crashes, .. } = *new;
        // Other crashes beside those under one request do not make its own a coincidence.
        let is_weak = was_sound || (has_other_crashes && suspect.kind() == SuspectKind::Part);
        let probe = if is_weak { self.settings.early_probe } else { self.settings.probe_interval };
        let refusal = SuspectRefusal {
            since: now,
            until: now + term,
            term,
            was_sound,
            probe_rank: self.probe_rank,
            probe_at: Some(now + probe),
        };
        self.refusals.insert(suspect, refusal, now);
        self.update.refused.push(notice_of(suspect, &refusal, now));
    }

    /// Decides on a new request. One with a single refused suspect may be sent as a probe, by one of
    /// all processes at a time.
    pub fn admit(&mut self, suspects: &RequestSuspects, now: Tick) -> SuspectVerdict {
        let Some(refused) = self.refused(suspects, now) else { return SuspectVerdict::Admitted };
        let is_active = |suspect: &&SuspectId| self.refusals.is_active(**suspect, now);
        let is_only_one = suspects.all().iter().filter(is_active).count() == 1;
        if is_only_one && self.refusals.take_probe(refused.suspect, &self.settings, now) {
            return SuspectVerdict::Probed(refused.suspect);
        }
        SuspectVerdict::Refused(refused)
    }

    /// The first refused suspect of a request, if any.
    pub fn refused(&self, suspects: &RequestSuspects, now: Tick) -> Option<RefusedSuspect> {
        self.refusals.first_of(suspects, now)
    }

    /// Whether a part of a request is likely to have caused crashes, so that the request should not be
    /// sent to another server after one crashed under it.
    pub fn has_likely_part(&self, suspects: &RequestSuspects) -> bool {
        let parts = suspects.all().iter().filter(|suspect| suspect.kind() == SuspectKind::Part);
        parts.copied().any(|part| {
            let evidence = self.evidence(part);
            LIKELY_PART.is_met(&evidence) && !self.was_sound(part, &evidence)
        })
    }

    /// What a request that was never sound has cost: its crashes that nothing else explains. `None` if
    /// there are none, or if it was sound shortly before them.
    pub fn trial(&self, request: SuspectId) -> Option<RequestTrial> {
        if self.crashes.is_empty() || self.admitted.contains(&request) {
            return None;
        }
        let after = self.evidence_start(request);
        let counts = |sighting: &CrashSighting| {
            sighting.suspect == request && after.is_none_or(|after| sighting.at > after)
        };
        let crashes: Vec<Tick> =
            self.sightings().filter(counts).map(|sighting| sighting.at).collect();
        let first = *crashes.iter().min()?;
        let sound = self.last_sound(request);
        let was_sound = sound.is_some_and(|at| first.since(at) <= self.settings.sound_memory);
        (!was_sound).then(|| RequestTrial::new(crashes))
    }

    /// Gives the turn at trying a request to a process, unless another one has it.
    pub fn give_turn(&mut self, request: SuspectId, holder: &HostId, now: Tick) -> bool {
        self.turns.give(request, holder, now)
    }

    /// All refused suspects.
    pub fn refusals(&self, now: Tick) -> Vec<RefusalNotice> {
        self.refusals.notices(now)
    }

    /// A checksum of the refused suspects, 0 if there are none. Processes that know the same ones have
    /// the same.
    pub fn digest(&self, now: Tick) -> u64 {
        self.refusals.digest(now)
    }

    /// Removes and returns the update for the other processes.
    pub fn take_update(&mut self) -> PoisonUpdate {
        mem::take(&mut self.update)
    }
}
