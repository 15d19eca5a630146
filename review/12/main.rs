//! Callers leave before their deadline, most of them on connections that began with a booking, with further
//! `safe` requests sent behind the first one.

#[path = "../standins-3.rs"]
mod standins;

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::{Folder, HOST_NAME, Host, HostSettings, Random, Record, Run, Server, Store, Wire, resolve};

/// Time after the close of a caller's connection from which the rule counts.
const HALF_SECOND: Duration = Duration::from_millis(500);
/// More than "a few".
const A_FEW: usize = 3;
/// Share of the exchanges whose caller leaves, in hundredths.
const LEAVING_SHARE: u64 = 20;
/// Time after which a caller leaves: half the objective of `trip-history`.
const LEAVES_AFTER: Duration = Duration::from_millis(400);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(6);
/// Callers.
const CALLERS: u64 = 40;
/// Time for which callers send requests.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Period in which a server looks whether its connection has been closed.
const WATCH_PERIOD: Duration = Duration::from_millis(20);

const CONFIG: &str = r#"{"version":"00000004","resources":[
{"resource-kind":"limits","metadata":{"name":"limits"},"spec":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"10s"}},
{"resource-kind":"services","metadata":{"name":"buchung"},"spec":{"health-path":"/health","max-connections":2512,"cold-start":"3s","cold-per-s":5.0}},
{"resource-kind":"services","metadata":{"name":"verlauf"},"spec":{"health-path":"/health","max-connections":2512,"cold-start":"3s","cold-per-s":5.0}},
{"resource-kind":"tenants","metadata":{"name":"acme"},"spec":{"api-keys":["key-of-acme"],"priority":1,"rate-per-s":0,"burst":0}},
{"resource-kind":"routes","metadata":{"name":"seat-booking"},"spec":{"host":"calls.example","path-prefix":"/book/","type":"unsafe","timeout":"3s","target-latency":"1200ms","priority":1,"service":"buchung","max-attempts":2,"public":true}},
{"resource-kind":"routes","metadata":{"name":"trip-history"},"spec":{"host":"calls.example","path-prefix":"/trips/","type":"safe","timeout":"4s","target-latency":"800ms","priority":2,"service":"verlauf","max-attempts":2,"public":true}}
]}"#;

/// A request at a server.
struct Work {
    began_at: Instant,
    /// End of the work if nobody cancels it.
    would_end_at: Instant,
    ended_at: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    works: HashMap<String, Work>,
    /// When the caller of a request closed its connection before the answer.
    left_at: HashMap<String, Instant>,
    sent: usize,
    complete: usize,
    others: usize,
}

struct World {
    record: Record,
    seen: Arc<Mutex<Seen>>,
    directories: Vec<SocketAddr>,
    is_over: AtomicBool,
    has_trouble: bool,
}

/// Runs a request for `time`, unless its connection is closed before.
fn work(run: &mut Run<'_>, seen: &Mutex<Seen>, record: &Record, time: Duration) -> io::Result<()> {
    let (id, began_at) = (run.id(), Instant::now());
    record.line(format!("run {id} at {}", run.server));
    let would_end_at = began_at + time;
    let entry = Work { began_at, would_end_at, ended_at: None };
    seen.lock().unwrap().works.insert(id.clone(), entry);
    let mut is_cancelled = false;
    while !is_cancelled && Instant::now() < would_end_at {
        thread::sleep(WATCH_PERIOD.min(would_end_at.saturating_duration_since(Instant::now())));
        is_cancelled = is_closed(&run.wire.stream);
    }
    if let Some(work) = seen.lock().unwrap().works.get_mut(&id) {
        work.ended_at = Some(Instant::now());
    }
    if is_cancelled {
        record.line(format!("cancelled {id} after {:.3} s", began_at.elapsed().as_secs_f64()));
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    run.respond(200, &[("Keep-Alive", "timeout=10")], format!("answer to {id}").as_bytes())
}

/// Whether the other end has closed a connection on which nothing is to be read.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(len) => len == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

fn send(world: &World, wire: &mut Wire, method: &str, path: &str, id: &str) -> bool {
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", HOST_NAME),
        ("Jasminestage-Request-Id", id),
        ("Jasminestage-Deadline-Ms", deadline.as_str()),
    ];
    world.seen.lock().unwrap().sent += 1;
    let body: &[u8] = if method == "POST" { b"two seats" } else { b"" };
    wire.write(&format!("{method} {path} HTTP/1.1"), &headers, body).is_ok()
}

/// Reads a response; returns whether the connection can be used again.
fn receive(world: &World, wire: &mut Wire) -> bool {
    let _ = wire.stream.set_read_timeout(Some(DEADLINE));
    let response = wire.read();
    let mut seen = world.seen.lock().unwrap();
    match response {
        Ok(response) if response.status() == 200 => {
            seen.complete += 1;
            !response.closes()
        }
        _ => {
            seen.others += 1;
            false
        }
    }
}

