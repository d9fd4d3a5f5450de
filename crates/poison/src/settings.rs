//! Limits and times of the tracker.

use {
    crate::{evidence::CrashEvidence, suspect::SuspectKind},
    std::time::Duration,
};

/// Evidence from which on a suspect counts as the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceThreshold {
    /// Crashes at different moments that name the suspect.
    pub crashes: usize,
    /// Different prompts with the suspect. Fewer than crashes where one request may be sent to two
    /// servers.
    pub prompts: usize,
    /// Share of the crashes from the first to the last of these that name the part. A part that is
    /// not the cause is named by few of them.
    pub share: f64,
    /// Most different prompts for each crash. A server crashes as it begins the first answer with a
    /// bad part, so that few requests with it are in flight; a part of most prompts has many.
    pub prompts_per_crash: f64,
    /// Time from the first to the last of the crashes.
    pub span: Duration,
}

impl Default for EvidenceThreshold {
    fn default() -> Self {
        Self { crashes: 1, prompts: 1, share: 0.0, prompts_per_crash: 4.0, span: Duration::ZERO }
    }
}

impl EvidenceThreshold {
    pub(crate) fn is_met(&self, evidence: &CrashEvidence) -> bool {
        let named = evidence.moments.len();
        named >= self.crashes
            && evidence.prompts >= self.prompts
            && named as f64 >= self.share * evidence.moments_of_all as f64
            && evidence.prompts as f64 <= self.prompts_per_crash * named as f64
            && evidence.span() >= self.span
    }
}

/// When a part is refused, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct PoisonSettings {
    /// A part that was never sound is refused if one of these is met. Two crashes may have the same
    /// part by chance when hosts fail one after the other.
    pub never_sound: Vec<EvidenceThreshold>,
    /// The same for a process that has seen sound answers only for a short time, or none.
    pub without_baseline: Vec<EvidenceThreshold>,
    /// How long a process must have seen sound answers until it counts that a part was not among
    /// them.
    pub baseline_after: Duration,
    /// A part that was sound before its first crash is refused if one of these is met. It is not the
    /// cause unless the servers have changed.
    pub sound_before: Vec<EvidenceThreshold>,
    /// A request that was never sound is refused if one of these is met. One that is repeated is one
    /// prompt, and three servers do not end under it by chance at different moments.
    pub unsound_request: Vec<EvidenceThreshold>,
    /// A request that was sound before its first crash is refused if one of these is met.
    pub sound_request: Vec<EvidenceThreshold>,
    /// Crashes from which on a suspect is refused although rarer parts were in flight at each of them.
    pub max_ambiguous_crashes: usize,
    /// How long a sign that a part was sound counts before its first crash.
    pub sound_memory: Duration,
    /// How long crashes count.
    pub crash_memory: Duration,
    /// Time after the decisive crash in which other processes can say that a part is sound.
    pub objection_window: Duration,
    /// Crashes closer together than this count as one: a failure domain fails at once.
    pub moment: Duration,
    /// The same for one request: copies of it are rarely in flight at several servers of a failure
    /// domain, so that only the time within which their ends are noticed matters.
    pub request_moment: Duration,
    /// How long a part is refused the first time. It doubles each time that a crash follows within
    /// the same time after the end of the refusal.
    pub refusal: Duration,
    /// Longest time for which a part is refused.
    pub longest_refusal: Duration,
    /// Time until one request with a refused part is sent as a probe, if the evidence is weak: the
    /// part was sound before, or there were crashes without it.
    pub early_probe: Duration,
    /// Time until a probe otherwise, and until the next one. It doubles with each probe.
    pub probe_interval: Duration,
}

impl PoisonSettings {
    /// Crashes that name a suspect of this kind count as one if they are closer together.
    pub(crate) fn moment_of(&self, kind: SuspectKind) -> Duration {
        match kind {
            SuspectKind::Part => self.moment,
            SuspectKind::Request => self.request_moment,
        }
    }
}

impl Default for PoisonSettings {
    fn default() -> Self {
        let few = EvidenceThreshold {
            crashes: 3,
            prompts: 3,
            share: 0.34,
            ..EvidenceThreshold::default()
        };
        let several = EvidenceThreshold { crashes: 5, prompts: 4, ..EvidenceThreshold::default() };
        let rare = EvidenceThreshold { prompts_per_crash: 1.2, ..several };
        // For a part of most prompts, once no rarer part explains the crashes.
        let common = EvidenceThreshold {
            crashes: 8,
            prompts: 8,
            share: 0.8,
            prompts_per_crash: f64::INFINITY,
            ..EvidenceThreshold::default()
        };
        let sound_before = EvidenceThreshold {
            crashes: 6,
            prompts: 5,
            share: 0.5,
            prompts_per_crash: f64::INFINITY,
            span: Duration::from_millis(600),
        };
        Self {
            never_sound: vec![few, several, common],
            without_baseline: vec![rare, common],
            baseline_after: Duration::from_secs(1),
            sound_before: vec![sound_before],
            unsound_request: vec![EvidenceThreshold { crashes: 3, ..EvidenceThreshold::default() }],
            sound_request: vec![EvidenceThreshold { prompts: 1, ..sound_before }],
            max_ambiguous_crashes: 8,
            sound_memory: Duration::from_secs(120),
            crash_memory: Duration::from_secs(600),
            objection_window: Duration::from_millis(80),
            moment: Duration::from_millis(20),
            request_moment: Duration::from_millis(5),
            refusal: Duration::from_secs(600),
            longest_refusal: Duration::from_secs(4 * 3600),
            early_probe: Duration::from_millis(1_200),
            probe_interval: Duration::from_secs(60),
        }
    }
}
