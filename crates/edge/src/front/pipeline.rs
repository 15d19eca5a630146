//! Connections of callers that send requests before earlier ones have been answered.
//!
//! The HTTP library starts a request only after the response to the previous one has been written.
//! Requests without a body are therefore read ahead here and run at the same time; the responses are
//! written in the order of the requests. Requests of another form are left to the library, which gives
//! the connection back with the next one that can be read ahead.
//!
//! A stopping host closes a connection with the last response in flight, which is known only when that
//! response is written. Requests that have not been started by then are left unread; their callers
//! send them again.

use std::{io, pin::pin, sync::Arc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{StreamExt, stream::FuturesOrdered};
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header};
use http_body_util::{BodyExt, Empty};
use hyper::body::Body;
use jasminestage_core::declaration::Repeat;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep_until},
};
use tokio_util::task::AbortOnDropHandle;

use super::{
    client_stream::ClientStream,
    listener::{CallerBody, wait_for_phase},
    responses::{self, FullResponse},
};
use crate::{
    log::RequestOutcome,
    shared::{Phase, Shared},
};

/// Maximum number of headers of a request that is read ahead.
const MAX_HEADERS: usize = 64;
/// Size up to which a body is written together with the head of its response.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;
/// Time for which a connection without any request is kept at a planned stop, because its first
/// request may already be on the way.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Reason in the log line about a caller that has left.
pub const CALLER_CLOSED: &str = "the caller closed the connection";
/// Headers that change how a message or its connection is read.
const FRAMING_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::EXPECT,
    header::UPGRADE,
    header::TE,
];

/// What the buffer holds at its start.
enum Next {
    /// A request without a body, and the length of its head.
    Request(Box<Request<CallerBody>>, usize),
    /// Part of a head, or nothing.
    Incomplete,
    /// A request of another form, or bytes that are no request.
    Other,
}

/// What remains to be done with a connection.
pub enum Served {
    /// A request of another form follows.
    OtherRequest(ClientStream),
    /// The host has written its last response, or ends an idle connection.
    Closing,
    /// The client has left, or there is no response that could be written.
    Ended,
}

/// Serves the requests that can be read ahead, at most `max_ahead` at the same time. The `first` one
/// may have been read already.
pub async fn serve<F, Fut>(
    shared: &Arc<Shared>,
    mut stream: ClientStream,
    first: Option<Box<Request<CallerBody>>>,
    max_ahead: usize,
    handle: &F,
) -> io::Result<Served>
where
    F: Fn(Request<CallerBody>) -> Fut,
    Fut: Future<Output = Option<FullResponse>> + Send + 'static,
{
    let socket = Arc::clone(stream.socket());
    let limits = shared.view.load().catalog.limits.clone();
    let max_buffered = limits.max_header_bytes;
    let mut phase = shared.phase();
    let mut buf = stream.take_unread();
    let mut responses: FuturesOrdered<AbortOnDropHandle<Option<FullResponse>>> =
        FuturesOrdered::new();
    let (mut has_served, mut idle_since) = (first.is_some(), Instant::now());
    if let Some(req) = first {
        socket.ticket().request_started();
        socket.ticket().set_head_bytes(buf.len());
        responses.push_back(AbortOnDropHandle::new(tokio::spawn(handle(*req))));
    }
    let mut closed_by_client = pin!(socket.closed_by_client());
    loop {
        // A stopping host starts a request only if no other response could close the connection.
        let max_in_flight = if shared.is_stopping() { 1 } else { max_ahead };
        let mut starts = false;
        while responses.len() < max_in_flight {
            match parse_next(&buf) {
                Next::Request(req, head_len)
                    if responses.is_empty()
                        || (may_repeat(shared, &req) && !shared.ports.is_short_for_servers()) =>
                {
                    buf.advance(head_len);
                    socket.ticket().request_started();
                    starts = true;
                    responses.push_back(AbortOnDropHandle::new(tokio::spawn(handle(*req))));
                }
                Next::Other if responses.is_empty() => {
                    stream.put_back(buf.freeze());
                    return Ok(Served::OtherRequest(stream));
                }
                // The library rejects a head that is too large.
                Next::Incomplete if responses.is_empty() && buf.len() >= max_buffered => {
                    stream.put_back(buf.freeze());
                    return Ok(Served::OtherRequest(stream));
                }
                Next::Request(..) | Next::Other | Next::Incomplete => break,
            }
        }
        if starts {
            socket.ticket().set_head_bytes(buf.len());
        }
        if buf.is_empty() {
            // An idle connection holds no buffer.
            buf = BytesMut::new();
        }
        let is_idle = responses.is_empty();
        let may_read = buf.len() < max_buffered;
        tokio::select! {
            // A response that is ready is written before the end of the caller's side is handled.
            biased;
            Some(response) = responses.next(), if !is_idle => {
                // A handler that panicked has no response, like a caller that disconnected.
                let Some(mut response) = response.ok().flatten() else { return Ok(Served::Ended) };
                socket.ticket().request_ended();
                let is_last = responses.is_empty() && shared.is_stopping();
                if is_last {
                    responses::close_connection(&mut response);
                }
                if let Err(e) = write_response(&mut stream, response).await {
                    log_cut_requests(shared, responses.len(), "a response could not be written");
                    return Err(e);
                }
                if is_last {
                    return Ok(Served::Closing);
                }
                (has_served, idle_since) = (true, Instant::now());
            }
            // The end is seen also while the buffer is full or bytes wait in the socket.
            () = &mut closed_by_client => {
                log_cut_requests(shared, responses.len(), CALLER_CLOSED);
                return Ok(Served::Ended);
            }
            len = stream.read_buf(&mut buf), if may_read => {
                if !matches!(len, Ok(1..)) {
                    log_cut_requests(shared, responses.len(), CALLER_CLOSED);
                    return len.map(|_| Served::Ended);
                }
            }
            () = sleep_until(idle_since + limits.idle_timeout), if is_idle => {
                return Ok(Served::Closing);
            }
            () = wait_for_phase(&mut phase, Phase::Closing), if is_idle && has_served => {
                return Ok(Served::Closing);
            }
            () = wait_for_first_request(shared), if is_idle && !has_served => {
                return Ok(Served::Closing);
            }
        }
    }
}

