//! Measures how the bytes and the processor time that a node spends on gossip grow with the number
//! of members, and fits a line to each.
//!
//! `cargo bench -p controller --bench peer_traffic`

#[path = "../tests/support/gossip.rs"]
mod gossip;

use {
    gossip::{GossipModel, state},
    peer::{MessageCodec, codec::OLDEST_PROTOCOL_VERSION},
    std::time::{Duration, Instant},
};

const SIZES: [usize; 6] = [15, 30, 60, 120, 200, 330];
const DOMAINS: usize = 40;
const PERIOD: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(10);

/// Measurements for one view size.
struct CostLine {
    members: f64,
    bytes_per_second: f64,
    /// Processor time of one node, for its own queries and its answers, in thousandths of a core.
    core_permille: f64,
    state_bytes: f64,
}

fn main() {
    println!("| members | UDP B/s per node | thousandths of a core | encoded state, bytes |");
    println!("| --- | --- | --- | --- |");
    let lines: Vec<CostLine> = SIZES.into_iter().map(cost).collect();
    for line in &lines {
        let CostLine { members, bytes_per_second, core_permille, state_bytes } = line;
        println!("| {members} | {bytes_per_second:.0} | {core_permille:.3} | {state_bytes} |");
    }
    let sparse = &lines[3..];
    slope("UDP B/s, to 60 members", &lines[..3], |line| line.bytes_per_second);
    slope("UDP B/s, above 60 members", sparse, |line| line.bytes_per_second);
    slope("thousandths of a core, to 60 members", &lines[..3], |line| line.core_permille);
    slope("thousandths of a core, above 60 members", sparse, |line| line.core_permille);
    slope("encoded state, bytes", &lines, |line| line.state_bytes);
}

fn cost(members: usize) -> CostLine {
    let mut model = GossipModel::new(members, DOMAINS, PERIOD, 3);
    model.read_table();
    model.run(Duration::from_secs(2));
    model.nodes.iter_mut().for_each(|node| node.bytes = 0);
    let start = Instant::now();
    model.run(SPAN);
    let spent = start.elapsed().as_secs_f64();
    let node_seconds = members as f64 * SPAN.as_secs_f64();
    let bytes: usize = model.nodes.iter().map(|node| node.bytes).sum();
    let encoded = MessageCodec::default().encode(OLDEST_PROTOCOL_VERSION, &state(members));
    CostLine {
        members: members as f64,
        bytes_per_second: bytes as f64 / node_seconds,
        core_permille: spent / node_seconds * 1_000.0,
        state_bytes: encoded.expect("a state can be encoded").len() as f64,
    }
}

/// Prints the least-squares line and its coefficient of determination.
fn slope(name: &str, lines: &[CostLine], value: impl Fn(&CostLine) -> f64) {
    let count = lines.len() as f64;
    let mean_x = lines.iter().map(|line| line.members).sum::<f64>() / count;
    let mean_y = lines.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 =
        lines.iter().map(|line| (line.members - mean_x) * (value(line) - mean_y)).sum();
    let variance: f64 = lines.iter().map(|line| (line.members - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let start = mean_y - slope * mean_x;
    let residual: f64 =
        lines.iter().map(|line| (value(line) - start - slope * line.members).powi(2)).sum();
    let total: f64 = lines.iter().map(|line| (value(line) - mean_y).powi(2)).sum();
    let fit = 1.0 - residual / total;
    println!("{name}: {start:.3} + {slope:.4} per member, R2 {fit:.4}");
}
