//! Compares three ways to choose the node that decides for the hosts of a fabric domain: a single
//! elected leader, all nodes racing to write a row, or one owner for each fabric domain.
//!
//! The same seeded list of one day's events drives all three: broken groups that wait for a repair
//! order, nodes that die or are replaced as planned, and outages of the table service. The output
//! has the seconds that groups wait for an order and the number of writes to the table.
//!
//! Usage: `cargo run --release -p freshness --example ownership`.

use {
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
};

const SEEDS: u64 = 20;
const DAY_S: f64 = 86_400.0;
const NODES: usize = 330;
const DOMAINS: usize = 40;
const BROKEN_GROUPS: usize = 72;
const NODE_DEATHS: usize = 10;
const NODE_REPLACEMENTS: usize = 62;
const TABLE_OUTAGES: usize = 2;

/// Time between two renewals of a leader's lease.
const RENEWAL_S: f64 = 3.0;
/// A leader's lease lasts this long after each renewal.
const LEASE_S: f64 = 10.0;
/// Time without an answer after which a node is considered dead.
const UNRESPONSIVE_LIMIT_S: f64 = 10.0;
/// Time until a change is in force: 1 s for the acknowledgements of a majority, then the window and
/// the margin.
const IN_FORCE_S: f64 = 1.0 + 3.0 + 0.5;
/// Maximum time that an order is in flight.
const FLIGHT_S: f64 = 1.0;
/// Duration of a conditional write with its answer.
const WRITE_S: f64 = 0.02;

/// A span of time, in seconds since the start of the day.
#[derive(Clone, Copy)]
struct Span {
    from: f64,
    to: f64,
}

/// A planned or unplanned end of a node.
struct NodeEnd {
    at: f64,
    node: usize,
    planned: bool,
}

/// A group that waits for a repair order.
struct BrokenGroup {
    at: f64,
    domain: usize,
}

/// The events of one day.
struct Day {
    groups: Vec<BrokenGroup>,
    ends: Vec<NodeEnd>,
    outages: Vec<Span>,
}

/// Cost of one day under one of the three ways to choose the deciding node.
#[derive(Clone, Copy)]
struct Tally {
    /// Seconds that groups wait for a repair order, summed over all groups.
    downtime_s: f64,
    /// Writes to the table.
    writes: u64,
}

fn main() {
    let days: Vec<Day> = (0..SEEDS).map(day).collect();
    println!("{SEEDS} seeds from 0; {NODES} nodes, {DOMAINS} fabric domains, one day each");
    println!();
    println!(
        "| way | group downtime waiting for an order, median | worst | table writes, median |"
    );
    println!("| --- | --- | --- | --- |");
    row("single leader", days.iter().map(single_leader).collect());
    row("race on rows", days.iter().map(race_on_rows).collect());
    row("owner for each fabric domain", days.iter().map(owner_each).collect());
}

fn row(name: &str, mut tallies: Vec<Tally>) {
    tallies.sort_by(|one, other| one.downtime_s.total_cmp(&other.downtime_s));
    let median = tallies[tallies.len() / 2].downtime_s;
    let worst = tallies[tallies.len() - 1].downtime_s;
    let mut writes: Vec<u64> = tallies.iter().map(|tally| tally.writes).collect();
    writes.sort_unstable();
    println!("| {name} | {median:.1} s | {worst:.1} s | {} |", writes[writes.len() / 2]);
}

/// The leader renews its lease by writes, so it must stop when the lease expires during an outage of
/// the table service.
fn single_leader(day: &Day) -> Tally {
    let leader = 0;
    let mut gaps: Vec<Span> = day
        .outages
        .iter()
        .map(|outage| Span { from: outage.from + LEASE_S - RENEWAL_S, to: outage.to + WRITE_S })
        .filter(|gap| gap.from < gap.to)
        .collect();
    for end in day.ends.iter().filter(|end| end.node == leader) {
        let gap = if end.planned { WRITE_S + FLIGHT_S } else { LEASE_S + WRITE_S + FLIGHT_S };
        gaps.push(Span { from: end.at, to: day.reachable_from(end.at + gap) });
    }
    let waits = day.groups.iter().map(|group| wait(group.at, &gaps));
    Tally { downtime_s: waits.sum(), writes: (DAY_S / RENEWAL_S) as u64 + day.groups.len() as u64 }
}

