//! Explains to operators how a request would be handled.

use std::net::{IpAddr, Ipv4Addr};

use jasminestage_core::{
    declaration::fields,
    explain::{ExplainParams, explain},
};
use salvo::{Request, Response, http::StatusCode, writing::Json};

use crate::shared::Shared;

/// Responds to `GET /explain?route=..&client=..&key_digest=..`; the digest has the same form as in
/// the declaration.
pub fn respond(shared: &Shared, req: &Request, res: &mut Response) {
    match parse_params(shared, req) {
        Ok(params) => res.render(Json(explain(&shared.view.load(), &params))),
        Err(allowed) => bad_request(res, &allowed),
    }
}

fn parse_params<'a>(shared: &Shared, req: &'a Request) -> Result<ExplainParams<'a>, String> {
    let route = req.query::<&str>("route").ok_or("route: the name of a route is required")?;
    let client = match req.query::<&str>("client") {
        Some(text) => text.parse().map_err(|_| "client: an IP address is allowed")?,
        None => IpAddr::from(Ipv4Addr::LOCALHOST),
    };
    let key = match req.query::<&str>("key_digest") {
        Some(text) => fields::digests(text)?.first().copied(),
        None => None,
    };
    let (proof, now) = shared.with_traffic(|traffic, now| (traffic.proof(), now));
    Ok(ExplainParams { route, client, key, proof, now })
}

fn bad_request(res: &mut Response, allowed: &str) {
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(format!("{allowed}\n"));
}
