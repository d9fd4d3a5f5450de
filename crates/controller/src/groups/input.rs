//! What a fabric domain's planner is given: its hosts, its targets and its portion of the loads.

use {
    base::{FabricDomainId, GroupSetName, RatePerSecond},
    conf::{settings::ControllerSettings, ticket::DesiredState},
    infra::{HostEntry, HostRole, HostStanding},
    plan::{DomainCapacity, EngineHost, PlanSettings, place_sets},
    std::{collections::BTreeMap, time::Duration},
};

/// The host list as one fabric domain's planner sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainInput {
    pub(super) hosts: Vec<EngineHost>,
    pub(super) targets: BTreeMap<GroupSetName, u32>,
    pub(super) loads: RatePerSecond,
}

impl DomainInput {
    /// Reads the host list; none when it shows no engine host at all, as before the first read.
    pub(super) fn read(
        domain: &FabricDomainId,
        desired: &DesiredState,
        hosts: &[HostEntry],
    ) -> Option<Self> {
        let mut staying: BTreeMap<&FabricDomainId, u32> = BTreeMap::new();
        let mut own = Vec::new();
        for entry in hosts {
            let HostRole::Engine { fabric_domain, accelerators } = &entry.role else { continue };
            let leaving = entry.standing == HostStanding::Leaving;
            *staying.entry(fabric_domain).or_default() += u32::from(!leaving);
            if fabric_domain == domain {
                own.push(EngineHost {
                    host: entry.host.clone(),
                    address: entry.address,
                    accelerators: *accelerators,
                    leaving,
                });
            }
        }
        let total: u32 = staying.values().sum();
        if total == 0 {
            return None;
        }
        let portion = f64::from(staying.get(domain).copied().unwrap_or(0)) / f64::from(total);
        let capacities: Vec<DomainCapacity> = staying
            .into_iter()
            .map(|(domain, hosts)| DomainCapacity { domain: domain.clone(), hosts })
            .collect();
        let rate = desired.flags.weight_loads_per_second.0;
        Some(Self {
            hosts: own,
            targets: place_sets(desired, &capacities).of(domain),
            loads: RatePerSecond(rate * portion),
        })
    }
}

/// The planner's time limits, from the controller's settings.
pub(super) fn plan_settings(settings: &ControllerSettings) -> PlanSettings {
    const MISSED_POLLS: u64 = 3;
    let unresponsive_after = Duration::from_millis(settings.engine_poll_ms * MISSED_POLLS);
    PlanSettings {
        unresponsive_after,
        order_flight_limit: Duration::from_millis(settings.freshness.order_flight_ms),
        order_retry: Duration::from_millis(settings.engine_poll_ms),
        adopt_limit: unresponsive_after + Duration::from_millis(settings.freshness.order_flight_ms),
        ..PlanSettings::default()
    }
}
