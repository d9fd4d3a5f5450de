//! Admits requests to a pool, or holds them back.

use {
    crate::{
        demand::DemandCounts,
        knee::OccupancyKnee,
        quantity::{AdmitShare, Occupancy, PriorityLevel},
        settings::RoomSettings,
    },
    base::{Tick, WorkspaceId},
    std::time::Duration,
};

/// A request that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'a> {
    /// Its priority.
    pub level: PriorityLevel,
    /// Who sends it; `None` for callers without a key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Whether its caller has had a part of the answer. It is always admitted.
    pub is_resumed: bool,
}

/// Random numbers from 0 to 1 for one decision.
#[derive(Clone, Copy, Debug)]
pub struct RoomSample {
    /// Decides whether the request is one of its workspace's surge.
    pub surge: f64,
    /// Decides whether it is admitted.
    pub admission: f64,
    /// Spreads the times at which callers return.
    pub spread: f64,
}

/// Whether a request is served now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoomDecision {
    /// It may be sent.
    Admitted,
    /// It is refused without having run.
    HeldBack {
        /// When its caller should return.
        retry_after: Duration,
    },
}

/// What a decision rests on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomEstimate {
    /// Occupancy of the pool.
    pub occupancy: Occupancy,
    /// Occupancy above which too many answers begin late.
    pub knee: Occupancy,
    /// Share of all requests that is admitted.
    pub share: AdmitShare,
    /// Share of the requests of this kind that is admitted.
    pub class_share: AdmitShare,
    /// Whether the request is beyond what its workspace usually sends.
    pub is_surplus: bool,
}

/// A spell of scarce room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpellCount {
    /// When it began.
    pub began: Tick,
    /// Requests that were admitted in it.
    pub admitted: u64,
    /// Requests that were held back.
    pub held_back: u64,
}

/// The decision on one request, and what else it has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomVerdict {
    /// Whether the request is served now.
    pub decision: RoomDecision,
    /// What the decision rests on.
    pub estimate: RoomEstimate,
    /// Whether room has become scarce.
    pub begins: bool,
    /// The last spell, if it has ended since the request before.
    pub ended: Option<SpellCount>,
}

/// Spell of scarce room that goes on.
#[derive(Clone, Copy, Debug)]
struct OpenSpell {
    count: SpellCount,
    scarce_at: Tick,
}

/// What a process knows of the room in one pool.
#[derive(Clone, Debug)]
pub struct RoomGate {
    settings: RoomSettings,
    knee: OccupancyKnee,
    demand: DemandCounts,
    /// Share that is held back because the occupancy has been above the knee.
    held: f64,
    decided_at: Tick,
    spell: Option<OpenSpell>,
}

impl RoomGate {
    /// Has seen no request.
    pub fn new(settings: RoomSettings) -> Self {
        let knee = OccupancyKnee::new(&settings);
        Self {
            settings,
            knee,
            demand: DemandCounts::default(),
            held: 0.0,
            decided_at: Tick(0),
            spell: None,
        }
    }

    /// Decides on a request at the present occupancy, and counts it.
    pub fn decide(
        &mut self,
        request: &RoomRequest<'_>,
        occupancy: Occupancy,
        sample: RoomSample,
        now: Tick,
    ) -> RoomVerdict {
        let ended = self.take_ended(now);
        let RoomRequest { level, workspace, is_resumed } = *request;
        let class = self.demand.note(level, workspace, sample.surge, &self.settings, now);
        self.hold(occupancy, now);
        let share = self.share(occupancy);
        let class_share = self.demand.class_share(class, share, &self.settings, now);
        let knee = self.knee.value(&self.settings);
        let is_surplus = class.is_surplus;
        let estimate = RoomEstimate { occupancy, knee, share, class_share, is_surplus };
        let begins = share.0 < 1.0 && self.spell.is_none();
        if share.0 < 1.0 {
            self.note_scarce(now);
        }
        let is_admitted = is_resumed || share.0 >= 1.0 || sample.admission < class_share.0;
        let retry_after = self.retry_after(sample.spread, now);
        if let Some(spell) = &mut self.spell {
            let count = &mut spell.count;
            let counted = if is_admitted { &mut count.admitted } else { &mut count.held_back };
            *counted += 1;
        }
        let decision = if is_admitted {
            RoomDecision::Admitted
        } else {
            RoomDecision::HeldBack { retry_after }
        };
        RoomVerdict { decision, estimate, begins, ended }
    }

    /// Records that the answer to a request, admitted at `occupancy`, began after `wait`, and the goal for
    /// that. Answers that were late because a server failed are left out.
    pub fn note_answer(&mut self, occupancy: Occupancy, wait: Duration, goal: Duration) {
        let ratio = wait.as_secs_f64() / goal.as_secs_f64().max(f64::MIN_POSITIVE);
        self.knee.note(occupancy, ratio, &self.settings);
    }

    /// Whether room is scarce.
    pub fn is_scarce(&self, now: Tick) -> bool {
        self.spell.is_some_and(|spell| now.since(spell.scarce_at) <= self.settings.calm)
    }

    /// The share of all requests that is admitted at an occupancy.
    pub fn share(&self, occupancy: Occupancy) -> AdmitShare {
        let RoomSettings { below_knee, above_knee, least_share, .. } = self.settings;
        if self.knee.has_other_cause() {
            return AdmitShare(1.0);
        }
        let beyond = occupancy.0 - (self.knee.value(&self.settings).0 - below_knee);
        let most = 1.0 - least_share.0;
        let part = (beyond / (below_knee + above_knee)).clamp(0.0, 1.0) * most;
        AdmitShare(1.0 - (part + self.held).min(most))
    }

    /// Holds back more while the occupancy is above the knee, and less while it is below.
    fn hold(&mut self, occupancy: Occupancy, now: Tick) {
        let RoomSettings { hold_rate, hold_step, least_share, .. } = self.settings;
        let step = now.since(self.decided_at).min(hold_step).as_secs_f64();
        self.decided_at = now;
        let held = self.held + hold_rate * step * (occupancy.0 - self.knee.value(&self.settings).0);
        self.held = held.clamp(0.0, 1.0 - least_share.0);
    }

    /// The spell that has ended, once.
    fn take_ended(&mut self, now: Tick) -> Option<SpellCount> {
        if self.is_scarce(now) {
            return None;
        }
        self.spell.take().map(|spell| spell.count)
    }

    fn note_scarce(&mut self, now: Tick) {
        let count = SpellCount { began: now, admitted: 0, held_back: 0 };
        self.spell.get_or_insert(OpenSpell { count, scarce_at: now }).scarce_at = now;
    }

    /// When a caller should return. Room that has been scarce for a time is expected to stay so for as
    /// long again; callers are spread so that they do not return together.
    pub fn retry_after(&self, spread: f64, now: Tick) -> Duration {
        let RoomSettings { least_return, most_return, .. } = self.settings;
        let lasted = self.spell.map_or(Duration::ZERO, |spell| now.since(spell.count.began));
        lasted.clamp(least_return, most_return).mul_f64(0.5 + spread)
    }
}
