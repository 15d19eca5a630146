//! The traffic thread: serves callers and the directory, readiness and metrics endpoints.

mod client_stream;
mod endpoints;
mod library;
mod listener;
mod pipeline;
mod request;
mod responses;
mod trace;

use std::{sync::Arc, time::Duration};

use jasminestage_core::intake::{Activity, SlowLimits};
use jasminestage_net::clock;
use tokio::runtime;

use self::listener::Listener;
pub use self::listener::wait_for_phase;
use crate::{
    body::BodyMemory,
    error::EdgeError,
    intake,
    shared::{Phase, Shared},
    stop,
    upstream::Upstream,
};

/// Period in which idle connections to servers are checked.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Fraction of the memory for responses above which those that nobody reads are given up.
const SHORT_RESPONSE_MEMORY: f64 = 0.75;
/// Time after which a response that nobody reads is given up when the memory is short.
const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Serves callers until the process is stopped.
pub fn run(shared: &Arc<Shared>) -> Result<(), EdgeError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(EdgeError::Thread)?;
    runtime.block_on(serve(Arc::clone(shared)))
}

async fn serve(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let response_memory = Arc::new(BodyMemory::new(shared.cfg.response_memory(), 0));
    let upstream = Arc::new(Upstream { pool: Arc::clone(&shared.ports.pool), response_memory });
    let ports = &shared.ports;
    let max_ahead = shared.cfg.max_pipelined_requests;
    let callers = Listener::bind(shared.cfg.callers, &ports.callers, max_ahead)?;
    let directory = Listener::bind(shared.cfg.directory, &ports.directory, 1)?;
    let readiness = Listener::bind(shared.cfg.readiness, &ports.readiness, 1)?;
    tokio::spawn(stop::reload_on_hangup(Arc::clone(&shared)));
    tokio::spawn(expire_idle_connections(Arc::clone(&shared), Arc::clone(&upstream)));
    tokio::spawn(close_slow_clients(Arc::clone(&shared), Arc::clone(&upstream)));
    spawn_endpoint(&shared, directory, endpoints::directory);
    spawn_endpoint(&shared, readiness, endpoints::readiness);
    match Listener::bind(shared.cfg.metrics, &ports.metrics, 1) {
        Ok(metrics) => spawn_endpoint(&shared, metrics, endpoints::metrics),
        // The host serves callers even without metrics.
        Err(e) => tracing::error!(event = 314, error = %e, "Metrics are not served."),
    }
    let state = Arc::clone(&shared);
    let caller_task = tokio::spawn(callers.run(Arc::clone(&shared), move |req| {
        request::handle(Arc::clone(&state), Arc::clone(&upstream), req)
    }));
    stop::wait_for_stop(Arc::clone(&shared)).await?;
    if tokio::time::timeout(stop::closing_limit(&shared), caller_task).await.is_err() {
        tracing::warn!(event = 307, "Requests were still in flight at the end of the stop grace.");
    }
    shared.advance_to(Phase::Ended);
    Ok(())
}

fn spawn_endpoint(shared: &Arc<Shared>, listener: Listener, handler: endpoints::Handler) {
    let state = Arc::clone(shared);
    tokio::spawn(listener.run(Arc::clone(shared), move |req| {
        let response = handler(&state, &req);
        async move { Some(response) }
    }));
}

async fn expire_idle_connections(shared: Arc<Shared>, upstream: Arc<Upstream>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let view = shared.view.load();
        shared.metrics.record_response_memory(upstream.response_memory.used_bytes());
        shared.metrics.record_request_memory(shared.request_memory.used_bytes());
        upstream.pool.expire(|server| view.servers.contains_key(server));
    }
}

/// Closes the connections of clients that are too slow, on all ports.
async fn close_slow_clients(shared: Arc<Shared>, upstream: Arc<Upstream>) {
    let mut swept_at = clock::now();
    loop {
        tokio::time::sleep(intake::SWEEP_PERIOD).await;
        let since_sweep =
            clock::now().saturating_since(std::mem::replace(&mut swept_at, clock::now()));
        // After a suspension, what arrived meanwhile has to be read first.
        if since_sweep > 2 * intake::SWEEP_PERIOD {
            continue;
        }
        let header_timeout = shared.view.load().catalog.limits.header_timeout;
        let limits = SlowLimits { header_timeout, ..SlowLimits::default() };
        let max_used = shared.cfg.response_memory() as f64 * SHORT_RESPONSE_MEMORY;
        if upstream.response_memory.used_bytes() as f64 > max_used {
            shared.ports.callers.free_stalled(Activity::Unread, UNREAD_TIME);
        }
        for port in shared.ports.all() {
            port.sweep(&shared.metrics, &limits);
        }
    }
}
