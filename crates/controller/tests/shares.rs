//! Shares of a workspace's limit: their sum never passes the limit, whoever grants and whatever fails.

mod support;

use {
    base::{HostId, Tick, WorkspaceId},
    controller::{
        groups::port::DomainAuthority,
        member::placement::responsible_member,
        net::{loads::LoadBook, shares::ShareKeeper},
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

/// Limits of a workspace whose ticket names none.
const REQUESTS_PER_SECOND: f64 = 100.0;
const IN_FLIGHT: u32 = 200;
const NODES: usize = 5;
const STEP: Duration = Duration::from_millis(250);
/// Longest time until a new grantor grants after the earlier one died: silence, the head rule, the
/// run of the last grants and the time to hear every holder.
const RECOVERY: Duration = Duration::from_secs(30);

/// One gateway's admission to the workspace.
struct Gateway {
    gate: Arc<ShareGate>,
    asker: ShareRequester,
    running: Vec<StartGuard>,
}

impl Gateway {
    fn new(now: Tick) -> Self {
        let gate = Arc::new(ShareGate::new(Share::default(), now));
        Self { gate, asker: ShareRequester::new(now), running: Vec::new() }
    }

    /// Ends some requests and lets others start.
    fn work(&mut self, starts: usize, ends: usize, now: Tick) {
        self.running.drain(..ends.min(self.running.len()));
        let started = (0..starts).filter_map(|_| self.gate.try_start(now).ok());
        self.running.extend(started);
    }
}

struct ShareRun {
    sim: Sim,
    workspace: WorkspaceId,
    loads: Arc<LoadBook>,
    keepers: Vec<Option<(Arc<SimNode>, Arc<ShareKeeper>)>>,
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
            keepers: (0..NODES).map(|_| None).collect(),
            gateways: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            token: CancellationToken::new(),
        };
        for index in 0..NODES {
            run.keep(index);
            run.gateways.push(Gateway::new(run.now()));
        }
        run
    }

    fn keep(&mut self, index: usize) {
        let node = self.sim.node(index);
        let keeper = Arc::new(ShareKeeper::new(node.node.clone(), self.loads.clone()));
        let (granting, token) = (keeper.clone(), self.token.clone());
        tokio::spawn(async move { granting.run_grantor(token).await });
        self.keepers[index] = Some((node, keeper));
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

    /// Lets every gateway work and ask once, and checks the sum; gives the rate that all hold.
    async fn step(&mut self) -> f64 {
        self.sim.run(STEP).await;
        let now = self.now();
        for index in 0..NODES {
            let starts = self.random.random_range(0..30);
            let ends = self.random.random_range(0..30);
            self.gateways[index].work(starts, ends, now);
            self.ask(index);
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

    fn ask(&mut self, index: usize) {
        let now = self.now();
        self.loads.polled(&host(index), 10, now);
        let reached: Vec<_> = (0..NODES)
            .filter(|other| self.sim.reaches(index, *other))
            .filter_map(|other| self.keepers[other].clone())
            .filter(|(node, _)| !*node.line.frozen.borrow())
            .collect();
        // A gateway holds the state of its own controller, or of another while that is gone.
        let own = self.keepers[index].iter().filter(|(node, _)| !*node.line.frozen.borrow());
        let Some((source, _)) = own.chain(&reached).next() else { return };
        let view = source.node.state().head.view;
        let gateway = &mut self.gateways[index];
        let Some(ask) = gateway.asker.next_request(&gateway.gate, 0, view, now) else { return };
        let demand = ShareDemand {
            workspace: self.workspace.clone(),
            requests_per_second: ask.demand.requests_per_second,
            in_flight: ask.demand.in_flight,
            holding_per_second: ask.holding.requests_per_second,
            holding_in_flight: ask.holding.in_flight,
            order: ask.order,
            view: ask.view,
        };
        let grants: Vec<ShareGrant> = reached
            .iter()
            .flat_map(|(_, keeper)| keeper.grant(&host(index), std::slice::from_ref(&demand), now))
            .collect();
        assert!(grants.len() <= 1, "{} nodes grant shares of one workspace", grants.len());
        for grant in grants {
            let share = Share {
                requests_per_second: grant.requests_per_second,
                in_flight: grant.in_flight,
            };
            let validity = Duration::from_millis(u64::from(grant.lasts_ms));
            gateway.asker.apply_grant(&gateway.gate, grant.order, share, validity);
        }
    }

    async fn until_granted(&mut self) {
        let mut waited = Duration::ZERO;
        while self.step().await <= 0.0 {
            waited += STEP;
            assert!(waited <= RECOVERY, "nobody grants");
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
async fn the_sum_holds_while_grantors_die_freeze_and_come_back() {
    for seed in 0..4 {
        let mut run = ShareRun::start(seed).await;
        run.until_granted().await;
        run.steps(40).await;
        let dead = run.grantor();
        run.keepers[dead] = None;
        run.sim.kill(dead);
        run.steps(20).await;
        run.until_granted().await;
        run.sim.boot(dead);
        run.keep(dead);
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
async fn the_sum_holds_while_a_grantor_that_is_cut_off_does_not_know_its_successor() {
    for seed in 0..4 {
        let mut run = ShareRun::start(seed).await;
        run.until_granted().await;
        let first = run.grantor();
        run.keepers[first] = None;
        run.sim.kill(first);
        run.steps(60).await;
        run.until_granted().await;
        // The first grantor comes back and the second is cut off with its gateway as it does.
        let second = run.grantor();
        assert_ne!(first, second);
        run.sim.set_side(second, 1);
        run.sim.cut_table(second, true);
        run.sim.boot(first);
        run.keep(first);
        run.steps(60).await;
        run.until_granted().await;
        run.sim.set_side(second, 0);
        run.sim.cut_table(second, false);
        run.steps(60).await;
        run.until_granted().await;
        run.token.cancel();
    }
}
