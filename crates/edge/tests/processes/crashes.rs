//! Requests in flight when servers crash.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use jasminestage_platform_standin::{
    backend::{Backend, Fault},
    caller::Caller,
    fleet::{self, API_KEY},
    store::Store,
};
use serde_json::Value;
use test_case::test_case;

use crate::Environment;

/// Time that the servers take for a request.
const WORK: Duration = Duration::from_millis(100);
/// Time for which a crashed server is away.
const AWAY: Duration = Duration::from_millis(3000);

/// Six hosts in two regions and five servers of the service `lookup` and `booking` each.
async fn environment() -> Environment {
    let mut environment = Environment::start(&["a1", "a2", "b1", "a1", "a2", "b1"]).await;
    for service in ["lookup", "booking"] {
        for (n, zone) in [(3, "a2"), (4, "b1"), (5, "b1")] {
            let id = format!("{service}-{n}");
            environment.servers.push(Backend::start(&environment.store, &id, service, zone).await);
        }
    }
    let mut config = fleet::sample_config(2, &[API_KEY]);
    for resource in config["resources"].as_array_mut().expect("a list") {
        if resource["resource-kind"] == "routes" {
            resource["spec"]["session-affinity"] = true.into();
        }
    }
    environment.store.put("op/config", &config);
    // All hosts know all servers, and each other.
    tokio::time::sleep(Duration::from_secs(2)).await;
    environment
}

/// Starts crashed servers again after [`AWAY`], until it is aborted.
async fn restart_crashed(servers: Arc<Vec<Backend>>, store: Store) {
    let mut ended_at: Vec<Option<Instant>> = vec![None; servers.len()];
    loop {
        for (server, ended_at) in servers.iter().zip(&mut ended_at) {
            if !server.has_ended() {
                continue;
            }
            if ended_at.get_or_insert_with(Instant::now).elapsed() >= AWAY {
                *ended_at = None;
                server.start_again(&store).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn addresses(environment: &Environment) -> Vec<SocketAddr> {
    environment.hosts.iter().map(|h| h.caller_address).collect()
}

/// Most crashes of servers that run the harmless request.
const CRASHES: u64 = 5;

struct HarmlessCase {
    /// Servers that crash at the same time.
    at_once: usize,
}

/// Fails if a harmless request is refused after crashes of servers that ran it: two crashes were enough,
/// although it was answered all the time, and the refusal never ended.
#[test_case(&HarmlessCase { at_once: 1 }; "one server at a time")]
#[test_case(&HarmlessCase { at_once: 2 }; "two servers at once")]
fn a_popular_request_is_served_after_crashes(case: &HarmlessCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = environment().await;
        let servers = Arc::new(std::mem::take(&mut environment.servers));
        let lookup = || servers.iter().filter(|s| s.id.starts_with("lookup"));
        lookup().for_each(|s| s.set_fault(Fault::Slow(WORK)));
        let restarts =
            tokio::spawn(restart_crashed(Arc::clone(&servers), environment.store.clone()));
        let addresses = addresses(&environment);
        let (started, mut requests, mut crashes) = (Instant::now(), Vec::new(), 0);
        // Crashes 1.5 s apart, and some seconds after the last one.
        for n in 0..500_u64 {
            let address = addresses[n as usize % addresses.len()];
            let sent_at = started.elapsed();
            requests.push(tokio::spawn(async move {
                let id = format!("r{n}");
                let Some(mut caller) = Caller::connect(address).await else {
                    return (sent_at, false);
                };
                caller.object = Some("17".to_owned());
                let response = caller.send(Method::GET, "/read/wall", &id, API_KEY, "").await;
                (sent_at, response.is_some_and(|r| r.is_complete(&id)))
            }));
            let is_crash_due = sent_at > Duration::from_millis(1000 + 1500 * crashes);
            if crashes < CRASHES && is_crash_due {
                // Most of the requests run where the object is.
                let mut busiest: Vec<&Backend> =
                    lookup().filter(|s| s.running_requests() > 0).collect();
                busiest.sort_by_key(|s| Reverse(s.running_requests()));
                if busiest.len() >= case.at_once {
                    busiest.iter().take(case.at_once).for_each(|s| s.kill());
                    crashes += 1;
                }
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        restarts.abort();
        assert!(crashes >= 2, "{crashes} moments at which servers ran the request");
        let (mut served, mut sent) = (0, 0);
        for request in requests {
            let (sent_at, is_served) = request.await.expect("the caller ends");
            if sent_at > Duration::from_millis(1500 * CRASHES) + AWAY + Duration::from_secs(1) {
                sent += 1;
                served += u32::from(is_served);
            }
        }
        assert!(sent >= 50 && served * 10 >= sent * 9, "{served} of {sent} served");
        let all_lines = environment.hosts.iter().flat_map(|h| h.log_lines());
        let refused: Vec<Value> = all_lines.filter(|l| l["code"] == 309).collect();
        assert!(refused.len() < 10, "{refused:?}");
    });
}

struct CrashingCase {
    path: &'static str,
    method: Method,
}

/// Fails if a request that crashes each server that runs it is not recognized because each repetition
/// meets another host, and no other request shows that the server is gone.
#[test_case(&CrashingCase { path: "/book/jam", method: Method::POST }; "at most once")]
#[test_case(&CrashingCase { path: "/read/jam", method: Method::GET }; "repeatable")]
fn a_request_that_crashes_servers_is_refused_by_all_hosts(case: &CrashingCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = environment().await;
        let servers = Arc::new(std::mem::take(&mut environment.servers));
        servers.iter().for_each(|s| s.set_fault(Fault::CrashesOn("jam", WORK)));
        let restarts =
            tokio::spawn(restart_crashed(Arc::clone(&servers), environment.store.clone()));
        let runs = |id: &str| -> usize {
            servers.iter().map(|s| s.executed_requests().get(id).map_or(0, Vec::len)).sum()
        };
        let addresses = addresses(&environment);
        let mut runs_by_repetition = Vec::new();
        for n in 0..8 {
            let id = format!("jam-{n}");
            if let Some(mut caller) = Caller::connect(addresses[n % addresses.len()]).await {
                caller.object = Some("17".to_owned());
                caller.send(case.method.clone(), case.path, &id, API_KEY, "").await;
            }
            runs_by_repetition.push(runs(&id));
            tokio::time::sleep(Duration::from_millis(1800)).await;
        }
        restarts.abort();
        // Two crashes prove it, and one repetition may be under way before all hosts know.
        let late: usize = runs_by_repetition[4..].iter().sum();
        assert_eq!(late, 0, "{runs_by_repetition:?}");
    });
}
