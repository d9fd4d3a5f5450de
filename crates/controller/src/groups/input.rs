//! Input of a fabric domain's planner: its hosts, its target number of groups for each group set, and
//! its share of the deployment's limit on weight loads.

use {
    base::{FabricDomainId, GroupSetName, RatePerSecond},
    conf::{settings::ControllerSettings, ticket::DesiredState},
    infra::{HostEntry, HostRole, HostStanding},
    plan::{DomainCapacity, EngineHost, PlanSettings, place_sets},
    std::{collections::BTreeMap, time::Duration},
};

/// One fabric domain's part of the host list and of the desired state.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainInput {
    pub(super) hosts: Vec<EngineHost>,
    /// Number of groups that each group set should have in this domain.
    pub(super) targets: BTreeMap<GroupSetName, u32>,
    /// How many weight loads this domain may start per second.
    pub(super) loads: RatePerSecond,
}

impl DomainInput {
    /// Derives the input of one domain from the host list.
    ///
    /// Returns `None` if the list has no engine host that stays, as before it is first read: the
    /// caller then continues with its previous input. The limit on weight loads is divided among the
    /// domains by their number of hosts that stay.
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

/// Derives the planner's time limits from the controller's settings.
pub(super) fn plan_settings(settings: &ControllerSettings) -> PlanSettings {
    const MISSED_PROBES: u64 = 3;
    let unresponsive_after = Duration::from_millis(settings.engine_poll_ms * MISSED_PROBES);
    PlanSettings {
        unresponsive_after,
        order_flight_limit: Duration::from_millis(settings.freshness.order_flight_ms),
        order_retry: Duration::from_millis(settings.engine_poll_ms),
        adopt_limit: unresponsive_after + Duration::from_millis(settings.freshness.order_flight_ms),
        ..PlanSettings::default()
    }
}
