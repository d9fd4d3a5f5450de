//! Address answers spread callers over gateways and failure domains.

mod support;

use {
    base::RegionId,
    gateway::addresses::order_entries,
    http::{Method, StatusCode},
    peer::{
        GatewayEntry,
        message::{LOAD_DRAINING, LOAD_FULL},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    stop::{PlannedStop, StopSettings},
    support::{
        client::CallerRequest,
        controller::{FakeController, gateway_entry},
        http_ports, settings, start, until,
    },
};

const CALLERS: u16 = 12_000;

fn entries(loads: &[u8]) -> Vec<GatewayEntry> {
    let entry = |(number, load): (usize, &u8)| {
        let domain = format!("fd-{}", number % 3);
        gateway_entry(&format!("entry-{number}"), &domain, number as u16, *load)
    };
    loads.iter().enumerate().map(entry).collect()
}

fn order(entries: &[GatewayEntry], caller: u16) -> Vec<&GatewayEntry> {
    let entries: Vec<&GatewayEntry> = entries.iter().collect();
    let caller = SocketAddr::from(([10, 0, (caller >> 8) as u8, caller as u8], caller));
    order_entries(&entries, &RegionId::new("local").unwrap(), caller)
}

fn first_counts(entries: &[GatewayEntry]) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for caller in 0..CALLERS {
        let first = order(entries, caller)[0].host.to_string();
        *counts.entry(first).or_default() += 1;
    }
    counts
}

#[test]
fn callers_spread_evenly_over_equal_gateways() {
    let counts = first_counts(&entries(&[50; 12]));
    assert_eq!(counts.len(), 12);
    let even = u32::from(CALLERS) / 12;
    assert!(counts.values().all(|count| (even * 8 / 10..even * 12 / 10).contains(count)));
}

#[test]
fn loaded_gateways_get_fewer_callers() {
    let counts = first_counts(&entries(&[0, LOAD_FULL / 2, LOAD_FULL]));
    assert!(counts["entry-0"] > counts["entry-1"] * 3 / 2);
    assert!(counts["entry-2"] < u32::from(CALLERS) / 50);
}

#[test]
fn next_addresses_are_in_other_failure_domains() {
    let entries = entries(&[10; 9]);
    for caller in 0..200 {
        let order = order(&entries, caller);
        let domains: BTreeSet<_> = order[..3].iter().map(|entry| &entry.failure_domain).collect();
        assert_eq!((order.len(), domains.len()), (9, 3));
    }
}

#[test]
fn other_regions_come_last() {
    let mut entries = entries(&[0; 6]);
    entries[0].region = RegionId::new("far").unwrap();
    entries[3].region = RegionId::new("far").unwrap();
    for caller in 0..200 {
        let order = order(&entries, caller);
        assert!(order[..4].iter().all(|entry| entry.region.as_str() == "local"));
    }
}

#[tokio::test]
async fn draining_and_isolated_gateways_are_left_out() {
    let controller = FakeController::new();
    controller.set_gateways(vec![
        gateway_entry("entry-1", "fd-1", 1, 0),
        gateway_entry("entry-2", "fd-2", 2, 0),
        gateway_entry("entry-3", "fd-3", 3, LOAD_DRAINING),
    ]);
    let gateway = start(settings(), http_ports(), &controller).await;
    let hosts = || async {
        let request = CallerRequest::new(Method::GET, "/v1/addresses");
        let body = request.send(gateway.callers_address()).await.json();
        let lines = body["addresses"].as_array().unwrap().clone();
        let hosts = lines.iter().map(|line| line["host"].as_str().unwrap().to_owned());
        hosts.collect::<BTreeSet<_>>()
    };
    assert_eq!(hosts().await.len(), 2);
    controller.set_down(true);
    until(|| gateway.core.current_state().is_err()).await;
    assert_eq!(hosts().await, BTreeSet::from(["entry-2".to_owned()]));
    controller.set_down(false);
    until(|| gateway.core.current_state().is_ok()).await;
    let planned = PlannedStop::new(gateway.core.stop.clone());
    let _leaving = planned.leave(&StopSettings::default(), gateway.core.now());
    assert_eq!(hosts().await, BTreeSet::from(["entry-2".to_owned()]));
}

#[tokio::test]
async fn gateway_without_a_known_gateway_refuses() {
    let controller = FakeController::new();
    let gateway = start(settings(), http_ports(), &controller).await;
    let request = CallerRequest::new(Method::GET, "/v1/addresses");
    let answer = request.send(gateway.callers_address()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}
