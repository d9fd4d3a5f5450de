//! Limits of servers kept by many processes together, with lost messages and disturbed processes.

#[path = "model/world.rs"]
mod world;

use {
    world::{Disturbance, Outcome, Scenario, World},
    yare::parameterized,
};

const CALM: Scenario = Scenario {
    processes: 12,
    limited: 10,
    rates: (0.5, 12.0),
    hot_share: 0.0,
    loss: 0.0,
    disturbance: Disturbance::Nothing,
    alone: false,
    returns: false,
};
/// Groups of a failure domain that the operator takes back, at a usual rate of cold servers.
const RETURN: Scenario = Scenario { limited: 12, rates: (14.0, 14.0), returns: true, ..CALM };
/// Seeds of each case; `LIMIT_SEEDS` sets another number for a long run by hand.
const SEEDS: u64 = 10;
/// Time in which all processes must know of a limit, or of its end.
const KNOWN_WITHIN_MS: u64 = 3_000;
/// Requests above the rate in a window of 4 s that are aimed at where nothing is disturbed.
const AIM_ABOVE_RATE: f64 = 3.0;

fn seeds() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Plays the seeds and prints the distributions.
fn play(scenario: Scenario) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> =
        (0..seeds()).map(|seed| World::new(scenario, seed).run()).collect();
    let line = |name: &str, value: &dyn Fn(&Outcome) -> f64| {
        let mut values: Vec<f64> = outcomes.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let last = values.len() - 1;
        println!("{name}: {:.2} {:.2} {:.2}", values[0], values[last / 2], values[last]);
    };
    println!("{scenario:?}: least, median, most");
    line("fullest window over allowed", &|outcome| outcome.fullest);
    line("requests above the rate in 4 s", &|outcome| outcome.above_rate);
    line("used", &|outcome| outcome.used);
    line("known after, ms", &|outcome| outcome.known_after_ms as f64);
    line("ended after, ms", &|outcome| outcome.ended_after_ms as f64);
    line("datagrams for a server", &|outcome| outcome.datagrams);
    outcomes
}

/// All processes together went above the limit that each of them kept.
#[parameterized(
    few = { CALM },
    many = { Scenario { processes: 103, limited: 40, ..CALM } },
    most = { Scenario { processes: 295, limited: 40, ..CALM } },
    one_server = { Scenario { processes: 103, limited: 1, ..CALM } },
    high_limits = { Scenario { processes: 103, limited: 10, rates: (20.0, 50.0), ..CALM } },
    hot_process = { Scenario { processes: 103, limited: 40, hot_share: 0.5, ..CALM } },
    lossy = { Scenario { processes: 103, limited: 40, loss: 0.1, ..CALM } },
)]
fn limits_are_kept_together(scenario: Scenario) {
    for (seed, outcome) in play(scenario).iter().enumerate() {
        assert!(outcome.fullest <= 1.0, "seed {seed}: {outcome:?}");
        assert!(outcome.above_rate <= AIM_ABOVE_RATE, "seed {seed}: {outcome:?}");
        assert!(outcome.known_after_ms <= KNOWN_WITHIN_MS, "seed {seed}: {outcome:?}");
        assert!(outcome.ended_after_ms <= KNOWN_WITHIN_MS, "seed {seed}: {outcome:?}");
    }
}

/// All processes turned to the idle servers of a failure domain as soon as it was back, and more arrived
/// there than cold servers tolerate. Half of the rate is used although each process learns of the return
/// at another time.
#[parameterized(
    few = { RETURN },
    many = { Scenario { processes: 97, ..RETURN } },
    most = { Scenario { processes: 295, ..RETURN } },
    hot_process = { Scenario { processes: 97, hot_share: 0.5, ..RETURN } },
    lossy = { Scenario { processes: 97, loss: 0.1, ..RETURN } },
    low_rate = { Scenario { processes: 97, rates: (2.0, 2.0), ..RETURN } },
)]
fn cold_servers_get_what_they_tolerate(scenario: Scenario) {
    for (seed, outcome) in play(scenario).iter().enumerate() {
        assert!(outcome.fullest <= 1.0, "seed {seed}: {outcome:?}");
        assert!(outcome.used >= 0.5, "seed {seed}: {outcome:?}");
    }
}

/// The planted fault: each process lets as many requests pass as a cold server tolerates from all.
#[test]
fn a_cold_server_that_each_process_spares_by_itself_is_found_overloaded() {
    let outcomes = play(Scenario { processes: 97, alone: true, ..RETURN });
    assert!(outcomes.iter().all(|outcome| outcome.fullest > 1.0), "{outcomes:?}");
}

/// Processes that start, stand still or are cut off from the others took the place of those that
/// shared a limit before the others knew.
#[parameterized(
    kills_few = { Scenario { disturbance: Disturbance::Kills, loss: 0.1, ..CALM } },
    kills_many = {
        Scenario { processes: 103, limited: 40, disturbance: Disturbance::Kills, loss: 0.1, ..CALM }
    },
    freezes_few = { Scenario { disturbance: Disturbance::Freezes, loss: 0.1, ..CALM } },
    freezes_many = {
        Scenario {
            processes: 103, limited: 40, disturbance: Disturbance::Freezes, loss: 0.1, ..CALM
        }
    },
    partition_few = { Scenario { disturbance: Disturbance::Partition, ..CALM } },
    partition_many = {
        Scenario { processes: 103, limited: 40, disturbance: Disturbance::Partition, ..CALM }
    },
)]
fn limits_are_kept_beside_disturbed_processes(scenario: Scenario) {
    for (seed, outcome) in play(scenario).iter().enumerate() {
        assert!(outcome.fullest <= 1.0, "seed {seed}: {outcome:?}");
        assert!(outcome.known_after_ms <= KNOWN_WITHIN_MS, "seed {seed}: {outcome:?}");
    }
}

/// The planted fault: each process keeps the limit by itself.
#[test]
fn a_limit_that_each_process_keeps_by_itself_is_found_broken() {
    let outcomes = play(Scenario { alone: true, ..CALM });
    assert!(outcomes.iter().all(|outcome| outcome.fullest > 1.0), "{outcomes:?}");
}

/// The part of the rate that callers get while they want more.
#[parameterized(
    few = { CALM },
    many = { Scenario { processes: 103, limited: 40, ..CALM } },
)]
fn limits_are_used_while_there_is_demand(scenario: Scenario) {
    for (seed, outcome) in play(scenario).iter().enumerate() {
        assert!(outcome.used >= 0.8, "seed {seed}: {outcome:?}");
    }
}
