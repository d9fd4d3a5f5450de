//! The task of one owned fabric domain. Each round it probes the engines for their state, runs the
//! planner, publishes the domain's record if its groups changed, and sends the planned orders.

use {
    crate::groups::{
        GroupsContext,
        convert::{engine_order, group_record, host_report, order_outcome},
        input::{DomainInput, plan_settings},
        metrics::{DomainLabels, PHASES, PhaseLabels, SetLabels},
    },
    base::{FabricDomainId, HostId, RecordSequence, Term, Tick},
    engine::{EngineError, EngineState},
    futures::{
        future::BoxFuture,
        stream::{FuturesUnordered, StreamExt},
    },
    peer::{DomainRecord, GroupPhase, GroupRecord},
    plan::{CostTotals, DomainPlanner, HostOrder, MemberHost, OrderOutcome, PlanInput},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{MissedTickBehavior, timeout},
    tokio_util::sync::CancellationToken,
};

/// The result of one probe.
struct ProbeAnswer {
    host: HostId,
    /// When the probe was sent.
    sent: Tick,
    state: ProbedState,
}

enum ProbedState {
    Answered(EngineState),
    /// The connection failed before the time limit, which means that the process does not run.
    Refused,
    /// The probe timed out, or failed in another way that does not show whether the process runs.
    Inconclusive,
}

/// The result of sending one copy of an order. The planner sends an order again while its outcome is
/// unknown, so an order can have several results.
struct OrderAnswer {
    order: HostOrder,
    outcome: OrderOutcome,
    /// Whether the copy was not sent because the node had no authority over the domain.
    withheld: bool,
}

/// Runs one fabric domain for as long as the node owns it under one term.
pub(super) struct DomainTask {
    context: GroupsContext,
    domain: FabricDomainId,
    term: Term,
    planner: DomainPlanner,
    input: DomainInput,
    sequence: RecordSequence,
    /// Groups of the last published record; `None` before the first.
    published: Option<Vec<GroupRecord>>,
    /// The planner's totals that the counters already include.
    counted: CostTotals,
    /// The planner's number of foreign orders that the counter already includes.
    counted_foreign: u64,
    /// Sends whose result has not been passed to the planner yet.
    orders: FuturesUnordered<BoxFuture<'static, OrderAnswer>>,
}

impl DomainTask {
    pub(super) fn new(context: GroupsContext, domain: FabricDomainId, term: Term) -> Self {
        let settings = plan_settings(&context.settings);
        let now = context.clock.now();
        let mut planner = DomainPlanner::new(&domain, term, settings, now);
        if let Some(record) = context.authority.record(&domain) {
            for group in record.groups {
                planner.record_group_set(group.group, group.set);
            }
        }
        Self {
            context,
            domain,
            term,
            planner,
            input: DomainInput::default(),
            sequence: RecordSequence(0),
            published: None,
            counted: CostTotals::default(),
            counted_foreign: 0,
            orders: FuturesUnordered::new(),
        }
    }

    pub(super) async fn run(mut self, cancel: CancellationToken) {
        tracing::info!(domain = %self.domain, term = %self.term, "fabric domain taken over");
        let period = Duration::from_millis(self.context.settings.engine_poll_ms.max(1));
        let mut ticker = tokio::time::interval(period);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let work = async {
            loop {
                tokio::select! {
                    _ = ticker.tick() => self.round().await,
                    Some(answer) = self.orders.next() => self.apply_order_answer(answer),
                }
            }
        };
        tokio::select! {
            () = cancel.cancelled() => {}
            () = work => {}
        }
        tracing::info!(domain = %self.domain, term = %self.term, "fabric domain no longer run");
    }

    async fn round(&mut self) {
        let state = self.context.authority.state();
        let hosts = self.context.authority.hosts();
        if let Some(input) = DomainInput::read(&self.domain, &state.desired, &hosts) {
            self.input = input;
        }
        self.planner.apply_host_list(&self.input.hosts, self.context.clock.now());
        self.probe_engines().await;
        let input = PlanInput {
            desired: &state.desired,
            targets: &self.input.targets,
            hosts: &self.input.hosts,
            loads: self.input.loads,
            now: self.context.clock.now(),
        };
        let orders = self.planner.step(&input);
        self.publish();
        self.update_metrics();
        for order in orders {
            self.start_order(order);
        }
    }

    /// Probes all engines concurrently, with a time limit of half the time between two rounds.
    async fn probe_engines(&mut self) {
        let limit = Duration::from_millis(self.context.settings.engine_poll_ms.max(2) / 2);
        let mut probes: FuturesUnordered<_> = self
            .planner
            .known_hosts()
            .into_iter()
            .map(|member| probe_engine(self.context.clone(), member, limit))
            .collect();
        loop {
            tokio::select! {
                answer = probes.next() => match answer {
                    Some(answer) => self.apply_probe_answer(answer),
                    None => break,
                },
                Some(answer) = self.orders.next() => self.apply_order_answer(answer),
            }
        }
    }

