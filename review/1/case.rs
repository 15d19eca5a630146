//! Case 1: the store is down and entries of servers lapse; later some servers drain.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::config;
use crate::host::Host;
use crate::record::{End, Record};
use crate::server::Server;
use crate::store::Store;

/// Length of the disruption, as `platform_down` with `lapse` has it in the site files.
const OUTAGE: Duration = Duration::from_millis(4500);
/// Bound `drain` of the site.
const DRAIN: Duration = Duration::from_millis(2500);
/// Time for which the draining servers go on serving.
const STAY: Duration = Duration::from_secs(9);
/// Work of a booking, and the client's deadline.
const WORK: Duration = Duration::from_millis(840);
const DEADLINE: Duration = Duration::from_secs(4);
const CLIENTS_PER_HOST: usize = 5;
/// Zones of the hosts and of the servers, half of them in each region.
const HOSTS: [&str; 6] = ["a1", "b1", "a2", "b2", "a1", "b1"];
const SERVERS: [&str; 8] = ["a1", "b1", "a2", "b2", "a1", "b1", "a2", "b2"];
const LEAVING: usize = 6;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config::text(1));
    let servers: Vec<Arc<Server>> = (0..)
        .zip(SERVERS)
        .map(|(n, zone)| {
            let server = Server::start(record, &store, &format!("i-{n}"), "booking", zone, WORK);
            // The heartbeats of servers are not in step.
            thread::sleep(Duration::from_millis(190));
            server
        })
        .collect();
    let hosts: Vec<Host> = (0..)
        .zip(HOSTS)
        .map(|(n, zone)| Host::start(&format!("edge-{zone}-{n}"), zone, store.address))
        .collect();
    if !hosts.iter().all(Host::wait_until_ready) {
        return Verdict::CannotRun("a host did not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .flat_map(|host| (0..CLIENTS_PER_HOST).map(|n| (host.name.clone(), host.callers, n)))
        .map(|(name, to, n)| {
            let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("{name}-{n}-{count}");
                    client::send(&record, to, "/book/crew", &id, DEADLINE);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.line("the store goes down");
        store.set_down(true);
    }
    thread::sleep(OUTAGE);
    if has_trouble {
        store.set_down(false);
        record.line(&format!(
            "the store is back; it has {} entries of servers",
            store.server_count()
        ));
    }
    // Entries are back within two seconds, and hosts are in touch 3 s after the end of the outage.
    thread::sleep(Duration::from_secs(8));
    record.line(&format!("the store has {} entries of servers", store.server_count()));
    let leaving = &servers[..LEAVING];
    let drained: Vec<_> = leaving.iter().map(|s| (s.id.clone(), s.drain())).collect();
    thread::sleep(STAY);
    leaving.iter().for_each(|s| s.exit());
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (runs, sent) = (record.all_runs(), record.all_sent());
    let (mut late, mut lost) = (0, 0);
    for run in &runs {
        let Some((_, at)) = drained.iter().find(|(id, _)| *id == run.server) else { continue };
        let Some(request) = sent.iter().find(|s| s.id == run.id) else { continue };
        if run.at > *at + DRAIN && request.at > *at + DRAIN {
            late += 1;
            lost += u32::from(request.end != Some(End::Status(200)));
        }
    }
    let ran_there = runs.iter().filter(|r| drained.iter().any(|(id, _)| *id == r.server)).count();
    if ran_there == 0 {
        return Verdict::CannotRun("no request reached the servers that drain".to_owned());
    }
    let text = format!(
        "{late} requests were sent and reached draining servers later than 2.5 s after the store \
         had acknowledged it; {lost} of them were lost when the servers exited"
    );
    if late > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
