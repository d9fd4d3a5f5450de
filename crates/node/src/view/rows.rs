//! The member and owner rows in the local view.

use {
    super::ViewState,
    crate::{
        owners::OwnedRow,
        ports::{RowChange, WatchPage},
        rows::{ChallengeRow, MemberRow, OwnerRow, RowName, RowOwner, read_value},
    },
    base::{FabricDomainId, HostId, RowVersion, StoreEra, Tick},
    std::collections::BTreeMap,
    tracing::info,
};

/// A challenge in the store with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownChallenge {
    /// Who is asked by whom.
    pub row: ChallengeRow,
    /// The version of the row, which the removal of a process that does not answer expects.
    pub version: RowVersion,
}

/// The rows of a full read, decoded.
#[derive(Default)]
struct RowSnapshot {
    members: BTreeMap<HostId, MemberRow>,
    domains: BTreeMap<FabricDomainId, OwnedRow>,
    challenges: BTreeMap<HostId, KnownChallenge>,
}

impl ViewState {
    /// The store's era of the last page of rows.
    pub fn row_era(&self) -> StoreEra {
        self.row_era
    }

    pub(super) fn apply_row_page(&mut self, page: WatchPage<RowChange>, now: Tick) {
        let era = page.position.era;
        let restored = self.rows_loaded && page.is_snapshot && era > self.row_era;
        self.row_era = self.row_era.max(era);
        self.rows_loaded = true;
        if restored {
            self.restore_rows(RowSnapshot::read(page.changes, era), now);
            return;
        }
        if page.is_snapshot {
            self.remove_missing_rows(&page.changes);
        }
        for change in page.changes {
            self.apply_row(change, era, now);
        }
    }

    /// Applies the rows of a store that came back from an older copy. What is known from before is
    /// newer: processes write their own rows again, and owners their claims.
    fn restore_rows(&mut self, mut snapshot: RowSnapshot, now: Tick) {
        let era = self.row_era;
        info!(
            decision = "rows-restored",
            era = era.0,
            members = snapshot.members.len(),
            domains = snapshot.domains.len(),
            "state"
        );
        self.members.restore_rows(snapshot.members, now);
        self.challenges = snapshot.challenges;
        for (domain, known) in std::mem::take(&mut self.domains) {
            let restored = snapshot.domains.remove(&domain);
            self.domains.insert(domain, known.over_restored(restored, era));
        }
        self.domains.append(&mut snapshot.domains);
    }

    /// Removes the members and owners whose rows are missing from a snapshot.
    fn remove_missing_rows(&mut self, changes: &[RowChange]) {
        let key = |change: &RowChange| match change {
            RowChange::Written(row) => RowName::parse(&row.key),
            RowChange::Deleted(_) => None,
        };
        let names: Vec<RowName> = changes.iter().filter_map(key).collect();
        let members: Vec<_> = self.members.listed().cloned().collect();
        for node in members {
            if !names.contains(&RowName::Member(node.clone())) {
                self.members.remove_row(&node);
            }
        }
        self.domains.retain(|domain, _| names.contains(&RowName::Domain(domain.clone())));
        self.challenges.retain(|node, _| names.contains(&RowName::Challenge(node.clone())));
    }

    fn apply_row(&mut self, change: RowChange, era: StoreEra, now: Tick) {
        match change {
            RowChange::Written(row) => match RowName::parse(&row.key) {
                Some(RowName::Member(node)) => {
                    if let Some(value) = read_value::<MemberRow>(&row.key, &row.value) {
                        self.members.insert_row(node.clone(), value, now);
                        self.members.set_row_version(&node, row.version);
                    }
                }
                Some(RowName::Domain(domain)) => {
                    if let Some(value) = read_value::<OwnerRow>(&row.key, &row.value) {
                        let version = row.version;
                        self.set_owner(domain, OwnedRow { row: value, version, era });
                    }
                }
                Some(RowName::Challenge(node)) => {
                    if let Some(value) = read_value::<ChallengeRow>(&row.key, &row.value) {
                        let known = KnownChallenge { row: value, version: row.version };
                        self.challenges.insert(node, known);
                    }
                }
                None => {}
            },
            RowChange::Deleted(key) => match RowName::parse(&key) {
                Some(RowName::Member(node)) => self.members.remove_row(&node),
                Some(RowName::Domain(domain)) => {
                    self.domains.remove(&domain);
                }
                Some(RowName::Challenge(node)) => {
                    self.challenges.remove(&node);
                }
                None => {}
            },
        }
    }

    /// The version of the challenge of an incarnation of a process, if there is one.
    pub fn challenge_of(&self, process: &RowOwner) -> Option<RowVersion> {
        let known = self.challenges.get(&process.node)?;
        (known.row.incarnation == process.incarnation).then_some(known.version)
    }

    /// Removes a process whose row was deleted, unless it has started again since.
    pub fn remove_process(&mut self, process: &RowOwner) {
        self.challenges.remove(&process.node);
        self.members.remove_incarnation(process);
    }

    /// Records the owner of a fabric domain unless a newer row is known.
    pub fn set_owner(&mut self, domain: FabricDomainId, row: OwnedRow) {
        let revision = |row: &OwnedRow| (row.era, row.version);
        let newer = self.domains.get(&domain).is_none_or(|known| revision(known) < revision(&row));
        if newer {
            info!(decision = "owner-known", domain = %domain, term = row.row.term.0,
                owner = row.row.owner.as_ref().map(|owner| owner.node.as_str()), "state");
            self.domains.insert(domain, row);
        }
    }
}

impl RowSnapshot {
    fn read(changes: Vec<RowChange>, era: StoreEra) -> Self {
        let mut snapshot = Self::default();
        for change in changes {
            let RowChange::Written(row) = change else { continue };
            match RowName::parse(&row.key) {
                Some(RowName::Member(node)) => {
                    if let Some(value) = read_value(&row.key, &row.value) {
                        snapshot.members.insert(node, value);
                    }
                }
                Some(RowName::Domain(domain)) => {
                    if let Some(value) = read_value::<OwnerRow>(&row.key, &row.value) {
                        let version = row.version;
                        snapshot.domains.insert(domain, OwnedRow { row: value, version, era });
                    }
                }
                Some(RowName::Challenge(node)) => {
                    if let Some(value) = read_value(&row.key, &row.value) {
                        let known = KnownChallenge { row: value, version: row.version };
                        snapshot.challenges.insert(node, known);
                    }
                }
                None => {}
            }
        }
        snapshot
    }
}
