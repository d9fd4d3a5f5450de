//! Random events for the world of processes.

use {
    super::world::World,
    rand::{Rng, seq::index},
    std::{ops::Range, time::Duration},
};

/// Events of one schedule.
const EVENTS: usize = 8;

/// The seeds to play: `count` from 0 on, or those in `OWNERSHIP_SEEDS`, as `FIRST..END`.
pub(crate) fn seeds(count: u64) -> Range<u64> {
    let Ok(text) = std::env::var("OWNERSHIP_SEEDS") else { return 0..count };
    let (first, end) = text.split_once("..").expect("OWNERSHIP_SEEDS is FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

impl World {
    /// Plays random events up to 4 s apart, which overlap; all ways work again at the end, and the
    /// processes that come back have done so.
    ///
    /// - Some processes are cut off from the others both ways or one way, maybe also from the store or
    ///   from the servers.
    /// - A process stands still, or ends and starts again; all end, and some stay away.
    /// - All servers of a domain crash and come back at their addresses under new ids.
    /// - The store answers nobody.
    pub(crate) fn run_schedule(&mut self) {
        self.run(Duration::from_secs(6));
        for _ in 0..EVENTS {
            self.random_event();
            let pause = self.random.random_range(100..4_000);
            self.run(Duration::from_millis(pause));
        }
        self.links.heal();
        // The longest absence of a process that comes back.
        self.run(Duration::from_secs(4));
        if self.processes.iter().all(Option::is_none) {
            self.start(0);
        }
    }

    fn random_event(&mut self) {
        let count = self.processes.len();
        let process = self.random.random_range(0..count);
        match self.random.random_range(0..11_u32) {
            0..=2 => {
                let most = self.random.random_range(1..=count.div_ceil(2));
                let cut = index::sample(&mut self.random, count, most).into_vec();
                let with_store = self.random.random_bool(0.6);
                let with_servers = self.random.random_bool(0.3);
                self.cut_off(&cut, with_store, with_servers);
                let span = self.random.random_range(500..9_000);
                self.run(Duration::from_millis(span));
                self.links.heal();
            }
            3 | 4 => {
                let span = self.random.random_range(300..7_000);
                self.pause(process, Duration::from_millis(span));
            }
            5 => self.end_and_return(process, 0.7),
            6 => (0..count).for_each(|process| self.end_and_return(process, 0.6)),
            7..=9 => {
                let domain = self.domains[self.random.random_range(0..self.domains.len())].clone();
                let span = self.random.random_range(500..3_000);
                self.fleet.crash(&domain, Duration::from_millis(span));
            }
            _ => {
                self.links.set_store_down(true);
                let span = self.random.random_range(300..5_000);
                self.run(Duration::from_millis(span));
                self.links.set_store_down(false);
            }
        }
    }

    /// Ends a process, which comes back with this probability.
    fn end_and_return(&mut self, process: usize, probability: f64) {
        if self.processes[process].is_none() {
            return;
        }
        self.kill(process);
        if self.random.random_bool(probability) {
            let span = self.random.random_range(300..4_000);
            self.restart_after(process, Duration::from_millis(span));
        }
    }
}
