//! The sum of all shares never exceeds the limit, although messages are lost, delayed, duplicated
//! and reordered, grantors change, and holders pause and restart.

use {
    crate::harness::{assert_holds, assert_violated},
    base::{RatePerSecond, Tick, ViewNumber, WorkspaceId},
    proptest::prelude::{Strategy, any, prop, prop_oneof},
    route::{
        Share, ShareGate, ShareGrantor, ShareRequest, ShareRequester, ShareSettings, StartGuard,
    },
    std::{sync::Arc, time::Duration},
};

const HOLDERS: usize = 4;
const BASE_PERCENT: u32 = 20;
const LIMIT: Share = Share { requests_per_second: RatePerSecond(100.0), in_flight: 40 };
/// Tolerance for rounding errors in sums of rates.
const RATE_TOLERANCE: f64 = 1e-6;

/// Index and incarnation of a holder.
type HolderId = (usize, u32);

/// The part of the protocol that a run leaves out or breaks, so that the checks must fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// A new grantor does not wait until the grants of unresponsive holders have expired.
    NoExpiryWait,
    /// A new grantor does not know which holders may have earlier grants.
    NoKnownHolders,
    /// The view stays the same when the grantor changes, so requests sent to an earlier grantor are
    /// answered and its grants are applied.
    SameView,
    /// A grant is valid from its receipt instead of from its request.
    ValidFromReceipt,
    /// Answers to earlier requests are applied.
    StaleAnswers,
    /// Requests that arrive after later ones are treated as new.
    ReorderedRequests,
    /// The requests in flight of an unresponsive holder are not reserved after its grant expires.
    NoInFlightHold,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u16),
    Start { holder: usize, count: u8 },
    Finish { holder: usize, count: u8 },
    Request { holder: usize, waiting: u8 },
    DeliverRequest { selector: usize, duplicate: bool },
    DeliverGrant { selector: usize },
    LoseRequest { selector: usize },
    LoseGrant { selector: usize },
    MoveGrantor,
    Restart { holder: usize },
    ReportDown,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let holder = 0..HOLDERS;
    let selector = any::<u8>().prop_map(usize::from);
    let step = prop_oneof![
        6 => (1_u16..400).prop_map(Step::Advance),
        1 => (400_u16..4_000).prop_map(Step::Advance),
        8 => (holder.clone(), 1_u8..30).prop_map(|(holder, count)| Step::Start { holder, count }),
        4 => (holder.clone(), 1_u8..30).prop_map(|(holder, count)| Step::Finish { holder, count }),
        8 => (holder.clone(), 0_u8..40)
            .prop_map(|(holder, waiting)| Step::Request { holder, waiting }),
        10 => (selector.clone(), any::<bool>())
            .prop_map(|(selector, duplicate)| Step::DeliverRequest { selector, duplicate }),
        10 => selector.clone().prop_map(|selector| Step::DeliverGrant { selector }),
        1 => selector.clone().prop_map(|selector| Step::LoseRequest { selector }),
        1 => selector.prop_map(|selector| Step::LoseGrant { selector }),
        1 => proptest::strategy::Just(Step::MoveGrantor),
        1 => holder.prop_map(|holder| Step::Restart { holder }),
        1 => proptest::strategy::Just(Step::ReportDown),
    ];
    prop::collection::vec(step, 40..160)
}

struct Holder {
    incarnation: u32,
    gate: Arc<ShareGate>,
    requester: ShareRequester,
    running: Vec<StartGuard>,
}

impl Holder {
    fn new(incarnation: u32, now: Tick) -> Self {
        let base = Share::base_part(LIMIT, BASE_PERCENT, HOLDERS);
        let gate = Arc::new(ShareGate::new(base, now));
        Self { incarnation, gate, requester: ShareRequester::new(now), running: Vec::new() }
    }
}

struct RequestMessage {
    from: HolderId,
    request: ShareRequest,
}

struct GrantMessage {
    to: HolderId,
    order: u64,
    granted: Share,
    sent_at: Tick,
}

