//! Changes of items in the store, and faults of the store.

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::Backend,
    caller::{fetch_page, request_once},
    fleet::{self, API_KEY, Host, HostSetup},
    proxy::{ConnectionFault, Proxy},
    store::{Fault, Store},
};
use rustix::process::Signal;
use serde_json::json;
use test_case::test_case;

use crate::{BINARY, Environment, eventually, response_log_line};

/// Time within which a change must be in force on all hosts.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2500);

/// Fails if a host still accepts a key after it was removed from the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working() {
    let environment = Environment::start(&["a1", "b1"]).await;
    environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
    for host in &environment.hosts {
        let callers = host.caller_address;
        let stopped = eventually(PROPAGATION_LIMIT, async || {
            request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
        });
        assert!(stopped.await, "{} still accepts the key", host.name);
    }
}

/// Fails if an item that cannot be decoded, such as a truncated configuration, replaces the valid
/// state or is not logged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_items_are_logged_and_ignored() {
    let environment = Environment::start(&["a1"]).await;
    environment.store.put_bytes("op/config", b"{\"version\":\"0000".to_vec());
    environment.store.put_bytes("servers/odd", vec![0xff, 0x00]);
    environment.store.put("servers/odder", &json!({ "address": 7 }));
    let host = &environment.hosts[0];
    let is_logged = eventually(Duration::from_secs(5), async || {
        host.log_lines().iter().filter(|line| line["event"] == 320).count() >= 3
    });
    assert!(is_logged.await, "{:?}", host.log_lines());
    let answer =
        request_once(host.caller_address, "/read/x", "r1", API_KEY).await.expect("an answer");
    assert!(answer.is_complete("r1"), "{answer:?}");
}

/// Fails if draining servers or servers in an evacuated failure domain get requests, or if the end
/// of the evacuation is not noticed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_servers_and_evacuated_domains_get_no_requests() {
    let mut environment = Environment::start(&["a1"]).await;
    let remote_server = Backend::start(&environment.store, "lookup-3", "lookup", "a2").await;
    environment.servers.push(remote_server);
    let callers = environment.hosts[0].caller_address;
    environment.servers[0].announce(&environment.store, "draining");
    environment.store.put("op/evacuate/a2", &json!({}));
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for n in 0..20 {
        let id = format!("r{n}");
        let answer = request_once(callers, "/read/x", &id, API_KEY).await.expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
        assert!(environment.servers[1].executed_requests().contains_key(&id));
    }
    environment.store.remove("op/evacuate/a2");
    let host = &environment.hosts[0];
    let is_reopened =
        eventually(PROPAGATION_LIMIT, async || host.log_lines().iter().any(|l| l["event"] == 335));
    assert!(is_reopened.await);
}

/// Fails if a fault of the store affects callers, if hosts retry calls without backoff, or if they
/// miss a change that was written during the fault.
#[test_case(Fault::Unavailable; "unavailable")]
#[test_case(Fault::RateLimited; "rate limited")]
#[test_case(Fault::ClosesConnections; "connections closed")]
#[test_case(Fault::NeverResponds; "no responses")]
#[test_case(Fault::DropsResponses; "responses lost")]
#[test_case(Fault::Slow(Duration::from_millis(300)); "slow")]
fn callers_are_served_while_the_store_is_faulty(fault: Fault) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(&["a1", "a2"]).await;
        environment.store.set_fault(fault);
        let before = environment.store.call_count();
        tokio::time::sleep(Duration::from_secs(3)).await;
        for host in &environment.hosts {
            for path in ["/read/x", "/book/x"] {
                let id = format!("{}{path}", host.name);
                let answer =
                    request_once(host.caller_address, path, &id, API_KEY).await.expect("an answer");
                assert!(answer.is_complete(&id), "{answer:?}");
            }
        }
        let calls = environment.store.call_count() - before;
        assert!(calls < 120, "two hosts made {calls} calls in three seconds");
        environment.store.set_fault(Fault::None);
        environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
        for host in &environment.hosts {
            let stopped = eventually(Duration::from_secs(6), async || {
                request_once(host.caller_address, "/read/x", "r", API_KEY)
                    .await
                    .is_some_and(|a| a.status == 401)
            });
            assert!(stopped.await, "{} misses the change after the fault", host.name);
        }
    });
}

