//! Changes in the store, and a store that misbehaves.

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::Backend,
    caller::{fetch_page, request_once},
    fleet::{self, API_KEY, Host},
    proxy::{ConnectionFault, Proxy},
    store::{Fault, Store},
};
use serde_json::json;
use test_case::test_case;

use crate::{BINARY, Site, eventually, line_about};

/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working() {
    let site = Site::start(&["a1", "b1"]).await;
    site.store.put("op/config", &fleet::sample_config(2, &["other"]));
    for host in &site.hosts {
        let callers = host.caller_address;
        let stopped = eventually(IN_FORCE, async || {
            request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
        });
        assert!(stopped.await, "{} still takes the key", host.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_that_cannot_be_read_changes_nothing() {
    let site = Site::start(&["a1"]).await;
    site.store.put_bytes("op/config", b"{\"version\":\"0000".to_vec());
    site.store.put_bytes("servers/odd", vec![0xff, 0x00]);
    site.store.put("servers/odder", &json!({ "address": 7 }));
    let host = &site.hosts[0];
    let told = eventually(Duration::from_secs(5), async || {
        host.log_lines().iter().filter(|line| line["event"] == 320).count() >= 3
    });
    assert!(told.await, "{:?}", host.log_lines());
    let answer =
        request_once(host.caller_address, "/read/x", "r1", API_KEY).await.expect("an answer");
    assert!(answer.is_complete("r1"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_and_an_evacuated_domain_get_nothing() {
    let mut site = Site::start(&["a1"]).await;
    let other = Backend::start(&site.store, "lookup-3", "lookup", "a2").await;
    site.servers.push(other);
    let callers = site.hosts[0].caller_address;
    site.servers[0].announce(&site.store, "draining");
    site.store.put("op/evacuate/a2", &json!({}));
    tokio::time::sleep(IN_FORCE).await;
    for n in 0..20 {
        let id = format!("r{n}");
        let answer = request_once(callers, "/read/x", &id, API_KEY).await.expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
        assert!(site.servers[1].executed_requests().contains_key(&id));
    }
    site.store.remove("op/evacuate/a2");
    let host = &site.hosts[0];
    let opened = eventually(IN_FORCE, async || host.log_lines().iter().any(|l| l["event"] == 335));
    assert!(opened.await);
}

#[test_case(Fault::Unavailable; "busy")]
#[test_case(Fault::RateLimited; "limited")]
#[test_case(Fault::ClosesConnections; "reset")]
#[test_case(Fault::NeverResponds; "silent")]
#[test_case(Fault::DropsResponses; "answers lost")]
#[test_case(Fault::Slow(Duration::from_millis(300)); "slow")]
fn callers_are_served_while_the_store_misbehaves(fault: Fault) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let site = Site::start(&["a1", "a2"]).await;
        site.store.set_fault(fault);
        let before = site.store.call_count();
        tokio::time::sleep(Duration::from_secs(3)).await;
        for host in &site.hosts {
            for path in ["/read/x", "/book/x"] {
                let id = format!("{}{path}", host.name);
                let answer =
                    request_once(host.caller_address, path, &id, API_KEY).await.expect("an answer");
                assert!(answer.is_complete(&id), "{answer:?}");
            }
        }
        let calls = site.store.call_count() - before;
        assert!(calls < 120, "{calls} calls of two hosts in three seconds");
        site.store.set_fault(Fault::None);
        site.store.put("op/config", &fleet::sample_config(2, &["other"]));
        for host in &site.hosts {
            let stopped = eventually(Duration::from_secs(6), async || {
                request_once(host.caller_address, "/read/x", "r", API_KEY)
                    .await
                    .is_some_and(|a| a.status == 401)
            });
            assert!(stopped.await, "{} does not follow the store again", host.name);
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_the_store_follows_the_others() {
    let mut site = Site::start(&["a1"]).await;
    let path = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start(BINARY, "cut", "a2", path.address));
    let cut = &site.hosts[1];
    cut.wait_until_ready().await;
    path.set_fault(ConnectionFault::DropAll);
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.store.put("op/config", &fleet::sample_config(2, &["other"]));
    let callers = cut.caller_address;
    let stopped = eventually(Duration::from_secs(4), async || {
        request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
    });
    assert!(stopped.await, "{:?}", cut.log_lines());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_history_is_read_again() {
    let site = Site::start(&["a1"]).await;
    site.store.set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.put("op/config", &fleet::sample_config(2, &["other"]));
    site.store.compact();
    site.store.set_fault(Fault::None);
    let callers = site.hosts[0].caller_address;
    let stopped = eventually(Duration::from_secs(5), async || {
        request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
    });
    assert!(stopped.await);
}

/// Only the two readers of the region read the store; the others take copies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_that_starts_for_the_first_time_reads_the_store_once_a_region() {
    let store = Store::start().await;
    fleet::write_config(&store, 1);
    let _server = Backend::start(&store, "lookup-1", "lookup", "a1").await;
    let start = |n: usize| {
        let zone = if n.is_multiple_of(2) { "a1" } else { "a2" };
        Host::start_with(BINARY, &format!("host-{n}"), zone, store.address, true)
    };
    let hosts: Vec<Host> = (0..6).map(start).collect();
    for host in &hosts {
        host.wait_until_ready().await;
    }
    let took_copy = |host: &&Host| host.log_lines().iter().any(|line| line["event"] == 353);
    let copies = hosts.iter().filter(took_copy).count();
    assert!(copies >= 4, "{copies} of 6 hosts took a copy");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_knows_no_configuration_says_so() {
    let store = Store::start().await;
    let host = Host::start(BINARY, "bare", "a1", store.address);
    let up = eventually(Duration::from_secs(10), async || {
        fetch_page(host.readiness_address, "/readiness")
            .await
            .is_some_and(|(status, _)| status == 503)
    });
    assert!(up.await);
    let answer =
        request_once(host.caller_address, "/read/x", "r1", API_KEY).await.expect("an answer");
    assert_eq!(answer.status, 503);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_hosts_come_back_from_the_store() {
    let mut site = Site::start(&["a1", "a2", "b1"]).await;
    fleet::write_config(&site.store, 9);
    for host in &mut site.hosts {
        host.restart();
    }
    for host in &site.hosts {
        host.wait_until_ready().await;
        let id = host.name.clone();
        let answer =
            request_once(host.caller_address, "/book/x", &id, API_KEY).await.expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
        assert_eq!(line_about(host, &id).await["configuration"], 9);
    }
}

struct Rollout {
    fault: jasminestage_platform_standin::backend::Fault,
    state: &'static str,
}

#[test_case(&Rollout { fault: jasminestage_platform_standin::backend::Fault::None, state: "succeeded" }; "good")]
#[test_case(&Rollout { fault: jasminestage_platform_standin::backend::Fault::InternalError, state: "rolled_back" }; "bad")]
fn a_rollout_ends_by_its_deadline(case: &Rollout) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut site = Site::start(&["a1", "a2"]).await;
        for n in 1..=2 {
            let id = format!("lookup-new-{n}");
            let server = Backend::start_version(&site.store, &id, "lookup", "a1", "v2").await;
            server.set_fault(case.fault);
            site.servers.push(server);
        }
        let order = json!({ "service": "lookup", "target-version": "v2", "duration": "8s" });
        site.store.put("op/rollout/lookup", &order);
        let (mut sent, mut bad) = (0u32, 0u32);
        let mut state = String::new();
        let end = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < end && state != case.state {
            for host in &site.hosts {
                sent += 1;
                let answer =
                    request_once(host.caller_address, "/read/x", &format!("r{sent}"), API_KEY)
                        .await;
                bad += u32::from(answer.is_none_or(|a| a.status != 200));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
            let status = site.store.get("status/rollout/lookup").unwrap_or_default();
            state = status["state"].as_str().unwrap_or_default().to_owned();
        }
        assert_eq!(state, case.state, "{:?}", site.store.get("status/rollout/lookup"));
        let exposed: usize = site
            .servers
            .iter()
            .filter(|s| s.id.contains("new"))
            .map(|s| s.executed_requests().len())
            .sum();
        let bound = f64::from(sent) * 0.1 + 50.0;
        assert!(case.state == "succeeded" || exposed as f64 <= bound, "{exposed} of {sent}");
        assert!(f64::from(bad) <= bound, "{bad} of {sent} failed");
    });
}
