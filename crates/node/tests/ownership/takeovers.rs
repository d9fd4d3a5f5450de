//! Checks that no domain is taken from an owner that could have answered.

use {
    super::{links::Links, process::Process, store::SimulatedStore},
    base::{FabricDomainId, Tick},
    node::rows::RowOwner,
    std::{collections::BTreeMap, time::Duration},
};

/// How long an owner must have run and reached the store until it is sure to answer: a watch that hung
/// is opened again, the challenge read and the answer written.
const SURE_TO_ANSWER: Duration = Duration::from_millis(2_000);

/// Since when each process runs and reaches the store, and who owned each domain.
pub(crate) struct TakeoverCheck {
    sound_since: Vec<Option<Tick>>,
    owners: BTreeMap<FabricDomainId, RowOwner>,
    pub(crate) violations: Vec<String>,
}

impl TakeoverCheck {
    pub(crate) fn new(processes: usize) -> Self {
        Self { sound_since: vec![None; processes], owners: BTreeMap::new(), violations: Vec::new() }
    }

    pub(crate) fn note(
        &mut self,
        now: Tick,
        processes: &[Option<Process>],
        links: &Links,
        store: &SimulatedStore,
        domains: &[FabricDomainId],
    ) {
        for domain in domains {
            let Some(owner) = store.owner(domain) else { continue };
            let before = self.owners.insert(domain.clone(), owner.clone());
            let Some(before) = before.filter(|before| *before != owner) else { continue };
            let mut running = processes.iter().flatten();
            let index = running.find(|process| process.own == before).map(|process| process.index);
            let sound_since = index.and_then(|index| self.sound_since[index]);
            if sound_since.is_some_and(|since| now.since(since) >= SURE_TO_ANSWER) {
                self.violations.push(format!(
                    "{now:?}: {domain} is taken from {} by {}",
                    before.node, owner.node
                ));
            }
        }
        for (index, since) in self.sound_since.iter_mut().enumerate() {
            let is_sound = processes[index].as_ref().is_some_and(|process| !process.is_paused())
                && links.reaches_store(index);
            *since = is_sound.then(|| since.unwrap_or(now));
        }
    }
}
