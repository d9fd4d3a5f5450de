//! Orders to an engine get no answer and are carried out later, while members of its groups crash. Two groups
//! that the engine heads are dissolved at the same time, and neither ends.

#[path = "../kit-3/engines.rs"]
mod engines;
#[path = "../kit-3/kit.rs"]
mod kit;

use {
    engines::{Engine, GroupKey, Order, Park, Phase, Treatment, engine_configuration},
    kit::{
        HttpRequest, Node, NodeSettings, Record, Server, Store, free_network, program, read_answer,
        request_head, sealed_head,
    },
    std::{
        fs,
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        path::Path,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
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

/// Time for which requests go on after the trouble is over.
const AFTERWARDS: Duration = Duration::from_secs(75);
/// Time between two requests of a kind.
const REQUEST_PAUSE: Duration = Duration::from_millis(250);
/// The least part of the share of all requests that is served which a kind of request may have.
const LEAST_PART: f64 = 0.25;

/// The unanswered orders of one engine, with the time of their arrival.
type LateOrders = Arc<Mutex<Vec<(Instant, Order)>>>;

fn main() {
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new("review/12/record.txt"));
    if !program().exists() {
        record.note("the program is not built");
        exit(2);
    }
    let directory = std::env::temp_dir().join(format!("gf-review-12-{}", std::process::id()));
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
    Server::start(
        "127.0.0.1",
        "app",
        &store,
        Arc::new(|request: &HttpRequest, stream: &mut TcpStream| {
            let head = sealed_head(request, "Content-Length: 800\r\n");
            stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&[b'a'; 800]))
        }),
    );
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
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::caller_address).collect();
    let streams = send_kind("s", &addresses, &stop);
    let reads = send_kind("r", &addresses, &stop);
    thread::sleep(Duration::from_secs(1));
    let (late, calm) = (LateOrders::default(), Arc::new(AtomicBool::new(false)));
    if with_trouble {
        withhold_orders(&park, &late, &calm);
    }
    let played = crash_members(&park, record);
    thread::sleep(Duration::from_secs(1));
    calm.store(true, Ordering::SeqCst);
    record.note("all orders are answered from now on");
    let orders_then = park.orders.load(Ordering::SeqCst);
    thread::sleep(AFTERWARDS);
    let orders = park.orders.load(Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_500));
    let withheld = park.withheld.load(Ordering::SeqCst);
    record.note(&format!("{orders} orders in all, {withheld} of them without an answer"));
    record.note(&format!("{} orders in the last {AFTERWARDS:?}", orders - orders_then));
    let is_open = park.open_head().is_some();
    record.note(&format!("a group serves at the end: {is_open}"));
    record.note(&format!("streams: {}; reads: {}", streams.describe(), reads.describe()));
    if !played {
        return 2;
    }
    let all = (streams.served() + reads.served()) / (streams.sent() + reads.sent());
    let own = streams.served() / streams.sent();
    record.note(&format!("served: {own:.3} of the streams, {all:.3} of all requests"));
    if own < LEAST_PART * all { 1 } else { 0 }
}

/// Members of the group that serves crash: one before the trouble, one under it, and then a member of the
/// group that is formed after that.
fn crash_members(park: &Arc<Park>, record: &Arc<Record>) -> bool {
    let last_member = |group: &engines::Group| group.members.last().and_then(|id| park.find(id));
    let Some(first) = park.open_head().and_then(|head| head.group()) else { return false };
    last_member(&first).expect("a member").crash();
    let serving = |other_than: &GroupKey| {
        let group = park.open_head().and_then(|head| head.group());
        group.filter(|group| {
            let serves = matches!(group.phase, Phase::Open(since) if since.elapsed() >= engines::FORM);
            group.key != *other_than && serves
        })
    };
    if !wait(Duration::from_secs(20), || serving(&first.key).is_some()) {
        record.note("no group serves after the first crash");
        return false;
    }
    thread::sleep(BETWEEN_CRASHES);
    let Some(second) = serving(&first.key) else { return false };
    last_member(&second).expect("a member").crash();
    let third = || {
        let engines = park.engines.lock().unwrap().clone();
        let groups = engines.iter().filter_map(|engine| engine.group());
        groups.filter(|group| group.key.1 > second.key.1 && group.members.len() == GROUP_SIZE).last()
    };
    if !wait(Duration::from_secs(5), || third().is_some()) {
        record.note("no group is formed after the second crash");
        return false;
    }
    thread::sleep(Duration::from_millis(950));
    let third = third().expect("a group");
    last_member(&third).expect("a member").crash();
    true
}

/// From now on an engine that heads a group leaves the first copy of each order to join or open unanswered.
/// Those of a group that it has left are carried out at the earliest moment that the pages allow, one after
/// the other.
fn withhold_orders(park: &Arc<Park>, late: &LateOrders, calm: &Arc<AtomicBool>) {
    let calm = calm.clone();
    let seen: Mutex<Vec<(String, String, GroupKey)>> = Mutex::default();
    let known = late.clone();
    *park.policy.lock().unwrap() = Some(Arc::new(move |engine: &Engine, order: &Order| {
        let is_head = order.members.first().is_none_or(|head| *head == engine.id);
        let withholds = matches!(order.operation.as_str(), "join" | "open") && is_head;
        let name = (engine.id.clone(), order.operation.clone(), order.key.clone());
        let mut seen = seen.lock().unwrap();
        let copies = seen.iter().filter(|known| **known == name).count();
        let is_next = seen.iter().any(|(_, _, key)| key.1 < order.key.1);
        let withheld = match (calm.load(Ordering::SeqCst), is_next) {
            (true, _) => 0,
            (false, true) => usize::MAX,
            (false, false) => 1,
        };
        if !withholds || copies >= withheld {
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

/// How many requests of a kind were sent and served.
#[derive(Default)]
struct KindCount {
    sent: AtomicU32,
    served: AtomicU32,
}

impl KindCount {
    fn sent(&self) -> f64 {
        self.sent.load(Ordering::SeqCst).into()
    }

    fn served(&self) -> f64 {
        self.served.load(Ordering::SeqCst).into()
    }

    fn describe(&self) -> String {
        format!("{} sent, {} served", self.sent(), self.served())
    }
}

/// Sends a request of a kind every [`REQUEST_PAUSE`], to one process after the other.
fn send_kind(kind: &'static str, addresses: &[SocketAddr], stop: &Arc<AtomicBool>) -> Arc<KindCount> {
    let count = Arc::new(KindCount::default());
    let (counted, stop, addresses) = (count.clone(), stop.clone(), addresses.to_vec());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (counted, address) = (counted.clone(), addresses[number % addresses.len()]);
            counted.sent.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let status = send(address, kind, &format!("{kind}{number:06}"));
                counted.served.fetch_add(u32::from(status.is_ok_and(|status| status == 200)), Ordering::SeqCst);
            });
            thread::sleep(REQUEST_PAUSE);
        }
    });
    count
}

/// Sends one request; its status, if the answer is whole.
fn send(address: SocketAddr, kind: &str, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let more = "Model: m0\r\nToken-Count: 100,84\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:60\r\nContent-Length: 0\r\n";
    let head = match kind {
        "s" => request_head("POST", "/s/x", id, 8_000, more),
        _ => request_head("GET", "/r/x", id, 1_500, ""),
    };
    stream.write_all(head.as_bytes())?;
    let (head, _) = read_answer(&mut BufReader::new(stream))?;
    Ok(head.status)
}