struct OutageCase {
    fault: Fault,
    outage: Duration,
    /// Failure domains of the hosts: the readers of a region, and hosts that copy from them.
    zones: &'static [&'static str],
}

/// Time from the end of an outage to the change.
const CHANGE_DELAY: Duration = Duration::from_millis(500);
/// Time after the end of an outage from which changes must be in force in time again.
const CONTACT: Duration = Duration::from_secs(3);

/// Fails if a change that is confirmed soon after an outage of the store waits for calls that were sent
/// in the outage and never get a response.
#[test_case(&OutageCase { fault: Fault::NeverResponds, outage: Duration::from_millis(300), zones: &["a1"] }; "a moment without responses")]
#[test_case(&OutageCase { fault: Fault::NeverResponds, outage: Duration::from_millis(1500), zones: &["a1", "a1", "a2", "a2"] }; "a second and a half without responses")]
#[test_case(&OutageCase { fault: Fault::NeverResponds, outage: Duration::from_millis(3800), zones: &["a1", "a2", "b1"] }; "some seconds without responses")]
#[test_case(&OutageCase { fault: Fault::NeverResponds, outage: Duration::from_millis(4400), zones: &["a1", "a1", "a2", "a2", "b1"] }; "a few more seconds without responses")]
#[test_case(&OutageCase { fault: Fault::NeverResponds, outage: Duration::from_millis(7300), zones: &["a1", "a2"] }; "a long time without responses")]
#[test_case(&OutageCase { fault: Fault::Unavailable, outage: Duration::from_millis(8000), zones: &["a1", "a2"] }; "a long time unavailable")]
#[test_case(&OutageCase { fault: Fault::ClosesConnections, outage: Duration::from_millis(8000), zones: &["a1", "a1", "a2"] }; "a long time with closed connections")]
fn a_change_soon_after_an_outage_is_in_force_in_time(case: &OutageCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let environment = Environment::start(case.zones).await;
        // The hosts know each other and which of them read the store.
        tokio::time::sleep(Duration::from_secs(3)).await;
        environment.store.set_fault(case.fault);
        tokio::time::sleep(case.outage).await;
        environment.store.set_fault(Fault::None);
        tokio::time::sleep(CHANGE_DELAY).await;
        environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
        let limit = PROPAGATION_LIMIT.max(CONTACT - CHANGE_DELAY);
        tokio::time::sleep(limit).await;
        for host in &environment.hosts {
            let answer = request_once(host.caller_address, "/read/x", "r", API_KEY).await;
            let status = answer.expect("an answer").status;
            assert_eq!(status, 401, "{} is late: {:?}", host.name, host.log_lines());
        }
    });
}

/// Fails if a change is late because both hosts that read the store for a region freeze at that moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_in_time_while_the_readers_are_frozen() {
    let mut environment = Environment::start(&[]).await;
    let address = environment.store.address;
    let hosts = [("small-1", "a1", 0.5), ("small-2", "a2", 0.5), ("host-1", "a1", 1.0)];
    for (name, zone, cores) in hosts.into_iter().chain([("host-2", "a2", 1.0)]) {
        let setup = HostSetup { cores, ..HostSetup::default() };
        environment.hosts.push(Host::start_with(BINARY, name, zone, address, &setup));
    }
    for host in &environment.hosts {
        host.wait_until_ready().await;
    }
    // The hosts know each other and which of them read the store.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (small_hosts, readers) = environment.hosts.split_at(2);
    for reader in readers {
        reader.send_signal(Signal::STOP);
    }
    environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let mut late = Vec::new();
    for host in small_hosts {
        let answer = request_once(host.caller_address, "/read/x", "r", API_KEY).await;
        late.extend(answer.filter(|a| a.status != 401).map(|_| host.log_lines()));
    }
    for reader in readers {
        reader.send_signal(Signal::CONT);
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Fails if a host that alone loses its connection to the store does not copy changes from the
/// other hosts of its region.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_the_store_copies_changes_from_others() {
    let mut environment = Environment::start(&["a1"]).await;
    let proxy = Proxy::start(environment.store.address).await;
    environment.hosts.push(Host::start(BINARY, "cut", "a2", proxy.address));
    let isolated = &environment.hosts[1];
    isolated.wait_until_ready().await;
    proxy.set_fault(ConnectionFault::DropAll);
    tokio::time::sleep(Duration::from_secs(2)).await;
    environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
    let callers = isolated.caller_address;
    let stopped = eventually(Duration::from_secs(4), async || {
        request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
    });
    assert!(stopped.await, "{:?}", isolated.log_lines());
}

