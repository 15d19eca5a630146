//! A machine is stopped by SIGTERM while clients have sent several requests ahead on a connection.
#[path = "../standins-2.rs"]
mod standins;

use std::{
    collections::HashMap,
    io::Write,
    net::{Ipv4Addr, TcpStream},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use standins::*;

const KEY: &str = "tnfzs989anu6wsjnbanf";
const HOST: &str = "jepu9.example";
/// Requests that a client sends before the first response.
const AHEAD: usize = 4;
const CLIENTS: usize = 12;
/// Zones of hotar-ro-grown with their regions.
const ZONES: [(&str, &str); 6] = [
    ("muntenia-a", "muntenia"),
    ("moldova-a", "moldova"),
    ("banat-a", "banat"),
    ("muntenia-b", "muntenia"),
    ("moldova-b", "moldova"),
    ("banat-b", "banat"),
];

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = has_trouble();
    let record = Record::new();
    let net = free_net();
    let store = Store::start(Ipv4Addr::new(127, net, 200, 1));
    let fleet = Fleet::new(&ZONES, store.address, net);
    let route = RouteSetup {
        name: "r-47b57mn",
        host: HOST,
        prefix: "/lepu270/",
        kind: "safe",
        service: "huvo11a",
        timeout_ms: 3000,
        target_ms: 2500,
        max_attempts: 2,
        affinity: false,
    };
    store.put("op/config", &config(7, &[route], KEY, 0, 0));
    // How often a server began to run each request.
    let runs: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let seen = Arc::clone(&runs);
    let behaviour: Behaviour = Arc::new(move |_, req| {
        let id = req.header("jasminestage-request-id").to_owned();
        // Requests need 300 to 1,200 ms.
        let work = 300 + id.bytes().map(u64::from).sum::<u64>() * 131 % 900;
        lock(&seen).insert(id, now_ms());
        Run::Answer(ms(work))
    });
    let mut servers = Vec::new();
    for (zone, _) in ZONES {
        for n in 0..3 {
            let setup = ServerSetup {
                service: "huvo11a".to_owned(),
                zone: zone.to_owned(),
                version: "v1".to_owned(),
                slots: 6,
                queue: 12,
                heartbeat: ms(1500),
                extra_headers: Arc::default(),
            };
            let ip = Ipv4Addr::new(127, net, 64, 10 + servers.len() as u8);
            let name = format!("{zone}-{n}");
            servers.push(Server::start(&name, ip, setup, &store, &record, Arc::clone(&behaviour)));
        }
    }
    let mut hosts: Vec<Host> = ZONES
        .iter()
        .enumerate()
        .map(|(n, (zone, _))| fleet.start_host(n as u8 + 1, zone))
        .collect();
    if !wait_until_ready(&hosts) {
        eprintln!("the hosts do not become ready");
        drop(hosts);
        drop(fleet);
        exit(2);
    }
    thread::sleep(ms(4500));
    let addresses: Vec<_> = hosts.iter().map(|h| (h.name.clone(), h.frontend())).collect();
    let end = Instant::now() + Duration::from_secs(12);
    // Host, request and time of each request whose connection ended without its response.
    let cut: Arc<Mutex<Vec<(String, String, u64)>>> = Arc::default();
    let answered: Arc<Mutex<usize>> = Arc::default();
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (addresses, record) = (addresses.clone(), record.clone());
            let (cut, answered) = (Arc::clone(&cut), Arc::clone(&answered));
            let mut rng = Rng(rng.next() | 1);
            thread::spawn(move || {
                thread::sleep(ms(rng.below(1000) as u64));
                let mut n = 0;
                while Instant::now() < end {
                    let (name, to) = &addresses[c % addresses.len()];
                    let Ok(stream) = TcpStream::connect_timeout(to, ms(1000)) else {
                        thread::sleep(ms(200));
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(ms(11_000)));
                    let mut reader = Reader::new(stream);
                    let ids: Vec<String> = (0..AHEAD).map(|i| format!("c{c}n{n}r{i}")).collect();
                    n += 1;
                    let text: String = ids
                        .iter()
                        .map(|id| request("GET", HOST, "/lepu270/2f", id, KEY, 10_000, ""))
                        .collect();
                    if reader.stream.write_all(text.as_bytes()).is_err() {
                        continue;
                    }
                    for (i, id) in ids.iter().enumerate() {
                        match reader.message().filter(|m| m.is_whole) {
                            Some(m) => {
                                record.add(format!(
                                    "client {c}: {id} by {name}: {} {}",
                                    m.status(),
                                    m.header("connection")
                                ));
                                *lock(&answered) += 1;
                            }
                            None => {
                                let rest = &ids[i..];
                                record.add(format!(
                                    "client {c}: the connection to {name} ends before {}",
                                    rest.join(" ")
                                ));
                                let at = now_ms();
                                lock(&cut)
                                    .extend(rest.iter().map(|id| (name.clone(), id.clone(), at)));
                                break;
                            }
                        }
                    }
                    thread::sleep(ms(rng.below(300) as u64));
                }
            })
        })
        .collect();
    thread::sleep(ms(5000));
    let stopped = hosts[0].name.clone();
    let at = now_ms();
    if trouble {
        record.add(format!("{stopped} gets SIGTERM"));
        hosts[0].signal("TERM");
    }
    clients.into_iter().for_each(|c| c.join().unwrap_or(()));
    let has_ended = hosts[0].has_exited();
    let runs = lock(&runs).clone();
    let cut = lock(&cut).clone();
    let passed_on: Vec<_> = cut.iter().filter(|(_, id, _)| runs.contains_key(id)).collect();
    let is_broken = !passed_on.is_empty();
    let mut summary = vec![
        format!("responses: {}", lock(&answered)),
        format!("SIGTERM of {stopped} at {at} ms: {trouble}; it has ended: {has_ended}"),
        format!("requests whose connection ended without a response: {}", cut.len()),
        format!("of these, passed on to a server before: {}", passed_on.len()),
    ];
    for (host, id, at) in &passed_on {
        summary.push(format!(
            "  {id} at {host}: a server runs it at {} ms, its connection ends at {at} ms",
            runs[id]
        ));
    }
    summary.push((if is_broken { "BROKEN: LOST" } else { "held" }).to_owned());
    record.write(&out, &summary);
    summary.iter().for_each(|l| println!("{l}"));
    servers.iter().for_each(|s| s.ended.store(true, std::sync::atomic::Ordering::Relaxed));
    drop(hosts);
    drop(fleet);
    exit(i32::from(is_broken));
}
