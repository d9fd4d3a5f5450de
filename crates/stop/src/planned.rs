//! The phases of a planned stop, as types.

use {
    crate::{
        settings::StopSettings,
        watch::{StopNotice, StopPhase, StopWatch},
    },
    base::Tick,
    std::marker::PhantomData,
};

/// See [`StopPhase::Running`].
#[derive(Debug)]
pub struct Running;
/// See [`StopPhase::Leaving`].
#[derive(Debug)]
pub struct Leaving;
/// See [`StopPhase::Draining`].
#[derive(Debug)]
pub struct Draining;
/// See [`StopPhase::Ending`].
#[derive(Debug)]
pub struct Ending;

/// A process in the phase `P`; each phase leads only to the next.
#[derive(Debug)]
pub struct PlannedStop<P> {
    watch: StopWatch,
    phase: PhantomData<P>,
}

impl<P> PlannedStop<P> {
    fn enter<N>(self, phase: StopPhase) -> PlannedStop<N> {
        self.watch.notice.send_modify(|notice| notice.phase = phase);
        PlannedStop { watch: self.watch, phase: PhantomData }
    }
}

impl PlannedStop<Running> {
    /// A process that runs and shows its phase through `watch`.
    pub fn new(watch: StopWatch) -> Self {
        Self { watch, phase: PhantomData }
    }

    /// Begins the stop of a process that was told to stop at `now`.
    pub fn leave(self, settings: &StopSettings, now: Tick) -> PlannedStop<Leaving> {
        self.watch.notice.send_replace(StopNotice::begin(settings, now));
        PlannedStop { watch: self.watch, phase: PhantomData }
    }
}

impl PlannedStop<Leaving> {
    /// Has the port and idle connections closed.
    pub fn drain(self) -> PlannedStop<Draining> {
        self.enter(StopPhase::Draining)
    }
}

impl PlannedStop<Draining> {
    /// Has what still runs get its last answer.
    pub fn end(self) -> PlannedStop<Ending> {
        self.enter(StopPhase::Ending)
    }
}
