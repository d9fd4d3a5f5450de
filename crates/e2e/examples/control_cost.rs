//! Measures what control costs a node, with as many real controllers as asked for.
//!
//! Starts the stand-ins and N controllers with the default timing, waits until all are members,
//! then reads processor time, memory and peer traffic of each over a span at rest, submits tickets
//! and times them until each node holds them. Prints a Markdown row for each N, and a straight
//! line through them.
//!
//! Usage: `cargo build --release --workspace --bins && cargo run --release -p e2e --example
//! control_cost -- 15 30 60`.

use {
    admin::{MembersView, StateView, SubmitRequest, TicketStatus},
    base::TicketNumber,
    conf::{
        settings::{ControllerSettings, FreshnessSettings},
        ticket::{ChangeTicket, WorkspaceSpec},
    },
    e2e::{
        ChildProcess, ClusterShape,
        cluster::new_submission,
        http::{TestClient, call, call_json, get_json, new_client},
        shape::NodeAddresses,
        wait_for,
    },
    http::{Method, Request},
    http_body_util::Full,
    serde::Serialize,
    standin::BoundAddresses,
    std::{
        fs,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const FABRIC_DOMAINS: usize = 10;
const HOSTS_PER_DOMAIN: u32 = 2;
const REST: Duration = Duration::from_secs(15);
const TICKETS: u64 = 5;
const CLOCK_TICKS_A_SECOND: f64 = 100.0;
const PAGE_KIB: u64 = 4;

/// One running controller.
struct Controller {
    addresses: NodeAddresses,
    process: ChildProcess,
}

/// Counters of one controller at one moment.
#[derive(Clone, Copy)]
struct Reading {
    cpu_s: f64,
    memory_mib: f64,
    peer_bytes: f64,
}

/// What one size showed, for each node.
struct Row {
    nodes: usize,
    join_s: f64,
    cpu_percent: f64,
    worst_cpu_percent: f64,
    memory_mib: f64,
    worst_memory_mib: f64,
    bytes_a_second: f64,
    worst_bytes_a_second: f64,
    ticket_s: f64,
    worst_ticket_s: f64,
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let mut rows = Vec::new();
    for nodes in sizes {
        rows.push(measure(nodes).await);
    }
    print_rows(&rows);
    print_fits(&rows);
}

async fn measure(nodes: usize) -> Row {
    let shape = ClusterShape {
        entry_hosts: nodes,
        fabric_domains: FABRIC_DOMAINS,
        hosts_per_domain: HOSTS_PER_DOMAIN,
        freshness: FreshnessSettings::default(),
        ..ClusterShape::default()
    };
    let directory = std::env::temp_dir().join(format!("gf-cost-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("the temporary directory can be written");
    let addresses: Vec<NodeAddresses> = (0..nodes).map(|number| shape.node(number)).collect();
    let settings = yaml(&shape.standin(&addresses));
    let standin = ChildProcess::start("gf-standin", "standin", &settings, &directory)
        .expect("the stand-ins start");
    let bound: BoundAddresses =
        wait_for("the stand-ins' addresses", async || serde_json::from_str(&standin.output()).ok())
            .await;
    let started = Instant::now();
    let controllers: Vec<Controller> =
        addresses.into_iter().map(|node| start(&shape, node, &bound, &directory)).collect();
    let client = new_client();
    wait_members(&client, &controllers).await;
    let join_s = started.elapsed().as_secs_f64();
    sleep(Duration::from_secs(8)).await;
    let rest = read_rest(&client, &controllers).await;
    let tickets = time_tickets(&client, &controllers).await;
    drop(controllers);
    let _ = fs::remove_dir_all(&directory);
    row(nodes, join_s, &rest, &tickets)
}

fn start(
    shape: &ClusterShape,
    addresses: NodeAddresses,
    bound: &BoundAddresses,
    directory: &Path,
) -> Controller {
    let timing = ControllerSettings::default();
    let settings = ControllerSettings {
        head_poll_ms: timing.head_poll_ms,
        host_poll_ms: timing.host_poll_ms,
        peer_poll_ms: timing.peer_poll_ms,
        engine_poll_ms: timing.engine_poll_ms,
        ..shape.controller(&addresses, bound)
    };
    let name = format!("controller-{}", addresses.host);
    let directory: PathBuf = directory.to_owned();
    let process = ChildProcess::start("gf-controller", &name, &yaml(&settings), &directory)
        .expect("the controller starts");
    Controller { addresses, process }
}

async fn wait_members(client: &TestClient, controllers: &[Controller]) {
    let admin = controllers[0].addresses.admin;
    wait_for("all members", async || {
        let view: MembersView = get_json(client, admin, "/v1/members").await.ok()?;
        (view.members.len() == controllers.len()).then_some(())
    })
    .await;
}

/// The change of each controller's counters over the span at rest.
async fn read_rest(client: &TestClient, controllers: &[Controller]) -> Vec<Reading> {
    let mut before = Vec::new();
    for controller in controllers {
        before.push((Instant::now(), read(client, controller).await));
    }
    sleep(REST).await;
    let mut change = Vec::new();
    for (controller, (at, first)) in controllers.iter().zip(before) {
        let last = read(client, controller).await;
        let seconds = at.elapsed().as_secs_f64();
        change.push(Reading {
            cpu_s: (last.cpu_s - first.cpu_s) / seconds,
            memory_mib: last.memory_mib,
            peer_bytes: (last.peer_bytes - first.peer_bytes) / seconds,
        });
    }
    change
}

async fn read(client: &TestClient, controller: &Controller) -> Reading {
    let id = controller.process.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat.rsplit_once(')').expect("a stat line").1.split(' ').collect();
    let number = |at: usize| fields[at].parse::<f64>().unwrap_or(0.0);
    let cpu_s = (number(12) + number(13)) / CLOCK_TICKS_A_SECOND;
    let memory_mib = number(22) * PAGE_KIB as f64 / 1_024.0;
    let uri = format!("http://{}/metrics", controller.addresses.admin);
    let request = Request::get(uri).body(Full::default()).expect("a valid request");
    let answer = call(client, request).await;
    let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
    let text = text.unwrap_or_default();
    let metric = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let peer_bytes = metric("gf_controller_peer_sent_bytes_total")
        + metric("gf_controller_peer_received_bytes_total");
    Reading { cpu_s, memory_mib, peer_bytes }
}

/// Seconds from the submission of each ticket until it is told to be in force.
async fn time_tickets(client: &TestClient, controllers: &[Controller]) -> Vec<f64> {
    let mut times = Vec::new();
    for number in 0..TICKETS {
        let admin = controllers[number as usize % controllers.len()].addresses.admin;
        let request = SubmitRequest { ticket: ticket(number), expect: None };
        let started = Instant::now();
        let accepted: TicketNumber = wait_for("a ticket in force", async || {
            let status: Result<TicketStatus, String> =
                call_json(client, Method::POST, admin, "/v1/tickets", Some(&request)).await;
            match status {
                Ok(TicketStatus::Accepted { number }) => Some(number),
                _ => None,
            }
        })
        .await;
        times.push(started.elapsed().as_secs_f64());
        check_everywhere(client, controllers, accepted).await;
    }
    times
}

/// In force means that no node is current on an older state.
async fn check_everywhere(client: &TestClient, controllers: &[Controller], ticket: TicketNumber) {
    for controller in controllers {
        let view: Result<StateView, String> =
            get_json(client, controller.addresses.admin, "/v1/state").await;
        if let Ok(view) = view
            && view.currency != admin::Currency::Isolated
        {
            assert!(view.state.desired.ticket >= ticket, "{} is stale", view.node);
        }
    }
}

fn ticket(number: u64) -> ChangeTicket {
    let text = format!("note: cost\nworkspaces: [{{name: cost-{number}}}]\n");
    let workspace: WorkspaceSpec =
        serde_yaml_ng::from_str(&format!("name: cost-{number}")).expect("a valid literal");
    ChangeTicket {
        submission: Some(new_submission()),
        workspaces: vec![workspace],
        ..serde_yaml_ng::from_str(&text).expect("a valid literal")
    }
}

fn row(nodes: usize, join_s: f64, rest: &[Reading], tickets: &[f64]) -> Row {
    let mean = |of: fn(&Reading) -> f64| rest.iter().map(of).sum::<f64>() / rest.len() as f64;
    let most = |of: fn(&Reading) -> f64| rest.iter().map(of).fold(0.0, f64::max);
    Row {
        nodes,
        join_s,
        cpu_percent: mean(|reading| reading.cpu_s * 100.0),
        worst_cpu_percent: most(|reading| reading.cpu_s * 100.0),
        memory_mib: mean(|reading| reading.memory_mib),
        worst_memory_mib: most(|reading| reading.memory_mib),
        bytes_a_second: mean(|reading| reading.peer_bytes),
        worst_bytes_a_second: most(|reading| reading.peer_bytes),
        ticket_s: tickets.iter().sum::<f64>() / tickets.len() as f64,
        worst_ticket_s: tickets.iter().copied().fold(0.0, f64::max),
    }
}

fn print_rows(rows: &[Row]) {
    println!(
        "| nodes | all joined, s | core, % (worst) | memory, MiB (worst) | peer B/s (worst) | ticket in force, s (worst) |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!(
            "| {} | {:.1} | {:.2} ({:.2}) | {:.1} ({:.1}) | {:.0} ({:.0}) | {:.2} ({:.2}) |",
            row.nodes,
            row.join_s,
            row.cpu_percent,
            row.worst_cpu_percent,
            row.memory_mib,
            row.worst_memory_mib,
            row.bytes_a_second,
            row.worst_bytes_a_second,
            row.ticket_s,
            row.worst_ticket_s,
        );
    }
}

fn print_fits(rows: &[Row]) {
    println!();
    println!("| for a node | at 0 | slope a node | fit, R² | at 330 |");
    println!("| --- | --- | --- | --- | --- |");
    print_fit("core, %", rows, |row| row.cpu_percent);
    print_fit("memory, MiB", rows, |row| row.memory_mib);
    print_fit("peer traffic, B/s", rows, |row| row.bytes_a_second);
    print_fit("ticket in force, s", rows, |row| row.ticket_s);
}

/// Least squares.
fn print_fit(name: &str, rows: &[Row], of: fn(&Row) -> f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.nodes as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(of).sum::<f64>() / count;
    let products = |one: &dyn Fn(&Row) -> f64, other: &dyn Fn(&Row) -> f64| {
        rows.iter().map(|row| one(row) * other(row)).sum::<f64>()
    };
    let x = |row: &Row| row.nodes as f64 - mean_x;
    let y = |row: &Row| of(row) - mean_y;
    let slope = products(&x, &y) / products(&x, &x);
    let start = mean_y - slope * mean_x;
    let fit = products(&x, &y).powi(2) / (products(&x, &x) * products(&y, &y));
    println!("| {name} | {start:.2} | {slope:.4} | {fit:.3} | {:.2} |", start + slope * 330.0);
}

fn yaml(settings: &impl Serialize) -> String {
    serde_yaml_ng::to_string(settings).expect("settings can be written")
}
