//! The directory, readiness and metrics endpoints.

use std::sync::Arc;

use http::{HeaderValue, Request, StatusCode, header};
use jasminestage_core::steer::directory::resolve;
use jasminestage_platform::directory;

use super::{
    listener::CallerBody,
    responses::{FullResponse, text},
};
use crate::shared::Shared;

/// Answers one request without waiting.
pub type Handler = fn(&Arc<Shared>, &Request<CallerBody>) -> FullResponse;

/// Returns the addresses of the hosts to which a caller should connect.
pub fn directory(shared: &Arc<Shared>, req: &Request<CallerBody>) -> FullResponse {
    if req.uri().path() != directory::RESOLVE_PATH {
        return text(StatusCode::NOT_FOUND, "There is no such page.");
    }
    let location = directory::parse_location(req.uri().query().unwrap_or_default());
    let resolution = resolve(&shared.view.load(), &location.region, &location.zone);
    if resolution.addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "No host is ready.");
    }
    match directory::encode_resolution(&resolution) {
        Ok(body) => {
            let mut response = text(StatusCode::OK, body);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(e) => {
            tracing::error!(event = 308, error = %e, "Encoding a directory response failed.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "The answer could not be written.")
        }
    }
}

/// Returns whether this host accepts callers.
pub fn readiness(shared: &Arc<Shared>, req: &Request<CallerBody>) -> FullResponse {
    if req.uri().path() != directory::READINESS_PATH {
        return text(StatusCode::NOT_FOUND, "There is no such page.");
    }
    if shared.view.load().is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}

/// Returns all metrics in the text format of Prometheus.
pub fn metrics(shared: &Arc<Shared>, _: &Request<CallerBody>) -> FullResponse {
    match shared.metrics.encode() {
        Ok(page) => text(StatusCode::OK, page),
        Err(e) => {
            tracing::error!(event = 309, error = %e, "Encoding the metrics failed.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "Metrics could not be written.")
        }
    }
}
