//! Case 8: a process is killed after a stream's last event and before its end. The client resumes after that
//! event, and a sound server has nothing more to send.

use super::{
    http::{Answer, Client, Request, serve, write_answer},
    node::{HEARTBEAT_MS, Node, head, route, server_entry, write_config},
    store::Store,
    *,
};

const CLIENTS: usize = 6;
/// More requests than this that end without an answer break the rule.
const ALLOWED: usize = 3;
const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// "A sound server may fall silent for a second or so and go on".
const SILENCE: Duration = Duration::from_millis(1_000);
/// `stable_window_ms` and a little more: the processes are in touch.
const SETTLE: Duration = Duration::from_millis(3_500);

fn answer(request: Request, stream: &mut TcpStream, own: &str, record: &Record) -> io::Result<()> {
    let id = request.header("request-id").to_owned();
    let expected = request.header("expect-instance");
    if expected != own {
        return write_answer(stream, "421 Misdirected Request", "Not-Run: 1\r\n", b"");
    }
    let seal = format!("Request-Id: {id}\r\nServer-Seal: seal-{own}-{id}\r\nServer-Load: 1,0,32\r\n");
    if request.path.starts_with("/r/") {
        record.note(format!("server {own} runs {id} (read)"));
        return write_answer(stream, "200 OK", &seal, b"a record");
    }
    let done: u64 = request.header("last-event-id").parse().unwrap_or(0);
    record.note(format!("server {own} runs {id} (stream after event {done})"));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in done + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    if done == 0 {
        thread::sleep(SILENCE);
    }
    stream.write_all(b"0\r\n\r\n")?;
    record.note(format!("server {own} has ended its answer to {id}"));
    Ok(())
}

/// Starts a server, lists it and keeps its entry fresh.
fn start_server(store: &Arc<Store>, own: &'static str, record: &Arc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port has an address");
    let (store, record) = (store.clone(), record.clone());
    serve(listener, move |request, stream| answer(request, stream, own, &record));
    let born = millis_since_epoch();
    thread::spawn(move || {
        for sequence in 1.. {
            store.write("servers", own, Some(server_entry(address, born, sequence)));
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
}

fn last_event(answer: &Answer) -> u64 {
    let text = String::from_utf8_lossy(&answer.body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    ids.max().unwrap_or(0)
}

pub fn play(program: &str, record: &Path, directory: &Path) -> i32 {
    let record = Record::open(record);
    let store = Store::start();
    write_config(
        &store,
        &[route("streams", "/s/", "streaming", 2, true, 8_000), route("reads", "/r/", "safe", 2, false, 4_000)],
    );
    start_server(&store, "i-one", &record);
    start_server(&store, "i-two", &record);
    let first = Node::start(program, directory, "front-1", &store);
    let second = Node::start(program, directory, "front-2", &store);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("the processes do not get ready");
        return 2;
    }
    thread::sleep(SETTLE);

    let all_events = Arc::new(AtomicU64::new(0));
    let (to_first, to_second) = (first.callers, second.callers);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, all_events) = (record.clone(), all_events.clone());
            thread::spawn(move || -> Option<bool> {
                let id = format!("stream-{number}");
                let mut client = Client::connect(to_first).ok()?;
                record.note(format!("client {number} sends {id} to front-1"));
                client.send(&head("POST", "/s/brief", &id, 8_000, "", "a question")).ok()?;
                let mut seen = String::new();
                let answer = client.read(|piece| {
                    seen.push_str(&String::from_utf8_lossy(piece));
                    if seen.contains(&format!("id: {EVENTS}\n")) {
                        all_events.fetch_add(1, Ordering::SeqCst);
                    }
                });
                let (status, whole, last) = (answer.status, answer.is_whole, last_event(&answer));
                record.note(format!("client {number}: {id} ended: status {status}, last event {last}, complete {whole}"));
                if answer.is_whole {
                    return Some(true);
                }
                // "The client may do so after a broken connection."
                thread::sleep(Duration::from_millis(200));
                let mut client = Client::connect(to_second).ok()?;
                client.send(&head("GET", "/r/one", &format!("read-{number}"), 4_000, "", "")).ok()?;
                let read = client.read(|_| {});
                record.note(format!("client {number}: read-{number} from front-2: status {}, complete {}", read.status, read.is_whole));
                if read.status != 200 || !read.is_whole {
                    return None;
                }
                let id = format!("resumed-{number}");
                record.note(format!("client {number} sends {id} on the same connection, Last-Event-Id {last}"));
                let more = format!("Last-Event-Id: {last}\r\n");
                client.send(&head("POST", "/s/brief", &id, 6_000, &more, "a question")).ok()?;
                let answer = client.read(|_| {});
                let (status, whole) = (answer.status, answer.is_whole);
                record.note(format!("client {number}: {id} ended: status {status}, complete {whole}"));
                Some(whole)
            })
        })
        .collect();
    if has_trouble() {
        let until = Instant::now() + Duration::from_secs(8);
        while (all_events.load(Ordering::SeqCst) as usize) < CLIENTS && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(100));
        record.note("front-1 is killed");
        first.signal("KILL");
    }
    let ends: Vec<Option<bool>> = clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    let unanswered = ends.iter().filter(|end| **end == Some(false)).count();
    record.note(format!("{unanswered} of {CLIENTS} requests ended without an answer; more than {ALLOWED} break the rule"));
    if unanswered > ALLOWED {
        1
    } else if ends.contains(&None) {
        2
    } else {
        0
    }
}
