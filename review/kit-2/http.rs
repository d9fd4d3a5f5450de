//! HTTP/1.1 over blocking sockets: requests to the stand-ins, and answers to the clients.

use super::*;

/// A request as it arrived.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head: its first line and headers, with names in lower case. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method: method.to_owned(), path: path.to_owned(), headers, body }))
}

pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves each connection in a thread until `answer` fails.
pub fn serve(listener: TcpListener, answer: impl Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(clone), stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if answer(request, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// How an answer ended, as a client saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether it looks complete.
    pub is_whole: bool,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.stream.write_all(request.as_bytes())
    }

    /// Reads an answer; `piece` sees each part of a chunked body as it arrives.
    pub fn read(&mut self, mut piece: impl FnMut(&[u8])) -> Answer {
        let mut answer =
            Answer { status: 0, headers: BTreeMap::new(), body: Vec::new(), is_whole: false };
        let Ok(Some((first, headers))) = read_head(&mut self.reader) else { return answer };
        answer.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        let length = answer.headers.get("content-length").and_then(|text| text.parse().ok());
        if let Some(length) = length {
            let mut body = vec![0; length];
            if self.reader.read_exact(&mut body).is_ok() {
                (answer.body, answer.is_whole) = (body, true);
            }
            return answer;
        }
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return answer;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return answer };
            let mut chunk = vec![0; size + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return answer;
            }
            if size == 0 {
                answer.is_whole = true;
                return answer;
            }
            piece(&chunk[..size]);
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
}
