//! Makes a given number of decisions, so that an external tool can count instructions per decision.
//!
//! Run `valgrind --tool=callgrind target/release/examples/instructions choose 150 1000` and the
//! same with 2000; the difference in instructions divided by the difference in decisions is the
//! cost of one decision. `admit` instead of `choose` measures the admission of a request by a
//! [`ShareGate`].

#[path = "../benches/fixture/mod.rs"]
mod fixture;

use {
    crate::fixture::{CANDIDATES, PROMPTS, prompt, targets},
    base::{RatePerSecond, Tick},
    route::{BoundedAffinity, ChoiceRequest, PrefixTable, Share, ShareGate, choose_target},
    std::{hint::black_box, process::ExitCode, sync::Arc},
};

/// Simulated time between two decisions.
const INTERVAL_NANOS: u64 = 1_000_000;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments.get(index).and_then(|argument| argument.parse().ok());
    match (arguments.first().map(String::as_str), number(1), number(2)) {
        (Some("choose"), Some(groups), Some(count)) => choose(groups, count as u64),
        (Some("admit"), Some(_), Some(count)) => admit(count as u64),
        _ => {
            eprintln!("usage: instructions choose|admit GROUPS COUNT");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

fn choose(groups: usize, count: u64) {
    let targets = targets(groups);
    let prompts: Vec<_> = (0..PROMPTS).map(prompt).collect();
    let prefixes = Arc::new(PrefixTable::new(1 << 16));
    let policy = BoundedAffinity { candidates: CANDIDATES, ..BoundedAffinity::new(prefixes) };
    for number in 0..count {
        let prompt = &prompts[(number % PROMPTS) as usize];
        let now = Tick((number + 1) * INTERVAL_NANOS);
        let request = ChoiceRequest { prefixes: prompt, tried: &[], random_number: number, now };
        black_box(choose_target(&policy, &request, &targets));
    }
}

fn admit(count: u64) {
    let share = Share { requests_per_second: RatePerSecond(10_000.0), in_flight: 100 };
    let gate = Arc::new(ShareGate::new(share, Tick(1)));
    for number in 0..count {
        let started = gate.try_start(Tick((number + 1) * INTERVAL_NANOS));
        assert!(black_box(started).is_ok(), "the share has room");
    }
}
