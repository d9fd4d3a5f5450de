//! Compares the routing, retry and limit strategies with alternatives in seeded simulations with
//! simulated time: `cargo bench -p route --bench decisions -- routing|retries|limits`.
//!
//! Each experiment prints a Markdown table and writes it, with an SVG chart, to
//! `docs/design/routing/`.

mod limits;
mod report;
mod retries;
mod routing;
mod routing_strategy;
mod traffic;

/// Number of seeds per experiment.
const SEEDS: u64 = 20;

fn main() {
    // Options are skipped because Cargo passes `--bench` to every bench target.
    let names: Vec<_> = std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let selected = |name: &str| names.is_empty() || names.iter().any(|other| other == name);
    if selected("routing") {
        routing::report(SEEDS);
    }
    if selected("retries") {
        retries::report(SEEDS);
    }
    if selected("limits") {
        limits::report(SEEDS);
    }
}
