//! What a test cluster is made of, and the settings files that follow from it.

use {
    base::{FabricDomainId, FailureDomainId, HostId, RegionId, ServiceName},
    conf::settings::{ControllerSettings, FreshnessSettings, GatewaySettings, PlatformSettings},
    infra::{HostEntry, HostRole, HostStanding},
    standin::{
        BoundAddresses, StandinSettings,
        settings::{DomainSettings, EngineSettings, ServiceSettings},
    },
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
    },
};

/// Region of everything in a test.
const REGION: &str = "test";
/// Log lines of the daemons in a test.
const LOG_FILTER: &str = "info,slog=warn";
/// The plain service of a test.
pub const SERVICE: &str = "forms";

/// What a test cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterShape {
    /// Entry hosts, each with a controller and a gateway.
    pub entry_hosts: usize,
    /// Fabric domains, each in a failure domain of its own.
    pub fabric_domains: usize,
    /// Engine hosts of a fabric domain.
    pub hosts_per_domain: u32,
    /// Servers of the plain service.
    pub service_servers: u32,
    /// How engines behave.
    pub engine: EngineSettings,
    /// How far the host list lags, in milliseconds.
    pub host_lag_ms: u64,
    /// The timing of the head rule.
    pub freshness: FreshnessSettings,
    /// Longest time of a planned stop of a gateway, in milliseconds.
    pub gateway_stop_limit_ms: u64,
}

impl Default for ClusterShape {
    fn default() -> Self {
        Self {
            entry_hosts: 2,
            fabric_domains: 3,
            hosts_per_domain: 5,
            service_servers: 0,
            engine: EngineSettings {
                load_ms: 200,
                token_interval_ms: 10,
                ..EngineSettings::default()
            },
            host_lag_ms: 100,
            freshness: FreshnessSettings { window_ms: 1_500, margin_ms: 200, order_flight_ms: 500 },
            gateway_stop_limit_ms: GatewaySettings::default().stop_limit_ms,
        }
    }
}

/// The addresses of one entry host.
#[derive(Clone, Debug)]
pub struct NodeAddresses {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where the controller hears peers and gateways.
    pub peer: SocketAddr,
    /// Where the controller hears operators.
    pub admin: SocketAddr,
    /// Where the gateway hears callers.
    pub gateway: SocketAddr,
    /// Where the gateway serves metrics.
    pub gateway_admin: SocketAddr,
}

/// Counts the loopback addresses given out by this process.
static NODES: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other test uses: it has the process id and a count in it, so that
/// the ports on it are free and stay free while a process is down.
fn private_ip() -> IpAddr {
    let node = NODES.fetch_add(1, Ordering::Relaxed) % 250;
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high, low, node as u8 + 2))
}

/// The addresses given out by this process. The system may choose a port again once it is closed.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A port on `ip` that is free for TCP and UDP, and was not given out before.
fn free_address(ip: IpAddr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let address = listener.local_addr().expect("a bound socket has an address");
        let is_free = UdpSocket::bind(address).is_ok();
        if is_free && GIVEN.lock().expect("no test panics while it holds it").insert(address) {
            return address;
        }
    }
}

fn failure_domain(number: usize) -> FailureDomainId {
    FailureDomainId::new(format!("fd-{}", number + 1)).expect("digits are allowed")
}

fn region() -> RegionId {
    RegionId::new(REGION).expect("a valid literal")
}

/// The fabric domain with this number, from 0.
pub fn fabric_domain(number: usize) -> FabricDomainId {
    FabricDomainId::new(format!("fabric-{}", number + 1)).expect("digits are allowed")
}

impl ClusterShape {
    /// Chooses the addresses of entry host `number`.
    pub fn node(&self, number: usize) -> NodeAddresses {
        let ip = private_ip();
        NodeAddresses {
            host: HostId::new(format!("entry-{}", number + 1)).expect("digits are allowed"),
            failure_domain: failure_domain(number % self.fabric_domains.max(1)),
            peer: free_address(ip),
            admin: free_address(ip),
            gateway: free_address(ip),
            gateway_admin: free_address(ip),
        }
    }

    /// Settings of the stand-ins.
    pub fn standin(&self, nodes: &[NodeAddresses]) -> StandinSettings {
        let any = SocketAddr::new(private_ip(), 0);
        let domains = (0..self.fabric_domains).map(|number| DomainSettings {
            name: fabric_domain(number),
            failure_domain: failure_domain(number),
            region: region(),
            hosts: self.hosts_per_domain,
            accelerators: 8,
            listen: any,
        });
        let service = ServiceSettings {
            name: ServiceName::new(SERVICE).expect("a valid literal"),
            failure_domains: (0..self.fabric_domains.max(1)).map(failure_domain).collect(),
            region: region(),
            servers: self.service_servers,
            run_ms: 20,
            slots: 64,
            listen: any,
        };
        StandinSettings {
            table_listen: any,
            objects_listen: any,
            hosts_listen: any,
            control_listen: any,
            host_lag_ms: self.host_lag_ms,
            engine: self.engine.clone(),
            fabric_domains: domains.collect(),
            services: vec![service],
            entry_hosts: nodes.iter().map(entry_line).collect(),
            ..StandinSettings::default()
        }
    }

    /// Settings of a controller.
    pub fn controller(&self, node: &NodeAddresses, standin: &BoundAddresses) -> ControllerSettings {
        ControllerSettings {
            host: node.host.clone(),
            failure_domain: node.failure_domain.clone(),
            region: region(),
            peer_listen: node.peer,
            admin_listen: node.admin,
            gateway_address: node.gateway,
            platform: platform_settings(standin),
            freshness: self.freshness.clone(),
            head_poll_ms: 250,
            host_poll_ms: 250,
            peer_poll_ms: 200,
            engine_poll_ms: 150,
            log_filter: LOG_FILTER.into(),
            ..ControllerSettings::default()
        }
    }

    /// Settings of a gateway; `others` are the peer addresses of other controllers.
    pub fn gateway(
        &self,
        node: &NodeAddresses,
        others: Vec<SocketAddr>,
        standin: &BoundAddresses,
    ) -> GatewaySettings {
        GatewaySettings {
            host: node.host.clone(),
            failure_domain: node.failure_domain.clone(),
            region: region(),
            listen: node.gateway,
            admin_listen: node.gateway_admin,
            controller: node.peer,
            other_controllers: others,
            platform: platform_settings(standin),
            freshness: self.freshness.clone(),
            controller_poll_ms: 100,
            address_keep_ms: 1_000,
            silence_ms: 1_000,
            stop_limit_ms: self.gateway_stop_limit_ms,
            log_filter: LOG_FILTER.into(),
            ..GatewaySettings::default()
        }
    }
}

fn entry_line(node: &NodeAddresses) -> HostEntry {
    HostEntry {
        host: node.host.clone(),
        address: node.peer,
        failure_domain: node.failure_domain.clone(),
        region: region(),
        role: HostRole::Entry,
        standing: HostStanding::Live,
    }
}

fn platform_settings(standin: &BoundAddresses) -> PlatformSettings {
    PlatformSettings {
        table: standin.table,
        objects: standin.objects,
        hosts: standin.hosts,
        timeout_ms: 500,
    }
}
