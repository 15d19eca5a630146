//! Answers to callers that ask where to connect.

use std::{net::SocketAddr, time::Duration};

use super::{digest::Announcement, view::View};

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Hosts of the caller's own failure domain below which its whole region is named.
const MIN_ZONE_HOSTS: usize = 2;
/// Large hosts of a region from which on they serve its callers alone: few hosts meet the same server
/// often and so open few connections, and they know each other's requests better.
const MIN_LARGE_HOSTS: usize = 3;
/// Smallest part of a region's processor share that its large hosts must have for that.
const MIN_LARGE_PART: f64 = 0.3;
/// Processor share of a large host as a part of the largest one's.
const LARGE_PART: f64 = 0.5;
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
/// all ready hosts where the region has none. Small hosts are left out where the large ones suffice.
pub fn resolve(view: &View, region: &str, zone: &str) -> Resolution {
    let me = view.is_ready().then_some((&view.me, view.region.as_str()));
    let peers = view.peers.iter().filter(|p| p.ready && p.is_heard);
    let ready = || me.into_iter().chain(peers.clone().map(|p| (&p.host, p.region.as_str())));
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
        lifetime: LIFETIME.min(view.terms.max_lookup_ttl),
    }
}

/// The large hosts of a region, if there are small ones that they can do without.
fn large_hosts<'a>(hosts: &[&'a Announcement]) -> Option<Vec<&'a Announcement>> {
    let most = hosts.iter().map(|h| h.millicores).max()?;
    let is_large = |h: &&&Announcement| f64::from(h.millicores) >= f64::from(most) * LARGE_PART;
    let large: Vec<&Announcement> = hosts.iter().filter(is_large).copied().collect();
    let share =
        |hosts: &[&Announcement]| hosts.iter().map(|h| f64::from(h.millicores)).sum::<f64>();
    let suffices = large.len() >= MIN_LARGE_HOSTS
        && large.len() < hosts.len()
        && share(&large) >= share(hosts) * MIN_LARGE_PART;
    suffices.then_some(large)
}
