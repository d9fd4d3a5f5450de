//! The platform's metadata store: rows, transactions and a feed, as PROTOCOL.md describes them.

use super::{
    http::{Request, serve, write_answer},
    json::{Json, from_base64, parse, to_base64},
    *,
};

#[derive(Clone)]
struct Row {
    /// `None` once it is deleted.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port has an address");
        let store =
            Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), address });
        let serving = store.clone();
        serve(listener, move |request, stream| {
            let (status, body) = serving.answer(&request);
            write_answer(stream, status, "Content-Type: application/json\r\n", body.as_bytes())
        });
        store
    }

    /// A write of the operator or of a server.
    pub fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row { value: value.map(String::into_bytes), version: state.version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/v1/rows-get") => ("200 OK", self.read(request)),
            ("GET", "/v1/rows-feed") => ("200 OK", self.feed(request)),
            ("POST", "/v1/rows-tx") => self.commit(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read(&self, request: &Request) -> String {
        let (table, from) = (request.query("table"), request.query("from"));
        let state = self.state.lock().unwrap();
        let found = state.rows.iter().filter(|((of, key), row)| {
            *of == table && key.as_str() >= from.as_str() && row.value.is_some()
        });
        page(found.map(|((_, key), row)| wire_row(key, row)).collect(), state.version)
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let mut found: Vec<_> = state
                .rows
                .iter()
                .filter(|((of, _), row)| *of == table && row.version > after)
                .collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let rows = found.iter().map(|((_, key), row)| wire_row(key, row)).collect();
                return page(rows, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (&'static str, String) {
        let Some(body) = parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let name = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut state = self.state.lock().unwrap();
        let present = |state: &State, row: &Json| {
            state.rows.get(&name(row)).filter(|row| row.value.is_some()).cloned()
        };
        let expected = body.get("expected").list();
        let holds = |row: &Json| {
            present(&state, row).map_or(0, |row| row.version) == row.get("ver").number()
        };
        if !expected.iter().all(holds) {
            let rows = expected
                .iter()
                .filter_map(|row| Some(wire_row(row.get("key").text(), &present(&state, row)?)));
            return ("412 Precondition Failed", page(rows.collect(), state.version));
        }
        state.version += 1;
        let version = state.version;
        for put in body.get("puts").list() {
            let value = Some(from_base64(put.get("value").text()));
            state.rows.insert(name(put), Row { value, version });
        }
        for gone in body.get("delete").list() {
            state.rows.insert(name(gone), Row { value: None, version });
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{version}}}"))
    }
}

fn wire_row(key: &str, row: &Row) -> String {
    let version = row.version;
    match &row.value {
        Some(value) => {
            let value = to_base64(value);
            format!("{{\"key\":\"{key}\",\"part\":\"\",\"value\":\"{value}\",\"ver\":{version}}}")
        }
        None => format!("{{\"key\":\"{key}\",\"part\":\"\",\"ver\":{version},\"deleted\":true}}"),
    }
}

fn page(rows: Vec<String>, version: u64) -> String {
    format!("{{\"rows\":[{}],\"has_more\":false,\"ver\":{version},\"now_ms\":0}}", rows.join(","))
}
