//! Responses that the host itself sends.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use jasminestage_core::steer::refusal::Refusal;

/// A response with its complete body.
pub type FullResponse = Response<Full<Bytes>>;

/// Creates a response with a body of plain text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let plain_text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain_text);
    response
}

/// Makes a response the last one of its connection.
pub fn close_connection(response: &mut FullResponse) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Creates the response for a refusal.
pub fn refusal(refusal: Refusal) -> FullResponse {
    let status = refusal.reason.status();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = text(status, refusal.reason.text());
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
