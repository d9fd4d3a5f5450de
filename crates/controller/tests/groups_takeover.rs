//! Two owners of one fabric domain, in succession and at the same time.
//!
//! The dangerous case is an owner whose process freezes between its check of authority and its send:
//! its orders reach the engines after the next owner has formed its groups.

mod groups_support;

use {
    crate::groups_support::{FakeEngines, GroupsNode, LOAD_TIME, start, wait_until},
    base::{GroupId, HostId, Term},
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Ample time for groups to form or to be repaired.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time for a probe that detects the old owner's group, its release, and a probe that confirms it.
const UNDO_LIMIT: Duration = Duration::from_secs(3);

/// Starts an owner whose loads are held back, as if its process froze between check and send, and
/// that then loses the domain.
async fn frozen_owner(engines: &Arc<FakeEngines>) -> GroupsNode {
    let first = start(engines, 2, Some(Term(1)));
    first.control.holding.store(true, Ordering::SeqCst);
    wait_until(WAIT_LIMIT, || first.control.held.lock().len() >= 8).await;
    first.authority.own(None);
    first
}

/// Whether the engines of every serving group in the node's record are in that group.
fn agrees(node: &GroupsNode, engines: &FakeEngines) -> bool {
    let actual = engines.groups();
    node.authority
        .serving()
        .iter()
        .all(|(group, hosts)| hosts.iter().all(|host| actual[host].as_ref() == Some(group)))
}

#[tokio::test(start_paused = true)]
async fn orders_of_a_frozen_owner_are_refused_by_engines_that_check() {
    let engines = FakeEngines::new(9, true);
    let first = frozen_owner(&engines).await;
    let second = start(&engines, 2, Some(Term(2)));
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 2).await;
    let before = engines.groups();
    assert!(first.control.resume() >= 8);
    assert_eq!(engines.groups(), before);
    assert_eq!(engines.conflicting_loads(), 0);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(second.authority.serving().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn idle_hosts_refuse_orders_of_an_earlier_owner() {
    let engines = FakeEngines::new(9, true);
    let first = frozen_owner(&engines).await;
    // The new owner's desired state has one group, so five hosts stay idle.
    let second = start(&engines, 1, Some(Term(2)));
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 1).await;
    first.control.resume();
    let joined = engines.groups().values().flatten().count();
    assert_eq!(joined, 4, "no idle host accepts orders of the old owner");
}

#[tokio::test(start_paused = true)]
async fn without_engine_checks_orders_of_a_frozen_owner_are_detected_and_undone() {
    let engines = FakeEngines::new(9, false);
    let first = frozen_owner(&engines).await;
    let second = start(&engines, 2, Some(Term(2)));
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 2).await;
    assert!(first.control.resume() >= 8);
    assert!(
        engines.conflicting_loads() > 0,
        "engines without checks accept the old owner's orders"
    );
    let old = |group: &Option<GroupId>| {
        group.as_ref().is_some_and(|group| group.as_str().contains(".1-"))
    };
    let stopped = wait_until(WAIT_LIMIT, || agrees(&second, &engines)).await;
    let undone = wait_until(WAIT_LIMIT, || !engines.groups().values().any(old)).await;
    println!("groups stopped after {stopped:?}, hosts released {undone:?} later");
    assert!(stopped + undone <= UNDO_LIMIT, "{stopped:?} and {undone:?}");
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 2 && agrees(&second, &engines))
        .await;
}

#[yare::parameterized(checked = { true }, ignored = { false })]
#[test_macro(tokio::test(start_paused = true))]
async fn a_takeover_while_groups_load_starts_no_further_load(checked: bool) {
    let engines = FakeEngines::new(8, checked);
    let first = start(&engines, 2, Some(Term(1)));
    wait_until(WAIT_LIMIT, || engines.joins() == 8).await;
    first.cancel.cancel();
    first.task.await.expect("the group tasks end without a panic");
    let before = engines.groups();
    let second = start(&engines, 2, Some(Term(2)));
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 2).await;
    assert_eq!(engines.groups(), before);
    assert_eq!(engines.joins(), 8);
}

#[tokio::test(start_paused = true)]
async fn a_takeover_after_some_orders_of_a_group_leaves_no_incomplete_group() {
    let engines = FakeEngines::new(4, true);
    let first = start(&engines, 1, Some(Term(1)));
    first.control.holding.store(true, Ordering::SeqCst);
    wait_until(WAIT_LIMIT, || first.control.held.lock().len() >= 4).await;
    first.cancel.cancel();
    let (address, order) = first.control.held.lock()[0].clone();
    engines.deliver(address, order);
    let second = start(&engines, 1, Some(Term(2)));
    wait_until(WAIT_LIMIT, || second.authority.serving().len() == 1).await;
    assert!(agrees(&second, &engines));
    assert_eq!(engines.conflicting_loads(), 0);
}

#[tokio::test(start_paused = true)]
async fn two_concurrent_owners_put_no_host_in_two_groups() {
    let engines = FakeEngines::new(9, true);
    let first = start(&engines, 2, Some(Term(1)));
    let second = start(&engines, 2, Some(Term(2)));
    sleep(LOAD_TIME + Duration::from_secs(20)).await;
    assert_eq!(engines.conflicting_loads(), 0);
    assert_eq!(second.authority.serving().len(), 2);
    assert!(agrees(&second, &engines));
    let owners = |node: &GroupsNode| -> BTreeMap<HostId, GroupId> {
        let serving = node.authority.serving();
        let pair = |(group, hosts): (GroupId, Vec<HostId>)| {
            hosts.into_iter().map(move |host| (host, group.clone()))
        };
        serving.into_iter().flat_map(pair).collect()
    };
    for (host, group) in owners(&first) {
        assert_eq!(owners(&second).get(&host), Some(&group));
    }
}
