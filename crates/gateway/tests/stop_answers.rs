//! Requests of every kind at fixed steps over a planned stop, on real sockets.

mod support;

use {
    conf::settings::{FreshnessSettings, GatewaySettings},
    gateway::daemon::StopResult,
    http::StatusCode,
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    support::{
        controller::FakeController,
        http_ports,
        platform_fake::MemoryTable,
        settings, start,
        stop_probe::{
            CallerConnection, ProbeEnd, ProbeKind, ProbeLedger, ProbeReport, StopProbe, connect,
        },
        wire_server,
    },
    tokio::{
        runtime::{Builder, Runtime},
        sync::oneshot,
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

const STOP_LIMIT: Duration = Duration::from_millis(3_000);
/// Time between two requests of a kind.
const STEP: Duration = Duration::from_millis(100);
/// Time before the signal from which on requests are sent.
const LEAD: Duration = Duration::from_millis(800);
/// Times that requests work, one after the other, in parts of the stop limit.
const WORK_PARTS: [f64; 4] = [0.3, 0.6, 1.2, 0.05];
/// Time after the signal from which on a request surely comes to a stopping gateway.
const SIGNAL_DELAY_MS: i64 = 50;
/// Groups and servers of each service, of 8 slots each: enough that no request waits for one.
const TARGETS: usize = 24;

fn stop_settings() -> GatewaySettings {
    GatewaySettings {
        address_keep_ms: 900,
        freshness: FreshnessSettings { window_ms: 600, ..FreshnessSettings::default() },
        stop_limit_ms: STOP_LIMIT.as_millis() as u64,
        silence_ms: 30_000,
        ..settings()
    }
}

async fn controller_with_targets(ledger: &Arc<ProbeLedger>) -> Arc<FakeController> {
    let controller = FakeController::new();
    for number in 0..TARGETS {
        let ledger = ledger.clone();
        let serve = move |request, stream| ledger.clone().serve(request, stream);
        let (address, _) = wire_server::serve(serve).await;
        controller.add_group(&format!("g{number}"), address);
        controller.add_server("quotes", &format!("quotes-{number}"), address);
        controller.add_server("notices", &format!("notices-{number}"), address);
    }
    controller
}

/// A gateway in a runtime of its own, which ends with the stop as the process does.
struct OwnGateway {
    runtime: Runtime,
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<StopResult>,
}

impl OwnGateway {
    async fn start(controller: &Arc<FakeController>, table: &Arc<MemoryTable>) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let (started, address) = oneshot::channel();
        let (stop, stopping) = oneshot::channel();
        let (ended, stopped) = oneshot::channel();
        let ports = gateway::ports::GatewayPorts { table: table.clone(), ..http_ports() };
        let controller = controller.clone();
        runtime.spawn(async move {
            let gateway = start(stop_settings(), ports, &controller).await;
            started.send(gateway.callers_address()).unwrap();
            stopping.await.unwrap();
            ended.send(gateway.stop().await).unwrap();
        });
        Self { runtime, address: address.await.unwrap(), stop, stopped }
    }

    /// Stops the gateway and drops all its tasks. Returns how the stop ended and its time.
    async fn stop(self) -> (StopResult, Duration) {
        let signalled = Instant::now();
        self.stop.send(()).unwrap();
        let result = self.stopped.await.unwrap();
        self.runtime.shutdown_background();
        (result, signalled.elapsed())
    }
}

/// Opens a connection and sends a request on it.
async fn kept_connection(gateway: SocketAddr, id: String) -> CallerConnection {
    let probe = StopProbe { id, kind: ProbeKind::SafeCall, work: Duration::ZERO, kept: false };
    let mut connection = connect(gateway).await.unwrap();
    let request = probe.request(Duration::from_secs(5));
    let body = http_body_util::Full::new(request.body);
    let response = connection.send_request(request.builder.body(body).unwrap()).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    http_body_util::BodyExt::collect(response.into_body()).await.unwrap();
    connection
}

/// All requests, with the time from the first one to each.
fn probes() -> Vec<(Duration, StopProbe)> {
    let steps = ((LEAD + STOP_LIMIT).as_millis() / STEP.as_millis()) as u32;
    let mut probes = Vec::new();
    for step in 0..steps {
        for kind in ProbeKind::ALL {
            let part = WORK_PARTS[step as usize / 2 % WORK_PARTS.len()];
            let id = format!("{kind:?}-{step:02}").to_lowercase();
            let probe = StopProbe { id, kind, work: STOP_LIMIT.mul_f64(part), kept: step % 2 == 1 };
            probes.push((STEP * step, probe));
        }
    }
    probes
}

async fn send_probes(gateway: SocketAddr, first_at: Instant) -> JoinSet<ProbeReport> {
    let mut sent = JoinSet::new();
    for (after_first, probe) in probes() {
        let kept = match probe.kept {
            true => Some(kept_connection(gateway, format!("{}-before", probe.id)).await),
            false => None,
        };
        sent.spawn(async move {
            sleep_until(first_at + after_first).await;
            probe.send(gateway, kept, first_at + LEAD).await
        });
    }
    assert!(Instant::now() < first_at, "the connections took too long");
    sent
}

/// What is wrong with the end of a request.
fn fault(report: &ProbeReport, ledger: &ProbeLedger) -> Option<&'static str> {
    let runs = ledger.runs(&report.probe.id);
    match report.end {
        ProbeEnd::Lost(_) => Some("it got no answer"),
        ProbeEnd::NotRun | ProbeEnd::Unsent if runs > 0 => Some("it ran"),
        ProbeEnd::Unknown | ProbeEnd::Cut if report.after_signal_ms >= SIGNAL_DELAY_MS => {
            Some("it was taken on and not finished")
        }
        _ if runs > 1 && !report.probe.kind.may_repeat() => Some("it ran twice"),
        _ => None,
    }
}

