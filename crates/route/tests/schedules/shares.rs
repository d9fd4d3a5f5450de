//! The sum of all shares never passes the limit: messages lost, late and out of order, grantors
//! that change, holders that freeze, die and come back.

use {
    crate::harness::{hold_always, must_be_found},
    base::{RatePerSecond, Tick, ViewNumber, WorkspaceId},
    proptest::prelude::{Strategy, any, prop, prop_oneof},
    route::{Share, ShareAsk, ShareAsker, ShareGate, ShareGrantor, ShareSettings, StartGuard},
    std::{sync::Arc, time::Duration},
};

const HOLDERS: usize = 4;
const BASE_PERCENT: u32 = 20;
const LIMIT: Share = Share { requests_per_second: RatePerSecond(100.0), in_flight: 40 };
/// What sums of rates may differ by in floating point.
const RATE_SLACK: f64 = 1e-6;

/// One life of one holder.
type HolderId = (usize, u32);

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A new grantor does not wait for silent holders' grants to run out.
    NoQuietTime,
    /// A new grantor waits for nobody's word.
    NoHearing,
    /// Answers of an earlier grantor, and asks to it, count.
    NoView,
    /// A grant lasts from its receipt.
    AgeFromReceipt,
    /// Answers to earlier asks count.
    OldAnswers,
    /// Asks that come late are taken as new.
    LateAsks,
    /// The places of a silent holder are given away as its grant runs out.
    NoLinger,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u16),
    Start { holder: usize, count: u8 },
    Finish { holder: usize, count: u8 },
    Ask { holder: usize, waiting: u8 },
    DeliverAsk { pick: usize, copy: bool },
    DeliverGrant { pick: usize },
    LoseAsk { pick: usize },
    LoseGrant { pick: usize },
    MoveGrantor,
    Kill { holder: usize },
    NoticeDeath,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let holder = 0..HOLDERS;
    let pick = any::<u8>().prop_map(usize::from);
    let step = prop_oneof![
        6 => (1_u16..400).prop_map(Step::Advance),
        1 => (400_u16..4_000).prop_map(Step::Advance),
        8 => (holder.clone(), 1_u8..30).prop_map(|(holder, count)| Step::Start { holder, count }),
        4 => (holder.clone(), 1_u8..30).prop_map(|(holder, count)| Step::Finish { holder, count }),
        8 => (holder.clone(), 0_u8..40).prop_map(|(holder, waiting)| Step::Ask { holder, waiting }),
        10 => (pick.clone(), any::<bool>())
            .prop_map(|(pick, copy)| Step::DeliverAsk { pick, copy }),
        10 => pick.clone().prop_map(|pick| Step::DeliverGrant { pick }),
        1 => pick.clone().prop_map(|pick| Step::LoseAsk { pick }),
        1 => pick.prop_map(|pick| Step::LoseGrant { pick }),
        1 => proptest::strategy::Just(Step::MoveGrantor),
        1 => holder.prop_map(|holder| Step::Kill { holder }),
        1 => proptest::strategy::Just(Step::NoticeDeath),
    ];
    prop::collection::vec(step, 40..160)
}

struct Holder {
    life: u32,
    gate: Arc<ShareGate>,
    asker: ShareAsker,
    running: Vec<StartGuard>,
}

impl Holder {
    fn new(life: u32, now: Tick) -> Self {
        let base = Share::base_part(LIMIT, BASE_PERCENT, HOLDERS);
        let gate = Arc::new(ShareGate::new(base, now));
        Self { life, gate, asker: ShareAsker::new(now), running: Vec::new() }
    }
}

struct AskMessage {
    from: HolderId,
    ask: ShareAsk,
}

struct GrantMessage {
    to: HolderId,
    order: u64,
    granted: Share,
    asked_at: Tick,
}

