//! A store that comes back from an older copy.

use std::time::Duration;

use jasminestage_platform_standin::{
    backend::Backend,
    caller::request_once,
    fleet::{self, API_KEY, Host},
    store::Fault,
};
use serde_json::json;
use test_case::test_case;

use crate::{BINARY, Environment, eventually};

/// Time within which a change must be in force on all hosts.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);
/// Time after its return at which operators and servers have written again what it lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1500);
/// Number of changes by which the restored store passes its revision from before.
const LATER_CHANGES: u64 = 40;

/// When the change is made that the hosts must keep or learn of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeCopy,
    BeforeDrill,
    RightAfterDrill,
    AfterLaterChanges,
}

struct Case {
    /// Failure domains of the hosts: the readers of a region and hosts that copy from them.
    zones: &'static [&'static str],
    moment: Moment,
    /// Whether the last host starts while the store is away.
    starts_late: bool,
    drills: u32,
}

/// Loses what was written since the last copy.
async fn drill(environment: &Environment) {
    environment.store.set_fault(Fault::ClosesConnections);
    tokio::time::sleep(AWAY).await;
    environment.store.restore_copy();
    environment.store.set_fault(Fault::None);
}

fn withdraw_key(environment: &Environment) {
    environment.store.put("op/config", &fleet::sample_config(7, &["other"]));
}

async fn is_withdrawn(host: &Host) -> bool {
    let answer = request_once(host.caller_address, "/read/x", "r", API_KEY).await;
    answer.is_some_and(|a| a.status == 401)
}

/// Fails if a host returns to a configuration that the store has restored, or misses a change because
/// the store has given out its revision before.
#[test_case(&Case { zones: &["a1"], moment: Moment::BeforeCopy, starts_late: false, drills: 1 }; "before the copy")]
#[test_case(&Case { zones: &["a1", "a1", "a2", "a2", "b1"], moment: Moment::BeforeDrill, starts_late: false, drills: 1 }; "between copy and drill")]
#[test_case(&Case { zones: &["a1", "a2", "a2"], moment: Moment::BeforeDrill, starts_late: true, drills: 1 }; "between copy and drill, a host that starts")]
#[test_case(&Case { zones: &["a1", "a2"], moment: Moment::BeforeDrill, starts_late: false, drills: 2 }; "before two drills")]
#[test_case(&Case { zones: &["a1", "a1", "a2", "a2", "b1"], moment: Moment::RightAfterDrill, starts_late: false, drills: 1 }; "right after the drill")]
#[test_case(&Case { zones: &["a1", "a2"], moment: Moment::RightAfterDrill, starts_late: false, drills: 2 }; "right after two drills")]
#[test_case(&Case { zones: &["a1", "a1", "a2", "a2", "b1"], moment: Moment::AfterLaterChanges, starts_late: false, drills: 1 }; "after the store has passed its revision")]
fn a_change_stays_in_force_when_the_store_comes_back_older(case: &Case) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(case.zones).await;
        if case.moment == Moment::BeforeCopy {
            withdraw_key(&environment);
        }
        environment.store.take_copy();
        for n in 0..LATER_CHANGES / 2 {
            environment.servers[0].announce(&environment.store, "ready");
            if n == 0 && case.moment == Moment::BeforeDrill {
                withdraw_key(&environment);
            }
        }
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        for _ in 0..case.drills {
            drill(&environment).await;
        }
        if case.starts_late {
            let last = environment.hosts.last_mut().expect("a host");
            last.restart();
            last.wait_until_ready().await;
        }
        if case.moment == Moment::RightAfterDrill {
            withdraw_key(&environment);
        }
        let back_at = tokio::time::Instant::now();
        let must_keep = matches!(case.moment, Moment::BeforeCopy | Moment::BeforeDrill);
        let kept = &environment.hosts[..environment.hosts.len() - usize::from(case.starts_late)];
        while back_at.elapsed() < REWRITE_DELAY {
            for host in kept {
                let holds = !must_keep || is_withdrawn(host).await;
                assert!(holds, "{} went back: {:?}", host.name, host.log_lines());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        environment.store.write_lost_items();
        if case.moment == Moment::AfterLaterChanges {
            for _ in 0..LATER_CHANGES {
                environment.servers[0].announce(&environment.store, "ready");
            }
            tokio::time::sleep(PROPAGATION_LIMIT).await;
            withdraw_key(&environment);
        }
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        for host in &environment.hosts {
            let is_in_force = is_withdrawn(host).await;
            assert!(is_in_force, "{} misses the change: {:?}", host.name, host.log_lines());
        }
    });
}

/// Sends a request to each host, which must be served, and pauses for a moment.
async fn assert_all_serve(environment: &Environment, round: u32) {
    for host in &environment.hosts {
        let id = format!("{}-{round}", host.name);
        let answer = request_once(host.caller_address, "/read/x", &id, API_KEY).await;
        assert!(answer.is_some_and(|a| a.is_complete(&id)), "{}, round {round}", host.name);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
}

struct DepartureCase {
    zones: &'static [&'static str],
    leave: fn(&Environment),
}

