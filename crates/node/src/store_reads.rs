//! Counts the reads of the store by table and reason.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
    std::hash::Hash,
};

/// Why a process reads a table from the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// It reads for others, or knows no process to read from.
    Watcher,
    /// It waits for engines of a fabric domain that it owns.
    BusyOwner,
    /// The process that it reads from did not answer or does not have the position.
    Fallback,
    /// It has become the owner of a fabric domain, and needs to know the present servers.
    NewOwner,
    /// It has nothing yet, or the history after its position is gone.
    FullRead,
}

impl ReadReason {
    fn label(self) -> &'static str {
        match self {
            Self::Watcher => "watcher",
            Self::BusyOwner => "busy-owner",
            Self::Fallback => "fallback",
            Self::NewOwner => "new-owner",
            Self::FullRead => "full-read",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReadLabels {
    table: &'static str,
    reason: &'static str,
}

/// The reads of the store by this process since its start. A read of many pages counts once.
#[derive(Debug, Default)]
pub struct StoreReads {
    reads: Family<ReadLabels, Counter>,
}

impl StoreReads {
    pub(crate) fn note(&self, table: &'static str, reason: ReadReason) {
        self.reads.get_or_create(&ReadLabels { table, reason: reason.label() }).inc();
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("store_reads", "Reads of the store by reason", self.reads.clone());
    }

    /// Number of reads of a table for a reason.
    pub fn count(&self, table: &'static str, reason: ReadReason) -> u64 {
        self.reads.get_or_create(&ReadLabels { table, reason: reason.label() }).get()
    }
}
