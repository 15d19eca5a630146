//! Selection of a server by expected latency.

use super::{
    server::{Server, ServerKey},
    stable_hash,
};
use crate::time::Instant;

/// Latency factor of a server that is expected to have the object cached.
const WARM_FACTOR: f64 = 1.0;
/// Latency factor of the second choice for an object. It is below [`COLD_FACTOR`], because other hosts
/// use the second choice as well when the first is busy, so it may have the object cached.
const SECOND_CHOICE_FACTOR: f64 = 2.6;
/// Latency factor of a server that has to fetch the object.
const COLD_FACTOR: f64 = 3.2;
/// Cost factor of a server in another failure domain, for the traffic between domains.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Multiple of the base latency of its service above which a server's latency raises its estimate.
const SLOW_RATIO: f64 = 2.0;
/// Weight of the failure rate in the cost; a failure costs the caller more than a slow answer.
const FAILURE_COST_FACTOR: f64 = 6.0;

/// Inputs of the selection besides the servers.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Hash of the object that the request concerns.
    pub object: Option<u64>,
    /// Failure domain of this host.
    pub zone: &'a str,
    /// Latency of the request at an idle server that has the object cached, in seconds.
    pub base_latency_s: f64,
    /// The same over all requests of the service, by which the latencies of servers are compared.
    pub service_latency_s: f64,
    /// Mean time for which a request ahead in a server's queue occupies a slot, in seconds; `None` if
    /// it is taken to need as long as this request.
    pub queued_latency_s: Option<f64>,
    /// Cost factor of a server that has to fetch the object; above 1 when few slots are free.
    pub fetch_cost_factor: f64,
}

impl Default for Criteria<'_> {
    fn default() -> Self {
        Criteria {
            object: None,
            zone: "",
            base_latency_s: 0.0,
            service_latency_s: 0.0,
            queued_latency_s: None,
            fetch_cost_factor: 1.0,
        }
    }
}

/// A server with its expected latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The server.
    pub server: ServerKey,
    /// Expected latency in seconds, raised by the risk of failure and other costs.
    pub cost: f64,
    /// Expected latency in seconds.
    pub latency_s: f64,
    /// Time for which a further request then waits in the server's queue, in seconds.
    pub next_wait_s: f64,
    /// Factor by which queueing and fetching the object raise the expected latency.
    pub latency_multiple: f64,
    /// The factor of `latency_multiple` that is due to queueing.
    pub queue_factor: f64,
    /// Whether the server is expected to have the object cached.
    pub is_warm: bool,
}

/// Returns the estimate of the server with the lowest cost.
pub fn lowest_cost_server(
    now: Instant,
    criteria: &Criteria<'_>,
    servers: &[(ServerKey, &Server)],
) -> Option<Estimate> {
    let preferred = criteria.object.map(|object| preferred_servers(object, servers));
    let estimates = servers.iter().map(|(key, server)| {
        let cache_factor =
            latency_factor(criteria, server, preferred.map(|preferred| preferred.rank(*key)));
        estimate(now, criteria, *key, server, cache_factor)
    });
    estimates.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// The first and the second choice for an object, each with its rendezvous hash.
#[derive(Clone, Copy, Debug, Default)]
struct PreferredServers {
    first: Option<(u64, ServerKey)>,
    second: Option<(u64, ServerKey)>,
}

/// Rank of a server among the choices for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    First,
    Second,
    Other,
}

impl PreferredServers {
    fn rank(&self, server: ServerKey) -> Rank {
        let is_server =
            |choice: Option<(u64, ServerKey)>| choice.is_some_and(|(_, key)| key == server);
        match () {
            () if is_server(self.first) => Rank::First,
            () if is_server(self.second) => Rank::Second,
            () => Rank::Other,
        }
    }
}

/// Returns the choices for an object by rendezvous hashing, so that all hosts of a region prefer the
/// same servers.
fn preferred_servers(object: u64, servers: &[(ServerKey, &Server)]) -> PreferredServers {
    let mut preferred = PreferredServers::default();
    for (key, server) in servers {
        let candidate = Some((stable_hash(object, &server.hash.to_le_bytes()), *key));
        if candidate > preferred.first {
            preferred = PreferredServers { first: candidate, second: preferred.first };
        } else if candidate > preferred.second {
            preferred.second = candidate;
        }
    }
    preferred
}

/// Returns the latency factor of a server by whether it is expected to have the object cached.
fn latency_factor(criteria: &Criteria<'_>, server: &Server, rank: Option<Rank>) -> f64 {
    match (rank, criteria.object) {
        (None | Some(Rank::First), _) => WARM_FACTOR,
        (_, Some(object)) if server.has_cached(object) => WARM_FACTOR,
        (Some(Rank::Second), _) => SECOND_CHOICE_FACTOR,
        (Some(Rank::Other), _) => COLD_FACTOR,
    }
}

fn estimate(
    now: Instant,
    criteria: &Criteria<'_>,
    key: ServerKey,
    server: &Server,
    cache_factor: f64,
) -> Estimate {
    let slots = f64::from(server.entry.slots.max(1));
    let queued_per_slot = |load: f64| (load + 1.0 - slots).max(0.0) / slots;
    let latency_ratio = server.latency_ratio(now, criteria.service_latency_s);
    let slow_factor = if latency_ratio > SLOW_RATIO { latency_ratio } else { 1.0 };
    let run_s = criteria.base_latency_s * cache_factor;
    let queued_s = criteria.queued_latency_s.unwrap_or(run_s);
    let load = server.load(now);
    let queued_ratio = criteria.queued_latency_s.map_or(1.0, |s| s / run_s);
    let queue_factor = 1.0 + queued_per_slot(load) * queued_ratio;
    let latency_multiple = cache_factor * queue_factor;
    let latency_s = criteria.base_latency_s * slow_factor * latency_multiple;
    let zone_factor = if server.entry.zone == criteria.zone { 1.0 } else { OTHER_ZONE_FACTOR };
    // Prefers the less loaded of two servers that both have no queue.
    let load_factor = 1.0 + 0.1 * load / slots;
    let failure_factor = 1.0 + FAILURE_COST_FACTOR * server.failure_rate(now);
    let fetch_factor = if cache_factor > WARM_FACTOR { criteria.fetch_cost_factor } else { 1.0 };
    Estimate {
        server: key,
        cost: latency_s * zone_factor * load_factor * failure_factor * fetch_factor,
        latency_s,
        next_wait_s: queued_per_slot(load + 1.0) * queued_s * slow_factor,
        latency_multiple,
        queue_factor,
        is_warm: cache_factor <= WARM_FACTOR,
    }
}
