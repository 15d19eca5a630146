//! A request that crashes each server that begins to run it comes again and again.
#[path = "../standins-2.rs"]
mod standins;

use std::{
    net::Ipv4Addr,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use standins::*;

const KEY: &str = "tnfzs989anu6wsjnbanf";
const HOST: &str = "hulo84.example";
/// Time between two attempts of the client whose request crashes servers.
const REPEAT: Duration = Duration::from_millis(2000);
const ATTEMPTS: usize = 24;
/// Time for which a crashed server is away.
const DOWN: Duration = Duration::from_millis(3500);
/// `contact` of the deployment.
const CONTACT_MS: u64 = 3000;
/// Most retries that may reach servers later than `contact` after the third crash.
const ALLOWED: usize = 3;
/// Other requests of the service, a second.
const PER_S: u64 = 24;

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = has_trouble();
    let record = Record::new();
    let net = free_net();
    let store = Store::start(Ipv4Addr::new(127, net, 200, 1));
    let fleet = Fleet::new(&ZONES, store.address, net);
    let route = RouteSetup {
        name: "r-e9itfrz",
        host: HOST,
        prefix: "/xapu221/",
        kind: "unsafe",
        service: "wuno96b",
        timeout_ms: 1500,
        target_ms: 400,
        max_attempts: 2,
        affinity: false,
    };
    store.put("op/config", &config(7, &[route], KEY, 0, 0));
    // Arrivals of the request at servers, and the crashes by it.
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let seen = Arc::clone(&arrivals);
    let behaviour: Behaviour = Arc::new(move |_, req| {
        if req.path().contains("/jam/") {
            lock(&seen).push(now_ms());
            if trouble {
                return Run::Crash(DOWN);
            }
        }
        Run::Answer(ms(150))
    });
    let counts =
        [("zrh-a", 3), ("gva-a", 1), ("lug-a", 2), ("zrh-b", 3), ("gva-b", 1), ("lug-b", 2)];
    let mut servers = Vec::new();
    for (zone, count) in counts {
        for n in 0..count {
            let setup = ServerSetup {
                service: "wuno96b".to_owned(),
                zone: zone.to_owned(),
                version: "v1".to_owned(),
                slots: 3,
                queue: 9,
                heartbeat: ms(1500),
                extra_headers: Arc::default(),
            };
            let ip = Ipv4Addr::new(127, net, 64, 10 + servers.len() as u8);
            let name = format!("{zone}-{n}");
            servers.push(Server::start(&name, ip, setup, &store, &record, Arc::clone(&behaviour)));
        }
    }
    let zones =
        ["zrh-a", "zrh-a", "gva-a", "gva-a", "lug-a", "lug-a", "zrh-b", "zrh-b", "gva-b", "lug-b"];
    let hosts: Vec<Host> =
        zones.iter().enumerate().map(|(n, zone)| fleet.start_host(n as u8 + 1, zone)).collect();
    if !wait_until_ready(&hosts) {
        eprintln!("the hosts do not become ready");
        drop(hosts);
        drop(fleet);
        exit(2);
    }
    // After `contact`, all machines are in touch.
    thread::sleep(ms(4000));
    let addresses: Vec<_> = hosts.iter().map(|h| (h.name.clone(), h.frontend())).collect();
    let end = Instant::now() + REPEAT * ATTEMPTS as u32;
    let served: Arc<Mutex<(usize, usize)>> = Arc::default();
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let clients: Vec<_> = (0..PER_S / 2)
        .map(|c| {
            let (addresses, record, served) =
                (addresses.clone(), record.clone(), Arc::clone(&served));
            let mut rng = Rng(rng.next() | 1);
            thread::spawn(move || {
                thread::sleep(ms(rng.below(500) as u64));
                let mut n = 0;
                while Instant::now() < end {
                    let next = Instant::now() + ms(250 + rng.below(500) as u64);
                    let (name, to) = &addresses[rng.below(addresses.len())];
                    let id = format!("c{c}n{n}");
                    let text =
                        request("POST", HOST, &format!("/xapu221/{c}/{n}"), &id, KEY, 3000, "x");
                    let status =
                        send_once(*to, text.as_bytes(), ms(4000)).map_or(0, |m| m.status());
                    record.add(format!("client {c}: {id} by {name}: {status}"));
                    let mut served = lock(&served);
                    served.0 += usize::from(status == 200);
                    served.1 += 1;
                    drop(served);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    n += 1;
                }
            })
        })
        .collect();
    thread::sleep(ms(1000));
    for n in 0..ATTEMPTS {
        let next = Instant::now() + REPEAT;
        let (name, to) = &addresses[rng.below(addresses.len())];
        let id = format!("jam{n}");
        let text = request("POST", HOST, "/xapu221/jam/1", &id, KEY, 3000, "the same body");
        let status = send_once(*to, text.as_bytes(), ms(4000)).map_or(0, |m| m.status());
        record.add(format!("client jam: {id} by {name}: {status}"));
        if Instant::now() > end {
            break;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    clients.into_iter().for_each(|c| c.join().unwrap_or(()));
    let arrivals = lock(&arrivals).clone();
    let third = arrivals.get(2).copied();
    let late = third.map_or(0, |t| arrivals.iter().filter(|at| **at > t + CONTACT_MS).count());
    let (ok, all) = *lock(&served);
    // Without the disruption the request is like any other, and may run as often as it is sent.
    let is_broken = trouble && late > ALLOWED;
    let summary = vec![
        format!("attempts of the client: {ATTEMPTS}, runs at servers: {}", arrivals.len()),
        format!("crashed servers: {}", if trouble { arrivals.len() } else { 0 }),
        format!(
            "the third run: {third:?} ms; runs later than {CONTACT_MS} ms after it: {late} (allowed {ALLOWED})"
        ),
        format!("other requests answered with 200: {ok} of {all}"),
        format!("{}", if is_broken { "BROKEN: BUDGET" } else { "held" }),
    ];
    record.write(&out, &summary);
    summary.iter().for_each(|l| println!("{l}"));
    servers.iter().for_each(|s| s.ended.store(true, std::sync::atomic::Ordering::Relaxed));
    drop(hosts);
    drop(fleet);
    if !trouble && (ok * 10 < all * 9 || arrivals.len() < ATTEMPTS) {
        exit(2);
    }
    exit(i32::from(is_broken));
}
