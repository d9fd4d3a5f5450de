//! Counts who asks for room, and divides it among them.

use {
    crate::{
        quantity::{AdmitShare, PriorityLevel},
        settings::RoomSettings,
    },
    base::{Tick, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Most workspaces that are told apart. Those beyond it never count as surging.
const MAX_WORKSPACES: usize = 1_024;

/// Requests that compete for room as one kind; less urgent ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandClass {
    /// Whether the request is beyond what its workspace usually sends.
    pub(crate) is_surplus: bool,
    /// Priority of the request.
    pub(crate) level: PriorityLevel,
}

/// A number of events that halves with each half-life.
#[derive(Clone, Copy, Debug, Default)]
struct FadingCount {
    value: f64,
    at: Tick,
}

impl FadingCount {
    fn value(&self, half_life: Duration, now: Tick) -> f64 {
        self.value * 0.5_f64.powf(now.since(self.at).as_secs_f64() / half_life.as_secs_f64())
    }

    fn note(&mut self, half_life: Duration, now: Tick) {
        *self = Self { value: self.value(half_life, now) + 1.0, at: now };
    }
}

/// Requests of one workspace, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct SenderCount {
    recent: FadingCount,
    usual: FadingCount,
}

impl SenderCount {
    /// The recent requests, and the earlier ones.
    fn values(&self, settings: &RoomSettings, now: Tick) -> (f64, f64) {
        let recent = self.recent.value(settings.recent, now);
        (recent, (self.usual.value(settings.usual, now) - recent).max(0.0))
    }

    fn note(&mut self, settings: &RoomSettings, now: Tick) {
        self.recent.note(settings.recent, now);
        self.usual.note(settings.usual, now);
    }
}

/// Who has asked for room of one pool at this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandCounts {
    all: SenderCount,
    workspaces: BTreeMap<WorkspaceId, SenderCount>,
    classes: BTreeMap<DemandClass, FadingCount>,
}

impl DemandCounts {
    /// Counts a request and returns its class. `sample` is a random number from 0 to 1.
    pub(crate) fn note(
        &mut self,
        level: PriorityLevel,
        workspace: Option<&WorkspaceId>,
        sample: f64,
        settings: &RoomSettings,
        now: Tick,
    ) -> DemandClass {
        let surplus = workspace.map_or(0.0, |name| self.surplus(name, settings, now));
        self.all.note(settings, now);
        if let Some(name) = workspace {
            if let Some(count) = self.workspaces.get_mut(name) {
                count.note(settings, now);
            } else if self.workspaces.len() < MAX_WORKSPACES {
                self.workspaces.entry(name.clone()).or_default().note(settings, now);
            }
        }
        let class = DemandClass { is_surplus: sample < surplus, level };
        self.classes.entry(class).or_default().note(settings.recent, now);
        class
    }

    /// The part of a workspace's requests that is beyond what it usually sends.
    fn surplus(&self, name: &WorkspaceId, settings: &RoomSettings, now: Tick) -> f64 {
        let Some(count) = self.workspaces.get(name) else { return 0.0 };
        let (recent, earlier) = count.values(settings, now);
        let (all_recent, all_earlier) = self.all.values(settings, now);
        if recent < settings.surge_evidence || all_earlier < settings.surge_evidence {
            return 0.0;
        }
        let usual_part = earlier / all_earlier;
        (1.0 - settings.surge_factor * usual_part * all_recent / recent).max(0.0)
    }

    /// The share of a class that is admitted if `overall` is that of all requests. Every class gets the
    /// least part; what room is left goes to the most urgent first.
    pub(crate) fn class_share(
        &self,
        class: DemandClass,
        overall: AdmitShare,
        settings: &RoomSettings,
        now: Tick,
    ) -> AdmitShare {
        let least = overall.0 * settings.least_part;
        let count = |count: &FadingCount| count.value(settings.recent, now);
        let total: f64 = self.classes.values().map(count).sum();
        let mut room = (overall.0 - least) * total;
        for (other, demand) in &self.classes {
            let demand = count(demand);
            let given = room.min(demand * (1.0 - least));
            if *other == class {
                return AdmitShare(least + given / demand.max(f64::MIN_POSITIVE));
            }
            room -= given;
        }
        overall
    }
}
