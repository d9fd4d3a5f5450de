//! A model of processes that pass the configuration on, without network and store: messages with
//! delays, processes that freeze, die or are cut off, and a store that does not serve all.

mod process;
mod store;
mod world;

pub(crate) use {
    process::Reach,
    world::{Fault, Policy, SpreadWorld},
};

/// Milliseconds since the start of a run.
pub(crate) type Millis = u64;

/// The times, in milliseconds, from the acknowledgement of a version, or the end of a process's own
/// trouble after it, until the process has it.
#[derive(Debug, Default)]
pub(crate) struct Delays {
    sorted: Vec<Millis>,
}

impl Delays {
    pub(crate) fn add(&mut self, delays: impl IntoIterator<Item = Millis>) {
        self.sorted.extend(delays);
        self.sorted.sort_unstable();
    }

    /// The delay below which this share of all lies.
    pub(crate) fn quantile(&self, share: f64) -> Millis {
        let index = (self.sorted.len() as f64 * share) as usize;
        self.sorted[index.min(self.sorted.len() - 1)]
    }

    pub(crate) fn worst(&self) -> Millis {
        self.quantile(1.0)
    }
}
