//! Requests that are left to the HTTP library: those with a body or with a field that changes how the
//! connection is used. It handles one after the other.
//!
//! The library looks for the end of the connection only while no further bytes wait, so the end is
//! watched here.

use std::{
    future::pending,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
};

use http::Request;
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::oneshot;

use super::{
    client_stream::ClientStream,
    listener::{CallerBody, wait_for_phase},
    pipeline::{self, CALLER_CLOSED},
    responses::{self, FullResponse},
};
use crate::shared::{Phase, Shared};

/// Smallest buffer for the head of a request that the library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// What remains to be done with a connection.
pub enum Served {
    /// The next request can be read ahead.
    ReadAhead(ClientStream, Box<Request<CallerBody>>),
    /// The last response has been written.
    Closing,
    /// The client has left.
    Ended,
}

/// Error that makes the library close a connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("The request ended without a response.")]
struct NoResponse;

/// Serves a connection until the next request that can be read ahead.
pub async fn serve<F, Fut>(shared: &Shared, stream: ClientStream, handle: &F) -> Served
where
    F: Fn(Request<CallerBody>) -> Fut,
    Fut: Future<Output = Option<FullResponse>>,
{
    let limits = shared.view.load().catalog.limits.clone();
    let socket = Arc::clone(stream.socket());
    socket.ticket().set_uses_library(true);
    let (tx, mut read_ahead) = oneshot::channel();
    let tx = Mutex::new(Some(tx));
    let service = service_fn(|req: Request<Incoming>| {
        let ticket = socket.ticket();
        ticket.request_started();
        // Unflushed bytes of the previous response are in a buffer of the library and would be lost.
        let is_given_back = pipeline::is_read_ahead(&req) && socket.is_flushed();
        let mut req = req.map(BodyExt::boxed_unsync);
        let response = if is_given_back {
            let tx = tx.lock().unwrap_or_else(PoisonError::into_inner).take();
            // The receiver lives as long as the connection.
            let _ = tx.map(|tx| tx.send(Box::new(req)));
            None
        } else {
            req.extensions_mut().insert(ticket.clone());
            Some(handle(req))
        };
        Box::pin(async move {
            let Some(response) = response else { return pending().await };
            let mut response = response.await;
            ticket.request_ended();
            // The library starts no other request before the response has been written.
            if let Some(response) = response.as_mut().filter(|_| shared.is_stopping()) {
                responses::close_connection(response);
            }
            response.ok_or(NoResponse)
        })
    });
    // The library measures the time for reading a head from the end of the previous response, which
    // includes the idle time. A single timer therefore limits both, with the idle timeout.
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut closed_by_client = pin!(socket.closed_by_client());
    let mut phase = shared.phase();
    let mut is_closing = false;
    let given_back = loop {
        tokio::select! {
            // The library closes a connection from which it has not read anything, so it has to read the
            // request that was put back first.
            biased;
            result = &mut connection => {
                if let Err(e) = result {
                    tracing::debug!(error = %e, "A connection to a caller ended with an error.");
                }
                return Served::Closing;
            }
            Ok(req) = &mut read_ahead => break req,
            () = &mut closed_by_client => {
                let running = socket.ticket().running_requests();
                pipeline::log_cut_requests(shared, running, CALLER_CLOSED);
                return Served::Ended;
            }
            () = wait_for_phase(&mut phase, Phase::Closing), if !is_closing => {
                Pin::new(&mut connection).graceful_shutdown();
                is_closing = true;
            }
        }
    };
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner();
    stream.put_back(parts.read_buf);
    let ticket = socket.ticket();
    ticket.request_ended();
    ticket.set_uses_library(false);
    Served::ReadAhead(stream, given_back)
}