/// Fails if a host that was disconnected while the store compacted its history misses the changes
/// in between instead of reading all items again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_items_are_read_again_after_a_compaction() {
    let environment = Environment::start(&["a1"]).await;
    environment.store.set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(300)).await;
    environment.store.put("op/config", &fleet::sample_config(2, &["other"]));
    environment.store.compact();
    environment.store.set_fault(Fault::None);
    let callers = environment.hosts[0].caller_address;
    let stopped = eventually(Duration::from_secs(5), async || {
        request_once(callers, "/read/x", "r", API_KEY).await.is_some_and(|a| a.status == 401)
    });
    assert!(stopped.await);
}

/// Fails if more than two hosts of a region read the store at the first start of a fleet instead of
/// copying the items from the two readers, which would overload the store in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_the_first_start_only_two_hosts_of_a_region_read_the_store() {
    let store = Store::start().await;
    fleet::write_config(&store, 1);
    let _server = Backend::start(&store, "lookup-1", "lookup", "a1").await;
    let start = |n: usize| {
        let zone = if n.is_multiple_of(2) { "a1" } else { "a2" };
        let setup = HostSetup { first_start: true, ..HostSetup::default() };
        Host::start_with(BINARY, &format!("host-{n}"), zone, store.address, &setup)
    };
    let hosts: Vec<Host> = (0..6).map(start).collect();
    for host in &hosts {
        host.wait_until_ready().await;
    }
    let received_copy = |host: &&Host| host.log_lines().iter().any(|line| line["event"] == 353);
    let copies = hosts.iter().filter(received_copy).count();
    assert!(copies >= 4, "{copies} of 6 hosts received a copy");
}

/// Fails if a host without a configuration reports that it is ready or leaves requests unanswered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_a_configuration_is_not_ready() {
    let store = Store::start().await;
    let host = Host::start(BINARY, "bare", "a1", store.address);
    let is_up = eventually(Duration::from_secs(10), async || {
        fetch_page(host.readiness_address, "/readiness")
            .await
            .is_some_and(|(status, _)| status == 503)
    });
    assert!(is_up.await);
    let answer =
        request_once(host.caller_address, "/read/x", "r1", API_KEY).await.expect("an answer");
    assert_eq!(answer.status, 503);
}

/// Fails if hosts that all restart at once, so that none can send a copy, do not load the newest
/// configuration from the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_load_the_configuration_when_all_restart() {
    let mut environment = Environment::start(&["a1", "a2", "b1"]).await;
    fleet::write_config(&environment.store, 9);
    for host in &mut environment.hosts {
        host.restart();
    }
    for host in &environment.hosts {
        host.wait_until_ready().await;
        let id = host.name.clone();
        let answer =
            request_once(host.caller_address, "/book/x", &id, API_KEY).await.expect("an answer");
        assert!(answer.is_complete(&id), "{answer:?}");
        assert_eq!(response_log_line(host, &id).await["configuration"], 9);
    }
}

struct RolloutCase {
    /// Fault of the servers of the new version.
    fault: jasminestage_platform_standin::backend::Fault,
    /// Expected final state.
    state: &'static str,
}

