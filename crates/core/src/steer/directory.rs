//! Directory of hosts: answers callers that ask which hosts to connect to.

use std::{net::SocketAddr, time::Duration};

use super::{digest::Announcement, view::View};

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Number of ready hosts in the caller's failure domain below which the answer covers its whole
/// region.
const MIN_ZONE_HOSTS: usize = 2;
/// Number of large hosts in a region from which on its callers are sent to those only. With fewer
/// hosts, each one sends to the same server more often and so opens fewer connections, and the
/// hosts have better data on each other's requests.
const MIN_LARGE_HOSTS: usize = 3;
/// Minimum fraction of a region's CPU quota that its large hosts must have to serve all its
/// callers.
const MIN_LARGE_CPU_FRACTION: f64 = 0.3;
/// Minimum CPU quota of a large host relative to the largest host.
const LARGE_HOST_CPU_RATIO: f64 = 0.5;
/// Time to live of an answer. Callers may still use the address of a host for this long after the
/// host announced that it stops.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Answer to a caller that asks where to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Addresses at which hosts accept requests of callers.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be used.
    pub ttl: Duration,
}

/// Returns the ready hosts of the caller's failure domain, those of its region if the failure
/// domain has few, or all ready hosts if the region has none. If the large hosts of the region
/// suffice, only those are returned.
pub fn resolve(view: &View, region: &str, zone: &str) -> Resolution {
    let this_host = view.is_ready().then_some((&view.local_host, view.region.as_str()));
    let peers = view.peers.iter().filter(|p| p.ready && p.is_reachable);
    let ready = || this_host.into_iter().chain(peers.clone().map(|p| (&p.host, p.region.as_str())));
    let in_region: Vec<&Announcement> =
        ready().filter(|(_, r)| *r == region).map(|(h, _)| h).collect();
    let in_zone: Vec<&Announcement> =
        in_region.iter().copied().filter(|h| h.zone == zone).collect();
    let hosts = if let Some(large) = large_hosts(&in_region) {
        large
    } else if in_zone.len() >= MIN_ZONE_HOSTS {
        in_zone
    } else if !in_region.is_empty() {
        in_region
    } else {
        ready().map(|(h, _)| h).collect()
    };
    Resolution {
        addresses: hosts.into_iter().map(|h| h.caller_address).take(MAX_ADDRESSES).collect(),
        ttl: ANSWER_TTL.min(view.bounds.max_lookup_ttl),
    }
}

/// Returns the large hosts of a region, if there are smaller ones and the large ones suffice.
fn large_hosts<'a>(hosts: &[&'a Announcement]) -> Option<Vec<&'a Announcement>> {
    let largest = hosts.iter().map(|h| h.millicores).max()?;
    let is_large =
        |h: &&&Announcement| f64::from(h.millicores) >= f64::from(largest) * LARGE_HOST_CPU_RATIO;
    let large: Vec<&Announcement> = hosts.iter().filter(is_large).copied().collect();
    let cpu_quota =
        |hosts: &[&Announcement]| hosts.iter().map(|h| f64::from(h.millicores)).sum::<f64>();
    let suffices = large.len() >= MIN_LARGE_HOSTS
        && large.len() < hosts.len()
        && cpu_quota(&large) >= cpu_quota(hosts) * MIN_LARGE_CPU_FRACTION;
    suffices.then_some(large)
}
