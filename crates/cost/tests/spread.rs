//! Where requests of unlike cost go, on servers of unlike speed, with 12 to 295 processes.

mod model;

use {
    model::{ChoiceRule, LoadModel, ModelLoad, level_engines, steep_engines},
    yare::parameterized,
};

const SEEDS: u64 = 4;
/// Callers of streams want the first event within this time.
const AIM_MS: f64 = 300.0;

/// Share of first events that come later than callers want, and the 99th percentile in milliseconds.
fn late_share(load: ModelLoad, rule: ChoiceRule) -> (f64, f64) {
    let mut waits: Vec<f64> =
        (1..=SEEDS).flat_map(|seed| LoadModel::play(load, rule, seed)).collect();
    waits.sort_by(f64::total_cmp);
    let late = waits.iter().filter(|wait| **wait > AIM_MS).count() as f64 / waits.len() as f64;
    let p99 = waits[waits.len() * 99 / 100];
    println!(
        "{:>3} processes, {:>3} servers, slow {:?}: {rule:?}: p50 {:.0} p90 {:.0} p99 {p99:.0} ms, \
         late {late:.4} of {}",
        load.processes,
        load.servers,
        load.slow,
        waits[waits.len() / 2],
        waits[waits.len() * 9 / 10],
        waits.len()
    );
    (late, p99)
}

const EVEN: ModelLoad = ModelLoad {
    processes: 12,
    servers: 12,
    requests_per_s: 110.0,
    mean_prompt: 915.0,
    mean_events: 20.0,
    speed: steep_engines,
    slow: (0.0, 1.0),
};

/// Engines that are full at times.
const FULL: ModelLoad = ModelLoad {
    processes: 12,
    servers: 12,
    requests_per_s: 112.0,
    mean_prompt: 720.0,
    mean_events: 36.0,
    speed: level_engines,
    slow: (0.0, 1.0),
};

fn scaled(load: ModelLoad, processes: usize, times: f64, slow: (f64, f64)) -> ModelLoad {
    let servers = (load.servers as f64 * times) as usize;
    let requests_per_s = load.requests_per_s * times;
    ModelLoad { processes, servers, requests_per_s, slow, ..load }
}

/// Requests of unlike size on servers of which some turn slow: by requests and response times alone,
/// a server five times as slow still gets many, because each process rarely sees one answer of it.
#[parameterized(
    dozen = { 12, 1.0 },
    thirty = { 29, 2.0 },
    hundred = { 97, 3.0 },
    three_hundred = { 295, 6.0 },
)]
fn slow_servers_get_less(processes: usize, times: f64) {
    let load = scaled(EVEN, processes, times, (0.17, 5.0));
    let (by_requests, _) = late_share(load, ChoiceRule::Requests);
    let (by_work, _) = late_share(load, ChoiceRule::Work);
    late_share(load, ChoiceRule::Random);
    late_share(load, ChoiceRule::Clairvoyant);
    assert!(
        by_work < 0.75 * by_requests,
        "late: {by_work:.4} by work, {by_requests:.4} by requests"
    );
}

/// Equal load reports on all processes must not send all of them to the same servers: with servers of
/// equal speed the choice is no worse than one by requests, or at random.
#[parameterized(
    dozen = { 12, 1.0 },
    thirty = { 29, 2.0 },
    hundred = { 97, 3.0 },
    three_hundred = { 295, 6.0 },
)]
fn processes_do_not_herd(processes: usize, times: f64) {
    let load = scaled(EVEN, processes, times, (0.0, 1.0));
    let (_, by_requests) = late_share(load, ChoiceRule::Requests);
    let (_, by_work) = late_share(load, ChoiceRule::Work);
    let (_, at_random) = late_share(load, ChoiceRule::Random);
    late_share(load, ChoiceRule::Clairvoyant);
    let best = by_requests.min(at_random);
    assert!(by_work < 1.1 * best, "p99: {by_work:.0} ms by work, {best:.0} ms by another rule");
}

/// Engines that are full at times: whoever fills some of them while others have free slots makes requests
/// wait for the end of an answer.
#[parameterized(
    dozen = { 12, 1.0 },
    thirty = { 29, 2.0 },
    hundred = { 97, 3.0 },
    three_hundred = { 295, 6.0 },
)]
fn full_servers_get_less(processes: usize, times: f64) {
    let load = scaled(FULL, processes, times, (0.0, 1.0));
    let (by_requests, _) = late_share(load, ChoiceRule::Requests);
    let (by_work, _) = late_share(load, ChoiceRule::Work);
    late_share(load, ChoiceRule::Random);
    late_share(load, ChoiceRule::Clairvoyant);
    assert!(
        by_work < 1.05 * by_requests,
        "late: {by_work:.4} by work, {by_requests:.4} by requests"
    );
}
