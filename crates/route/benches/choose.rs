//! Measures the time of one routing decision for different numbers of groups: `cargo bench -p route
//! --bench choose`.

mod fixture;

use {
    crate::fixture::{CANDIDATES, PROMPTS, prompt, targets},
    base::Tick,
    divan::{Bencher, black_box},
    route::{BoundedAffinity, ChoiceRequest, PrefixTable, choose_target},
    std::{cell::Cell, sync::Arc},
};

/// Number of distinct prompts in [`high_demand_prefix`], low enough for each to have several homes
/// (see [`route::choose`]).
const HIGH_DEMAND_PROMPTS: u64 = 4;

fn main() {
    divan::main();
}

/// Measures a decision with 4 candidates, cycling through `count` prompts. With `cached`, the
/// prefix table has a group that caches the first block of each prompt.
fn decide(bencher: Bencher<'_, '_>, groups: usize, count: u64, cached: bool) {
    let targets = targets(groups);
    let prefixes = Arc::new(PrefixTable::new(1 << 16));
    let prompts: Vec<_> = (0..count).map(prompt).collect();
    if cached {
        for (number, prompt) in prompts.iter().enumerate() {
            prefixes.note_stored(prompt[0], targets[number % groups].tag);
        }
    }
    let policy = BoundedAffinity { candidates: CANDIDATES, ..BoundedAffinity::new(prefixes) };
    let next = Cell::new(0_u64);
    bencher.bench_local(|| {
        let number = next.get();
        next.set(number + 1);
        let prompt = &prompts[(number % count) as usize];
        let request =
            ChoiceRequest { prefixes: prompt, tried: &[], random_number: number, now: Tick(1_000) };
        black_box(choose_target(&policy, &request, &targets))
    });
}

#[divan::bench(args = [15, 60, 150])]
fn known_prefix(bencher: Bencher<'_, '_>, groups: usize) {
    decide(bencher, groups, PROMPTS, true);
}

#[divan::bench(args = [15, 60, 150])]
fn new_prefix(bencher: Bencher<'_, '_>, groups: usize) {
    decide(bencher, groups, PROMPTS, false);
}

#[divan::bench(args = [15, 60, 150])]
fn high_demand_prefix(bencher: Bencher<'_, '_>, groups: usize) {
    decide(bencher, groups, HIGH_DEMAND_PROMPTS, false);
}
