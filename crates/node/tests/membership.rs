//! The member row of a process that leaves.

#[path = "support/mod.rs"]
mod support;

use {
    async_trait::async_trait,
    base::{FailureDomainId, HostId, Incarnation, ManualClock, RowVersion, StoreEra},
    infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    node::{
        ConfigUpdate, RowChange, ServerChange, WatchPage, WatchPosition,
        members::MemberTable,
        membership::{MemberRegistration, MemberRemoval},
        rows::{ChallengeRow, MemberRow, RowName, RowOwner},
        view::{KnownChallenge, NodeView},
    },
    relay::{CallerLimits, RelayConfig},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    support::relay_shared,
    tokio::{task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// What a store does with a transaction.
#[derive(Clone, Copy, Debug, Default)]
enum Handling {
    /// Carries it out and answers.
    #[default]
    Prompt,
    /// Carries it out and answers after a time, also when nobody waits for the answer any more.
    Late(Duration),
    /// Carries it out and answers with an error.
    AnswerLost,
    /// Answers with an error.
    Away,
}

/// A store that handles its first transactions as planned, and the others at once.
#[derive(Default)]
struct PlannedTable {
    rows: Arc<parking_lot::Mutex<BTreeMap<RowKey, String>>>,
    handlings: parking_lot::Mutex<VecDeque<Handling>>,
    commits: parking_lot::Mutex<usize>,
}

impl PlannedTable {
    fn new(handlings: impl IntoIterator<Item = Handling>) -> Arc<Self> {
        let handlings = parking_lot::Mutex::new(handlings.into_iter().collect());
        Arc::new(Self { handlings, ..Self::default() })
    }

    fn put_back(&self) {
        self.rows.lock().insert(key(), String::new());
    }

    fn has_row(&self) -> bool {
        self.rows.lock().contains_key(&key())
    }
}

#[async_trait]
impl TableStore for PlannedTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        Ok(keys.iter().map(|_| None).collect())
    }

    async fn scan(&self, _prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        Ok(Vec::new())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let handling = self.handlings.lock().pop_front().unwrap_or_default();
        *self.commits.lock() += 1;
        let rows = self.rows.clone();
        let apply = move || {
            for write in transaction.writes {
                match write.value {
                    Some(value) => rows.lock().insert(write.key, value),
                    None => rows.lock().remove(&write.key),
                };
            }
        };
        let failed =
            |detail: &str| PlatformError::Unknown { service: "store", detail: detail.into() };
        match handling {
            Handling::Prompt => apply(),
            Handling::Late(span) => {
                let carried_out = tokio::spawn(async move {
                    sleep(span).await;
                    apply();
                });
                carried_out.await.unwrap();
            }
            Handling::AnswerLost => {
                apply();
                return Err(failed("the answer is lost"));
            }
            Handling::Away => return Err(failed("the store is away")),
        }
        Ok(CommitOutcome::Committed { version: RowVersion(1), era: StoreEra(0) })
    }
}

fn own() -> RowOwner {
    RowOwner { node: HostId::new("n0").unwrap(), incarnation: Incarnation(7) }
}

fn key() -> RowKey {
    RowName::Member(own().node).key()
}

fn member_row() -> MemberRow {
    MemberRow {
        incarnation: own().incarnation,
        peers: ([127, 0, 0, 1], 1).into(),
        callers: ([127, 0, 0, 1], 2).into(),
        failure_domain: FailureDomainId::new("z").unwrap(),
    }
}

/// A process that can serve requests.
struct Process {
    view: Arc<NodeView>,
    leaving: CancellationToken,
    joining: JoinHandle<MemberRemoval<PlannedTable>>,
}

impl Process {
    fn start(table: &Arc<PlannedTable>) -> Self {
        let clock = Arc::new(ManualClock::new());
        let shared = Arc::new(relay_shared(clock.clone()));
        let view = Arc::new(NodeView::new(MemberTable::new(own().node), shared));
        let relay = RelayConfig::new(1, Vec::new(), Vec::new(), CallerLimits::default());
        view.apply_config(ConfigUpdate {
            era: StoreEra(0),
            relay,
            engines: Vec::new(),
            cold: Vec::new(),
        });
        view.apply_servers(page(1, Vec::<ServerChange>::new()));
        let leaving = CancellationToken::new();
        let registration =
            MemberRegistration::new(table.clone(), view.clone(), clock, own(), &member_row());
        let joining = tokio::spawn(registration.run(leaving.clone()));
        Self { view, leaving, joining }
    }
}

