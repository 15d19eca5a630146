//! Explains to operators what becomes of a request.

use std::net::{IpAddr, Ipv4Addr};

use jasminestage_core::{
    declaration::fields,
    explain::{ExplainParams, explain},
};
use salvo::{Request, Response, http::StatusCode, writing::Json};

use crate::shared::Shared;

/// Answers `GET /explain?route=..&client=..&key_digest=..`; the digest is written as in the
/// declaration.
pub fn answer(shared: &Shared, req: &Request, res: &mut Response) {
    match question(shared, req) {
        Ok(question) => res.render(Json(explain(&shared.view.load(), &question))),
        Err(allowed) => refuse(res, &allowed),
    }
}

fn question<'a>(shared: &Shared, req: &'a Request) -> Result<ExplainParams<'a>, String> {
    let route = req.query::<&str>("route").ok_or("route: the name of a route is required")?;
    let client = match req.query::<&str>("client") {
        Some(text) => text.parse().map_err(|_| "client: an IP address is allowed")?,
        None => IpAddr::from(Ipv4Addr::LOCALHOST),
    };
    let key = match req.query::<&str>("key_digest") {
        Some(text) => fields::digests(text)?.first().copied(),
        None => None,
    };
    let (proof, now) = shared.decide(|traffic, now| (traffic.proof(), now));
    Ok(ExplainParams { route, client, key, proof, now })
}

fn refuse(res: &mut Response, allowed: &str) {
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(format!("{allowed}\n"));
}
