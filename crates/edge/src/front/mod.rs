//! The traffic thread: serves callers and the directory, readiness and metrics endpoints.

mod endpoints;
mod listener;
mod pipeline;
mod request;
mod responses;
mod trace;

use std::{sync::Arc, time::Duration};

use tokio::runtime;

use self::listener::Listener;
pub use self::listener::wait_for_phase;
use crate::{
    body::BodyMemory,
    error::EdgeError,
    shared::{Phase, Shared},
    stop,
    upstream::{Pool, Upstream},
};

/// Period in which idle connections to servers are checked.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Serves callers until the process is stopped.
pub fn run(shared: &Arc<Shared>) -> Result<(), EdgeError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(EdgeError::Thread)?;
    runtime.block_on(serve(Arc::clone(shared)))
}

async fn serve(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let response_memory = Arc::new(BodyMemory::new(shared.cfg.response_memory(), 0));
    let upstream = Arc::new(Upstream { pool: Pool::default(), response_memory });
    let callers = Listener::bind(shared.cfg.callers)?;
    let directory = Listener::bind(shared.cfg.directory)?;
    let readiness = Listener::bind(shared.cfg.readiness)?;
    tokio::spawn(stop::reload_on_hangup(Arc::clone(&shared)));
    tokio::spawn(expire_idle_connections(Arc::clone(&shared), Arc::clone(&upstream)));
    spawn_endpoint(&shared, directory, endpoints::directory);
    spawn_endpoint(&shared, readiness, endpoints::readiness);
    match Listener::bind(shared.cfg.metrics) {
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