struct World {
    fault: InjectedFault,
    now: Tick,
    workspace: WorkspaceId,
    settings: ShareSettings,
    grantor: ShareGrantor<HolderId>,
    holders: Vec<Holder>,
    down: Vec<HolderId>,
    requests: Vec<(RequestMessage, Tick)>,
    grants: Vec<GrantMessage>,
    delivered: u64,
    view: ViewNumber,
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let now = Tick(1_000_000_000);
        let mut world = Self {
            fault,
            now,
            workspace: WorkspaceId::new("w").unwrap(),
            settings: ShareSettings::default(),
            grantor: ShareGrantor::new(ShareSettings::default()),
            holders: (0..HOLDERS).map(|_| Holder::new(0, now)).collect(),
            down: Vec::new(),
            requests: Vec::new(),
            grants: Vec::new(),
            delivered: 0,
            view: ViewNumber(0),
        };
        world.move_grantor();
        world
    }

    fn grantor_settings(&self) -> ShareSettings {
        let settings = self.settings.clone();
        match self.fault {
            InjectedFault::NoInFlightHold => {
                ShareSettings { in_flight_hold: Duration::ZERO, ..settings }
            }
            _ => settings,
        }
    }

    fn move_grantor(&mut self) {
        self.grantor = ShareGrantor::new(self.grantor_settings());
        let running_holders =
            self.holders.iter().enumerate().map(|(index, holder)| (index, holder.incarnation));
        let known_holders: Vec<_> = running_holders.chain(self.down.iter().copied()).collect();
        let known_holders = match self.fault {
            InjectedFault::NoKnownHolders => Vec::new(),
            _ => known_holders,
        };
        let since = match self.fault {
            InjectedFault::NoExpiryWait => self.now.back(Duration::from_secs(20)),
            _ => self.now,
        };
        let limit = Share::granted_part(LIMIT, BASE_PERCENT);
        if self.fault != InjectedFault::SameView {
            self.view = self.view.next();
        }
        self.grantor.take_over(&self.workspace, self.view, limit, known_holders, since);
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
                let remaining = running.len().saturating_sub(count.into());
                running.truncate(remaining);
            }
            Step::Request { holder: index, waiting } => {
                let holder = &mut self.holders[index];
                let waiting = waiting.into();
                let request =
                    holder.requester.next_request(&holder.gate, waiting, self.view, self.now);
                let from = (index, holder.incarnation);
                self.requests
                    .extend(request.map(|request| (RequestMessage { from, request }, self.now)));
            }
            Step::DeliverRequest { selector, duplicate } => {
                self.deliver_request(selector, duplicate)
            }
            Step::DeliverGrant { selector } => self.deliver_grant(selector),
            Step::LoseRequest { selector } => drop(remove_selected(&mut self.requests, selector)),
            Step::LoseGrant { selector } => drop(remove_selected(&mut self.grants, selector)),
            Step::MoveGrantor => self.move_grantor(),
            Step::Restart { holder } => self.restart(holder),
            Step::ReportDown => {
                for holder in self.down.drain(..) {
                    self.grantor.mark_holder_down(&holder);
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.holders[index].incarnation;
        self.down.push((index, incarnation));
        self.holders[index] = Holder::new(incarnation + 1, self.now);
    }

    fn deliver_request(&mut self, selector: usize, duplicate: bool) {
        if self.requests.is_empty() {
            return;
        }
        let position = selector % self.requests.len();
        let (message, sent_at) = &self.requests[position];
        let (from, mut request, sent_at) = (message.from, message.request, *sent_at);
        let order = request.order;
        if self.fault == InjectedFault::ReorderedRequests {
            self.delivered += 1;
            request.order = u64::MAX / 2 + self.delivered;
        }
        let granted = self.grantor.grant(&self.workspace, &from, request, self.now);
        if let Some(granted) = granted {
            self.grants.push(GrantMessage { to: from, order, granted, sent_at });
        }
        if !duplicate {
            self.requests.swap_remove(position);
        }
    }

    fn deliver_grant(&mut self, selector: usize) {
        let Some(message) = remove_selected(&mut self.grants, selector) else { return };
        let holder = &mut self.holders[message.to.0];
        if holder.incarnation != message.to.1 {
            return;
        }
        let validity = match self.fault {
            InjectedFault::ValidFromReceipt => {
                self.settings.validity + self.now.since(message.sent_at)
            }
            _ => self.settings.validity,
        };
        let order = match self.fault {
            InjectedFault::StaleAnswers => {
                holder.requester.unanswered_order().unwrap_or(message.order)
            }
            _ => message.order,
        };
        holder.requester.apply_grant(&holder.gate, order, message.granted, validity);
    }

    fn check(&self) -> Result<(), String> {
        let in_flight: u32 = self.holders.iter().map(|holder| holder.gate.in_flight()).sum();
        if in_flight > LIMIT.in_flight {
            return Err(format!("{in_flight} in flight at {}", self.now));
        }
        let held = self.holders.iter().map(|holder| holder.gate.held(self.now));
        let rate: f64 = held.map(|share| share.requests_per_second.0).sum();
        if rate > LIMIT.requests_per_second.0 + RATE_TOLERANCE {
            return Err(format!("a rate of {rate} at {}", self.now));
        }
        Ok(())
    }
}

