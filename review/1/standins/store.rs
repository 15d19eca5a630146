//! Stand-in of the platform's store, after the page PROTOCOL.md.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::json::{Json, decode_base64, encode_base64};

/// Period in which a server renews its entry, and silence after which its entry is removed.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
const ENTRY_TTL: Duration = Duration::from_millis(4500);
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
    written: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    is_down: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, lease, written: Instant::now() });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Removes what has expired. Entries expire also while the store is down.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.leases.remove(lease);
        }
        let is_over = |key: &str, item: &Item| {
            ended.contains(&item.lease)
                || (key.starts_with("servers/") && now >= item.written + ENTRY_TTL)
        };
        let keys: Vec<String> =
            self.items.iter().filter(|(k, i)| is_over(k, i)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(i) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
                encode_base64(&i.value),
                i.revision,
                i.revision,
                i.lease
            ),
            None => format!(r#"{{"key":"{key}","revision":0}}"#),
        }
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = State { revision: 100, next_lease: 7000, ..State::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let sweeping = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = sweeping.lock();
                let before = state.revision;
                state.expire();
                if state.revision != before {
                    sweeping.state.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panicked")
    }

    /// Writes an item as the operator or a server does; false while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        if state.is_down {
            return false;
        }
        state.write(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.state.1.notify_all();
        true
    }

    /// Removes an item as the operator or a server does.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    /// Number of entries of servers.
    pub fn server_count(&self) -> usize {
        self.lock().items.keys().filter(|k| k.starts_with("servers/")).count()
    }

    /// While the store is down, it resets connections and does nothing of what it is asked.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.lock();
        state.expire();
        state.is_down = is_down;
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        loop {
            if self.lock().is_down {
                // Closing with unread bytes resets the connection.
                let _ = stream.peek(&mut [0]);
                return;
            }
            let Ok(Some(head)) = read_head(&mut reader) else { return };
            let Ok(body) = read_body(&mut reader, &head) else { return };
            thread::sleep(ANSWER_TIME);
            let Some((status, text)) = self.answer(&head, &Json::parse(&body)) else { return };
            let answer = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` resets the connection without doing anything.
    fn answer(&self, head: &Head, doc: &Json) -> Option<(u16, String)> {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let text = |name: &str| -> String {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let found = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.replace("%2F", "/"));
            found.last().unwrap_or_default()
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        if path == "/kv-watch" {
            let wait = Duration::from_millis(number("wait-ms"));
            return self.watch(&text("path-prefix"), number("after"), wait);
        }
        let mut state = self.lock();
        if state.is_down {
            return None;
        }
        state.expire();
        let answer = match (head.word(0), path) {
            ("GET", "/kv-key") => {
                let key = text("key");
                (if state.items.contains_key(&key) { 200 } else { 404 }, state.item(&key))
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (text("path-prefix"), text("after"));
                let keys: Vec<&String> =
                    state.items.keys().filter(|k| k.starts_with(&prefix) && **k > after).collect();
                let items: Vec<String> = keys.iter().take(500).map(|k| state.item(k)).collect();
                let (items, at) = (items.join(","), state.revision);
                let more = keys.len() > 500;
                (200, format!(r#"{{"items":[{items}],"has-more":{more},"at":{at}}}"#))
            }
            ("POST", "/kv-txn") => transact(&mut state, doc),
            ("POST", "/kv-lease") => {
                let ttl = duration(doc.get("ttl_time").text());
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_time":"{}ms"}}"#, ttl.as_millis()))
            }
            (_, path) => lease_call(&mut state, path),
        };
        drop(state);
        self.state.1.notify_all();
        Some(answer)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_down {
                return None;
            }
            let changes =
                state.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, value)| match value {
                    Some(v) => format!(
                        r#"{{"key":"{key}","value":"{}","revision":{revision}}}"#,
                        encode_base64(v)
                    ),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return Some((200, format!(r#"{{"events":[{events}],"at":{at}}}"#)));
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panicked").0;
        }
    }
}

fn transact(state: &mut State, doc: &Json) -> (u16, String) {
    let conditions = doc.get("precondition").list();
    let is_met = |row: &Json| {
        let known = state.items.get(row.get("key").text()).map_or(0, |i| i.revision);
        known == row.get("revision").number()
    };
    if !conditions.iter().all(is_met) {
        let items: Vec<String> =
            conditions.iter().map(|row| state.item(row.get("key").text())).collect();
        return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    for row in doc.get("writes").list() {
        let lease = row.get("lease").number();
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        state.write(row.get("key").text(), decode_base64(row.get("value").text()), lease);
    }
    for key in doc.get("remove").list() {
        state.remove(key.text());
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}

fn lease_call(state: &mut State, path: &str) -> (u16, String) {
    let lease = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
    if let Some(id) = lease("/kv-keep/") {
        let Some((end, ttl)) = state.leases.get_mut(&id) else { return (404, "{}".to_owned()) };
        *end = Instant::now() + *ttl;
        return (200, format!(r#"{{"ttl_time":"{}ms"}}"#, ttl.as_millis()));
    }
    if let Some(id) = lease("/kv-lease-end/") {
        let is_known = state.leases.remove(&id).is_some();
        let keys: Vec<String> =
            state.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        for key in keys {
            state.remove(&key);
        }
        return (if is_known { 200 } else { 404 }, "{}".to_owned());
    }
    (404, "{}".to_owned())
}

fn duration(text: &str) -> Duration {
    let (digits, factor) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 0.001),
        None => (text.trim_end_matches('s'), 1.0),
    };
    Duration::from_secs_f64(digits.parse::<f64>().unwrap_or(1.0) * factor)
}
