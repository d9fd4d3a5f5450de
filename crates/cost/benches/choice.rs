//! Processor time of one choice among the servers of a model.

use {
    base::{RatePerSecond, TokenCount},
    cost::{EngineSpeed, ServerWork, UsualSize, pick_candidate},
    std::{collections::BTreeMap, time::Duration},
};

fn main() {
    divan::main();
}

#[divan::bench(args = [3, 18, 36, 72])]
fn choose(bencher: divan::Bencher<'_, '_>, servers: usize) {
    let speed = EngineSpeed {
        step: Duration::from_micros(6_070),
        step_per_stream: Duration::from_micros(241),
        step_per_context: Duration::from_micros(5),
        read_rate: RatePerSecond(46_000.0),
        read_pairs: Duration::from_micros(700),
        stride: 5,
        slots: 34,
        usual: UsualSize { prompt: TokenCount(915), answer: TokenCount(108) },
        paces: BTreeMap::new(),
    };
    let works: Vec<ServerWork> = (0..servers)
        .map(|server| ServerWork {
            requests: (server % 40) as f64,
            own: 1.0,
            unread: 900.0,
            unwritten: 100.0,
            pace: 1.1,
            failing: 0.0,
        })
        .collect();
    let mut sample = 0_u64;
    bencher.bench_local(move || {
        sample = sample.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let paces: Vec<f64> = works.iter().map(|work| work.pace).collect();
        let wait = |index: usize| works[index].first_event(&speed, 0.6, TokenCount(1_400));
        pick_candidate(&paces, wait, sample)
    });
}
