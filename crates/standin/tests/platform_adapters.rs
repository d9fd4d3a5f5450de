//! The platform's HTTP adapters against the stand-ins: what they do, and what they say of faults.

mod common;

use {
    base::RowVersion,
    bytes::Bytes,
    common::{CALL_LIMIT, host, settings, start, switch, wait_for},
    infra::{
        CommitOutcome, HostDirectory, HostStanding, ObjectStore, PlatformError, TableStore,
        Transaction,
        http::{HttpHosts, HttpObjects, HttpTable},
    },
    standin::{
        World,
        fault::{Fault, FaultTarget, HostListFaults, NetworkState, TableFaults},
    },
    std::sync::Arc,
    yare::parameterized,
};

fn table_of(world: &Arc<World>) -> HttpTable {
    HttpTable::new(world.addresses().table, CALL_LIMIT)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorKind {
    Refused,
    Unreachable,
    Unknown,
}

fn kind_of(error: &PlatformError) -> Option<ErrorKind> {
    match error {
        PlatformError::Refused { .. } => Some(ErrorKind::Refused),
        PlatformError::Unreachable { .. } => Some(ErrorKind::Unreachable),
        PlatformError::Unknown { .. } => Some(ErrorKind::Unknown),
        PlatformError::Unreadable { .. } => None,
    }
}

fn network(state: NetworkState) -> Fault {
    Fault::Network { target: FaultTarget::Table, state }
}

fn table(faults: TableFaults) -> Fault {
    Fault::Table(faults)
}

#[parameterized(
    connections_are_refused = {
        network(NetworkState::Refused), ErrorKind::Unreachable, Some(false)
    },
    // What was sent into the silence passes when it ends.
    nothing_answers = { network(NetworkState::Silent), ErrorKind::Unknown, None },
    the_service_is_out = {
        table(TableFaults { fail_commits: 1, ..Default::default() }), ErrorKind::Unknown, Some(false)
    },
    the_answer_is_lost = {
        table(TableFaults { lose_answers: 1, ..Default::default() }), ErrorKind::Unknown, Some(true)
    },
    every_answer_is_lost = {
        table(TableFaults { lose_percent: 100, ..Default::default() }), ErrorKind::Unknown, Some(true)
    },
    the_service_is_too_slow = {
        table(TableFaults { delay_ms: 60_000, ..Default::default() }),
        ErrorKind::Unknown,
        Some(false)
    },
    the_write_lands_late = {
        table(TableFaults { late_commits: 1, late_ms: 700, ..Default::default() }),
        ErrorKind::Unknown,
        Some(true)
    }
)]
#[test_macro(tokio::test)]
async fn a_failed_commit_says_what_is_known(
    fault: Fault,
    kind: ErrorKind,
    takes_effect: Option<bool>,
) {
    let (world, _guard) = start(settings());
    let table = table_of(&world);
    switch(&world, fault.clone());
    if let Fault::Network { .. } = fault {
        wait_for("the fault", async || table.read(&["a".into()]).await.is_err()).await;
    }
    let error = table.commit(Transaction::default().put("a", "1")).await.unwrap_err();
    assert_eq!(kind_of(&error), Some(kind), "{error}");
    if takes_effect == Some(true) {
        wait_for("the row", async || table.read(&["a".into()]).await.unwrap()[0].is_some()).await;
    }
    world.clear();
    if takes_effect == Some(false) {
        wait_for("the service", async || table.read(&["a".into()]).await.is_ok()).await;
        assert_eq!(table.read(&["a".into()]).await.unwrap(), vec![None]);
    }
}

#[tokio::test]
async fn an_oversized_value_is_refused_without_effect() {
    let (world, _guard) = start(settings());
    let table = table_of(&world);
    let value = "x".repeat(256 * 1024 + 1);
    let transaction = Transaction::default().put("small", "1").put("large", value);
    let error = table.commit(transaction).await.unwrap_err();
    assert_eq!(kind_of(&error), Some(ErrorKind::Refused), "{error}");
    assert_eq!(table.read(&["small".into()]).await.unwrap(), vec![None]);
}

