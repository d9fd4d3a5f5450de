//! The queue is bounded and fair, respects priorities without starvation, and loses no entries.

use {
    crate::harness::{assert_holds, assert_violated},
    base::{Tick, Weight, WorkspaceId},
    proptest::prelude::{Just, Strategy, any, prop, prop_oneof},
    route::{FairQueue, PushOutcome, QueueEntry, QueuePlace, QueueSettings},
    std::{collections::BTreeMap, time::Duration},
};

const WORKSPACES: usize = 3;
const WEIGHTS: [f64; WORKSPACES] = [1.0, 2.0, 5.0];
const CAPACITY: usize = 24;
const PRIORITY_STEP: Duration = Duration::from_millis(500);
/// Tolerance for rounding errors in sums of floating-point numbers.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The mechanism that is disabled in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// All workspaces have the same weight.
    NoWeights,
    /// Priorities are ignored.
    NoPriorities,
    /// A higher priority always precedes a lower one, however long that has waited.
    NoAging,
    /// A full queue refuses every new entry instead of displacing one.
    NoDisplacement,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u16),
    Push { workspace: usize, priority: u8, lifetime_ms: u16 },
    Pop,
    Expire,
    Disconnect { selector: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let push = (0..WORKSPACES, 0_u8..10, 200_u16..20_000).prop_map(
        |(workspace, priority, lifetime_ms)| Step::Push { workspace, priority, lifetime_ms },
    );
    let step = prop_oneof![
        3 => (0_u16..300).prop_map(Step::Advance),
        8 => push,
        5 => Just(Step::Pop),
        1 => Just(Step::Expire),
        1 => any::<u8>().prop_map(|selector| Step::Disconnect { selector: selector.into() }),
    ];
    prop::collection::vec(step, 40..200)
}

/// The test's record of a queued entry.
#[derive(Clone, Debug)]
struct Waiting {
    workspace: usize,
    priority: u8,
    since: Tick,
    deadline: Tick,
    place: Option<QueuePlace>,
}

impl Waiting {
    /// Order within a workspace, lowest first.
    fn rank(&self) -> i128 {
        i128::from(self.since.0) - PRIORITY_STEP.as_nanos() as i128 * i128::from(self.priority)
    }
}

/// Difference in service divided by weight between two workspaces, and its extremes since both have
/// had live entries.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceGap {
    now: f64,
    lowest: f64,
    highest: f64,
}

