//! Stand-ins for the scripts under `review/`: the platform's store, backend servers, host processes with
//! the settings of the deploy file, and HTTP/1.1 messages. They use the standard library alone.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Signal of a planned stop.
pub const SIGTERM: i32 = 15;
/// Signal that kills a process.
pub const SIGKILL: i32 = 9;
/// Signal that suspends a process.
pub const SIGSTOP: i32 = 19;
/// Signal that continues a suspended process.
pub const SIGCONT: i32 = 18;

/// Name of the host in requests.
pub const HOST_NAME: &str = "calls.example";
/// API key of the tenant `acme`.
pub const API_KEY: &str = "key-of-acme";
/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Period in which expired leases are removed.
const LEASE_CHECK: Duration = Duration::from_millis(100);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Limits the receive buffer of a socket.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the pointer is valid for the four bytes that the call reads.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Simple pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    /// Starts a sequence.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit.max(1)
    }
}

/// Lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { started: Instant::now(), file })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

// HTTP/1.1 messages.

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| percent_decoded(v))
    }

    /// Whether the connection ends with this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn percent_decoded(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        match first {
            b'+' => bytes.push(b' '),
            b'%' if tail.len() >= 2 => {
                let hex = std::str::from_utf8(&tail[..2]).unwrap_or("20");
                bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                rest = &tail[2..];
            }
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    /// The socket.
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// Why no message was read.
#[derive(Debug)]
pub enum ReadEnd {
    /// The connection ended before a message began.
    Closed,
    /// The connection ended within a message, of which so many bytes had arrived.
    Cut(Message, usize, io::Error),
    /// The connection was reset, or a timeout passed, before a message began.
    Failed(io::Error),
}

impl Wire {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Whether bytes of a message have arrived, without waiting longer than `time`.
    pub fn has_bytes(&mut self, time: Duration) -> bool {
        if !self.buf.is_empty() {
            return true;
        }
        let _ = self.stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
        let result = self.fill();
        let _ = self.stream.set_read_timeout(None);
        // The end of the connection is seen by the next read too.
        match result {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }

    /// Reads a whole message, whose body has a length.
    pub fn read(&mut self) -> Result<Message, ReadEnd> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            match self.fill() {
                Ok(0) if self.buf.is_empty() => return Err(ReadEnd::Closed),
                Ok(0) => {
                    let e = io::ErrorKind::UnexpectedEof.into();
                    return Err(ReadEnd::Cut(Message::default(), self.buf.len(), e));
                }
                Ok(_) => {}
                Err(e) if self.buf.is_empty() => return Err(ReadEnd::Failed(e)),
                Err(e) => return Err(ReadEnd::Cut(Message::default(), self.buf.len(), e)),
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|l| l.split_once(':'));
        let headers = pairs.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
        let body_len: usize =
            message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buf.len() < head_len + body_len {
            let result = self.fill();
            let arrived = self.buf.len();
            match result {
                Ok(0) => {
                    let e = io::ErrorKind::UnexpectedEof.into();
                    return Err(ReadEnd::Cut(message, arrived, e));
                }
                Ok(_) => {}
                Err(e) => return Err(ReadEnd::Cut(message, arrived, e)),
            }
        }
        message.body = self.buf[head_len..head_len + body_len].to_vec();
        self.buf.drain(..head_len + body_len);
        Ok(message)
    }

    /// Writes a message.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        let has_body = !body.is_empty() || !start.ends_with(" HTTP/1.1");
        if has_body {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Calls `serve` for each connection, in a thread of its own.
pub fn accept_each(serve: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Wire::new(stream)));
        }
    });
    address
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, target: &str, timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut wire = Wire::new(stream);
    wire.write(&format!("GET {target} HTTP/1.1"), &[("Host", "host"), ("Connection", "close")], b"")
        .ok()?;
    wire.read().ok()
}