fn remove_selected<T>(items: &mut Vec<T>, selector: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(selector % items.len()))
}

fn run(steps: &[Step], fault: InjectedFault) -> Result<(), String> {
    let mut world = World::new(fault);
    for step in steps {
        world.apply(step);
        world.check()?;
    }
    Ok(())
}

#[test]
fn the_sum_of_shares_never_exceeds_the_limit() {
    assert_holds(301, steps(), |steps| run(&steps, InjectedFault::Nothing));
}

#[yare::parameterized(
    no_expiry_wait = { InjectedFault::NoExpiryWait },
    no_known_holders = { InjectedFault::NoKnownHolders },
    same_view = { InjectedFault::SameView },
    valid_from_receipt = { InjectedFault::ValidFromReceipt },
    stale_answers = { InjectedFault::StaleAnswers },
    reordered_requests = { InjectedFault::ReorderedRequests },
    no_in_flight_hold = { InjectedFault::NoInFlightHold },
)]
fn an_injected_fault_is_detected(fault: InjectedFault) {
    assert_violated(&format!("{fault:?}"), 302, steps(), |steps| run(&steps, fault));
}

/// Guards against a share that stays reserved for a holder that is down.
#[test]
fn the_share_of_a_down_holder_is_granted_to_the_others() {
    let mut grantor = ShareGrantor::new(ShareSettings::default());
    let workspace = WorkspaceId::new("w").unwrap();
    let limit = Share { requests_per_second: RatePerSecond(90.0), in_flight: 30 };
    let start = Tick(1);
    let view = ViewNumber(1);
    grantor.take_over(&workspace, view, limit, [], start);
    let demand = limit;
    let request = |order, holding| ShareRequest { order, view, demand, holding };
    let mut held = [Share::default(); 3];
    let mut now = start;
    let mut request_all = |holders: &[usize], rounds: std::ops::Range<u64>, down: Option<usize>| {
        for order in rounds {
            now = now + Duration::from_millis(250);
            if let Some(down) = down {
                grantor.mark_holder_down(&down);
            }
            for holder in holders {
                let request = request(order, held[*holder]);
                held[*holder] = grantor.grant(&workspace, holder, request, now).unwrap();
            }
        }
        held
    };
    let held = request_all(&[0, 1, 2], 1..6, None);
    assert!(held.iter().all(|share| share.in_flight == 10), "{held:?}");
    let held = request_all(&[0, 1], 6..24, Some(2));
    let half = Share { requests_per_second: RatePerSecond(45.0), in_flight: 15 };
    assert_eq!(held[..2], [half, half]);
}
