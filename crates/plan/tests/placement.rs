//! Tests of the division of replicas over fabric domains.

mod model;

use {
    crate::model::run::{desired, spec},
    base::{FabricDomainId, GroupSetName},
    conf::ticket::{FencingMode, GroupSetSpec},
    plan::{DomainCapacity, PlacementTable, place_sets},
};

fn domains(hosts: &[u32]) -> Vec<DomainCapacity> {
    let domain = |(index, hosts): (usize, &u32)| DomainCapacity {
        domain: FabricDomainId::new(format!("fabric-{index}")).expect("valid"),
        hosts: *hosts,
    };
    hosts.iter().enumerate().map(domain).collect()
}

fn place(specs: Vec<GroupSetSpec>, hosts: &[u32]) -> PlacementTable {
    place_sets(&desired(specs, FencingMode::Checked), &domains(hosts))
}

fn count(table: &PlacementTable, set: &str, domain: usize) -> u32 {
    let domain = FabricDomainId::new(format!("fabric-{domain}")).expect("valid");
    let set = GroupSetName::new(set).expect("valid");
    table.of(&domain).get(&set).copied().unwrap_or(0)
}

fn counts(table: &PlacementTable, set: &str, domains: usize) -> Vec<u32> {
    (0..domains).map(|domain| count(table, set, domain)).collect()
}

#[test]
fn replicas_spread_evenly_over_like_domains() {
    let table = place(vec![spec("a", 6, 4, 1.0)], &[16, 16, 16]);
    assert_eq!(counts(&table, "a", 3), [2, 2, 2]);
}

#[test]
fn larger_domains_hold_more() {
    let table = place(vec![spec("a", 6, 4, 1.0)], &[32, 16]);
    assert_eq!(counts(&table, "a", 2), [4, 2]);
}

#[test]
fn a_domain_never_gets_more_than_fits() {
    let table = place(vec![spec("a", 9, 4, 1.0), spec("b", 9, 3, 2.0)], &[11, 7, 3]);
    for (domain, hosts) in [11, 7, 3].into_iter().enumerate() {
        assert!(count(&table, "a", domain) * 4 + count(&table, "b", domain) * 3 <= hosts);
    }
}

#[test]
fn the_set_with_the_higher_value_is_placed_first() {
    let table = place(vec![spec("a", 1, 4, 1.0), spec("b", 1, 4, 2.0)], &[4]);
    assert_eq!((count(&table, "a", 0), count(&table, "b", 0)), (0, 1));
}

#[test]
fn only_allowed_domains_are_used() {
    let mut only = spec("a", 3, 4, 1.0);
    only.fabric_domains = vec![FabricDomainId::new("fabric-1").expect("valid")];
    assert_eq!(counts(&place(vec![only], &[16, 8, 16]), "a", 3), [0, 2, 0]);
}

#[test]
fn one_more_replica_moves_no_other() {
    for replicas in 1..30 {
        let hosts = [40, 28, 36, 16];
        let before = counts(&place(vec![spec("a", replicas, 4, 1.0)], &hosts), "a", 4);
        let after = counts(&place(vec![spec("a", replicas + 1, 4, 1.0)], &hosts), "a", 4);
        let grown = before.iter().zip(&after).filter(|(before, after)| after > before).count();
        let shrunk = before.iter().zip(&after).filter(|(before, after)| after < before).count();
        assert_eq!((grown, shrunk), (1, 0));
    }
}

#[test]
fn a_lost_host_moves_few_replicas() {
    let before = counts(&place(vec![spec("a", 20, 4, 1.0)], &[40, 40, 40]), "a", 3);
    let after = counts(&place(vec![spec("a", 20, 4, 1.0)], &[39, 40, 40]), "a", 3);
    let moved: u32 = before.iter().zip(&after).map(|(a, b)| a.abs_diff(*b)).sum();
    assert!(moved <= 2, "{before:?} {after:?}");
}
