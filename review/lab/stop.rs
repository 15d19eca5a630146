//! Case 2: a host is stopped while a connection has several requests under way.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, request};
use crate::config;
use crate::host::{GRACE, Host, SIGTERM};
use crate::record::{End, Record};
use crate::server::Server;
use crate::store::Store;

const CLIENTS: usize = 6;
/// Safe requests that a client sends on its connection before it reads the answers.
const REQUESTS: usize = 3;
const WORK: Duration = Duration::from_millis(640);
const DEADLINE: Duration = Duration::from_secs(3);
/// SIGTERM comes so long after the requests were sent.
const BEFORE_STOP: Duration = Duration::from_millis(250);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config::text(1));
    let _servers: Vec<Arc<Server>> = (0..6)
        .map(|n| {
            let zone = if n % 2 == 0 { "a1" } else { "a2" };
            Server::start(record, &store, &format!("i-{n}"), "lookup", zone, WORK)
        })
        .collect();
    let mut host = Host::start("edge-a1", "a1", store.address);
    let _other = Host::start("edge-a2", "a2", store.address);
    if !host.wait_until_ready() || !_other.wait_until_ready() {
        return Verdict::CannotRun("a host did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let callers = host.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let Some(mut client) = Client::connect(callers, DEADLINE) else { return };
                let ids: Vec<String> = (0..REQUESTS).map(|m| format!("client-{n}-{m}")).collect();
                let mut bytes = Vec::new();
                for id in &ids {
                    record.sent(id, callers);
                    bytes.extend(request("GET", &format!("/read/{id}"), id, DEADLINE, b""));
                }
                client.write(&bytes);
                for id in &ids {
                    let end = client.read();
                    record.ended(id, end);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    if has_trouble {
        record.line("SIGTERM is sent to edge-a1");
        host.signal(SIGTERM);
    }
    for client in clients {
        let _ = client.join();
    }
    if has_trouble && !host.wait(GRACE) {
        record.line("edge-a1 still runs at the end of its grace");
    }
    let (runs, sent) = (record.all_runs(), record.all_sent());
    let ran = |id: &str| runs.iter().any(|r| r.id == id);
    let lost = sent.iter().filter(|s| s.end == Some(End::Closed) && ran(&s.id)).count();
    let answered = sent.iter().filter(|s| s.end == Some(End::Status(200))).count();
    if answered == 0 {
        return Verdict::CannotRun("no request was answered".to_owned());
    }
    let text = format!(
        "of {} requests, {answered} were answered with success; {lost} ran at a server and their \
         connection ended without an answer",
        sent.len()
    );
    if lost > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
