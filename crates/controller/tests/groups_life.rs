//! One owner of a fabric domain: forms groups, detects unresponsive and restarted hosts, and sends
//! orders only with authority over the domain.

mod groups_support;

use {
    crate::groups_support::{FakeEngines, start, wait_until},
    base::Term,
    std::{
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Ample time for a group to form or to be dissolved.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Upper bound for the detection of a failed host: three missed probes, one round and some slack.
const DETECTION_LIMIT: Duration = Duration::from_millis(2_600);

#[yare::parameterized(checked = { true }, ignored = { false })]
#[test_macro(tokio::test(start_paused = true))]
async fn groups_form_and_serve(checked: bool) {
    let engines = FakeEngines::new(9, checked);
    let node = start(&engines, 2, Some(Term(1)));
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 2).await;
    assert_eq!(engines.joins(), 8);
    let sequences: Vec<u64> =
        node.authority.published.lock().iter().map(|record| record.sequence.0).collect();
    assert_eq!(sequences, (1..=sequences.len() as u64).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn without_changes_nothing_is_ordered_or_published() {
    let engines = FakeEngines::new(8, true);
    let node = start(&engines, 2, Some(Term(1)));
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 2).await;
    sleep(Duration::from_secs(2)).await;
    let orders = node.control.orders.load(Ordering::SeqCst);
    let records = node.authority.published.lock().len();
    sleep(Duration::from_secs(60)).await;
    assert_eq!(node.control.orders.load(Ordering::SeqCst), orders);
    assert_eq!(node.authority.published.lock().len(), records);
}

#[tokio::test(start_paused = true)]
async fn without_authority_no_order_is_sent() {
    let engines = FakeEngines::new(4, true);
    let node = start(&engines, 1, Some(Term(1)));
    node.authority.may_order.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(node.control.orders.load(Ordering::SeqCst), 0);
    node.authority.may_order.store(true, Ordering::SeqCst);
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
}

#[tokio::test(start_paused = true)]
async fn a_domain_no_longer_owned_is_not_probed() {
    let engines = FakeEngines::new(4, true);
    let node = start(&engines, 1, Some(Term(1)));
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
    node.authority.own(None);
    sleep(Duration::from_secs(2)).await;
    let probes = node.control.probes.load(Ordering::SeqCst);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(node.control.probes.load(Ordering::SeqCst), probes);
    node.cancel.cancel();
    node.task.await.expect("the group tasks end without a panic");
}

#[tokio::test(start_paused = true)]
async fn a_group_with_an_unresponsive_host_resumes_without_a_load_when_the_host_returns() {
    let engines = FakeEngines::new(4, true);
    let node = start(&engines, 1, Some(Term(1)));
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
    engines.change(2, |engine| engine.answers = false);
    let detected_after = wait_until(WAIT_LIMIT, || node.authority.serving().is_empty()).await;
    assert!(detected_after <= DETECTION_LIMIT, "{detected_after:?}");
    engines.change(2, |engine| engine.answers = true);
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
    assert_eq!(engines.joins(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_host_dissolves_its_group() {
    let engines = FakeEngines::new(4, true);
    let node = start(&engines, 1, Some(Term(1)));
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
    let first = node.authority.serving()[0].0.clone();
    engines.change(1, |engine| engine.boot = 2);
    let detected_after = wait_until(WAIT_LIMIT, || node.authority.serving().is_empty()).await;
    assert!(detected_after <= DETECTION_LIMIT, "{detected_after:?}");
    wait_until(WAIT_LIMIT, || node.authority.serving().len() == 1).await;
    assert_ne!(node.authority.serving()[0].0, first, "a group formed again has a new id");
}

#[tokio::test(start_paused = true)]
async fn lost_answers_to_orders_never_put_a_host_in_two_groups() {
    let engines = FakeEngines::new(9, true);
    let node = start(&engines, 2, Some(Term(1)));
    node.control.lose_every.store(2, Ordering::SeqCst);
    let max_conflicting_loads = AtomicU32::new(0);
    wait_until(WAIT_LIMIT, || {
        max_conflicting_loads.fetch_max(engines.conflicting_loads(), Ordering::SeqCst);
        node.authority.serving().len() == 2
    })
    .await;
    assert_eq!(max_conflicting_loads.load(Ordering::SeqCst), 0);
}
