//! What crashes say against one suspect.

use {
    crate::{crash_log::CrashSighting, suspect::SuspectId},
    base::Tick,
    std::{collections::BTreeSet, time::Duration},
};

/// The crashes that name a suspect.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    /// Moments of the crashes, in order; crashes at the same moment count once.
    pub(crate) moments: Vec<Tick>,
    /// Moments of all unexplained crashes from the first to the last of these.
    pub(crate) moments_of_all: usize,
    /// Different prompts with the suspect.
    pub(crate) prompts: usize,
    /// Highest position among the suspects of a request.
    pub(crate) depth: usize,
}

impl CrashEvidence {
    /// Sums up the sightings of one suspect. `all_moments` are those of all unexplained crashes.
    pub(crate) fn new(sightings: &[CrashSighting], all_moments: &[Tick], moment: Duration) -> Self {
        let moments = distinct_moments(sightings.iter().map(|sighting| sighting.at), moment);
        let span = moments.first().zip(moments.last());
        let within = |at: &&Tick| span.is_some_and(|(first, last)| (first..=last).contains(at));
        let prompts: BTreeSet<SuspectId> =
            sightings.iter().map(|sighting| sighting.prompt).collect();
        Self {
            moments_of_all: all_moments.iter().filter(within).count(),
            prompts: prompts.len(),
            depth: sightings.iter().map(|sighting| sighting.depth).max().unwrap_or(0),
            moments,
        }
    }

    /// Whether one of the crashes happened at this moment.
    pub(crate) fn includes(&self, at: Tick, moment: Duration) -> bool {
        self.moments.iter().any(|known| at.since(*known).max(known.since(at)) < moment)
    }

    /// Time from the first to the last crash.
    pub(crate) fn span(&self) -> Duration {
        let span = self.moments.last().zip(self.moments.first());
        span.map_or(Duration::ZERO, |(last, first)| last.since(*first))
    }
}

/// Sorts moments and leaves out those less than `apart` after the one before.
pub(crate) fn distinct_moments(moments: impl Iterator<Item = Tick>, apart: Duration) -> Vec<Tick> {
    let mut moments: Vec<Tick> = moments.collect();
    moments.sort_unstable();
    let mut last: Option<Tick> = None;
    moments.retain(|at| {
        let counts = last.is_none_or(|last| at.since(last) >= apart);
        if counts {
            last = Some(*at);
        }
        counts
    });
    moments
}
