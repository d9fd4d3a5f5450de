//! The failure domains that the operator has evacuated: nothing more is sent to their servers until the
//! operator takes them back.

use {
    crate::ports::WatchPosition,
    base::FailureDomainId,
    std::{
        collections::BTreeSet,
        hash::{Hash, Hasher},
    },
    twox_hash::XxHash64,
};

base::value_type!(
    /// A change of the evacuated failure domains.
    pub enum EvacuationChange {
        /// The operator evacuated the domain.
        Evacuated(FailureDomainId),
        /// The operator took the domain back.
        Restored(FailureDomainId),
    }
);

base::value_type!(
    /// The evacuated failure domains. A domain that is missing from a set which is complete as of a later
    /// position was taken back, so that of two sets the later one counts.
    #[derive(Default)]
    pub struct EvacuationSet {
        domains: BTreeSet<FailureDomainId>,
        /// All changes in the store up to this position are included.
        as_of: WatchPosition,
    }
);

base::value_type!(
    /// What a process tells another one about its set.
    #[derive(Copy, Default)]
    pub struct EvacuationClaim {
        /// The position as of which the set is complete.
        pub as_of: WatchPosition,
        /// A checksum of its domains.
        pub digest: u64,
    }
);

impl EvacuationSet {
    /// Whether nothing may be sent to servers in the domain.
    pub fn contains(&self, domain: &FailureDomainId) -> bool {
        self.domains.contains(domain)
    }

    /// The evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.domains.iter()
    }

    /// What this process tells others about the set.
    pub fn claim(&self) -> EvacuationClaim {
        let mut hasher = XxHash64::default();
        self.domains.hash(&mut hasher);
        EvacuationClaim { as_of: self.as_of, digest: hasher.finish() }
    }

    /// Whether a process that has the claimed set should have this one.
    pub fn is_news_to(&self, known: &EvacuationClaim) -> bool {
        self.as_of > known.as_of && self.claim().digest != known.digest
    }

    /// Applies the changes of a page that the store returned, and returns those that are new. A snapshot
    /// also takes back the domains that are missing from it, unless the store has come back from an
    /// older copy, which may have lost them.
    pub fn apply_page(
        &mut self,
        changes: Vec<EvacuationChange>,
        position: WatchPosition,
        is_snapshot: bool,
    ) -> Vec<EvacuationChange> {
        // Another process has told of later changes meanwhile.
        if position < self.as_of {
            return Vec::new();
        }
        let is_restored_copy =
            self.as_of != WatchPosition::default() && position.era > self.as_of.era;
        let mut domains = self.domains.clone();
        if is_snapshot && !is_restored_copy {
            domains.clear();
        }
        for change in changes {
            match change {
                EvacuationChange::Evacuated(domain) => domains.insert(domain),
                EvacuationChange::Restored(domain) => domains.remove(&domain),
            };
        }
        self.replace(Self { domains, as_of: position })
    }

    /// Takes the set of another process if it is complete as of a later position, and returns what
    /// changes.
    pub fn adopt(&mut self, other: Self) -> Vec<EvacuationChange> {
        if other.as_of > self.as_of { self.replace(other) } else { Vec::new() }
    }

    fn replace(&mut self, new: Self) -> Vec<EvacuationChange> {
        let evacuated = new.domains.difference(&self.domains).cloned();
        let restored = self.domains.difference(&new.domains).cloned();
        let changes = evacuated
            .map(EvacuationChange::Evacuated)
            .chain(restored.map(EvacuationChange::Restored))
            .collect();
        *self = new;
        changes
    }
}
