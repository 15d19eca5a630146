//! Real processes under random faults from outside, with the promises checked by callers and servers.
//!
//! `SOAK_SEEDS=100..150 cargo test -p jasminestage-edge --test soak` runs other seeds than the short
//! list of CI.

mod callers;
mod faults;

use std::{sync::Arc, time::Duration};

use jasminestage_platform_standin::{
    backend::Backend,
    caller::request_once,
    fleet::{self, API_KEY, Host},
    proxy::Proxy,
    store::Store,
};
use rand::{SeedableRng, rngs::StdRng};
use test_case::test_case;

use self::{callers::Ledger, faults::Faults};

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_jasminestage-edge");
/// Time for which faults come.
const TROUBLE: Duration = Duration::from_secs(6);
/// Time after the last fault in which everything must work again.
const RECOVERY: Duration = Duration::from_secs(10);

/// Everything that one seed plays with.
pub struct World {
    /// The platform's store, behind a proxy for each host.
    pub store: Store,
    /// Proxies between hosts and the store.
    pub paths: Vec<Proxy>,
    /// Hosts under test.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Vec<Backend>,
}

impl World {
    async fn start() -> World {
        let store = Store::start().await;
        fleet::write_config(&store, 1);
        let mut servers = Vec::new();
        for (n, zone) in ["a1", "a2", "b1"].iter().enumerate() {
            for service in ["lookup", "booking"] {
                let id = format!("{service}-{n}");
                servers.push(Backend::start(&store, &id, service, zone).await);
            }
        }
        let (mut paths, mut hosts) = (Vec::new(), Vec::new());
        for (n, zone) in ["a1", "a2", "b1"].iter().enumerate() {
            let path = Proxy::start(store.address).await;
            hosts.push(Host::start(BINARY, &format!("host-{n}"), zone, path.address));
            paths.push(path);
        }
        for host in &hosts {
            host.wait_until_ready().await;
        }
        World { store, paths, hosts, servers }
    }
}

async fn play(seed: u64) {
    let mut world = World::start().await;
    let addresses: Vec<_> = world.hosts.iter().map(|h| h.caller_address).collect();
    let ledger = Arc::new(Ledger::default());
    let callers = callers::start(&addresses, &ledger);
    let mut faults = Faults::new(StdRng::seed_from_u64(seed));
    faults.play(&mut world, &ledger, TROUBLE).await;
    faults.end(&mut world).await;
    recovers(seed, &world).await;
    for caller in callers {
        caller.abort();
    }
    ledger.check(seed, &world.servers, faults.history());
}

/// After the last fault every host follows a new configuration and serves.
async fn recovers(seed: u64, world: &World) {
    world.store.put("op/config", &fleet::sample_config(1000, &[API_KEY, "last"]));
    let end = tokio::time::Instant::now() + RECOVERY;
    for host in &world.hosts {
        let mut tries = 0;
        loop {
            tries += 1;
            let id = format!("last-{}-{tries}", host.name);
            let answer = request_once(host.caller_address, "/book/last", &id, "last");
            let answer = tokio::time::timeout(Duration::from_secs(3), answer).await.ok().flatten();
            if answer.as_ref().is_some_and(|a| a.is_complete(&id)) {
                break;
            }
            let in_time = tokio::time::Instant::now() < end;
            assert!(in_time, "seed {seed}: {} does not recover: {answer:?}", host.name);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

fn run(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(play(seed));
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
#[test_case(4; "seed 4")]
// A host that started while the store was away never spoke to the region that it heard.
#[test_case(221; "seed 221")]
fn promises_hold(seed: u64) {
    run(seed);
}

/// Runs the seeds that the environment names, four at a time; none by default.
#[test]
fn promises_hold_for_more_seeds() {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let seeds: Vec<u64> =
        (first.parse().expect("a number")..last.parse().expect("a number")).collect();
    let mut failed = Vec::new();
    for batch in seeds.chunks(4) {
        let threads: Vec<_> = batch
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || run(seed)
                    }),
                )
            })
            .collect();
        failed.extend(threads.into_iter().filter_map(|(s, t)| t.join().is_err().then_some(s)));
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
    println!("{} seeds passed", seeds.len());
}