/// Fails if a server that was leaving when the store lost its report gets requests again.
#[test_case(&DepartureCase { zones: &["a1"], leave: |e| e.servers[0].announce(&e.store, "draining") }; "a server drains")]
#[test_case(&DepartureCase { zones: &["a1", "a1", "a2", "a2"], leave: |e| e.servers[0].announce(&e.store, "draining") }; "a server drains, hosts that copy")]
#[test_case(&DepartureCase { zones: &["a1", "a1", "a2", "a2"], leave: |e| e.store.remove("servers/lookup-1") }; "a server has left")]
#[test_case(&DepartureCase { zones: &["a1", "a1", "a2"], leave: |e| { e.store.put("op/evacuate/a1", &json!({})); } }; "the failure domain is evacuated")]
fn a_leaving_server_stays_out_of_use_when_the_store_comes_back_older(case: &DepartureCase) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut environment = Environment::start(case.zones).await;
        let other = Backend::start(&environment.store, "lookup-3", "lookup", "a2").await;
        environment.servers.push(other);
        tokio::time::sleep(Duration::from_secs(1)).await;
        environment.store.take_copy();
        (case.leave)(&environment);
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let before = environment.servers[0].executed_requests().len();
        drill(&environment).await;
        let (back_at, mut n, mut is_rewritten) = (tokio::time::Instant::now(), 0, false);
        while back_at.elapsed() < REWRITE_DELAY + PROPAGATION_LIMIT {
            if !is_rewritten && back_at.elapsed() > REWRITE_DELAY {
                environment.store.write_lost_items();
                is_rewritten = true;
            }
            n += 1;
            assert_all_serve(&environment, n).await;
        }
        let after = environment.servers[0].executed_requests().len();
        assert_eq!(after, before, "the leaving server got requests");
    });
}

/// Fails if a server that announced itself after the copy, and does so again, gets no requests in
/// between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_stay_in_use_when_the_store_loses_their_entries() {
    let mut environment = Environment::start(&["a1", "a1", "a2"]).await;
    for server in &environment.servers {
        environment.store.remove(&format!("servers/{}", server.id));
    }
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    environment.store.take_copy();
    for service in ["lookup", "booking"] {
        let id = format!("{service}-new");
        environment.servers.push(Backend::start(&environment.store, &id, service, "a1").await);
    }
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    drill(&environment).await;
    let (back_at, mut n) = (tokio::time::Instant::now(), 0);
    while back_at.elapsed() < REWRITE_DELAY * 2 {
        if back_at.elapsed() > REWRITE_DELAY {
            environment.store.write_lost_items();
        }
        n += 1;
        assert_all_serve(&environment, n).await;
    }
}

/// Fails if what the hosts themselves wrote stays lost: their announcements, or the state of a rollout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_write_again_what_the_store_has_lost_of_them() {
    let mut environment = Environment::start(&["a1"]).await;
    let address = environment.store.address;
    environment.store.take_copy();
    environment.hosts.push(Host::start(BINARY, "late", "a2", address));
    environment.hosts[1].wait_until_ready().await;
    let new = Backend::start_version(&environment.store, "lookup-new", "lookup", "a1", "v2").await;
    environment.servers.push(new);
    let order = json!({ "service": "lookup", "target-version": "v2", "duration": "3s" });
    environment.store.put("op/rollout/lookup", &order);
    let store = environment.store.clone();
    let state = || store.get("status/rollout/lookup").map(|s| s["state"].clone());
    let has_ended =
        eventually(Duration::from_secs(8), async || state() == Some(json!("succeeded"))).await;
    assert!(has_ended, "{:?}", state());
    drill(&environment).await;
    tokio::time::sleep(REWRITE_DELAY).await;
    environment.store.write_lost_items();
    let is_written = eventually(Duration::from_secs(8), async || {
        state() == Some(json!("succeeded")) && store.get("jasminestage/hosts/late").is_some()
    });
    let is_written = is_written.await;
    assert!(is_written, "{:?}: {:?}", state(), environment.hosts[1].log_lines());
    let orders = environment.hosts[0].log_lines();
    let orders = orders.iter().filter(|line| line["event"] == 331).count();
    assert_eq!(orders, 1, "the rollout was started again");
}

/// Fails if a host ends a lease that the store has granted again to another writer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_leaves_the_leases_of_others_alone() {
    let mut environment = Environment::start(&[]).await;
    let address = environment.store.address;
    environment.store.take_copy();
    environment.hosts.push(Host::start(BINARY, "host-0", "a1", address));
    environment.hosts[0].wait_until_ready().await;
    environment.store.restore_copy();
    environment.store.put_with_lease("servers/other", &json!({}), Duration::from_secs(60));
    environment.hosts[0].send_signal(rustix::process::Signal::TERM);
    environment.hosts[0].wait_for_exit(Duration::from_secs(8)).await;
    assert!(environment.store.get("servers/other").is_some());
}