// JSON, as far as the store needs it.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// null, true or false, by its text.
    Word(String),
    /// A number, by its text.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value.
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        Json::value(&chars, &mut 0)
    }

    fn space(chars: &[char], at: &mut usize) {
        while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(chars: &[char], at: &mut usize) -> Option<Json> {
        Json::space(chars, at);
        match *chars.get(*at)? {
            '"' => Some(Json::Text(Json::string(chars, at)?)),
            '[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Json::space(chars, at);
                    match *chars.get(*at)? {
                        ']' => break,
                        ',' => *at += 1,
                        _ => list.push(Json::value(chars, at)?),
                    }
                }
                *at += 1;
                Some(Json::List(list))
            }
            '{' => {
                let mut table = Vec::new();
                *at += 1;
                loop {
                    Json::space(chars, at);
                    match *chars.get(*at)? {
                        '}' => break,
                        ',' => *at += 1,
                        _ => {
                            let name = Json::string(chars, at)?;
                            Json::space(chars, at);
                            *at += 1;
                            table.push((name, Json::value(chars, at)?));
                        }
                    }
                }
                *at += 1;
                Some(Json::Table(table))
            }
            _ => {
                let from = *at;
                while chars.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                    *at += 1;
                }
                let text: String = chars[from..*at].iter().collect();
                let is_word = text.starts_with(|c: char| c.is_alphabetic());
                Some(if is_word { Json::Word(text) } else { Json::Number(text) })
            }
        }
    }

    fn string(chars: &[char], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut text = String::new();
        loop {
            match *chars.get(*at)? {
                '"' => break,
                '\\' => {
                    *at += 1;
                    match *chars.get(*at)? {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'u' => {
                            let hex: String = chars.get(*at + 1..*at + 5)?.iter().collect();
                            text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            *at += 4;
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
            *at += 1;
        }
        *at += 1;
        Some(text)
    }

    /// A member of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// A string.
    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    /// A whole number.
    pub fn number(&self) -> Option<u64> {
        if let Json::Number(text) = self { text.parse().ok() } else { None }
    }

    /// The elements of an array.
    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = BASE64[(bits >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut bytes) = (0u32, 0, Vec::new());
    for digit in text.bytes().filter(|b| *b != b'=') {
        let Some(value) = BASE64.iter().position(|b| *b == digit) else { continue };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

// The platform's store.

#[derive(Clone)]
struct StoredItem {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, StoredItem>,
    /// Changes with their revisions; `None` for a removal.
    history: Vec<(u64, String, Option<StoredItem>)>,
    revision: u64,
    /// End and length of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = StoredItem { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self, ended: impl Fn(u64, Instant) -> bool) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(id, (end, _))| ended(**id, *end)).map(|(id, _)| *id).collect();
        for id in &over {
            self.leases.remove(id);
            let of_lease = self.items.iter().filter(|(_, i)| i.lease == *id);
            let keys: Vec<String> = of_lease.map(|(k, _)| k.clone()).collect();
            self.revision += u64::from(!keys.is_empty());
            keys.iter().for_each(|key| self.remove(key));
        }
        !over.is_empty()
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// The platform's store, which keeps items in memory.
#[derive(Clone)]
pub struct Store {
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Store {
        let state = StoreState { revision: 1, next_lease: 1, ..StoreState::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (served, expiring) = (Arc::clone(&state), Arc::clone(&state));
        let address = accept_each(move |mut wire| {
            while let Ok(req) = wire.read() {
                let (status, body) = answer_store_call(&served, &req);
                let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                let start = format!("HTTP/1.1 {status} {}", if status == 200 { "OK" } else { "No" });
                if wire.write(&start, &headers, body.as_bytes()).is_err() {
                    break;
                }
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                let now = Instant::now();
                if expiring.0.lock().unwrap().end_leases(|_, end| end <= now) {
                    expiring.1.notify_all();
                }
            }
        });
        Store { address, state }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().unwrap()
    }

    /// Writes an item for the operator or a server; returns its revision.
    pub fn put(&self, key: &str, value: impl AsRef<str>) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        state.put(key, value.as_ref().as_bytes().to_vec(), 0);
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns an item's value.
    pub fn get(&self, key: &str) -> Option<String> {
        let value = self.state().items.get(key)?.value.clone();
        Some(String::from_utf8_lossy(&value).into_owned())
    }
}

fn answer_store_call(store: &(Mutex<StoreState>, Condvar), req: &Message) -> (u16, String) {
    let body = Json::parse(&String::from_utf8_lossy(&req.body));
    let number = |name: &str| req.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let prefix = req.query("path-prefix").unwrap_or_default();
    let id_in_path = || req.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
    let mut state = store.0.lock().unwrap();
    match (req.method(), req.path()) {
        ("GET", "/kv-key") => {
            let key = req.query("key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".to_owned()),
            }
        }
        ("GET", "/kv-range") => {
            let after = req.query("after").unwrap_or_default();
            let found = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let items: Vec<String> = found.map(|(k, i)| item_json(k, i)).collect();
            let items = items.join(",");
            (200, format!("{{\"items\":[{items}],\"has-more\":false,\"at\":{}}}", state.revision))
        }
        ("GET", "/kv-watch") => {
            let after = number("after");
            let end = Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
            loop {
                let new = state.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                let events: Vec<String> = new
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"
                        ),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events = events.join(",");
                    return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
                }
                state = store.1.wait_timeout(state, left).unwrap().0;
            }
        }
        ("POST", "/kv-txn") => {
            let Some(body) = body else { return (400, "{}".to_owned()) };
            let rows = |name: &str| body.get(name).map(|l| l.list().to_vec()).unwrap_or_default();
            let text = |row: &Json, name: &str| {
                row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
            };
            let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
            let holds = rows("precondition").iter().all(|row| {
                let known = state.items.get(&text(row, "key")).map_or(0, |i| i.revision);
                known == number(row, "revision")
            });
            if !holds {
                return (412, "{\"items\":[]}".to_owned());
            }
            let writes = rows("writes");
            let lease_of = |row: &Json| number(row, "lease");
            if writes.iter().any(|w| lease_of(w) > 0 && !state.leases.contains_key(&lease_of(w))) {
                return (404, "{}".to_owned());
            }
            state.revision += 1;
            for row in &writes {
                state.put(&text(row, "key"), from_base64(&text(row, "value")), lease_of(row));
            }
            for key in rows("remove").iter().filter_map(Json::text) {
                state.remove(key);
            }
            store.1.notify_all();
            (200, format!("{{\"revision\":{}}}", state.revision))
        }
        ("POST", "/kv-lease") => {
            let ttl = body.as_ref().and_then(|b| b.get("ttl_time")).and_then(Json::text);
            let ttl = ttl.and_then(|t| t.strip_suffix("ms")).and_then(|t| t.parse::<u64>().ok());
            let Some(ttl) = ttl else { return (400, "{}".to_owned()) };
            let id = state.next_lease;
            state.next_lease += 1;
            let ttl_time = Duration::from_millis(ttl);
            state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
            (200, format!("{{\"lease\":{id},\"ttl_time\":\"{ttl}ms\"}}"))
        }
        ("POST", path) if path.starts_with("/kv-keep/") => {
            let lease = id_in_path().and_then(|id| state.leases.get_mut(&id));
            match lease {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            }
        }
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            let id = id_in_path().unwrap_or(0);
            let ended = state.end_leases(|lease, _| lease == id);
            store.1.notify_all();
            (if ended { 200 } else { 404 }, "{}".to_owned())
        }
        _ => (404, "{}".to_owned()),
    }
}

// Backend servers.

/// A request that a server runs, and what it has to know to answer it.
pub struct Run<'a> {
    /// The request.
    pub req: &'a Message,
    /// Its connection.
    pub wire: &'a mut Wire,
    /// Id of the server.
    pub server: &'a str,
}

impl Run<'_> {
    /// Id of the request.
    pub fn id(&self) -> String {
        self.req.header("jasminestage-request-id").unwrap_or_default().to_owned()
    }

    /// Sends a signed response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let id = self.id();
        let signature = signature(&id, body);
        let mut all = vec![
            ("Jasminestage-Request-Id", id.as_str()),
            ("Jasminestage-Response-Signature", signature.as_str()),
        ];
        all.extend_from_slice(headers);
        self.wire.write(&format!("HTTP/1.1 {status} Answer"), &all, body)
    }
}

/// Signature of a response.
pub fn signature(id: &str, body: &[u8]) -> String {
    let hash = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    let sum = id.as_bytes().iter().chain(body).fold(0xcbf2_9ce4_8422_2325, hash);
    format!("{sum:016x}")
}

/// A running server, which writes its entry in the store at every heartbeat.
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
}