struct World {
    planted: Planted,
    now: Tick,
    workspace: WorkspaceId,
    settings: ShareSettings,
    grantor: ShareGrantor<HolderId>,
    holders: Vec<Holder>,
    dead: Vec<HolderId>,
    asks: Vec<(AskMessage, Tick)>,
    grants: Vec<GrantMessage>,
    arrivals: u64,
    view: ViewNumber,
}

impl World {
    fn new(planted: Planted) -> Self {
        let now = Tick(1_000_000_000);
        let mut world = Self {
            planted,
            now,
            workspace: WorkspaceId::new("w").unwrap(),
            settings: ShareSettings::default(),
            grantor: ShareGrantor::new(ShareSettings::default()),
            holders: (0..HOLDERS).map(|_| Holder::new(0, now)).collect(),
            dead: Vec::new(),
            asks: Vec::new(),
            grants: Vec::new(),
            arrivals: 0,
            view: ViewNumber(0),
        };
        world.move_grantor();
        world
    }

    fn grantor_settings(&self) -> ShareSettings {
        let settings = self.settings.clone();
        match self.planted {
            Planted::NoLinger => ShareSettings { in_flight_hold: Duration::ZERO, ..settings },
            _ => settings,
        }
    }

    fn move_grantor(&mut self) {
        self.grantor = ShareGrantor::new(self.grantor_settings());
        let living = self.holders.iter().enumerate().map(|(index, holder)| (index, holder.life));
        let known: Vec<_> = living.chain(self.dead.iter().copied()).collect();
        let known = match self.planted {
            Planted::NoHearing => Vec::new(),
            _ => known,
        };
        let since = match self.planted {
            Planted::NoQuietTime => self.now.back(Duration::from_secs(20)),
            _ => self.now,
        };
        let limit = Share::granted_part(LIMIT, BASE_PERCENT);
        if self.planted != Planted::NoView {
            self.view = self.view.next();
        }
        self.grantor.take_over(&self.workspace, self.view, limit, known, since);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.now = self.now + Duration::from_millis(ms.into()),
            Step::Start { holder, count } => {
                let holder = &mut self.holders[holder];
                for _ in 0..count {
                    holder.running.extend(holder.gate.try_start(self.now).ok());
                }
            }
            Step::Finish { holder, count } => {
                let running = &mut self.holders[holder].running;
                let left = running.len().saturating_sub(count.into());
                running.truncate(left);
            }
            Step::Ask { holder: index, waiting } => {
                let holder = &mut self.holders[index];
                let waiting = waiting.into();
                let ask = holder.asker.next_ask(&holder.gate, waiting, self.view, self.now);
                let from = (index, holder.life);
                self.asks.extend(ask.map(|ask| (AskMessage { from, ask }, self.now)));
            }
            Step::DeliverAsk { pick, copy } => self.deliver_ask(pick, copy),
            Step::DeliverGrant { pick } => self.deliver_grant(pick),
            Step::LoseAsk { pick } => drop(take(&mut self.asks, pick)),
            Step::LoseGrant { pick } => drop(take(&mut self.grants, pick)),
            Step::MoveGrantor => self.move_grantor(),
            Step::Kill { holder } => self.kill(holder),
            Step::NoticeDeath => {
                for holder in self.dead.drain(..) {
                    self.grantor.forget_holder(&holder);
                }
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let life = self.holders[index].life;
        self.dead.push((index, life));
        self.holders[index] = Holder::new(life + 1, self.now);
    }

    fn deliver_ask(&mut self, pick: usize, copy: bool) {
        if self.asks.is_empty() {
            return;
        }
        let position = pick % self.asks.len();
        let (message, asked_at) = &self.asks[position];
        let (from, mut ask, asked_at) = (message.from, message.ask, *asked_at);
        let order = ask.order;
        if self.planted == Planted::LateAsks {
            self.arrivals += 1;
            ask.order = u64::MAX / 2 + self.arrivals;
        }
        let granted = self.grantor.grant(&self.workspace, &from, ask, self.now);
        if let Some(granted) = granted {
            self.grants.push(GrantMessage { to: from, order, granted, asked_at });
        }
        if !copy {
            self.asks.swap_remove(position);
        }
    }

    fn deliver_grant(&mut self, pick: usize) {
        let Some(message) = take(&mut self.grants, pick) else { return };
        let holder = &mut self.holders[message.to.0];
        if holder.life != message.to.1 {
            return;
        }
        let lasts = match self.planted {
            Planted::AgeFromReceipt => self.settings.lasts + self.now.since(message.asked_at),
            _ => self.settings.lasts,
        };
        let order = match self.planted {
            Planted::OldAnswers => holder.asker.unanswered_order().unwrap_or(message.order),
            _ => message.order,
        };
        holder.asker.take_grant(&holder.gate, order, message.granted, lasts);
    }

    fn check(&self) -> Result<(), String> {
        let in_flight: u32 = self.holders.iter().map(|holder| holder.gate.in_flight()).sum();
        if in_flight > LIMIT.in_flight {
            return Err(format!("{in_flight} in flight at {}", self.now));
        }
        let held = self.holders.iter().map(|holder| holder.gate.held(self.now));
        let rate: f64 = held.map(|share| share.requests_per_second.0).sum();
        if rate > LIMIT.requests_per_second.0 + RATE_SLACK {
            return Err(format!("a rate of {rate} at {}", self.now));
        }
        Ok(())
    }
}

fn take<T>(items: &mut Vec<T>, pick: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(pick % items.len()))
}

