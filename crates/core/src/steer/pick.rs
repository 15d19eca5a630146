//! Choice of a server within a region by the latency that this host expects.

use super::{
    server::{Server, ServerKey},
    stable_hash,
};
use crate::time::Instant;

/// Factor on the latency of a server that has handled the object lately.
const WARM: f64 = 1.0;
/// Factor on the latency of the second choice for an object, which other hosts spill to as well.
const SECOND: f64 = 2.6;
/// Factor on the latency of a server that has not handled the object.
const COLD: f64 = 3.2;
/// Factor on the latency of a server in another failure domain, for the bytes that cross.
const OTHER_ZONE: f64 = 1.1;
/// A server this many times slower than its service counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Weight of the failure rate: a failure costs the caller more than a slow answer.
const FAILURE_COST: f64 = 6.0;

/// What the choice depends on besides the servers.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Hash of the object that the request concerns.
    pub object: Option<u64>,
    /// Failure domain of this host.
    pub zone: &'a str,
    /// Latency of an idle server that knows the object, in seconds.
    pub base: f64,
    /// Factor on the cost of a server that has to fetch the object, above 1 where slots are scarce.
    pub fetch_cost: f64,
}

/// A server with the latency that is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The server.
    pub server: ServerKey,
    /// Expected latency in seconds, raised by the risk of failure.
    pub cost: f64,
    /// Expected latency in seconds.
    pub latency: f64,
    /// Expected latency as a multiple of that of an idle server that knows the object.
    pub multiple: f64,
    /// The part of that multiple that is due to the queue.
    pub queueing: f64,
    /// Whether the server is expected to know the object.
    pub is_warm: bool,
}

/// The server with the lowest cost.
pub fn best(now: Instant, want: &Want<'_>, servers: &[(ServerKey, &Server)]) -> Option<Estimate> {
    let homes = want.object.map(|object| homes(object, servers));
    let estimates = servers.iter().map(|(key, server)| {
        let familiar = familiarity(want, server, homes.map(|homes| homes.rank(*key)));
        estimate(now, want, *key, server, familiar)
    });
    estimates.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// The first and the second choice for an object.
#[derive(Clone, Copy, Debug, Default)]
struct Homes {
    first: Option<(u64, ServerKey)>,
    second: Option<(u64, ServerKey)>,
}

/// Place of a server among the choices for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    First,
    Second,
    Other,
}

impl Homes {
    fn rank(&self, server: ServerKey) -> Rank {
        let is = |home: Option<(u64, ServerKey)>| home.is_some_and(|(_, key)| key == server);
        match () {
            () if is(self.first) => Rank::First,
            () if is(self.second) => Rank::Second,
            () => Rank::Other,
        }
    }
}

/// The choices for an object by rendezvous hashing: all hosts of a region prefer the same servers.
fn homes(object: u64, servers: &[(ServerKey, &Server)]) -> Homes {
    let mut homes = Homes::default();
    for (key, server) in servers {
        let next = Some((stable_hash(object, &server.hash.to_le_bytes()), *key));
        if next > homes.first {
            homes = Homes { first: next, second: homes.first };
        } else if next > homes.second {
            homes.second = next;
        }
    }
    homes
}

/// Factor on the latency of a server by whether it is expected to know the object.
fn familiarity(want: &Want<'_>, server: &Server, rank: Option<Rank>) -> f64 {
    match (rank, want.object) {
        (None | Some(Rank::First), _) => WARM,
        (_, Some(object)) if server.knows(object) => WARM,
        (Some(Rank::Second), _) => SECOND,
        (Some(Rank::Other), _) => COLD,
    }
}

fn estimate(
    now: Instant,
    want: &Want<'_>,
    key: ServerKey,
    server: &Server,
    familiar: f64,
) -> Estimate {
    let slots = f64::from(server.entry.slots.max(1));
    let queued = (server.load(now) + 1.0 - slots).max(0.0) / slots;
    let slowness = server.slowness(now, want.base);
    let slow = if slowness > SLOW_RATIO { slowness } else { 1.0 };
    let queueing = 1.0 + queued;
    let multiple = familiar * queueing;
    let latency = want.base * slow * multiple;
    let zone = if server.entry.zone == want.zone { 1.0 } else { OTHER_ZONE };
    // The idle share of a server breaks ties between servers without a queue.
    let busy = 1.0 + 0.1 * server.load(now) / slots;
    let risk = 1.0 + FAILURE_COST * server.failure_rate(now);
    let fetch = if familiar > WARM { want.fetch_cost } else { 1.0 };
    Estimate {
        server: key,
        cost: latency * zone * busy * risk * fetch,
        latency,
        multiple,
        queueing,
        is_warm: familiar <= WARM,
    }
}
