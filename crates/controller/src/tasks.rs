//! Background tasks that refresh the node's copies of the state and of the host list, join the
//! view, remove unresponsive members from it and take over fabric domains without an owner.

use {
    crate::{
        groups::port::DomainAuthority,
        member::{
            join::JoinProposal,
            leave::LeaveProposal,
            liveness::{CONTACT_LIMIT, ContactLog, is_leaving, is_listed},
            ownership::{TakeoverProposal, domains_to_take, listed_domains},
            placement::placement_rank,
        },
        state::{node::NodeCore, writer::ChangeWriter},
    },
    async_trait::async_trait,
    base::{HeadNumber, MemberId},
    infra::HostDirectory,
    parking_lot::Mutex,
    peer::{LeftMember, MemberRow},
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
    tokio_util::sync::CancellationToken,
};

/// Interval at which a node checks its own membership, ended members and ownership.
const MEMBER_PERIOD: Duration = Duration::from_millis(250);
/// Longest time for which one change is retried before it is proposed again from the newest state.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two reads of the state, so that many announcements cause one read.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Delay per placement rank, so that members do not all write the same change at once.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Fetches states from peers.
#[async_trait]
pub trait StateFetcher: Send + Sync {
    /// Fetches a state with at least this head from a peer and has the node hold it. Returns false if
    /// no peer has one or the node does not accept it.
    async fn fetch_state(&self, at_least: HeadNumber) -> bool;
}

/// Refreshes the node's copy of the state every `period` and whenever a newer head is announced.
///
/// Reads the table service; if that fails and the node is behind, fetches the state from a peer.
pub async fn run_sync(
    writer: ChangeWriter,
    fetcher: Arc<dyn StateFetcher>,
    period: Duration,
    token: CancellationToken,
) {
    let sync = writer.sync();
    let node = sync.node();
    let mut table_unavailable = false;
    while !token.is_cancelled() {
        let read = token.run_until_cancelled(sync.refresh()).await;
        let Some(read) = read else { return };
        log_table_availability(&mut table_unavailable, read.as_ref().err());
        if read.is_err() && is_behind(node) {
            let wanted = node.known().max(node.state().head.number.next());
            token.run_until_cancelled(fetcher.fetch_state(wanted)).await;
        }
        let wakeup = async {
            tokio::select! {
                () = node.wait_for_newer_head() => sleep(MIN_READ_INTERVAL).await,
                () = sleep(period) => {}
            }
        };
        token.run_until_cancelled(wakeup).await;
    }
}

fn is_behind(node: &NodeCore) -> bool {
    let held = node.state().head.number;
    held.0 == 0 || held < node.known()
}

fn log_table_availability(unavailable: &mut bool, error: Option<&crate::state::reader::ReadError>) {
    match (error, *unavailable) {
        (Some(error), false) => tracing::warn!(%error, "the table service is unavailable"),
        (None, true) => tracing::info!("the table service is available again"),
        _ => {}
    }
    *unavailable = error.is_some();
}

/// Reads the host list every `period`; a failed read keeps the previous copy.
pub async fn run_hosts(
    node: Arc<NodeCore>,
    directory: Arc<dyn HostDirectory>,
    period: Duration,
    token: CancellationToken,
) {
    let mut ticker = interval(period);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    while token.run_until_cancelled(ticker.tick()).await.is_some() {
        match token.run_until_cancelled(directory.list()).await {
            Some(Ok(hosts)) => {
                node.apply_hosts(hosts);
                failing = false;
            }
            Some(Err(error)) if !failing => {
                tracing::warn!(%error, "the host list cannot be read");
                failing = true;
            }
            _ => {}
        }
    }
}

/// Joins the view, removes ended members from it and takes over domains that need an owner.
pub struct MembershipTask {
    /// Commits changes of the view and of ownership.
    pub writer: ChangeWriter,
    /// This node's row; its incarnation is assigned when the node joins.
    pub row: MemberRow,
    /// When each member last responded, directly or as reported by others.
    pub contacts: Arc<Mutex<ContactLog>>,
}

