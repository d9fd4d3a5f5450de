//! The loops that keep this node's knowledge and its place in the deployment.

use {
    crate::{
        groups::port::DomainAuthority,
        member::{
            join::JoinProposal,
            leave::LeaveProposal,
            liveness::{HearingLog, SILENCE_LIMIT, is_leaving, is_listed},
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

/// Time between two looks at the own place in the view, at ended members and at ownership.
const MEMBER_PERIOD: Duration = Duration::from_millis(250);
/// Longest time that one change is tried before the state is looked at anew.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
/// Least time between two reads of the state, however many announcements come.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Head start of each member before the next one writes the same change.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Gets states from peers.
#[async_trait]
pub trait StateFetcher: Send + Sync {
    /// Lets the node hold a state at least this new of some peer; false when none had it.
    async fn fetch_state(&self, at_least: HeadNumber) -> bool;
}

/// Keeps the copy of the state as new as the table service or a peer has it.
pub async fn run_sync(
    writer: ChangeWriter,
    fetcher: Arc<dyn StateFetcher>,
    period: Duration,
    token: CancellationToken,
) {
    let sync = writer.sync();
    let node = sync.node();
    let mut table_out = false;
    while !token.is_cancelled() {
        let read = token.run_until_cancelled(sync.refresh()).await;
        let Some(read) = read else { return };
        note_table(&mut table_out, read.as_ref().err());
        if read.is_err() && is_behind(node) {
            let wanted = node.known().max(node.state().head.number.next());
            token.run_until_cancelled(fetcher.fetch_state(wanted)).await;
        }
        let news = async {
            tokio::select! {
                () = node.wait_for_newer_head() => sleep(READ_PAUSE).await,
                () = sleep(period) => {}
            }
        };
        token.run_until_cancelled(news).await;
    }
}

fn is_behind(node: &NodeCore) -> bool {
    let held = node.state().head.number;
    held.0 == 0 || held < node.known()
}

fn note_table(out: &mut bool, error: Option<&crate::state::reader::ReadError>) {
    match (error, *out) {
        (Some(error), false) => tracing::warn!(%error, "the table service is out"),
        (None, true) => tracing::info!("the table service answers again"),
        _ => {}
    }
    *out = error.is_some();
}

/// Keeps the copy of the host list.
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

/// Joins the view, takes ended members out of it and takes ownerless domains over.
pub struct MemberKeeper {
    /// Commits the changes.
    pub writer: ChangeWriter,
    /// This node's row; its incarnation is given on joining.
    pub row: MemberRow,
    /// When each member was last heard.
    pub hearing: Arc<Mutex<HearingLog>>,
}

impl MemberKeeper {
    /// Runs until cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut ticker = interval(MEMBER_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticker.tick()).await.is_some() {
            token.run_until_cancelled(self.step()).await;
        }
    }

    /// Members that may take domains over: listed, staying, and heard not long ago.
    pub fn able(&self) -> Vec<MemberId> {
        able_members(self.node(), &self.hearing)
    }

    fn node(&self) -> &Arc<NodeCore> {
        self.writer.sync().node()
    }

    async fn step(&self) {
        self.update_hearing();
        if !self.node().is_member() {
            self.join().await;
        } else if self.node().with_tracker(|tracker| tracker.counts()) {
            self.reap().await;
            self.take_over().await;
        }
    }

    fn update_hearing(&self) {
        let node = self.node();
        let state = node.state();
        let last_report_tick =
            |member: &MemberId| node.with_tracker(|tracker| tracker.last_report_tick(member));
        self.hearing.lock().update(&state, node.now(), last_report_tick);
    }

    async fn join(&self) {
        self.node().resign();
        let proposal = JoinProposal::new(self.writer.sync().reader().clone(), self.row.clone());
        match self.writer.commit(proposal, CHANGE_LIMIT).await {
            Ok(me) => {
                tracing::info!(member = %me, "joined the view");
                self.node().become_member(me);
            }
            Err(error) => tracing::debug!(%error, "not joined yet"),
        }
    }

    async fn reap(&self) {
        let left = self.due_members();
        if left.is_empty() {
            return;
        }
        let names: Vec<String> = left.iter().map(|left| left.member.to_string()).collect();
        match self.writer.commit(LeaveProposal::new(left), CHANGE_LIMIT).await {
            Ok(()) => tracing::info!(members = names.join(" "), "took members out of the view"),
            Err(error) => tracing::debug!(%error, "ended members not taken out yet"),
        }
    }

    fn due_members(&self) -> Vec<LeftMember> {
        let node = self.node();
        let state = node.state();
        let me = node.me();
        let ended = self.hearing.lock().unresponsive(&state, &node.hosts(), &me, node.now());
        let able = self.able();
        let due = ended.into_iter().filter(|ended| {
            let rank = placement_rank(ended.left.member.host.as_str(), &me, &able);
            ended.due >= RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
        });
        due.map(|ended| ended.left).collect()
    }

    async fn take_over(&self) {
        let node = self.node();
        let me = node.me();
        let domains = listed_domains(&node.hosts());
        let domains = domains_to_take(&node.state(), &domains, &self.able(), &me);
        if domains.is_empty() {
            return;
        }
        let names: Vec<&str> = domains.iter().map(|domain| domain.as_str()).collect();
        let names = names.join(" ");
        match self.writer.commit(TakeoverProposal { me, domains }, CHANGE_LIMIT).await {
            Ok(()) => tracing::info!(domains = names, "took fabric domains over"),
            Err(error) => tracing::debug!(%error, "fabric domains not taken over yet"),
        }
    }
}

/// Members that may take domains over: listed, staying, and heard not long ago.
pub fn able_members(node: &NodeCore, hearing: &Mutex<HearingLog>) -> Vec<MemberId> {
    let state = node.state();
    let hosts = node.hosts();
    let me = node.me();
    let now = node.now();
    let hearing = hearing.lock();
    let heard = |member: &MemberId| {
        *member == me || hearing.last(member).is_some_and(|t| now.since(t) < SILENCE_LIMIT)
    };
    let members = state.view.members.iter().map(|row| &row.member);
    members
        .filter(|member| heard(member) && is_listed(&hosts, member) && !is_leaving(&hosts, member))
        .cloned()
        .collect()
}
