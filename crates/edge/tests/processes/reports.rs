//! What servers report about themselves in responses, and what odd entries or restarts leave behind.

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::{Backend, Fault},
    caller::request_once,
    fleet::{self, API_KEY},
    store,
};
use serde_json::json;
use test_case::test_case;

use crate::{Environment, eventually};

/// Time within which the hosts of a region tell each other what they have learned.
const SPREAD_LIMIT: Duration = Duration::from_millis(1500);

/// Fails if a server gets requests after it has announced its stop in a response, from the host that
/// received the response or from another one, or if the announcement does not reach the caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_announced_its_stop_gets_no_requests() {
    let environment = Environment::start(&["a1", "a2"]).await;
    // Which of the two equal servers gets the first request is not defined.
    for server in environment.servers_of("lookup") {
        server.set_fault(Fault::Leaving);
    }
    let callers = environment.hosts[0].caller_address;
    let answer = request_once(callers, "/read/x", "first", API_KEY).await.expect("an answer");
    assert_eq!(answer.headers["server-leaving"], "1");
    for server in environment.servers_of("lookup") {
        server.set_fault(Fault::None);
    }
    let leaving = environment.servers_of("lookup");
    let leaving =
        leaving.filter(|s| s.executed_requests().contains_key("first")).collect::<Vec<_>>();
    let [leaving] = leaving[..] else { panic!("the request ran at one server") };
    tokio::time::sleep(SPREAD_LIMIT).await;
    // The store still says that it is ready.
    leaving.announce(&environment.store, "ready");
    let before = leaving.executed_requests().len();
    for host in &environment.hosts {
        for n in 0..30 {
            let id = format!("{}-{n}", host.name);
            let answer = request_once(host.caller_address, "/read/x", &id, API_KEY)
                .await
                .expect("an answer");
            assert!(answer.is_complete(&id), "{answer:?}");
        }
    }
    assert_eq!(leaving.executed_requests().len(), before);
}

/// Fails if a server that asks for a pause gets more than the two requests that may already be on
/// their way, or if callers are not told when to come back while all servers pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_gets_no_requests_during_its_pause() {
    let environment = Environment::start(&["a1"]).await;
    let callers = environment.hosts[0].caller_address;
    for server in environment.servers_of("lookup") {
        server.set_fault(Fault::Pauses(Duration::from_secs(3)));
    }
    let mut last = None;
    for n in 0..20 {
        let answer = request_once(callers, "/read/x", &format!("r{n}"), API_KEY).await;
        last = answer;
    }
    for server in environment.servers_of("lookup") {
        assert!(server.rejected_requests() <= 2, "{} requests", server.rejected_requests());
    }
    let answer = last.expect("an answer");
    assert_eq!(answer.status, 503);
    let seconds = answer.headers["retry-after"].to_str().expect("text");
    let seconds: f64 = seconds.parse().expect("a number");
    assert!((1.0..=3.0).contains(&seconds), "{seconds}");
    for server in environment.servers_of("lookup") {
        server.set_fault(Fault::None);
    }
    let is_back = eventually(Duration::from_secs(6), async || {
        request_once(callers, "/read/x", "back", API_KEY).await.is_some_and(|a| a.status == 200)
    });
    assert!(is_back.await, "the servers are used again after the pause");
}

struct OddEntry {
    value: fn() -> Vec<u8>,
}

/// Fails if an odd entry that another writer left ends the hosts, keeps them from following the
/// changes beside it, or does so after a restart or at the host that copies the entries.
#[test_case(&OddEntry { value: || b"[".repeat(100_000) }; "very deeply nested")]
#[test_case(&OddEntry { value: || b"{\"born\":1e400}".to_vec() }; "a number too large")]
#[test_case(&OddEntry { value: || json!({
    "address": "10.0.0.1:70000",
    "info": { "service": "lookup", "version": "v1", "zone": "a1", "capacity": 3 },
    "status": { "state": "ready", "sequence": 1, "cold-remaining": "0ms" },
}).to_string().into_bytes() }; "a port out of range")]
#[test_case(&OddEntry { value: || json!({
    "address": "10.0.0.1:80", "born": 1,
    "info": { "service": "lookup", "version": "v1", "zone": "a1", "capacity": 4_294_967_295u64 },
    "status": { "state": "draining", "sequence": u64::MAX, "cold-remaining": "18446744073709551615s" },
}).to_string().into_bytes() }; "the largest numbers")]
fn odd_entries_do_not_affect_hosts(case: &OddEntry) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(&["a1", "a2", "b1"]).await;
        // Changes that are written together reach the hosts in one batch.
        environment.store.put_bytes("servers/odd-1", (case.value)());
        let added = Backend::start(&environment.store, "lookup-new", "lookup", "a1").await;
        environment.store.put_bytes("servers/odd-2", (case.value)());
        environment.servers.push(added);
        for server in &environment.servers[..2] {
            environment.store.remove(&format!("servers/{}", server.id));
        }
        assert_only_new_server_is_used(&environment).await;
        for host in &mut environment.hosts {
            host.restart();
        }
        for host in &environment.hosts {
            host.wait_until_ready().await;
        }
        assert_only_new_server_is_used(&environment).await;
        // A process that ended by itself would have logged its start again.
        for host in &environment.hosts {
            let starts = host.log_lines().iter().filter(|l| l["event"] == 301).count();
            assert_eq!(starts, 1, "{}", host.name);
        }
    });
}

async fn assert_only_new_server_is_used(environment: &Environment) {
    let new = environment.servers.last().expect("the new server");
    for host in &environment.hosts {
        let mut n = 0;
        let uses_it = eventually(Duration::from_secs(5), async || {
            n += 1;
            let id = format!("{}-{n}", host.name);
            let answer = request_once(host.caller_address, "/read/x", &id, API_KEY).await;
            answer.is_some_and(|a| a.is_complete(&id)) && new.executed_requests().contains_key(&id)
        });
        assert!(uses_it.await, "{}: {:?}", host.name, host.log_lines());
    }
}

/// Fails if a host that restarts while the store is down, and copies its state from another host,
/// uses a server that has left or accepts a key that has been withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_host_does_not_revive_what_was_removed() {
    let mut environment = Environment::start(&["a1", "a2", "b1"]).await;
    environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
    let removed = environment.servers[0].id.clone();
    environment.store.remove(&format!("servers/{removed}"));
    for host in &environment.hosts {
        let is_withdrawn = eventually(Duration::from_secs(4), async || {
            request_once(host.caller_address, "/read/x", "r", API_KEY)
                .await
                .is_some_and(|a| a.status == 401)
        });
        assert!(is_withdrawn.await, "{}", host.name);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = environment.servers[0].executed_requests().len();
    environment.hosts[1].restart();
    environment.hosts[1].wait_until_ready().await;
    environment.store.set_fault(store::Fault::Unavailable);
    let callers = environment.hosts[1].caller_address;
    for n in 0..20 {
        let id = format!("old-{n}");
        let answer = request_once(callers, "/read/x", &id, API_KEY).await.expect("an answer");
        assert_eq!(answer.status, 401);
        let id = format!("new-{n}");
        let answer = request_once(callers, "/read/x", &id, "other").await.expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
    }
    assert_eq!(environment.servers[0].executed_requests().len(), before);
}
