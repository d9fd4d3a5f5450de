//! The store of the model, and the reads of processes that go to it.

use super::{
    Millis,
    process::{Reach, tick},
    world::{Event, SpreadWorld},
};

const SHORT_POLL_MS: Millis = 1_400;
const STORE_MARGIN_MS: Millis = 700;
const STORE_MS: Millis = 4;
const STALE_MS: Millis = 3_000;

impl SpreadWorld {
    pub(super) fn read_store(&mut self, by: usize, is_full: bool) {
        let now = self.now;
        let read = self.processes[by].read;
        self.store_calls += 1;
        let known = self.processes[by].tracker.claim(tick(now)).stamp.version;
        let transfer = self.config_bytes / self.processes[by].bytes_per_ms;
        match self.processes[by].reach {
            Reach::Refuses => {
                let after = now + STORE_MS;
                self.push(after, Event::StoreAnswer { to: by, read, version: None, age: 0 });
            }
            Reach::Silent => {
                let after = now + SHORT_POLL_MS + STORE_MARGIN_MS;
                self.push(after, Event::StoreAnswer { to: by, read, version: None, age: 0 });
            }
            reach => {
                let newest = self.newest(reach);
                let version = Some(newest.max(known));
                if is_full || newest > known {
                    let after = now + STORE_MS + transfer;
                    self.push(after, Event::StoreAnswer { to: by, read, version, age: transfer });
                } else {
                    self.held_by_store.push((by, read));
                    self.push(now + SHORT_POLL_MS, Event::StoreExpire { to: by, read });
                }
            }
        }
    }

    /// The newest version as the store shows it.
    fn newest(&self, reach: Reach) -> u64 {
        let lag = if reach == Reach::Stale { STALE_MS } else { 0 };
        let until = self.now.saturating_sub(lag);
        let acked = self.acked.iter().filter(|(_, acked)| **acked <= until);
        acked.map(|(version, _)| *version).max().unwrap_or(1)
    }

    /// Answers the watches that the store holds, after a change.
    pub(super) fn answer_held(&mut self, version: u64) {
        for (to, read) in std::mem::take(&mut self.held_by_store) {
            let process = &self.processes[to];
            if process.read == read && process.reach == Reach::Serves {
                let transfer = self.config_bytes / process.bytes_per_ms;
                let after = self.now + STORE_MS + transfer;
                let version = Some(version);
                self.push(after, Event::StoreAnswer { to, read, version, age: transfer });
            } else {
                self.held_by_store.push((to, read));
            }
        }
    }

    pub(super) fn expire_held(&mut self, to: usize, read: u64) {
        let now = self.now;
        let known = self.held_by_store.len();
        self.held_by_store.retain(|held| *held != (to, read));
        if known == self.held_by_store.len() {
            return;
        }
        let reach = self.processes[to].reach;
        let after = if reach == Reach::Silent { STORE_MARGIN_MS } else { STORE_MS };
        let answers = matches!(reach, Reach::Serves | Reach::Stale);
        let version = answers.then(|| self.newest(reach));
        self.push(now + after, Event::StoreAnswer { to, read, version, age: STORE_MS });
    }

    pub(super) fn take_from_store(&mut self, by: usize, version: Option<u64>, age: Millis) {
        let now = self.now;
        let process = &mut self.processes[by];
        let Some(version) = version else {
            process.failures += 1;
            let pause = (100 << process.failures.min(3)) / 2;
            return self.next_read(by, pause.min(400));
        };
        process.failures = 0;
        process.tracker.confirm(tick(now.saturating_sub(age)));
        let is_newer = version > process.tracker.claim(tick(now)).stamp.version;
        if is_newer {
            self.set_version(by, version);
        }
        self.answer_parked(by);
        self.next_read(by, if is_newer { 100 } else { 0 });
    }
}
