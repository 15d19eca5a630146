//! Callers send further `safe` requests before their download has been answered, while hosts are stopped
//! and started in turn.

#[path = "../standins-3.rs"]
mod standins;

use std::{
    collections::{HashMap, HashSet},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use standins::{
    API_KEY, Folder, HOST_NAME, Host, HostSettings, Random, ReadEnd, Record, SIGTERM, Server, Store,
    Wire, limit_receive_buffer, resolve,
};

/// Grace of a planned stop.
const GRACE: Duration = Duration::from_secs(6);
/// How often each host is stopped and started.
const ROUNDS: usize = 2;
/// `contact` of the site.
const CONTACT: Duration = Duration::from_secs(4);
/// One-way delay between callers and hosts, as the sheet says.
const DELAY: Duration = Duration::from_millis(8);
/// Rate of a small machine's link, 10 Mbit/s, in bytes per second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Size of a window on a link.
const WINDOW_BYTES: usize = 16 * 1024;
/// Size of the parts that a link passes on.
const PART_BYTES: usize = 4 * 1024;
/// Size of a download; the mean of the sheet's site file is 90 kB, and the largest one has 540 kB.
const DOWNLOAD_BYTES: usize = 120_000;
/// Size of a search result.
const SEARCH_BYTES: usize = 5_000;
/// Deadline of all requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// Callers.
const CALLERS: usize = 40;
/// Mean time between two searches of a caller who waits for a download.
const SEARCH_PERIOD_MS: u64 = 60;
/// Largest number of searches that a caller sends ahead.
const MAX_SEARCHES: usize = 5;

const CONFIG: &str = r#"{"version":"00000004","resources":[
{"resource-kind":"limits","metadata":{"name":"limits"},"spec":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"10s"}},
{"resource-kind":"services","metadata":{"name":"belege"},"spec":{"health-path":"/health","max-connections":2512,"cold-start":"3s","cold-per-s":5.0}},
{"resource-kind":"services","metadata":{"name":"suche"},"spec":{"health-path":"/health","max-connections":2512,"cold-start":"3s","cold-per-s":5.0}},
{"resource-kind":"tenants","metadata":{"name":"acme"},"spec":{"api-keys":["key-of-acme"],"priority":1,"rate-per-s":0,"burst":0}},
{"resource-kind":"routes","metadata":{"name":"receipt-pack"},"spec":{"host":"calls.example","path-prefix":"/receipts/","type":"download","timeout":"5s","target-latency":"800ms","priority":2,"service":"belege","max-attempts":2}},
{"resource-kind":"routes","metadata":{"name":"seat-search"},"spec":{"host":"calls.example","path-prefix":"/search/","type":"safe","timeout":"2500ms","target-latency":"400ms","priority":1,"service":"suche","max-attempts":2}}
]}"#;

/// The link of a host in front of its port for callers, with a delay and a rate.
fn start_link(host: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (up_free_at, down_free_at) = (Arc::new(Mutex::new(Instant::now())), Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let (up_free_at, down_free_at) = (Arc::clone(&up_free_at), Arc::clone(&down_free_at));
            thread::spawn(move || {
                // A port without a listener resets the connection.
                let Ok(to_host) = TcpStream::connect(host) else { return };
                limit_receive_buffer(&to_host, WINDOW_BYTES as i32);
                let _ = (to_host.set_nodelay(true), caller.set_nodelay(true));
                let (Ok(a), Ok(b)) = (caller.try_clone(), to_host.try_clone()) else { return };
                thread::spawn(move || pass_on(a, b, &up_free_at));
                pass_on(to_host, caller, &down_free_at);
            });
        }
    });
    address
}