impl MembershipTask {
    /// Repeats the checks until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut ticker = interval(MEMBER_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            token.run_until_cancelled(self.step()).await;
        }
    }

    /// Like [`eligible_members`], for this node.
    pub fn eligible(&self) -> Vec<MemberId> {
        eligible_members(self.node(), &self.contacts)
    }

    fn node(&self) -> &Arc<NodeCore> {
        self.writer.sync().node()
    }

    async fn step(&self) {
        self.update_contacts();
        if !self.node().is_member() {
            self.join().await;
        } else if self.node().with_tracker(|tracker| tracker.counts()) {
            self.remove_ended().await;
            self.take_over().await;
        }
    }

    fn update_contacts(&self) {
        let node = self.node();
        let state = node.state();
        let last_report_tick =
            |member: &MemberId| node.with_tracker(|tracker| tracker.last_report_tick(member));
        self.contacts.lock().update(&state, node.now(), last_report_tick);
    }

    async fn join(&self) {
        self.node().resign();
        let proposal = JoinProposal::new(self.writer.sync().reader().clone(), self.row.clone());
        match self.writer.commit(proposal, COMMIT_TIMEOUT).await {
            Ok(me) => {
                tracing::info!(member = %me, "joined the view");
                self.node().become_member(me);
            }
            Err(error) => tracing::debug!(%error, "could not join the view yet"),
        }
    }

    async fn remove_ended(&self) {
        let left = self.due_members();
        if left.is_empty() {
            return;
        }
        let names: Vec<String> = left.iter().map(|left| left.member.to_string()).collect();
        match self.writer.commit(LeaveProposal::new(left), COMMIT_TIMEOUT).await {
            Ok(()) => tracing::info!(members = names.join(" "), "removed members from the view"),
            Err(error) => tracing::debug!(%error, "could not remove ended members yet"),
        }
    }

    fn due_members(&self) -> Vec<LeftMember> {
        let node = self.node();
        let state = node.state();
        let me = node.me();
        let ended = self.contacts.lock().unresponsive(&state, &node.hosts(), &me, node.now());
        let eligible = self.eligible();
        let due = ended.into_iter().filter(|ended| {
            let rank = placement_rank(ended.left.member.host.as_str(), &me, &eligible);
            ended.overdue >= RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
        });
        due.map(|ended| ended.left).collect()
    }

    async fn take_over(&self) {
        let node = self.node();
        let me = node.me();
        let domains = listed_domains(&node.hosts());
        let domains = domains_to_take(&node.state(), &domains, &self.eligible(), &me);
        if domains.is_empty() {
            return;
        }
        let names: Vec<&str> = domains.iter().map(|domain| domain.as_str()).collect();
        let names = names.join(" ");
        match self.writer.commit(TakeoverProposal { me, domains }, COMMIT_TIMEOUT).await {
            Ok(()) => tracing::info!(domains = names, "took over fabric domains"),
            Err(error) => tracing::debug!(%error, "could not take over fabric domains yet"),
        }
    }
}

/// Members that may take over domains: their host is in the host list and not leaving, and they
/// responded within [`CONTACT_LIMIT`].
pub fn eligible_members(node: &NodeCore, contacts: &Mutex<ContactLog>) -> Vec<MemberId> {
    let state = node.state();
    let hosts = node.hosts();
    let me = node.me();
    let now = node.now();
    let contacts = contacts.lock();
    let is_responsive = |member: &MemberId| {
        *member == me || contacts.last(member).is_some_and(|t| now.since(t) < CONTACT_LIMIT)
    };
    let members = state.view.members.iter().map(|row| &row.member);
    members
        .filter(|member| {
            is_responsive(member) && is_listed(&hosts, member) && !is_leaving(&hosts, member)
        })
        .cloned()
        .collect()
}
