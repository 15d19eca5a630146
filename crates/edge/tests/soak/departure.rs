//! An outage of the store in which the entries of all servers lapse, after which one server drains, in
//! half of the runs while all hosts that read the store for a region are lost at once.

use std::{sync::Arc, time::Duration};

use jasminestage_platform_standin::store;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::{Environment, callers::RequestLog};

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(3500);
/// Longest time after the outage at which a running server has announced itself again.
const MAX_RETURN_MS: u64 = 1800;
/// Time from the end of the outage to the report of the server.
const CALM: Duration = Duration::from_secs(4);
/// Time within which all hosts must have learned of the report.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(2500);
/// Time after a kill in which a host is not judged.
const RESTART_EXCUSE: Duration = Duration::from_secs(3);
/// Time for which the server runs on after the limit.
const STAY: Duration = Duration::from_secs(2);

/// A server that drains.
#[derive(Debug)]
pub struct Departure {
    /// Index of the server.
    pub server: usize,
    /// When it reported.
    pub at: Instant,
}

/// Lets the entries lapse and return, and then one server drain.
pub async fn after_lapse(
    seed: u64,
    environment: &mut Environment,
    request_log: &Arc<RequestLog>,
) -> Departure {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let faults =
        [store::Fault::Unavailable, store::Fault::ClosesConnections, store::Fault::NeverResponds];
    environment.store.set_fault(faults[rng.random_range(0..faults.len())]);
    sleep(OUTAGE).await;
    for server in &environment.servers {
        environment.store.remove(&format!("servers/{}", server.id));
    }
    environment.store.set_fault(store::Fault::None);
    let back_at = Instant::now();
    let step = Duration::from_millis(rng.random_range(0..MAX_RETURN_MS)) / 6;
    for server in &environment.servers {
        sleep(step).await;
        server.announce(&environment.store, "ready");
    }
    sleep(CALM.saturating_sub(back_at.elapsed())).await;
    // The first two hosts read the store for their region, the third one for its own.
    let lost_hosts: Vec<usize> = match rng.random_range(0..4) {
        0 => vec![0, 1],
        1 => vec![rng.random_range(0..3)],
        _ => Vec::new(),
    };
    for host in &lost_hosts {
        request_log.record_disruption(*host, Instant::now() + RESTART_EXCUSE);
        environment.hosts[*host].kill();
    }
    let server = rng.random_range(0..environment.servers.len());
    environment.servers[server].announce(&environment.store, "draining");
    let at = Instant::now();
    for host in &lost_hosts {
        environment.hosts[*host].restart();
    }
    sleep(DRAIN_LIMIT + STAY).await;
    Departure { server, at }
}
