//! Answers to callers that ask where to connect.

use std::{net::SocketAddr, time::Duration};

use super::view::View;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Hosts of the caller's own failure domain below which its whole region is named.
const MIN_ZONE_HOSTS: usize = 2;
/// Lifetime of an answer: a host that leaves is out of all answers this long after it said so.
const LIFETIME: Duration = Duration::from_secs(2);

/// Where a caller should connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Addresses for callers.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be used.
    pub lifetime: Duration,
}

/// Names the ready hosts of the caller's failure domain, or of its region where those are few, or
/// all ready hosts where the region has none.
pub fn resolve(view: &View, region: &str, zone: &str) -> Resolution {
    let me = view.is_ready().then_some((&view.me, view.region.as_str()));
    let peers = view.peers.iter().filter(|p| p.ready && p.is_heard);
    let ready: Vec<_> = me.into_iter().chain(peers.map(|p| (&p.host, p.region.as_str()))).collect();
    let in_zone = || ready.iter().filter(|(h, _)| h.zone == zone);
    let in_region = || ready.iter().filter(|(_, r)| *r == region);
    let addresses: Vec<SocketAddr> = if in_zone().count() >= MIN_ZONE_HOSTS {
        in_zone().map(|(h, _)| h.callers).collect()
    } else if in_region().next().is_some() {
        in_region().map(|(h, _)| h.callers).collect()
    } else {
        ready.iter().map(|(h, _)| h.callers).collect()
    };
    Resolution {
        addresses: addresses.into_iter().take(MAX_ADDRESSES).collect(),
        lifetime: LIFETIME.min(view.terms.max_lookup_ttl),
    }
}