impl Server {
    /// Starts a server; `run` answers a request, and an error closes the connection.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        run: impl Fn(&mut Run<'_>) -> io::Result<()> + Send + Sync + 'static,
    ) -> Server {
        let own_id = id.to_owned();
        let address = accept_each(move |mut wire| {
            while let Ok(req) = wire.read() {
                if let Some(target) = req.header("jasminestage-target-instance")
                    && target != own_id
                {
                    let id = req.header("jasminestage-request-id").unwrap_or_default().to_owned();
                    let headers =
                        [("Jasminestage-Request-Id", id.as_str()), ("Jasminestage-Not-Executed", "1")];
                    if wire.write("HTTP/1.1 421 Misdirected Request", &headers, b"").is_err() {
                        return;
                    }
                    continue;
                }
                if run(&mut Run { req: &req, wire: &mut wire, server: &own_id }).is_err() {
                    return;
                }
            }
        });
        let (store, born) = (store.clone(), unix_ms());
        let (key, service, zone) = (format!("servers/{id}"), service.to_owned(), zone.to_owned());
        let entry = move |sequence: u64| {
            format!(
                "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
                 \"zone\":\"{zone}\",\"capacity\":{slots}}},\"status\":{{\"state\":\"ready\",\
                 \"sequence\":{sequence},\"cold-remaining\":\"0ms\"}},\"born\":{born}}}"
            )
        };
        store.put(&key, entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                store.put(&key, entry(sequence));
            }
        });
        Server { id: id.to_owned(), address }
    }
}

