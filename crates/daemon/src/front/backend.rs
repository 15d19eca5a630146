//! HTTP client for backend servers.

use std::{
    error::Error,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use jasminestage_core::{
    event::{Event, Kind},
    traffic::Outcome,
};
use salvo::http::{HeaderMap, Method, StatusCode, header};

use super::headers::{ATTEMPT_ID, DEADLINE};
use crate::log;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which the kernel probes the other end of a connection.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(5);
/// Idle connections kept for one backend server.
const MAX_IDLE_PER_BACKEND: usize = 16;
/// Statuses of valid final responses. The HTTP library accepts 100 to 999 and returns 101 as a final
/// response, although the client asks for no other protocol.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

/// A request as it is sent to a backend server.
pub struct BackendCall {
    /// Method.
    pub method: Method,
    /// Path after the route, with the query.
    pub path_and_query: String,
    /// Headers without the caller's key.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the request runs at most once.
    pub at_most_once: bool,
}

/// A complete response of a backend server.
pub struct BackendReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client with connections to backend servers.
///
/// A request that runs at most once gets a new connection: if the connection fails to open, no byte
/// of the request was sent, and no request is lost on an idle connection that no longer works.
pub struct BackendClient {
    pooled: ArcSwap<reqwest::Client>,
    unpooled: reqwest::Client,
    /// Number of responses that were discarded because they belong to another attempt.
    mismatched_replies: AtomicU64,
}

impl Default for BackendClient {
    fn default() -> Self {
        BackendClient {
            pooled: ArcSwap::from_pointee(http_client(MAX_IDLE_PER_BACKEND)),
            unpooled: http_client(0),
            mismatched_replies: AtomicU64::new(0),
        }
    }
}

fn http_client(max_idle: usize) -> reqwest::Client {
    let builder = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_IDLE_TIME)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy();
    builder.build().expect("a client without TLS can be built")
}

impl BackendClient {
    /// Number of responses that were discarded because they belong to another attempt.
    pub fn mismatched_replies(&self) -> u64 {
        self.mismatched_replies.load(Ordering::Relaxed)
    }

    /// Sends a request once, on a new connection if `new_connection` is set, and waits for the
    /// complete response.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &BackendCall,
        timeout: Duration,
        new_connection: bool,
    ) -> Result<BackendReply, Outcome> {
        let attempt_id = format!("{:016x}", rand::random::<u64>());
        let http =
            if new_connection { self.unpooled.clone() } else { (**self.pooled.load()).clone() };
        let req = http
            .request(call.method.clone(), format!("http://{address}{}", call.path_and_query))
            .headers(call.headers.clone())
            .header(ATTEMPT_ID, &attempt_id)
            .header(DEADLINE, timeout.as_millis().to_string())
            .timeout(timeout)
            .body(call.body.clone());
        let answer = req.send().await.map_err(|e| outcome_of_error(&e))?;
        let status = answer.status();
        if !VALID_STATUSES.contains(&status.as_u16()) {
            return Err(Outcome::BadAnswer);
        }
        let mut headers = answer.headers().clone();
        if headers.get(ATTEMPT_ID).is_some_and(|id| id.as_bytes() != attempt_id.as_bytes()) {
            self.discard_mismatched(address);
            return Err(Outcome::BadAnswer);
        }
        let body = answer.bytes().await.map_err(|e| outcome_of_error(&e))?;
        headers.remove(header::TRANSFER_ENCODING);
        headers.remove(header::CONNECTION);
        headers.remove(ATTEMPT_ID);
        Ok(BackendReply { status, headers, body })
    }

    /// Counts a response to another attempt. Later responses on its connection may be mismatched too,
    /// so the pool is replaced.
    fn discard_mismatched(&self, address: SocketAddr) {
        self.mismatched_replies.fetch_add(1, Ordering::Relaxed);
        self.pooled.store(Arc::new(http_client(MAX_IDLE_PER_BACKEND)));
        log::write(&Event::new(Kind::CrossedAnswer, format!("from {address}")));
    }
}

fn outcome_of_error(e: &reqwest::Error) -> Outcome {
    match e {
        e if e.is_connect() => Outcome::ConnectFailed,
        e if e.is_timeout() => Outcome::TimedOut,
        e if e.is_body() || e.is_decode() || is_invalid_response(e) => Outcome::BadAnswer,
        _ => Outcome::ConnectionLost,
    }
}

/// Whether the head of a response could not be parsed.
fn is_invalid_response(e: &reqwest::Error) -> bool {
    let mut cause = e.source();
    while let Some(e) = cause {
        if e.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse) {
            return true;
        }
        cause = e.source();
    }
    false
}
