//! The directory, the readiness check and the metrics.

use std::sync::Arc;

use http::{HeaderValue, Request, StatusCode, header};
use hyper::body::Incoming;
use jasminestage_core::steer::directory::resolve;
use jasminestage_platform::directory;

use super::answer::{Reply, text};
use crate::shared::Shared;

/// Answers one request at once.
pub type Handler = fn(&Arc<Shared>, &Request<Incoming>) -> Reply;

/// Says where a caller should connect.
pub fn directory(shared: &Arc<Shared>, req: &Request<Incoming>) -> Reply {
    if req.uri().path() != directory::RESOLVE_PATH {
        return text(StatusCode::NOT_FOUND, "There is no such page.");
    }
    let place = directory::parse_location(req.uri().query().unwrap_or_default());
    let resolution = resolve(&shared.view.load(), &place.region, &place.zone);
    if resolution.addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "No host is ready.");
    }
    match directory::encode_resolution(&resolution) {
        Ok(body) => {
            let mut reply = text(StatusCode::OK, body);
            let json = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(header::CONTENT_TYPE, json);
            reply
        }
        Err(e) => {
            tracing::error!(event = 308, error = %e, "A directory answer could not be written.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "The answer could not be written.")
        }
    }
}

/// Says whether this host takes callers.
pub fn readiness(shared: &Arc<Shared>, req: &Request<Incoming>) -> Reply {
    if req.uri().path() != directory::READINESS_PATH {
        return text(StatusCode::NOT_FOUND, "There is no such page.");
    }
    if shared.view.load().is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}

/// Counters and histograms.
pub fn metrics(shared: &Arc<Shared>, _: &Request<Incoming>) -> Reply {
    match shared.metrics.encode() {
        Ok(page) => text(StatusCode::OK, page),
        Err(e) => {
            tracing::error!(event = 309, error = %e, "Metrics could not be written.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "Metrics could not be written.")
        }
    }
}
