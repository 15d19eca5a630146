//! Four servers crash one after the other, seven seconds apart, while they run the same harmless request among others.
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
const HOST: &str = "jepu9.example";
const LATE_PATH: &str = "/wall/today";
/// Requests a second on the first route and on the one that is added later.
const FIRST_PER_S: u64 = 30;
const LATE_PER_S: u64 = 40;
/// Time for which a crashed server is away.
const DOWN: Duration = Duration::from_millis(4500);
/// Time from the last crash to the steady state: the server is back, `contact` has passed, and the
/// rest is allowed for.
const SETTLE_MS: u64 = 12_000;
/// Length of the steady state that is judged.
const JUDGED_MS: u64 = 56_000;

#[derive(Clone, Copy)]
struct Sent {
    at: u64,
    is_late_route: bool,
    status: u16,
}

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = has_trouble();
    let record = Record::new();
    let net = free_net();
    let store = Store::start(Ipv4Addr::new(127, net, 200, 1));
    let fleet = Fleet::new(&ZONES, store.address, net);
    let first = || RouteSetup {
        name: "r-6sz9frg",
        host: HOST,
        prefix: "/lepu270/",
        kind: "safe",
        service: "huvo11a",
        timeout_ms: 2000,
        target_ms: 400,
        max_attempts: 2,
        affinity: true,
    };
    let late = RouteSetup { name: "r-late", prefix: "/wall/", ..first() };
    store.put("op/config", &config(7, &[first()], KEY, 0, 0));
    // The server that has begun to run the request of the late route last.
    let runner: Arc<Mutex<String>> = Arc::default();
    let seen = Arc::clone(&runner);
    let behaviour: Behaviour = Arc::new(move |name, req| {
        if req.path() == LATE_PATH {
            *lock(&seen) = name.to_owned();
        }
        Run::Answer(ms(120))
    });
    let counts =
        [("zrh-a", 4), ("gva-a", 1), ("lug-a", 4), ("zrh-b", 4), ("gva-b", 1), ("lug-b", 4)];
    let mut servers = Vec::new();
    for (zone, count) in counts {
        for n in 0..count {
            let setup = ServerSetup {
                service: "huvo11a".to_owned(),
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
    thread::sleep(ms(3500));
    store.put("op/config", &config(8, &[first(), late], KEY, 0, 0));
    record.add("the operator adds the route r-late (version 00000008)");
    thread::sleep(ms(3500));
    let addresses: Vec<_> = hosts.iter().map(|h| (h.name.clone(), h.frontend())).collect();
    let total = 6000 + 3 * 7000 + SETTLE_MS + JUDGED_MS;
    let end = Instant::now() + ms(total);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let clients: Vec<_> = (0..(FIRST_PER_S + LATE_PER_S) / 2)
        .map(|c| {
            let is_late_route = c < LATE_PER_S / 2;
            let (addresses, record, sent) = (addresses.clone(), record.clone(), Arc::clone(&sent));
            let mut rng = Rng(rng.next() | 1);
            thread::spawn(move || {
                thread::sleep(ms(rng.below(500) as u64));
                let mut n = 0;
                while Instant::now() < end {
                    let next = Instant::now() + ms(250 + rng.below(500) as u64);
                    let (name, to) = &addresses[rng.below(addresses.len())];
                    let id = format!("c{c}n{n}");
                    let (path, object) = match is_late_route {
                        true => (LATE_PATH.to_owned(), 17),
                        false => (format!("/lepu270/{}", rng.below(200)), rng.below(200)),
                    };
                    let text = request("GET", HOST, &path, &id, KEY, 2500, "");
                    let cookie = format!(
                        "Cookie: Jasminestage-Affinity-Key={object}\r\nJasminestage-Request-Id"
                    );
                    let text = text.replacen("Jasminestage-Request-Id", &cookie, 1);
                    let at = now_ms();
                    let status =
                        send_once(*to, text.as_bytes(), ms(4000)).map_or(0, |m| m.status());
                    record.add(format!("client {c}: {id} {path} by {name}: {status}"));
                    lock(&sent).push(Sent { at, is_late_route, status });
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    n += 1;
                }
            })
        })
        .collect();
    let mut last_crash = now_ms();
    for wait in [6000, 7000, 7000, 7000] {
        thread::sleep(ms(wait));
        let name = lock(&runner).clone();
        if let Some(server) = servers.iter().find(|s| s.name == name).filter(|_| trouble) {
            server.crash(DOWN);
        }
        last_crash = now_ms();
    }
    clients.into_iter().for_each(|c| c.join().unwrap_or(()));
    let sent = lock(&sent).clone();
    let share = |is_late_route: bool, from: u64, to: u64| {
        let rows =
            sent.iter().filter(|s| s.is_late_route == is_late_route && (from..to).contains(&s.at));
        let (mut all, mut ok) = (0, 0);
        for row in rows {
            all += 1;
            ok += u32::from(row.status == 200);
        }
        (ok, all)
    };
    let (from, to) = (last_crash + SETTLE_MS, last_crash + SETTLE_MS + JUDGED_MS);
    let (first_ok, first_all) = share(false, from, to);
    let (late_ok, late_all) = share(true, from, to);
    let beyond = share(true, last_crash + 63_000, u64::MAX);
    let rate = |ok: u32, all: u32| f64::from(ok) / f64::from(all.max(1));
    let is_broken = late_all >= 20 && rate(late_ok, late_all) < rate(first_ok, first_all) / 4.0;
    let before = share(true, 0, last_crash - 21_000);
    let summary = vec![
        format!("crashed servers: {}", if trouble { 4 } else { 0 }),
        format!("late route before the first crash: {} of {} served", before.0, before.1),
        format!("steady state, from {SETTLE_MS} ms after the last crash, for {JUDGED_MS} ms:"),
        format!("  first route: {first_ok} of {first_all} served"),
        format!("  late route: {late_ok} of {late_all} served"),
        format!(
            "  late route later than 63 s after the last crash: {} of {} served",
            beyond.0, beyond.1
        ),
        format!("{}", if is_broken { "BROKEN: CONFIG" } else { "held" }),
    ];
    record.write(&out, &summary);
    summary.iter().for_each(|l| println!("{l}"));
    servers.iter().for_each(|s| s.ended.store(true, std::sync::atomic::Ordering::Relaxed));
    drop(hosts);
    drop(fleet);
    if rate(first_ok, first_all) < 0.9 || late_all < 20 {
        exit(2);
    }
    exit(i32::from(is_broken));
}