/// Fails if a rollout does not end in the right state by its deadline, if a faulty version gets
/// more requests than its canary share (0.1) plus 50 before it is rolled back, or if more requests
/// than that fail.
#[test_case(&RolloutCase { fault: jasminestage_platform_standin::backend::Fault::None, state: "succeeded" }; "good")]
#[test_case(&RolloutCase { fault: jasminestage_platform_standin::backend::Fault::InternalError, state: "rolled_back" }; "bad")]
fn a_rollout_ends_by_its_deadline(case: &RolloutCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(&["a1", "a2"]).await;
        for n in 1..=2 {
            let id = format!("lookup-new-{n}");
            let server =
                Backend::start_version(&environment.store, &id, "lookup", "a1", "v2").await;
            server.set_fault(case.fault);
            environment.servers.push(server);
        }
        let order = json!({ "service": "lookup", "target-version": "v2", "duration": "8s" });
        environment.store.put("op/rollout/lookup", &order);
        let (mut sent, mut failed) = (0u32, 0u32);
        let mut state = String::new();
        let end = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < end && state != case.state {
            for host in &environment.hosts {
                sent += 1;
                let answer =
                    request_once(host.caller_address, "/read/x", &format!("r{sent}"), API_KEY)
                        .await;
                failed += u32::from(answer.is_none_or(|a| a.status != 200));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
            let status = environment.store.get("status/rollout/lookup").unwrap_or_default();
            state = status["state"].as_str().unwrap_or_default().to_owned();
        }
        assert_eq!(state, case.state, "{:?}", environment.store.get("status/rollout/lookup"));
        let canary_requests: usize = environment
            .servers
            .iter()
            .filter(|s| s.id.contains("new"))
            .map(|s| s.executed_requests().len())
            .sum();
        let bound = f64::from(sent) * 0.1 + 50.0;
        assert!(
            case.state == "succeeded" || canary_requests as f64 <= bound,
            "the new version received {canary_requests} of {sent} requests"
        );
        assert!(f64::from(failed) <= bound, "{failed} of {sent} requests failed");
    });
}

struct LapseCase {
    fault: Fault,
    /// Failure domains of the hosts: the readers of a region and hosts that copy from them.
    zones: &'static [&'static str],
    /// Whether the last host starts during the outage.
    starts_late: bool,
}

/// Time after the end of an outage at which the entries of running servers are back.
const RETURN_DELAY: Duration = Duration::from_millis(1500);

/// Fails if servers whose entries lapse in an outage of the store and return soon after it get no
/// requests in between, from a host that reads the store, one that copies from others or one that has
/// just started.
#[test_case(&LapseCase { fault: Fault::ClosesConnections, zones: &["a1"], starts_late: false }; "connections closed, a single host")]
#[test_case(&LapseCase { fault: Fault::Unavailable, zones: &["a1", "a1", "a2", "a2"], starts_late: false }; "unavailable, hosts that copy")]
#[test_case(&LapseCase { fault: Fault::NeverResponds, zones: &["a1", "a1", "a2", "a2"], starts_late: false }; "no responses, hosts that copy")]
#[test_case(&LapseCase { fault: Fault::ClosesConnections, zones: &["a1", "a2", "a2"], starts_late: true }; "connections closed, a host that starts")]
fn servers_stay_in_use_when_their_entries_lapse_in_an_outage(case: &LapseCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(case.zones).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        environment.store.set_fault(case.fault);
        tokio::time::sleep(Duration::from_secs(1)).await;
        if case.starts_late {
            let last = environment.hosts.last_mut().expect("a host");
            last.restart();
            last.wait_until_ready().await;
        }
        tokio::time::sleep(Duration::from_millis(3500)).await;
        for server in &environment.servers {
            environment.store.remove(&format!("servers/{}", server.id));
        }
        environment.store.set_fault(Fault::None);
        let back_at = tokio::time::Instant::now();
        let (mut n, mut are_back) = (0, false);
        while back_at.elapsed() < RETURN_DELAY * 3 {
            if !are_back && back_at.elapsed() >= RETURN_DELAY {
                for server in &environment.servers {
                    server.announce(&environment.store, "ready");
                }
                are_back = true;
            }
            for host in &environment.hosts {
                n += 1;
                let id = format!("r{n}");
                let answer = request_once(host.caller_address, "/read/x", &id, API_KEY)
                    .await
                    .expect("an answer");
                let since = back_at.elapsed();
                assert!(answer.is_complete(&id), "{} after {since:?}: {answer:?}", host.name);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

struct MissedCase {
    /// State of the store before the readers restart, and the change that all of them miss.
    before: fn(&Environment),
    change: fn(&Environment),
    /// Time after which the small host must have learned of the change.
    wait: Duration,
    /// Which of the three lookup servers it must use then.
    used: [bool; 3],
}

/// Fails if a host that lives on while all hosts that read the store restart misses what servers or
/// operators changed meanwhile: it would go on sending requests to a draining server, or none to the
/// servers of a failure domain whose evacuation has ended.
#[test_case(&MissedCase { before: |_| (), change: |e| e.servers[0].announce(&e.store, "draining"), wait: PROPAGATION_LIMIT, used: [false, true, true] }; "a server drains")]
#[test_case(&MissedCase {
    before: |e| { e.store.put("op/evacuate/a2", &json!({})); },
    change: |e| e.store.remove("op/evacuate/a2"),
    // The servers of a reopened failure domain are cold for 3 s.
    wait: PROPAGATION_LIMIT.saturating_add(Duration::from_secs(3)),
    used: [true; 3],
}; "an evacuation ends")]
fn a_host_learns_of_changes_that_all_readers_missed(case: &MissedCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(&[]).await;
        let address = environment.store.address;
        let remote_server = Backend::start(&environment.store, "lookup-3", "lookup", "a2").await;
        (case.before)(&environment);
        // The smaller host reads the store only if no larger one of its region runs.
        let hosts = [("small", "a1", 0.5), ("host-1", "a1", 1.0), ("host-2", "a2", 1.0)];
        for (name, zone, cores) in hosts {
            let setup = HostSetup { cores, ..HostSetup::default() };
            environment.hosts.push(Host::start_with(BINARY, name, zone, address, &setup));
        }
        for host in &environment.hosts {
            host.wait_until_ready().await;
        }
        // The hosts know each other and which of them read the store.
        tokio::time::sleep(Duration::from_secs(4)).await;
        for reader in &mut environment.hosts[1..] {
            reader.kill();
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        (case.change)(&environment);
        for reader in &mut environment.hosts[1..] {
            reader.restart();
        }
        tokio::time::sleep(case.wait).await;
        let lookup_servers = || environment.servers_of("lookup").chain([&remote_server]);
        let count = |s: &Backend| s.executed_requests().len();
        let before: Vec<usize> = lookup_servers().map(count).collect();
        let small = &environment.hosts[0];
        let requests = (0..60).map(|n| async move {
            let id = format!("r{n}");
            request_once(small.caller_address, "/read/x", &id, API_KEY).await.expect("an answer")
        });
        for answer in futures_util::future::join_all(requests).await {
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let used: Vec<bool> = lookup_servers().zip(before).map(|(s, b)| count(s) > b).collect();
        assert_eq!(used, case.used, "{:?}", small.log_lines());
    });
}