fn run(steps: &[Step], planted: Planted) -> Result<(), String> {
    let mut world = World::new(planted);
    for step in steps {
        world.apply(step);
        world.check()?;
    }
    Ok(())
}

#[test]
fn the_sum_of_shares_never_passes_the_limit() {
    hold_always(301, steps(), |steps| run(&steps, Planted::Nothing));
}

#[yare::parameterized(
    quiet_time = { Planted::NoQuietTime },
    hearing = { Planted::NoHearing },
    view = { Planted::NoView },
    age_from_receipt = { Planted::AgeFromReceipt },
    old_answers = { Planted::OldAnswers },
    late_asks = { Planted::LateAsks },
    in_flight_hold = { Planted::NoLinger },
)]
fn a_planted_fault_is_found(planted: Planted) {
    must_be_found(&format!("{planted:?}"), 302, steps(), |steps| run(&steps, planted));
}

/// A dead holder's share goes to the others.
#[test]
fn a_dead_holders_share_comes_back() {
    let mut grantor = ShareGrantor::new(ShareSettings::default());
    let workspace = WorkspaceId::new("w").unwrap();
    let limit = Share { requests_per_second: RatePerSecond(90.0), in_flight: 30 };
    let start = Tick(1);
    let view = ViewNumber(1);
    grantor.take_over(&workspace, view, limit, [], start);
    let demand = limit;
    let ask = |order, holding| ShareAsk { order, view, demand, holding };
    let mut held = [Share::default(); 3];
    let mut now = start;
    let mut ask_all = |holders: &[usize], rounds: std::ops::Range<u64>, dead: Option<usize>| {
        for order in rounds {
            now = now + Duration::from_millis(250);
            if let Some(dead) = dead {
                grantor.forget_holder(&dead);
            }
            for holder in holders {
                let ask = ask(order, held[*holder]);
                held[*holder] = grantor.grant(&workspace, holder, ask, now).unwrap();
            }
        }
        held
    };
    let held = ask_all(&[0, 1, 2], 1..6, None);
    assert!(held.iter().all(|share| share.in_flight == 10), "{held:?}");
    let held = ask_all(&[0, 1], 6..24, Some(2));
    let half = Share { requests_per_second: RatePerSecond(45.0), in_flight: 15 };
    assert_eq!(held[..2], [half, half]);
}
