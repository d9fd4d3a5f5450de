//! Orders to an engine get no answer and are carried out later, while members of its group crash: the
//! engine is ordered into the next group while it heads the open one before.

#[path = "../kit-3/engines.rs"]
mod engines;
#[path = "../kit-3/kit.rs"]
mod kit;

use {
    engines::{Engine, GroupKey, Order, Park, Phase, Treatment, engine_configuration},
    kit::{Node, NodeSettings, Record, Store, free_network, program, read_answer, request_head},
    std::{
        collections::BTreeMap,
        fs,
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        path::Path,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 7;
const GROUP_SIZE: usize = 4;
/// When an unanswered order is carried out, from its arrival on.
const LEAST_LATE: Duration = Duration::from_secs(2);
const MOST_LATE: Duration = Duration::from_secs(12);
/// Time from one crash to the next one.
const BETWEEN_CRASHES: Duration = Duration::from_secs(5);

/// The unanswered orders of one engine, with the time of their arrival.
type LateOrders = Arc<Mutex<Vec<(Instant, Order)>>>;

fn main() {
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new("review/11/record.txt"));
    if !program().exists() {
        record.note("the program is not built");
        exit(2);
    }
    let directory = std::env::temp_dir().join(format!("gf-review-11-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a temporary folder");
    let code = play(with_trouble, &record, &directory);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&directory);
    }
    record.note(&format!("exit {code}"));
    exit(code);
}

fn play(with_trouble: bool, record: &Arc<Record>, directory: &Path) -> i32 {
    let (network, _reserved) = free_network();
    let store = Arc::new(Store::default());
    let store_address = store.serve("127.0.0.1");
    store.write("op", "config", Some(&engine_configuration(GROUP_SIZE)));
    let park = Park::new(store.clone(), record.clone());
    for number in 1..=ENGINES {
        Engine::start("127.0.0.1", &format!("e-{number:06}"), &park);
    }
    let settings = NodeSettings { memory_mb: 182, max_fds: 2_940, grace_s: 8.0 };
    let mut nodes: Vec<Node> = (0..2)
        .map(|number| Node::new(number, network, store_address, directory, &settings))
        .collect();
    for node in &mut nodes {
        node.start(&program());
    }
    if !nodes.iter().all(|node| node.await_ready(Duration::from_secs(15))) {
        record.note("a process does not get ready");
        return 2;
    }
    // A group serves, and the spares have been in a group of their model.
    let is_prepared = || {
        let engines = park.engines.lock().unwrap().clone();
        park.open_head().is_some()
            && engines.iter().all(|engine| engine.is_staged() && engine.has_joined())
            && engines.iter().filter(|engine| engine.group().is_none()).count() == ENGINES - GROUP_SIZE
    };
    if !wait(Duration::from_secs(30), is_prepared) {
        record.note("no group serves with spares beside it");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::caller_address).collect();
    let callers = send_streams(addresses, &stop, &answers);
    thread::sleep(Duration::from_secs(1));
    let late: LateOrders = Arc::default();
    if with_trouble {
        withhold_orders(&park, &late);
    }
    let played = crash_members(&park, record);
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let (orders, withheld) =
        (park.orders.load(Ordering::SeqCst), park.withheld.load(Ordering::SeqCst));
    record.note(&format!("streams: {:?}", answers.lock().unwrap()));
    record.note(&format!("{orders} orders in all, {withheld} of them without an answer"));
    if !park.violations.lock().unwrap().is_empty() {
        return 1;
    }
    if played { 0 } else { 2 }
}

/// Two members crash, one after the other, each time the last one of the group that serves.
fn crash_members(park: &Arc<Park>, record: &Arc<Record>) -> bool {
    for crash in 1..=2 {
        let Some(head) = park.open_head() else {
            record.note("no group serves");
            return false;
        };
        let group = head.group().expect("it heads a group");
        let last = group.members.last().and_then(|id| park.find(id)).expect("a member");
        last.crash();
        let key = group.key;
        let serves_again = || {
            park.open_head().and_then(|head| head.group()).is_some_and(|group| {
                let is_open = matches!(group.phase, Phase::Open(since) if since.elapsed() >= engines::FORM);
                group.key != key && is_open
            })
        };
        if !wait(Duration::from_secs(20), serves_again) {
            record.note(&format!("no group serves after crash {crash}"));
            return crash == 2;
        }
        thread::sleep(BETWEEN_CRASHES);
    }
    true
}

