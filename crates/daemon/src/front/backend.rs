//! Calls to backend servers.

use std::{
    net::SocketAddr,
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

use super::headers::{DEADLINE, TRY_ID};
use crate::log;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Idle time after which the other end of a connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Idle connections kept for one backend server.
const MAX_IDLE: usize = 16;

/// A request as it is passed on.
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path after the route, with the query.
    pub path_and_query: String,
    /// Headers without the caller's key.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether it runs at most once.
    pub once: bool,
}

/// A whole answer of a backend server.
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Connections to backend servers.
///
/// A request that runs at most once gets a new connection: whether a byte of it was sent is then
/// known from the connection alone, and none is lost on a connection that has gone silent.
pub struct Backends {
    pooled: ArcSwap<reqwest::Client>,
    single: reqwest::Client,
    /// Answers that were dropped because they belong to another try.
    crossed: AtomicU64,
}

impl Default for Backends {
    fn default() -> Self {
        Backends {
            pooled: ArcSwap::from_pointee(client(MAX_IDLE)),
            single: client(0),
            crossed: AtomicU64::new(0),
        }
    }
}

fn client(max_idle: usize) -> reqwest::Client {
    let builder = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_LIMIT)
        .tcp_keepalive(KEEPALIVE)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy();
    builder.build().expect("a client without TLS can be built")
}

impl Backends {
    /// Answers that were dropped because they belong to another try.
    pub fn crossed(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Sends a request once, on a new connection when `fresh`, and waits for the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        timeout: Duration,
        fresh: bool,
    ) -> Result<Reply, Outcome> {
        let try_id = format!("{:016x}", rand::random::<u64>());
        let http = if fresh { self.single.clone() } else { (**self.pooled.load()).clone() };
        let req = http
            .request(call.method.clone(), format!("http://{address}{}", call.path_and_query))
            .headers(call.headers.clone())
            .header(TRY_ID, &try_id)
            .header(DEADLINE, timeout.as_millis().to_string())
            .timeout(timeout)
            .body(call.body.clone());
        let answer = req.send().await.map_err(|e| outcome(&e))?;
        let status = answer.status();
        let mut headers = answer.headers().clone();
        if headers.get(TRY_ID).is_some_and(|id| id.as_bytes() != try_id.as_bytes()) {
            self.drop_crossed(address);
            return Err(Outcome::BadAnswer);
        }
        let body = answer.bytes().await.map_err(|e| outcome(&e))?;
        headers.remove(header::TRANSFER_ENCODING);
        headers.remove(header::CONNECTION);
        headers.remove(TRY_ID);
        Ok(Reply { status, headers, body })
    }

    /// Counts an answer to another try. What else comes on its connection cannot be trusted, so
    /// the pool is replaced.
    fn drop_crossed(&self, address: SocketAddr) {
        self.crossed.fetch_add(1, Ordering::Relaxed);
        self.pooled.store(Arc::new(client(MAX_IDLE)));
        log::write(&Event::new(Kind::CrossedAnswer, format!("from {address}")));
    }
}

fn outcome(e: &reqwest::Error) -> Outcome {
    match e {
        e if e.is_connect() => Outcome::ConnectFailed,
        e if e.is_timeout() => Outcome::TimedOut,
        e if e.is_body() || e.is_decode() => Outcome::BadAnswer,
        _ => Outcome::ConnectionLost,
    }
}
