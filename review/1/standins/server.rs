//! Stand-in of a backend server, after the page PROTOCOL.md.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_body, read_head};
use crate::record::{Record, Run};
use crate::store::{HEARTBEAT, Store};

/// Requests that the server runs at the same time, and requests that it queues besides.
const SLOTS: u32 = 9;
const QUEUE: u32 = 27;

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    version: String,
    born: u128,
    work: Duration,
    running: AtomicU32,
    sequence: AtomicU32,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    store: Store,
}

impl Server {
    /// Starts a server and its heartbeats, the first of them after `first_beat`.
    pub fn start(
        record: &Arc<Record>,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a listener has an address"),
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis()),
            work,
            running: AtomicU32::new(0),
            sequence: AtomicU32::new(0),
            is_up: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            sockets: Mutex::default(),
            record: Arc::clone(record),
            store: store.clone(),
        });
        server.beat();
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_up.load(Ordering::SeqCst) {
                    return;
                }
                beating.beat();
            }
        });
        server
    }

    /// Writes the entry; returns whether the store has acknowledged it.
    fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"{}","capacity":{SLOTS}}},"status":{{"state":"{state}","sequence":{sequence},"cold-remaining":"0ms"}}}}"#,
            self.address, self.born, self.service, self.version, self.zone
        );
        self.store.put(&format!("servers/{}", self.id), &entry)
    }

    /// Reports `draining` and returns when the store has acknowledged that. The server goes on
    /// serving.
    pub fn drain(&self) -> Instant {
        self.is_draining.store(true, Ordering::SeqCst);
        while !self.beat() {
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("{} reports draining, acknowledged by the store", self.id));
        Instant::now()
    }

    /// Exits: closes all connections and removes the entry.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for socket in self.sockets.lock().expect("no thread panicked").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        self.store.remove(&format!("servers/{}", self.id));
        self.record.line(&format!("{} exits", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.sockets.lock().expect("no thread panicked").push(kept);
        let mut reader = BufReader::new(reading);
        loop {
            let Ok(Some(head)) = read_head(&mut reader) else { return };
            let Ok(body) = read_body(&mut reader, &head) else { return };
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let id = head.field("jasminestage-request-id").unwrap_or("").to_owned();
            let target = head.field("jasminestage-target-instance").unwrap_or(&self.id);
            let running = self.running.load(Ordering::SeqCst);
            let load = format!(
                "jasminestage-server-load: {},{},{SLOTS}\r\n",
                running.min(SLOTS),
                running.saturating_sub(SLOTS)
            );
            let not_run = |status: &str, fields: &str| {
                format!(
                    "HTTP/1.1 {status}\r\njasminestage-not-executed: 1\r\njasminestage-request-id: {id}\r\n{fields}content-length: 0\r\n\r\n"
                )
            };
            let answer = if target != self.id {
                not_run("421 Misdirected Request", "")
            } else if id.is_empty() {
                not_run("400 Bad Request", "")
            } else if running >= SLOTS + QUEUE {
                not_run("503 Service Unavailable", &load)
            } else {
                self.running.fetch_add(1, Ordering::SeqCst);
                self.record.run(Run {
                    at: Instant::now(),
                    id: id.clone(),
                    server: self.id.clone(),
                    request: format!("{} {}", head.word(0), head.word(1)),
                    body: body.clone(),
                });
                thread::sleep(self.work);
                self.running.fetch_sub(1, Ordering::SeqCst);
                if !self.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let text = format!("answer to {id}");
                format!(
                    "HTTP/1.1 200 OK\r\njasminestage-request-id: {id}\r\njasminestage-response-signature: {}.{id}\r\n{load}content-length: {}\r\n\r\n{text}",
                    self.id,
                    text.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
