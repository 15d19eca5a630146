//! Stand-ins for the platform's store, backend servers, clients and a proxy, and the start of host
//! processes with the settings that `deploy/host.ini` gives. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Milliseconds since the start of the test.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// Small deterministic generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.next() >> 11) as usize % n
    }
}

// ---------------------------------------------------------------- record

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    pub fn new() -> Record {
        now_ms();
        Record(Arc::default())
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = now_ms();
        lock(&self.0).push((at, line.into()));
    }

    pub fn write(&self, path: &str, summary: &[String]) {
        let mut lines = lock(&self.0).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in &lines {
            text.push_str(&format!("{:>9.3} s  {line}\n", *at as f64 / 1000.0));
        }
        text.push_str("\nsummary\n");
        for line in summary {
            text.push_str(&format!("{line}\n"));
        }
        if let Err(e) = fs::write(path, text) {
            eprintln!("{path} cannot be written: {e}");
        }
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(rows) => rows.iter().find(|(k, _)| k == name).map_or(NULL, |(_, v)| v),
            _ => NULL,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn num(&self) -> Option<u64> {
        match self {
            Json::Num(n) => Some(*n as u64),
            _ => None,
        }
    }
}

fn skip(t: &[u8], at: &mut usize) {
    while *at < t.len() && t[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(t: &[u8], at: &mut usize) -> Option<Json> {
    skip(t, at);
    match *t.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(t, at);
                match *t.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(name) = parse_value(t, at)? else { return None };
                        skip(t, at);
                        if *t.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((name, parse_value(t, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(t, at);
                match *t.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(parse_value(t, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut s = Vec::new();
            loop {
                let c = *t.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return Some(Json::Str(String::from_utf8_lossy(&s).into_owned())),
                    b'\\' => {
                        let e = *t.get(*at)?;
                        *at += 1;
                        s.push(match e {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                    }
                    c => s.push(c),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while *at < t.len() && b"+-0123456789.eE".contains(&t[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&t[from..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line of the head.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was complete.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection; bytes behind a message are kept for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads the next message; `None` if the connection ends before its head is complete.
    pub fn message(&mut self) -> Option<Message> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        self.buf.drain(..head_len);
        let mut lines = head.split("\r\n");
        let mut message = Message { start: lines.next()?.to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let len: usize = message.header("content-length").parse().unwrap_or(0);
        while self.buf.len() < len {
            match self.fill() {
                Ok(n) if n > 0 => {}
                _ => {
                    message.body = std::mem::take(&mut self.buf);
                    return Some(message);
                }
            }
        }
        message.body = self.buf.drain(..len).collect();
        message.is_whole = true;
        Some(message)
    }
}

pub fn reply(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    lease_count: u64,
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(l, _)| *l).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
    }

    fn item_json(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(i) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
                i.value, i.revision, i.created, i.lease
            ),
            None => format!(r#"{{"key":"{key}","revision":0}}"#),
        }
    }
}

/// The platform's store, as `PROTOCOL.md` tells it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Contents>, Condvar)>,
    pub is_down: Arc<AtomicBool>,
}

fn decode_query(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("");
            if let Ok(c) = u8::from_str_radix(hex, 16) {
                out.push(c);
                i += 3;
                continue;
            }
        }
        out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_ttl(text: &str) -> Duration {
    let (digits, factor) = match text.strip_suffix("ms") {
        Some(d) => (d, 0.001),
        None => (text.strip_suffix('s').unwrap_or("10"), 1.0),
    };
    Duration::from_secs_f64(digits.parse::<f64>().unwrap_or(10.0) * factor)
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address is free");
        let address = listener.local_addr().expect("a listener has an address");
        let contents = Contents { revision: 100, ..Contents::default() };
        let state = Arc::new((Mutex::new(contents), Condvar::new()));
        let store = Store { address, state, is_down: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut reader = Reader::new(stream);
                    while let Some(req) = reader.message() {
                        if store.is_down.load(Ordering::Relaxed) {
                            if reply(&mut reader.stream, 503, "Store-Era: 1\r\n", b"{}").is_err() {
                                return;
                            }
                            continue;
                        }
                        let (status, body) = store.call(&req);
                        let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
                        if reply(&mut reader.stream, status, headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes JSON text, as operators and servers do.
    pub fn put(&self, key: &str, json: &str) {
        lock(&self.state.0).write(key, base64(json.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        lock(&self.state.0).remove(key);
        self.state.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = lock(&self.state.0);
        contents.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn call(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let arg = |name: &str| {
            let rows = query.split('&').filter_map(|r| r.split_once('='));
            rows.filter(|(k, _)| *k == name)
                .map(|(_, v)| decode_query(v))
                .next()
                .unwrap_or_default()
        };
        let mut contents = lock(&self.state.0);
        if contents.expire() {
            self.state.1.notify_all();
        }
        match path {
            "/kv-key" => {
                let key = arg("key");
                let found = contents.items.contains_key(&key);
                (if found { 200 } else { 404 }, contents.item_json(&key))
            }
            "/kv-range" => {
                let (prefix, after) = (arg("path-prefix"), arg("after"));
                let keys: Vec<String> = contents
                    .items
                    .keys()
                    .filter(|k| k.starts_with(&prefix) && **k > after)
                    .cloned()
                    .collect();
                let more = keys.len() > 500;
                let items: Vec<String> =
                    keys.iter().take(500).map(|k| contents.item_json(k)).collect();
                let at = contents.revision;
                (200, format!(r#"{{"items":[{}],"has-more":{more},"at":{at}}}"#, items.join(",")))
            }
            "/kv-watch" => {
                let prefix = arg("path-prefix");
                let after: u64 = arg("after").parse().unwrap_or(0);
                let wait: u64 = arg("wait-ms").parse().unwrap_or(0);
                let deadline = Instant::now() + ms(wait);
                loop {
                    contents.expire();
                    let events: Vec<String> = contents
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix))
                        .map(|(r, k, v)| match v {
                            Some(v) => format!(r#"{{"key":"{k}","value":"{v}","revision":{r}}}"#),
                            None => format!(r#"{{"key":"{k}","revision":{r},"removed":true}}"#),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= deadline {
                        let at = contents.revision;
                        return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
                    }
                    let left = (deadline - now).min(ms(200));
                    contents = match self.state.1.wait_timeout(contents, left) {
                        Ok((guard, _)) => guard,
                        Err(e) => e.into_inner().0,
                    };
                }
            }
            "/kv-txn" => {
                let Some(doc) = Json::parse(&req.body) else { return (400, "{}".into()) };
                let met = doc.get("precondition").list().iter().all(|row| {
                    let revision =
                        contents.items.get(row.get("key").str()).map_or(0, |i| i.revision);
                    row.get("revision").num() == Some(revision)
                });
                if !met {
                    let rows = doc.get("precondition").list().iter();
                    let items: Vec<String> =
                        rows.map(|row| contents.item_json(row.get("key").str())).collect();
                    return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
                }
                for row in doc.get("writes").list() {
                    let lease = row.get("lease").num().unwrap_or(0);
                    if lease != 0 && !contents.leases.contains_key(&lease) {
                        return (404, "{}".into());
                    }
                }
                for row in doc.get("writes").list() {
                    let lease = row.get("lease").num().unwrap_or(0);
                    let value = row.get("value").str().to_owned();
                    contents.write(row.get("key").str(), value, lease);
                }
                for key in doc.get("remove").list() {
                    contents.remove(key.str());
                }
                self.state.1.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, contents.revision))
            }
            "/kv-lease" => {
                let Some(doc) = Json::parse(&req.body) else { return (400, "{}".into()) };
                let ttl = parse_ttl(doc.get("ttl_time").str());
                contents.lease_count += 1;
                let lease = 7000 + contents.lease_count;
                contents.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_time":"{}ms"}}"#, ttl.as_millis()))
            }
            _ => {
                if let Some(id) = path.strip_prefix("/kv-keep/").and_then(|i| i.parse().ok()) {
                    return match contents.leases.get_mut(&id) {
                        Some((at, ttl)) => {
                            *at = Instant::now() + *ttl;
                            (200, format!(r#"{{"ttl_time":"{}ms"}}"#, ttl.as_millis()))
                        }
                        None => (404, "{}".into()),
                    };
                }
                if let Some(id) = path.strip_prefix("/kv-lease-end/").and_then(|i| i.parse().ok()) {
                    contents.end_lease(id);
                    self.state.1.notify_all();
                    return (200, "{}".into());
                }
                (404, "{}".into())
            }
        }
    }
}

// ---------------------------------------------------------------- backend servers

/// What a server does with a request that it has begun to run.
#[derive(Clone, Debug, PartialEq)]
pub enum Run {
    /// It works for so long and answers 200.
    Answer(Duration),
    /// It crashes and is back after so long.
    Crash(Duration),
}

/// Decides on a run by the request; called with the name of the server.
pub type Behaviour = Arc<dyn Fn(&str, &Message) -> Run + Send + Sync>;

pub struct ServerSetup {
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    pub queue: usize,
    pub heartbeat: Duration,
    /// Headers of all answers, each with its line end.
    pub extra_headers: Arc<Mutex<String>>,
}

struct ServerState {
    id: String,
    born: u64,
    sequence: u64,
    is_up: bool,
    started: Instant,
    /// Whether it was cold at its start.
    is_cold_start: bool,
    running: usize,
    waiting: usize,
    connections: HashMap<u64, TcpStream>,
    connection_count: u64,
    /// Rises with each crash.
    life: u64,
}

/// A backend server, as `PROTOCOL.md` tells it.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    setup: ServerSetup,
    state: Mutex<ServerState>,
    free: Condvar,
    store: Store,
    record: Record,
    behaviour: Behaviour,
    pub ended: AtomicBool,
    pub runs: AtomicUsize,
}

const COLD_START: Duration = Duration::from_secs(3);

fn new_id(name: &str) -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    format!("i-{name}-{}", COUNT.fetch_add(1, Ordering::Relaxed))
}

impl Server {
    pub fn start(
        name: &str,
        ip: Ipv4Addr,
        setup: ServerSetup,
        store: &Store,
        record: &Record,
        behaviour: Behaviour,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address is free");
        let address = listener.local_addr().expect("a listener has an address");
        let server = Arc::new(Server {
            name: name.to_owned(),
            address,
            setup,
            state: Mutex::new(ServerState {
                id: new_id(name),
                born: unix_ms(),
                sequence: 0,
                is_up: true,
                started: Instant::now(),
                is_cold_start: false,
                running: 0,
                waiting: 0,
                connections: HashMap::new(),
                connection_count: 0,
                life: 0,
            }),
            free: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
            behaviour,
            ended: AtomicBool::new(false),
            runs: AtomicUsize::new(0),
        });
        let s = Arc::clone(&server);
        thread::spawn(move || s.accept(listener));
        let s = Arc::clone(&server);
        thread::spawn(move || s.beat());
        server
    }

    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    fn accept(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        while !self.ended.load(Ordering::Relaxed) {
            let is_up = lock(&self.state).is_up;
            if !is_up {
                listener = None;
                thread::sleep(ms(2));
                continue;
            }
            if listener.is_none() {
                match TcpListener::bind(self.address) {
                    Ok(l) => listener = Some(l),
                    Err(_) => {
                        thread::sleep(ms(5));
                        continue;
                    }
                }
            }
            let Some(l) = &listener else { continue };
            let _ = l.set_nonblocking(true);
            match l.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let mut state = lock(&self.state);
                    if !state.is_up {
                        continue;
                    }
                    state.connection_count += 1;
                    let number = state.connection_count;
                    if let Ok(copy) = stream.try_clone() {
                        state.connections.insert(number, copy);
                    }
                    let life = state.life;
                    drop(state);
                    let s = Arc::clone(&self);
                    thread::spawn(move || {
                        s.serve(stream, life);
                        lock(&s.state).connections.remove(&number);
                    });
                }
                Err(_) => thread::sleep(ms(1)),
            }
        }
    }

    /// Writes the entry at every heartbeat while the server is up; three missed ones remove it.
    fn beat(self: Arc<Self>) {
        while !self.ended.load(Ordering::Relaxed) {
            let entry = {
                let mut state = lock(&self.state);
                state.sequence += 1;
                state.is_up.then(|| (state.id.clone(), self.entry(&state)))
            };
            if let Some((id, entry)) = entry {
                if !self.store.is_down.load(Ordering::Relaxed) {
                    self.store.put(&format!("servers/{id}"), &entry);
                }
            }
            let until = Instant::now() + self.setup.heartbeat;
            let life = lock(&self.state).life;
            let was_up = lock(&self.state).is_up;
            while Instant::now() < until && !self.ended.load(Ordering::Relaxed) {
                let state = lock(&self.state);
                // A server announces itself as soon as it has started.
                if state.life != life || (state.is_up && !was_up) {
                    break;
                }
                drop(state);
                thread::sleep(ms(5));
            }
        }
    }

    fn entry(&self, state: &ServerState) -> String {
        let cold = if state.is_cold_start {
            COLD_START.saturating_sub(state.started.elapsed())
        } else {
            Duration::ZERO
        };
        let ServerSetup { service, version, zone, slots, .. } = &self.setup;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{service}","version":"{version}","zone":"{zone}","capacity":{slots}}},"status":{{"state":"ready","sequence":{},"cold-remaining":"{}ms"}}}}"#,
            self.address,
            state.born,
            state.sequence,
            cold.as_millis()
        )
    }

    /// Ends the process of the server: all its connections are reset or closed, its port is closed, and
    /// its entry goes after three heartbeats of silence. It starts again with a new id.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let old_id = {
            let mut state = lock(&self.state);
            if !state.is_up {
                return;
            }
            state.is_up = false;
            state.life += 1;
            for (_, stream) in state.connections.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            (state.running, state.waiting) = (0, 0);
            state.id.clone()
        };
        self.free.notify_all();
        self.record.add(format!("server {} ({old_id}) crashes", self.name));
        let (store, key) = (self.store.clone(), format!("servers/{old_id}"));
        let silence = self.setup.heartbeat * 3;
        thread::spawn(move || {
            thread::sleep(silence);
            store.remove(&key);
        });
        let s = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            let mut state = lock(&s.state);
            state.id = new_id(&s.name);
            state.born = unix_ms();
            state.sequence = 0;
            state.started = Instant::now();
            state.is_cold_start = true;
            state.is_up = true;
            let id = state.id.clone();
            drop(state);
            s.record.add(format!("server {} is back as {id}", s.name));
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, life: u64) {
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.message() {
            if !req.is_whole {
                return;
            }
            let request_id = req.header("jasminestage-request-id").to_owned();
            let extra = lock(&self.setup.extra_headers).clone();
            let mut state = lock(&self.state);
            if state.life != life {
                return;
            }
            let id = state.id.clone();
            let load = format!("{},{},{}", state.running, state.waiting, self.setup.slots);
            let common = format!(
                "Jasminestage-Request-Id: {request_id}\r\nJasminestage-Server-Load: {load}\r\n{extra}"
            );
            let target = req.header("jasminestage-target-instance");
            if !target.is_empty() && target != id {
                drop(state);
                if reply(&mut reader.stream, 421, "Jasminestage-Not-Executed: 1\r\n", b"").is_err()
                {
                    return;
                }
                continue;
            }
            if state.running >= self.setup.slots && state.waiting >= self.setup.queue {
                drop(state);
                let headers = format!("{common}Jasminestage-Not-Executed: 1\r\n");
                if reply(&mut reader.stream, 503, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let arrived = Instant::now();
            let limit: u64 = req.header("jasminestage-deadline-ms").parse().unwrap_or(10_000);
            let deadline = arrived + ms(limit);
            state.waiting += 1;
            while state.life == life
                && state.running >= self.setup.slots
                && Instant::now() < deadline
            {
                state = match self.free.wait_timeout(state, ms(20)) {
                    Ok((guard, _)) => guard,
                    Err(e) => e.into_inner().0,
                };
            }
            if state.life != life {
                return;
            }
            state.waiting -= 1;
            if Instant::now() >= deadline {
                drop(state);
                let headers = format!("{common}Jasminestage-Not-Executed: 1\r\n");
                if reply(&mut reader.stream, 503, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            state.running += 1;
            drop(state);
            self.runs.fetch_add(1, Ordering::Relaxed);
            self.record.add(format!("server {} ({id}) runs {request_id} {}", self.name, req.start));
            let run = (self.behaviour)(&self.name, &req);
            let work = match run {
                Run::Crash(down) => {
                    self.crash(down);
                    return;
                }
                Run::Answer(work) => work,
            };
            let end = (Instant::now() + work).min(deadline);
            let is_cut = self.work_until(&reader.stream, end, life);
            let mut state = lock(&self.state);
            if state.life != life {
                return;
            }
            state.running -= 1;
            drop(state);
            self.free.notify_all();
            if is_cut {
                self.record
                    .add(format!("server {} cuts {request_id}: its connection closed", self.name));
                return;
            }
            let status = if work > deadline.saturating_duration_since(arrived) { 504 } else { 200 };
            let headers = format!("{common}Jasminestage-Response-Signature: {id}.{request_id}\r\n");
            let body = format!("answer to {request_id} by {id}");
            if reply(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Works until an instant; returns whether the connection closed before.
    fn work_until(&self, stream: &TcpStream, end: Instant, life: u64) -> bool {
        let _ = stream.set_nonblocking(true);
        let mut is_cut = false;
        while Instant::now() < end && lock(&self.state).life == life {
            match stream.peek(&mut [0; 1]) {
                Ok(0) => {
                    is_cut = true;
                    break;
                }
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => {
                    is_cut = true;
                    break;
                }
                _ => {}
            }
            thread::sleep(ms(5).min(end.saturating_duration_since(Instant::now())));
        }
        let _ = stream.set_nonblocking(false);
        is_cut
    }
}

// ---------------------------------------------------------------- host processes

/// A deployment of hosts: their zones with the regions, and the store.
pub struct Fleet {
    pub zones: Vec<(String, String)>,
    pub store: SocketAddr,
    /// Second part of the addresses 127.N.x.y of this test.
    pub net: u8,
    pub dir: std::path::PathBuf,
    pub memory_mb: u32,
}

/// A host process, started with the command of `deploy/system.toml`.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    child: Option<Child>,
}

fn role_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml is there");
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("a role runs");
    let command = line.split('"').nth(1).expect("a command is quoted");
    command.split(' ').map(str::to_owned).collect()
}

impl Fleet {
    /// A fleet with addresses that are free.
    pub fn new(zones: &[(&str, &str)], store: SocketAddr, net: u8) -> Fleet {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder can be created");
        let zones = zones.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect();
        Fleet { zones, store, net, dir, memory_mb: 260 }
    }

    /// Fills `deploy/host.ini` in as the platform does.
    fn settings(&self, name: &str, zone: &str, ip: Ipv4Addr, first_start: bool) -> String {
        let template = fs::read_to_string("deploy/host.ini").expect("deploy/host.ini is there");
        let (before, rest) = template.split_once("{{#zones}}\n").expect("the zones are listed");
        let (_, after) = rest.split_once("{{/zones}}\n").expect("the list of zones ends");
        let zones: String = self.zones.iter().map(|(z, r)| format!("{z} = {r}\n")).collect();
        let mut text = format!("{before}{zones}{after}");
        let values = [
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("bind-addresses.frontend", format!("{ip}:8389")),
            ("bind-addresses.ready", format!("{ip}:8384")),
            ("bind-addresses.directory", format!("{ip}:8385")),
            ("ip", ip.to_string()),
            ("internal-ports.0", "7460".to_owned()),
            ("limits.cpu-share", "0.2".to_owned()),
            ("limits.memory-mb", self.memory_mb.to_string()),
            ("limits.max-fds", "4100".to_owned()),
            ("bootstrap", first_start.to_string()),
            ("provider.address", self.store.to_string()),
            ("bounds.ttl_max", "5s".to_owned()),
            ("bounds.grace", "6s".to_owned()),
            ("bounds.budget-ratio", "0.2".to_owned()),
            ("bounds.budget-extra", "60".to_owned()),
            ("bounds.quota-window", "5s".to_owned()),
            ("bounds.quota-overage", "0.1".to_owned()),
            ("bounds.quota-slack", "20".to_owned()),
            ("bounds.expose-share", "0.1".to_owned()),
            ("bounds.expose-slack", "50".to_owned()),
            ("bounds.max-shift", "0.15".to_owned()),
        ];
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        while let Some(from) = text.find("{{") {
            let to = text[from..].find("}}").expect("a placeholder ends") + from + 2;
            text.replace_range(from..to, "");
        }
        text
    }

    /// Starts a host; `number` is different for each.
    pub fn start_host(&self, number: u8, zone: &str) -> Host {
        let name = format!("edge-{zone}-{number}");
        let ip = Ipv4Addr::new(127, self.net, 1, number);
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, self.settings(&name, zone, ip, true))
            .expect("settings can be written");
        let log = self.dir.join(format!("{name}.log"));
        let mut host = Host { name, zone: zone.to_owned(), ip, settings, log, child: None };
        host.spawn();
        host
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Host {
    pub fn spawn(&mut self) {
        let command = role_command();
        let log = fs::File::create(&self.log).expect("a log can be created");
        let log_2 = log.try_clone().expect("a log can be shared");
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JASMINESTAGE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_2)
            .spawn()
            .expect("the host can be started");
        self.child = Some(child);
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, 8389).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, 8384).into()
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        send_once(self.ready(), text.as_bytes(), ms(1000)).is_some_and(|m| m.status() == 200)
    }

    /// Sends a signal by its name to the process that this test started.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("bash").args(["-c", &command]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready; false after 30 s.
pub fn wait_until_ready(hosts: &[Host]) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(ms(100));
    }
    false
}

/// A number for the addresses 127.N.x.y that no other test uses.
pub fn free_net() -> u8 {
    let first = 20 + (std::process::id() % 200) as u8;
    (0..200u8)
        .map(|i| 20 + (u16::from(first) - 20 + u16::from(i)) as u8 % 200)
        .find(|net| {
            let free =
                |port: u16| TcpListener::bind((Ipv4Addr::new(127, *net, 1, 1), port)).is_ok();
            [8389, 8384, 8385, 7460, 9464].into_iter().all(free)
        })
        .unwrap_or(first)
}

// ---------------------------------------------------------------- clients

/// Sends bytes on a new connection and reads one message.
pub fn send_once(to: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    stream.write_all(bytes).ok()?;
    Reader::new(stream).message()
}

/// The text of a client's request.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    body: &str,
) -> String {
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nJasminestage-Request-Id: {id}\r\n\
         Jasminestage-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n{length}\r\n{body}"
    )
}

// ---------------------------------------------------------------- the operator

pub struct RouteSetup<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub max_attempts: u32,
    pub affinity: bool,
}

/// A whole configuration with one tenant.
pub fn config(version: u32, routes: &[RouteSetup<'_>], key: &str, rate: u64, burst: u64) -> String {
    let mut rows: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"resource-kind":"routes","metadata":{{"name":"{}"}},"spec":{{"host":"{}","path-prefix":"{}","type":"{}","timeout":"{}ms","target-latency":"{}ms","priority":1,"service":"{}","max-attempts":{},"public":false,"session-affinity":{},"allowed-regions":[]}}}}"#,
                r.name, r.host, r.prefix, r.kind, r.timeout_ms, r.target_ms, r.service, r.max_attempts, r.affinity
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        rows.push(format!(
            r#"{{"resource-kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start":"3s","cold-per-s":5.0}}}}"#
        ));
    }
    rows.push(format!(
        r#"{{"resource-kind":"tenants","metadata":{{"name":"yefi830"}},"spec":{{"api-keys":["{key}"],"priority":0,"rate-per-s":{rate},"burst":{burst},"allowed-regions":[]}}}}"#
    ));
    rows.push(
        r#"{"resource-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}"#
            .to_owned(),
    );
    format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, rows.join(","))
}

/// Whether the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// The zones of a small deployment with their regions.
pub const ZONES: [(&str, &str); 6] = [
    ("zrh-a", "zurich"),
    ("gva-a", "geneva"),
    ("lug-a", "lugano"),
    ("zrh-b", "zurich"),
    ("gva-b", "geneva"),
    ("lug-b", "lugano"),
];
