//! Compares policies for serving while the table service or the network is down.
//!
//! The same seeded list of failures drives 15 nodes. At every step each running node gets one request
//! under each of three policies: stop when the node's last own read of the state head is too old,
//! serve the last known state without limit, or follow the freshness rule ("head rule" in the
//! output). The policy may refuse the request. An accepted request is stale if the node holds an
//! older head than one that is in force.
//!
//! Usage: `cargo run --release -p freshness --example outage`.

use {
    base::{HeadNumber, HostId, Incarnation, MemberId, Tick, ViewNumber},
    freshness::{FreshTiming, HeadTracker, HeldHead, MemberSet},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
};

const SEEDS: u64 = 20;
const NODES: usize = 15;
const FAILURE_DOMAINS: usize = 3;
const STEP_MS: u64 = 100;
const STEPS: u64 = 6_000;
const READ_EVERY_STEPS: u64 = 10;
const ASK_EVERY_STEPS: u64 = 5;
const CHANGE_EVERY_STEPS: u64 = 120;

/// A span of steps; `to` is not part of it.
#[derive(Clone, Copy)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn covers(self, step: u64) -> bool {
        (self.from..self.to).contains(&step)
    }
}

/// One failure of a run.
enum Failure {
    /// The table service is down for all nodes.
    TableOutage(Span),
    /// One node can't reach the table service.
    TableUnreachable(Span, usize),
    /// One node can reach neither other nodes nor the table service.
    NodePartitioned(Span, usize),
    /// A failure domain can reach neither the other ones nor the table service.
    DomainPartitioned(Span, usize),
    /// One node is frozen: it neither acts nor answers.
    Frozen(Span, usize),
}

/// Requests of one run under one policy.
#[derive(Clone, Copy, Default)]
struct Tally {
    requests: u64,
    refused: u64,
    stale: u64,
}

impl Tally {
    fn count(&mut self, acts: bool, is_old: bool) {
        self.requests += 1;
        self.refused += u64::from(!acts);
        self.stale += u64::from(acts && is_old);
    }

    fn refused_percent(&self) -> f64 {
        100.0 * self.refused as f64 / self.requests as f64
    }
}

struct Node {
    tracker: HeadTracker,
    last_read: Option<Tick>,
}

struct Run {
    random: Pcg64Mcg,
    failures: Vec<Failure>,
    nodes: Vec<Node>,
    view: MemberSet,
    /// The newest head in the table service.
    committed: HeadNumber,
    /// The newest head that any node found in force.
    in_force: HeadNumber,
    tallies: [Tally; 3],
}

