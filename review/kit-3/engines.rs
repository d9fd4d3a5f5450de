//! Stand-ins of model engines: groups, orders, reports and streams, as `PROTOCOL.md` tells them.
//! Orders can be left unanswered and carried out later.

#![allow(dead_code)]

use {
    super::kit::{HttpRequest, Json, Record, Store, read_request, sealed_head, unix_ms},
    std::{
        collections::BTreeMap,
        io::{self, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time of a join if the member's last group had the same model, and otherwise if the model is staged.
const SAME_MODEL: Duration = Duration::from_millis(200);
const WARM: Duration = Duration::from_millis(1_100);
/// Time of a load before the first request, a tenth of that after it.
const EARLY_LOAD: Duration = Duration::from_millis(1_200);
/// Time from the order to open to the first service.
pub const FORM: Duration = Duration::from_millis(300);
/// Time for which a group may lack a member before it is broken.
pub const STALL: Duration = Duration::from_millis(5_000);
/// Age of what a report says.
const REPORT_LAG: Duration = Duration::from_millis(200);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Orders that are noted one by one; of the later ones each that completes this number again.
const NOTED_ORDERS: usize = 250;
const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

pub type GroupKey = (String, u64);

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Joining(Instant),
    Ready,
    Open(Instant),
    Broken,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub key: GroupKey,
    pub model: String,
    pub members: Vec<String>,
    pub phase: Phase,
    lacks_since: Option<Instant>,
}

#[derive(Default)]
struct State {
    group: Option<Group>,
    staged: Option<String>,
    loading: Option<(String, Instant)>,
    last_model: Option<String>,
    fence: u64,
    epoch: u64,
    sequence: u64,
    /// What its reports said, and since when.
    told: Vec<(Instant, String)>,
    running: usize,
}

/// What is done with an order that has arrived.
pub enum Treatment {
    /// It is carried out and answered.
    Answer,
    /// It is not answered, and not carried out yet.
    Withhold,
}

/// Decides on an order to an engine.
pub type Policy = Arc<dyn Fn(&Engine, &Order) -> Treatment + Send + Sync>;

#[derive(Clone, Debug)]
pub struct Order {
    pub operation: String,
    pub key: GroupKey,
    pub model: String,
    pub members: Vec<String>,
    pub fence: u64,
}

/// All engines of a run, and what was seen.
pub struct Park {
    pub engines: Mutex<Vec<Arc<Engine>>>,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub policy: Mutex<Option<Policy>>,
    pub violations: Mutex<Vec<String>>,
    pub orders: AtomicUsize,
    pub withheld: AtomicUsize,
    noted: AtomicUsize,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Park {
    pub fn new(store: Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            engines: Mutex::default(),
            store,
            record,
            policy: Mutex::default(),
            violations: Mutex::default(),
            orders: AtomicUsize::new(0),
            withheld: AtomicUsize::new(0),
            noted: AtomicUsize::new(0),
            runs: Mutex::default(),
        })
    }

    pub fn find(&self, id: &str) -> Option<Arc<Engine>> {
        self.engines.lock().unwrap().iter().find(|engine| engine.id == id).cloned()
    }

    /// The engine that heads an open group.
    pub fn open_head(&self) -> Option<Arc<Engine>> {
        let engines = self.engines.lock().unwrap().clone();
        engines.into_iter().find(|engine| {
            let group = engine.group();
            !engine.has_ended() && group.is_some_and(|group| matches!(group.phase, Phase::Open(_)))
        })
    }
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    state: Mutex<State>,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    park: Arc<Park>,
}

impl Engine {
    pub fn start(ip: &str, id: &str, park: &Arc<Park>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for an engine");
        listener.set_nonblocking(true).unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            state: Mutex::default(),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            park: park.clone(),
        });
        park.engines.lock().unwrap().push(engine.clone());
        let serving = engine.clone();
        thread::spawn(move || {
            while !serving.has_ended() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let engine = serving.clone();
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
        let beating = engine.clone();
        thread::spawn(move || beating.beat());
        engine
    }

    pub fn group(&self) -> Option<Group> {
        self.state.lock().unwrap().group.clone()
    }

    pub fn is_staged(&self) -> bool {
        self.state.lock().unwrap().staged.is_some()
    }

    /// Whether its last group had a model.
    pub fn has_joined(&self) -> bool {
        self.state.lock().unwrap().last_model.is_some()
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends without a word; its entry lapses after three heartbeats.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.state.lock().unwrap().group = None;
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.park.record.note(&format!("{} crashes", self.id));
        let (id, store) = (self.id.clone(), self.park.store.clone());
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.write("servers", &id, None);
        });
    }

    /// Ends joins and loads that are due, breaks the group, and lists what has changed.
    fn beat(&self) {
        let mut listed_at: Option<Instant> = None;
        let mut listed = String::new();
        while !self.has_ended() {
            self.progress();
            let said = self.describe();
            if said != listed || listed_at.is_none_or(|at| at.elapsed() >= HEARTBEAT) {
                self.list(&said);
                (listed, listed_at) = (said, Some(Instant::now()));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn list(&self, said: &str) {
        let (address, id) = (self.address, &self.id);
        let entry = format!(
            r#"{{"service":"pool","address":"{address}","zone":"z1","version":"v1","slots":26,"state":"ready","cold_left_ms":0,{said}}}"#
        );
        self.park.store.write("servers", id, Some(&entry));
    }

    fn progress(&self) {
        let now = Instant::now();
        let is_whole = self.is_whole();
        let mut state = self.state.lock().unwrap();
        if let Some((model, _)) = state.loading.take_if(|(_, ends)| *ends <= now) {
            state.staged = Some(model);
        }
        let Some(mut group) = state.group.take() else { return };
        if matches!(group.phase, Phase::Joining(ends) if ends <= now) {
            group.phase = Phase::Ready;
            state.staged = Some(group.model.clone());
            state.last_model = Some(group.model.clone());
        }
        if matches!(group.phase, Phase::Open(_)) && !is_whole {
            let since = *group.lacks_since.get_or_insert(now);
            if now.duration_since(since) >= STALL {
                group.phase = Phase::Broken;
            }
        } else {
            group.lacks_since = None;
        }
        state.group = Some(group);
    }

    /// Whether all members of its group are in it.
    fn is_whole(&self) -> bool {
        let Some(group) = self.group() else { return false };
        group.members.iter().all(|id| {
            let member = self.park.find(id).filter(|member| !member.has_ended());
            member.and_then(|member| member.group()).is_some_and(|held| held.key == group.key)
        })
    }

    /// The fields that entries and reports share.
    fn describe(&self) -> String {
        let mut state = self.state.lock().unwrap();
        let group = state.group.as_ref().map_or("null".to_owned(), |group| {
            let rank = group.members.iter().position(|member| *member == self.id).unwrap_or(0);
            let phase = match group.phase {
                Phase::Joining(_) => "joining",
                Phase::Ready => "ready",
                Phase::Open(_) => "open",
                Phase::Broken => "broken",
            };
            let (name, epoch) = &group.key;
            format!(r#"{{"name":"{name}","epoch":{epoch},"rank":{rank},"state":"{phase}"}}"#)
        });
        let models = state.group.as_ref().map_or(String::new(), |group| {
            format!(r#"{{"name":"{}","version":1,"adapters":[]}}"#, group.model)
        });
        let staged = state.staged.as_ref().map_or(String::new(), |model| format!("\"{model}\""));
        let said = format!(
            r#""stage":"both","domain":"d1","born":{},"models":[{models}],"staged":[{staged}],"group":{group},"seq":{}"#,
            self.born, state.sequence
        );
        if state.told.last().is_none_or(|(_, last)| *last != said) {
            state.told.push((Instant::now(), said.clone()));
        }
        said
    }

    /// What it said some hundred milliseconds ago.
    fn report(&self) -> String {
        self.describe();
        let state = self.state.lock().unwrap();
        let known = state.told.iter().rev().find(|(since, _)| since.elapsed() >= REPORT_LAG);
        let said = known.or(state.told.first()).map_or("", |(_, said)| said);
        format!(
            r#"{{{said},"busy":false,"queued":0,"running":{},"kv_used":0,"kv_total":1400000,"handles":0,"pace":1.0}}"#,
            state.running
        )
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.streams.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = read_request(&mut reader)?;
            if self.has_ended() {
                return Ok(());
            }
            let is_other = request.header("expect-instance").is_some_and(|id| id != self.id);
            match request.path() {
                _ if is_other => write_whole(&mut stream, 421, "", "{}")?,
                "/v1/report" => write_whole(&mut stream, 200, "", &self.report())?,
                "/v1/order" => {
                    let order = Order::read(&request);
                    let policy = self.park.policy.lock().unwrap().clone();
                    self.park.orders.fetch_add(1, Ordering::SeqCst);
                    let treatment = policy.map_or(Treatment::Answer, |policy| policy(self, &order));
                    if let Treatment::Withhold = treatment {
                        self.park.withheld.fetch_add(1, Ordering::SeqCst);
                        self.note(&order, "no answer");
                        thread::sleep(Duration::from_secs(3));
                        return Ok(());
                    }
                    let status = self.carry_out(&order, "");
                    write_whole(&mut stream, status, "", "{}")?;
                }
                _ => self.stream(&request, &mut stream)?,
            }
        }
    }

    /// Notes an order; of very many only some.
    fn note(&self, order: &Order, end: &str) {
        let number = self.park.noted.fetch_add(1, Ordering::SeqCst);
        if number >= NOTED_ORDERS && number % NOTED_ORDERS > 0 {
            return;
        }
        let Order { operation, key, members, .. } = order;
        let members = members.join(",");
        self.park.record.note(&format!("{}: {operation} {} [{members}] -> {end}", self.id, key.0));
    }

    /// Carries an order out, and says with which status.
    pub fn carry_out(&self, order: &Order, how: &str) -> u16 {
        if order.operation == "join" {
            self.check_join(order);
        }
        let status = self.follow(order);
        self.note(order, &format!("{status}{how}"));
        let said = self.describe();
        self.list(&said);
        status
    }

    /// Rule TWO: a server takes a join of another group while the head of its group is open or closing,
    /// or stands still and isn't yet broken. An open head counts from when it serves.
    fn check_join(&self, order: &Order) {
        let (held, fence, epoch) = {
            let state = self.state.lock().unwrap();
            (state.group.clone(), state.fence, state.epoch)
        };
        let Some(held) = held.filter(|held| held.key != order.key) else { return };
        if order.fence < fence || order.key.1 < epoch {
            return;
        }
        let head = held.members.first().and_then(|head| self.park.find(head));
        let Some(head) = head.filter(|head| !head.has_ended()) else { return };
        let head_group = head.group().filter(|group| group.key == held.key);
        if let Some(Phase::Open(since)) = head_group.map(|group| group.phase)
            && since.elapsed() >= FORM
        {
            let text = format!(
                "{} takes a join of {} while {}, the head of its group {}, has been open for {} ms",
                self.id,
                order.key.0,
                head.id,
                held.key.0,
                since.elapsed().as_millis()
            );
            self.park.record.note(&format!("TWO: {text}"));
            self.park.violations.lock().unwrap().push(text);
        }
    }

    fn follow(&self, order: &Order) -> u16 {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if order.fence < state.fence {
            return 412;
        }
        state.fence = order.fence;
        let held = state.group.as_ref().filter(|group| group.key == order.key).cloned();
        match order.operation.as_str() {
            "join" => {
                if order.key.1 < state.epoch {
                    return 412;
                }
                if let Some(held) = held {
                    return if held.members == order.members { 200 } else { 412 };
                }
                let time = if state.last_model.as_ref() == Some(&order.model) {
                    SAME_MODEL
                } else if state.staged.as_ref() == Some(&order.model) {
                    WARM
                } else {
                    EARLY_LOAD
                };
                state.epoch = order.key.1;
                state.sequence += 1;
                state.group = Some(Group {
                    key: order.key.clone(),
                    model: order.model.clone(),
                    members: order.members.clone(),
                    phase: Phase::Joining(now + time),
                    lacks_since: None,
                });
                202
            }
            "open" => {
                let Some(group) = state.group.as_mut().filter(|group| group.key == order.key) else {
                    return 409;
                };
                match group.phase {
                    Phase::Open(_) => 200,
                    Phase::Ready if group.members.first() == Some(&self.id) => {
                        group.phase = Phase::Open(now);
                        state.sequence += 1;
                        202
                    }
                    _ => 409,
                }
            }
            "close" => match state.group.as_mut().filter(|group| group.key == order.key) {
                Some(group) if matches!(group.phase, Phase::Open(_)) => {
                    group.phase = Phase::Ready;
                    state.sequence += 1;
                    202
                }
                Some(_) => 200,
                None => 409,
            },
            "leave" => {
                if held.is_some() {
                    state.group = None;
                    state.sequence += 1;
                }
                200
            }
            "stage" => {
                if state.staged.as_ref() == Some(&order.model) {
                    return 200;
                }
                state.loading = Some((order.model.clone(), now + EARLY_LOAD));
                state.sequence += 1;
                202
            }
            _ => 400,
        }
    }

    /// Runs a stream at the head of an open group; anybody else answers that it is another server.
    fn stream(&self, request: &HttpRequest, stream: &mut TcpStream) -> io::Result<()> {
        let serves = self.group().is_some_and(
            |group| matches!(group.phase, Phase::Open(since) if since.elapsed() >= FORM),
        );
        if !serves {
            return write_whole(stream, 421, "Not-Run: 1\r\n", "{}");
        }
        self.state.lock().unwrap().running += 1;
        let ended = self.write_events(request, stream);
        self.state.lock().unwrap().running -= 1;
        ended
    }

    fn write_events(&self, request: &HttpRequest, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let after: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        stream.write_all(sealed_head(request, head).as_bytes())?;
        for number in after + 1..=EVENTS {
            let began = Instant::now();
            while !self.is_whole() {
                if self.has_ended() || began.elapsed() >= STALL {
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(EVENT_PAUSE);
            if number == 1 {
                *self.park.runs.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
            }
            let event = format!("id: {number}\ndata: {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

impl Order {
    fn read(request: &HttpRequest) -> Self {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let members = body.get("members").list().iter().map(|id| id.text().to_owned());
        Self {
            operation: body.get("op").text().to_owned(),
            key: (body.get("group").text().to_owned(), body.get("epoch").number()),
            model: body.get("model").text().to_owned(),
            members: members.collect(),
            fence: body.get("fence").number(),
        }
    }
}

fn write_whole(stream: &mut TcpStream, status: u16, more: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} Status\r\n{more}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// A configuration with a route of streams to the engines, which form groups of `size` for one model.
pub fn engine_configuration(size: usize) -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"s","hostname":"h.example","prefix":"/s/","route_type":"streaming","timeout_ms":8000,"goal_ms":500,"priority":1,"service":"pool","attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_goal_ms":300}},{{"name":"r","hostname":"h.example","prefix":"/r/","route_type":"safe","timeout_ms":1500,"goal_ms":300,"priority":2,"service":"app","attempts":2,"public":false}}],"services":[{{"name":"app","health_path":"/healthz","max_conns":192,"protocol":"h1","tls":false}},{{"name":"pool","health_path":"/healthz","max_conns":788,"protocol":"h1","tls":false,"engine":{{"slots":26,"kv_capacity":1590000,"stride":5,"models":[{{"name":"m0","size":{size},"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":1.1}}],"step_ms":5.95,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":50700.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":14.0,"loads_at_once":21,"usual":{{"prompt":915,"answer":108}},"keeps":1,"far_x":3.0,"form_ms":300.0}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["key-one-0001"]}}]}}"#
    )
}