struct World {
    fault: InjectedFault,
    now: Tick,
    queue: FairQueue<u64>,
    names: Vec<WorkspaceId>,
    waiting: BTreeMap<u64, Waiting>,
    gaps: BTreeMap<(usize, usize), ServiceGap>,
    next: u64,
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let priority_step = match fault {
            InjectedFault::NoPriorities => Duration::ZERO,
            InjectedFault::NoAging => Duration::from_secs(3_600),
            _ => PRIORITY_STEP,
        };
        let names = (0..WORKSPACES).map(|index| WorkspaceId::new(format!("w{index}")).unwrap());
        Self {
            fault,
            now: Tick(1),
            queue: FairQueue::new(QueueSettings { capacity: CAPACITY, priority_step }),
            names: names.collect(),
            waiting: BTreeMap::new(),
            gaps: BTreeMap::new(),
            next: 0,
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Advance(ms) => self.now = self.now + Duration::from_millis(ms.into()),
            Step::Push { workspace, priority, lifetime_ms } => {
                self.push(workspace, priority, Duration::from_millis(lifetime_ms.into()))?;
            }
            Step::Pop => self.pop()?,
            Step::Expire => self.expire()?,
            Step::Disconnect { selector } => self.disconnect(selector)?,
        }
        if self.queue.len() != self.waiting.len() || self.queue.len() > CAPACITY {
            let (queued, recorded) = (self.queue.len(), self.waiting.len());
            return Err(format!("{queued} entries in the queue, {recorded} recorded"));
        }
        self.remove_idle_gaps();
        Ok(())
    }

    fn push(&mut self, workspace: usize, priority: u8, lifetime: Duration) -> Result<(), String> {
        if self.fault == InjectedFault::NoDisplacement && self.queue.len() == CAPACITY {
            return self.check_refused(workspace);
        }
        self.next += 1;
        let item = self.next;
        let deadline = self.now + lifetime;
        let entry =
            QueueEntry { workspace: self.names[workspace].clone(), priority, deadline, item };
        let place = None;
        let since = self.now;
        let recorded = Waiting { workspace, priority, since, deadline, place };
        self.waiting.insert(item, recorded);
        let weight = if self.fault == InjectedFault::NoWeights { 1.0 } else { WEIGHTS[workspace] };
        match self.queue.push(entry, Weight(weight), self.now) {
            PushOutcome::Waits(place) => self.record_place(item, place),
            PushOutcome::Displaced(place, displaced) => {
                self.record_place(item, place);
                self.check_displaced(displaced.item)?;
            }
            PushOutcome::Refused(displaced) => {
                if displaced.item != item {
                    return Err("another entry was refused".to_owned());
                }
                self.check_displaced(item)?;
            }
        }
        Ok(())
    }

    fn record_place(&mut self, item: u64, place: QueuePlace) {
        self.waiting.get_mut(&item).unwrap().place = Some(place);
    }

    fn weighted_length(&self, workspace: usize) -> f64 {
        let count = self.waiting.values().filter(|entry| entry.workspace == workspace).count();
        count as f64 / WEIGHTS[workspace]
    }

    /// Whether a workspace has a live entry, one whose deadline has not passed.
    fn has_live(&self, workspace: usize) -> bool {
        let mut entries = self.waiting.values();
        entries.any(|entry| entry.workspace == workspace && entry.deadline > self.now)
    }

    /// Checks that a displaced entry is from the workspace with the most entries for its weight.
    fn check_displaced(&mut self, item: u64) -> Result<(), String> {
        let workspace = self.waiting[&item].workspace;
        let longest = (0..WORKSPACES).map(|index| self.weighted_length(index)).fold(0.0, f64::max);
        if self.weighted_length(workspace) + ROUNDING_TOLERANCE < longest {
            return Err(format!(
                "an entry of w{workspace} was displaced although another holds more"
            ));
        }
        self.waiting.remove(&item);
        Ok(())
    }

    /// Checks that no other workspace has more entries for its weight than the refused one.
    fn check_refused(&self, workspace: usize) -> Result<(), String> {
        let own = self.weighted_length(workspace) + 1.0 / WEIGHTS[workspace];
        let longest = (0..WORKSPACES).map(|index| self.weighted_length(index)).fold(0.0, f64::max);
        match own + ROUNDING_TOLERANCE < longest {
            true => Err(format!("w{workspace} was refused although another holds more")),
            false => Ok(()),
        }
    }

    fn pop(&mut self) -> Result<(), String> {
        self.expire()?;
        let now = self.now;
        let is_live = |entry: &Waiting| entry.deadline > now;
        let Some(entry) = self.queue.pop() else {
            return match self.waiting.values().any(is_live) {
                true => Err("nothing popped although live entries are queued".to_owned()),
                false => Ok(()),
            };
        };
        let popped = self.waiting.remove(&entry.item).ok_or("popped twice")?;
        if !is_live(&popped) {
            return Err(format!("{popped:?} was popped after its deadline"));
        }
        let ahead = self.waiting.iter().find(|(item, other)| {
            let order = (other.rank(), **item);
            let same_workspace = other.workspace == popped.workspace;
            same_workspace && is_live(other) && order < (popped.rank(), entry.item)
        });
        if let Some((item, other)) = ahead {
            return Err(format!("{popped:?} was popped before {item} {other:?}"));
        }
        self.record_service(popped.workspace)
    }

    /// Checks the bound of start-time fair queueing: while two workspaces both have live entries,
    /// their service divided by weight differs by at most one entry of each.
    fn record_service(&mut self, workspace: usize) -> Result<(), String> {
        for other in (0..WORKSPACES).filter(|other| *other != workspace) {
            let pair = (workspace.min(other), workspace.max(other));
            let sign = if workspace < other { 1.0 } else { -1.0 };
            if !self.has_live(other) {
                continue;
            }
            let gap = self.gaps.entry(pair).or_default();
            gap.now += sign / WEIGHTS[workspace];
            gap.lowest = gap.lowest.min(gap.now);
            gap.highest = gap.highest.max(gap.now);
            let bound = 1.0 / WEIGHTS[workspace] + 1.0 / WEIGHTS[other];
            if gap.highest - gap.lowest > bound + ROUNDING_TOLERANCE {
                return Err(format!("service of {pair:?} differs by {gap:?}, bound {bound}"));
            }
        }
        Ok(())
    }

    /// Removes the gaps of pairs in which a workspace has no live entries, as the bound then does
    /// not apply.
    fn remove_idle_gaps(&mut self) {
        let waits: Vec<_> = (0..WORKSPACES).map(|index| self.has_live(index)).collect();
        self.gaps.retain(|(one, other), _| waits[*one] && waits[*other]);
    }

    fn expire(&mut self) -> Result<(), String> {
        for entry in self.queue.expire(self.now) {
            let recorded = self.waiting.remove(&entry.item).ok_or("expired twice")?;
            if recorded.deadline > self.now {
                return Err(format!("{recorded:?} expired early"));
            }
        }
        match self.waiting.values().find(|entry| entry.deadline <= self.now) {
            Some(entry) => Err(format!("{entry:?} is still queued after its deadline")),
            None => Ok(()),
        }
    }

    fn disconnect(&mut self, selector: usize) -> Result<(), String> {
        let Some(item) = self.waiting.keys().nth(selector % self.waiting.len().max(1)).copied()
        else {
            return Ok(());
        };
        let place = self.waiting.remove(&item).and_then(|entry| entry.place);
        let removed = place.and_then(|place| self.queue.remove(&place));
        match removed {
            Some(entry) if entry.item == item => Ok(()),
            _ => Err("another entry was removed".to_owned()),
        }
    }
}

fn run(steps: &[Step], fault: InjectedFault) -> Result<(), String> {
    let mut world = World::new(fault);
    for step in steps {
        world.apply(step)?;
    }
    Ok(())
}

#[test]
fn the_queue_is_bounded_and_fair() {
    assert_holds(321, steps(), |steps| run(&steps, InjectedFault::Nothing));
}

#[yare::parameterized(
    no_weights = { InjectedFault::NoWeights },
    no_priorities = { InjectedFault::NoPriorities },
    no_aging = { InjectedFault::NoAging },
    no_displacement = { InjectedFault::NoDisplacement },
)]
fn an_injected_fault_is_detected(fault: InjectedFault) {
    assert_violated(&format!("{fault:?}"), 322, steps(), |steps| run(&steps, fault));
}