#[tokio::test]
async fn a_conflict_names_the_rows_as_they_are() {
    let (world, _guard) = start(settings());
    let table = table_of(&world);
    let first = table.commit(Transaction::default().expect_absent("a").put("a", "1")).await;
    let Ok(CommitOutcome::Committed { version, .. }) = first else { panic!("{first:?}") };
    let stale = Transaction::default()
        .expect_absent("a")
        .expect("b", RowVersion(7))
        .put("a", "2")
        .delete("b");
    let CommitOutcome::Conflict { rows, absent } = table.commit(stale).await.unwrap() else {
        panic!("the conditions do not hold")
    };
    assert_eq!((rows[0].version, rows[0].value.as_str()), (version, "1"));
    assert_eq!(absent, ["b"]);
    let fresh = Transaction::default().expect("a", version).delete("a");
    let outcome = table.commit(fresh).await.unwrap();
    assert!(matches!(outcome, CommitOutcome::Committed { version: next, .. } if next > version));
    assert_eq!(table.read(&["a".into()]).await.unwrap(), vec![None]);
}

#[tokio::test]
async fn a_scan_reads_every_page_in_order() {
    const ROWS: usize = 12_000;
    let (world, _guard) = start(settings());
    let table = table_of(&world);
    let mut transaction = Transaction::default().put("other", "x");
    for number in 0..ROWS {
        transaction = transaction.put(format!("ticket/{number:012}"), "x");
    }
    table.commit(transaction).await.unwrap();
    let rows = table.scan("ticket/").await.unwrap();
    assert_eq!(rows.len(), ROWS);
    assert!(rows.is_sorted_by(|left, right| left.key < right.key));
}

#[tokio::test]
async fn a_silenced_connection_does_not_stop_new_ones() {
    let (world, _guard) = start(settings());
    let table = table_of(&world);
    table.read(&["a".into()]).await.unwrap();
    switch(&world, Fault::SilenceConnections { target: FaultTarget::Table });
    let error = table.read(&["a".into()]).await.unwrap_err();
    assert_eq!(kind_of(&error), Some(ErrorKind::Unknown), "{error}");
    table.read(&["a".into()]).await.unwrap();
}

#[tokio::test]
async fn objects_are_kept_whole() {
    let (world, _guard) = start(settings());
    let objects = HttpObjects::new(world.addresses().objects, CALL_LIMIT);
    assert_eq!(objects.get("a/b").await.unwrap(), None);
    let body = Bytes::from(vec![7; 100_000]);
    objects.put("a/b", body.clone()).await.unwrap();
    assert_eq!(objects.get("a/b").await.unwrap(), Some(body));
}

#[tokio::test]
async fn the_host_list_lags_and_freezes() {
    let (world, _guard) = start(settings());
    let hosts = HttpHosts::new(world.addresses().hosts, CALL_LIMIT);
    let leaving = async || {
        let list = hosts.list().await.unwrap();
        list.iter().filter(|entry| entry.standing == HostStanding::Leaving).count()
    };
    let set = |standing| {
        let hosts = match host("fab-h1") {
            FaultTarget::Hosts(hosts) => hosts,
            other => panic!("{other:?}"),
        };
        switch(&world, Fault::Standing { hosts, standing });
    };
    switch(&world, Fault::HostList(HostListFaults { lag_ms: 0, frozen: true }));
    set(HostStanding::Leaving);
    assert_eq!(leaving().await, 0);
    switch(&world, Fault::HostList(HostListFaults { lag_ms: 100, frozen: false }));
    wait_for("the leaving host", async || leaving().await == 1).await;
    set(HostStanding::Live);
    assert_eq!(leaving().await, 1);
    wait_for("the live host", async || leaving().await == 0).await;
}
