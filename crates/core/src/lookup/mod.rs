//! The look-up: which entry hosts a caller should use.

use std::{net::IpAddr, time::Duration};

use crate::{
    declaration::{Access, RegionKey, WorkspaceKey, key_digest},
    result::Code,
    view::{LiveHost, View},
};

/// Hosts named in one answer.
pub const MAX_HOSTS: usize = 4;
/// How long a caller may use an answer.
pub const LIFETIME: Duration = Duration::from_secs(5);

/// A question of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: IpAddr,
    /// The caller's key, when it presents one: it is led to where its workspace has tokens.
    pub key: Option<&'a [u8]>,
}

/// Answer to a look-up, borrowed from the view.
#[derive(Clone, Debug)]
pub struct Answer<'v> {
    /// Hosts in the order in which to try them.
    pub hosts: Vec<&'v LiveHost>,
    /// How long the answer may be used.
    pub lifetime: Duration,
}

/// Orders the live hosts for a caller: nearest first, among these the holders of homes of its
/// workspace, and the same caller to the same host. Hosts without a seat, which serve no keyed
/// route, come last for one.
pub fn look_up<'v>(view: &'v View, query: &Query<'_>) -> Result<Answer<'v>, Code> {
    if view.revision == 0 {
        return Err(Code::NoConfiguration);
    }
    let (_, route) = view.declaration.route(query.route).ok_or(Code::UnknownRoute)?;
    let is_keyed = route.access == Access::Keyed;
    let near = view
        .declaration
        .blocks
        .region(query.client)
        .or_else(|| view.declaration.region_of(&view.me.domain));
    let workspace = query.key.and_then(|key| workspace_of(view, key));
    let serves = |h: &LiveHost| !is_keyed || view.has_confirmed_seat(h);
    let mut hosts = hosts_near(view, near);
    hosts.retain(|h| h.accepts_callers && serves(h));
    if hosts.len() < MAX_HOSTS {
        hosts = view.hosts.iter().filter(|h| h.accepts_callers).collect();
    }
    hosts.sort_by_cached_key(|h| {
        let far = view.declaration.region_of(&h.domain) != near;
        let astray = workspace.is_some_and(|w| !is_home(view, w, h));
        (!serves(h), far, astray, weight(&h.name, query.client))
    });
    hosts.truncate(MAX_HOSTS);
    if hosts.is_empty() { Err(Code::NoServer) } else { Ok(Answer { hosts, lifetime: LIFETIME }) }
}

/// Live hosts of the failure domains of a region.
fn hosts_near(view: &View, region: Option<RegionKey>) -> Vec<&LiveHost> {
    let domains = view.declaration.domains.values().filter(|d| Some(d.region) == region);
    let names: Vec<&str> = domains.map(|d| d.name.as_str()).collect();
    view.hosts.iter().filter(|h| names.contains(&h.domain.as_str())).collect()
}

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
fn weight(host: &str, client: IpAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (host, client).hash(&mut hasher);
    hasher.finish()
}