    fn apply_probe_answer(&mut self, answer: ProbeAnswer) {
        match answer.state {
            ProbedState::Answered(state) if state.host == answer.host => {
                self.planner.observe(&answer.host, answer.sent, host_report(state));
            }
            ProbedState::Refused => self.planner.note_refused_connection(&answer.host, answer.sent),
            ProbedState::Answered(_) | ProbedState::Inconclusive => {}
        }
    }

    fn start_order(&mut self, order: HostOrder) {
        self.planner.note_sent(&order, self.context.clock.now());
        let context = self.context.clone();
        let domain = self.domain.clone();
        self.orders.push(Box::pin(send_order(context, domain, order)));
    }

    fn apply_order_answer(&mut self, answer: OrderAnswer) {
        if answer.withheld {
            self.context.metrics.withheld.inc();
        } else {
            self.context.metrics.count_order(&answer.order.command, &answer.outcome);
        }
        self.planner.note_outcome(&answer.order, answer.outcome, self.context.clock.now());
    }

    /// Publishes the domain's record if its groups changed since the last one.
    fn publish(&mut self) {
        if !self.planner.is_adoption_done() {
            return;
        }
        let groups: Vec<GroupRecord> = self.planner.views().into_iter().map(group_record).collect();
        if self.published.as_ref() == Some(&groups) {
            return;
        }
        log_changes(self.published.as_deref().unwrap_or_default(), &groups);
        self.sequence = self.sequence.next();
        self.published = Some(groups.clone());
        self.context.authority.publish(DomainRecord {
            domain: self.domain.clone(),
            term: self.term,
            sequence: self.sequence,
            groups,
        });
    }

    fn update_metrics(&mut self) {
        let metrics = &self.context.metrics;
        let totals = self.planner.totals().clone();
        let own = DomainLabels { fabric_domain: self.domain.to_string() };
        for (set, seconds) in &totals.downtime_seconds {
            let before = self.counted.downtime_seconds.get(set).copied().unwrap_or(0.0);
            let labels = self.set_labels(set);
            metrics.downtime_seconds.get_or_create(&labels).inc_by(seconds - before);
        }
        let stranded = totals.stranded_seconds - self.counted.stranded_seconds;
        metrics.stranded_seconds.get_or_create(&own).inc_by(stranded);
        self.counted = totals;
        let foreign = self.planner.foreign_orders();
        metrics.foreign_orders.get_or_create(&own).inc_by(foreign - self.counted_foreign);
        self.counted_foreign = foreign;
        let ledger = self.planner.ledger();
        for (set, missing) in ledger.missing() {
            metrics.missing.get_or_create(&self.set_labels(set)).set(i64::from(*missing));
        }
        metrics.stranded.get_or_create(&own).set(i64::from(ledger.stranded()));
        let groups = self.published.as_deref().unwrap_or_default();
        for (phase, label) in PHASES {
            let labels = PhaseLabels { fabric_domain: self.domain.to_string(), phase: label };
            let count = groups.iter().filter(|group| group.phase == phase).count();
            metrics.groups.get_or_create(&labels).set(count as i64);
        }
    }

    fn set_labels(&self, set: &base::GroupSetName) -> SetLabels {
        SetLabels { fabric_domain: self.domain.to_string(), set: set.to_string() }
    }
}

async fn probe_engine(context: GroupsContext, member: MemberHost, limit: Duration) -> ProbeAnswer {
    let sent = context.clock.now();
    let answer = timeout(limit, context.engine.state(member.address)).await;
    let state = match answer {
        Ok(Ok(state)) => ProbedState::Answered(state),
        Ok(Err(EngineError::Unreachable { .. })) => ProbedState::Refused,
        Ok(Err(_)) | Err(_) => ProbedState::Inconclusive,
    };
    ProbeAnswer { host: member.host, sent, state }
}

/// Sends one copy of an order, with the check of authority as the last step before it.
///
/// The send times out after half the flight limit. The other half is for a copy that is still on the
/// network at that time.
async fn send_order(
    context: GroupsContext,
    domain: FabricDomainId,
    order: HostOrder,
) -> OrderAnswer {
    let limit = Duration::from_millis(context.settings.freshness.order_flight_ms.max(2) / 2);
    let message = engine_order(&order);
    if !context.authority.may_order(&domain, order.term) {
        return OrderAnswer { order, outcome: OrderOutcome::NotSent, withheld: true };
    }
    let answer = timeout(limit, context.engine.order(order.address, message)).await;
    let outcome = answer.map_or(OrderOutcome::Unknown, order_outcome);
    OrderAnswer { order, outcome, withheld: false }
}

/// Logs each group that is new, has changed its phase or is released.
fn log_changes(before: &[GroupRecord], after: &[GroupRecord]) {
    let phases = |groups: &[GroupRecord]| -> BTreeMap<_, GroupPhase> {
        groups.iter().map(|group| (group.group.clone(), group.phase)).collect()
    };
    let (old, new) = (phases(before), phases(after));
    for (group, phase) in &new {
        if old.get(group) != Some(phase) {
            tracing::info!(%group, ?phase, "group changed");
        }
    }
    for group in old.keys().filter(|group| !new.contains_key(*group)) {
        tracing::info!(%group, phase = ?GroupPhase::Released, "group changed");
    }
}