/// Shows a process a change of its row, as the row watch does.
fn show_row(view: &NodeView, version: u64, is_present: bool) {
    let value = serde_json::to_string(&member_row()).unwrap();
    let stored = StoredRow { key: key(), version: RowVersion(version), value };
    let change = match is_present {
        true => RowChange::Written(stored),
        false => RowChange::Deleted(key()),
    };
    view.apply_rows(page(version, vec![change]));
}

fn page<C>(version: u64, changes: Vec<C>) -> WatchPage<C> {
    let position = WatchPosition { era: StoreEra(0), version };
    WatchPage { changes, position, is_snapshot: version <= 2, age: None }
}

/// A write of the member row that was abandoned at SIGTERM took effect after the delete, so that a
/// process that was gone stayed listed.
#[tokio::test(start_paused = true)]
async fn a_write_under_way_at_the_stop_does_not_follow_the_delete() {
    let table = PlannedTable::new([Handling::Late(Duration::from_millis(700))]);
    let process = Process::start(&table);
    sleep(Duration::from_millis(100)).await;
    process.leaving.cancel();
    process.joining.await.unwrap().delete_row().await;
    sleep(Duration::from_secs(5)).await;
    assert!(!table.has_row(), "the row of a process that is gone is in the store");
}

/// The member row was deleted once at SIGTERM: when the store was away for a moment, a process that
/// was gone stayed listed.
#[tokio::test(start_paused = true)]
async fn a_delete_that_fails_is_repeated() {
    let table = PlannedTable::new([Handling::Prompt, Handling::Away, Handling::Away]);
    let process = Process::start(&table);
    sleep(Duration::from_millis(100)).await;
    process.leaving.cancel();
    process.joining.await.unwrap().delete_row().await;
    assert!(!table.has_row());
}

/// Whether a delete whose answer is lost took effect is not known.
#[tokio::test(start_paused = true)]
async fn a_delete_without_an_answer_is_repeated() {
    let table = PlannedTable::new([Handling::Prompt, Handling::AnswerLost]);
    let process = Process::start(&table);
    sleep(Duration::from_millis(100)).await;
    process.leaving.cancel();
    process.joining.await.unwrap().delete_row().await;
    assert_eq!(*table.commits.lock(), 3);
}

/// A write whose answer was lost, or a store that came back from an older copy, put the row back
/// after its delete while the process still drained.
#[tokio::test(start_paused = true)]
async fn a_row_that_comes_back_is_deleted_again() {
    let table = PlannedTable::new([]);
    let Process { view, leaving, joining } = Process::start(&table);
    sleep(Duration::from_millis(100)).await;
    show_row(&view, 2, true);
    leaving.cancel();
    let removal = joining.await.unwrap();
    let removing = tokio::spawn(async move {
        removal.delete_row().await;
        removal.keep_deleted().await;
    });
    sleep(Duration::from_millis(100)).await;
    show_row(&view, 3, false);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(*table.commits.lock(), 2, "a write and a delete");
    table.put_back();
    show_row(&view, 4, true);
    sleep(Duration::from_secs(1)).await;
    assert!(!table.has_row());
    removing.abort();
}

/// A process that is asked whether it runs answers once to each question, also to one whose version is lower
/// than that of the last one, as in a store that came back from an older copy.
#[tokio::test(start_paused = true)]
async fn each_challenge_is_answered_once() {
    let table = PlannedTable::new([]);
    let process = Process::start(&table);
    sleep(Duration::from_millis(100)).await;
    show_row(&process.view, 2, true);
    let challenge = |version: u64| {
        let row = ChallengeRow { incarnation: own().incarnation, asked_by: own() };
        KnownChallenge { row, version: RowVersion(version) }
    };
    for (count, version) in [(2, 50), (3, 10)] {
        process.view.with(|state| state.challenges.insert(own().node, challenge(version)));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(*table.commits.lock(), count, "version {version}");
    }
    process.view.with(|state| state.challenges.clear());
    let other = RowOwner { incarnation: Incarnation(6), ..own() };
    let row = ChallengeRow { incarnation: other.incarnation, asked_by: own() };
    let earlier = KnownChallenge { row, version: RowVersion(60) };
    process.view.with(|state| state.challenges.insert(own().node, earlier));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(*table.commits.lock(), 3, "that of an earlier incarnation is not answered");
}