/// What is wrong with the end of a second submission of a request with a key.
async fn second_fault(
    report: ProbeReport,
    gateway: SocketAddr,
    ledger: Arc<ProbeLedger>,
) -> Option<String> {
    let probe = &report.probe;
    let runs_before = ledger.runs(&probe.id);
    let answer = probe.request(Duration::from_secs(5)).send(gateway).await;
    let end = probe.classify(&answer);
    let new_runs = ledger.runs(&probe.id) - runs_before;
    let expected = match report.end {
        ProbeEnd::Whole => (ProbeEnd::Whole, 0),
        ProbeEnd::NotRun | ProbeEnd::Unsent => (ProbeEnd::Whole, 1),
        _ => (ProbeEnd::Unknown, 0),
    };
    let reason = answer.text().contains("key-running").then_some("it is said to run");
    let wrong = (end.clone(), new_runs) != expected || reason.is_some();
    wrong.then(|| format!("{report}; again: {end:?} with {new_runs} runs {}", answer.text()))
}

async fn second_faults(
    reports: &[ProbeReport],
    controller: &Arc<FakeController>,
    table: &Arc<MemoryTable>,
    ledger: &Arc<ProbeLedger>,
) -> Vec<String> {
    ledger.answer_at_once();
    let gateway = OwnGateway::start(controller, table).await;
    let mut checks = JoinSet::new();
    for report in reports.iter().filter(|report| report.probe.kind.has_key()) {
        checks.spawn(second_fault(report.clone(), gateway.address, ledger.clone()));
    }
    let faults = checks.join_all().await.into_iter().flatten().collect();
    // Its stop is not looked at.
    thread::spawn(move || gateway.runtime.shutdown_background()).join().unwrap();
    faults
}

/// Requests that a stopping gateway took on lost their answers when `stop_limit_ms` had passed, and
/// the claims of those with keys stayed open: it never asked whether they could still end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_around_a_stop_gets_an_answer() {
    let ledger = Arc::new(ProbeLedger::default());
    let controller = controller_with_targets(&ledger).await;
    let table = Arc::new(MemoryTable::default());
    let gateway = OwnGateway::start(&controller, &table).await;
    let first_at = Instant::now() + Duration::from_secs(2);
    let sent = send_probes(gateway.address, first_at).await;
    sleep_until(first_at + LEAD).await;
    let (result, took) = gateway.stop().await;
    let mut reports = sent.join_all().await;
    reports.sort_by_key(|report| report.after_signal_ms);
    reports.iter().for_each(|report| println!("{report}"));
    println!("{result:?} after {took:?}");
    let wrong = reports.iter().filter_map(|report| Some((fault(report, &ledger)?, report)));
    let wrong: Vec<String> = wrong.map(|(fault, report)| format!("{fault}: {report}")).collect();
    let again = second_faults(&reports, &controller, &table, &ledger).await;
    let counts = (wrong.len(), reports.len(), again.len());
    assert!(wrong.is_empty() && again.is_empty(), "{counts:?}: {wrong:#?} {again:#?}");
    assert!(took <= STOP_LIMIT, "{took:?}");
    // Some streams of 1.2 times the limit began before the signal.
    assert_eq!(result, StopResult::TimedOut);
    assert!(reports.iter().any(|report| report.end == ProbeEnd::Cut));
    // Short requests are served for as long as addresses are valid, which is 1.52 s.
    let whole = reports.iter().filter(|report| report.end == ProbeEnd::Whole);
    let last = whole.map(|report| report.after_signal_ms).max();
    assert!(last >= Some(1_400), "the last request that was served came at {last:?} ms");
}
