//! The slowdown that the members of each group report.

use {
    crate::peers::HeadPace,
    base::{Epoch, GroupId},
    plan::staged::Membership,
    relay::ServerId,
    std::collections::BTreeMap,
};

/// Slowdown from which a member is told of, in percent of usual time.
const TOLD_FROM_PERCENT: u32 = 110;
/// Largest slowdown that is believed.
const MAX_PERCENT: f64 = 10_000.0;

/// Slow members, with the group that each is in. A group works at the pace of its slowest member.
#[derive(Debug, Default)]
pub(super) struct MemberPaces(BTreeMap<ServerId, SlowMember>);

#[derive(Debug)]
struct SlowMember {
    group: GroupId,
    epoch: Epoch,
    percent: u32,
}

impl MemberPaces {
    /// Records the slowdown in a member's report.
    pub(super) fn note(&mut self, host: &ServerId, membership: Option<&Membership>, slowdown: f64) {
        let percent = (slowdown * 100.0).clamp(0.0, MAX_PERCENT) as u32;
        match membership.filter(|_| percent >= TOLD_FROM_PERCENT) {
            Some(Membership { group, epoch, .. }) => {
                let member = SlowMember { group: group.clone(), epoch: *epoch, percent };
                self.0.insert(host.clone(), member);
            }
            None => {
                self.0.remove(host);
            }
        }
    }

    /// Forgets a member that can't be probed.
    pub(super) fn forget(&mut self, host: &ServerId) {
        self.0.remove(host);
    }

    /// The pace of a group with a slow member.
    pub(super) fn of_head(&self, head: &ServerId, membership: &Membership) -> Option<HeadPace> {
        let members = self
            .0
            .values()
            .filter(|member| member.group == membership.group && member.epoch == membership.epoch);
        let percent = members.map(|member| member.percent).max()?;
        Some(HeadPace { head: head.clone(), percent })
    }
}
