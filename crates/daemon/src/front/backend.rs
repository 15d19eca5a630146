//! Calls to backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use jasminestage_core::traffic::Outcome;
use salvo::http::{HeaderMap, Method, StatusCode, header};

use super::headers::{DEADLINE, TRY_ID};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
pub struct Backends {
    http: reqwest::Client,
}

impl Default for Backends {
    fn default() -> Self {
        let builder = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy();
        Backends { http: builder.build().expect("a client without TLS can be built") }
    }
}

impl Backends {
    /// Sends a request once and waits for the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Reply, Outcome> {
        let try_id = format!("{:016x}", rand::random::<u64>());
        let req = self
            .http
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
            return Err(Outcome::BadAnswer);
        }
        let body = answer.bytes().await.map_err(|e| outcome(&e))?;
        headers.remove(header::TRANSFER_ENCODING);
        headers.remove(header::CONNECTION);
        headers.remove(TRY_ID);
        Ok(Reply { status, headers, body })
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
