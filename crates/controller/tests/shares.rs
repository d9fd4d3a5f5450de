//! The sum of the granted shares never exceeds the granted part of a workspace's limit, while grantors
//! change and nodes fail.

mod support;

use {
    base::{HostId, Tick, WorkspaceId},
    controller::{
        groups::port::DomainAuthority,
        member::placement::responsible_member,
        net::{loads::LoadTable, shares::ShareService},
    },
    peer::{ShareDemand, ShareGrant, message::BASE_SHARE_PERCENT},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    route::{Share, ShareGate, ShareRequester, StartGuard},
    std::{sync::Arc, time::Duration},
    support::{
        sim::{Sim, SimNode},
        workspace_ticket,
    },
    tokio_util::sync::CancellationToken,
};

/// Default limits of a workspace whose ticket sets none.
const REQUESTS_PER_SECOND: f64 = 100.0;
const IN_FLIGHT: u32 = 200;
const NODES: usize = 5;
const STEP: Duration = Duration::from_millis(250);
/// Longest time from the end of a grantor to the first grant of the next one: it is considered down,
/// the new view comes into force, its last grants expire, and every holder sends a request.
const RECOVERY: Duration = Duration::from_secs(30);

/// Admission control of one gateway for the workspace.
struct Gateway {
    gate: Arc<ShareGate>,
    requester: ShareRequester,
    running: Vec<StartGuard>,
}

impl Gateway {
    fn new(now: Tick) -> Self {
        let gate = Arc::new(ShareGate::new(Share::default(), now));
        Self { gate, requester: ShareRequester::new(now), running: Vec::new() }
    }

    /// Ends up to `ends` requests and tries to start `starts` others.
    fn work(&mut self, starts: usize, ends: usize, now: Tick) {
        self.running.drain(..ends.min(self.running.len()));
        let started = (0..starts).filter_map(|_| self.gate.try_start(now).ok());
        self.running.extend(started);
    }
}

struct ShareRun {
    sim: Sim,
    workspace: WorkspaceId,
    loads: Arc<LoadTable>,
    services: Vec<Option<(Arc<SimNode>, Arc<ShareService>)>>,
    gateways: Vec<Gateway>,
    random: Pcg64Mcg,
    token: CancellationToken,
}

impl ShareRun {
    async fn start(seed: u64) -> Self {
        let sim = Sim::start(NODES, &[]).await;
        let request = admin::SubmitRequest { ticket: workspace_ticket("w", "w"), expect: None };
        sim.node(0).tickets.submit(request).await;
        let mut run = Self {
            sim,
            workspace: WorkspaceId::new("w").unwrap(),
            loads: Arc::default(),
            services: (0..NODES).map(|_| None).collect(),
            gateways: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            token: CancellationToken::new(),
        };
        for index in 0..NODES {
            run.start_service(index);
            run.gateways.push(Gateway::new(run.now()));
        }
        run
    }

    fn start_service(&mut self, index: usize) {
        let node = self.sim.node(index);
        let service = Arc::new(ShareService::new(node.node.clone(), self.loads.clone()));
        let (service_task, token) = (service.clone(), self.token.clone());
        tokio::spawn(async move { service_task.run_grantor(token).await });
        self.services[index] = Some((node, service));
    }

    fn grantor(&self) -> usize {
        let state = self.sim.running().last().unwrap().node.state();
        let members = state.view.members.iter().map(|row| &row.member);
        let member = responsible_member(self.workspace.as_str(), members).unwrap().clone();
        (0..NODES).find(|index| member.host == host(*index)).unwrap()
    }

    fn now(&self) -> Tick {
        self.sim.running()[0].node.now()
    }

    /// Lets every gateway start and end requests and send one share request, then checks the sum of
    /// the shares. Returns the sum of their rates.
    async fn step(&mut self) -> f64 {
        self.sim.run(STEP).await;
        let now = self.now();
        for index in 0..NODES {
            let starts = self.random.random_range(0..30);
            let ends = self.random.random_range(0..30);
            self.gateways[index].work(starts, ends, now);
            self.request_share(index);
        }
        let held = self.gateways.iter().map(|gateway| gateway.gate.held(now));
        let (rate, in_flight) = held.fold((0.0, 0), |sum, share| {
            (sum.0 + share.requests_per_second.0, sum.1 + share.in_flight)
        });
        let part = f64::from(100 - BASE_SHARE_PERCENT) / 100.0;
        assert!(rate <= REQUESTS_PER_SECOND * part + 1e-6, "{rate} requests a second");
        assert!(f64::from(in_flight) <= f64::from(IN_FLIGHT) * part, "{in_flight} in flight");
        rate
    }

