//! Random events for the world of processes.

use {
    super::{
        process::Process,
        world::{Timer, World},
    },
    base::FabricDomainId,
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
    /// - All servers of a domain crash and come back at their addresses under new ids, maybe just before
    ///   their owner ends or stands still.
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
        let domain = self.domains[self.random.random_range(0..self.domains.len())].clone();
        match self.random.random_range(0..14_u32) {
            0..=3 => self.cut_some(),
            4 | 5 => {
                let span = self.random_span(300..7_000);
                self.pause(process, span);
            }
            6 => self.end_and_return(process, 0.7),
            7 => (0..count).for_each(|process| self.end_and_return(process, 0.6)),
            8..=10 => {
                let span = self.random_span(500..3_000);
                self.fleet.crash(&domain, span);
            }
            11 | 12 => self.crash_beside_owner(&domain),
            _ => {
                self.links.set_store_down(true);
                let span = self.random_span(300..5_000);
                self.after(span, Timer::StoreUp);
            }
        }
    }

    fn random_span(&mut self, millis: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(millis))
    }

    /// Cuts some processes off; all ways work again after a while.
    fn cut_some(&mut self) {
        let count = self.processes.len();
        let most = self.random.random_range(1..=count.div_ceil(2));
        let cut = index::sample(&mut self.random, count, most).into_vec();
        let with_store = self.random.random_bool(0.6);
        let with_servers = self.random.random_bool(0.3);
        self.cut_off(&cut, with_store, with_servers);
        let span = self.random_span(500..9_000);
        self.after(span, Timer::Heal);
    }

    /// Crashes the servers of a domain and takes its owner away once groups form again.
    fn crash_beside_owner(&mut self, domain: &FabricDomainId) {
        let span = self.random_span(300..1_500);
        self.fleet.crash(domain, span);
        let span = self.random_span(500..4_000);
        self.run(span);
        let owner = self.running_owner(domain);
        let is_owner = |process: &Process| Some(&process.own.node) == owner.as_ref();
        let index = self.processes.iter().flatten().find(|process| is_owner(process));
        let Some(index) = index.map(|process| process.index) else { return };
        match self.random.random_range(0..3_u32) {
            0 => self.end_and_return(index, 0.5),
            1 => {
                let span = self.random_span(2_000..7_000);
                self.pause(index, span);
            }
            _ => {
                self.cut_off(&[index], true, false);
                let span = self.random_span(2_000..9_000);
                self.after(span, Timer::Heal);
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
            let span = self.random_span(300..4_000);
            self.after(span, Timer::Start(process));
        }
    }
}