// Host processes.

/// Values for the template of the settings.
pub struct HostSettings {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Zones with their regions.
    pub zones: Vec<(String, String)>,
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Descriptors.
    pub max_fds: u32,
    /// Address of the store.
    pub store: SocketAddr,
    /// Length of the grace at a planned stop, such as `6s`.
    pub grace: String,
    /// Whether the fleet starts for the first time.
    pub bootstrap: bool,
}

/// A running host process.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns a free port below those that the kernel gives to outgoing connections.
fn free_port(also_udp: bool) -> u16 {
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 11_000 + ((u64::from(std::process::id()) * 37 + offset) % 20_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && (!also_udp || std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok()) {
            return port;
        }
    }
}

/// The template in the deploy file with its values filled in.
fn fill_template(template: &str, values: &HashMap<&str, String>, zones: &[(String, String)]) -> String {
    let mut text = template.to_owned();
    if let (Some(from), Some(to)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
        let inner = text[from + "{{#zones}}".len()..to].trim_start_matches('\n').to_owned();
        let lines = zones.iter().map(|(z, r)| inner.replace("{{@}}", z).replace("{{.}}", r));
        let lines: String = lines.collect();
        text.replace_range(from..to + "{{/zones}}".len(), &lines);
    }
    while let Some(from) = text.find("{{") {
        let Some(len) = text[from..].find("}}") else { break };
        let name = text[from + 2..from + len].to_owned();
        let value = values.get(name.as_str()).cloned().unwrap_or_default();
        text.replace_range(from..from + len + 2, &value);
    }
    text
}