    fn request_share(&mut self, index: usize) {
        let now = self.now();
        self.loads.record_poll(&host(index), 10, now);
        let reached: Vec<_> = (0..NODES)
            .filter(|other| self.sim.reaches(index, *other))
            .filter_map(|other| self.services[other].clone())
            .filter(|(node, _)| !*node.table_link.frozen.borrow())
            .collect();
        // A gateway uses the state of its own controller, or of another one while that is unreachable.
        let own = self.services[index].iter().filter(|(node, _)| !*node.table_link.frozen.borrow());
        let Some((source, _)) = own.chain(&reached).next() else { return };
        let view = source.node.state().head.view;
        let gateway = &mut self.gateways[index];
        let Some(request) = gateway.requester.next_request(&gateway.gate, 0, view, now) else {
            return;
        };
        let demand = ShareDemand {
            workspace: self.workspace.clone(),
            requests_per_second: request.demand.requests_per_second,
            in_flight: request.demand.in_flight,
            holding_per_second: request.holding.requests_per_second,
            holding_in_flight: request.holding.in_flight,
            order: request.order,
            view: request.view,
        };
        let grants: Vec<ShareGrant> = reached
            .iter()
            .flat_map(|(_, service)| {
                service.grant(&host(index), std::slice::from_ref(&demand), now)
            })
            .collect();
        assert!(grants.len() <= 1, "{} nodes grant shares of one workspace", grants.len());
        for grant in grants {
            let share = Share {
                requests_per_second: grant.requests_per_second,
                in_flight: grant.in_flight,
            };
            let validity = Duration::from_millis(u64::from(grant.valid_ms));
            gateway.requester.apply_grant(&gateway.gate, grant.order, share, validity);
        }
    }

    async fn until_granted(&mut self) {
        let mut waited = Duration::ZERO;
        while self.step().await <= 0.0 {
            waited += STEP;
            assert!(waited <= RECOVERY, "no node grants a share within {RECOVERY:?}");
        }
    }

    async fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step().await;
        }
    }
}

fn host(index: usize) -> HostId {
    HostId::new(format!("entry-{index}")).unwrap()
}

#[tokio::test(start_paused = true)]
async fn the_sum_stays_within_the_limit_while_grantors_end_freeze_and_return() {
    for seed in 0..4 {
        let mut run = ShareRun::start(seed).await;
        run.until_granted().await;
        run.steps(40).await;
        let ended = run.grantor();
        run.services[ended] = None;
        run.sim.kill(ended);
        run.steps(20).await;
        run.until_granted().await;
        run.sim.boot(ended);
        run.start_service(ended);
        run.steps(40).await;
        run.until_granted().await;
        let frozen = run.grantor();
        run.sim.freeze(frozen);
        run.steps(100).await;
        run.sim.thaw(frozen, |_| {});
        run.steps(60).await;
        run.until_granted().await;
        run.token.cancel();
    }
}

#[tokio::test(start_paused = true)]
async fn the_sum_stays_within_the_limit_while_a_partitioned_grantor_does_not_know_its_successor() {
    for seed in 0..4 {
        let mut run = ShareRun::start(seed).await;
        run.until_granted().await;
        let first = run.grantor();
        run.services[first] = None;
        run.sim.kill(first);
        run.steps(60).await;
        run.until_granted().await;
        // The second grantor and its gateway are partitioned just when the first grantor returns.
        let second = run.grantor();
        assert_ne!(first, second);
        run.sim.set_partition(second, 1);
        run.sim.cut_table(second, true);
        run.sim.boot(first);
        run.start_service(first);
        run.steps(60).await;
        run.until_granted().await;
        run.sim.set_partition(second, 0);
        run.sim.cut_table(second, false);
        run.steps(60).await;
        run.until_granted().await;
        run.token.cancel();
    }
}
