//! Several processes, a store, servers and the ways between them, on one clock.

use {
    super::{
        links::Links, process::Process, servers::ServerFleet, store::SimulatedStore,
        takeovers::TakeoverCheck,
    },
    base::{FabricDomainId, HostId, ManualClock, Tick, TickClock},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{sync::Arc, time::Duration},
};

const STEP: Duration = Duration::from_millis(20);
/// Servers of each fabric domain.
const SERVERS: usize = 5;

pub(crate) struct World {
    pub(crate) clock: Arc<ManualClock>,
    pub(crate) store: Arc<SimulatedStore>,
    pub(crate) links: Arc<Links>,
    pub(crate) fleet: Arc<ServerFleet>,
    pub(crate) domains: Vec<FabricDomainId>,
    /// The processes; `None` while one does not run.
    pub(crate) processes: Vec<Option<Process>>,
    timers: Vec<(Tick, Timer)>,
    takeovers: TakeoverCheck,
    pub(crate) random: Pcg64Mcg,
}

/// What happens at a set time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A process that was killed starts again.
    Start(usize),
    /// All ways work again.
    Heal,
    /// The store answers again.
    StoreUp,
}

impl World {
    pub(crate) fn new(seed: u64, processes: usize, domains: usize) -> Self {
        let clock = Arc::new(ManualClock::new());
        clock.advance(Duration::from_secs(1_000));
        let fleet = Arc::new(ServerFleet::new(clock.clone(), seed));
        let name = |number| FabricDomainId::new(format!("d{number}")).unwrap();
        let domains: Vec<FabricDomainId> = (0..domains).map(name).collect();
        for domain in &domains {
            (0..SERVERS).for_each(|_| fleet.add(domain));
        }
        let mut world = Self {
            clock,
            store: Arc::new(SimulatedStore::new(seed)),
            links: Arc::new(Links::default()),
            fleet,
            domains,
            processes: Vec::new(),
            timers: Vec::new(),
            takeovers: TakeoverCheck::new(processes),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        world.processes.resize_with(processes, || None);
        (0..processes).for_each(|index| world.start(index));
        world
    }

    pub(crate) fn start(&mut self, index: usize) {
        let Self { clock, store, links, fleet, random, .. } = self;
        self.processes[index] = Some(Process::start(index, clock, store, links, fleet, random));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    pub(crate) fn after(&mut self, span: Duration, timer: Timer) {
        self.timers.push((self.clock.now() + span, timer));
    }

    pub(crate) fn pause(&mut self, index: usize, span: Duration) {
        let until = self.clock.now() + span;
        if let Some(process) = &mut self.processes[index] {
            process.paused_until = until;
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.clock.now() + span;
        while self.clock.now() < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.clock.now();
        let is_due = |(at, _): &(Tick, Timer)| *at <= now;
        let due: Vec<Timer> =
            self.timers.iter().filter(|timer| is_due(timer)).map(|(_, timer)| *timer).collect();
        self.timers.retain(|timer| !is_due(timer));
        for timer in due {
            match timer {
                Timer::Start(index) if self.processes[index].is_none() => self.start(index),
                Timer::Start(_) => {}
                Timer::Heal => self.links.heal(),
                Timer::StoreUp => self.links.set_store_down(false),
            }
        }
        self.store.advance(now);
        self.fleet.advance(self.store.version());
        // Servers write to the list all the time.
        self.store.note_other_write();
        let mut sent = Vec::new();
        for (index, process) in self.processes.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            let messages = process.step(STEP, &mut self.random);
            sent.extend(messages.into_iter().map(|message| (index, message)));
        }
        self.takeovers.note(now, &self.processes, &self.links, &self.store, &self.domains);
        for (from, message) in sent {
            let is_lost = self.random.random_bool(0.02) || !self.links.reaches(from, message.to);
            if let Some(receiver) = self.processes[message.to].as_mut().filter(|_| !is_lost) {
                receiver.receive(message);
            }
        }
    }

    /// The owner of a domain as the store has it, if a process runs under its name.
    pub(crate) fn running_owner(&self, domain: &FabricDomainId) -> Option<HostId> {
        let owner = self.store.owner(domain)?;
        let mut running = self.processes.iter().flatten();
        running.find(|process| process.own == owner).map(|process| process.own.node.clone())
    }

    /// Cuts some processes off from the others, and maybe from the store and the servers.
    pub(crate) fn cut_off(&mut self, cut: &[usize], with_store: bool, with_servers: bool) {
        let one_way = self.random.random_bool(0.25);
        for process in 0..self.processes.len() {
            for other in cut.iter().copied().filter(|_| !cut.contains(&process)) {
                self.links.cut(process, other);
                if !one_way {
                    self.links.cut(other, process);
                }
            }
        }
        for process in cut {
            if with_store {
                self.links.cut_store(*process);
            }
            if with_servers {
                self.links.cut_servers(*process);
            }
        }
    }

    pub(crate) fn assert_no_violations(&self, what: &str) {
        let mut violations = self.fleet.violations();
        violations.extend(self.takeovers.violations.iter().cloned());
        assert!(violations.is_empty(), "{what}: {violations:?}");
    }
}
