//! Authentication and admission of a request.

use std::time::Duration;

use subtle::ConstantTimeEq;

use crate::{
    crash::Fingerprint,
    result::Code,
    time::Instant,
    view::{View, holds_authority},
    world::{Access, KeyDigest, Route, RouteKey, WorkspaceKey, key_digest},
};

/// A request as received by the front end.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// The caller's key.
    pub key: Option<&'a [u8]>,
    /// The request id.
    pub id: Option<&'a str>,
    /// The caller's deadline, as time from now.
    pub deadline: Option<Duration>,
    /// Fingerprint of the route and the body.
    pub fingerprint: Fingerprint,
}

/// An admitted request, borrowed from the view.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'v> {
    /// The route.
    pub route: &'v Route,
    /// Key of the route in the declaration.
    pub route_key: RouteKey,
    /// Workspace of the request; none on open routes.
    pub workspace_key: Option<WorkspaceKey>,
    /// Time until the answer is due.
    pub deadline: Duration,
}

/// Checks the route, key, authority and deadline of a request.
///
/// `key` is the digest of the caller's key. `proof` is the instant at which the configuration in
/// force was last proven to be the newest one.
pub fn admit<'v>(
    view: &'v View,
    proof: Option<Instant>,
    now: Instant,
    req: &Request<'_>,
    key: Option<KeyDigest>,
) -> Result<Admitted<'v>, Code> {
    if view.revision == 0 {
        return Err(Code::NoConfiguration);
    }
    let (route_key, route) = view.world.route(req.route).ok_or(Code::UnknownRoute)?;
    let workspace_key = match route.access {
        Access::Open => None,
        Access::Keyed => {
            let key = key.ok_or(Code::KeyMissing)?;
            check_authority(proof, now, route)?;
            Some(authenticate(view, &key)?)
        }
    };
    if let Some(workspace) = workspace_key.map(|w| &view.world.workspaces[w])
        && !workspace.routes.is_empty()
        && !workspace.routes.contains(&route_key)
    {
        return Err(Code::RouteNotAllowed);
    }
    let deadline = req.deadline.map_or(route.deadline, |d| d.min(route.deadline));
    if deadline.is_zero() {
        return Err(Code::DeadlineBeforeStart);
    }
    Ok(Admitted { route, route_key, workspace_key, deadline })
}

/// Digest of the caller's key, if there is one.
pub fn digest(req: &Request<'_>) -> Option<KeyDigest> {
    req.key.map(key_digest)
}

/// Returns the workspace that a key belongs to.
///
/// The digests are compared in constant time.
fn authenticate(view: &View, digest: &KeyDigest) -> Result<WorkspaceKey, Code> {
    let owner = *view.world.key_owners.get(digest).ok_or(Code::KeyUnknown)?;
    let workspace = &view.world.workspaces[owner];
    let is_valid = workspace.keys.iter().any(|k| bool::from(k.ct_eq(digest)));
    if is_valid { Ok(owner) } else { Err(Code::KeyUnknown) }
}

/// Checks that this host still has the authority to serve the route with the configuration in force.
pub fn check_authority(proof: Option<Instant>, now: Instant, route: &Route) -> Result<(), Code> {
    let is_valid = route.access == Access::Open || holds_authority(now, proof, route.authority);
    if is_valid { Ok(()) } else { Err(Code::AuthorityEnded) }
}
