//! Answers of the system itself.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use jasminestage_core::steer::refusal::Refusal;

/// An answer with its whole body.
pub type Reply = Response<Full<Bytes>>;

/// An answer with a status and a body of plain text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(header::CONTENT_TYPE, plain);
    reply
}

/// The answer for a refusal.
pub fn refusal(refusal: Refusal) -> Reply {
    let status = refusal.reason.status();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = text(status, refusal.reason.text());
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
