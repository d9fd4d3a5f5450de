//! A gateway polls other controllers while its own is down or isolated.

mod support;

use {
    async_trait::async_trait,
    base::{FailureDomainId, HostId, Incarnation, MemberId, RegionId},
    conf::settings::GatewaySettings,
    gateway::{
        controller::{ControllerPort, PollError},
        core::GatewayCore,
        poll::StatePoller,
    },
    parking_lot::Mutex,
    peer::{GatewayPoll, GatewayUpdate, MemberRow},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    support::{controller::FakeController, http_ports, settings},
};

/// Controllers by address. Polls of any other address fail.
#[derive(Default)]
struct ControllerMap {
    controllers: Mutex<HashMap<SocketAddr, Arc<FakeController>>>,
}

#[async_trait]
impl ControllerPort for ControllerMap {
    async fn poll(
        &self,
        address: SocketAddr,
        poll: GatewayPoll,
    ) -> Result<GatewayUpdate, PollError> {
        let controller = self.controllers.lock().get(&address).cloned();
        match controller {
            Some(controller) => controller.poll(address, poll).await,
            None => Err(PollError::NoAnswer {
                address,
                detail: "no controller at this address".to_owned(),
            }),
        }
    }
}

fn port_address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn member(host: &str, port: u16) -> MemberRow {
    MemberRow {
        member: MemberId { host: HostId::new(host).unwrap(), incarnation: Incarnation(1) },
        failure_domain: FailureDomainId::new("fd-1").unwrap(),
        region: RegionId::new("local").unwrap(),
        peer_address: port_address(port),
        admin_address: port_address(port),
        gateway_address: port_address(port),
        protocol: 1,
    }
}

struct PollSetup {
    map: Arc<ControllerMap>,
    core: Arc<GatewayCore>,
    poller: StatePoller,
}

fn setup(controllers: &[(u16, &Arc<FakeController>)]) -> PollSetup {
    let map = Arc::new(ControllerMap::default());
    for (port, controller) in controllers {
        map.controllers.lock().insert(port_address(*port), (*controller).clone());
    }
    let settings = GatewaySettings {
        controller: port_address(1),
        other_controllers: vec![port_address(2)],
        ..settings()
    };
    let core = Arc::new(GatewayCore::new(settings, http_ports()));
    let poller = StatePoller::new(core.clone(), map.clone());
    PollSetup { map, core, poller }
}

#[tokio::test]
async fn other_controller_is_polled_while_the_own_is_down() {
    let (own, other) = (FakeController::new(), FakeController::new());
    let mut setup = setup(&[(2, &other)]);
    setup.poller.poll_round().await;
    assert!(setup.core.current_state().is_ok());
    setup.map.controllers.lock().insert(port_address(1), own.clone());
    setup.poller.poll_round().await;
    assert_eq!((own.poll_count(), other.poll_count()), (1, 1));
}

#[tokio::test]
async fn other_controller_is_polled_while_the_own_is_isolated() {
    let (own, other) = (FakeController::new(), FakeController::new());
    own.set_age(None);
    let mut setup = setup(&[(1, &own), (2, &other)]);
    setup.poller.poll_round().await;
    assert!(setup.core.current_state().is_ok());
    assert_eq!((own.poll_count(), other.poll_count()), (1, 1));
}

#[tokio::test]
async fn controllers_of_the_view_are_polled() {
    let (own, view_controller) = (FakeController::new(), FakeController::new());
    own.set_members(vec![member("entry-1", 1), member("entry-9", 9)]);
    let mut setup = setup(&[(1, &own), (9, &view_controller)]);
    setup.poller.poll_round().await;
    setup.map.controllers.lock().remove(&port_address(1));
    for _ in 0..3 {
        setup.poller.poll_round().await;
    }
    assert!(view_controller.poll_count() >= 1);
}

#[tokio::test]
async fn older_state_never_replaces_a_newer_one() {
    let (own, other) = (FakeController::new(), FakeController::new());
    own.change(|desired| desired.workspaces.clear());
    let mut setup = setup(&[(1, &own), (2, &other)]);
    setup.poller.poll_round().await;
    let head = setup.core.state.load().head();
    setup.map.controllers.lock().remove(&port_address(1));
    setup.poller.poll_round().await;
    assert_eq!(other.poll_count(), 1);
    assert_eq!(setup.core.state.load().head(), head);
    assert!(setup.core.state.load().cluster.desired.workspaces.is_empty());
}