struct DepartureCase {
    fault: Fault,
    /// How the server leaves after its entry has lapsed and returned.
    leave: fn(&Backend, &Store),
}

/// Fails if a server that leaves gets requests because its entry had lapsed in an outage of the store: a
/// host that had lost the entry did not pass on its removal to the hosts that copy from it.
#[test_case(&DepartureCase { fault: Fault::ClosesConnections, leave: |s, store| store.remove(&format!("servers/{}", s.id)) }; "connections closed, the entry is removed")]
#[test_case(&DepartureCase { fault: Fault::Unavailable, leave: |s, store| store.remove(&format!("servers/{}", s.id)) }; "unavailable, the entry is removed")]
#[test_case(&DepartureCase { fault: Fault::Unavailable, leave: |s, store| s.announce(store, "draining") }; "unavailable, the server drains")]
fn a_server_that_leaves_after_a_lapse_gets_no_requests(case: &DepartureCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let zones = ["a1", "a1", "a1", "a1", "a1", "a2", "a2", "a2", "a2"];
        let environment = Environment::start(&zones).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        environment.store.set_fault(case.fault);
        tokio::time::sleep(Duration::from_millis(4500)).await;
        for server in &environment.servers {
            environment.store.remove(&format!("servers/{}", server.id));
        }
        environment.store.set_fault(Fault::None);
        // The servers' heartbeats are not in step.
        for server in &environment.servers {
            tokio::time::sleep(Duration::from_millis(300)).await;
            server.announce(&environment.store, "ready");
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        let leaving = &environment.servers[0];
        (case.leave)(leaving, &environment.store);
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let before = leaving.executed_requests().len();
        for host in &environment.hosts {
            for n in 0..20 {
                let id = format!("{}-{n}", host.name);
                let answer = request_once(host.caller_address, "/read/x", &id, API_KEY).await;
                let answer = answer.expect("an answer");
                assert!(answer.is_complete(&id), "{answer:?}");
                let ran = leaving.executed_requests().contains_key(&id);
                assert!(!ran, "{} still sends requests", host.name);
            }
        }
        assert_eq!(leaving.executed_requests().len(), before);
    });
}