fn main() {
    let runs: Vec<[Tally; 3]> = (0..SEEDS).map(|seed| Run::new(seed).finish()).collect();
    println!("{SEEDS} seeds from 0, {NODES} nodes, {} s each", STEPS * STEP_MS / 1_000);
    println!();
    println!(
        "| policy | refused, median | refused, worst | stale actions, all seeds | worst seed |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let names = ["stop with the table service", "serve the last known", "head rule"];
    for (position, name) in names.iter().enumerate() {
        let mut refused: Vec<f64> =
            runs.iter().map(|run| run[position].refused_percent()).collect();
        refused.sort_by(f64::total_cmp);
        let stale: u64 = runs.iter().map(|run| run[position].stale).sum();
        let worst = runs.iter().map(|run| run[position].stale).max().unwrap_or(0);
        let median = refused[refused.len() / 2];
        let most = refused[refused.len() - 1];
        println!("| {name} | {median:.2} % | {most:.2} % | {stale} | {worst} |");
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let members: Vec<MemberId> = (0..NODES).map(member).collect();
        let view = MemberSet { number: ViewNumber(1), since: HeadNumber(1), members };
        let nodes = (0..NODES).map(|number| Node {
            tracker: HeadTracker::new(member(number), FreshTiming::default()),
            last_read: None,
        });
        Self {
            failures: failures(&mut random),
            nodes: nodes.collect(),
            view,
            committed: HeadNumber(1),
            in_force: HeadNumber(0),
            tallies: [Tally::default(); 3],
            random,
        }
    }

    fn finish(mut self) -> [Tally; 3] {
        for step in 0..STEPS {
            self.step(step);
        }
        self.tallies
    }

    fn step(&mut self, step: u64) {
        if step % CHANGE_EVERY_STEPS == CHANGE_EVERY_STEPS - 1 {
            self.change(step);
        }
        for number in 0..NODES {
            if self.is_frozen(step, number) {
                continue;
            }
            let turn = step + number as u64;
            if turn.is_multiple_of(READ_EVERY_STEPS) && self.reads_table(step, number) {
                self.read(step, number);
            }
            if turn.is_multiple_of(ASK_EVERY_STEPS) {
                self.ask(step, number);
            }
            let now = tick(step);
            let found = self.nodes[number].tracker.settle(now);
            self.in_force = self.in_force.max(found);
        }
        // Starting up does not count as a failure: requests begin once the first head is in force.
        if self.in_force > HeadNumber(0) {
            (0..NODES).for_each(|number| self.request(step, number));
        }
    }

    /// Commits an operator's ticket through the first node that can reach the table service.
    fn change(&mut self, step: u64) {
        let writer = (0..NODES)
            .find(|number| !self.is_frozen(step, *number) && self.reads_table(step, *number));
        if let Some(writer) = writer {
            self.committed = self.committed.next();
            self.read(step, writer);
        }
    }

    fn read(&mut self, step: u64, number: usize) {
        let now = tick(step);
        let held = self.held(self.committed);
        let node = &mut self.nodes[number];
        node.tracker.record_read(now, now, held.number);
        node.tracker.hold(now, held);
        node.last_read = Some(now);
    }

    fn ask(&mut self, step: u64, number: usize) {
        let peer = self.random.random_range(0..NODES);
        let lost =
            peer == number || self.is_frozen(step, peer) || self.partitioned(step, number, peer);
        if lost {
            return;
        }
        let now = tick(step);
        let asker = self.nodes[number].tracker.held().number;
        let asker_id = member(number);
        let answering = &mut self.nodes[peer].tracker;
        answering.record_acknowledgement(now, &asker_id, asker);
        let peer_report = answering.own_report(now);
        if peer_report.head == HeadNumber(0) {
            return;
        }
        let held = self.held(peer_report.head);
        let tracker = &mut self.nodes[number].tracker;
        tracker.hold(now, held);
        tracker.apply_report(now, now, &peer_report);
    }

    fn request(&mut self, step: u64, number: usize) {
        if self.is_frozen(step, number) {
            return;
        }
        let now = tick(step);
        let node = &self.nodes[number];
        let is_old = node.tracker.held().number < self.in_force;
        let window = FreshTiming::default().window;
        let has_read = node.last_read.is_some_and(|read| now.since(read) <= window);
        let is_current = node.tracker.current(now).is_some();
        let acts = [has_read, true, is_current];
        for (tally, acts) in self.tallies.iter_mut().zip(acts) {
            tally.count(acts, is_old);
        }
    }

    fn held(&self, number: HeadNumber) -> HeldHead {
        HeldHead { number, view: self.view.clone(), ..HeldHead::default() }
    }

    fn is_frozen(&self, step: u64, node: usize) -> bool {
        self.failures.iter().any(
            |failure| matches!(failure, Failure::Frozen(span, of) if *of == node && span.covers(step)),
        )
    }

    fn reads_table(&self, step: u64, node: usize) -> bool {
        !self.failures.iter().any(|failure| match failure {
            Failure::TableOutage(span) => span.covers(step),
            Failure::TableUnreachable(span, of) | Failure::NodePartitioned(span, of) => {
                *of == node && span.covers(step)
            }
            Failure::DomainPartitioned(span, of) => domain(node) == *of && span.covers(step),
            Failure::Frozen(..) => false,
        })
    }

    fn partitioned(&self, step: u64, one: usize, other: usize) -> bool {
        self.failures.iter().any(|failure| match failure {
            Failure::NodePartitioned(span, of) => (*of == one || *of == other) && span.covers(step),
            Failure::DomainPartitioned(span, of) => {
                (domain(one) == *of) != (domain(other) == *of) && span.covers(step)
            }
            _ => false,
        })
    }
}

fn member(number: usize) -> MemberId {
    let host = HostId::new(format!("entry-{number:02}")).expect("a valid literal");
    MemberId { host, incarnation: Incarnation(1) }
}

fn domain(node: usize) -> usize {
    node % FAILURE_DOMAINS
}

fn tick(step: u64) -> Tick {
    Tick(0) + Duration::from_millis((step + 1) * STEP_MS)
}

/// Generates two outages of the table service, nodes that are partitioned, frozen or unable to
/// reach the table service, and a partitioned failure domain.
fn failures(random: &mut Pcg64Mcg) -> Vec<Failure> {
    let mut failures = Vec::new();
    for _ in 0..2 {
        failures.push(Failure::TableOutage(span(random, 200..=600)));
    }
    for _ in 0..4 {
        failures.push(Failure::TableUnreachable(
            span(random, 100..=400),
            random.random_range(0..NODES),
        ));
        failures
            .push(Failure::NodePartitioned(span(random, 100..=400), random.random_range(0..NODES)));
        failures.push(Failure::Frozen(span(random, 50..=200), random.random_range(0..NODES)));
    }
    let partitioned = random.random_range(0..FAILURE_DOMAINS);
    failures.push(Failure::DomainPartitioned(span(random, 200..=600), partitioned));
    failures
}

fn span(random: &mut Pcg64Mcg, length: std::ops::RangeInclusive<u64>) -> Span {
    let length = random.random_range(length);
    let from = random.random_range(200..STEPS - length);
    Span { from, to: from + length }
}