fn run_caller(world: &World, number: u64) {
    let mut random = Random::new(number + 1);
    let mut exchange = 0;
    while !world.is_over.load(Ordering::Relaxed) {
        let directory = world.directories[number as usize % world.directories.len()];
        let Some((addresses, ttl)) = resolve(directory, "oberbayern", "muc-a") else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let until = Instant::now() + ttl;
        let address = addresses[random.below(addresses.len() as u64) as usize];
        let Ok(stream) = TcpStream::connect(address) else { continue };
        let mut wire = Wire::new(stream);
        // Three of four callers book first; their connections then carry the other requests.
        if number % 4 != 0 {
            let id = format!("c{number}-{exchange}-book");
            if !send(world, &mut wire, "POST", "/book/seat", &id) || !receive(world, &mut wire) {
                continue;
            }
        }
        while Instant::now() < until && !world.is_over.load(Ordering::Relaxed) {
            exchange += 1;
            let first = format!("c{number}-{exchange}-first");
            let further = [1, 2].map(|n| format!("c{number}-{exchange}-further-{n}"));
            let began_at = Instant::now();
            if !send(world, &mut wire, "GET", "/trips/1", &first) {
                break;
            }
            for id in &further {
                thread::sleep(Duration::from_millis(20 + random.below(100)));
                if !send(world, &mut wire, "GET", "/trips/2", id) {
                    break;
                }
            }
            let leaves = random.below(100) < LEAVING_SHARE;
            if leaves && world.has_trouble {
                thread::sleep(LEAVES_AFTER.saturating_sub(began_at.elapsed()));
                drop(wire);
                let now = Instant::now();
                world.record.line(format!("left {first} and {}", further.join(" and ")));
                let mut seen = world.seen.lock().unwrap();
                seen.left_at.extend(further.into_iter().chain([first]).map(|id| (id, now)));
                break;
            }
            if !(0..=further.len()).all(|_| receive(world, &mut wire)) {
                break;
            }
            thread::sleep(Duration::from_millis(200 + random.below(400)));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&path)).unwrap_or_else(|_| exit(2));
    let folder = Folder::create("jasminestage-review-12");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (service, base_ms, spread_ms) in [("buchung", 100, 100), ("verlauf", 1200, 600)] {
        for n in 0..4 {
            let (seen, record) = (Arc::clone(&seen), record.clone());
            let random = Mutex::new(Random::new(n as u64 + base_ms));
            let zone = ["muc-a", "muc-b"][n % 2];
            Server::start(&store, &format!("i-{service}-{n}"), service, zone, 60, move |run| {
                let extra = random.lock().unwrap().below(spread_ms);
                work(run, &seen, &record, Duration::from_millis(base_ms + extra))
            });
        }
    }
    let zones = ["muc-a", "muc-b"].map(|z| (z.to_owned(), "oberbayern".to_owned())).to_vec();
    let hosts: Vec<Host> = ["muc-a", "muc-b"]
        .iter()
        .map(|zone| {
            let settings = HostSettings {
                name: format!("edge-{zone}"),
                zone: (*zone).to_owned(),
                zones: zones.clone(),
                cpu_share: 0.5,
                memory_mb: 512,
                max_fds: 8192,
                store: store.address,
                grace: "6s".to_owned(),
                bootstrap: true,
            };
            Host::start(&folder.0, &settings)
        })
        .collect();
    if !hosts.iter().all(|h| h.wait_until_ready(Duration::from_secs(20))) {
        eprintln!("the hosts did not become ready");
        end(hosts, folder, 2);
    }
    // All hosts have been in touch for `contact`, 4 s, when the first caller arrives.
    thread::sleep(Duration::from_secs(5));
    let world = Arc::new(World {
        record: record.clone(),
        seen: Arc::clone(&seen),
        directories: hosts.iter().map(|h| h.directory).collect(),
        is_over: AtomicBool::new(false),
        has_trouble,
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let world = Arc::clone(&world);
            thread::spawn(move || run_caller(&world, n))
        })
        .collect();
    thread::sleep(RUN_TIME);
    world.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(3));
    let seen = seen.lock().unwrap();
    let (mut long, mut still_at_work, mut late) = (0, 0, 0);
    for (id, left_at) in &seen.left_at {
        let Some(work) = seen.works.get(id) else { continue };
        let judged_at = *left_at + HALF_SECOND;
        if work.began_at > judged_at {
            late += 1;
            let after = work.began_at.saturating_duration_since(*left_at).as_secs_f64();
            record.line(format!("LATE {id} reached a server {after:.3} s after its caller had left"));
        } else if work.began_at < *left_at && work.would_end_at > judged_at {
            long += 1;
            if work.ended_at.is_none_or(|at| at > judged_at) {
                still_at_work += 1;
                record.line(format!("AT WORK {id} half a second after its caller had left"));
            }
        }
    }
    let summary = format!(
        "{} requests sent, {} answered completely, {} otherwise; of {long} requests of callers who had left and that \
         would have lasted half a second more, servers were still at work on {still_at_work}; {late} requests reached \
         a server later than half a second after the close",
        seen.sent, seen.complete, seen.others
    );
    record.line(&summary);
    println!("{summary}");
    let is_broken = late > A_FEW || (long >= 8 && 4 * still_at_work > long);
    let code = if seen.complete < 100 { 2 } else { i32::from(is_broken) };
    drop(seen);
    end(hosts, folder, code);
}

fn end(hosts: Vec<Host>, folder: Folder, code: i32) -> ! {
    drop(hosts);
    drop(folder);
    exit(code)
}