/// Every node that sees the broken group tries to write its row; one write succeeds.
fn race_on_rows(day: &Day) -> Tally {
    let waits =
        day.groups.iter().map(|group| day.reachable_from(group.at) - group.at + WRITE_S + FLIGHT_S);
    Tally { downtime_s: waits.sum(), writes: (day.groups.len() * NODES) as u64 }
}

/// The owner decides without writing; only a change of owner is written.
fn owner_each(day: &Day) -> Tally {
    let mut gaps = Vec::new();
    let mut writes = 0;
    for domain in 0..DOMAINS {
        let owner = domain % NODES;
        for end in day.ends.iter().filter(|end| end.node == owner) {
            writes += 1;
            let notice = if end.planned { 0.0 } else { UNRESPONSIVE_LIMIT_S };
            let written = day.reachable_from(end.at + notice) + WRITE_S;
            let to = written + IN_FORCE_S + FLIGHT_S;
            gaps.push((domain, Span { from: end.at, to }));
        }
    }
    // Each start and each end of a node writes its member row.
    writes += 2 * day.ends.len() as u64;
    let waits = day.groups.iter().map(|group| {
        let own: Vec<Span> = gaps
            .iter()
            .filter(|(domain, _)| *domain == group.domain)
            .map(|(_, gap)| *gap)
            .collect();
        wait(group.at, &own)
    });
    Tally { downtime_s: waits.sum(), writes }
}

impl Day {
    /// Earliest time, not before `at`, at which the table service answers.
    fn reachable_from(&self, at: f64) -> f64 {
        let outage = self.outages.iter().find(|outage| outage.from <= at && at < outage.to);
        outage.map_or(at, |outage| outage.to)
    }
}

fn wait(at: f64, gaps: &[Span]) -> f64 {
    let ends = gaps.iter().filter(|gap| gap.from <= at && at < gap.to).map(|gap| gap.to);
    ends.fold(at, f64::max) - at
}

/// Generates the events of a day. Half of the groups break at any time, a quarter when a node ends,
/// and a quarter during an outage of the table service, as when a rack or a failure domain is lost.
fn day(seed: u64) -> Day {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let ends: Vec<NodeEnd> = (0..NODE_DEATHS + NODE_REPLACEMENTS)
        .map(|number| NodeEnd {
            at: random.random_range(0.0..DAY_S),
            node: random.random_range(0..NODES),
            planned: number >= NODE_DEATHS,
        })
        .collect();
    let outages: Vec<Span> = (0..TABLE_OUTAGES)
        .map(|_| {
            let from = random.random_range(0.0..DAY_S - 600.0);
            Span { from, to: from + random.random_range(60.0..600.0) }
        })
        .collect();
    let mut groups = Vec::new();
    for number in 0..BROKEN_GROUPS {
        let domain = random.random_range(0..DOMAINS);
        let group = match number % 4 {
            0 => with_node_end(&mut random, &ends),
            1 => {
                let outage = outages.choose(&mut random).expect("there are outages");
                BrokenGroup { at: random.random_range(outage.from..outage.to), domain }
            }
            _ => BrokenGroup { at: random.random_range(0.0..DAY_S), domain },
        };
        groups.push(group);
    }
    Day { groups, ends, outages }
}

/// A group that breaks when a node ends. It is in the fabric domain of that node, if the node owns
/// one, and in an arbitrary one otherwise.
fn with_node_end(random: &mut Pcg64Mcg, ends: &[NodeEnd]) -> BrokenGroup {
    let end = ends.choose(random).expect("there are ends");
    BrokenGroup { at: end.at, domain: end.node % DOMAINS }
}
