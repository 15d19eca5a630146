//! Look-up of the entry hosts that a caller should use.

use std::{net::IpAddr, time::Duration};

use crate::{
    declaration::{Access, RegionKey, WorkspaceKey, key_digest},
    result::Code,
    view::{LiveHost, View},
};

/// Maximum number of hosts in an answer.
pub const MAX_HOSTS: usize = 4;
/// How long a caller may use an answer.
pub const ANSWER_LIFETIME: Duration = Duration::from_secs(5);

/// Look-up query of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: IpAddr,
    /// The caller's key, if present; hosts that hold rate limit tokens of its workspace are preferred.
    pub key: Option<&'a [u8]>,
}

/// Answer to a look-up, borrowed from the view.
#[derive(Clone, Debug)]
pub struct Answer<'v> {
    /// Hosts in the order in which to try them.
    pub hosts: Vec<&'v LiveHost>,
    /// How long the caller may use the answer.
    pub lifetime: Duration,
}

/// Selects and orders the live hosts for a caller.
///
/// Hosts in the caller's region come first, and among them those that hold a home of its workspace:
/// a seat with a share of its rate limit, see [`crate::rate::Home`].
/// Otherwise the order depends on the client's address, so that a client keeps using the same host.
/// For a keyed route, hosts without a seat come last, because they cannot serve it.
pub fn look_up<'v>(view: &'v View, query: &Query<'_>) -> Result<Answer<'v>, Code> {
    if view.revision == 0 {
        return Err(Code::NoConfiguration);
    }
    let (_, route) = view.declaration.route(query.route).ok_or(Code::UnknownRoute)?;
    let is_keyed = route.access == Access::Keyed;
    let region = view
        .declaration
        .blocks
        .region(query.client)
        .or_else(|| view.declaration.region_of(&view.me.domain));
    let workspace = query.key.and_then(|key| workspace_of(view, key));
    let can_serve = |h: &LiveHost| !is_keyed || view.has_confirmed_seat(h);
    let mut hosts = hosts_in_region(view, region);
    hosts.retain(|h| h.accepts_callers && can_serve(h));
    if hosts.len() < MAX_HOSTS {
        hosts = view.hosts.iter().filter(|h| h.accepts_callers).collect();
    }
    hosts.sort_by_cached_key(|h| {
        let is_elsewhere = view.declaration.region_of(&h.domain) != region;
        let lacks_home = workspace.is_some_and(|w| !is_home(view, w, h));
        (!can_serve(h), is_elsewhere, lacks_home, rendezvous_weight(&h.name, query.client))
    });
    hosts.truncate(MAX_HOSTS);
    if hosts.is_empty() {
        Err(Code::NoServer)
    } else {
        Ok(Answer { hosts, lifetime: ANSWER_LIFETIME })
    }
}

/// Live hosts in the failure domains of a region.
fn hosts_in_region(view: &View, region: Option<RegionKey>) -> Vec<&LiveHost> {
    let domains = view.declaration.domains.values().filter(|d| Some(d.region) == region);
    let names: Vec<&str> = domains.map(|d| d.name.as_str()).collect();
    view.hosts.iter().filter(|h| names.contains(&h.domain.as_str())).collect()
}

/// Returns the workspace that a key belongs to.
fn workspace_of(view: &View, key: &[u8]) -> Option<WorkspaceKey> {
    view.declaration.key_owners.get(&key_digest(key)).copied()
}

/// Whether a host holds a home of a workspace.
fn is_home(view: &View, workspace: WorkspaceKey, host: &LiveHost) -> bool {
    let domain = view.declaration.domain(&host.domain);
    let homes = view.declaration.homes_of(workspace).iter().filter(|h| Some(h.domain) == domain);
    homes.into_iter().any(|home| {
        let holder = view.seat_holder(&host.domain, home.seat);
        holder.is_some_and(|s| s.incarnation == host.incarnation)
    })
}

/// Rendezvous weight of a host for a client (Thaler and Ravishankar 1998).
fn rendezvous_weight(host: &str, client: IpAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (host, client).hash(&mut hasher);
    hasher.finish()
}