/// From now on an engine that heads a group leaves the first copy of each order to join or open unanswered.
/// Those of a group that it has left are carried out at the earliest moment that the pages allow, one after
/// the other.
fn withhold_orders(park: &Arc<Park>, late: &LateOrders) {
    let seen: Mutex<Vec<(String, String, GroupKey)>> = Mutex::default();
    let known = late.clone();
    *park.policy.lock().unwrap() = Some(Arc::new(move |engine: &Engine, order: &Order| {
        let is_head = order.members.first().is_none_or(|head| *head == engine.id);
        let withholds = matches!(order.operation.as_str(), "join" | "open") && is_head;
        let name = (engine.id.clone(), order.operation.clone(), order.key.clone());
        let mut seen = seen.lock().unwrap();
        if !withholds || seen.contains(&name) {
            return Treatment::Answer;
        }
        seen.push(name);
        known.lock().unwrap().push((Instant::now(), order.clone()));
        Treatment::Withhold
    }));
    let (park, late) = (park.clone(), late.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            let due = {
                let mut late = late.lock().unwrap();
                let at = late.iter().position(|(arrived, order)| {
                    is_due(&park, order, *arrived) || arrived.elapsed() >= MOST_LATE
                });
                at.map(|at| late.remove(at))
            };
            let Some((arrived, order)) = due else { continue };
            let head = park.engines.lock().unwrap().iter().find(|engine| heads(engine, &order)).cloned();
            if let Some(head) = head {
                head.carry_out(&order, &format!(", {} ms late", arrived.elapsed().as_millis()));
            }
        }
    });
}

/// Every late order of this run is one to the first engine that heads a group under trouble.
fn heads(engine: &Engine, order: &Order) -> bool {
    if !order.members.is_empty() {
        return order.members.first() == Some(&engine.id);
    }
    engine.group().is_some_and(|group| group.key == order.key && group.members.first() == Some(&engine.id))
}

/// A join is carried out once its engine is in no group, an open once its group is ready again.
fn is_due(park: &Park, order: &Order, arrived: Instant) -> bool {
    if arrived.elapsed() < LEAST_LATE {
        return false;
    }
    let engines = park.engines.lock().unwrap().clone();
    match order.operation.as_str() {
        "join" => {
            let head = order.members.first().and_then(|id| engines.iter().find(|e| e.id == *id));
            head.is_some_and(|head| head.group().is_none() && !head.has_ended())
        }
        _ => engines.iter().any(|engine| {
            let group = engine.group().filter(|group| group.key == order.key);
            group.is_some_and(|group| group.phase == Phase::Ready && group.members.first() == Some(&engine.id))
        }),
    }
}

fn wait(limit: Duration, reached: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if reached() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Callers that send a stream every 100 ms.
fn send_streams(
    addresses: Vec<SocketAddr>,
    stop: &Arc<AtomicBool>,
    answers: &Arc<Mutex<BTreeMap<String, usize>>>,
) -> Vec<thread::JoinHandle<()>> {
    let caller = |number: usize, address: SocketAddr| {
        let (stop, answers) = (stop.clone(), answers.clone());
        thread::spawn(move || {
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                sent += 1;
                let id = format!("c{number}-{sent:05}");
                let answer = send_stream(address, &id).unwrap_or_else(|error| error.kind().to_string());
                *answers.lock().unwrap().entry(answer).or_insert(0) += 1;
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    addresses.into_iter().enumerate().map(|(number, address)| caller(number, address)).collect()
}

fn send_stream(address: SocketAddr, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let more = "Model: m0\r\nToken-Count: 100,84\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:60\r\nContent-Length: 0\r\n";
    stream.write_all(request_head("POST", "/s/x", id, 8_000, more).as_bytes())?;
    let (head, _) = read_answer(&mut BufReader::new(stream))?;
    Ok(head.status.to_string())
}
