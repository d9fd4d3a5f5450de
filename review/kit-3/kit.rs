//! Stand-ins for the platform's store, backend servers and clients, and the processes under test.
//! Standard library only; compiled by `review/build-3.sh`.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Seconds since the start of the run, for the record.
pub struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = fs::File::create(path).expect("the record can be written");
        Arc::new(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}

// --- JSON and base64, as far as the store needs them ---

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else { return None };
                            Self::space(bytes, at);
                            *at += 1;
                            map.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Self::Text(String::from_utf8_lossy(&text).into_owned()));
                        }
                        b'\\' => {
                            *at += 1;
                            match *bytes.get(*at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let c = char::from_u32(code).unwrap_or(' ');
                                    text.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                            *at += 1;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[from..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let all = part.iter().fold(0u32, |all, b| all << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for place in 0..4 {
            if place <= part.len() {
                text.push(ALPHABET[(all >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// --- HTTP ---

pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let find = query.split('&').filter_map(|part| part.split_once('=')).find(|(k, _)| *k == name);
        unescape(find.map_or("", |(_, value)| value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() + 0 => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (key, value) = line.split_once(':').ok_or_else(|| bad("a header has no colon"))?;
        headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

pub fn read_chunks(reader: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| bad("a chunk has no size"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        take(&chunk[..size]);
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<HttpRequest> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| bad("a length is no number"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(HttpRequest { method, target, headers, body })
}

/// The head of an answer as it arrived.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

pub fn read_answer_head(reader: &mut impl BufRead) -> io::Result<AnswerHead> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| bad("an answer has no status"))?;
    Ok(AnswerHead { status, headers: read_headers(reader)? })
}

/// Reads a whole answer; fails if it is not complete.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<(AnswerHead, Vec<u8>)> {
    let head = read_answer_head(reader)?;
    let mut body = Vec::new();
    if find(&head.headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = find(&head.headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| bad("a length is no number"))?];
        reader.read_exact(&mut body)?;
    } else {
        reader.read_to_end(&mut body)?;
    }
    Ok((head, body))
}

fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let reason = if status == 200 { "OK" } else { "Status" };
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

// --- the platform's store ---

#[derive(Default)]
struct StoreState {
    /// By table and key: the value in base64, none once dropped, and the version.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Turns every call away with 503.
    pub refuses: AtomicBool,
}

impl Store {
    /// Serves on a free port of an address.
    pub fn serve(self: &Arc<Self>, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        address
    }

    fn serve_connection(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = read_request(&mut reader).ok()?;
            let (status, body) = if self.refuses.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(&request)
            };
            write_json(&mut stream, status, &body).ok()?;
        }
    }

    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| to_base64(value.as_bytes()));
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        match request.path() {
            "/v1/rows-get" => {
                let state = self.state.lock().unwrap();
                let (table, from) = (request.query("table"), request.query("from"));
                let rows = state.rows.iter().filter(|((of, key), (value, _))| {
                    *of == table && *key >= from && value.is_some()
                });
                let rows: Vec<String> =
                    rows.map(|((_, key), row)| write_row(&table, key, row)).collect();
                let version = state.version;
                (200, format!(r#"{{"rows":[{}],"has_more":false,"ver":{version},"now_ms":1}}"#, rows.join(",")))
            }
            "/v1/rows-feed" => {
                let table = request.query("table");
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let mut found: Vec<_> = state
                        .rows
                        .iter()
                        .filter(|((of, _), (_, version))| *of == table && *version > after)
                        .collect();
                    found.sort_by_key(|(_, (_, version))| *version);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let rows: Vec<String> =
                            found.iter().map(|((_, key), row)| write_row(&table, key, row)).collect();
                        let version = state.version;
                        return (200, format!(r#"{{"rows":[{}],"ver":{version},"now_ms":1}}"#, rows.join(",")));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let mut state = self.state.lock().unwrap();
                let name = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
                let held = |state: &StoreState, name: &(String, String)| {
                    state.rows.get(name).filter(|(value, _)| value.is_some()).map_or(0, |(_, v)| *v)
                };
                let expected = body.get("expected").list();
                if expected.iter().any(|row| held(&state, &name(row)) != row.get("ver").number()) {
                    let rows: Vec<String> = expected
                        .iter()
                        .map(name)
                        .filter(|name| held(&state, name) > 0)
                        .map(|name| write_row(&name.0, &name.1, &state.rows[&name]))
                        .collect();
                    return (412, format!(r#"{{"rows":[{}],"ver":{}}}"#, rows.join(","), state.version));
                }
                state.version += 1;
                let version = state.version;
                for row in body.get("puts").list() {
                    let value = Some(row.get("value").text().to_owned());
                    state.rows.insert(name(row), (value, version));
                }
                for row in body.get("delete").list() {
                    if held(&state, &name(row)) > 0 {
                        state.rows.insert(name(row), (None, version));
                    }
                }
                drop(state);
                self.changed.notify_all();
                (200, format!(r#"{{"ver":{version},"now_ms":1}}"#))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn write_row(table: &str, key: &str, (value, version): &(Option<String>, u64)) -> String {
    match value {
        Some(value) => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#)
        }
        None => format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"deleted":true}}"#),
    }
}

// --- backend servers that are no model engines ---

/// What a server does with one request; it writes the answer itself.
pub type Behaviour = Arc<dyn Fn(&HttpRequest, &mut TcpStream) -> io::Result<()> + Send + Sync>;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub ended: Arc<AtomicBool>,
}

static NEXT_SERVER: AtomicU64 = AtomicU64::new(1);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Server {
    /// Starts a server of a service and lists it in the store, with a sign of life every 1.2 s.
    pub fn start(ip: &str, service: &str, store: &Arc<Store>, behaviour: Behaviour) -> Self {
        let number = NEXT_SERVER.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:06}");
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a server");
        let address = listener.local_addr().unwrap();
        let ended = Arc::new(AtomicBool::new(false));
        let own = id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behaviour, own) = (behaviour.clone(), own.clone());
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                    let _ = serve_server(&own, stream, &behaviour);
                });
            }
        });
        let (store, service, ended_too, own) =
            (store.clone(), service.to_owned(), ended.clone(), id.clone());
        let born = unix_ms();
        thread::spawn(move || {
            let mut sequence = 0;
            while !ended_too.load(Ordering::SeqCst) {
                sequence += 1;
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"z1","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"born":{born},"seq":{sequence}}}"#
                );
                store.write("servers", &own, Some(&entry));
                thread::sleep(Duration::from_millis(1_200));
            }
            store.write("servers", &own, None);
        });
        Self { id, address, ended }
    }
}

fn serve_server(own: &str, mut stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let request = read_request(&mut reader)?;
        if request.header("expect-instance").is_some_and(|expected| expected != own) {
            stream.write_all(
                format!("HTTP/1.1 421 Misdirected Request\r\nInstance: {own}\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )?;
            continue;
        }
        behaviour(&request, &mut stream)?;
    }
}

/// The head of a sealed answer.
pub fn sealed_head(request: &HttpRequest, more: &str) -> String {
    let id = request.header("request-id").unwrap_or("");
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 1.{id}\r\n{more}\r\n")
}

// --- the processes under test ---

pub const PEER_PORT: u16 = 18_340;
pub const CALLER_PORT: u16 = 18_341;
pub const ADDRESS_PORT: u16 = 18_342;
pub const READY_PORT: u16 = 18_343;

pub struct NodeSettings {
    pub memory_mb: u32,
    pub max_fds: u32,
    pub grace_s: f64,
}

pub struct Node {
    pub name: String,
    pub ip: String,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub child: Option<Child>,
}

impl Node {
    pub fn new(number: u8, network: u8, store: SocketAddr, directory: &Path, with: &NodeSettings) -> Self {
        let (name, ip) = (format!("n{number}"), format!("127.81.{network}.{}", number + 1));
        let settings = directory.join(format!("{name}.yaml"));
        let NodeSettings { memory_mb, max_fds, grace_s } = with;
        let text = format!(
            "node: {name}\nip: {ip}\nfailure_domain: z1\nregion: r1\npeer_port: {PEER_PORT}\nlisten:\n  \
             callers: {ip}:{CALLER_PORT}\n  addresses: {ip}:{ADDRESS_PORT}\n  ready: {ip}:{READY_PORT}\n\
             store:\n  address: {store}\nrepeats:\n  ratio: 0.2\n  slack: 286\n  window_s: 10\n\
             first_start: true\ngrace_s: {grace_s}\nengines:\n  stall_ms: 5000\nlimits:\n  \
             memory_mb: {memory_mb}\n  max_fds: {max_fds}\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        Self { log: directory.join(format!("{name}.log")), name, ip, settings, child: None }
    }

    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip.parse::<IpAddr>().unwrap(), CALLER_PORT)
    }

    pub fn start(&mut self, program: &Path) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(program)
            .arg("node")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("GYPSUMFORK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory and the highest so far, in bytes.
    pub fn memory(&self) -> (u64, u64) {
        let Some(pid) = self.pid() else { return (0, 0) };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let read = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) * 1024
        };
        (read("VmRSS:"), read("VmHWM:"))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let asked = || -> io::Result<u16> {
                let address = SocketAddr::new(self.ip.parse::<IpAddr>().unwrap(), READY_PORT);
                let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
                stream.set_read_timeout(Some(Duration::from_millis(500)))?;
                stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
                Ok(read_answer_head(&mut BufReader::new(stream))?.status)
            };
            if asked().is_ok_and(|status| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A network of loopback addresses that no other run uses.
pub fn free_network() -> (u8, TcpListener) {
    (0..=u8::MAX)
        .find_map(|number| Some((number, TcpListener::bind(format!("127.81.{number}.254:{PEER_PORT}")).ok()?)))
        .expect("a free network on loopback")
}

pub fn program() -> PathBuf {
    PathBuf::from("target/release/gypsumfork")
}

/// A request head to the caller port, with a key.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-one-0001\r\n{more}\r\n"
    )
}

/// A configuration with routes /u/ (unsafe), /r/ (safe) and /e/ (streams), all of one service.
pub fn configuration(version: u64, service: &str, timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, resume: bool| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"goal_ms":300,"priority":1,"service":"{service}","attempts":2,"public":false,"can_resume":{resume}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"{service}","health_path":"/healthz","max_conns":4000,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["key-one-0001"]}}]}}"#,
        route("u", "/u/", "unsafe", false),
        route("r", "/r/", "safe", false),
        route("e", "/e/", "streaming", true),
    )
}
