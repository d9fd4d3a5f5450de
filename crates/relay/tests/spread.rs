//! How requests spread over groups when words about load are old.

use {
    base::{HostId, ModelName, Tick},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    relay::{BackendServer, ChoiceFacts, LoadWord, ServerChoice, choose_server, server::InFlight},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    yare::parameterized,
};

const SLOTS: u32 = 30;
/// Time between two questions to a head, and the age of what it says.
const WORD_INTERVAL_MS: u64 = 400;
const WORD_AGE_MS: u64 = 200;
const START: Tick = Tick(1_000_000_000_000);

/// Processes that choose among groups; one millisecond after the other.
struct SpreadRig {
    random: Pcg64Mcg,
    /// Each process's view of the groups.
    views: Vec<Vec<BackendServer>>,
    /// True loads, and those of the last moments.
    loads: Vec<u32>,
    past: VecDeque<Vec<u32>>,
    /// Requests by the millisecond of their end.
    ends: BTreeMap<u64, Vec<(usize, InFlight)>>,
}

impl SpreadRig {
    fn new(processes: usize, groups: usize, seed: u64) -> Self {
        let group = |at| BackendServer {
            id: HostId::new(format!("g{at}")).unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            failure_domain: base::FailureDomainId::new("z").unwrap(),
            model: Some(ModelName::new("m").unwrap()),
            counters: Arc::default(),
        };
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            views: (0..processes).map(|_| (0..groups).map(group).collect()).collect(),
            loads: vec![0; groups],
            past: VecDeque::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Plays `span_ms` with `arrivals` requests a second; gives back the loads that requests met in
    /// the second half.
    fn play(&mut self, span_ms: u64, arrivals: f64) -> Vec<u32> {
        let mut met = Vec::new();
        for ms in 0..span_ms {
            let now = START + Duration::from_millis(ms);
            for (group, held) in self.ends.remove(&ms).unwrap_or_default() {
                self.loads[group] -= 1;
                drop(held);
            }
            self.past.push_back(self.loads.clone());
            if self.past.len() as u64 > WORD_AGE_MS {
                self.past.pop_front();
            }
            self.tell(ms, now);
            let mut due = arrivals / 1_000.0;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    let load = self.send(ms, now);
                    if ms > span_ms / 2 {
                        met.push(load);
                    }
                }
                due -= 1.0;
            }
        }
        met.sort_unstable();
        met
    }

    fn tell(&mut self, ms: u64, now: Tick) {
        let groups = self.loads.len() as u64;
        for group in 0..groups {
            let turn = ms + group * WORD_INTERVAL_MS / groups;
            if turn.is_multiple_of(WORD_INTERVAL_MS) {
                let running = self.past[0][group as usize];
                for view in &self.views {
                    let word = LoadWord { running, waiting: 0, slots: SLOTS };
                    view[group as usize].counters.note_load(word, now);
                }
            }
        }
    }

    fn send(&mut self, ms: u64, now: Tick) -> u32 {
        let process = self.random.random_range(0..self.views.len());
        let facts = ChoiceFacts { tried: &[], draw: self.random.random(), now };
        let view = &self.views[process];
        let ServerChoice::Server(server) = choose_server(view.iter(), &facts) else { return SLOTS };
        let group = view.iter().position(|known| known.id == server.id).unwrap();
        let held = server.counters.start();
        self.loads[group] += 1;
        let load = self.loads[group];
        // Streams last about a second, longer in a fuller batch.
        let usual = self.random.random_range(200.0..1_100.0);
        let took = usual * (1.0 + 0.02 * f64::from(load));
        self.ends.entry(ms + 1 + took as u64).or_default().push((group, held));
        load
    }
}

/// Load pattern: a hundred processes send five hundred requests a second to twenty-two groups and
/// hear of their load after some hundred milliseconds. The cheaper of two, taken each time, sent
/// every process to the same groups until the next word: a tenth of the requests met batches a third
/// above the mean, more than with groups picked at random, and pauses between events grew with it
/// (preisfeld-hq-grown, scale-1).
#[parameterized(
    hundred_processes = { 103, 22, 480.0 },
    dozen_processes = { 12, 8, 170.0 },
)]
fn old_words_are_no_worse_than_chance(processes: usize, groups: usize, arrivals: f64) {
    let seeds = 6;
    let mut excess = 0.0;
    let mut chance = 0.0;
    for seed in 0..seeds {
        let met = SpreadRig::new(processes, groups, seed).play(16_000, arrivals);
        let mean = met.iter().sum::<u32>() as f64 / met.len() as f64;
        excess += f64::from(met[met.len() * 9 / 10]) / mean / seeds as f64;
        // The same quantile where each request picks a group by itself: loads spread as a Poisson
        // distribution.
        chance += (1.0 + 1.28 / mean.sqrt()) / seeds as f64;
    }
    assert!(excess <= chance, "a tenth meets {excess:.3} of the mean, by chance {chance:.3}");
}