/// Passes bytes on until the end, each after its turn on the link and the delay.
fn pass_on(mut from: TcpStream, mut to: TcpStream, free_at: &Mutex<Instant>) {
    use std::io::{Read, Write};
    let (tx, rx) = mpsc::sync_channel::<(Instant, Vec<u8>)>(WINDOW_BYTES / PART_BYTES);
    let writer = thread::spawn(move || {
        for (at, part) in rx {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&part).is_err() {
                return;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
    let mut part = vec![0; PART_BYTES];
    while let Ok(len @ 1..) = from.read(&mut part) {
        let sent_at = {
            let mut free_at = free_at.lock().unwrap();
            let time = Duration::from_secs_f64(len as f64 / LINK_BYTES_PER_S);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(sent_at.saturating_duration_since(Instant::now()));
        if tx.send((sent_at + DELAY, part[..len].to_vec())).is_err() {
            break;
        }
    }
    drop(tx);
    let _ = writer.join();
}

/// What all callers share.
struct World {
    record: Record,
    directories: Vec<SocketAddr>,
    links: HashMap<SocketAddr, SocketAddr>,
    names: HashMap<SocketAddr, String>,
    /// Time of the last signal to each host.
    stopped_at: Mutex<HashMap<SocketAddr, Instant>>,
    /// Requests that servers have answered completely.
    answered: Arc<Mutex<HashSet<String>>>,
    is_over: AtomicBool,
    counts: Mutex<Counts>,
}

#[derive(Default)]
struct Counts {
    sent: usize,
    complete: usize,
    refused: usize,
    unread: usize,
    broken: usize,
}

impl World {
    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap());
    }

    /// Notes a request whose connection ended without a complete answer.
    fn note_cut(&self, id: &str, host: SocketAddr, sent_at: Instant, arrived: usize, error: &str) {
        let has_answer = self.answered.lock().unwrap().contains(id);
        let stopped_at = self.stopped_at.lock().unwrap().get(&host).copied();
        let now = Instant::now();
        let limit = GRACE + Duration::from_secs(1);
        let is_planned = stopped_at.is_some_and(|at| now.saturating_duration_since(at) <= limit);
        let is_in_time = now.saturating_duration_since(sent_at) < DEADLINE;
        let since = stopped_at.map_or(-1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let is_broken = has_answer && is_planned && is_in_time;
        self.record.line(format!(
            "{} {id} at {}: the connection ended after {arrived} bytes of the answer ({error}), {since:.3} s after \
             SIGTERM; the server had answered: {has_answer}",
            if is_broken { "LOST" } else { "cut" },
            self.names[&host],
        ));
        self.count(|c| if is_broken { c.broken += 1 } else { c.unread += 1 });
    }
}

/// One caller: downloads, and searches that it sends before the download has been answered.
fn run_caller(world: &World, number: usize) {
    let mut random = Random::new(number as u64 + 1);
    let (mut known, mut known_until) = (Vec::new(), Instant::now());
    let mut exchange_number = 0;
    while !world.is_over.load(Ordering::Relaxed) {
        if Instant::now() >= known_until {
            for n in 0..world.directories.len() {
                let directory = world.directories[(number + n) % world.directories.len()];
                if let Some((addresses, ttl)) = resolve(directory, "oberbayern", "muc-a") {
                    (known, known_until) = (addresses, Instant::now() + ttl);
                    break;
                }
            }
        }
        if known.is_empty() {
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        let host: SocketAddr = known[random.below(known.len() as u64) as usize];
        let Ok(stream) = TcpStream::connect(world.links[&host]) else { continue };
        let mut wire = Wire::new(stream);
        loop {
            if world.is_over.load(Ordering::Relaxed) {
                return;
            }
            if Instant::now() >= known_until {
                break;
            }
            exchange_number += 1;
            let prefix = format!("c{number}-{exchange_number}");
            if !exchange(world, &mut wire, host, &prefix, &mut random) {
                break;
            }
            thread::sleep(Duration::from_millis(600 + random.below(1200)));
        }
        thread::sleep(Duration::from_millis(100 + random.below(200)));
    }
}

/// A download with the searches behind it; returns whether the connection can be used again.
fn exchange(world: &World, wire: &mut Wire, host: SocketAddr, prefix: &str, random: &mut Random) -> bool {
    let token = format!("Token {API_KEY}");
    let deadline = DEADLINE.as_millis().to_string();
    let send = |wire: &mut Wire, path: &str, id: &str| {
        let headers = [
            ("Host", HOST_NAME),
            ("Jasminestage-Request-Id", id),
            ("Jasminestage-Deadline-Ms", &deadline),
            ("Authorization", &token),
        ];
        world.count(|c| c.sent += 1);
        wire.write(&format!("GET {path} HTTP/1.1"), &headers, b"").is_ok()
    };
    let mut waiting = vec![(format!("{prefix}-download"), Instant::now())];
    if !send(wire, "/receipts/2026-11", &waiting[0].0) {
        return false;
    }
    while waiting.len() <= MAX_SEARCHES {
        let pause = SEARCH_PERIOD_MS / 2 + random.below(SEARCH_PERIOD_MS);
        if wire.has_bytes(Duration::from_millis(pause)) {
            break;
        }
        let id = format!("{prefix}-search-{}", waiting.len());
        if !send(wire, &format!("/search/{}", waiting.len()), &id) {
            break;
        }
        waiting.push((id, Instant::now()));
    }
    let _ = wire.stream.set_read_timeout(Some(DEADLINE));
    for (n, (id, sent_at)) in waiting.iter().enumerate() {
        match wire.read() {
            Ok(response) => {
                let is_own = response.header("jasminestage-request-id").is_none_or(|r| r == id);
                if !is_own {
                    world.record.line(format!("MIXED {id} got an answer to another request"));
                    world.count(|c| c.broken += 1);
                }
                match response.status() {
                    200 => world.count(|c| c.complete += 1),
                    status => {
                        world.record.line(format!("{id} at {}: {status}", world.names[&host]));
                        world.count(|c| c.refused += 1);
                    }
                }
                if response.closes() {
                    // The requests behind it count as not read.
                    world.count(|c| c.unread += waiting.len() - n - 1);
                    return false;
                }
            }
            Err(ReadEnd::Cut(_, arrived, e)) => {
                world.note_cut(id, host, *sent_at, arrived, &e.to_string());
                return false;
            }
            Err(ReadEnd::Closed) => {
                world.note_cut(id, host, *sent_at, 0, "closed");
                return false;
            }
            Err(ReadEnd::Failed(e)) => {
                world.note_cut(id, host, *sent_at, 0, &e.to_string());
                return false;
            }
        }
    }
    true
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&path)).unwrap_or_else(|_| exit(2));
    let folder = Folder::create("jasminestage-review-11");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let answered = Arc::new(Mutex::new(HashSet::new()));
    for (service, bytes, work_ms) in [("belege", DOWNLOAD_BYTES, 250), ("suche", SEARCH_BYTES, 60)] {
        for n in 0..4 {
            let (answered, record) = (Arc::clone(&answered), record.clone());
            let body: Vec<u8> = (0..bytes).map(|i| b'a' + (i % 26) as u8).collect();
            let zone = ["muc-a", "muc-b"][n % 2];
            Server::start(&store, &format!("i-{service}-{n}"), service, zone, 40, move |run| {
                record.line(format!("run {} at {}", run.id(), run.server));
                thread::sleep(Duration::from_millis(work_ms));
                run.respond(200, &[("Keep-Alive", "timeout=10")], &body)?;
                answered.lock().unwrap().insert(run.id());
                Ok(())
            });
        }
    }
    let zones = vec![("muc-a".to_owned(), "oberbayern".to_owned()), ("muc-b".to_owned(), "oberbayern".to_owned())];
    let mut hosts: Vec<Host> = ["muc-a", "muc-b", "muc-a", "muc-b"]
        .iter()
        .enumerate()
        .map(|(n, zone)| {
            let settings = HostSettings {
                name: format!("edge-{zone}-{n}"),
                zone: (*zone).to_owned(),
                zones: zones.clone(),
                cpu_share: 0.07,
                memory_mb: 112,
                max_fds: 2870,
                store: store.address,
                grace: "6s".to_owned(),
                bootstrap: true,
            };
            Host::start(&folder.0, &settings)
        })
        .collect();
    if !hosts.iter().all(|h| h.wait_until_ready(Duration::from_secs(20))) {
        eprintln!("the hosts did not become ready");
        exit_after(hosts, folder, 2);
    }
    let world = Arc::new(World {
        record: record.clone(),
        directories: hosts.iter().map(|h| h.directory).collect(),
        links: hosts.iter().map(|h| (h.callers, start_link(h.callers))).collect(),
        names: hosts.iter().map(|h| (h.callers, h.name.clone())).collect(),
        stopped_at: Mutex::default(),
        answered,
        is_over: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    thread::sleep(Duration::from_secs(2));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let world = Arc::clone(&world);
            thread::spawn(move || run_caller(&world, n))
        })
        .collect();
    thread::sleep(CONTACT + Duration::from_secs(2));
    for n in 0..ROUNDS * hosts.len() {
        let count = hosts.len();
        let host = &mut hosts[n % count];
        if has_trouble {
            record.line(format!("SIGTERM to {}", host.name));
            world.stopped_at.lock().unwrap().insert(host.callers, Instant::now());
            host.signal(SIGTERM);
            let is_ended = host.wait_for_end(GRACE);
            record.line(format!("{} ended by itself: {is_ended}", host.name));
            host.launch();
            if !host.wait_until_ready(Duration::from_secs(15)) {
                record.line(format!("{} is not ready again", host.name));
            }
        }
        thread::sleep(CONTACT + Duration::from_secs(1));
    }
    world.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let counts = world.counts.lock().unwrap();
    let summary = format!(
        "{} requests sent, {} answered completely, {} refused or failed, {} not read or cut for another reason, {} lost",
        counts.sent, counts.complete, counts.refused, counts.unread, counts.broken
    );
    record.line(&summary);
    println!("{summary}");
    let code = if counts.complete < 100 { 2 } else { i32::from(counts.broken > 0) };
    drop(counts);
    exit_after(hosts, folder, code);
}

fn exit_after(hosts: Vec<Host>, folder: Folder, code: i32) -> ! {
    drop(hosts);
    drop(folder);
    exit(code)
}
