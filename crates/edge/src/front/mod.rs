//! The traffic thread: callers, the directory, the readiness check and the metrics.

mod answer;
mod request;
mod serve;
mod side;
mod trace;

use std::{sync::Arc, time::Duration};

use tokio::runtime;

use self::serve::Server;
use crate::{
    error::EdgeError,
    shared::{Phase, Shared},
    stop,
    upstream::Pool,
};

/// Time between two looks at idle connections.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Serves callers until the process is stopped.
pub fn run(shared: &Arc<Shared>) -> Result<(), EdgeError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(EdgeError::Thread)?;
    runtime.block_on(serve(Arc::clone(shared)))
}

async fn serve(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let pool = Arc::new(Pool::default());
    let callers = Server::bind(shared.cfg.callers)?;
    let directory = Server::bind(shared.cfg.directory)?;
    let readiness = Server::bind(shared.cfg.readiness)?;
    tokio::spawn(stop::follow_reload(Arc::clone(&shared)));
    tokio::spawn(expire(Arc::clone(&shared), Arc::clone(&pool)));
    spawn_side(&shared, directory, side::directory);
    spawn_side(&shared, readiness, side::readiness);
    match Server::bind(shared.cfg.metrics) {
        Ok(metrics) => spawn_side(&shared, metrics, side::metrics),
        // Callers are served without metrics.
        Err(e) => tracing::error!(event = 314, error = %e, "Metrics are not served."),
    }
    let state = Arc::clone(&shared);
    let served = tokio::spawn(callers.run(Arc::clone(&shared), move |req| {
        request::handle(Arc::clone(&state), Arc::clone(&pool), req)
    }));
    stop::follow_stop(Arc::clone(&shared)).await?;
    if tokio::time::timeout(stop::closing_limit(&shared), served).await.is_err() {
        tracing::warn!(event = 307, "Requests were still in flight at the end of the grace.");
    }
    shared.enter(Phase::Ended);
    Ok(())
}

fn spawn_side(shared: &Arc<Shared>, server: Server, answer: side::Handler) {
    let state = Arc::clone(shared);
    tokio::spawn(server.run(Arc::clone(shared), move |req| {
        let answered = answer(&state, &req);
        async move { Some(answered) }
    }));
}

async fn expire(shared: Arc<Shared>, pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let view = shared.view.load();
        pool.expire(|server| view.servers.contains_key(server));
    }
}