/// Logs that a connection has ended while requests of it were running, which are aborted.
pub fn log_cut_requests(shared: &Shared, requests: usize, reason: &str) {
    if requests > 0 && shared.request_lines.admits(RequestOutcome::Bad) {
        tracing::info!(
            event = 367,
            requests,
            reason,
            "A connection ended before its requests were answered."
        );
    }
}

/// Waits until the host closes its connections and a first request would have arrived.
async fn wait_for_first_request(shared: &Shared) {
    wait_for_phase(&mut shared.phase(), Phase::Closing).await;
    tokio::time::sleep(FIRST_REQUEST_WAIT).await;
}

/// Whether a request may be started before earlier ones on its connection have been answered. If one
/// of those closes the connection, the caller sends this one again.
fn may_repeat(shared: &Shared, req: &Request<CallerBody>) -> bool {
    let view = shared.view.load();
    let host = req.headers().get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let host_name = host.split(':').next().unwrap_or_default();
    let route = view.catalog.find_route(host_name, req.uri().path());
    route.is_none_or(|r| r.repeat == Repeat::Idempotent)
}

/// Whether the library has read a request that could have been read ahead.
pub fn is_read_ahead<B: Body>(req: &Request<B>) -> bool {
    req.version() == Version::HTTP_11
        && req.method() == Method::GET
        && req.body().is_end_stream()
        && FRAMING_HEADERS.iter().all(|name| !req.headers().contains_key(name))
}

/// Parses the head at the start of the buffer.
fn parse_next(buf: &[u8]) -> Next {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Next::Incomplete,
        Err(_) => return Next::Other,
    };
    to_request(&head).map_or(Next::Other, |req| Next::Request(Box::new(req), head_len))
}

/// Converts a head to a request; `None` if the library has to read the request.
fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<CallerBody>> {
    if head.version != Some(1) || head.method != Some(Method::GET.as_str()) {
        return None;
    }
    let body = Empty::<Bytes>::new().map_err(|never| match never {}).boxed_unsync();
    let mut req = Request::new(body);
    *req.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *req.version_mut() = Version::HTTP_11;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        if FRAMING_HEADERS.contains(&name) {
            return None;
        }
        req.headers_mut().append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(req)
}

async fn write_response(stream: &mut ClientStream, response: FullResponse) -> io::Result<()> {
    let (parts, body) = response.into_parts();
    // The body is complete and in memory, so it is there at once.
    let body = body.collect().await.map_or_else(|never| match never {}, |b| b.to_bytes());
    let reason = parts.status.canonical_reason().unwrap_or_default();
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_u16()).into_bytes();
    for (name, value) in parts.headers.iter().filter(|(name, _)| **name != header::CONTENT_LENGTH) {
        head.extend_from_slice(
            &[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat(),
        );
    }
    let has_body = !matches!(parts.status.as_u16(), 204 | 304);
    if has_body {
        head.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    if !has_body {
        return stream.write_all(&head).await;
    }
    if body.len() <= MAX_JOINED_BODY_BYTES {
        head.extend_from_slice(&body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(&body).await
}