impl Host {
    /// Starts a host with the program and the template of the deploy file, in the repository's root.
    pub fn start(folder: &Path, settings: &HostSettings) -> Host {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready, directory) =
            (address(free_port(false)), address(free_port(false)), address(free_port(false)));
        let template = fs::read_to_string("deploy/host.ini").expect("the template can be read");
        // All hosts have the same address here, so that each one needs a port of its own for metrics.
        let template =
            template.replace("metrics = {{ip}}:9464", &format!("metrics = {{{{ip}}}}:{}", free_port(false)));
        let values = HashMap::from([
            ("node-name", settings.name.clone()),
            ("zone", settings.zone.clone()),
            ("ip", "127.0.0.1".to_owned()),
            ("bind-addresses.frontend", callers.to_string()),
            ("bind-addresses.ready", ready.to_string()),
            ("bind-addresses.directory", directory.to_string()),
            ("internal-ports.0", free_port(true).to_string()),
            ("limits.cpu-share", settings.cpu_share.to_string()),
            ("limits.memory-mb", settings.memory_mb.to_string()),
            ("limits.max-fds", settings.max_fds.to_string()),
            ("bootstrap", settings.bootstrap.to_string()),
            ("provider.address", settings.store.to_string()),
            ("bounds.ttl_max", "5s".to_owned()),
            ("bounds.grace", settings.grace.clone()),
            ("bounds.budget-ratio", "0.2".to_owned()),
            ("bounds.budget-extra", "60".to_owned()),
            ("bounds.quota-window", "5s".to_owned()),
            ("bounds.quota-overage", "0.1".to_owned()),
            ("bounds.quota-slack", "20".to_owned()),
            ("bounds.expose-share", "0.1".to_owned()),
            ("bounds.expose-slack", "50".to_owned()),
            ("bounds.max-shift", "0.15".to_owned()),
        ]);
        let path = folder.join(format!("{}.ini", settings.name));
        fs::write(&path, fill_template(&template, &values, &settings.zones)).expect("a file is written");
        let log = folder.join(format!("{}.log", settings.name));
        let mut host = Host {
            name: settings.name.clone(),
            callers,
            ready,
            directory,
            settings: path,
            log,
            child: None,
        };
        host.launch();
        host
    }

    /// Starts the process.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log is opened");
        let errors = log.try_clone().expect("a descriptor is copied");
        let child = Command::new("target/release/jasminestage-edge")
            .env("JASMINESTAGE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the host is built: cargo build --release -p jasminestage-edge"));
        // Only the first start of the fleet is one.
        thread::sleep(Duration::from_millis(200));
        let settings = fs::read_to_string(&self.settings).unwrap_or_default();
        let later = settings.replace("first_start = true", "first_start = false");
        let _ = fs::write(&self.settings, later);
    }

    /// Whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        call(self.ready, "/readiness", Duration::from_secs(1)).is_some_and(|r| r.status() == 200)
    }

    /// Waits until the host is ready; returns whether it is in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Id of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the call only sends a signal to a process that this one has started.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Waits for the end of the process, and kills it after `limit`. Returns whether it ended itself.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.child = None;
        false
    }

    /// Exit status, if the process has ended by itself.
    pub fn exit(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Text that the process has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Folder of a run, which is removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder among the temporary ones.
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder is created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Addresses of hosts by the directory, and the time for which they may be kept.
pub fn resolve(directory: SocketAddr, region: &str, zone: &str) -> Option<(Vec<SocketAddr>, Duration)> {
    let target = format!("/resolve?name={HOST_NAME}&region={region}&zone={zone}");
    let answer = call(directory, &target, Duration::from_secs(1))?;
    let doc = Json::parse(&String::from_utf8_lossy(&answer.body))?;
    let addresses: Vec<SocketAddr> = doc
        .get("addresses")?
        .list()
        .iter()
        .filter_map(|a| a.text()?.parse().ok())
        .collect();
    let ttl = doc.get("ttl")?.text()?.to_owned();
    let ms = ttl.strip_suffix("ms").and_then(|t| t.parse::<f64>().ok());
    let ms = ms.or_else(|| Some(ttl.strip_suffix('s')?.parse::<f64>().ok()? * 1000.0))?;
    (answer.status() == 200 && !addresses.is_empty())
        .then(|| (addresses, Duration::from_millis((ms as u64).min(5000))))
}
